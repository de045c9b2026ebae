"""Stand-ins of the soak: store, backend servers and a loopback proxy.

Each has modes or faults that the soak switches while requests run.
"""

import asyncio
import collections
import errno
import itertools
import json
import random
import time

import domains
import wire

HOST = "127.0.0.1"
PAGE_OBJECTS = 50
MAX_CHANGES = 400  # Kept for watches; older revisions get 410.
# Below the ports that the kernel gives to outgoing connections: while a server
# is down, one of these could take its port.
SERVER_PORTS = itertools.cycle(range(20000, 32000))
PORT_TRIES = 200


# What a server says of itself in all its answers; limit: requests a second,
# None for none; since: when it began to name it.
Says = collections.namedtuple("Says", "leaving limit since",
                              defaults=(False, None, 0.0))


def reset(writer):
    """Close a connection with a TCP reset."""
    writer.transport.abort()


async def serve_messages(reader, writer, connections, answer):
    """Answer messages of a connection; an answer of None resets it."""
    connections.add(writer)
    try:
        while True:
            text = await answer(await wire.read_message(reader))
            if text is None:
                reset(writer)
                return
            writer.write(text)
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass  # The peer closed, or the soak ends.
    finally:
        connections.discard(writer)
        writer.close()


class Proxy:
    """Forwards connections to one address, with network faults by mode."""

    def __init__(self, target):
        self.target = target
        self.mode = "ok"  # ok, delay, silent, one_way, refuse
        self.disturbances = 0  # Times that the mode was another one.
        self.delay_s = 0.0
        self.address = ""
        self.connections = set()

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def cut(self):
        """Reset all open connections."""
        for writer in list(self.connections):
            reset(writer)

    async def serve(self, reader, writer):
        """Forward one connection."""
        if self.mode == "refuse":
            reset(writer)
            return
        host, port = self.target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            reset(writer)
            return
        self.connections |= {writer, target_writer}
        try:
            await asyncio.gather(self.pump(reader, target_writer, False),
                                 self.pump(target_reader, writer, True))
        except asyncio.CancelledError:
            pass  # The soak ends while one direction is still open.
        finally:
            self.connections -= {writer, target_writer}
            writer.close()
            target_writer.close()

    async def pump(self, reader, writer, is_reply):
        """Forward one direction; is_reply: from target to client."""
        try:
            while True:
                data = await reader.read(65536)
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                silent = self.mode == "silent" or (
                    self.mode == "one_way" and is_reply)
                if silent:
                    while self.mode in ("silent", "one_way"):
                        await asyncio.sleep(0.05)
                    reset(writer)
                    return
                if not data:
                    # The other direction may still have bytes under way.
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            reset(writer)


