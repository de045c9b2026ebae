"""A small deployment on loopback: gateways, store, servers and callers.

The gateways are the project's program, started with the command of the deploy
file. The store is the project's stand-in of tests/soak. Servers and callers
are written here after PROTOCOL.md.
"""

import asyncio
import os
import random
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

import standins  # noqa: E402
import wire  # noqa: E402

HOST = "shop.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def free_port(address):
    """A port that is free at a loopback address."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def note(self, text):
        """Add one line."""
        self.file.write(f"{time.monotonic() - self.begun:9.4f} {text}\n")

    def now(self):
        """Seconds since the start."""
        return time.monotonic() - self.begun


class Server:
    """A backend server as PROTOCOL.md describes it, without any fault."""

    def __init__(self, record, name, service, zone, slots=2, queue=12,
                 max_conns=25, work_s=0.028):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.max_conns = max_conns
        self.work_s = work_s
        self.state = "ready"
        self.started_ms = int(time.time() * 1000)
        self.rng = random.Random(name)
        self.free = asyncio.Semaphore(slots)
        self.taken = 0  # Requests that run or wait.
        self.connections = set()
        self.runs = {}  # Request id: times at which it began to run.
        self.address = ""
        self.proofs = 0
        self.listener = None

    async def start(self):
        """Listen on a free port."""
        self.listener = await asyncio.start_server(
            self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % (
            self.listener.sockets[0].getsockname()[1])

    def stop(self):
        """End the server: no listener, all connections reset."""
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Serve one connection, one request at a time."""
        if len(self.connections) >= self.max_conns:
            writer.transport.abort()
            return
        self.connections.add(writer)
        state = {}  # Of this connection, for servers with faults.
        try:
            while True:
                line, fields, body = await wire.read_message(reader)
                self.arrived(state, writer, fields)
                answer = await self.answer(line, fields, body)
                answer = self.sending(state, fields, answer)
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def arrived(self, state, writer, fields):
        """A request has been read; for servers with faults."""

    def sending(self, state, fields, answer):
        """An answer is about to be sent; for servers with faults."""
        return answer

    def load(self):
        """Header field with the load."""
        running = min(self.taken, self.slots)
        return {"Server-Load": f"{running},{self.taken - running},"
                               f"{self.slots}"}

    def refuse(self, request, status):
        """An answer that says "not run"."""
        self.record.note(f"{self.name} refuses {request} {status}")
        return wire.make_response(status, {
            "Request-Id": request, "Not-Executed": "1", **self.load()})

    async def answer(self, line, fields, body):
        """Run a request, or say that it was not run."""
        request = fields.get("request-id", "")
        if fields.get("expect-instance", self.name) != self.name:
            return self.refuse(request, 421)
        if self.taken >= self.slots + self.queue:
            return self.refuse(request, 503)
        arrived = time.monotonic()
        self.taken += 1
        try:
            async with self.free:
                left = int(fields.get("deadline-ms", 30000)) / 1000
                if time.monotonic() - arrived >= left:
                    return self.refuse(request, 503)
                self.runs.setdefault(request, []).append(self.record.now())
                self.record.note(f"{self.name} runs {request}")
                await asyncio.sleep(self.work_s * self.rng.uniform(0.6, 1.4))
                return self.result(request)
        finally:
            self.taken -= 1

    def result(self, request):
        """The answer of a request that has run."""
        self.proofs += 1
        return wire.make_response(200, {
            "Request-Id": request,
            "Server-Stamp": f"{self.name}.{self.proofs}", **self.load()},
            self.rng.randbytes(100))


