"""The two tiers of a bench run, each with backend servers of its own."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tools"))

# pylint: disable=wrong-import-position
import shapes  # noqa: E402
import testbed  # noqa: E402
import verdict  # noqa: E402

SERVICES = 20
MEAN_MS = 20.0
SLOTS = 2
CAPACITY_PER_S = 2 * SLOTS * 1000 / MEAN_MS  # Queries over all services.
DAEMONS = 4
FLEET_SIZE = 6  # Divides connection caps: DAEMONS and replacements.
DEADLINE_MS = 1000
PLAIN_TIMEOUT_MS = 200
FIRST_VERSION = 7
NO_FAULTS = {"draining": False, "drain_hint": False, "shed": False,
             "factor": 1, "lie_load": -1, "lie_ready": -1,
             "lose_answer_share": 0, "versions": [FIRST_VERSION]}


def make_specs():
    """Services order-desk-NN, and label-print, which a request can crash."""
    specs = shapes.services("order-desk", SERVICES, slots=SLOTS,
                            mean_ms=MEAN_MS)
    return specs + shapes.services("label-print", 1, servers=5, slots=SLOTS)


class Side:
    """One tier under test, with its backend servers."""

    def __init__(self, name, bed, flags=()):
        self.name = name
        self.bed = bed
        self.flags = list(flags)
        self.specs = make_specs()
        self.farm = bed.start_farm(name + "-servers", self.specs)
        self.addresses = ""
        self.daemons = []

    def settle(self):
        """Undo all server faults and reset the servers' counts."""
        self.farm.behave(set=NO_FAULTS, down=False)
        self.farm.reset()

    def load(self, label, routes, duration_ms, seed):
        """Start load; routes maps names to queries per second."""
        flags = [part for name, rate in routes.items()
                 for part in ("--query", f"{name}={rate}")]
        return self.bed.start_load(
            f"{self.name}-{label}", self.addresses, *flags, *self.flags,
            "--duration-ms", duration_ms, "--seed", seed, "--callers", 8,
            "--timeout-ms", DEADLINE_MS)


class PlainSide(Side):
    """The plain tier, which camphorfield is compared with."""

    def __init__(self, bed):
        super().__init__("plain", bed, ["--fixed"])
        config = shapes.plain_config(
            self.specs[:SERVICES], self.farm, 25 // FLEET_SIZE, FIRST_VERSION,
            DEADLINE_MS, PLAIN_TIMEOUT_MS)
        self.addresses = ",".join(
            bed.start_plain(f"plain-{i}", {**config, "seed": i + 1})
            for i in range(DAEMONS))


class DaemonSide(Side):
    """Camphorfield's daemons with their platform."""

    def __init__(self, bed):
        super().__init__("camphorfield", bed)
        bed.start_platform("--writes-per-s", 500, "--reads-per-s", 2000)
        self.generation = 0
        self.daemons = bed.add_daemons(DAEMONS)
        for daemon in self.daemons:
            bed.start_daemon(daemon)
        testbed.wait_for("operators' interfaces", lambda: all(
            daemon.operator_answers() for daemon in self.daemons))
        self.apply(self.objects([FIRST_VERSION]))
        self.wait_ready()
        self.addresses = bed.callers_addresses()

    def objects(self, versions):
        """All configuration objects; each version has its own shard map."""
        addresses = shapes.addresses_of(self.farm)
        search_services = [spec["name"] for spec in self.specs[:SERVICES]]
        index = shapes.index_object("orders", search_services, versions)
        for number, version in zip(versions, index["versions"]):
            turn = (number - FIRST_VERSION) % SERVICES
            version["shards"] = [
                {"name": f"s{j:02d}",
                 "service": search_services[(j + turn) % SERVICES]}
                for j in range(SERVICES)]
        return [shapes.service_object(spec, addresses)
                for spec in self.specs] + [
            index,
            shapes.index_object("labels", [self.specs[-1]["name"]],
                                [FIRST_VERSION]),
            shapes.query_route("search", "orders"),
            shapes.query_route("archive", "orders", priority="batch"),
            shapes.query_route("print", "labels"),
            shapes.limits_object(),
            shapes.fleet_object(FLEET_SIZE)]

    def apply(self, objects):
        """Publish a change and wait until all daemons have adopted it."""
        name = f"{self.name}-change-{self.generation + 1}"
        path = self.bed.write(
            name + ".json", shapes.change(objects, self.generation))
        alive = next(daemon for daemon in self.daemons
                     if daemon.process.is_running())
        self.bed.cli("apply", path, "--operator", alive.operator,
                     "--change-id", name, "--wait")
        self.generation += 1

    def wait_ready(self):
        """Wait until all daemons list themselves to callers."""
        testbed.wait_for("daemons ready", lambda: all(
            daemon.is_ready() for daemon in self.daemons))

    def replace(self, daemon):
        """End a daemon and start a new one under the same addresses."""
        daemon.process.end()
        self.bed.start_daemon(daemon)


__all__ = ["CAPACITY_PER_S", "DEADLINE_MS", "DaemonSide", "FIRST_VERSION",
           "PlainSide", "SERVICES", "Side", "shapes", "testbed", "verdict"]
