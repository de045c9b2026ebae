"""A request that crashes servers is let through again after kills."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))

import deployment as d  # noqa: E402

TOUCH_S = 4.0  # stable-window-ms
AGAIN_S = 5.0  # The caller sends its request again after this time.
CRASHES_TO_LEARN = 3
MOST_RETRIES = 3
RATE = 30


class CrashingServer(d.Server):
    """Crashes when it begins to run one request; back after some seconds."""

    site = None
    crashes = []  # (time, request) of all servers.

    async def answer(self, line, fields, body):
        if body == b"crash" and self.taken < self.slots + self.queue:
            request = fields.get("request-id", "")
            self.record.note(f"{self.name} runs {request} and crashes")
            self.crashes.append((self.record.now(), request))
            asyncio.create_task(self.restart())
            return None
        return await super().answer(line, fields, body)

    async def restart(self):
        """End, and start again as another lifetime at the same address."""
        host, port = self.address.rsplit(":", 1)
        self.stop()
        await asyncio.sleep(self.rng.uniform(1.5, 2.5))
        self.started_ms = int(d.time.time() * 1000)
        self.taken = 0
        self.free = asyncio.Semaphore(self.slots)
        while True:
            try:
                self.listener = await asyncio.start_server(
                    self.serve, host, int(port))
                break
            except OSError:
                await asyncio.sleep(0.1)
        self.record.note(f"{self.name} is back")
        self.site.list_server(self)


async def kill_all(site, record):
    """Kill all gateways and start them again, as the platform does."""
    record.note("all gateways are killed")
    for gateway in site.gateways:
        gateway.signal(d.signal.SIGKILL)
        await gateway.process.wait()
    await asyncio.sleep(0.5)
    for gateway in site.gateways:
        await gateway.start()
    await site.wait_ready(5)
    record.note("all gateways are ready again")


async def case(record):
    site = d.Deployment(record, 3)
    CrashingServer.site = site
    try:
        await site.store.start()
        for number in range(7):
            await site.add_server(CrashingServer(
                record, f"i-{number}", "archive", "abc"[number % 3], slots=6,
                queue=24, max_conns=96, work_s=0.05))
        site.configure(1, [d.route("store", "non_idempotent",
                                   service="archive")], max_conns=96)
        await site.start_gateways()
        callers = d.Callers(site)
        load = asyncio.create_task(callers.load(
            RATE, 85, lambda: ("usual", "POST", "/store/tape", b"x", 2000)))
        await asyncio.sleep(TOUCH_S)
        reached = []  # Number of crashes in each phase.
        for phase in range(3):
            if phase > 0 and d.TROUBLE:
                await kill_all(site, record)
            before = len(CrashingServer.crashes)
            for _ in range(5):
                # Also after a kill, the next one comes when all gateways are
                # in touch again.
                await asyncio.sleep(AGAIN_S)
                await callers.send(
                    callers.rng.choice(site.gateways), "crash", "POST",
                    "/store/tape", b"crash", 2000)
            reached.append(len(CrashingServer.crashes) - before)
        await load
        await callers.finish()
        return judge(callers, reached)
    finally:
        site.end()


def judge(callers, reached):
    """BUDGET: retries later than stable-window-ms after the third crash."""
    crashes = CrashingServer.crashes
    late = []
    if len(crashes) >= CRASHES_TO_LEARN:
        third = crashes[CRASHES_TO_LEARN - 1][0]
        late = sorted({request for at, request in crashes
                       if at > third + TOUCH_S})
    text = (f"crashes in the three phases: {reached}; {len(late)} retries "
            f"reached servers later than {TOUCH_S} s after the third crash")
    callers.record.note(text)
    print(text)
    return d.BROKEN if len(late) > MOST_RETRIES else d.HELD


d.run(case, os.path.dirname(os.path.abspath(__file__)))
