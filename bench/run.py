"""Bench: compares camphorfield's daemons with a plain tier.

Runs real processes on loopback under open-loop load, both tiers in turn.
Writes docs/bench/README.md, docs/bench/figures.json and docs/bench/p99.svg.
"""

import argparse
import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

# pylint: disable=wrong-import-position
import report  # noqa: E402
from cases import CASES, base_checks, judge_lies, run_steps  # noqa: E402
from figures import Figures  # noqa: E402
from sides import (DEADLINE_MS, DaemonSide, PlainSide,  # noqa: E402
                   testbed)

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
IDLE_CHECK_S = 0.3  # Servers are idle if nothing arrives for this time.


def wait_idle(side):
    """Wait until no request of an earlier load reaches the servers."""
    def is_idle():
        before = arrivals(side)
        time.sleep(IDLE_CHECK_S)
        return arrivals(side) == before
    testbed.wait_for("idle servers", is_idle)


def arrivals(side):
    """Number of requests that reached the servers."""
    return sum(server["queries"] + server["refused"] + server["over_cap"]
               for server in side.farm.truth()["servers"])


def run_once(side, case, seconds, seed, figures):
    """Run one load of a case on one tier and add its figures."""
    side.settle()
    case.prepare(side)
    load = side.load(f"{case.name}-{seed}", case.routes,
                     int(seconds * 1000), seed)
    thread = run_steps(case.steps(side), time.monotonic())
    summary = side.bed.finish_load(load)
    thread.join()
    figures.add(side.bed.read_requests(load), summary, side.farm.truth(),
                seconds)
    os.remove(load.requests_path)
    side.settle()
    wait_idle(side)


def run_case(sides, case, rounds, scale):
    """Run all rounds of a case, alternating between the tiers."""
    figures = {side.name: Figures(DEADLINE_MS) for side in sides}
    for turn in range(rounds):
        for side in sides:
            if side.name == "plain" and not case.plain:
                continue
            run_once(side, case, case.seconds * scale, turn + 1,
                     figures[side.name])
    return figures


def judge(case, figures, earlier):
    """Check the figures of a case; returns (text, held) pairs."""
    ours, plain = figures["camphorfield"], figures["plain"]
    if case.judge is judge_lies:
        truthful = earlier.get("health-true")
        if truthful is None:
            return [("needs the case health-true in the same run", False)]
        return judge_lies(ours, plain, truthful) + base_checks(ours)
    return case.judge(ours, plain) + base_checks(ours)


def print_case(case, checks):
    """Print the outcome of a case."""
    print(f"{case.name}: {case.title}", flush=True)
    for text, held in checks:
        print(f"  {'held  ' if held else 'BROKEN'}  {text}", flush=True)


def run_all(arguments):
    """Run the selected cases; returns rows for the report."""
    chosen = [case for case in CASES
              if not arguments.case or case.name in arguments.case]
    rounds = 1 if arguments.quick else arguments.rounds
    rows, earlier = [], {}
    with testbed.Testbed(arguments.build) as bed:
        sides = [PlainSide(bed), DaemonSide(bed)]
        for case in chosen:
            long = case.seconds > 8
            figures = run_case(sides, case, 1 if long else rounds, 1.0)
            earlier[case.name] = figures["camphorfield"]
            checks = judge(case, figures, earlier)
            print_case(case, checks)
            rows.append(report.row(case, figures, checks))
    return rows


def main():
    """Command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--case", action="append")
    parser.add_argument("--quick", action="store_true",
                        help="one round of each case")
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--out", default=os.path.join(ROOT, "docs", "bench"))
    arguments = parser.parse_args()
    begin = time.monotonic()
    rows = run_all(arguments)
    commit = subprocess.run(
        ["git", "-C", ROOT, "rev-parse", "--short", "HEAD"],
        capture_output=True, text=True, check=False).stdout.strip()
    command = "python3 bench/run.py " + " ".join(
        part for part in sys.argv[1:] if not os.path.isabs(part))
    os.makedirs(arguments.out, exist_ok=True)
    with open(os.path.join(arguments.out, "figures.json"), "w",
              encoding="utf-8") as out:
        json.dump(rows, out, indent=1)
    report.write(arguments.out, rows, command.strip(), commit,
                 time.monotonic() - begin)
    broken = sum(1 for row in rows for check in row["checks"]
                 if not check["held"])
    print(f"{len(rows)} cases, {broken} checks broken, "
          f"{time.monotonic() - begin:.0f} s")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
