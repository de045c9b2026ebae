"""A request that crashes servers is let through again after kills."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))

import crashing  # noqa: E402
import deployment as d  # noqa: E402


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
    try:
        await crashing.start(site)
        callers = d.Callers(site)
        load = asyncio.create_task(callers.load(
            30, 80, lambda: ("usual", "POST", "/store/tape", b"x", 2000)))
        reached = []  # Number of crashes in each phase.
        for phase in range(3):
            if phase > 0 and d.TROUBLE:
                await kill_all(site, record)
            # Also after a kill, the first retry comes when all gateways are
            # in touch again.
            reached.append(await crashing.send_again(callers, 5))
        await load
        await callers.finish()
        return crashing.judge(callers, f"crashes in three phases: {reached}")
    finally:
        site.end()


d.run(case, os.path.dirname(os.path.abspath(__file__)))
