#!/usr/bin/env python3
"""Soak test of a fleet whose daemons are killed and suspended.

Runs 3 control members, 3 routers, emulated engines and an order service. Clients
send chats and orders through random routers and retry failed requests. A seeded
schedule kills and restarts daemons, or suspends and resumes them with signals. At
the end all daemons run and these conditions are checked:

- topped_up = unspent + allotted + settled, and settled covers every chat with a
  complete response, and each order key once;
- all responses to an order key are equal, and the service ran the order once;
- the response to a chat contains its own prompt.

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

TIMEOUT_S = 8


def post(port, path, api_key, body, idempotency_key):
    """Returns status and body; status 0 and the error if the connection failed."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    try:
        conn.request("POST", path, body, {"Authorization": f"Bearer {api_key}",
                                          "Idempotency-Key": idempotency_key})
        reply = conn.getresponse()
        return reply.status, reply.read().decode()
    except (OSError, http.client.HTTPException) as e:
        return 0, repr(e)
    finally:
        conn.close()


class Client(threading.Thread):
    """Sends orders and chats in turn until the deadline."""

    def __init__(self, number, seed, ports, api_key, deadline):
        super().__init__()
        self.number, self.ports, self.api_key, self.deadline = number, ports, api_key, deadline
        self.rng = random.Random(seed * 1000 + number)
        self.counts = collections.Counter()
        # Responses to each order, by idempotency key.
        self.order_responses = {}
        # Key and tokens of each completed chat.
        self.completed_chats = set()

    def run(self):
        n = 0
        while time.monotonic() < self.deadline:
            n += 1
            if n % 2:
                self.order(f"order-{self.number}-{n}")
            else:
                self.chat(f"chat-{self.number}-{n}")

    def call(self, path, body, key):
        """Returns status, body, and for an error whether the request ran (`error.run`)."""
        status, text = post(self.rng.choice(self.ports), path, self.api_key, body, key)
        run = ""
        if status not in (0, 200):
            run = json.loads(text)["error"]["run"]
        self.counts[f"{path.split('/')[2]} {status} {run}".strip()] += 1
        return status, text, run

    def order(self, key):
        for _ in range(12):
            status, text, run = self.call("/v1/services/orders/new", '{"n":1}', key)
            if status == 200:
                self.order_responses.setdefault(key, set()).add(text)
                # Repeats the order through a random router.
                status, text, _ = self.call("/v1/services/orders/new", '{"n":1}', key)
                if status == 200:
                    self.order_responses[key].add(text)
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
                assert f"[{key}]" in text, f"chat {key} got another chat's response: {text}"
                self.completed_chats.add((key, json.loads(text)["usage"]["total_tokens"]))
                return
            time.sleep(0.2)


def inject_faults(fleet, rng, deadline):
    """Kills or suspends one daemon at a time, so at most one control member.

    Returns the number of faults of each kind.
    """
    names = ["c0", "c1", "c2", "r0", "r1", "r2"]
    fault_counts = collections.Counter()
    while time.monotonic() < deadline:
        time.sleep(rng.uniform(0.5, 2.5))
        name, kind = rng.choice(names), rng.choice(["kill", "freeze"])
        fault_counts[f"{kind} {name[0]}"] += 1
        if kind == "kill":
            fleet.kill(name)
            time.sleep(rng.uniform(0, 4))
            fleet.start_daemon(name)
        else:
            fleet.set_frozen(name, True)
            time.sleep(rng.uniform(0.2, 5))
            fleet.set_frozen(name, False)
    return fault_counts


def show_budget(fleet):
    return json.loads(fleet.run_cli("budget", "show", "main", "--json"))


def set_up(fleet):
    """Configures a team, starts the endpoints and returns the team's API key."""
    reason = ("--reason", "soak")
    fleet.run_cli("team", "set", "t", *reason)
    fleet.run_cli("budget", "set", "main", "--team", "t", *reason)
    fleet.run_cli("budget", "topup", "main", "100000000", *reason)
    fleet.run_cli("model", "set", "m", "--default-max-tokens", "4", "--max-tokens", "64", *reason)
    fleet.run_cli("service", "set", "orders", "--idempotent", "false", "--price", "3", *reason)
    out = fleet.run_cli("key", "make", "k", "--team", "t", "--budget", "main", "--json", *reason)
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
    failures = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder, 3, 0)
        try:
            api_key = set_up(fleet)
            deadline = time.monotonic() + args.seconds
            clients = [Client(n, args.seed, fleet.caller_ports, api_key, deadline)
                       for n in range(args.clients)]
            for c in clients:
                c.start()
            fault_counts = inject_faults(fleet, random.Random(args.seed), deadline)
            for c in clients:
                c.join()
            time.sleep(args.wait)
            amounts = show_budget(fleet)
            counts = sum((c.counts for c in clients), collections.Counter())
            responses = {k: v for c in clients for k, v in c.order_responses.items()}
            chats = [s for c in clients for s in c.completed_chats]
            # An order costs 3 tokens.
            min_settled = sum(tokens for _, tokens in chats) + 3 * len(responses)
            for k, texts in responses.items():
                if len(texts) != 1 or json.loads(next(iter(texts)))["run"] != 1:
                    failures.append(f"order {k}: {texts}")
            total = amounts["unspent"] + amounts["allotted"] + amounts["settled"]
            if amounts["topped_up"] != total:
                failures.append(f"sums differ: {amounts}")
            print(json.dumps({"seed": args.seed, "disturbed": fault_counts, "calls": counts,
                              "chats": len(chats), "orders": len(responses),
                              "answered_tokens": min_settled, "amounts": amounts}, indent=1))
            if amounts["settled"] < min_settled:
                failures.append(f"{min_settled - amounts['settled']} tokens of "
                                "complete responses are not settled")
        finally:
            fleet.stop()
    print("\n".join(failures) if failures else "all checks hold")
    raise SystemExit(1 if failures else 0)


main()
