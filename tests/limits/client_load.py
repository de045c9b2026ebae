"""Loads a gateway with clients outside its limits.

Starts one `camphorfield gateway` with a small memory and descriptor limit and
applies one case of load. Checks, while the clients keep their connections
open, that the process runs, that its peak resident memory and its open
descriptors are within the limits of its settings file, and that an ordinary
request is answered. Nothing is measured in time: the checks wait for events.
"""

import argparse
import asyncio
import os
import resource
import socket
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
import wire  # noqa: E402
from loads import CASES, PEER_CASES  # noqa: E402
from parts import (HOST_NAME, MAX_BODY_BYTES, BigServer,  # noqa: E402
                   make_config, make_settings)
from standins import Store  # noqa: E402

# Small enough that a crowd of 150 clients breaks them, large enough for a
# process with empty tables (about 17 MB).
MEMORY_MB = 96
MAX_DESCRIPTORS = 400
SHARDS = 4
START_S = 10.0
LOAD_S = 7.0  # At most; a load that ends sooner is not waited for.
SERVED_S = 6.0  # An ordinary request, repeated, must be answered in this time.


def find_network():
    """Third part of a loopback address whose ports are free: several builds
    may run their tests at the same time."""
    for network in [(os.getpid() + i) % 100 + 150 for i in range(100)]:
        try:
            for port in (7100, 7104, 7106, 7108, 7380):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"127.0.{network}.1", port))
        except OSError:
            continue
        return network
    raise OSError("no loopback address with free ports")


class Process:
    """The gateway's process and what the kernel says of it."""

    def __init__(self, binary, network, store):
        ip = f"127.0.{network}.1"
        self.ip = ip
        self.front = f"{ip}:7104"
        self.directory = tempfile.mkdtemp(prefix="camphorfield-limits-")
        settings = os.path.join(self.directory, "settings")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(make_settings(ip, store, MEMORY_MB, MAX_DESCRIPTORS))
        self.log = open(os.path.join(self.directory, "log"), "wb")
        self.process = subprocess.Popen(
            [binary, "gateway"], stdout=self.log, stderr=self.log,
            env={**os.environ, "CAMPHORFIELD_SETTINGS": settings},
            preexec_fn=lambda: resource.setrlimit(
                resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS)))
        self.most_descriptors = 0

    def is_alive(self):
        """Whether the process runs."""
        return self.process.poll() is None

    def memory_mb(self, key="VmHWM"):
        """Resident memory; VmHWM: the largest that VmRSS has been."""
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith(key + ":"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def watch_descriptors(self):
        """Record the largest number of open descriptors."""
        while self.is_alive():
            try:
                count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            except OSError:
                return
            self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(0.05)

    def end(self):
        """Kill the process, which this test started."""
        if self.is_alive():
            self.process.kill()
        self.process.wait()
        self.log.close()


async def serve_once(front, number, body=b""):
    """Send one request inside the limits; returns its status."""
    host, port = front.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(wire.make_request(
            "POST" if body else "GET", f"/plain/{number}",
            {"host": HOST_NAME, wire.REQUEST_ID: f"ordinary{number:04x}",
             wire.REMAINING_MS: 2000}, body))
        line, _, _ = await wire.read_message(reader)
        return int(line.split(" ")[1])
    finally:
        writer.close()


async def is_served(process, seconds):
    """Whether an ordinary request is answered with 200, repeated if not."""
    end = asyncio.get_running_loop().time() + seconds
    number = 0
    while asyncio.get_running_loop().time() < end and process.is_alive():
        number += 1
        try:
            if await asyncio.wait_for(
                    serve_once(process.front, number), 2.5) == 200:
                return True
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
                asyncio.LimitOverrunError):
            pass
        await asyncio.sleep(0.1)
    return False


async def run_case(arguments):
    """Run one case; returns the violations."""
    store = Store()
    await store.start()
    servers = []
    shards = [f"shard{i}" for i in range(SHARDS)]
    for service in shards + ["plain", "plain", "plain", "once"]:
        server = BigServer(f"i-{len(servers)}", service)
        await server.start()
        server.address = f"127.0.0.1:{server.port}"
        servers.append(server)
        store.put("servers", server.name, wire.make_entry(server, 1))
    store.put("config", "main", make_config(shards))
    process = Process(os.path.abspath(
        os.path.join(arguments.build, "camphorfield")), find_network(),
        store.address)
    broken = []
    try:
        if not await is_served(process, START_S):
            return ["an ordinary request is not served before the load"]
        whole = await serve_once(process.front, 0, b"w" * MAX_BODY_BYTES)
        if whole != 200:
            return [f"a body of legal size gets {whole} when there is no load"]
        base = process.memory_mb()
        watch = asyncio.create_task(process.watch_descriptors())
        load = CASES[arguments.case](
            f"{process.ip}:7106" if arguments.case in PEER_CASES
            else process.front)
        crowd = [asyncio.create_task(client) for client in load]
        await asyncio.wait(crowd, timeout=LOAD_S)
        served = await is_served(process, SERVED_S)
        alive = process.is_alive()
        peak = process.memory_mb() if alive else 0.0
        for task in crowd:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
        watch.cancel()
        if not alive:
            broken.append(f"the process ended: {process.process.returncode}")
        if peak > MEMORY_MB:
            broken.append(f"resident memory {peak:.0f} MB > {MEMORY_MB} MB")
        if process.most_descriptors > MAX_DESCRIPTORS - 1:
            broken.append(f"{process.most_descriptors} descriptors open, "
                          f"limit {MAX_DESCRIPTORS}")
        if not served:
            broken.append("an ordinary request is not served")
        print(f"{arguments.case}: memory {base:.0f} MB before, {peak:.0f} MB "
              f"at most, descriptors {process.most_descriptors}, "
              f"served {served}")
    finally:
        process.end()
        await asyncio.sleep(0.1)  # The stand-ins see that it has ended.
    return broken


def main():
    """Command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("case", choices=sorted(CASES))
    arguments = parser.parse_args()
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, limit[1]), limit[1]))
    broken = asyncio.run(run_case(arguments))
    for text in broken:
        print(f"  broken: {text}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
