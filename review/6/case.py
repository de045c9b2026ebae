"""Servers that fail part of their orders with a 503 that says nothing of
"not executed", although they have run them."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import lab as labs  # noqa: E402
import wire  # noqa: E402

GATEWAYS = 2
SERVERS = 6
GREY_SERVERS = 1  # A share of 0.17; the site files go up to 0.196 and 0.8.
GREY_SHARE = 0.4  # Of its requests; the site files go up to 0.6.
LOAD_S = 30.0
ORDERS_PER_S = 30
TIME_LIMIT_MS = 2000
RETRIES = 1
PROMISES = ("408", "421", "429", "503")  # Not run, and never will be.


class OrderDesk(labs.Server):
    """Books each order that it begins to run. When it is grey, its health
    stays good, and a share of the orders then fails."""

    grey = False

    async def answer(self, message):
        _, fields, body = message
        ran = len(self.runs)
        text = await super().answer(message)
        if len(self.runs) == ran:
            return text  # It was rejected.
        self.lab.booked.setdefault(body.decode(), []).append(
            fields[wire.REQUEST_ID])
        if self.grey and self.lab.rng.random() < GREY_SHARE:
            self.lab.record.note(f"fail {fields[wire.REQUEST_ID]} at "
                                 f"{self.name} with 503, after it has run")
            return wire.make_response(503, {
                wire.PROOF: f"{self.name}.{len(self.runs)}",
                wire.REQUEST_ID: fields[wire.REQUEST_ID]},
                b"the ledger is unavailable\n")
        return text


def make_config():
    """A route for orders, which run at most once."""
    return {
        "version": 1, "routes": [{
            "name": "orders", "host": labs.HOST_NAME,
            "path-prefix": "/orders/", "type": "non_idempotent",
            "service": "order-desk", "max-attempts": 2,
            "timeout-ms": TIME_LIMIT_MS, "slo-ms": 200, "priority": 1}],
        "services": [{"name": "order-desk", "health-path": "/health",
                      "max-conns": 25}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 5000, "idle-timeout-ms": 30000}}


async def order(lab, number, answers):
    """Send one order; repeat it only after a promise, as the pages say."""
    end = time.monotonic() + TIME_LIMIT_MS / 1000
    for attempt in range(1 + RETRIES):
        left = end - time.monotonic()
        if left <= 0:
            return
        request = f"o-{number:05d}-{attempt}"
        gateway = lab.rng.choice(lab.gateways)
        lab.record.note(f"sent {request} to {gateway.front}")
        try:
            line, fields, _ = await asyncio.wait_for(labs.exchange(
                gateway.front, wire.make_request("POST", "/orders/new", {
                    "host": labs.HOST_NAME, wire.REQUEST_ID: request,
                    wire.REMAINING_MS: int(left * 1000)},
                    f"order {number}".encode())), left + 1)
            status = line.split(" ")[1]
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            fields, status = {}, "broken"
        answers[request] = status
        lab.record.note(f"answered {request} {status} stamp "
                        f"{fields.get(wire.PROOF, 'none')}")
        if status not in PROMISES:
            return
        await asyncio.sleep(min(float(fields.get(wire.RETRY_AFTER, 0)),
                                max(end - time.monotonic(), 0) / 3))


async def play(lab):
    """Orders at a steady rate while a server is grey."""
    lab.booked = {}  # Order: ids of the attempts that ran.
    for i in range(SERVERS):
        await lab.add_server(OrderDesk(
            lab, f"i-{i}", "order-desk", labs.ZONES[i % 3], slots=2,
            work_s=0.15))
    lab.publish(make_config())
    seeds = [gateway.control for gateway in lab.gateways]
    for gateway in lab.gateways:
        gateway.write_settings(seeds, True)
        gateway.start()
    await lab.wait_ready(lab.gateways)
    await asyncio.sleep(7)
    if labs.trouble():
        zone = lab.gateways[0].zone  # Most requests stay in their zone.
        for server in [server for server in lab.servers
                       if server.zone == zone][:GREY_SERVERS]:
            server.grey = True
            lab.record.note(f"{server.name} is grey")
    answers = {}
    begun = time.monotonic()
    tasks = []
    while time.monotonic() < begun + LOAD_S:
        tasks.append(asyncio.create_task(order(lab, len(tasks), answers)))
        await asyncio.sleep(max(
            0, begun + len(tasks) / ORDERS_PER_S - time.monotonic()))
    await asyncio.gather(*tasks)
    ran = {run[1] for server in lab.servers for run in server.runs}
    statuses = {}
    for status in answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    false = [request for request, status in answers.items()
             if status in PROMISES and request in ran]
    twice = [name for name, runs in lab.booked.items() if len(runs) > 1]
    lab.record.say(f"{len(tasks)} orders, {len(answers)} attempts, "
                   f"answers {statuses}")
    lab.record.say(f"{len(false)} attempts were answered with a promise not "
                   f"to have run, and had run: {false[:5]}")
    lab.record.say(f"{len(twice)} orders were booked twice, since their "
                   f"callers trusted it: {twice[:5]}")
    if statuses.get("200", 0) * 2 < len(tasks):
        raise labs.CannotRun("most orders were not served")
    return labs.BROKEN if false else labs.HELD


if __name__ == "__main__":
    labs.run_case(FOLDER, GATEWAYS, play)
