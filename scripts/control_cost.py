#!/usr/bin/env python3
"""Measures what an idle fleet spends on control.

Starts 3 control members, N routers and E emulated endpoints as processes on
loopback ports, waits until all are up, and reads processor time and memory of
each process from /proc and the bytes of its peer sessions from `ss -ti` over a
number of seconds. Everything that it started is ended by its id.

    cargo build --release
    scripts/control_cost.py --routers 2 5 9 --endpoints 0 12 --seconds 10
"""

import argparse
import json
import os
import pathlib
import re
import subprocess
import tempfile
import time

from fleet import Fleet


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mib(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024


def peer_bytes(pids, ports):
    """Returns bytes sent and received a process on connections of peer ports."""
    text = subprocess.run(["ss", "-Htinp"], capture_output=True, text=True, check=True).stdout
    totals = {pid: 0 for pid in pids}
    for line in re.sub(r"\n\s+", " ", text).splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if not owner or int(owner.group(1)) not in totals:
            continue
        ends = {int(p) for p in re.findall(r"127\.0\.0\.1:(\d+)", line)}
        if not ends & ports:
            continue
        for kind in ("bytes_sent", "bytes_received"):
            found = re.search(rf"{kind}:(\d+)", line)
            totals[int(owner.group(1))] += int(found.group(1)) if found else 0
    return totals


def measure(routers, endpoints, seconds):
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder, routers, endpoints)
        try:
            time.sleep(6)
            pids = {n: p.pid for n, p in fleet.processes.items() if n != "e"}
            ports = set(fleet.peer) | set(fleet.router_peer)
            start = time.monotonic()
            cpu = {n: cpu_seconds(p) for n, p in pids.items()}
            sent = peer_bytes(set(pids.values()), ports)
            time.sleep(seconds)
            span = time.monotonic() - start
            after = peer_bytes(set(pids.values()), ports)
            row = {"routers": routers, "endpoints": endpoints}
            for role, letter in (("control", "c"), ("router", "r")):
                names = [n for n in pids if n.startswith(letter)]
                used = [100 * (cpu_seconds(pids[n]) - cpu[n]) / span for n in names]
                net = [(after[pids[n]] - sent[pids[n]]) / span / 1000 for n in names]
                row[role] = {
                    "core_percent_mean": round(sum(used) / len(used), 2),
                    "core_percent_max": round(max(used), 2),
                    "memory_mib_max": round(max(memory_mib(pids[n]) for n in names), 1),
                    "kb_per_s_mean": round(sum(net) / len(net), 2),
                    "kb_per_s_max": round(max(net), 2),
                }
            return row
        finally:
            fleet.stop()


def main():
    args = argparse.ArgumentParser(description=__doc__,
                                   formatter_class=argparse.RawDescriptionHelpFormatter)
    args.add_argument("--routers", type=int, nargs="+", default=[2, 5, 9])
    args.add_argument("--endpoints", type=int, nargs="+", default=[0, 12])
    args.add_argument("--seconds", type=int, default=10)
    args = args.parse_args()
    for routers in args.routers:
        for endpoints in args.endpoints:
            print(json.dumps(measure(routers, endpoints, args.seconds)), flush=True)


main()
