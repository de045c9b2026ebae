"""Small deployment on loopback addresses for the scripts of review/6 to 10.

Starts gateways with the command of deploy/system.toml as processes of their
own. Store, backend servers and callers are stand-ins in this process, by the
platform's pages; the HTTP messages and the store are those of tests/soak.
"""

import asyncio
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
import wire  # noqa: E402
from standins import Store  # noqa: E402

HELD, BROKEN, FAILED_TO_RUN = 0, 1, 2
HOST_NAME = "desk.example"
ZONES = ("kigali-nyarugenge", "kigali-gasabo", "kigali-kicukiro")
DRAIN_MS = 3000
GRACE_S = 6
PORTS = {"front": 8104, "ready": 8108, "control": 8106, "directory": 8100,
         "metrics": 7380}
# Below the kernel's range for outgoing connections.
SERVER_PORTS = iter(range(21000 + os.getpid() % 80 * 100, 32000))

# As in ../given/kit/more/system/DEPLOY.md; the last lines are those of the
# installations with tenants.
SETTINGS = """node-name={name}
role=gateway
machine-class=edge
serves=edge,directory,control
ip={ip}
zone={zone}
region=kigali
zones.kigali-nyarugenge=kigali
zones.kigali-gasabo=kigali
zones.kigali-kicukiro=kigali
bind-addrs.front={ip}:8104
bind-addrs.ready={ip}:8108
bind-addrs.control={ip}:8106
bind-addrs.directory={ip}:8100
port-range=7380,7395
seeds={seeds}
bootstrap={bootstrap}
in-tolerance=false
limits.cpu-share=0.25
limits.cpus=1
limits.memory-mb=260
limits.max-fds=4100
limits.bandwidth-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry-point=directory
heartbeat-ms=1200
contracts=base,drain,config,cost,retry,recover,scatter,tenants,quota,platform
fault-tolerance.machines=2
fault-tolerance.zones=0
fault-tolerance.regions=0
bounds.seed-lag-s=3
bounds.addr-reuse-s=2
bounds.stable-window-ms=4000
bounds.ack-ms=5000
bounds.catchup-s=4
bounds.drain-ms=3000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=3000
bounds.rollback-slack-ms=250
bounds.max-skew-ms=12000
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.budget-slack=52
bounds.recovery-s=12
bounds.ttl_max_s=5
bounds.quota-window-s=5
bounds.quota-overage=0.1
bounds.quota-slack=20
platform.address={store}
platform.form=objects
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.min-ttl-ms=1000
"""


MAX_FDS = 4100  # limits.max-fds; the processes inherit the limit.


class CannotRun(Exception):
    """The case could not be set up."""


def trouble():
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def note(self, text):
        """Write one line with the time since the start."""
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")

    def say(self, text):
        """The same, also to standard output."""
        self.note(text)
        print(text, flush=True)


def find_network(count):
    """Third part of loopback addresses whose ports are free."""
    first = os.getpid() % 60
    for network in [(first + i) % 60 + 60 for i in range(60)]:
        try:
            for number in range(1, count + 1):
                for port in PORTS.values():
                    with socket.socket() as probe:
                        probe.setsockopt(
                            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"127.0.{network}.{number}", port))
        except OSError:
            continue
        return network
    raise CannotRun("no loopback network with free ports")