class Store:
    """The platform's store: objects by kind, with lists, watches and
    conditional writes."""

    def __init__(self):
        self.objects = {"config": {}, "servers": {}, "evacuations": {},
                        wire.EVIDENCE: {}}
        self.changes = []  # (revision, kind, object, deleted)
        self.revision = 100
        self.compacted_revision = 100  # Changes up to here were dropped.
        self.era = 1
        self.copy = None  # Objects and revision, to come back from.
        self.mode = "ok"  # ok, down, busy, slow
        self.changed = asyncio.Event()
        self.address = ""
        self.connections = set()

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def put(self, kind, name, content):
        """Write an object; content None removes it."""
        self.revision += 1
        entry = wire.make_object(name, self.revision, content)
        if content is None:
            if self.objects[kind].pop(name, None) is None:
                return
        else:
            self.objects[kind][name] = entry
        self.changes.append((self.revision, kind, entry, content is None))
        if len(self.changes) > MAX_CHANGES:
            self.compacted_revision = self.changes.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    def forget(self):
        """Drop all changes, so that older watches get 410."""
        self.changes.clear()
        self.compacted_revision = self.revision

    def save(self):
        """Make a copy to come back from."""
        self.copy = ({kind: dict(objects)
                      for kind, objects in self.objects.items()},
                     self.revision)

    def restore(self):
        """Come back from the copy: revisions are given out again."""
        self.objects, self.revision = self.copy
        self.era += 1
        self.forget()
        self.cut()

    def cut(self):
        """Reset all connections, as an outage does."""
        for writer in list(self.connections):
            reset(writer)

    async def serve(self, reader, writer):
        """Answer calls on one connection."""
        await serve_messages(reader, writer, self.connections, self.answer)

    async def answer(self, message):
        """Answer a list, a watch or a write."""
        if self.mode == "down":
            return None
        if self.mode == "slow":
            await asyncio.sleep(0.3)
        if self.mode == "busy":
            return wire.store_reply(self.era, 503)
        method, target, _ = message[0].split(" ")
        path, _, text = target.partition("?")
        query = dict(item.split("=", 1) for item in text.split("&") if item)
        if method != "GET":
            return self.write(method, path, query, message[2])
        kind = path.rsplit("/", 1)[1]
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("wait-ms", 0)) / 1000)
        after = query.get("after", "")
        names = sorted(name for name in self.objects[kind] if name > after)
        return wire.store_reply(self.era, 200, {
            "items": [self.objects[kind][name]
                      for name in names[:PAGE_OBJECTS]],
            "more": len(names) > PAGE_OBJECTS, "as-of": self.revision})

    def write(self, method, path, query, body):
        """Create, replace or delete an object."""
        document = json.loads(body) if body else {"meta": {}, "spec": None}
        _, _, kind, *names = path.split("/")
        name = names[0] if names else document["meta"]["name"]
        known = self.objects[kind].get(name)
        if method != "POST" and known is None:
            return wire.store_reply(self.era, 404)
        revision = document["meta"].get("revision") or query.get("revision")
        if known is not None and (method == "POST" or int(
                revision or 0) not in (0, known["meta"]["revision"])):
            return wire.store_reply(self.era, 409, known)
        self.put(kind, name,
                 None if method == "DELETE" else document["spec"])
        return wire.store_reply(self.era, 201 if method == "POST" else 200,
                                self.objects[kind].get(name, known))

    async def watch(self, kind, since, wait_s):
        """Wait for changes after a revision and return them."""
        end = time.monotonic() + wait_s
        while True:
            if not self.compacted_revision <= since <= self.revision:
                return wire.store_reply(self.era, 410)
            events = [{"object": entry, "deleted": deleted}
                      for revision, of, entry, deleted in self.changes
                      if of == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return wire.store_reply(
                    self.era, 200,
                    {"events": events, "as-of": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A backend server with a fault mode; it reports its runs to the book."""

    def __init__(self, book, name, service, zone, work_s, seed):
        self.book = book
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.rng = random.Random(f"{seed}/{name}")
        self.slots = 4
        self.state = "ready"
        self.started_ms = int(time.time() * 1000)
        self.fault = "none"  # none, slow, errors, lost, extra, hang, full
        self.says = Says()
        self.cold_since = 0.0  # When it last became cold.
        self.warm_at = 0.0
        self.pause_s = None  # Rejects requests and asks for so long a pause.
        self.link = None
        self.crashes = []  # (time, request), by content that crashes it.
        self.listed = None  # Called when it has started again.
        self.running = 0
        self.listener = None
        self.port = 0
        self.address = ""  # Listed in the store: the address of its proxy.
        self.connections = set()

    async def start(self):
        """Listen; a restart uses the same port again."""
        for _ in range(PORT_TRIES):
            port = self.port or next(SERVER_PORTS)
            try:
                self.listener = await asyncio.start_server(
                    self.serve, HOST, port)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                await asyncio.sleep(0.05 if self.port else 0)
                continue
            self.port = port
            return
        raise OSError(errno.EADDRINUSE, f"no port for {self.name}")

    def life(self):
        """Name of this incarnation."""
        return f"{self.name}/{self.started_ms}"

    def links(self):
        """Changes whenever the link to it is disturbed."""
        return self.link.disturbances

    def guidance_fields(self):
        """Header fields with what it says of itself."""
        fields = {}
        if self.says.leaving:
            fields[wire.LEAVING] = "1"
        if self.says.limit is not None:
            fields[wire.LIMIT] = f"{self.says.limit:g}"
        return fields

    def become_cold(self, cold_s):
        """Take few requests from now on; its entry says so."""
        self.cold_since = time.monotonic()
        self.warm_at = self.cold_since + cold_s

    def crash(self):
        """Stop listening and reset all connections."""
        self.listener.close()
        for writer in list(self.connections):
            reset(writer)

    async def restart(self, pause_s):
        """Crash, and start again after a while as another incarnation."""
        if not self.listener.is_serving():
            return
        self.crash()
        await asyncio.sleep(pause_s)
        await self.start_again()
        self.listed(self)

    async def start_again(self):
        """Start as another incarnation, which is cold."""
        self.started_ms = int(time.time() * 1000)
        self.become_cold(domains.WARMUP_S)
        await self.start()

    async def serve(self, reader, writer):
        """Answer requests on one connection."""
        await serve_messages(reader, writer, self.connections, self.answer)

    async def answer(self, message):
        """Run a request; None resets the connection."""
        line, fields, body = message
        request = fields.get(wire.REQUEST_ID, "")
        if line.split(" ")[1] == "/health":
            return wire.make_response(200, {"instance-id": self.name})
        if fields.get(wire.EXPECTED_SERVER, self.name) != self.name:
            return wire.make_response(421, {wire.NOT_RUN: "1"})
        said = {wire.REQUEST_ID: request, **self.guidance_fields()}
        self.book.note_arrival(request, self)
        if self.pause_s is not None:
            self.book.guidance.note_pause(request, self, self.pause_s)
            return wire.make_response(
                503, {wire.NOT_RUN: "1",
                      wire.RETRY_AFTER: f"{self.pause_s:.3f}", **said})
        if self.fault == "full" or self.running >= 3 * self.slots:
            return wire.make_response(503, {wire.NOT_RUN: "1", **said})
        self.book.note_run(self, request, line, body)
        if line.split(" ")[1].startswith(wire.CRASH_PATH):
            self.crashes.append((time.monotonic(), request))
            asyncio.get_running_loop().create_task(
                self.restart(self.rng.uniform(0.5, 1.5)))
            return None
        self.running += 1
        try:
            await asyncio.sleep(self.work_s * self.rng.uniform(0.5, 1.5) *
                                (8 if self.fault == "slow" else 1))
            if self.fault == "hang":
                await asyncio.sleep(6)
        finally:
            self.running -= 1
        if self.fault == "lost" and self.rng.random() < 0.3:
            return None
        failed = self.fault == "errors" and self.rng.random() < 0.5
        content = self.rng.randbytes(wire.RECORD_BYTES * 6 + 3)
        proof = self.book.add_proof(self, request, content, failed)
        answer = wire.make_response(
            500 if failed else 200,
            {wire.PROOF: proof, wire.REQUEST_ID: request,
             **self.guidance_fields()}, content)
        if self.fault == "extra" and self.rng.random() < 0.3:
            answer += wire.make_response(
                200, {wire.PROOF: "late", wire.REQUEST_ID: "another"}, b"late")
        return answer
