"""Compares the answers to callers with the servers' ground truth.

Finds double runs, false "not run" answers and exceeded connection caps.
"""


def order_faults(requests, truth):
    """Violated guarantees about orders, one line each."""
    faults = []
    for key, runs in truth["orders"].items():
        if len(runs) > 1:
            faults.append(f"order {key} ran {len(runs)} times: {runs}")
    for request in requests:
        if not request["key"]:
            continue
        runs = len(truth["orders"].get(request["key"], []))
        told = request["told"]
        if told == "not_run" and runs > 0:
            faults.append(f"order {request['key']} was answered not run, but "
                          f"ran: {request['attempts']}")
        if told == "ran" and runs == 0:
            faults.append(f"order {request['key']} was answered ran, but did "
                          f"not: {request['attempts']}")
    return faults


def order_counts(requests, truth):
    """Number of orders by answered outcome, code and number of runs."""
    counts = {}
    for request in requests:
        if request["key"]:
            runs = len(truth["orders"].get(request["key"], []))
            name = f"{request['told']}/{request['code']} ran {runs}x"
            counts[name] = counts.get(name, 0) + 1
    return dict(sorted(counts.items()))


def server_faults(truth, crashes=0):
    """Violated connection caps, and crashes above a limit, one line each."""
    faults = []
    for server in truth["servers"]:
        if server["peak"] > server["cap"] or server["over_cap"] > 0:
            faults.append(f"{server['name']}: {server['peak']} connections, "
                          f"{server['over_cap']} refused, cap {server['cap']}")
    crashed = sum(server["crashes"] for server in truth["servers"])
    if crashed > crashes:
        faults.append(f"{crashed} server crashes, at most {crashes}")
    return faults


def answer_faults(summary):
    """Violated guarantees about answers, one line each."""
    faults = []
    for route in summary["routes"]:
        for field in ("mixed_versions", "mislabelled", "late_unlabelled"):
            if route[field] > 0:
                faults.append(f"{route['route']}: {route[field]} {field}")
    return faults


def route_line(route):
    """Figures of one route in one line."""
    latency = route["ms"]
    return (f"{route['route']}: {route['sent']} sent, "
            f"p50 {latency['p50']:.1f} ms, p99 {latency['p99']:.1f} ms, "
            f"p99.9 {latency['p999']:.1f} ms, "
            f"coverage {route['coverage']:.4f}, "
            f"complete {route['complete_share']:.4f}, codes {route['codes']}")
