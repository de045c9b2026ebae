"""Measures CPU time and memory of daemons for docs/CAPACITY.md.

Runs real daemons on loopback and prints JSON lines: an idle daemon by number
of backend servers in its configuration, and a daemon under load by queries per
second.
"""

import argparse
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tools"))

# pylint: disable=wrong-import-position
import shapes  # noqa: E402
from testbed import Testbed, call, wait_for  # noqa: E402

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SETTLE_S = 4
WINDOW_S = 8
SERVER_COUNTS = (40, 160, 640)
QUERY_RATES = (50, 150, 300)
SHARDS = 20


def cpu_seconds(process):
    """CPU time of a process in seconds."""
    with open(f"/proc/{process.child.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(process):
    """Resident memory of a process in bytes."""
    with open(f"/proc/{process.child.pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def counters(daemon):
    """Samples of a daemon's metrics by name."""
    _, _, text = call(daemon.operator, "GET", "/metrics")
    lines = [line.rsplit(" ", 1) for line in text.splitlines()
             if line and not line.startswith("#")]
    return {name: float(value) for name, value in lines}


def configure(bed, specs, farm, daemons):
    """Publish all services and an index over the first SHARDS ones."""
    addresses = shapes.addresses_of(farm)
    names = [spec["name"] for spec in specs[:SHARDS]]
    objects = [shapes.service_object(spec, addresses) for spec in specs] + [
        shapes.index_object("orders", names),
        shapes.query_route("search", "orders"),
        shapes.limits_object(), shapes.fleet_object(max_daemons=8)]
    path = bed.write("capacity.json", shapes.change(objects))
    bed.cli("apply", path, "--operator", daemons[0].operator,
            "--change-id", "capacity", "--wait")
    wait_for("ready daemons", lambda: all(d.is_ready() for d in daemons))
    return os.path.getsize(path)


def measure_idle(count):
    """Measure an idle daemon with this number of backend servers."""
    with Testbed(BUILD) as bed:
        bed.start_platform()
        specs = shapes.services("order-desk", count // 2)
        farm = bed.start_farm("servers", specs)
        daemons = bed.add_daemons(2)
        for daemon in daemons:
            bed.start_daemon(daemon)
        wait_for("operators' interfaces", lambda: all(
            daemon.operator_answers() for daemon in daemons))
        empty = resident_bytes(daemons[0].process)
        config_bytes = configure(bed, specs, farm, daemons)
        time.sleep(SETTLE_S)
        begin = cpu_seconds(daemons[0].process)
        time.sleep(WINDOW_S)
        used = cpu_seconds(daemons[0].process) - begin
        return {"servers": count, "config_bytes": config_bytes,
                "idle_core_percent": 100 * used / WINDOW_S,
                "empty_mb": empty / 1e6,
                "resident_mb": resident_bytes(daemons[0].process) / 1e6}


def measure_load(rate):
    """Measure one daemon under load, in queries per second."""
    with Testbed(BUILD) as bed:
        bed.start_platform()
        specs = shapes.services("order-desk", SHARDS, slots=6,
                                connections=100, connect_cost_ms=1,
                                mean_ms=1.0)
        farm = bed.start_farm("servers", specs)
        daemons = bed.add_daemons(1)
        bed.start_daemon(daemons[0])
        wait_for("operators' interface", daemons[0].operator_answers)
        configure(bed, specs, farm, daemons)
        load = bed.start_load(
            "load", bed.callers_addresses(), "--query", f"search={rate}",
            "--duration-ms", int((SETTLE_S + WINDOW_S) * 1000))
        time.sleep(SETTLE_S)
        before, begin = counters(daemons[0]), cpu_seconds(daemons[0].process)
        time.sleep(WINDOW_S - 1)
        after, end = counters(daemons[0]), cpu_seconds(daemons[0].process)
        summary = bed.finish_load(load)
        name = "camphorfield_subs_primary_total"
        subs = after[name] - before[name]
        return {"queries_per_s": rate, "subs": subs,
                "core_us_per_sub": 1e6 * (end - begin) / max(subs, 1),
                "resident_mb": resident_bytes(daemons[0].process) / 1e6,
                "p99_ms": summary["routes"][0]["ms"]["p99"]}


def main():
    """Print both measurements as JSON lines."""
    for count in SERVER_COUNTS:
        print(json.dumps(measure_idle(count)), flush=True)
    for rate in QUERY_RATES:
        print(json.dumps(measure_load(rate)), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    BUILD = parser.parse_args().build
    main()