class Gateway:
    """One gateway process."""

    def __init__(self, deployment, number, zone):
        self.deployment = deployment
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.ip = f"127.0.{random.randint(10, 250)}.{number + 1}"
        self.ports = {name: free_port(self.ip) for name in (
            "front", "ready", "control", "directory", "metrics")}
        self.store_address = deployment.store.address
        self.process = None
        self.log = None

    def at(self, name):
        """Address of one of its listeners."""
        return f"{self.ip}:{self.ports[name]}"

    def settings(self):
        """Settings file as DEPLOY.md shows it."""
        seeds = ",".join(gateway.at("control")
                         for gateway in self.deployment.gateways[:3])
        metrics = self.ports["metrics"]
        return f"""node-name={self.name}
role=gateway
machine-class=edge
serves=edge,directory,control
ip={self.ip}
zone={self.zone}
region=kigali
zones.a=kigali
zones.b=kigali
zones.c=kigali
bind-addrs.front={self.at("front")}
bind-addrs.ready={self.at("ready")}
bind-addrs.control={self.at("control")}
bind-addrs.directory={self.at("directory")}
port-range={metrics},{metrics}
seeds={seeds}
bootstrap=true
limits.cpu-share=0.25
limits.cpus=1
limits.memory-mb=260
limits.max-fds=4100
discovery=platform
entry-point=directory
heartbeat-ms=1200
bounds.stable-window-ms=4000
bounds.drain-ms=3000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=3000
bounds.rollback-slack-ms=250
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.budget-slack=52
bounds.recovery-s=12
bounds.ttl_max_s=5
platform.address={self.store_address}
platform.form=objects
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
"""

    async def start(self):
        """Start the process with the command of the deploy file."""
        directory = self.deployment.directory
        path = os.path.join(directory, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        self.log = open(os.path.join(directory, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.deployment.command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""),
                 "HOME": directory, "CAMPHORFIELD_SETTINGS": path})

    async def is_ready(self):
        """The platform's check."""
        try:
            status, _, _ = await asyncio.wait_for(
                exchange(self.at("ready"), "GET", "/ready", {}), 1)
            return status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        """Send a signal, if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


async def exchange(address, method, target, fields, body=b""):
    """One request on a new connection: (status, fields, body)."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(wire.make_request(
            method, target, {"Host": HOST, **fields}, body))
        line, got, content = await wire.read_message(reader)
        return int(line.split(" ")[1]), got, content
    finally:
        writer.close()


