"""Builds services, configuration objects and settings for tests."""


def services(prefix, count, servers=2, slots=2, connections=25,
             connect_cost_ms=6, reports_load=True, mean_ms=5.0, versions=(7,),
             failure_domains=3, queue=16):
    """Backend services in the input format of server_standin."""
    out = []
    for i in range(count):
        name = f"{prefix}-{i:02d}"
        out.append({
            "name": name, "slots": slots, "connections": connections,
            "connect_cost_ms": connect_cost_ms, "reports_load": reports_load,
            "service_ms": {"dist": "lognormal", "mean": mean_ms, "sigma": 0.5},
            "versions": list(versions), "queue": queue,
            "servers": [{"name": f"{name}-{chr(97 + j)}",
                         "failure_domain":
                             "fd-" + "abcdefgh"[(i + j) % failure_domains]}
                        for j in range(servers)]})
    return out


def service_object(service, addresses):
    """Configuration object of a service; addresses by server name."""
    return {
        "kind": "service", "name": service["name"],
        "connect_cost_ms": service["connect_cost_ms"],
        "reports_load": service["reports_load"],
        "servers": [{"name": server["name"],
                     "address": addresses[server["name"]],
                     "failure_domain": server["failure_domain"],
                     "slots": service["slots"],
                     "connections": service["connections"]}
                    for server in service["servers"]]}


def index_object(name, shard_services, versions=(7,)):
    """Index whose shards s00, s01, ... are on the given services."""
    shards = [{"name": f"s{i:02d}", "service": service}
              for i, service in enumerate(shard_services)]
    return {"kind": "index", "name": name,
            "versions": [{"version": version, "shards": shards}
                         for version in versions]}


def query_route(name, index, deadline_ms=1000, soft_answer_ms=0,
                priority="interactive", min_coverage=0.0, limits="standard"):
    """Route of queries over an index."""
    return {"kind": "route", "name": name, "mode": "query", "index": index,
            "limits": limits, "priority": priority,
            "deadline_ms": deadline_ms, "soft_answer_ms": soft_answer_ms,
            "min_coverage": min_coverage}


def order_route(name, service, deadline_ms=1000, limits="standard"):
    """Route of orders to a service."""
    return {"kind": "route", "name": name, "mode": "order",
            "service": service, "limits": limits, "priority": "interactive",
            "deadline_ms": deadline_ms}


def limits_object(name="standard", **fields):
    """Budgets and limits; missing fields take their defaults."""
    return {"kind": "limits", "name": name, **fields}


def fleet_object(max_daemons=8):
    """Number of daemons that share each connection cap."""
    return {"kind": "fleet", "name": "fleet", "max_daemons": max_daemons}


def addresses_of(farm):
    """Addresses of a farm's servers by name."""
    return {server["name"]: server["address"] for server in farm.servers}


def change(objects, based_on=0):
    """Change document that writes the objects."""
    return {"put": objects, "based_on": based_on}


def plain_config(specs, farm, connections, version=7, deadline_ms=1000,
                 timeout_ms=200, seed=1):
    """Settings of the comparison tier plain_tier, one shard a service."""
    addresses = addresses_of(farm)
    return {"connections_per_server": connections, "version": version,
            "deadline_ms": deadline_ms, "timeout_ms": timeout_ms, "seed": seed,
            "shards": [{"shard": f"s{i:02d}", "service": spec["name"],
                        "servers": [addresses[server["name"]]
                                    for server in spec["servers"]]}
                       for i, spec in enumerate(specs)]}
