"""Loads of clients outside the limits, by case: a list of coroutines each."""

import asyncio
import socket
import struct

import wire
from parts import HOST_NAME, MAX_BODY_BYTES, MAX_HEAD_BYTES

CROWD = 150
ENDLESS_BYTES = 40 * 1024 * 1024  # Sent by a client that knows no limit.

HEAD = f"POST /plain/%s HTTP/1.1\r\nhost: {HOST_NAME}\r\n{wire.REQUEST_ID}: %s" \
    "\r\n"


def head(name, number, more=""):
    """Head of a POST request without the empty line at its end."""
    return (HEAD % (number, f"{name}{number:04x}") + more).encode()


HELD = []  # Connections that stay open until the test's end.


async def connect(address):
    """Open a connection that stays open until the test's end.

    Its receive buffer is small, so that what it doesn't read stays with the
    gateway."""
    host, port = address.rsplit(":", 1)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=client, limit=1024)
    HELD.append((reader, writer))
    return reader, writer


async def send_then_hold(address, pieces):
    """Send all pieces; the connection stays open, unread."""
    try:
        _, writer = await connect(address)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
    except OSError:
        pass


def repeated(piece, size):
    """A piece again and again up to a size."""
    for _ in range(size // len(piece)):
        yield piece


def chunks(name, number, chunk_bytes):
    """A chunked body of legal size whose last chunk stops short."""
    yield head(name, number, "transfer-encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n" % chunk_bytes + b"c" * chunk_bytes + b"\r\n"
    block = chunk * max(1, 16384 // len(chunk))
    yield from repeated(block, (MAX_BODY_BYTES * len(chunk)) // chunk_bytes
                        - len(block))
    yield chunk[:-3]


def length_body(name, number, piece_bytes):
    """A body of legal size that stops one byte short of its length."""
    yield head(name, number, f"content-length: {MAX_BODY_BYTES}\r\n\r\n")
    yield from repeated(b"b" * piece_bytes, MAX_BODY_BYTES - piece_bytes)
    yield b"b" * (piece_bytes - 1)


def endless(begin, piece):
    """A beginning and then a piece without end."""
    yield begin
    yield from repeated(piece, ENDLESS_BYTES)


def trailers(address):
    """Endless trailers after a chunked body."""
    return [send_then_hold(address, endless(
        head("t", i, "transfer-encoding: chunked\r\n\r\n")
        + b"1\r\nx\r\n0\r\n", b"X-T: " + b"t" * 8000 + b"\r\n"))
        for i in range(4)]


def chunk_extensions(address):
    """An endless chunk extension, and small chunks with long ones."""
    begin = "transfer-encoding: chunked\r\n\r\n"
    return [send_then_hold(address, endless(
        head("e", i, begin) + b"1;a=", b"e" * 8000)) for i in range(4)] + [
        send_then_hold(address, endless(
            head("f", i, begin), b"1;a=" + b"e" * 4000 + b"\r\nx\r\n"))
        for i in range(4)]


def heads(address):
    """Endless heads, and heads that stop just short of the limit."""
    short = [[head("h", i, "X-H: "), b"h" * (MAX_HEAD_BYTES - 200)]
             for i in range(CROWD)]
    return [send_then_hold(address, endless(
        head("g", i, "X-G: "), b"g" * 8000)) for i in range(4)] + [
        send_then_hold(address, pieces) for pieces in short]


async def drip(address, number):
    """Send a head in single bytes and leave it unfinished."""
    _, writer = await connect(address)
    try:
        for byte in head("d", number, "X-D: " + "d" * 300):
            if writer.is_closing():
                return
            writer.write(struct.pack("B", byte))
            await asyncio.sleep(0.005)
    except OSError:
        pass


def single_bytes(address):
    """Heads in single bytes."""
    return [drip(address, i) for i in range(CROWD)]


def idle(address):
    """More idle connections than the process has descriptors."""
    return [send_then_hold(address, []) for _ in range(600)]


def idle_after_body(address):
    """Connections that stay idle after a large request each."""
    return [send_then_hold(address, [
        head("i", i, f"content-length: {MAX_BODY_BYTES}\r\n\r\n"),
        b"i" * MAX_BODY_BYTES]) for i in range(CROWD)]


def pipelined(address):
    """Pipelined requests whose answers are never read."""
    request = wire.make_request("GET", "/plain/big", {
        "host": HOST_NAME, wire.REQUEST_ID: "pipelined", "x-p": "p" * 900})
    return [send_then_hold(address, repeated(request, 2 * 1024 * 1024))
            for _ in range(40)]


def unread_answers(address):
    """Large answers that the client never reads."""
    return [send_then_hold(address, [wire.make_request("GET", "/plain/big", {
        "host": HOST_NAME, wire.REQUEST_ID: f"unread{i}"})])
        for i in range(2 * CROWD)]


async def read_slowly(address, number):
    """Ask for a large answer and read it in small pieces."""
    reader, writer = await connect(address)
    try:
        writer.write(wire.make_request("GET", "/plain/big", {
            "host": HOST_NAME, wire.REQUEST_ID: f"slow{number}"}))
        while await reader.read(512):
            await asyncio.sleep(0.2)
    except OSError:
        pass


def slow_readers(address):
    """Large answers that the client reads slowly."""
    return [read_slowly(address, i) for i in range(2 * CROWD)]


def oddities(address):
    """HTTP/1.0, upgrades, bad lengths and bytes that are no HTTP."""
    texts = [
        b"POST /plain/1 HTTP/1.0\r\n\r\n" + b"x" * MAX_BODY_BYTES,
        b"GET /plain/1 HTTP/1.1\r\nhost: %s\r\nconnection: upgrade\r\n"
        b"upgrade: websocket\r\n\r\n" % HOST_NAME.encode() + b"x" * 65536,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0" * 65536,
        b"POST /plain/1 HTTP/1.1\r\ncontent-length: 18446744073709551615"
        b"\r\n\r\n" + b"x" * 65536,
        b"POST /plain/1 HTTP/1.1\r\ncontent-length: 5\r\n"
        b"transfer-encoding: chunked\r\n\r\n" + b"x" * 65536,
        b"POST /plain/1 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        b"fffffffffffffffff\r\n" + b"x" * 65536,
        b"POST /plain/1 HTTP/1.1\r\nexpect: 100-continue\r\n"
        b"content-length: %d\r\n\r\n" % MAX_BODY_BYTES,
        b"\0" * MAX_BODY_BYTES]
    return [send_then_hold(address, [texts[i % len(texts)]])
            for i in range(CROWD)]


def server_answers(address):
    """Queries and requests whose servers answer without end."""
    paths = ["/query/huge"] * 40 + ["/plain/huge"] * 40 + [
        "/plain/endless-body", "/plain/endless-head",
        "/plain/endless-trailers"] * 4
    return [send_then_hold(address, [wire.make_request("GET", path, {
        "host": HOST_NAME, wire.REQUEST_ID: f"answers{i}"})])
        for i, path in enumerate(paths)]


def peer_frames(address):
    """Frames to the peer port that announce 32 MB and stop short."""
    size = 32 * 1024 * 1024 - 1
    return [send_then_hold(address, [
        struct.pack(">I", size), b"p" * (12 * 1024 * 1024)])
        for _ in range(12)] + [send_then_hold(address, [])
                               for _ in range(400)]


CASES = {
    "trailers": trailers,
    "chunk_extensions": chunk_extensions,
    "chunks_large": lambda address: [
        send_then_hold(address, chunks("l", i, 65536)) for i in range(CROWD)],
    "chunks_small": lambda address: [
        send_then_hold(address, chunks("s", i, 16)) for i in range(CROWD)],
    "lengths_whole": lambda address: [
        send_then_hold(address, length_body("w", i, MAX_BODY_BYTES))
        for i in range(CROWD)],
    "lengths_pieces": lambda address: [
        send_then_hold(address, length_body("p", i, 8192))
        for i in range(CROWD)],
    "heads": heads,
    "single_bytes": single_bytes,
    "idle": idle,
    "idle_after_body": idle_after_body,
    "pipelined": pipelined,
    "unread_answers": unread_answers,
    "slow_readers": slow_readers,
    "oddities": oddities,
    "server_answers": server_answers,
    "peer_frames": peer_frames,
}
PEER_CASES = {"peer_frames"}
