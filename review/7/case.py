"""A machine is added while the seeds in its settings are stale.

The new gateway reaches none of its seeds, so it knows no other one and owns
the usage cap of each tenant, as the owner among the others does.
"""

import asyncio
import bisect
import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import lab as labs  # noqa: E402
import wire  # noqa: E402

FLEET = 7  # As many as at the Montevideo office; the eighth is added.
REMOVED = 3  # The seeds of the settings.
SEED_LAG_S = 3.0  # bounds.seed-lag-s
RATE, BURST = 20, 10
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
ASKED_PER_S = 60  # By all callers of the tenant: three times its cap.
LOAD_S = 20.0
KEY = "key-of-choir"


def make_config():
    """A route for requests to one server, and a tenant with a usage cap."""
    return {
        "version": 1, "routes": [{
            "name": "archive", "host": labs.HOST_NAME,
            "path-prefix": "/archive/", "type": "idempotent",
            "service": "tape-archive", "max-attempts": 2,
            "timeout-ms": 2000, "slo-ms": 800, "priority": 2}],
        "services": [{"name": "tape-archive", "health-path": "/health",
                      "max-conns": 96}],
        "tenants": [{"name": "choir", "api-keys": [KEY],
                     "rate-per-s": RATE, "burst": BURST}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 5000, "idle-timeout-ms": 30000}}


async def resolve(gateway):
    """Ask a gateway which addresses to use."""
    _, _, body = await labs.exchange(gateway.directory, wire.make_request(
        "GET", f"/resolve?name={labs.HOST_NAME}&region=kigali"
        f"&zone={gateway.zone}", {"host": labs.HOST_NAME}))
    return json.loads(body)["addrs"]


class Caller:
    """Asks one directory where to connect, and sends requests there."""

    def __init__(self, lab, name, gateway, per_s):
        self.lab = lab
        self.name = name
        self.gateway = gateway  # The directory that is nearest to it.
        self.per_s = per_s
        self.addresses = []
        self.statuses = {}
        self.sent = {}  # Request id: time.

    async def run(self):
        """Send requests at a steady rate."""
        begun = time.monotonic()
        tasks = []
        number = 0
        while time.monotonic() < begun + LOAD_S:
            if number % self.per_s == 0:  # The answer is kept for a second.
                self.addresses = await resolve(self.gateway)
                self.lab.record.note(f"{self.name} uses {self.addresses}")
            tasks.append(asyncio.create_task(self.ask(number)))
            number += 1
            await asyncio.sleep(
                max(0, begun + number / self.per_s - time.monotonic()))
        await asyncio.gather(*tasks)

    async def ask(self, number):
        """Send one request on a new connection."""
        request = f"{self.name}-{number:05d}"
        address = self.lab.rng.choice(self.addresses)
        self.sent[request] = time.monotonic()
        self.lab.record.note(f"sent {request} to {address}")
        try:
            line, _, _ = await asyncio.wait_for(labs.exchange(
                address, wire.make_request("GET", "/archive/tape", {
                    "host": labs.HOST_NAME, wire.REQUEST_ID: request,
                    "api-key": KEY, wire.REMAINING_MS: 1500})), 3)
            status = line.split(" ")[1]
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            status = "broken"
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.lab.record.note(f"answered {request} {status}")


def most_in_window(times):
    """Largest number of times within WINDOW_S, and its begin."""
    times = sorted(times)
    return max(((bisect.bisect_left(times, at + WINDOW_S) - i, at)
                for i, at in enumerate(times)), default=(0, 0.0))


async def play(lab):
    """Replace three of seven machines, then load one tenant."""
    for i in range(6):
        await lab.add_server(labs.Server(
            lab, f"i-{i}", "tape-archive", labs.ZONES[i % 3], slots=12))
    lab.publish(make_config())
    fleet, added = lab.gateways[:FLEET], lab.gateways[FLEET]
    seeds = [gateway.control for gateway in fleet[:REMOVED]]
    for gateway in fleet:
        gateway.write_settings(seeds, True)
        gateway.start()
    await lab.wait_ready(fleet)
    await asyncio.sleep(8)  # Traffic starts later than the machines.
    staying = fleet[REMOVED:]
    live_seeds = [gateway.control for gateway in staying[:3]]
    if labs.trouble():
        # The machines that the settings name as seeds are lost for good.
        for gateway in fleet[:REMOVED]:
            gateway.signal(signal.SIGKILL)
    else:
        staying = fleet
    # The machine that is added gets its settings within the seeds' lag.
    added.write_settings(seeds, False)
    added.start()
    await asyncio.sleep(SEED_LAG_S)
    for gateway in staying + [added]:
        gateway.write_settings(live_seeds, False)
        gateway.signal(signal.SIGHUP)
    await lab.wait_ready(staying + [added])
    await asyncio.sleep(10)  # Longer than stable-window-ms and catchup-s.
    callers = [Caller(lab, "old", staying[0], ASKED_PER_S // 2),
               Caller(lab, "new", added, ASKED_PER_S // 2)]
    await asyncio.gather(*[caller.run() for caller in callers])
    times = [at for server in lab.servers for at, _, _ in server.runs]
    most, since = most_in_window(times)
    for caller in callers:
        runs = sum(1 for server in lab.servers for _, request, _ in server.runs
                   if request.startswith(caller.name + "-"))
        lab.record.say(f"callers of the {caller.name} machines: sent "
                       f"{len(caller.sent)}, run {runs}, answers "
                       f"{caller.statuses}, addresses {caller.addresses}")
    lab.record.say(f"most in {WINDOW_S:g} s: {most} from "
                   f"{since - lab.record.begun:.1f} s on, allowed "
                   f"{ALLOWED:g}")
    return labs.BROKEN if most > ALLOWED else labs.HELD


if __name__ == "__main__":
    labs.run_case(FOLDER, FLEET + 1, play)
