"""A small deployment of the project's own programs on loopback addresses, with stand-ins
of clients, servers, the operator and the platform. Only the Python standard library is
used. Each machine has its own address 127.A.B.N.

The stand-ins follow PROTOCOL.md and DEPLOY.md:
- Platform: writes the settings files, starts, stops, kills and restarts processes.
- Server: announces itself, answers requests, and obeys X-Expect-Instance.
- Operator: sends configurations to any core machine until one is acknowledged.
- Client: sends requests to one front address, with an X-Attempt-Id of its own each.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
GRACE_S = 8.0
HEARTBEAT_S = 1.2
RESTART_S = 0.2  # pause of the platform before it starts an ended process again

START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, in `record.txt`."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, text):
        self.file.write("%9.3f  %s\n" % (now(), text))


def deploy_commands():
    """Reads the commands of the roles from the deploy file."""
    commands, role = {}, None
    with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
        for line in f:
            if m := re.match(r"\[roles\.(\S+)\]", line):
                role = m.group(1)
            elif (m := re.match(r'run = "(.*)"', line)) and role:
                commands[role] = m.group(1).split()
    return commands


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Machine:
    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.settings_path = os.path.join(fleet.folder, name + ".toml")
        self.log_path = os.path.join(fleet.folder, name + ".log")
        self.data = os.path.join(fleet.folder, name + "-data")
        self.proc = None
        self.started_at = None
        self.disturbed_at = -1e9  # last kill, stop, start, freeze or reset

    def write_settings(self, bootstrap):
        f = self.fleet
        lines = [
            'node = "%s"' % self.name,
            'role = "%s"' % self.role,
            'machineClass = "%s"' % self.role,
            "serves = %s" % json.dumps(["front"] if self.role == "front" else ["control", "directory"]),
            'ip = "%s"' % self.ip,
            'zone = "%s"' % self.zone,
            'region = "r1"',
            "internalPortRange = [%d,%d]" % (f.internal, f.internal + 15),
            "seeds = %s" % json.dumps(["%s:%d" % (c.ip, f.control_port) for c in f.cores[:3]]),
            "bootstrap = %s" % ("true" if bootstrap else "false"),
            "inTolerance = %s" % ("true" if self.role == "core" else "false"),
            'discovery = "registration"',
            'entry = "directory"',
            "heartbeatMs = 1200",
            'contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]',
            'configMode = "highest"',
        ]
        if self.role == "core":
            lines.append('dataDir = "%s"' % self.data)
        lines += ["[zones]"] + ['%s = "r1"' % z for z in f.zones]
        lines.append("[listen]")
        if self.role == "core":
            lines.append('control = "%s:%d"' % (self.ip, f.control_port))
            lines.append('directory = "%s:%d"' % (self.ip, f.directory_port))
        else:
            lines.append('front = "%s:%d"' % (self.ip, f.front_port))
            lines.append('ready = "%s:%d"' % (self.ip, f.ready_port))
        lines += [
            "[limits]", "cpuShare = 0.25", "cores = 1",
            "memoryMb = %d" % (110 if self.role == "front" else 256),
            "maxFds = 4096", "linkMbps = 1000.0",
            "diskMb = %d" % (0 if self.role == "front" else 128),
            "[faultTolerance]", "machines = 1", "zones = 0", "regions = 0",
            "[bounds]", "seedLagS = 3", "reuseAfterS = 2", "stableWindowMs = 3000",
            "ackMs = 4000", "catchUpS = 4", "drainMs = 2000", "graceS = 8",
            "lossSlackMs = 200", "configApplyMs = 2000", "rollbackSlackMs = 250",
            "maxSkewMs = 5000", "strictRevoke = false", "revokeMs = 5000",
            "retryBudgetRatio = 0.2", "budgetWindowS = 10", "budgetSlack = 56",
            "recoverS = 12", "passMs = 120", "retryAfterS = 9.6", "settle_ms = 1500",
            "ttl_max_s = 5",
        ]
        with open(self.settings_path, "w") as out:
            out.write("\n".join(lines) + "\n")

    async def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["ANVILLOFT_SETTINGS"] = self.settings_path
        if self.role == "core":
            os.makedirs(self.data, exist_ok=True)
        log = open(self.log_path, "a")
        args = self.fleet.commands[self.role]
        self.proc = await asyncio.create_subprocess_exec(
            *args, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.started_at = self.disturbed_at = now()
        self.fleet.record("platform: start %s pid %d" % (self.name, self.proc.pid))

    def signal(self, sig):
        self.disturbed_at = now()
        self.fleet.record("platform: %s %s" % (signal.Signals(sig).name, self.name))
        if self.proc and self.proc.returncode is None:
            self.proc.send_signal(sig)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.proc.wait()

    async def restart(self):
        """Kills the process and starts it again, as the platform does."""
        await self.kill()
        await asyncio.sleep(RESTART_S)
        await self.start()

    def in_touch(self, at):
        """Whether nothing disturbed this machine or the core in the window before."""
        last = max([self.disturbed_at] + [c.disturbed_at for c in self.fleet.cores])
        return at - last >= STABLE_WINDOW_S


class Fleet:
    def __init__(self, record, cores=5, fronts=2, zones=("z1", "z2", "z3")):
        self.record = record
        self.commands = deploy_commands()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.zones = zones
        self.net = "127.%d.%d" % (random.randint(10, 250), random.randint(1, 250))
        ip = lambda n: "%s.%d" % (self.net, n)
        base = self.find_base(ip, 1 + cores + fronts)
        self.internal = base
        self.control_port, self.directory_port = base + 20, base + 21
        self.front_port, self.ready_port = base + 22, base + 23
        zone = lambda n: zones[n % len(zones)]
        self.cores, self.fronts = [], []
        for n in range(cores):
            self.cores.append(Machine(self, "core-%d" % (n + 1), "core", ip(1 + n), zone(n)))
        for n in range(fronts):
            self.fronts.append(Machine(self, "front-%d" % (n + 1), "front", ip(1 + cores + n), zone(n)))
        self.next_server_ip = 1 + cores + fronts
        self.servers, self.tasks = [], []

    @staticmethod
    def find_base(ip, count):
        for _ in range(50):
            base = random.randrange(20000, 30000, 40)
            try:
                for n in range(1, count):
                    for port in list(range(base, base + 3)) + list(range(base + 20, base + 24)):
                        with socket.socket() as s:
                            s.bind((ip(n), port))
                return base
            except OSError:
                continue
        raise OSError("no free ports")

    @property
    def machines(self):
        return self.cores + self.fronts

    def server_ip(self):
        self.next_server_ip += 1
        return "%s.%d" % (self.net, self.next_server_ip)

    async def boot(self):
        for m in self.machines:
            m.write_settings(bootstrap=True)
        for m in self.machines:
            await m.start()
        await asyncio.sleep(2.0)
        for m in self.machines:
            m.write_settings(bootstrap=False)

    async def wait_ready(self, limit=20.0):
        """Waits until every front says that it is ready."""
        end = now() + limit
        for m in self.fronts:
            while True:
                try:
                    status, _, _ = await call(m.ip, self.ready_port, "GET", "/readiness", timeout=1)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if now() > end:
                    raise RuntimeError("%s is not ready" % m.name)
                await asyncio.sleep(0.1)

    async def put_config(self, config, limit=20.0):
        """Sends a configuration to the core machines in turn until one acknowledges it."""
        body = json.dumps(config).encode()
        end, n = now() + limit, 0
        while now() < end:
            core = self.cores[n % len(self.cores)]
            n += 1
            try:
                status, _, _ = await call(core.ip, self.control_port, "POST", "/config/put", body=body, timeout=1)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status = None
            self.record("operator: put version %d at %s -> %s" % (config["version"], core.name, status))
            if status == 200:
                return core
            if status is not None and 400 <= status < 500:
                raise RuntimeError("configuration refused: %s" % status)
            await asyncio.sleep(0.2)
        raise RuntimeError("configuration not acknowledged")

    async def close(self):
        for t in self.tasks:
            t.cancel()
        for s in self.servers:
            s.close()
        for m in self.machines:
            if m.proc and m.proc.returncode is None:
                try:
                    m.proc.send_signal(signal.SIGCONT)
                    m.proc.kill()
                except ProcessLookupError:
                    pass
                await m.proc.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version, host, routes, services, tenants):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants,
    }


def plain_route(name, host, prefix, kind, service, attempts=1, timeout=1200, aim=150):
    return {"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout,
            "targetLatencyMs": aim, "priority": 2, "service": service, "maxAttempts": attempts,
            "allowAnonymous": False, "affinity": False, "resumable": False}


def stream_route(name, host, prefix, service, timeout=10000, aim=800, attempts=2, resumable=True):
    return {"name": name, "host": host, "pathPrefix": prefix, "kind": "stream", "timeoutMs": timeout,
            "targetLatencyMs": aim, "priority": 0, "service": service, "maxAttempts": attempts,
            "allowAnonymous": False, "affinity": True, "resumable": resumable, "targetGapMs": 500}


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}


def engine_service(name, stride=4):
    return {"name": name, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": False,
            "engine": {"slots": 64, "kvCapacityTokens": 422155, "kvTokenBytes": 163840,
                       "linkMbps": 550000.0, "moves": True, "backups": True, "stride": stride, "most": 12,
                       "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": [{"name": "m"}]}}


async def read_head(reader):
    """Reads the head of a message. Returns its first line and its headers in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    return head[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b""


async def call(ip, port, method, path, headers=None, body=b"", timeout=1.0):
    """Sends one request on a new channel. Returns status, headers and body."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            head = "%s %s HTTP/1.1\r\n" % (method, path)
            fields = {"Host": "%s:%d" % (ip, port), "Connection": "close"}
            fields.update(headers or {})
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
                fields.setdefault("Content-Type", "application/json")
            head += "".join("%s: %s\r\n" % kv for kv in fields.items()) + "\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            while True:
                line, got = await read_head(reader)
                status = int(line.split()[1])
                if status != 100:
                    break
            return status, got, await read_body(reader, got)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


class Server:
    """A server of one service. `answer` may be replaced to answer otherwise."""

    def __init__(self, fleet, name, service, zone, slots=6):
        self.fleet, self.name, self.service, self.zone, self.slots = fleet, name, service, zone, slots
        self.ip, self.port = fleet.server_ip(), None
        self.sequence, self.state = 0, "ready"
        self.born = int(time.time() * 1000)
        self.leaving = False  # says so in all its answers
        self.arrivals = []  # (time, attempt id, front)
        self.ran = []
        self.beat_to = None  # core machine that gets the status reports, or any
        self.beating = None
        self.channels = set()
        fleet.servers.append(self)

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.beating = asyncio.create_task(self.beat_forever())
        self.fleet.record("server %s: starts at %s:%d" % (self.name, self.ip, self.port))

    def close(self):
        if self.beating:
            self.beating.cancel()
        if getattr(self, "listener", None):
            self.listener.close()
        for w in list(self.channels):
            w.close()

    def front_of(self, writer):
        ip = writer.get_extra_info("peername")[0]
        return next((m.name for m in self.fleet.fronts if m.ip == ip), ip)

    async def say(self, core, path, fields, timeout=1.0):
        body = json.dumps(fields).encode()
        try:
            status, _, _ = await call(core.ip, self.fleet.control_port, "POST",
                                      "/instances/%s/%s" % (self.name, path), body=body, timeout=timeout)
            return status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def beat(self):
        """Sends a status report to one core machine, or to others if it fails."""
        self.sequence += 1
        fields = {"service": self.service, "address": "%s:%d" % (self.ip, self.port), "zone": self.zone,
                  "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                  "sequence": self.sequence, "born": self.born}
        if self.beat_to:
            order = [self.beat_to] + [c for c in self.fleet.cores if c is not self.beat_to]
        else:
            order = random.sample(self.fleet.cores, len(self.fleet.cores))
        for core in order:
            if await self.say(core, "heartbeat", fields) in range(200, 300):
                return core
        return None

    async def beat_forever(self):
        while True:
            core = await self.beat()
            self.last_beat = now()
            self.fleet.record("server %s: status report %d (%s) acknowledged by %s"
                              % (self.name, self.sequence, self.state, core.name if core else None))
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                attempt = headers.get("x-attempt-id", "")
                front = self.front_of(writer)
                if headers.get("x-expect-instance", self.name) != self.name:
                    await self.send(writer, 421, {"X-Instance-Id": self.name}, b"")
                    continue
                self.arrivals.append((now(), attempt, front))
                self.fleet.record("server %s: gets %s from %s" % (self.name, attempt, front))
                if not await self.answer(reader, writer, method, path, headers, body, attempt, front):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def send(self, writer, status, fields, body):
        if self.leaving:
            fields = dict(fields, **{"Server-Leaving": "1"})
        head = "HTTP/1.1 %d X\r\n" % status
        head += "".join("%s: %s\r\n" % kv for kv in fields.items())
        head += "Content-Length: %d\r\n\r\n" % len(body)
        writer.write(head.encode() + body)
        await writer.drain()

    def seal(self, attempt):
        return {"X-Attempt-Id": attempt, "X-Server-Seal": "seal.%s.%s" % (self.name, attempt)}

    async def answer(self, reader, writer, method, path, headers, body, attempt, front):
        """Runs a request and answers it. Returns whether the channel is kept."""
        self.ran.append((now(), attempt, front))
        await asyncio.sleep(0.03)
        await self.send(writer, 200, self.seal(attempt), b"ran " + attempt.encode())
        return True


class Engine(Server):
    """A model server: answers with a stream of `events` events."""
    events, gap, first = 20, 0.02, 0.1

    async def answer(self, reader, writer, method, path, headers, body, attempt, front):
        self.ran.append((now(), attempt, front))
        await asyncio.sleep(self.first)
        fields = dict(self.seal(attempt), **{"Content-Type": "text/event-stream",
                                             "Transfer-Encoding": "chunked", "X-Weight-Versions": "1"})
        if self.leaving:
            fields["Server-Leaving"] = "1"
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % kv for kv in fields.items()) + "\r\n").encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for n in range(first, self.events + 1):
            event = b"id: %d\ndata: %s-%d\n\n" % (n, attempt.encode(), n)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def attempt_id():
    return "%016x" % random.getrandbits(64)


async def request(fleet, front, method, host, path, key, deadline_ms, extra=None, body=b"", attempt=None):
    """Sends a client's request to a front. Returns (status or None, headers, body, attempt id)."""
    attempt = attempt or attempt_id()
    headers = {"Host": host, "X-Attempt-Id": attempt, "X-Request-Deadline": str(deadline_ms),
               "Authorization": "Bearer " + key}
    headers.update(extra or {})
    try:
        status, got, text = await call(front.ip, fleet.front_port, method, path, headers, body,
                                       timeout=deadline_ms / 1000 + 0.5)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as err:
        fleet.record("client: %s %s to %s -> no complete answer (%s)" % (attempt, path, front.name, type(err).__name__))
        return None, {}, b"", attempt
    sealed = "sealed" if "x-server-seal" in got else "own"
    fleet.record("client: %s %s to %s -> %d %s" % (attempt, path, front.name, status, sealed))
    return status, got, text, attempt


def main(folder, play, limit=110.0):
    """Plays a case. `play(fleet_maker, record, trouble)` returns whether the rule held."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("TROUBLE=%d" % trouble)

    async def run():
        fleets = []

        def make(**options):
            fleets.append(Fleet(record, **options))
            return fleets[-1]
        try:
            return await asyncio.wait_for(play(make, record, trouble), limit)
        finally:
            for fleet in fleets:
                await fleet.close()

    try:
        held = asyncio.run(run())
    except Exception as err:  # the case couldn't run
        record("could not run: %s: %s" % (type(err).__name__, err))
        print("could not run: %s: %s" % (type(err).__name__, err))
        sys.exit(2)
    verdict = "the rule held" if held else "the rule was broken"
    record(verdict)
    print(verdict)
    sys.exit(0 if held else 1)
