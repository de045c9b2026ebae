"""Evacuation of a failure domain, with gateways as processes.

Callers send requests all the time. Guards against requests that reach an
evacuated domain: from gateways that the store refuses, from one that starts
while the store doesn't tell evacuations, in a release of all gateways
meanwhile, and after a restore; against
gateways that never get ready again when nobody knows the evacuations; and
against cold servers that get more requests than they take. Exits with 1 if one
of these happened.
"""

import argparse
import asyncio
import collections
import signal
import sys
import tempfile
import time

import domains
import soak
import standins
import wire

ZONE = "a"
EVACUATE_S = domains.EVACUATE_S
RETURN_S = 12.0  # An object that a restored store lost ends by then.
CALLERS = 24
WARMUP_PER_S = 2
WARMUP_S = 3.0
WARMUP_MOST = WARMUP_PER_S * 1.5 + 5  # In any one second.
COLD_S = 5.0  # A cold phase that servers state later.
KNOWN_S = 0.5  # By then all gateways have read it.


class Store(standins.Store):
    """A store that can refuse one kind of objects."""

    def __init__(self):
        super().__init__()
        self.refused_kind = None

    async def answer(self, message):
        path = message[0].split(" ")[1].partition("?")[0]
        if path.rsplit("/", 1)[1] == self.refused_kind:
            return wire.store_reply(self.era, 503)
        return await super().answer(message)


