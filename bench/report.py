"""Report of a bench run: table and plot."""

import math
import os
import subprocess

from sides import SERVICES

PLOT = """set terminal svg size 900,420
set output '{out}'
set style data histogram
set style histogram clustered gap 1
set style fill solid 0.8
set logscale y
set yrange [1:*]
set ylabel 'p99 latency in ms'
set xtics rotate by -30
set key top left
plot '{data}' using 2:xtic(1) title 'plain tier', '' using 3 title 'camphorfield'
"""


def number(value, form):
    """Formatted number; a dash for NaN."""
    return "-" if math.isnan(value) else format(value, form)


def tier(figures):
    """Figures of one tier by name, for JSON."""
    return {"p50": figures.p(0.5), "p99": figures.p(0.99),
            "p999": figures.p(0.999), "coverage": figures.coverage(),
            "whole": figures.complete_share(),
            "extra": figures.extra_load(SERVICES),
            "goodput": figures.goodput(), "sent": len(figures.requests),
            "refused": figures.refused()}


def row(case, figures, checks):
    """One case with its figures and checks, for JSON."""
    return {"case": case.name, "title": case.title,
            "tiers": {name: tier(side) for name, side in figures.items()},
            "checks": [{"text": text, "held": held}
                       for text, held in checks]}


def table(rows):
    """Lines of the table of figures."""
    lines = ["| case | tier | sent | p50 ms | p99 ms | p99.9 ms | coverage | "
             "whole | extra load | goodput/s |",
             "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | "
             "---: |"]
    for entry in rows:
        for name, figures in entry["tiers"].items():
            if figures["sent"] == 0:
                continue
            lines.append(
                f"| {entry['case']} | {name} | {figures['sent']} | "
                f"{number(figures['p50'], '.1f')} | "
                f"{number(figures['p99'], '.1f')} | "
                f"{number(figures['p999'], '.1f')} | "
                f"{number(figures['coverage'], '.4f')} | "
                f"{number(figures['whole'], '.4f')} | "
                f"{number(figures['extra'], '.2%')} | "
                f"{number(figures['goodput'], '.0f')} |")
    return lines


def verdicts(rows):
    """Lines with the result of each check."""
    lines = []
    for entry in rows:
        lines.append(f"- **{entry['case']}**: {entry['title']}")
        for check in entry["checks"]:
            mark = "held" if check["held"] else "**broken**"
            lines.append(f"  - {mark}: {check['text']}")
    return lines


def plot(directory, rows):
    """Plot p99 latencies with gnuplot; False when that fails."""
    data = os.path.join(directory, "p99.dat")
    with open(data, "w", encoding="utf-8") as out:
        for entry in rows:
            values = [number(entry["tiers"][name]["p99"], ".2f")
                      for name in ("plain", "camphorfield")]
            out.write(f'"{entry["case"]}" {values[0]} {values[1]}\n')
    script = PLOT.format(out=os.path.join(directory, "p99.svg"), data=data)
    try:
        done = subprocess.run(["gnuplot"], input=script, text=True,
                              capture_output=True, check=False)
    except FileNotFoundError:
        return False
    finally:
        os.remove(data)
    return done.returncode == 0


def write(directory, rows, command, commit, seconds):
    """Write README.md and the plot."""
    lines = [
        "# Bench",
        "",
        f"Made by `{command}` at commit {commit} in {seconds:.0f} s, on "
        f"loopback of one machine with {os.cpu_count()} cores. Daemons, load "
        "and stand-in servers share its cores.",
        "",
        f"{SERVICES} services, each with 2 servers of 2 slots and 25 "
        "connections, 20 ms mean service time (lognormal, sigma 0.5), 6 ms "
        "for a new connection. Each query asks all services. Open-loop "
        "Poisson arrivals; latency counts from the intended time of sending. "
        "The plain tier takes a random replica, a fixed timeout of 200 ms, "
        "one retry, no hedge and no limits; it has servers of its own in the "
        "same shape, and the tiers run in turn.",
        "",
        "Extra load: sub-queries that reached the servers beyond one for "
        "each shard of each query not refused. Goodput: whole answers within "
        "the deadline.",
        ""]
    lines += table(rows) + ["", "## Checks", ""] + verdicts(rows) + [""]
    if plot(directory, rows):
        lines += ["![p99 by case](p99.svg)", ""]
    with open(os.path.join(directory, "README.md"), "w",
              encoding="utf-8") as out:
        out.write("\n".join(lines))
