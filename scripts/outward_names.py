#!/usr/bin/env python3
"""Collects the names that leave the process: settings, flags, messages, metrics, logs.

Run at the root of the repository:

    scripts/outward_names.py           prints the list, as kept in docs/outward-names.txt
    scripts/outward_names.py --check   compares the sources with docs/outward-names.txt

The check fails when a listed name is no longer in the sources. New names are
printed and pass; add them to the list in the commit that introduces them.
"""
import collections
import pathlib
import re
import subprocess
import sys

LIST = "docs/outward-names.txt"

SETTINGS = "settings, as section.key"
PLATFORM = "platform settings and documents"
DEPLOY = "deploy file"
ARGS = "flags and arguments of the command line"
COMMANDS = "subcommands"
ENV = "environment variables"
FILES = "files and folders"
HEADERS = "headers"
PATHS = "paths"
METRICS = "metric names and labels"
SERDE = "serialised fields and variants"
LOG_KEYS = "log keys"
LOG_VALUES = "enum variants logged by Debug"
LOG_MESSAGES = "log messages that a test, a tool or a page looks for"
PROST = "prost types: crate, then number:type of each field"
OTHER = "other names in texts: JSON keys, error codes, values"
HEADINGS = [SETTINGS, PLATFORM, DEPLOY, ARGS, COMMANDS, ENV, FILES, HEADERS, PATHS, METRICS,
            SERDE, LOG_KEYS, LOG_VALUES, LOG_MESSAGES, PROST, OTHER]

LITERAL = re.compile(r'"((?:\\.|[^"\\])*)"', re.S)
LOG_CALL = re.compile(r"\b(?:decision|debug|info|warn|error|crit|trace|o)!\(")
DERIVE = re.compile(
    r"#\[derive\(([^)]*)\)\]((?:\s*#\[[^\]]*\])*)\s*(?:pub(?:\([^)]*\))?\s+)?"
    r"(struct|enum)\s+(\w+)[^{;(]*\{", re.S)
FIELD = re.compile(r"((?:#\[[^\n]*\]\s*)*)(?:pub(?:\([^)]*\))?\s+)?(\w+):\s")
VARIANT = re.compile(r"((?:#\[[^\n]*\]\s*)*)^\s*([A-Z]\w*)\b", re.M)


def read_sources():
    names = subprocess.run(["git", "ls-files", "*.rs"], check=True, capture_output=True, text=True)
    code, tests = {}, ""
    for name in names.stdout.split():
        text = pathlib.Path(name).read_text(encoding="utf-8")
        if "/tests/" in name or name.endswith("/tests.rs"):
            tests += text
        else:
            code[name] = re.sub(r"^\s*//.*$", "", text, flags=re.M)
    return code, tests


def body_at(text, start):
    """The text from `start`, just after an opening bracket, to the closing one."""
    steps = {"{": 1, "(": 1, "}": -1, ")": -1}
    depth, end = 1, start
    while depth and end < len(text):
        depth += steps.get(text[end], 0)
        end += 1
    return text[start:end - 1]


def serde_names(attributes, kind, body):
    rule = re.search(r'rename_all = "(\w+)"', attributes)
    for field in (FIELD if kind == "struct" else VARIANT).finditer(body):
        outer = re.search(r'rename = "([^"]+)"', field[1])
        name = field[2]
        if outer:
            name = outer[1]
        elif rule and rule[1] == "camelCase":
            head, *rest = name.split("_")
            name = head + "".join(word.capitalize() for word in rest)
        elif rule and rule[1] == "snake_case" and kind == "enum":
            name = re.sub(r"(?<!^)([A-Z])", r"_\1", name).lower()
        yield name


def prost_shape(derives, body):
    if "Enumeration" in derives:
        return "enumeration " + ", ".join(re.findall(r"=\s*(\d+)", body))
    fields = []
    for attribute in re.findall(r"#\[prost\((.*?)\)\]", body, re.S):
        attribute = re.sub(r"\s+", " ", attribute).strip()
        tag = re.search(r'tags? = "([^"]+)"', attribute)
        kind = re.sub(r',? ?tags? = "[^"]+"', "", attribute)
        # The name of a Rust type is not part of the encoding.
        kind = re.sub(r'(enumeration|oneof) = "[^"]*"', r"\1", kind)
        fields.append(f"{tag[1] if tag else '-'}:{kind}")
    return "; ".join(fields)