class Run(soak.Soak):
    """One sequence of events."""

    def __init__(self, arguments, directory):
        super().__init__(arguments, directory)
        self.store = Store()
        self.arrivals = []  # Times of requests at servers of the domain.
        self.arrivals_of = collections.defaultdict(list)  # By server.

    async def add_server(self, service, zone, work_s):
        server = await super().add_server(service, zone, work_s)
        if zone == ZONE:
            answer = server.answer

            async def note(message):
                self.arrivals.append(time.monotonic())
                self.arrivals_of[server.name].append(self.arrivals[-1])
                return await answer(message)
            server.answer = note
        return server

    async def expect_silence(self, what, settle_s, for_s):
        """No request may reach the domain after some time to settle."""
        begun = time.monotonic()
        await asyncio.sleep(settle_s + for_s)
        after = [at - begun for at in self.arrivals if at >= begun]
        late = [at for at in after if at >= settle_s]
        print(f"{what}: last request after "
              f"{max(after, default=0.0):.2f} s, {len(late)} too late")
        if late:
            self.book.fail(f"{what}: {len(late)} requests")

    async def expect_arrivals(self, what, within_s):
        """Requests must reach the domain again."""
        begun = time.monotonic()
        while not any(at > begun for at in self.arrivals[-1:]):
            if time.monotonic() > begun + within_s:
                self.book.fail(f"{what}: no request")
                return
            await asyncio.sleep(0.05)
        print(f"{what}: first request after {time.monotonic() - begun:.2f} s")

    def largest_second(self, what, begin, end):
        """Most requests that one server got in one second."""
        most = 0
        count = 0
        for times in self.arrivals_of.values():
            times = [at for at in times if begin <= at < end]
            count += len(times)
            most = max([most] + [sum(first <= at < first + 1 for at in times)
                                 for first in times])
        print(f"{what}: at most {most} requests in 1 s, {count} in all")
        return most

    def check_cold(self, what, begin, end):
        """No server may get more requests in a second than it takes."""
        most = self.largest_second(what, begin, end)
        if most > WARMUP_MOST:
            self.book.fail(f"{what}: {most} requests in 1 s")

    async def become_cold(self, cold_s):
        """All servers of the domain state a cold phase."""
        begun = time.monotonic()
        for server in self.servers:
            if server.zone == ZONE:
                server.become_cold(cold_s)
                self.list_server(server)
        await asyncio.sleep(cold_s)
        self.check_cold("cold servers", begun + KNOWN_S, begun + cold_s)

    async def restart(self, gateways):
        """Kill gateways, which start again at once."""
        for gateway in gateways:
            gateway.signal(signal.SIGKILL)
        await asyncio.sleep(1.0)
        await self.wait_ready()

    async def release(self):
        """Restart all gateways, one after another."""
        for gateway in self.gateways:
            await self.restart([gateway])

    async def play(self):
        """The sequence."""
        await self.expect_arrivals("before", 5)
        self.store.save()
        refused = self.gateways[-1]
        refused.store_link.mode = "refuse"
        refused.store_link.cut()
        await asyncio.sleep(1.0)
        self.evacuate(ZONE, True)
        await self.expect_silence("one gateway refused", EVACUATE_S, 2.0)
        self.store.refused_kind = "evacuations"
        self.store.cut()
        begun = time.monotonic()
        await self.restart(self.gateways[1:2])
        print(f"start from peers: ready after {time.monotonic() - begun:.2f} s")
        await self.expect_silence("started while the kind is refused", 0.0, 4.0)
        refused.store_link.mode = "ok"
        release = asyncio.create_task(self.release())
        await self.expect_silence("rolling release while the kind is refused",
                                  0.0, 4.0 * len(self.gateways))
        await release
        self.store.mode = "down"
        self.store.cut()
        await self.expect_silence("outage", 0.0, 3.0)
        self.end_outage()
        self.store.refused_kind = None
        await self.expect_silence("end of the outage", 0.0, 3.0)
        # The servers' entries and the configuration of the copy are current.
        self.store.restore()
        self.book.domains.note_evacuated(ZONE, False)
        await self.expect_arrivals("restored without it", RETURN_S)
        self.evacuate(ZONE, True)
        await self.expect_silence("evacuated again", EVACUATE_S, 2.0)
        begun = time.monotonic()
        self.evacuate(ZONE, False)
        await self.expect_arrivals("ended", RETURN_S)
        await asyncio.sleep(WARMUP_S)
        self.check_cold("after the end", begun, begun + WARMUP_S)
        await asyncio.sleep(RETURN_S)
        now = time.monotonic()
        if self.largest_second("warm servers", now - 5, now) <= WARMUP_MOST:
            self.book.fail("the load is too low to show the limit")
        await self.become_cold(COLD_S)
        self.store.refused_kind = "evacuations"
        self.store.cut()
        begun = time.monotonic()
        await self.restart(self.gateways)
        print("all start while nobody knows: ready after "
              f"{time.monotonic() - begun:.2f} s")

    async def run(self):
        await self.start()
        supervisors = [asyncio.create_task(gateway.restart_on_exit())
                       for gateway in self.gateways]
        callers = [asyncio.create_task(self.run_caller(i))
                   for i in range(CALLERS)]
        await self.play()
        self.is_over = True
        await asyncio.gather(*callers)
        for gateway in self.gateways:
            gateway.should_run = False
            gateway.signal(signal.SIGTERM)
        await asyncio.gather(*(gateway.process.wait()
                               for gateway in self.gateways))
        await asyncio.gather(*supervisors)


def main():
    """Command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--gateways", type=int, default=10)
    parser.add_argument("--network", type=int, default=2)
    arguments = parser.parse_args()
    arguments.seed = 1
    arguments.seconds = 0
    domains.WARMUP_S = WARMUP_S
    domains.WARMUP_PER_S = WARMUP_PER_S
    domains.WARMUP_MOST = WARMUP_MOST
    directory = tempfile.mkdtemp(prefix="camphorfield-evacuation-")
    run = Run(arguments, directory)

    async def play():
        try:
            await run.run()
        finally:
            run.end()
    asyncio.run(play())
    for text in run.book.violations[:20]:
        print("  broken:", text)
    if run.book.violations:
        print("  logs:", directory)
    return 1 if run.book.violations else 0


if __name__ == "__main__":
    sys.exit(main())
