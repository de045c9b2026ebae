"""Soak test of gateways under seeded random faults.

Each gateway is a process of its own. The store, backend servers, callers and
a loopback proxy for each link run in this process. Several fault tasks run at
a time, so faults overlap. Callers reuse a connection until it closes. Exits
with 1 if a rule of book.py was violated, and prints the command that repeats
the seed.
"""

import argparse
import asyncio
import collections
import os
import random
import signal
import sys
import tempfile
import time

import domains
import wire
from book import Book
from standins import Proxy, Says, Server, Store, reset

HOST_NAME = "soak.example"
ZONES = ("a", "b", "c")
SHARDS = 8
CALLERS = 24
GRACE_S = 3
CALLER_TIMEOUT_S = 2.0
RECOVERY_TIMEOUT_S = 20.0  # To serve all routes again after the faults.
CRASH_TEST_S = 10.0  # Requests of one content that crashes servers.
CRASH_SETTLE_S = 4.0  # After the third crash all gateways reject it, ...
MAX_LATE_CRASHES = 3  # ... but for as many requests.

Endpoints = collections.namedtuple(
    "Endpoints", "name ip front ready control directory metrics")


class Gateway:
    """One gateway process, which is restarted whenever it ends."""

    def __init__(self, soak, number):
        ip = f"127.0.{soak.network}.{number + 1}"
        self.endpoints = Endpoints(
            f"gateway-{number}", ip, f"{ip}:7104", f"{ip}:7108",
            f"{ip}:7106", f"{ip}:7100", f"{ip}:7380")
        self.soak = soak
        self.zone = ZONES[number % len(ZONES)]
        self.store_link = Proxy(soak.store.address)
        self.caller_link = Proxy(self.endpoints.front)
        self.process = None
        self.log = None
        self.log_begin = 0  # Length of the log when the process started.
        self.should_run = True
        self.version = 0  # Newest shown by the current process.
        self.pauses = 0  # Times that the process was stopped by a signal.

    async def start(self):
        """Start a process with a new settings file."""
        seeds = [gateway.endpoints.control
                 for gateway in self.soak.gateways[:3]]
        path = os.path.join(self.soak.directory, self.endpoints.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(wire.make_settings(
                self.endpoints, self.zone, seeds, self.store_link.address,
                GRACE_S) + "\n".join(domains.SETTINGS))
        if self.log is None:
            self.log = open(os.path.join(
                self.soak.directory, self.endpoints.name + ".log"), "ab")
        self.version = 0
        self.log_begin = os.path.getsize(self.log.name)
        self.process = await asyncio.create_subprocess_exec(
            self.soak.binary, "gateway", stdout=self.log, stderr=self.log,
            env={**os.environ, "CAMPHORFIELD_SETTINGS": path})
        self.soak.book.domains.note_life(self.life())

    def has_started(self):
        """Whether the latest process got as far as to take signals."""
        with open(self.log.name, "rb") as log:
            log.seek(self.log_begin)
            return b'"gateway started"' in log.read()

    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def life(self):
        """Changes with each process and each pause of it."""
        return f"{self.endpoints.name}/{self.process.pid}/{self.pauses}"

    def signal(self, number):
        """Send a signal to the current process, if it runs."""
        if self.is_running():
            self.process.send_signal(number)

    async def restart_on_exit(self):
        """Restart the process whenever it ends, as the platform does."""
        while self.should_run:
            status = await self.process.wait()
            if not self.should_run:
                return
            # A signal may come before the process is there to handle it; it
            # has taken no request by then.
            is_early = status == -signal.SIGTERM and not self.has_started()
            if status not in (0, -signal.SIGKILL) and not is_early:
                self.soak.book.fail(
                    f"{self.endpoints.name} ended with {status}")
            await asyncio.sleep(0.3)
            await self.start()


class Soak:
    """All gateways, stand-ins and callers of one seed."""

    def __init__(self, arguments, directory):
        self.binary = os.path.abspath(
            os.path.join(arguments.build, "camphorfield"))
        self.seconds = arguments.seconds
        self.rng = random.Random(arguments.seed)
        self.seed = arguments.seed
        self.directory = directory
        self.book = Book()
        self.store = Store()
        self.servers = []
        self.server_links = []
        self.gateways = []
        self.gateway_count = arguments.gateways
        self.network = arguments.network
        self.index_generation = 0  # Counts sets of shards, see reshard().
        self.version = 1
        self.sequence = 0
        self.requests = 0
        self.is_over = False
        self.faults = collections.Counter()

    # Servers and configurations

    async def add_server(self, service, zone, work_s):
        """Start a backend server and write its store entry."""
        server = Server(self.book, f"i-{len(self.servers)}", service, zone,
                        work_s, self.seed)
        await server.start()
        link = Proxy(f"127.0.0.1:{server.port}")
        await link.start()
        server.address = link.address
        server.link = link
        server.listed = self.list_server
        self.servers.append(server)
        self.server_links.append(link)
        self.list_server(server)
        return server

    def list_server(self, server):
        """Write a server's entry to the store."""
        self.sequence += 1
        self.store.put("servers", server.name,
                       wire.make_entry(server, self.sequence))

    def shards(self):
        """Services of the current index, one for each shard."""
        return [f"shard{self.index_generation}-{i}" for i in range(SHARDS)]

    async def add_shards(self):
        """Start two servers for each shard of the current index."""
        for i, service in enumerate(self.shards()):
            for k in range(2):
                await self.add_server(
                    service, ZONES[(i + k) % len(ZONES)], 0.012)

    def publish(self, once="once"):
        """Write a configuration with a higher version to the store."""
        self.version += self.rng.randint(1, 4)
        self.book.allow(self.shards(), "plain", once)
        config = wire.make_config(
            self.version, HOST_NAME, self.shards(), "plain", once)
        for service in config["services"]:
            service |= {"warmup-s": domains.WARMUP_S,
                        "warmup-per-s": domains.WARMUP_PER_S}
        self.store.put("config", "main", config)

    async def start(self):
        """Start store, servers and gateways, and wait for readiness."""
        await self.store.start()
        await self.add_shards()
        for service in ("plain", "once", "once-b"):
            for zone in ZONES:
                await self.add_server(service, zone, 0.03)
        self.publish()
        self.gateways = [Gateway(self, i) for i in range(self.gateway_count)]
        for gateway in self.gateways:
            await gateway.store_link.start()
            await gateway.caller_link.start()
        for gateway in self.gateways:
            await gateway.start()
        await self.wait_ready()

    async def is_ready(self, gateway):
        """Whether a gateway passes the platform's readiness check."""
        try:
            answer = await asyncio.wait_for(
                self.exchange(gateway.endpoints.ready, wire.make_request(
                    "GET", "/ready", {"host": HOST_NAME})), 1)
            return answer[0].split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_ready(self):
        """Wait until all gateways are ready; a timeout is a violation."""
        end = time.monotonic() + RECOVERY_TIMEOUT_S
        for gateway in self.gateways:
            while not await self.is_ready(gateway):
                if time.monotonic() > end:
                    self.book.fail(f"{gateway.endpoints.name} isn't ready")
                    return
                await asyncio.sleep(0.1)

    # Callers

    @staticmethod
    async def exchange(address, request):
        """Send a request and read its reply on a new connection."""
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            return await wire.read_message(reader)
        finally:
            writer.close()

    def make_request(self):
        """Make a random request and register it: (id, bytes)."""
        self.requests += 1
        request = f"r{self.requests:08x}"
        kind = self.rng.choice(("query", "query", "plain", "once"))
        method = "POST" if kind == "once" else "GET"
        body = self.rng.randbytes(self.rng.randint(1, 3000)) \
            if kind == "once" else b""
        target = f"/{kind}/{self.rng.randint(0, 999)}"
        self.book.sent[request] = (method, target, body, kind)
        return request, wire.make_request(
            method, target,
            {"host": HOST_NAME, wire.REQUEST_ID: request,
             wire.REMAINING_MS: int(CALLER_TIMEOUT_S * 1000)}, body)

    async def run_caller(self, seed):
        """Send requests until the end; reuse a connection until it closes."""
        rng = random.Random(f"{self.seed}/caller{seed}")
        connection = None
        while not self.is_over:
            await asyncio.sleep(rng.expovariate(8))
            try:
                if connection is None:
                    gateway = rng.choice(self.gateways)
                    host, port = gateway.caller_link.address.rsplit(":", 1)
                    connection = await asyncio.wait_for(
                        asyncio.open_connection(host, int(port)), 1)
                    connection += (gateway,)
                if not await self.send_request(connection, rng):
                    connection[1].close()
                    connection = None
            except (OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                if connection is not None:
                    reset(connection[1])
                connection = None
        if connection is not None:
            connection[1].close()

    async def send_request(self, connection, rng):
        """Send one request; returns whether the connection is reusable."""
        reader, writer, gateway = connection
        request, text = self.make_request()
        self.book.guidance.note_sent(request, gateway.life)
        if rng.random() < 0.03:
            writer.write(text[:rng.randint(1, len(text))])
            await asyncio.sleep(rng.uniform(0, 0.05))
            return False  # The caller disconnects within its request.
        writer.write(text)
        line, fields, body = await asyncio.wait_for(
            wire.read_message(reader), CALLER_TIMEOUT_S + 1)
        self.book.note_answer(request, int(line.split(" ")[1]), fields, body)
        return fields.get("connection", "").lower() != "close"

    async def watch_versions(self):
        """Check that no process returns to an older configuration."""
        while not self.is_over:
            await asyncio.sleep(0.3)
            for gateway in self.gateways:
                process = gateway.process
                try:
                    _, _, body = await asyncio.wait_for(self.exchange(
                        gateway.endpoints.metrics, wire.make_request(
                            "GET", "/metrics", {"host": HOST_NAME})), 1)
                except (OSError, asyncio.IncompleteReadError,
                        asyncio.TimeoutError):
                    continue
                for line in body.decode().splitlines():
                    if line.startswith("camphorfield_gateway_config_version "):
                        shown = float(line.split(" ")[1])
                        if process is not gateway.process:
                            break
                        if shown < gateway.version:
                            self.book.fail(
                                f"{gateway.endpoints.name} went back "
                                f"to version {shown}")
                        gateway.version = shown

    # Faults

    async def inject_gateway_fault(self):
        """Kill, pause or stop a gateway, or disturb its callers' link."""
        gateway = self.rng.choice(self.gateways)
        what = self.rng.choice(("kill", "pause", "stop", "stop", "link"))
        self.faults[what] += 1
        if what == "kill":
            gateway.signal(signal.SIGKILL)
        elif what == "pause":
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.2, 4))
            gateway.pauses += 1
            gateway.signal(signal.SIGCONT)
            self.book.domains.note_life(gateway.life())
        elif what == "stop":
            gateway.signal(signal.SIGTERM)
        else:
            await self.inject_link_fault(gateway.caller_link)

    async def kill_several_gateways(self):
        """Kill two or more gateways at once, sometimes all of them."""
        self.faults["kill many"] += 1
        count = self.rng.randint(2, len(self.gateways))
        for gateway in self.rng.sample(self.gateways, count):
            gateway.signal(signal.SIGKILL)

    async def inject_link_fault(self, link):
        """Delay, silence, refuse or reset a link's connections for a while."""
        link.disturbances += 1
        link.mode = self.rng.choice(
            ("delay", "silent", "one_way", "refuse", "ok"))
        link.delay_s = self.rng.uniform(0.01, 0.4)
        if self.rng.random() < 0.5:
            link.cut()
        await asyncio.sleep(self.rng.uniform(0.2, 4))
        link.mode = "ok"
        link.disturbances += 1
        if self.rng.random() < 0.5:
            link.cut()

    async def inject_store_fault(self):
        """The store, or one gateway's link to it, is down, slow or busy."""
        self.faults["store"] += 1
        if self.rng.random() < 0.4:
            await self.inject_link_fault(
                self.rng.choice(self.gateways).store_link)
            return
        self.store.mode = self.rng.choice(("down", "busy", "slow", "ok"))
        if self.store.mode == "down":
            self.store.cut()
        if self.rng.random() < 0.5:
            self.store.forget()
        await asyncio.sleep(self.rng.uniform(0.3, 4))
        self.end_outage()

    def end_outage(self):
        """The store answers all gateways again."""
        self.store.mode = "ok"
        self.book.domains.answers_since = time.monotonic()

    async def restore_store(self):
        """The store loses the latest changes; they are written again."""
        self.faults["restore"] += 1
        self.store.save()
        for _ in range(self.rng.randint(0, 4)):
            self.list_server(self.rng.choice(self.servers))
            self.publish()
            await asyncio.sleep(self.rng.uniform(0.05, 0.8))
        self.store.mode = "down"
        self.store.cut()
        await asyncio.sleep(self.rng.uniform(0.05, 2))
        self.store.restore()
        self.end_outage()
        await asyncio.sleep(self.rng.uniform(0.05, 2))
        for server in self.servers:
            self.list_server(server)
        self.publish()
        for zone in ZONES:
            self.evacuate(zone, zone in self.book.domains.evacuated)

    def evacuate(self, zone, begins):
        """Write or remove an evacuation."""
        self.store.put("evacuations", zone, {} if begins else None)
        self.book.domains.note_evacuated(zone, begins)

    async def evacuate_zones(self):
        """Evacuate one domain after another until the end; servers of another
        become cold then. The first begins at once, for a short seed."""
        rng = random.Random(f"{self.seed}/evacuate")
        while not self.is_over:
            zone, other = rng.sample(ZONES, 2)
            self.faults["evacuate"] += 1
            self.evacuate(zone, True)
            self.make_cold(
                [server for server in self.servers if server.zone == other],
                rng.uniform(5, 9))
            await self.pass_time(rng.uniform(7, 12))
            if rng.random() < 0.5 and not self.is_over:
                self.evacuate(zone, True)  # Written again: it stays.
                await self.pass_time(rng.uniform(0, 2))
            if not self.is_over:
                self.evacuate(zone, False)
                await self.pass_time(rng.uniform(0.5, 4))

    async def pass_time(self, for_s):
        """Sleep, but not beyond the end of the faults."""
        end = time.monotonic() + for_s
        while time.monotonic() < end and not self.is_over:
            await asyncio.sleep(0.1)

    def make_cold(self, servers, cold_s):
        """Servers state that they are cold."""
        for server in servers:
            server.become_cold(cold_s)
            self.list_server(server)

    async def make_servers_cold(self):
        """Some servers state that they are cold, sometimes a whole domain."""
        self.faults["cold"] += 1
        zone = self.rng.choice(ZONES)
        servers = [server for server in self.servers if server.zone == zone]
        if self.rng.random() < 0.5:
            servers = self.rng.sample(servers, self.rng.randint(1, 4))
        self.make_cold(servers, self.rng.uniform(4, 8))
        await asyncio.sleep(self.rng.uniform(0, 2))

    async def inject_server_fault(self):
        """Give a server one of the faults of standins.Server for a while."""
        self.faults["server"] += 1
        server = self.rng.choice(self.servers)
        server.fault = self.rng.choice(
            ("slow", "errors", "lost", "extra", "hang", "full"))
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        server.fault = "none"

    async def inject_guidance(self):
        """Some servers name a limit, ask for a pause, or leave for good."""
        what = self.rng.choice(("limit", "pause", "leave"))
        self.faults[what] += 1
        servers = self.rng.sample(self.servers, self.rng.randint(1, 6))
        if what == "limit":
            limit = self.rng.choice((0, 0.5, 2, 6, 20))
            for server in servers:
                server.says = Says(
                    server.says.leaving, limit, time.monotonic())
            await asyncio.sleep(self.rng.uniform(4, 9))
            for server in servers:
                server.says = Says(server.says.leaving)
        elif what == "pause":
            for server in servers:
                server.pause_s = self.rng.uniform(0.1, 3)
            await asyncio.sleep(self.rng.uniform(0.1, 1))
            for server in servers:
                server.pause_s = None
        else:
            await self.replace_server(servers[0])

    async def replace_server(self, server):
        """A server leaves, whatever the store says; a new one starts later."""
        server.says = Says(True)
        if self.rng.random() < 0.5:
            await asyncio.sleep(self.rng.uniform(0.5, 3))
            self.store.put("servers", server.name, None)
            await asyncio.sleep(self.rng.uniform(0.1, 2))
            self.list_server(server)
        await asyncio.sleep(self.rng.uniform(2, 4))
        if server.listener.is_serving():
            server.crash()
            await server.start_again()
        server.says = Says()
        self.list_server(server)

    async def inject_server_link_fault(self):
        """Disturb the link to a server for a while."""
        self.faults["server link"] += 1
        await self.inject_link_fault(self.rng.choice(self.server_links))

    async def crash_server(self):
        """Crash a server and start it with a new incarnation."""
        self.faults["server crash"] += 1
        server = self.rng.choice(self.servers)
        if not server.listener.is_serving():
            return
        await server.restart(self.rng.uniform(0.2, 3))

    async def replace_entry(self):
        """Remove a server's entry or make it invalid, then restore it."""
        self.faults["entry"] += 1
        server = self.rng.choice(self.servers)
        self.store.put("servers", server.name, self.rng.choice(
            (None, {"service": 7}, {"address": "nonsense"})))
        await asyncio.sleep(self.rng.uniform(0.1, 2))
        self.list_server(server)

    async def change_config(self):
        """Publish one configuration, or several in quick succession."""
        self.faults["config"] += 1
        for _ in range(self.rng.choice((1, 1, 2, 5))):
            self.publish(self.rng.choice(("once", "once-b")))
            await asyncio.sleep(self.rng.uniform(0.02, 0.4))

    async def reshard(self):
        """Replace the index by one with a new set of shards."""
        self.faults["reshard"] += 1
        self.index_generation += 1
        await self.add_shards()
        await asyncio.sleep(1.0)
        self.publish()

    async def inject_faults(self):
        """Inject random faults, one after another, until the end."""
        kinds = (self.inject_gateway_fault, self.inject_gateway_fault,
                 self.kill_several_gateways, self.inject_store_fault,
                 self.restore_store,
                 self.inject_server_fault, self.inject_server_fault,
                 self.inject_server_link_fault, self.crash_server,
                 self.inject_guidance, self.inject_guidance,
                 self.replace_entry, self.change_config,
                 self.make_servers_cold, self.make_servers_cold)
        while not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            await self.rng.choice(kinds)()

    async def check_recovery(self):
        """Check that each gateway serves each route after the faults."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
        await self.wait_ready()
        end = time.monotonic() + RECOVERY_TIMEOUT_S
        for gateway in self.gateways:
            for kind in ("query", "plain", "once"):
                while not await self.is_served(gateway, kind):
                    if time.monotonic() > end:
                        self.book.fail(f"{gateway.endpoints.name} doesn't "
                                       f"serve {kind} again")
                        break
                    await asyncio.sleep(0.2)

    async def is_served(self, gateway, kind):
        """Whether a gateway answers a new request of a kind with 200."""
        while True:
            request, text = self.make_request()
            if self.book.sent[request][3] == kind:
                break
        try:
            line, fields, body = await asyncio.wait_for(
                self.exchange(gateway.endpoints.front, text),
                CALLER_TIMEOUT_S + 1)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False
        status = int(line.split(" ")[1])
        self.book.note_answer(request, status, fields, body)
        return status == 200

    async def check_crashing_content(self):
        """Check that all gateways stop sending content that crashes servers,
        though its query string, caller and gateway vary."""
        rng = random.Random(f"{self.seed}/crash")
        end = time.monotonic() + CRASH_TEST_S
        while time.monotonic() < end:
            await asyncio.sleep(0.15)
            self.requests += 1
            request = f"r{self.requests:08x}"
            target = f"{wire.CRASH_PATH}?page={rng.randint(1, 40)}"
            self.book.sent[request] = ("GET", target, b"", "plain")
            host, port = rng.choice(self.gateways).endpoints.front.split(":")
            try:
                reader, writer = await asyncio.open_connection(
                    host, int(port),
                    local_addr=(f"127.0.0.{rng.randint(1, 60)}", 0))
                writer.write(wire.make_request(
                    "GET", target,
                    {"host": HOST_NAME, wire.REQUEST_ID: request,
                     wire.REMAINING_MS: 2000}))
                line, fields, body = await asyncio.wait_for(
                    wire.read_message(reader), CALLER_TIMEOUT_S + 1)
                self.book.note_answer(
                    request, int(line.split(" ")[1]), fields, body)
                writer.close()
            except (OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                pass
        crashes = sorted(crash for server in self.servers
                         for crash in server.crashes)
        late = {request for at, request in crashes[3:]
                if at > crashes[2][0] + CRASH_SETTLE_S}
        self.faults["content crash"] += len(crashes)
        if len(crashes) < 3 or len(late) > MAX_LATE_CRASHES:
            self.book.fail(f"content crashed {len(crashes)} servers, {len(late)} "
                           "requests of it ran when all should know better")

    async def run(self):
        """Run callers and faults, then check recovery and graceful stops."""
        await self.start()
        supervisors = [asyncio.create_task(gateway.restart_on_exit())
                 for gateway in self.gateways]
        callers = [asyncio.create_task(self.run_caller(i))
                   for i in range(CALLERS)]
        callers.append(asyncio.create_task(self.watch_versions()))
        fault_tasks = [asyncio.create_task(self.inject_faults())
                       for _ in range(3)]
        fault_tasks.append(asyncio.create_task(self.evacuate_zones()))
        await asyncio.sleep(self.seconds / 2)
        await self.reshard()
        await asyncio.sleep(self.seconds / 2)
        self.is_over = True
        await asyncio.gather(*fault_tasks)
        await asyncio.gather(*callers)
        await self.check_recovery()
        await self.check_crashing_content()
        for zone in list(self.book.domains.evacuated):
            self.evacuate(zone, False)
        for gateway in self.gateways:
            gateway.should_run = False
            gateway.signal(signal.SIGTERM)
        for gateway in self.gateways:
            try:
                await asyncio.wait_for(gateway.process.wait(), 2 * GRACE_S)
            except asyncio.TimeoutError:
                self.book.fail(f"{gateway.endpoints.name} ignores SIGTERM")
                gateway.signal(signal.SIGKILL)
        await asyncio.gather(*supervisors)

    def end(self):
        """Kill all gateways that still run."""
        for gateway in self.gateways:
            gateway.should_run = False
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)


def run_seed(arguments):
    """Run one seed; returns whether no rule was violated."""
    directory = tempfile.mkdtemp(prefix="camphorfield-soak-")
    soak = Soak(arguments, directory)

    async def run():
        try:
            await soak.run()
        finally:
            soak.end()
    asyncio.run(run())
    served = sum(count for (_, status), count in soak.book.statuses.items()
                 if status == 200)
    if served == 0:
        soak.book.fail("nothing was served")
    print(f"seed {arguments.seed}: {soak.requests} requests, {served} served, "
          f"faults {dict(soak.faults)}, broken {len(soak.book.violations)}")
    print("  answers:", {f"{kind} {status}": count for (kind, status), count
                         in sorted(soak.book.statuses.items())})
    print("  checks:", dict(soak.book.domains.seen))
    for text in soak.book.violations[:20]:
        print("  broken:", text)
    if soak.book.violations:
        print(f"  logs: {directory}; again: python3 tests/soak/soak.py "
              f"--seed {arguments.seed} --seconds {arguments.seconds:g}")
    return not soak.book.violations


def main():
    """Command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1,
                        help="number of seeds to run, from --seed on")
    parser.add_argument("--seconds", type=float, default=15,
                        help="time under faults for each seed")
    parser.add_argument("--gateways", type=int, default=5)
    parser.add_argument("--network", type=int, default=1,
                        help="third part of the loopback addresses; soaks "
                        "that run at the same time need different ones")
    arguments = parser.parse_args()
    good = True
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        arguments.seed = seed
        good = run_seed(arguments) and good
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
