"""A fleet of daemon processes on loopback ports, for the scripts beside it.

Everything that it started is ended by its id in `stop`.
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
    # Below the range of outgoing connections, so that none takes it meanwhile.
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
    raise SystemExit("no free port")


class Fleet:
    def __init__(self, folder, routers, endpoints):
        self.folder = pathlib.Path(folder)
        self.processes = {}
        used = set()
        self.peer = [free_port(used) for _ in range(3)]
        self.admin = [free_port(used) for _ in range(3)]
        self.caller = [free_port(used) for _ in range(routers)]
        self.router_peer = [free_port(used) for _ in range(routers)]
        os.umask(0o077)
        self.write("fleet.key", "0123456789abcdef0123456789abcdef-fleet")
        self.write("endpoint.key", "0123456789abcdef0123456789abcdef-endpoint")
        out = self.command("bootstrap", str(self.folder / "op.hash"))
        self.write("op.key", out.splitlines()[0].strip())
        control = ",".join(f"127.0.0.1:{p}" for p in self.peer)
        for n in range(3):
            self.write(f"c{n}.ini", f"""[control]
name = c{n}
data_centre = dc{n}
data_folder = {self.folder}/c{n}.data
peer_listen = 127.0.0.1:{self.peer[n]}
admin_listen = 127.0.0.1:{self.admin[n]}
group = {"new" if n == 0 else "join"}
[peers]
control = {control}
[key]
fleet_file = {self.folder}/fleet.key
operator_hash_file = {self.folder}/op.hash
""")
            self.restart(f"c{n}")
        self.wait_for("c0", '"leads":true')
        for n in (1, 2):
            member = self.wait_for(f"c{n}", r'"member":"([0-9a-f]{16})"').group(1)
            self.command("member", "add", member, f"127.0.0.1:{self.peer[n]}")
        for n in range(routers):
            # Written once; `restart` starts a daemon with the same settings.
            self.write(f"r{n}.ini", f"""[router]
name = r{n}
data_centre = dc{n % 3}
caller_listen = 127.0.0.1:{self.caller[n]}
peer_listen = 127.0.0.1:{self.router_peer[n]}
[peers]
control = {control}
[key]
fleet_file = {self.folder}/fleet.key
endpoint_file = {self.folder}/endpoint.key
""")
            self.restart(f"r{n}")
        if endpoints:
            self.emulate("e", "--model", "m", "--count", str(endpoints))

    def emulate(self, name, *args):
        routers = ",".join(f"127.0.0.1:{p}" for p in self.caller[:2])
        self.start(name, "anvilloft", "emulate", "--routers", routers, "--id", name,
                   "--endpoint-key-file", f"{self.folder}/endpoint.key", *args)

    def write(self, name, text):
        (self.folder / name).write_text(text)

    def command(self, *args):
        env = dict(os.environ, ANVILLOFT_KEY_FILE=str(self.folder / "op.key"),
                   ANVILLOFT_ADMIN=",".join(f"127.0.0.1:{p}" for p in self.admin))
        done = subprocess.run([BIN / "anvilloft", *args], env=env, check=True,
                              capture_output=True, text=True)
        return done.stdout

    def restart(self, name):
        binary = "anvilloft-control" if name.startswith("c") else "anvilloft-router"
        self.start(name, binary, "--settings", f"{self.folder}/{name}.ini")

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name, frozen):
        number = signal.SIGSTOP if frozen else signal.SIGCONT
        self.processes[name].send_signal(number)

    def start(self, name, binary, *args):
        with open(self.folder / f"{name}.log", "a") as log:
            self.processes[name] = subprocess.Popen([BIN / binary, *args], stdout=log, stderr=log)

    def wait_for(self, name, pattern):
        for _ in range(300):
            found = re.search(pattern, (self.folder / f"{name}.log").read_text())
            if found:
                return found
            time.sleep(0.1)
        raise SystemExit(f"{name}: {pattern} was not logged")

    def stop(self):
        for p in self.processes.values():
            p.kill()
        for p in self.processes.values():
            p.wait()
