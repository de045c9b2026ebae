"""Cases of the bench: load, faults and checks of the results."""

import signal
import threading
import time
from dataclasses import dataclass, field
from typing import Callable

from sides import (CAPACITY_PER_S, FIRST_VERSION, SERVICES, DaemonSide,
                   testbed)

HALF_LOAD = {"search": CAPACITY_PER_S / 2}
QUARTER_LOAD = {"search": CAPACITY_PER_S / 4}
EIGHTH_LOAD = {"search": CAPACITY_PER_S / 8}
WARM_UP_MS = 1000  # Skipped by checks of the steady state.
FAULT_MS = 2000


@dataclass
class Case:
    """One case; judge returns (text, whether it held) pairs."""

    name: str
    title: str
    judge: Callable
    routes: dict = field(default_factory=lambda: HALF_LOAD)
    seconds: float = 6.0
    prepare: Callable = lambda side: None
    steps: Callable = lambda side: []  # [(at_s, action)]
    plain: bool = True


def run_steps(steps, begin):
    """Run (at_s, action) steps at their times, in a new thread."""
    def run():
        for at_s, action in sorted(steps, key=lambda step: step[0]):
            time.sleep(max(0.0, begin + at_s - time.monotonic()))
            action()
    thread = threading.Thread(target=run)
    thread.start()
    return thread


def servers_of(side, letter=None):
    """Names of the order-desk servers, all or those of a replica letter."""
    return [server["name"] for spec in side.specs[:SERVICES]
            for server in spec["servers"]
            if letter in (None, server["name"][-1])]


# Faults


def make_stragglers(side):
    """Make one of ten servers ten times as slow."""
    for name in servers_of(side, "a")[::5]:
        side.farm.behave(server=name, set={"factor": 10})


def lose_replicas(side):
    """Take down one replica of each service."""
    def action():
        for name in servers_of(side, "b"):
            side.farm.behave(server=name, down=True)
    return [(FAULT_MS / 1000, action)]


def silence_half(side):
    """Make half of the open connections stop answering without a close."""
    return [(FAULT_MS / 1000, lambda: side.farm.behave(silence=0.5))]


def refuse_work(side, lies):
    """Four servers refuse all work.

    With lies, these report good health and low load, and all "a" replicas the
    opposite.
    """
    broken = servers_of(side, "b")[::5]
    for name in broken:
        side.farm.behave(server=name, set={
            "shed": True, **({"lie_ready": 1, "lie_load": 0} if lies else {})})
    if lies:
        for name in servers_of(side, "a"):
            side.farm.behave(server=name, set={"lie_ready": 0, "lie_load": 1})


def drain_all(side):
    """Drain each server for 2.4 s, starting one every 0.2 s."""
    steps = []
    for i, name in enumerate(servers_of(side, "a") + servers_of(side, "b")):
        begin = 1 + 0.2 * i
        steps.append((begin, lambda n=name: side.farm.behave(
            server=n, set={"draining": True})))
        steps.append((begin + 2.4, lambda n=name: side.farm.behave(
            server=n, set={"draining": False})))
    return steps


def change_versions(side):
    """Publish a new index version with another shard map each second."""
    def action(turn):
        new = FIRST_VERSION + turn
        side.farm.behave(set={"versions": [new - 1, new]})
        side.apply(side.objects([new - 1, new]))
    return [(1.0 + turn, lambda t=turn: action(t)) for turn in range(1, 8)]


def replace_daemons(side):
    """Replace all daemons by graceful stops, then three by SIGKILL at once."""
    def stop(daemon):
        daemon.process.signal(signal.SIGTERM)
        try:
            daemon.process.wait(15)
        finally:
            side.replace(daemon)
        testbed.wait_for("a new daemon", daemon.is_ready)

    def kill_three():
        for daemon in side.daemons[:3]:
            daemon.process.signal(signal.SIGKILL)
        for daemon in side.daemons[:3]:
            side.replace(daemon)

    def replace_all():
        for daemon in side.daemons:
            stop(daemon)
        kill_three()
        side.wait_ready()
    return [(1.0, replace_all)]


def kill_one(side):
    """Kill one daemon and restart it."""
    if not isinstance(side, DaemonSide):
        return []
    def action():
        side.daemons[1].process.signal(signal.SIGKILL)
        side.replace(side.daemons[1])
    return [(FAULT_MS / 1000, action)]