class Deployment:
    """Store, servers and gateways of one run."""

    def __init__(self, record, gateways):
        self.record = record
        self.count = gateways
        self.store = standins.Store()
        self.servers = []
        self.gateways = []
        self.sequence = 0
        self.directory = tempfile.mkdtemp(prefix="camphorfield-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"),
                  encoding="utf-8") as file:
            run = re.search(r'^run = "(.*)"', file.read(), re.M)
        self.command = shlex.split(run.group(1))
        self.command[0] = os.path.join(ROOT, self.command[0])
        self.beats = None

    async def add_server(self, server):
        """Start a server and write its entry."""
        await server.start()
        self.servers.append(server)
        self.list_server(server)
        return server

    def entry(self, server):
        """Entry that a server writes."""
        self.sequence += 1
        return wire.make_entry(server, self.sequence)

    def list_server(self, server):
        """Write a server's entry."""
        self.store.put("servers", server.name, self.entry(server))

    def configure(self, version, routes, body_bytes=262144,
                  max_conns=25):
        """Write a desired state."""
        names = set()
        for route in routes:
            names.update(route.get("gather", []))
            names.update([route["service"]] if "service" in route else [])
        self.record.note(f"operator writes version {version}")
        self.store.put("config", "main", {
            "version": version, "routes": routes,
            "services": [{"name": name, "health-path": "/healthz",
                          "max-conns": max_conns} for name in sorted(names)],
            "limits": {"max-header-bytes": 16384,
                       "max-body-bytes": body_bytes,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})

    async def beat(self):
        """Heartbeats of the servers, each 1.2 s."""
        while True:
            await asyncio.sleep(1.2)
            for server in self.servers:
                if server.listener.is_serving():
                    self.list_server(server)

    async def start_gateways(self):
        """Start the processes and wait until all of them are ready."""
        for number in range(self.count):
            self.gateways.append(Gateway(self, number, "abc"[number % 3]))
        for gateway in self.gateways:
            await gateway.start()
        self.beats = asyncio.create_task(self.beat())
        await self.wait_ready(10)

    async def wait_ready(self, limit_s):
        """Wait for all gateways."""
        end = time.monotonic() + limit_s
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(f"{gateway.name} isn't ready")
                await asyncio.sleep(0.05)

    def end(self):
        """Kill what was started."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
        if "KEEP" not in os.environ:
            shutil.rmtree(self.directory, ignore_errors=True)


class Callers:
    """Open-loop callers that keep connections and send requests on them."""

    def __init__(self, deployment, seed=1):
        self.deployment = deployment
        self.record = deployment.record
        self.rng = random.Random(seed)
        self.idle = {}  # Gateway: connections without a request.
        self.answers = {}  # Request id: (status, fields, body); None: no answer.
        self.kinds = {}  # Request id: what it is, for the check.
        self.sent_at = {}
        self.gateway_of = {}  # Request id: name of the gateway.
        self.tasks = set()

    async def load(self, per_s, seconds, make, gateways=None):
        """Send requests for a time; make() returns (kind, method, target,
        body, deadline)."""
        end = time.monotonic() + seconds
        at = time.monotonic()
        while at < end:
            at += self.rng.expovariate(per_s)
            await asyncio.sleep(max(0, at - time.monotonic()))
            task = asyncio.create_task(self.send(
                self.rng.choice(gateways or self.deployment.gateways),
                *make()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self):
        """Wait for all answers."""
        if self.tasks:
            await asyncio.gather(*list(self.tasks))

    async def connect(self, gateway):
        """An idle connection, or a new one."""
        pool = self.idle.setdefault(gateway.name, [])
        while pool:
            reader, writer = pool.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        host, port = gateway.at("front").rsplit(":", 1)
        return await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1)

    async def send(self, gateway, kind, method, target, body, deadline_ms):
        """Send one request and keep its answer; returns its id."""
        request = f"{self.rng.getrandbits(64):016x}"
        self.kinds[request] = kind
        self.answers[request] = None
        self.record.note(f"caller sends {request} {method} {target} to "
                         f"{gateway.name}")
        self.sent_at[request] = self.record.now()
        self.gateway_of[request] = gateway.name
        writer = None
        try:
            reader, writer = await self.connect(gateway)
            writer.write(wire.make_request(method, target, {
                "Host": HOST, "Request-Id": request,
                "Deadline-Ms": deadline_ms}, body))
            line, fields, content = await asyncio.wait_for(
                wire.read_message(reader), deadline_ms / 1000 + 1)
            status = int(line.split(" ")[1])
            self.answers[request] = (status, fields, content)
            self.record.note(f"caller gets {request} {status} "
                             f"{fields.get('server-stamp', '')}")
            if fields.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle[gateway.name].append((reader, writer))
        except (OSError, asyncio.IncompleteReadError,
                asyncio.TimeoutError) as error:
            self.record.note(f"caller gets {request} no answer: {error!r}")
            if writer is not None:
                writer.close()
        return request


def route(name, kind="idempotent", **more):
    """A route of the desired state."""
    return {"name": name, "host": HOST, "path-prefix": f"/{name}/",
            "type": kind, "max-attempts": 2, "timeout-ms": 2000,
            "slo-ms": 800, "priority": 1, **more}


def run(case, folder):
    """Run a case: an async function of a record; exits with its result."""
    record = Record(os.path.join(folder, "record.txt"))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    # Connections that are still open when the event loop ends.
    sys.unraisablehook = lambda _: None
    try:
        result = asyncio.run(asyncio.wait_for(case(record), 115))
    except Exception as error:  # The case couldn't run, whatever the reason.
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        result = CANNOT_RUN
    record.file.close()
    sys.exit(result)
