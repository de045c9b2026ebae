"""Demonstration: six daemons and stand-in servers under load and faults.

Compares the callers' answers with the servers' ground truth and prints the end
of the merged time line. Exits with 1 when a check failed. Ends only the
processes that it started.
"""

import argparse
import signal
import sys
import time
import uuid

import shapes
import verdict
from testbed import Testbed, TestbedError, call_json, wait_for

DAEMONS = 6
QUERIES_PER_S = 100
ORDERS_PER_S = 10
LOAD_MS = 16000
FAULT_INTERVAL_S = 3.5
OLD_VERSION = 7
NEW_VERSION = 8
TIMELINE_LINES = 25


class Demo:
    """Processes and failed checks of one demonstration."""

    def __init__(self, bed):
        self.bed = bed
        self.specs = []
        self.farm = None
        self.daemons = []
        self.faults = []
        self.generation = 0

    def check(self, text, faults):
        """Print whether a check held; faults lists what violates it."""
        print(f"  {'BROKEN' if faults else 'held  '}  {text}")
        for fault in faults[:5]:
            print(f"          {fault}")
        self.faults += faults

    def start(self):
        """Start the platform, the servers and the daemons."""
        self.bed.start_platform("--writes-per-s", 500, "--reads-per-s", 2000)
        self.specs = shapes.services("order-desk", 20) + shapes.services(
            "dispatch-board", 1, servers=3, slots=6, connections=100,
            connect_cost_ms=1)
        self.farm = self.bed.start_farm("servers", self.specs)
        self.daemons = self.bed.add_daemons(DAEMONS)
        for daemon in self.daemons:
            self.bed.start_daemon(daemon)

    def objects(self, versions):
        """All configuration objects, with these index versions."""
        addresses = shapes.addresses_of(self.farm)
        search_services = [spec["name"] for spec in self.specs[:20]]
        return [shapes.service_object(spec, addresses)
                for spec in self.specs] + [
            shapes.index_object("orders", search_services, versions),
            shapes.query_route("search", "orders"),
            shapes.order_route("reorder", "dispatch-board-00"),
            shapes.limits_object(),
            shapes.fleet_object(max_daemons=8)]

    def apply(self, change_id, objects):
        """Check and publish a change through the operators' client."""
        path = self.bed.write(
            change_id + ".json", shapes.change(objects, self.generation))
        operator = self.daemons[0].operator
        self.bed.cli("check", path, "--operator", operator)
        self.bed.cli("apply", path, "--operator", operator,
                     "--change-id", change_id, "--wait")
        self.generation += 1

    def check_repeated_order(self):
        """Send an order to two daemons with one key; it must run once."""
        key = uuid7()
        answers = []
        for daemon in (self.daemons[0], self.daemons[3]):
            answers.append(call_json(
                daemon.caller, "POST", "/v1/order/reorder", {"tape": 17},
                {"Caller": "demo", "Idempotency-Key": key}))
        runs = self.farm.truth()["orders"].get(key, [])
        for status, answer in answers:
            print(f"  repeated order: HTTP {status} {answer['result']} "
                  f"replayed={answer.get('replayed')}")
        faults = []
        if len(runs) != 1 or any(a["run"] != "ran" for _, a in answers):
            faults = [f"ran {len(runs)} times, answers {answers}"]
        self.check("an order sent twice under one key runs once", faults)

    def check_search(self):
        """Send one search, which must cover all services."""
        status, answer = call_json(
            self.daemons[1].caller, "POST", "/v1/query/search",
            {"find": "tape"}, {"Caller": "demo"})
        print(f"  one search: HTTP {status} {answer['result']}, version "
              f"{answer.get('version')}, {len(answer.get('covered', []))} "
              f"shards covered")
        whole = status == 200 and len(answer["covered"]) == 20
        self.check("a search covers all 20 services",
                   [] if whole else [str(answer)[:300]])

    def load_with_faults(self):
        """Kill a daemon, stop another, replace the index version."""
        load = self.bed.start_load(
            "load", self.bed.callers_addresses(),
            "--query", f"search={QUERIES_PER_S}",
            "--order", f"reorder={ORDERS_PER_S}",
            "--callers", 12, "--duration-ms", LOAD_MS)
        time.sleep(FAULT_INTERVAL_S)
        print("  kill -9 of d2")
        self.daemons[1].process.signal(signal.SIGKILL)
        time.sleep(FAULT_INTERVAL_S)
        print("  graceful stop of d3")
        self.daemons[2].process.signal(signal.SIGTERM)
        time.sleep(FAULT_INTERVAL_S)
        print(f"  index version {OLD_VERSION} replaced by {NEW_VERSION}")
        self.farm.behave(set={"versions": [OLD_VERSION, NEW_VERSION]})
        self.apply("demo-2", self.objects((OLD_VERSION, NEW_VERSION)))
        summary = self.bed.finish_load(load)
        return summary, self.bed.read_requests(load)

    def check_answers(self, summary, requests):
        """Compare the answers to callers with the ground truth."""
        truth = self.farm.truth()
        for route in summary["routes"]:
            print("  " + verdict.route_line(route))
        print(f"  orders: {verdict.order_counts(requests, truth)}")
        peak = max(server["peak"] / server["cap"]
                   for server in truth["servers"])
        print(f"  highest share of a connection cap: {peak:.2f}")
        self.check("answers reflect one snapshot and have correct labels",
                   verdict.answer_faults(summary))
        self.check("no order runs twice, none answered 'not run' has run",
                   verdict.order_faults(requests, truth))
        self.check("no server sees more connections than its cap",
                   verdict.server_faults(truth))
        self.check("each request ended with an answer", [
            f"{route['route']}: {route['told']['none']} without an answer"
            for route in summary["routes"] if route["told"].get("none")])

    def check_graceful_stop(self):
        """Check that the daemon with SIGTERM exits with status 0."""
        try:
            status = self.daemons[2].process.wait()
        except Exception as error:  # pylint: disable=broad-except
            status = str(error)
        self.check("a graceful stop exits with status 0",
                   [] if status == 0 else [f"status {status}"])

    def print_timeline(self):
        """Print the last lines of the merged time line."""
        text = self.bed.cli(
            "timeline", "--operator", self.daemons[0].operator)
        for line in text.splitlines()[-TIMELINE_LINES:]:
            print("  " + line[:160])

    def run(self):
        """Run the whole demonstration."""
        print("Start: platform, 43 servers, 6 daemons in 3 failure domains")
        self.start()
        wait_for("operators' interfaces", lambda: all(
            daemon.operator_answers() for daemon in self.daemons))
        print("Configuration")
        self.apply("demo-1", self.objects((OLD_VERSION,)))
        wait_for("all daemons ready", lambda: all(
            daemon.is_ready() for daemon in self.daemons))
        print("Single requests")
        self.check_search()
        self.check_repeated_order()
        print(f"Load: {QUERIES_PER_S} searches and {ORDERS_PER_S} orders/s")
        summary, requests = self.load_with_faults()
        print("What callers saw")
        self.check_answers(summary, requests)
        self.check_graceful_stop()
        print("End of the time line")
        self.print_timeline()


def uuid7():
    """Make a UUID of version 7, as order keys must be."""
    millis = int(time.time() * 1000)
    number = (millis << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    number = number & ~(0xf << 76) | (7 << 76)
    number = number & ~(3 << 62) | (2 << 62)
    return str(uuid.UUID(int=number))


def main():
    """Command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    arguments = parser.parse_args()
    begin = time.monotonic()
    with Testbed(arguments.build) as bed:
        demo = Demo(bed)
        try:
            demo.run()
        except (TestbedError, OSError) as error:
            print(f"failed: {error}; logs in {bed.directory}")
            return 1
        print(f"{time.monotonic() - begin:.1f} s, "
              f"{len(demo.faults)} promises broken")
        if demo.faults:
            print(f"logs in {bed.directory}")
    return 1 if demo.faults else 0


if __name__ == "__main__":
    sys.exit(main())
