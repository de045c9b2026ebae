"""A desired state moves a route's traffic from one service to another."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import lab as labs  # noqa: E402
import wire  # noqa: E402

GATEWAYS = 2
CONFIG_APPLY_S = 3.0  # bounds.config-apply-ms
STABLE_WINDOW_S = 4.0  # bounds.stable-window-ms
JUDGED = 400  # Requests; the rule asks for 200 or more.
REQUESTS_PER_S = 40
MOST_OFF = 0.2
OLD, NEW = "label-print", "label-print-next"
BEFORE = {OLD: 900, NEW: 100}  # Per mille.
AFTER = {OLD: 0.1, NEW: 0.9}  # Shares.


def make_config(version, weights):
    """One route that is split between two services."""
    return {
        "version": version, "routes": [{
            "name": "labels", "host": labs.HOST_NAME,
            "path-prefix": "/labels/", "type": "idempotent",
            "traffic-split": [{"service": name, "weight": weight}
                              for name, weight in weights.items()],
            "max-attempts": 2, "timeout-ms": 2000, "slo-ms": 200,
            "priority": 1}],
        "services": [{"name": name, "health-path": "/health",
                      "max-conns": 25} for name in (OLD, NEW)],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 5000, "idle-timeout-ms": 30000}}


async def ask(lab, gateway, request):
    """Send a request; returns the service that ran it, or the status."""
    lab.record.note(f"sent {request} to {gateway.front}")
    try:
        line, fields, _ = await asyncio.wait_for(labs.exchange(
            gateway.front, wire.make_request("GET", "/labels/1", {
                "host": labs.HOST_NAME, wire.REQUEST_ID: request,
                wire.REMAINING_MS: 2000})), 3)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return "broken"
    server = fields.get(wire.PROOF, "").split(".")[0]
    ran = {known.name: known.service for known in lab.servers}
    outcome = ran.get(server, line.split(" ")[1])
    lab.record.note(f"answered {request} by {outcome}")
    return outcome


async def load(lab, phase, count):
    """Send requests in turn to all gateways; returns outcomes by gateway."""
    begun = time.monotonic()
    tasks = []
    for i in range(count):
        tasks.append(asyncio.create_task(ask(
            lab, lab.gateways[i % GATEWAYS], f"{phase}-{i:04d}")))
        await asyncio.sleep(max(
            0, begun + (i + 1) / REQUESTS_PER_S - time.monotonic()))
    outcomes = await asyncio.gather(*tasks)
    for number, gateway in enumerate(lab.gateways):
        mine = outcomes[number::GATEWAYS]
        lab.record.say(f"{phase}: {gateway.name} " + str(
            {outcome: mine.count(outcome) for outcome in sorted(set(mine))}))
    return outcomes


async def play(lab):
    """Requests before and after the change of the weights."""
    for i in range(4):
        await lab.add_server(labs.Server(
            lab, f"i-{i}", (OLD, NEW)[i % 2], labs.ZONES[i // 2 + 1]))
    lab.publish(make_config(1, BEFORE))
    seeds = [gateway.control for gateway in lab.gateways]
    for gateway in lab.gateways:
        gateway.write_settings(seeds, True)
        gateway.start()
    await lab.wait_ready(lab.gateways)
    await asyncio.sleep(7)
    # A whole number of rounds of ten; then a quiet spell begins after the
    # request of a round that the new service gets.
    await load(lab, "before", 20 * GATEWAYS)
    for gateway in lab.gateways:
        for i in range(20):
            if await ask(lab, gateway, f"last-{gateway.name}-{i}") == NEW:
                break
    weights = BEFORE
    if labs.trouble():
        weights = AFTER
        lab.publish(make_config(2, weights))
    await asyncio.sleep(CONFIG_APPLY_S + STABLE_WINDOW_S)
    outcomes = await load(lab, "after", JUDGED)
    share = outcomes.count(NEW) / len(outcomes)
    due = weights[NEW] / sum(weights.values())
    lab.record.say(f"the new service got {share:.2f} of {JUDGED} requests, "
                   f"its weight's share is {due:.2f}")
    return labs.BROKEN if abs(share - due) > MOST_OFF else labs.HELD


if __name__ == "__main__":
    labs.run_case(FOLDER, GATEWAYS, play)
