#!/usr/bin/env python3
"""Measures the processor time, memory and traffic of an idle fleet's daemons.

Starts 3 control members, N routers and E emulated endpoints as processes on
loopback ports and waits until all are up. Then reads the processor time and memory
of each daemon from /proc, and the bytes of its peer sessions from `ss -ti`, over a
number of seconds. Kills every process that it started.

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
    """Returns for each process the bytes sent and received on connections of `ports`."""
    text = subprocess.run(["ss", "-Htinp"], capture_output=True, text=True, check=True).stdout
    totals = {pid: 0 for pid in pids}
    for line in re.sub(r"\n\s+", " ", text).splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if not owner or int(owner.group(1)) not in totals:
            continue
        line_ports = {int(p) for p in re.findall(r"127\.0\.0\.1:(\d+)", line)}
        if not line_ports & ports:
            continue
        for kind in ("bytes_sent", "bytes_received"):
            match = re.search(rf"{kind}:(\d+)", line)
            totals[int(owner.group(1))] += int(match.group(1)) if match else 0
    return totals


def measure(routers, endpoints, seconds):
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder, routers, endpoints)
        try:
            time.sleep(6)
            pids = {n: p.pid for n, p in fleet.processes.items() if n != "e"}
            ports = set(fleet.control_peer_ports) | set(fleet.router_peer_ports)
            start = time.monotonic()
            cpu_before = {n: cpu_seconds(p) for n, p in pids.items()}
            bytes_before = peer_bytes(set(pids.values()), ports)
            time.sleep(seconds)
            elapsed = time.monotonic() - start
            bytes_after = peer_bytes(set(pids.values()), ports)
            row = {"routers": routers, "endpoints": endpoints}
            for role, prefix in (("control", "c"), ("router", "r")):
                names = [n for n in pids if n.startswith(prefix)]
                cpu_percent = [100 * (cpu_seconds(pids[n]) - cpu_before[n]) / elapsed
                               for n in names]
                kb_per_s = [(bytes_after[pids[n]] - bytes_before[pids[n]]) / elapsed / 1000
                            for n in names]
                row[role] = {
                    "core_percent_mean": round(sum(cpu_percent) / len(cpu_percent), 2),
                    "core_percent_max": round(max(cpu_percent), 2),
                    "memory_mib_max": round(max(memory_mib(pids[n]) for n in names), 1),
                    "kb_per_s_mean": round(sum(kb_per_s) / len(kb_per_s), 2),
                    "kb_per_s_max": round(max(kb_per_s), 2),
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
