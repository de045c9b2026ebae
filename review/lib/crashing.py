"""Servers that crash when they run one request, and its caller."""

import asyncio
import time

import deployment as d

AGAIN_S = 5.0  # The caller sends its request again after this time.
TOUCH_S = 4.0  # stable-window-ms
CRASHES_TO_LEARN = 3
MOST_RETRIES = 3


class CrashingServer(d.Server):
    """Crashes when it begins to run one request; back after some seconds."""

    site = None
    crashes = []  # (time, request) of all servers.
    begun = False  # It has begun its answer when it crashes.

    async def answer(self, line, fields, body):
        if body != b"crash" or self.taken >= self.slots + self.queue:
            return await super().answer(line, fields, body)
        request = fields.get("request-id", "")
        self.record.note(f"{self.name} runs {request} and crashes")
        self.crashes.append((self.record.now(), request))
        asyncio.create_task(self.restart())
        if self.begun:
            return (f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
                    "Content-Length: 100\r\n\r\n").encode()
        return None

    async def restart(self):
        """End, and start again as another lifetime at the same address."""
        host, port = self.address.rsplit(":", 1)
        await asyncio.sleep(0.01 if self.begun else 0)
        self.stop()
        await asyncio.sleep(self.rng.uniform(1.5, 2.5))
        self.started_ms = int(time.time() * 1000)
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


async def start(site):
    """A service of seven servers and a route to it."""
    CrashingServer.site = site
    await site.store.start()
    for number in range(7):
        await site.add_server(CrashingServer(
            site.record, f"i-{number}", "archive", "abc"[number % 3], slots=6,
            queue=24, max_conns=96, work_s=0.05))
    site.configure(1, [d.route("store", "non_idempotent",
                               service="archive")], max_conns=96)
    await site.start_gateways()
    await asyncio.sleep(TOUCH_S)


async def send_again(callers, times, body=b"crash"):
    """Send the request some times; returns how many servers it crashed."""
    before = len(CrashingServer.crashes)
    for _ in range(times):
        await asyncio.sleep(AGAIN_S)
        await callers.send(
            callers.rng.choice(callers.deployment.gateways), "crash", "POST",
            "/store/tape", body, 2000)
    return len(CrashingServer.crashes) - before


def judge(callers, note):
    """BUDGET: retries later than stable-window-ms after the third crash."""
    crashes = CrashingServer.crashes
    late = []
    if len(crashes) >= CRASHES_TO_LEARN:
        third = crashes[CRASHES_TO_LEARN - 1][0]
        late = sorted({request for at, request in crashes
                       if at > third + TOUCH_S})
    text = (f"{note}; {len(crashes)} crashes; {len(late)} retries reached "
            f"servers later than {TOUCH_S} s after the third crash")
    callers.record.note(text)
    print(text)
    return d.BROKEN if len(late) > MOST_RETRIES else d.HELD