def store_outage(side):
    """The platform's store hangs for 4 s."""
    if not isinstance(side, DaemonSide):
        return []
    platform = side.bed.platform
    return [(1.0, lambda: platform.fault(outage="hang")),
            (5.0, lambda: platform.fault(clear=True))]


def crash_requests(side):
    """Send a request that crashes servers 50 times, to all daemons in turn."""
    if not isinstance(side, DaemonSide):
        return []
    def action():
        side.farm.behave(service="label-print-00", set={"crash_ms": 200})
        for i in range(50):
            daemon = side.daemons[i % len(side.daemons)]
            try:
                testbed.call(daemon.caller, "POST", "/v1/query/print",
                             "CRASH-ME", {"Caller": "crasher"}, timeout=3)
            except OSError:
                pass
    return [(0.5, action)]


# Checks: "ours" are figures of the daemons, "plain" of the plain tier


def base_checks(ours):
    """Checks of every case."""
    over_cap = ours.server_sum("over_cap")
    return [
        (f"answers that contradict their labels: {ours.contradicting()}",
         ours.contradicting() == 0),
        (f"over the deadline without a label: {ours.unlabelled()}",
         ours.unlabelled() == 0),
        (f"connections over a cap: {over_cap}, highest share "
         f"{ours.cap_share():.2f}", over_cap == 0)]


def judge_steady(ours, plain):
    """Checks without a fault."""
    p99 = ours.p(0.99, from_ms=WARM_UP_MS)
    base = plain.p(0.99, from_ms=WARM_UP_MS)
    extra = ours.extra_load(SERVICES)
    return [(f"p99 {p99:.1f} ms, plain {base:.1f} ms", p99 <= base),
            (f"extra load {extra:.2%}, at most 2%", extra <= 0.02)]


def judge_straggler(ours, plain):
    """Checks with one straggler in ten servers."""
    p99 = ours.p(0.99, from_ms=WARM_UP_MS)
    base = plain.p(0.99, from_ms=WARM_UP_MS)
    extra = ours.extra_load(SERVICES)
    return [(f"p99 {p99:.1f} ms, half of plain's is {base / 2:.1f} ms",
             p99 <= base / 2),
            (f"extra load {extra:.2%}, at most 5%", extra <= 0.05)]


def judge_lost(ours, plain):
    """Checks after the loss of replicas."""
    after = FAULT_MS + 2000
    ours_after = ours.coverage(from_ms=after)
    return [(f"coverage 2 s after the loss {ours_after:.5f}, plain "
             f"{plain.coverage(from_ms=after):.5f}", ours_after == 1.0)]


def judge_overload(ours, plain):
    """Checks under an offered load of twice the capacity."""
    goodput, median = ours.goodput(), ours.refusal_median()
    share = goodput / CAPACITY_PER_S
    first = ours.complete_share(route="search", from_ms=WARM_UP_MS)
    return [(f"goodput {goodput:.0f}/s, {share:.0%} of capacity, plain "
             f"{plain.goodput():.0f}/s; at least 90%", share >= 0.9),
            (f"median of {ours.refused()} refusals {median:.1f} ms, under 5",
             median < 5),
            (f"interactive answered whole {first:.4f}, p99 "
             f"{ours.p(0.99, route='search', from_ms=WARM_UP_MS):.1f} ms",
             first >= 0.99)]


def judge_truthful(ours, plain):
    """Reports with true health reports; judge_lies compares with its p99."""
    return [(f"p99 {ours.p(0.99, from_ms=WARM_UP_MS):.1f} ms, plain "
             f"{plain.p(0.99, from_ms=WARM_UP_MS):.1f} ms", True)]


def judge_lies(ours, plain, truthful):
    """Checks with false health reports, against correct ones."""
    p99, limit = ours.p(0.99, from_ms=WARM_UP_MS), 1.3 * truthful.p(
        0.99, from_ms=WARM_UP_MS)
    return [(f"p99 {p99:.1f} ms, limit {limit:.1f} ms, plain "
             f"{plain.p(0.99, from_ms=WARM_UP_MS):.1f} ms", p99 <= limit)]


