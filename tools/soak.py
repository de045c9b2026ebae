"""Soak of orders over real processes under seeded random faults.

Daemons are killed and paused, the store fails, replies get lost and servers
fail while callers send orders, with plain keys and with tokens. Then every
caller's outcome is compared with the servers' ground truth. Exits with 1 for a
double run or a false "not run".
"""

import argparse
import random
import signal
import sys
import threading
import time

import shapes
import verdict
from testbed import Testbed, TestbedError, wait_for

DAEMONS = 6
ORDERS_PER_S = 60
BASELINE_MS = 5000
BASELINE_PER_S = 100
SETTLE_S = 4


class Soak:
    """Processes and faults of one soak."""

    def __init__(self, bed, seed):
        self.bed = bed
        self.rng = random.Random(seed)
        self.seed = seed
        self.farm = None
        self.daemons = []
        self.is_over = threading.Event()
        self.fault_counts = {}
        self.loads = 0

    def start(self):
        """Start all processes and publish the configuration."""
        self.bed.start_platform("--writes-per-s", 500, "--reads-per-s", 2000,
                                "--seed", self.seed)
        specs = shapes.services("dispatch-board", 1, servers=6, slots=6,
                                connections=100, connect_cost_ms=1)
        self.farm = self.bed.start_farm("servers", specs, self.seed)
        self.daemons = self.bed.add_daemons(DAEMONS)
        for daemon in self.daemons:
            self.bed.start_daemon(daemon)
        wait_for("operators' interfaces", lambda: all(
            daemon.operator_answers() for daemon in self.daemons))
        addresses = shapes.addresses_of(self.farm)
        path = self.bed.write("change.json", shapes.change(
            [shapes.service_object(spec, addresses) for spec in specs] + [
                shapes.order_route("reorder", specs[0]["name"],
                                   deadline_ms=2000),
                shapes.limits_object(), shapes.fleet_object(12)]))
        self.bed.cli("apply", path, "--operator", self.daemons[0].operator,
                     "--change-id", "soak-1", "--wait")
        wait_for("daemons ready", lambda: all(
            daemon.is_ready() for daemon in self.daemons))

    # Faults

    def kill(self):
        """Kill a daemon and restart it without its state."""
        daemon = self.rng.choice(self.daemons)
        if not daemon.process.is_running():
            return
        daemon.process.signal(signal.SIGKILL)
        daemon.process.wait()
        self.pause(0.2, 1.5)
        self.bed.start_daemon(daemon)

    def freeze(self):
        """Pause a daemon, at times beyond any lease, and resume it."""
        daemon = self.rng.choice(self.daemons)
        daemon.process.signal(signal.SIGSTOP)
        self.pause(0.3, 6.0)
        daemon.process.signal(signal.SIGCONT)

    def stop(self):
        """Stop a daemon gracefully and start its replacement."""
        daemon = self.rng.choice(self.daemons)
        daemon.process.signal(signal.SIGTERM)
        try:
            daemon.process.wait(15)
        finally:
            daemon.process.end()
        self.bed.start_daemon(daemon)

    def outage(self):
        """The store is unavailable for a while."""
        self.platform_fault(
            outage=self.rng.choice(["error", "drop", "hang"]))

    def lost_replies(self):
        """Some writes take effect but their replies are lost."""
        self.platform_fault(lost_reply_share=0.3)

    def slow_store(self):
        """The store delays calls before or after they take effect."""
        self.platform_fault(**{
            self.rng.choice(["slow_ms", "late_ms"]): 700})

    def stale_reads(self):
        """Reads return stale data, as from a copy that lags by 2 s."""
        self.platform_fault(stale_ms=2000)

    def lost_answers(self):
        """Servers lose, truncate, duplicate, corrupt or fail some answers."""
        field = self.rng.choice(
            ["lose_answer_share", "truncate_share", "duplicate_share",
             "corrupt_share", "fail_share"])
        self.farm.behave(set={field: 0.2})
        self.pause(1.0, 2.0)
        self.farm.behave(set={field: 0})

    def crash_server(self):
        """Crash a server, including the orders that it runs."""
        server = self.rng.choice(self.farm.servers)["name"]
        self.farm.behave(server=server, crash=True)

    def shed(self):
        """A server sheds load or drains for a while."""
        server = self.rng.choice(self.farm.servers)["name"]
        field = self.rng.choice(["shed", "draining"])
        self.farm.behave(server=server, set={field: True})
        self.pause(0.5, 2.0)
        self.farm.behave(server=server, set={field: False})

    def silence(self):
        """Some open connections to servers stop answering without a close."""
        self.farm.behave(silence=0.3)

    def platform_fault(self, **fields):
        """Set a fault of the platform for a while."""
        self.bed.platform.fault(**fields)
        self.pause(0.5, 4.0)
        self.bed.platform.fault(clear=True)

    def pause(self, low, high):
        """Wait for a random time, in seconds."""
        time.sleep(self.rng.uniform(low, high))

    def inject_faults(self):
        """Inject random faults, one after another, until the load ends."""
        kinds = [self.kill, self.freeze, self.stop, self.outage,
                 self.lost_replies, self.slow_store, self.stale_reads,
                 self.lost_answers, self.crash_server, self.shed,
                 self.silence]
        while not self.is_over.is_set():
            fault = self.rng.choice(kinds)
            name = fault.__name__
            self.fault_counts[name] = self.fault_counts.get(name, 0) + 1
            fault()
            self.pause(0.2, 1.0)

    # Load

    def start_orders(self, label, per_s, duration_ms, *flags):
        """Start an open-loop load of orders."""
        # Keys are scoped to callers: with equal seeds both loads would send
        # separate orders under the same keys.
        self.loads += 1
        return self.bed.start_load(
            label, self.bed.callers_addresses(), "--order",
            f"reorder={per_s}", "--caller", label, "--callers", 6,
            "--duration-ms", duration_ms, "--timeout-ms", 2000,
            "--order-total-ms", 20000,
            "--seed", 1000 * self.seed + self.loads, *flags)

    def measure_baseline(self, label, *flags):
        """Print latency and platform writes per order without faults."""
        before = count_writes(self.bed.platform.counts())
        summary = self.bed.finish_load(
            self.start_orders(label, BASELINE_PER_S, BASELINE_MS, *flags))
        writes = count_writes(self.bed.platform.counts()) - before
        route = summary["routes"][0]
        print(f"no faults, {label}: {route['sent']} orders at "
              f"{BASELINE_PER_S}/s, "
              f"p50 {route['ms']['p50']:.1f} ms, p99 "
              f"{route['ms']['p99']:.1f} ms, told {route['told']}, "
              f"{writes / max(1, route['sent']):.3f} platform writes "
              "per order")

    def load_with_faults(self, orders):
        """Run load under faults; returns (loads, summaries, requests)."""
        duration_ms = int(orders / ORDERS_PER_S * 1000)
        loads = [
            self.start_orders("keys", ORDERS_PER_S / 2, duration_ms),
            self.start_orders("tokens", ORDERS_PER_S / 2, duration_ms,
                              "--tokens")]
        thread = threading.Thread(target=self.inject_faults)
        thread.start()
        summaries = [self.bed.finish_load(load, 300) for load in loads]
        self.is_over.set()
        thread.join()
        time.sleep(SETTLE_S)
        requests = [self.bed.read_requests(load) for load in loads]
        return loads, summaries, requests

    def check_outcomes(self, loads, summaries, requests):
        """Compare with the ground truth; returns the violations."""
        truth = self.farm.truth()
        print(f"injected faults: {self.fault_counts}")
        faults = []
        for load, summary, lines in zip(loads, summaries, requests):
            route = summary["routes"][0]
            told = route["told"]
            unknown = told.get("may_have_run", 0) + told.get("none", 0)
            print(f"faults, {load.name}: {route['sent']} orders, p50 "
                  f"{route['ms']['p50']:.1f} ms, p99 "
                  f"{route['ms']['p99']:.1f} ms, outcome unknown "
                  f"{unknown / max(1, route['sent']):.2%}")
            print(f"  {verdict.order_counts(lines, truth)}")
            faults += verdict.order_faults(lines, truth)
        faults += [text for text in verdict.server_faults(truth, 10 ** 6)]
        return list(dict.fromkeys(faults))

    def run(self, orders):
        """Run the whole soak; returns the violations."""
        self.start()
        self.measure_baseline("calm-keys")
        self.measure_baseline("calm-tokens", "--tokens")
        return self.check_outcomes(*self.load_with_faults(orders))


def count_writes(counts):
    """Number of writes in the platform's counts."""
    return counts["create"] + counts["update"] + counts["delete"]


def main():
    """Command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--orders", type=int, default=5400)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    begin = time.monotonic()
    with Testbed(arguments.build) as bed:
        try:
            faults = Soak(bed, arguments.seed).run(arguments.orders)
        except (TestbedError, OSError) as error:
            print(f"failed: {error}; logs in {bed.directory}")
            return 1
        for fault in faults[:20]:
            print(f"BROKEN: {fault}")
        print(f"seed {arguments.seed}, {len(faults)} promises broken, "
              f"{time.monotonic() - begin:.0f} s, logs in {bed.directory}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
