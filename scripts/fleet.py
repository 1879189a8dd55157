"""Runs a fleet of daemon processes on loopback ports, for the other scripts.

`Fleet.stop` kills every process that the fleet started.
"""

import os
import pathlib
import re
import signal
import socket
import subprocess
import time

BIN = pathlib.Path(__file__).resolve().parent.parent / "target" / "release"


def free_port(used):
    """Returns a free port that is not in `used`, and adds it."""
    # Below the ephemeral range, so that no outgoing connection takes the port before
    # the daemon binds it.
    for port in range(20000, 32000):
        if port in used:
            continue
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        used.add(port)
        return port
    raise SystemExit("no free port from 20000 to 31999")


class Fleet:
    """Three control members, `routers` routers and `endpoints` emulated engines."""

    def __init__(self, folder, routers, endpoints):
        self.folder = pathlib.Path(folder)
        self.processes = {}
        used = set()
        self.control_peer_ports = [free_port(used) for _ in range(3)]
        self.admin_ports = [free_port(used) for _ in range(3)]
        self.caller_ports = [free_port(used) for _ in range(routers)]
        self.router_peer_ports = [free_port(used) for _ in range(routers)]
        os.umask(0o077)
        self.write_file("fleet.key", "0123456789abcdef0123456789abcdef-fleet")
        self.write_file("endpoint.key", "0123456789abcdef0123456789abcdef-endpoint")
        out = self.run_cli("bootstrap", str(self.folder / "op.hash"))
        self.write_file("op.key", out.splitlines()[0].strip())
        control = ",".join(f"127.0.0.1:{p}" for p in self.control_peer_ports)
        for n in range(3):
            self.write_file(f"c{n}.ini", f"""[control]
name = c{n}
data_centre = dc{n}
data_folder = {self.folder}/c{n}.data
peer_listen = 127.0.0.1:{self.control_peer_ports[n]}
admin_listen = 127.0.0.1:{self.admin_ports[n]}
group = {"new" if n == 0 else "join"}
[peers]
control = {control}
[key]
fleet_file = {self.folder}/fleet.key
operator_hash_file = {self.folder}/op.hash
""")
            self.start_daemon(f"c{n}")
        self.wait_for_log("c0", '"leads":true')
        for n in (1, 2):
            member = self.wait_for_log(f"c{n}", r'"member":"([0-9a-f]{16})"').group(1)
            self.run_cli("member", "add", member, f"127.0.0.1:{self.control_peer_ports[n]}")
        for n in range(routers):
            # `start_daemon` reuses these settings at each restart.
            self.write_file(f"r{n}.ini", f"""[router]
name = r{n}
data_centre = dc{n % 3}
caller_listen = 127.0.0.1:{self.caller_ports[n]}
peer_listen = 127.0.0.1:{self.router_peer_ports[n]}
[peers]
control = {control}
[key]
fleet_file = {self.folder}/fleet.key
endpoint_file = {self.folder}/endpoint.key
""")
            self.start_daemon(f"r{n}")
        if endpoints:
            self.emulate("e", "--model", "m", "--count", str(endpoints))

    def emulate(self, name, *args):
        """Starts emulated endpoints that announce themselves to two routers."""
        routers = ",".join(f"127.0.0.1:{p}" for p in self.caller_ports[:2])
        self.spawn(name, "anvilloft", "emulate", "--routers", routers, "--id", name,
                   "--endpoint-key-file", f"{self.folder}/endpoint.key", *args)

    def write_file(self, name, text):
        (self.folder / name).write_text(text)

    def run_cli(self, *args):
        """Runs `anvilloft` as the operator and returns its standard output."""
        env = dict(os.environ, ANVILLOFT_KEY_FILE=str(self.folder / "op.key"),
                   ANVILLOFT_ADMIN=",".join(f"127.0.0.1:{p}" for p in self.admin_ports))
        result = subprocess.run([BIN / "anvilloft", *args], env=env, check=True,
                                capture_output=True, text=True)
        return result.stdout

    def start_daemon(self, name):
        """Starts or restarts a daemon: `c0` is a control member, `r0` a router."""
        binary = "anvilloft-control" if name.startswith("c") else "anvilloft-router"
        self.spawn(name, binary, "--settings", f"{self.folder}/{name}.ini")

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def set_frozen(self, name, frozen):
        """Suspends a process with SIGSTOP or resumes it with SIGCONT."""
        signum = signal.SIGSTOP if frozen else signal.SIGCONT
        self.processes[name].send_signal(signum)

    def spawn(self, name, binary, *args):
        with open(self.folder / f"{name}.log", "a") as log:
            self.processes[name] = subprocess.Popen([BIN / binary, *args], stdout=log, stderr=log)

    def wait_for_log(self, name, pattern):
        """Waits up to 30 s for a pattern in a process's log and returns the match."""
        for _ in range(300):
            match = re.search(pattern, (self.folder / f"{name}.log").read_text())
            if match:
                return match
            time.sleep(0.1)
        raise SystemExit(f"{name} did not log {pattern!r} within 30 s")

    def stop(self):
        """Kills all processes."""
        for p in self.processes.values():
            p.kill()
        for p in self.processes.values():
            p.wait()
