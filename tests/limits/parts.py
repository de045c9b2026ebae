"""Settings, configuration, store and servers of the limit tests."""

import asyncio
import collections

import wire
from standins import Server

HOST_NAME = "limits.example"
MAX_BODY_BYTES = 1024 * 1024
MAX_HEAD_BYTES = 16384
BIG_ANSWER_BYTES = 768 * 1024
HUGE_ANSWER_BYTES = 3900 * 1024  # Just below what a gateway takes at all.


def make_settings(ip, store, memory_mb, descriptors):
    """Settings file of the gateway."""
    Endpoints = collections.namedtuple(
        "Endpoints", "name ip front ready control directory metrics")
    endpoints = Endpoints("gateway-0", ip, f"{ip}:7104", f"{ip}:7108",
                          f"{ip}:7106", f"{ip}:7100", f"{ip}:7380")
    return wire.make_settings(endpoints, "a", [endpoints.control], store, 3) + \
        f"limits.memory-mb={memory_mb}\nlimits.max-fds={descriptors}\n"


def make_config(shards):
    """Configuration with limits under which stalled clients stay open."""
    config = wire.make_config(2, HOST_NAME, shards, "plain", "once")
    config["limits"] = {"max-header-bytes": MAX_HEAD_BYTES,
                        "max-body-bytes": MAX_BODY_BYTES,
                        "header-timeout-ms": 30000,
                        "idle-timeout-ms": 30000}
    return config


class NoBook:
    """Takes what the soak's servers report; nothing is checked here."""

    @staticmethod
    def note_arrival(request, server):
        """Ignore an arrival."""

    @staticmethod
    def note_run(server, request, line, body):
        """Ignore a run."""

    @staticmethod
    def add_proof(server, request, body, failed):
        """A proof for an answer."""
        return f"{server.name}.{request}"


class BigServer(Server):
    """A backend server whose answers depend on the request's path."""

    def __init__(self, name, service):
        super().__init__(NoBook, name, service, "a", 0.002, 1)
        self.slots = 64

    async def serve(self, reader, writer):
        """Answer requests; some paths get answers outside all limits."""
        self.connections.add(writer)
        try:
            while True:
                message = await wire.read_message(reader)
                path = message[0].split(" ")[1]
                if path.endswith("/endless-body"):
                    await self.write_endless(writer, message, b"\r\n", None)
                elif path.endswith("/endless-head"):
                    await self.write_endless(writer, message, b"", b"X-F: ")
                elif path.endswith("/endless-trailers"):
                    await self.write_endless(
                        writer, message, b"\r\n0\r\n", b"X-F: ")
                else:
                    writer.write(await self.make_answer(message, path))
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The gateway closed the connection, or the test ends.
        finally:
            self.connections.discard(writer)
            writer.close()

    async def make_answer(self, message, path):
        """An answer of the size that the path asks for."""
        if path.endswith("/big"):
            size = BIG_ANSWER_BYTES
        elif path.endswith("/huge"):
            size = HUGE_ANSWER_BYTES
        else:
            return await self.answer(message)
        fields = {wire.PROOF: f"{self.name}.big",
                  wire.REQUEST_ID: message[1].get(wire.REQUEST_ID, "")}
        return wire.make_response(200, fields, b"x" * size)

    async def write_endless(self, writer, message, begin, prefix):
        """Write a head and then lines or chunks until the peer closes."""
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
                     + f"{wire.REQUEST_ID}: ".encode()
                     + message[1].get(wire.REQUEST_ID, "").encode()
                     + b"\r\n" + begin)
        line = b"10000\r\n" + b"x" * 65536 + b"\r\n" if prefix is None \
            else prefix + b"x" * 8000 + b"\r\n"
        for _ in range(40 * 1024 * 1024 // len(line)):
            writer.write(line)
            await writer.drain()
