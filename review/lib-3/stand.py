"""Small stand-ins for the cases of the third review: the platform's store,
backend servers, raw clients, and gateways as processes. Loopback only."""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.environ.get("GATEWAY", os.path.join(ROOT, "target", "camphorfield"))
NET = f"127.{random.SystemRandom().randrange(20, 120)}.{os.getpid() % 200 + 20}"
HOST = "case.example"


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


def free_port(ip):
    """A port that was free a moment ago, below those of outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
                return port
            except OSError:
                continue


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", 0)))


def response(status, fields, body=b""):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def fetch(address, data, timeout=10.0):
    """Send a request on a new connection; (status, fields, body) or None."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1.0)
        writer.write(data)
        line, fields = await asyncio.wait_for(read_head(reader), timeout)
        body = await asyncio.wait_for(read_body(reader, fields), timeout)
        return int(line.split(" ")[1]), fields, body
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's store: lists with pages, watches, writes with revisions."""

    HISTORY_S = 20.0

    def __init__(self):
        self.objects = {}
        self.changes = []  # (time, revision, kind, entry, deleted)
        self.revision = 100
        self.gone_to = 100
        self.changed = asyncio.Event()
        self.address = ""
        self.mode = "ok"
        self.calls = 0

    async def start(self):
        ip = f"{NET}.200"
        port = free_port(ip)
        await asyncio.start_server(self.serve, ip, port)
        self.address = f"{ip}:{port}"

    def put(self, kind, name, spec):
        self.revision += 1
        known = self.objects.setdefault(kind, {})
        entry = {"meta": {"name": name, "revision": self.revision,
                          "created": known[name]["meta"]["created"]
                          if name in known else self.revision,
                          "finalizers": [], "deleting": False},
                 "spec": spec, "status": {}}
        deleted = spec is None
        if deleted:
            known.pop(name, None)
        else:
            known[name] = entry
        now = time.monotonic()
        self.changes.append((now, self.revision, kind, entry, deleted))
        while self.changes and self.changes[0][0] < now - self.HISTORY_S:
            self.gone_to = self.changes.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()

    def reply(self, status, document=None):
        body = b"" if document is None else json.dumps(document).encode()
        return response(status, {"Content-Type": "application/json"}, body)

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                self.calls += 1
                await asyncio.sleep(0.004)
                while self.mode == "silent":
                    await asyncio.sleep(0.1)
                writer.write(await self.answer(line, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        path, _, text = target.partition("?")
        query = dict(item.split("=", 1) for item in text.split("&") if item)
        names = path.strip("/").split("/")[1:]
        kind = names[0]
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("wait-ms", 0)) / 1000)
        if method == "GET" and len(names) > 1:
            entry = objects.get(names[1])
            return self.reply(404) if entry is None else self.reply(200, entry)
        if method == "GET":
            left = sorted(n for n in objects if n > query.get("after", ""))
            return self.reply(200, {"items": [objects[n] for n in left[:500]],
                                    "more": len(left) > 500,
                                    "as-of": self.revision})
        document = json.loads(body) if body else {"meta": {}, "spec": None}
        name = names[1] if len(names) > 1 else document["meta"]["name"]
        known = objects.get(name)
        if method == "POST" and known is not None:
            return self.reply(409, known)
        if method != "POST" and known is None:
            return self.reply(404)
        wanted = int(document["meta"].get("revision")
                     or query.get("revision") or 0)
        if known is not None and wanted not in (0, known["meta"]["revision"]):
            return self.reply(409, known)
        self.put(kind, name, None if method == "DELETE" else document["spec"])
        return self.reply(200, objects.get(name, known))

    async def watch(self, kind, since, wait_s):
        end = time.monotonic() + min(wait_s, 30.0)
        while True:
            if not self.gone_to <= since <= self.revision:
                return self.reply(410)
            events = [{"object": entry, "deleted": deleted}
                      for _, revision, of, entry, deleted in self.changes
                      if of == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return self.reply(200, {"events": events,
                                        "as-of": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A sound backend server; answer() may be replaced by a case."""

    count = 0

    def __init__(self, record, store, service, zone="a", work_s=0.01):
        Server.count += 1
        self.name = f"i-{Server.count:08x}"
        self.record = record
        self.store = store
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.runs = []  # (time, request id, line, body)
        self.says = {}
        self.seq = 1
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.size = 96

    async def start(self):
        self.ip = f"{NET}.{100 + Server.count % 90}"
        self.port = free_port(self.ip)
        self.listener = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 22)
        self.address = f"{self.ip}:{self.port}"
        self.enter()

    def enter(self):
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "concurrency": 8,
            "state": self.state, "warmup-left-ms": 0, "seq": self.seq,
            "born": self.born})
        self.seq += 1

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                if line.split(" ")[1] == "/healthz":
                    writer.write(response(200, {"Instance-Id": self.name}))
                    continue
                if fields.get("expect-instance", self.name) != self.name:
                    writer.write(response(421, {"Not-Executed": "1"}))
                    continue
                body = await read_body(reader, fields)
                await self.answer(reader, writer, line, fields, body)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def run(self, line, fields, body):
        request_id = fields.get("request-id", "")
        self.runs.append((time.monotonic(), request_id, line, body))
        self.record.note(f"server {self.name} ({self.service}) runs "
                         f"{request_id or '(no id)'}: {line} [{len(body)} B]")
        return request_id

    async def answer(self, reader, writer, line, fields, body):
        request_id = self.run(line, fields, body)
        await asyncio.sleep(self.work_s)
        content = random.randbytes(self.size)
        writer.write(response(200, {
            "Request-Id": request_id, "Server-Stamp": f"{self.name}.{request_id}",
            **self.says}, content))
        await writer.drain()


def config(version, routes, services, tenants=None, limits=None):
    document = {
        "version": version, "routes": routes,
        "services": [{"name": name, "health-path": "/healthz",
                      "max-conns": 96} for name in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
                   **(limits or {})}}
    if tenants is not None:
        document["tenants"] = tenants
    return document


def route(name, prefix, service, kind="idempotent", **more):
    return {"name": name, "host": HOST, "path-prefix": prefix, "type": kind,
            "service": service, "max-attempts": 2, "timeout-ms": 8000,
            "slo-ms": 800, "priority": 1, **more}


class Gateway:
    """A gateway process with the settings of a small deployment."""

    def __init__(self, store, number, seeds, folder, zone="a", more=(),
                 store_address=None, control=None):
        self.name = f"edge-{zone}-{number}"
        self.store = store
        self.number = number
        self.folder = folder
        self.zone = zone
        self.more = list(more)
        self.ip = f"{NET}.{number}"
        self.front, self.ready, self.own_control, self.directory = (
            f"{self.ip}:{free_port(self.ip)}" for _ in range(4))
        self.control = self.own_control
        self.metrics = free_port(self.ip)
        self.seeds = seeds
        self.store_address = store_address or store.address
        self.process = None
        self.log = None

    def settings(self):
        lines = f"""node-name={self.name}
role=gateway
machine-class=edge
serves=edge,directory,control
ip={self.ip}
zone={self.zone}
region=r
zones.a=r
zones.b=r
zones.c=r
bind-addrs.front={self.front}
bind-addrs.ready={self.ready}
bind-addrs.control={self.own_control}
bind-addrs.directory={self.directory}
port-range={self.metrics},{self.metrics + 15}
seeds={",".join(self.seeds)}
bootstrap=true
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
fault-tolerance.machines=2
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
platform.address={self.store_address}
platform.form=objects
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.min-ttl-ms=1000
""".splitlines()
        return "\n".join(lines + self.more) + "\n"

    async def start(self):
        path = os.path.join(self.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        if self.log is None:
            self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        environment = {name: os.environ[name] for name in
                       ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            BINARY, "gateway", stdout=self.log, stderr=self.log, cwd=ROOT,
            env={**environment, "CAMPHORFIELD_SETTINGS": path})

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def stop(self):
        if self.is_running():
            self.process.kill()
            await self.process.wait()


async def until_ready(gateway, timeout=15.0):
    """Wait until GET /ready gives 200."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        got = await fetch(gateway.ready,
                          b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n", 1.0)
        if got is not None and got[0] == 200:
            return True
        await asyncio.sleep(0.1)
    return False


def serve_case(folder, case):
    """Run case(record, folder) and exit as the review's rules say."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(BINARY, os.X_OK):
        record.say("the program is not built")
        sys.exit(2)
    started = []

    async def main():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(
                    case(record, temporary, trouble, started), 112)
            except asyncio.TimeoutError:
                record.say("the case took too long")
                return 2
            except asyncio.CancelledError:
                record.say("ended by a signal")
                return 2
            finally:
                for gateway in started:
                    gateway.signal(signal.SIGCONT)
                    await gateway.stop()

    status = asyncio.run(main())
    record.say({0: "the rule held", 1: "the rule was broken",
                2: "the case couldn't run"}[status])
    sys.stdout.flush()
    os._exit(status)
