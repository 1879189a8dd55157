#!/usr/bin/env python3
"""Soaks a fleet of processes under kills and freezes and checks its sums.

3 control members, 3 routers, emulated engines and an order service. Clients
send chats and orders and repeat what was not answered, through any router. A
seeded schedule kills and restarts daemons, or stops and continues them with
signals. At the end every daemon runs and these must hold:

- topped_up = unspent + allotted + settled, and settled covers every chat that
  was answered whole, once for each key;
- every order key has one answer, and the service ran it once;
- every chat is answered with its own prompt.

    cargo build --release
    scripts/soak.py --seed 1 --seconds 60
"""

import argparse
import collections
import http.client
import json
import random
import tempfile
import threading
import time

from fleet import Fleet

LIMIT_S = 8


def post(port, path, key, body, idempotency):
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=LIMIT_S)
    try:
        conn.request("POST", path, body, {"Authorization": f"Bearer {key}",
                                          "Idempotency-Key": idempotency})
        reply = conn.getresponse()
        return reply.status, reply.read().decode()
    except (OSError, http.client.HTTPException) as e:
        return 0, repr(e)
    finally:
        conn.close()


class Client(threading.Thread):
    def __init__(self, number, seed, ports, key, until):
        super().__init__()
        self.number, self.ports, self.key, self.until = number, ports, key, until
        self.rng = random.Random(seed * 1000 + number)
        self.counts = collections.Counter()
        self.answers = {}
        self.served = set()

    def run(self):
        n = 0
        while time.monotonic() < self.until:
            n += 1
            if n % 2:
                self.order(f"order-{self.number}-{n}")
            else:
                self.chat(f"chat-{self.number}-{n}")

    def call(self, path, body, key):
        status, text = post(self.rng.choice(self.ports), path, self.key, body, key)
        run = ""
        if status not in (0, 200):
            run = json.loads(text)["error"]["run"]
        self.counts[f"{path.split('/')[2]} {status} {run}".strip()] += 1
        return status, text, run

    def order(self, key):
        for _ in range(12):
            status, text, run = self.call("/v1/services/orders/new", '{"n":1}', key)
            if status == 200:
                self.answers.setdefault(key, set()).add(text)
                # Asks once more, through any router.
                status, text, _ = self.call("/v1/services/orders/new", '{"n":1}', key)
                if status == 200:
                    self.answers[key].add(text)
                return
            if run == "unknown":
                return
            time.sleep(0.2)

    def chat(self, key):
        body = json.dumps({"model": "m", "max_tokens": 4, "stream": False,
                           "messages": [{"role": "user", "content": key}]})
        for _ in range(12):
            status, text, _ = self.call("/v1/chat/completions", body, key)
            if status == 200:
                assert f"[{key}]" in text, f"{key} got another answer: {text}"
                self.served.add((key, json.loads(text)["usage"]["total_tokens"]))
                return
            time.sleep(0.2)


def disturb(fleet, rng, until):
    """Kills or freezes one daemon at a time, at most one control member."""
    names = ["c0", "c1", "c2", "r0", "r1", "r2"]
    done = collections.Counter()
    while time.monotonic() < until:
        time.sleep(rng.uniform(0.5, 2.5))
        name, kind = rng.choice(names), rng.choice(["kill", "freeze"])
        done[f"{kind} {name[0]}"] += 1
        if kind == "kill":
            fleet.kill(name)
            time.sleep(rng.uniform(0, 4))
            fleet.restart(name)
        else:
            fleet.freeze(name, True)
            time.sleep(rng.uniform(0.2, 5))
            fleet.freeze(name, False)
    return done


def budget(fleet):
    return json.loads(fleet.command("budget", "show", "main", "--json"))


def set_up(fleet):
    reason = ("--reason", "soak")
    fleet.command("team", "set", "t", *reason)
    fleet.command("budget", "set", "main", "--team", "t", *reason)
    fleet.command("budget", "topup", "main", "100000000", *reason)
    fleet.command("model", "set", "m", "--default-max-tokens", "4", "--max-tokens", "64", *reason)
    fleet.command("service", "set", "orders", "--idempotent", "false", "--price", "3", *reason)
    out = fleet.command("key", "make", "k", "--team", "t", "--budget", "main", "--json", *reason)
    fleet.emulate("e", "--model", "m", "--count", "3", "--token-ms", "2", "--first-token-ms", "5")
    fleet.emulate("shop", "--service", "orders")
    time.sleep(5)
    return json.loads(out)["secret"]


def main():
    args = argparse.ArgumentParser(description=__doc__,
                                   formatter_class=argparse.RawDescriptionHelpFormatter)
    args.add_argument("--seed", type=int, default=1)
    args.add_argument("--seconds", type=int, default=60)
    args.add_argument("--clients", type=int, default=8)
    args.add_argument("--wait", type=int, default=8,
                      help="seconds for settlements to arrive before the sums are read")
    args = args.parse_args()
    faults = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder, 3, 0)
        try:
            key = set_up(fleet)
            until = time.monotonic() + args.seconds
            clients = [Client(n, args.seed, fleet.caller, key, until) for n in range(args.clients)]
            for c in clients:
                c.start()
            done = disturb(fleet, random.Random(args.seed), until)
            for c in clients:
                c.join()
            time.sleep(args.wait)
            amounts = budget(fleet)
            counts = sum((c.counts for c in clients), collections.Counter())
            answers = {k: v for c in clients for k, v in c.answers.items()}
            served = [s for c in clients for s in c.served]
            whole = sum(tokens for _, tokens in served) + 3 * len(answers)
            for k, texts in answers.items():
                if len(texts) != 1 or json.loads(next(iter(texts)))["run"] != 1:
                    faults.append(f"{k}: {texts}")
            total = amounts["unspent"] + amounts["allotted"] + amounts["settled"]
            if amounts["topped_up"] != total:
                faults.append(f"sums differ: {amounts}")
            print(json.dumps({"seed": args.seed, "disturbed": done, "calls": counts,
                              "chats": len(served), "orders": len(answers),
                              "answered_tokens": whole, "amounts": amounts}, indent=1))
            if amounts["settled"] < whole:
                faults.append(f"{whole - amounts['settled']} answered tokens are not settled")
        finally:
            fleet.stop()
    print("\n".join(faults) if faults else "all checks hold")
    raise SystemExit(1 if faults else 0)


main()