def judge_silent(ours, plain):
    """Checks with silent connections."""
    before = ours.p(0.99, from_ms=WARM_UP_MS, to_ms=FAULT_MS)
    after = ours.p(0.99, from_ms=FAULT_MS + 1000)
    return [(f"p99 before {before:.1f} ms, from 1 s after {after:.1f} ms, "
             f"plain {plain.p(0.99, from_ms=FAULT_MS + 1000):.1f} ms",
             after <= 1.5 * before)]


def judge_crash(ours, _):
    """Checks with requests that crash servers."""
    crashes = ours.server_sum("crashes")
    return [(f"server crashes {crashes}, at most 3", crashes <= 3)]


def judge_drain(ours, plain):
    """Checks while servers drain."""
    late, share = ours.server_sum("after_drain"), ours.complete_share()
    return [(f"requests on a server 2 s after it began to leave: {late}, "
             f"plain {plain.server_sum('after_drain')}", late == 0),
            (f"answered whole {share:.5f}, plain "
             f"{plain.complete_share():.5f}", share == 1.0)]


def judge_reported(ours, plain):
    """Reports figures without a limit."""
    text = (f"p50 {ours.p(0.5):.1f} ms, p99 {ours.p(0.99):.1f} ms, coverage "
            f"{ours.coverage():.5f}, whole {ours.complete_share():.5f}")
    if plain.requests:
        text += (f"; plain p99 {plain.p(0.99):.1f} ms, coverage "
                 f"{plain.coverage():.5f}")
    return [(text, True)]


def combine_steps(*faults):
    """Steps of several faults, together."""
    return lambda side: [step for fault in faults for step in fault(side)]


CASES = [
    Case("steady", "no fault, half of the slots busy", judge_steady),
    Case("straggler", "one straggler (10x) in ten servers", judge_straggler,
         routes=QUARTER_LOAD, prepare=make_stragglers),
    Case("replica-lost", "a replica of every service lost", judge_lost,
         routes=QUARTER_LOAD, steps=lose_replicas, seconds=7),
    Case("overload", "offered load twice the capacity", judge_overload,
         routes={"search": CAPACITY_PER_S / 2,
                 "archive": CAPACITY_PER_S * 1.5}),
    Case("health-true", "four servers refuse work, health says so",
         judge_truthful, routes=QUARTER_LOAD,
         prepare=lambda side: refuse_work(side, False)),
    Case("health-lies", "the same, and health and load lie", judge_lies,
         routes=QUARTER_LOAD, prepare=lambda side: refuse_work(side, True)),
    Case("silent", "half of the open connections go silent", judge_silent,
         routes=QUARTER_LOAD, steps=silence_half, seconds=7),
    Case("crash", "a request that crashes servers, sent 50 times",
         judge_crash, routes=EIGHTH_LOAD, steps=crash_requests, plain=False),
    Case("drain", "all servers drain, one after another", judge_drain,
         routes=EIGHTH_LOAD, steps=drain_all, seconds=13),
    Case("versions", "new index version and shard map each second",
         judge_reported, routes=QUARTER_LOAD, steps=change_versions,
         seconds=10, plain=False),
    Case("replace", "all daemons replaced, then three at once",
         judge_reported, routes=EIGHTH_LOAD, steps=replace_daemons, seconds=30,
         plain=False),
    Case("straggler+silent", "stragglers and silent connections",
         judge_reported, routes=QUARTER_LOAD, prepare=make_stragglers,
         steps=silence_half),
    Case("lost+kill", "replicas lost and a daemon killed", judge_reported,
         routes=QUARTER_LOAD, steps=combine_steps(lose_replicas, kill_one)),
    Case("lost+outage", "replicas lost during a store outage", judge_lost,
         routes=QUARTER_LOAD, seconds=7,
         steps=combine_steps(lose_replicas, store_outage)),
    Case("silent+outage", "silent connections during a store outage",
         judge_reported, routes=QUARTER_LOAD,
         steps=combine_steps(silence_half, store_outage)),
    Case("straggler+overload", "stragglers under twice the capacity",
         judge_reported, prepare=make_stragglers,
         routes={"search": CAPACITY_PER_S / 2,
                 "archive": CAPACITY_PER_S * 1.5}),
]