def collect():
    code, tests = read_sources()
    pages = "".join(pathlib.Path(p).read_text(encoding="utf-8")
                    for p in ("docs/OPERATIONS.md", "docs/api.md"))
    tool = "".join(t for f, t in code.items() if f.startswith("crates/telemetry/"))
    found = {heading: collections.Counter() for heading in HEADINGS}
    for name, text in code.items():
        crate = "/".join(name.split("/")[:2]) if name.startswith("crates/") else "platform"
        for m in re.finditer(r'=\s*\["(\w+)", "(\w+)", "\w*",', text):
            found[SETTINGS][f"{m[1]}.{m[2]}"] += 1
        if name.startswith("crates/cli") or name.endswith("main.rs"):
            for m in re.finditer(r'(?:Arg::new|option|number|flag|long|text|text_arg)\(\s*"([^"]+)"', text):
                found[ARGS][m[1]] += 1
        for m in re.finditer(r'(?:Command::new\(\s*|const NAME: &str = )"([^"]+)"', text):
            found[COMMANDS][m[1]] += 1
        for m in re.finditer(r'\.(?:counter|gauge|histogram)s?\(\s*"([^"]+)"', text):
            found[METRICS][m[1]] += 1
        for m in re.finditer(r'"((?:control|router|peer|admin|log|anvilloft)_[\w{}]+)"', text):
            if re.search(r"_(total|seconds|bytes|index|commands|grants|sessions)$|anvilloft_", m[1]):
                found[METRICS][re.sub(r"\{\w+", "{", m[1])] += 1
        for m in re.finditer(r"\.(?:counters|gauges|histograms)\([^;]*?&\[([^\]]*)\]", text, re.S):
            for label in LITERAL.findall(m[1]):
                found[METRICS][label] += 1
        for m in LOG_CALL.finditer(text):
            call = body_at(text, m.end())
            message = LITERAL.search(call)
            if message:
                quoted = f'"{message[1]}"'
                if quoted in tool or message[1] in tests or message[1] in pages:
                    found[LOG_MESSAGES][message[1]] += 1
            for key in re.findall(r'"(\w+)"\s*=>', call):
                found[LOG_KEYS][key] += 1
        for m in DERIVE.finditer(text):
            body = body_at(text, m.end())
            if re.search("Serialize|Deserialize", m[1]):
                heading = PLATFORM if crate == "platform" else SERDE
                for field in serde_names(m[2], m[3], body):
                    found[heading][field] += 1
            if re.search("Message|Oneof|Enumeration", m[1]):
                found[PROST][f"{crate}: {prost_shape(m[1], body)}"] += 1
        plain = re.sub(r"#\[(?:prost|serde|expect|cfg|derive)\([^\]]*\]", "", text)
        for literal in LITERAL.findall(plain):
            literal = re.sub(r"\{\w+", "{", literal)
            if re.fullmatch(r"[A-Z][A-Z0-9]*_[A-Z0-9_]+", literal):
                found[ENV][literal] += 1
            elif re.fullmatch(r"/[\w\-./{}:?=&]*", literal):
                found[PATHS][literal] += 1
            elif re.fullmatch(r"(?:[xX]|kv|last|[iI]dempotency|content|proxy|keep)(?:-\w+)+", literal):
                found[HEADERS][literal] += 1
            elif re.fullmatch(r"[\w\-{}]+\.(?:json|log|ini|key|tmp|dat|wal|txt|lock)", literal):
                found[FILES][literal] += 1
            elif re.fullmatch(r"[\w\-./{}:?=]*[a-z]{2}[\w\-./{}:?=]*|[A-Za-z]", literal):
                found[OTHER][literal] += 1
    deploy = pathlib.Path("deploy/system.toml").read_text(encoding="utf-8")
    for m in re.finditer(r"^\[?([\w.]+)", deploy, re.M):
        found[DEPLOY][m[1]] += 1
    known = set().union(*(found[h] for h in HEADINGS if h not in (OTHER, LOG_VALUES)))
    for word in known:
        del found[OTHER][word]
    return found, code


def read_list():
    listed, heading = {}, None
    for line in pathlib.Path(LIST).read_text(encoding="utf-8").splitlines():
        if line.startswith("## "):
            heading = listed.setdefault(line[3:], collections.Counter())
        elif line and heading is not None:
            times = re.fullmatch(r"(.*) \(x(\d+)\)", line)
            heading[times[1] if times else line] = int(times[2]) if times else 1
    return listed


def check(found, code):
    listed, missing = read_list(), 0
    words = set(re.findall(r"\w+", "\n".join(code.values())))
    anywhere = set().union(*found.values())
    for heading, names in listed.items():
        for name, count in sorted(names.items()):
            if heading == LOG_VALUES:
                present = name in words
            elif heading == PROST:
                present = found[PROST][name] >= count
            elif heading == OTHER:
                present = name in anywhere
            else:
                present = name in found.get(heading, ())
            if not present:
                missing += 1
                print(f'{heading}: "{name}" is not in the sources')
    for heading in HEADINGS[:-1]:
        for name in sorted(set(found[heading]) - set(listed.get(heading, ()))):
            if heading != LOG_VALUES:
                print(f'{heading}: "{name}" is new')
    count = sum(len(names) for names in listed.values())
    print(f"outward names: {count} listed, {missing} missing")
    return missing


def main():
    found, code = collect()
    if "--check" in sys.argv[1:]:
        sys.exit(1 if check(found, code) else 0)
    variants = read_list().get(LOG_VALUES, {}) if pathlib.Path(LIST).exists() else {}
    found[LOG_VALUES] = collections.Counter(variants)
    print("Names that leave the process. They stay letter for letter; one name a line.")
    print("Checked by scripts/outward_names.py --check.")
    for heading, names in found.items():
        print(f"\n## {heading}\n")
        for name in sorted(names):
            times = names[name]
            print(f"{name} (x{times})" if heading == PROST and times > 1 else name)


if __name__ == "__main__":
    main()
