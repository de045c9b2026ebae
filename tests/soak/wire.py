"""HTTP messages and documents of callers, servers and the store."""

import json
import time

REQUEST_ID = "request-id"
REMAINING_MS = "deadline-ms"
PROOF = "server-stamp"
PART_PROOFS = "part-stamps"
MISSING_PARTS = "missing-parts"
EXPECTED_SERVER = "expect-instance"
NOT_RUN = "not-executed"
LEAVING = "server-leaving"
LIMIT = "server-limit"
RETRY_AFTER = "retry-after"
STORE_ERA = "store-era"
EVIDENCE = "crash-evidence"  # Kind that the gateways write.
RECORD_BYTES = 16
CRASH_PATH = "/plain/crash"  # Crashes each server that runs it.


class Broken(Exception):
    """The peer closed the connection or sent no valid HTTP."""


async def read_message(reader):
    """Read one HTTP message: (first line, fields, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def make_request(method, target, fields, body=b""):
    """Encode a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method != "GET":
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_response(status, fields, body=b""):
    """Encode a response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_settings(endpoints, zone, seeds, store, grace_s):
    """Settings file of one gateway."""
    return "\n".join([
        f"node-name={endpoints.name}", f"zone={zone}", f"ip={endpoints.ip}",
        f"bind-addrs.front={endpoints.front}",
        f"bind-addrs.ready={endpoints.ready}",
        f"bind-addrs.control={endpoints.control}",
        f"bind-addrs.directory={endpoints.directory}",
        f"port-range={endpoints.metrics.rsplit(':', 1)[1]},65535",
        f"seeds={','.join(seeds)}", f"platform.address={store}",
        "limits.cpu-share=0.25", f"bounds.grace-s={grace_s}",
        "bounds.retry-budget-ratio=0.2", "bounds.budget-slack=52",
        "bounds.budget-window-s=10", "bounds.stable-window-ms=4000", ""])


def make_config(version, host, query, plain, once):
    """Configuration with a query over shards, an idempotent route "plain" and
    a route "once" whose requests must run at most once."""
    routes = [
        {"name": "query", "host": host, "path-prefix": "/query/",
         "type": "idempotent", "gather": query, "top-k": 5,
         "min-coverage": 0.7, "max-attempts": 2, "timeout-ms": 2000,
         "slo-ms": 200, "priority": 1},
        {"name": "plain", "host": host, "path-prefix": "/plain/",
         "type": "idempotent", "service": plain, "max-attempts": 2,
         "timeout-ms": 2000, "slo-ms": 200, "priority": 2},
        {"name": "once", "host": host, "path-prefix": "/once/",
         "type": "non_idempotent", "service": once, "max-attempts": 2,
         "timeout-ms": 2000, "slo-ms": 200, "priority": 2}]
    names = sorted(set(query + [plain, once]))
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health-path": "/health",
                          "max-conns": 60} for name in names],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


def make_entry(server, sequence):
    """Store entry that a server publishes for itself."""
    # Servers of review/ have no cold phase.
    warm_at = getattr(server, "warm_at", 0.0)
    return {"service": server.service, "address": server.address,
            "zone": server.zone, "version": "v1",
            "concurrency": server.slots, "state": server.state,
            "warmup-left-ms": max(
                0, int((warm_at - time.monotonic()) * 1000)),
            "seq": sequence, "born": server.started_ms}


def make_object(name, revision, content):
    """An object of the store."""
    return {"meta": {"name": name, "revision": revision, "created": revision,
                     "finalizers": [], "deleting": False},
            "spec": content, "status": {}}


def store_reply(era, status, document=None):
    """Encode a reply of the store; without a document its body is empty."""
    body = b"" if document is None else json.dumps(document).encode()
    return make_response(status, {"content-type": "application/json",
                                  STORE_ERA: era}, body)


def proofs_of(fields):
    """Proofs of the parts of a merged answer."""
    text = fields.get(PART_PROOFS, "")
    return [proof.strip() for proof in text.split(",") if proof.strip()]


def top_records(bodies, count):
    """Largest records of all parts, in descending order."""
    records = []
    for body in bodies:
        records += [body[at:at + RECORD_BYTES]
                    for at in range(0, len(body) - RECORD_BYTES + 1,
                                    RECORD_BYTES)]
    return b"".join(sorted(records, reverse=True)[:count])