class Gateway:
    """One gateway process."""

    def __init__(self, lab, number):
        self.lab = lab
        self.name = f"edge-{number}"
        self.ip = f"127.0.{lab.network}.{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.front = f"{self.ip}:{PORTS['front']}"
        self.control = f"{self.ip}:{PORTS['control']}"
        self.directory = f"{self.ip}:{PORTS['directory']}"
        self.ready = f"{self.ip}:{PORTS['ready']}"
        self.process = None
        self.settings = os.path.join(lab.folder, self.name + ".conf")

    def write_settings(self, seeds, bootstrap, changes=()):
        """Write the settings file; changes: (key, value) pairs."""
        text = SETTINGS.format(
            name=self.name, ip=self.ip, zone=self.zone,
            seeds=",".join(seeds), bootstrap=str(bootstrap).lower(),
            store=self.lab.store.address)
        values = dict(line.split("=", 1) for line in text.splitlines())
        values.update(changes)
        with open(self.settings + ".new", "w", encoding="utf-8") as file:
            file.writelines(f"{key}={value}\n"
                            for key, value in values.items())
        os.replace(self.settings + ".new", self.settings)

    def start(self):
        """Start the process as deploy/system.toml says."""
        log = open(os.path.join(self.lab.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            ["target/camphorfield", "gateway"], cwd=ROOT, stdout=log,
            stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
                 "LANG": "C", "CAMPHORFIELD_SETTINGS": self.settings})
        log.close()
        self.lab.record.note(f"start {self.name} {self.ip}")

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.lab.record.note(
                f"signal {signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    async def is_ready(self):
        """Whether the platform's readiness check passes."""
        try:
            line, _, _ = await asyncio.wait_for(
                exchange(self.ready, wire.make_request(
                    "GET", "/ready", {"host": HOST_NAME})), 1)
            return line.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


async def exchange(address, request):
    """Send a request on a new connection and read its answer."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        return await wire.read_message(reader)
    finally:
        writer.close()


class Server:
    """A sound backend server; cases override work() for what it answers."""

    def __init__(self, lab, name, service, zone, slots=8, work_s=0.005):
        self.lab = lab
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.started_ms = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs = []  # (time, request id, fields), when it began to run.
        self.address = ""
        self.listener = None
        self.connections = set()

    async def start(self, port=0):
        """Listen; on a free port if none is given."""
        while True:
            chosen = port or next(SERVER_PORTS)
            try:
                self.listener = await asyncio.start_server(
                    self.serve, "127.0.0.1", chosen)
            except OSError:
                if port:
                    await asyncio.sleep(0.05)
                continue
            self.address = f"127.0.0.1:{chosen}"
            return

    def crash(self):
        """End: stop listening and reset all connections."""
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def write_entry(self):
        """Write its entry to the store."""
        self.sequence += 1
        self.lab.store.put("servers", self.name,
                           wire.make_entry(self, self.sequence))
        self.lab.record.note(
            f"entry {self.name} {self.state} born {self.started_ms} "
            f"seq {self.sequence}")

    async def serve(self, reader, writer):
        """Answer requests on one connection."""
        self.connections.add(writer)
        try:
            while True:
                message = await wire.read_message(reader)
                answer = await self.answer(message)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, message):
        """Run a request, or reject it."""
        line, fields, _ = message
        request = fields.get(wire.REQUEST_ID, "")
        said = {wire.REQUEST_ID: request}
        if fields.get(wire.EXPECTED_SERVER, self.name) != self.name:
            return wire.make_response(421, {wire.NOT_RUN: "1", **said})
        if self.running >= 3 * self.slots:
            return wire.make_response(503, {wire.NOT_RUN: "1", **said})
        self.runs.append((time.monotonic(), request, fields))
        self.lab.record.note(f"run {request} at {self.name}")
        self.running += 1
        try:
            body = await self.work(line, fields)
        finally:
            self.running -= 1
        proof = f"{self.name}.{len(self.runs)}.{request}"
        return wire.make_response(200, {wire.PROOF: proof, **said}, body)

    async def work(self, line, fields):
        """Do the work of a request; returns the body of the answer."""
        await asyncio.sleep(self.work_s)
        return os.urandom(3000)


class Lab:
    """A store, servers and gateways; everything ends with end()."""

    def __init__(self, folder, gateways):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="camphorfield-review-")
        self.network = find_network(gateways)
        self.store = Store()
        self.gateways = [Gateway(self, i + 1) for i in range(gateways)]
        self.servers = []
        self.rng = random.Random(int(os.environ.get("SEED", "1")))

    async def add_server(self, server):
        """Start a server and write its entry."""
        await server.start()
        self.servers.append(server)
        server.write_entry()
        return server

    def publish(self, config):
        """Write a configuration."""
        self.store.put("config", "main", config)
        self.record.note(f"config version {config['version']} written")

    async def wait_ready(self, gateways, for_s=20):
        """Wait until gateways pass the platform's readiness check."""
        end = time.monotonic() + for_s
        for gateway in gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end or \
                        gateway.process.poll() is not None:
                    raise CannotRun(f"{gateway.name} isn't ready")
                await asyncio.sleep(0.1)

    def end(self):
        """End all processes that were started."""
        for gateway in self.gateways:
            process = gateway.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.file.flush()


def allow_descriptors():
    """Give this process and its children what limits.max-fds says, if the
    hard limit of the machine allows it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = MAX_FDS if hard == resource.RLIM_INFINITY else min(MAX_FDS, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def end_on_signal(number, _):
    """End in order, so that the processes that were started end, too."""
    raise SystemExit(f"signal {number}")


def run_case(folder, gateways, play):
    """Play a case and exit; play(lab) returns HELD or BROKEN."""
    if not os.path.exists(os.path.join(ROOT, "target", "camphorfield")):
        print("target/camphorfield is missing: run the deploy file's build")
        sys.exit(FAILED_TO_RUN)
    allow_descriptors()
    signal.signal(signal.SIGTERM, end_on_signal)
    signal.signal(signal.SIGINT, end_on_signal)
    try:
        lab = Lab(folder, gateways)
    except (CannotRun, OSError) as error:
        print(f"can't run: {error}")
        sys.exit(FAILED_TO_RUN)

    async def run():
        await lab.store.start()
        return await asyncio.wait_for(play(lab), 110)
    try:
        result = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError, SystemExit) as error:
        lab.record.say(f"can't run: {error!r}")
        result = FAILED_TO_RUN
    except Exception:  # A fault of the script itself is no verdict.
        lab.record.say(traceback.format_exc())
        result = FAILED_TO_RUN
    finally:
        lab.end()
    lab.record.say({HELD: "the rule held", BROKEN: "the rule was broken",
                    FAILED_TO_RUN: "the case could not run"}[result])
    lab.record.file.close()
    sys.stdout.flush()
    os._exit(result)  # Open streams of asyncio would only complain.
