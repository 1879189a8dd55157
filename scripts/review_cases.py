#!/usr/bin/env python3
"""Runs the cases of review/ with and without their disruption, side by side.

Build the programs first: cargo build --release --locked --package anvilloft-platform.
The records are in target/review-runs. Exits with 0 if all rules held, 1 if one was
broken, and 2 if a case couldn't run. Case 5 is a day of the bench and isn't run.
"""

import argparse
import concurrent.futures
import os
import shutil
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
RUNS = os.path.join(ROOT, "target", "review-runs")
CASES = ["1", "2", "3", "4"]
TIMEOUT_S = 300
OUTCOMES = {0: "held", 1: "BROKEN"}


def rule_of(case):
    with open(os.path.join(ROOT, "review", case, "claim.txt")) as f:
        return f.readline().removeprefix("rule:").strip()


def prepare(name):
    """Copies the cases to a folder of this run's own, since each writes its record."""
    folder = os.path.join(RUNS, name)
    shutil.rmtree(folder, ignore_errors=True)
    os.makedirs(folder)
    shutil.copytree(os.path.join(ROOT, "review"), os.path.join(folder, "review"))
    for shared in ("deploy", "target"):
        os.symlink(os.path.join(ROOT, shared), os.path.join(folder, shared))
    return folder


def run(case, trouble, number):
    folder = prepare(f"{case}-{'with' if trouble else 'without'}-{number}")
    env = dict(os.environ, TROUBLE="1" if trouble else "0")
    script = os.path.join(folder, "review", case, "run.sh")
    try:
        code = subprocess.run([script], env=env, timeout=TIMEOUT_S, capture_output=True).returncode
    except subprocess.TimeoutExpired:
        code = 2
    return code


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("cases", nargs="*", metavar="CASE", help="of 1 to 4; all by default")
    parser.add_argument("--times", type=int, default=1, help="runs of each case (default: 1)")
    args = parser.parse_args()
    unknown = [case for case in args.cases if case not in CASES]
    if unknown:
        parser.error(f"case {unknown[0]} does not exist or is no script")
    codes = []
    for number in range(args.times):
        runs = [(case, trouble) for case in args.cases or CASES for trouble in (True, False)]
        with concurrent.futures.ThreadPoolExecutor(len(runs)) as pool:
            futures = [pool.submit(run, case, trouble, number) for case, trouble in runs]
        for (case, trouble), future in zip(runs, futures):
            code = future.result()
            codes.append(code)
            print(f"case {case} ({rule_of(case)}), {'with' if trouble else 'without'} the "
                  f"disruption: {OUTCOMES.get(code, 'not run')}", flush=True)
    if any(code not in OUTCOMES for code in codes):
        return 2
    return max(codes)


if __name__ == "__main__":
    sys.exit(main())
