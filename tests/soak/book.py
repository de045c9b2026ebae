"""Records what callers and servers saw and checks the gateways' guarantees.

Guards against double runs, false "not run" answers and mixed-up answers.
"""

import wire
from domains import Domains
from guidance import Guidance

NOT_RUN_STATUSES = (408, 421, 429, 503)
TOP_RECORDS = 5
MIN_COVERAGE = 0.7


class Book:
    """Requests, runs and answers of a soak; `violations` lists failures."""

    def __init__(self):
        self.sent = {}      # Request id: (method, target, body, kind).
        self.runs = {}      # Request id: services that started it.
        self.proofs = {}    # Proof: (request id, service, body, failed).
        self.not_run = {}   # Request id: status that says "not run".
        self.indexes = []   # Set of shards of each version.
        self.allowed = {}   # Kind: services that any version allows.
        self.statuses = {}  # (kind, status): count.
        self.violations = []
        self.guidance = Guidance(self.fail)
        self.domains = Domains(self.fail)
        self.said = {}      # Proof: (server's life, what it said of itself).

    def fail(self, text):
        """Add a violation."""
        self.violations.append(text)

    def allow(self, query, plain, once):
        """Register a configuration version before it is written."""
        self.indexes.append(frozenset(query))
        for kind, services in (("query", query), ("plain", [plain]),
                               ("once", [once])):
            self.allowed.setdefault(kind, set()).update(services)

    def add_proof(self, server, request, body, failed):
        """Record that a server completed a request; returns its proof."""
        proof = f"{server.name}.{len(self.proofs)}"
        self.proofs[proof] = (request, server.service, body, failed)
        self.said[proof] = (server.life(), server.says)
        return proof

    def note_arrival(self, request, server):
        """Check that a server may be sent a request now."""
        self.guidance.note_arrival(request, server)
        if request in self.guidance.sent:
            self.domains.note_arrival(
                request, server, self.guidance.sent[request].life())

    def note_run(self, server, request, line, body):
        """Record and check that a server starts a request."""
        sent = self.sent.get(request)
        if sent is None:
            self.fail(f"{server.name} runs {request}, which nobody sent")
            return
        method, target, content, kind = sent
        if line.split(" ")[:2] != [method, target] or body != content:
            self.fail(f"{server.name} got {request} changed: {line}")
        if server.service not in self.allowed[kind]:
            self.fail(f"{request} ({kind}) runs at {server.service}")
        runs = self.runs.setdefault(request, [])
        runs.append(server.service)
        if kind == "once" and len(runs) > 1:
            self.fail(f"{request} ran twice: {runs}")
        if request in self.not_run:
            self.fail(f"{request} runs after {self.not_run[request]}")

    def note_answer(self, request, status, fields, body):
        """Record and check the complete answer that a caller received."""
        kind = self.sent[request][3]
        key = (kind, status)
        self.statuses[key] = self.statuses.get(key, 0) + 1
        for proof in wire.proofs_of(fields) + [fields.get(wire.PROOF)]:
            if proof in self.said:
                self.guidance.note_passed_on(request, *self.said[proof])
        if status in NOT_RUN_STATUSES:
            self.not_run[request] = status
            if request in self.runs:
                self.fail(f"{request} ({kind}) got {status}, but it ran")
        elif status == 200 and kind == "query":
            self.check_merged(request, fields, body)
        elif wire.PROOF in fields:
            self.check_forwarded(request, status, fields, body)
        elif status == 200:
            self.fail(f"{request} got a success without a proof")
        elif status in (400, 401, 403, 404, 413):
            self.fail(f"{request} ({kind}) was denied with {status}")

    def check_forwarded(self, request, status, fields, body):
        """Check that a server's answer arrives unchanged."""
        known = self.proofs.get(fields[wire.PROOF])
        if known is None or known[0] != request:
            self.fail(f"{request} got the proof of another request")
        elif known[2] != body or known[3] != (status == 500):
            self.fail(f"{request} got an answer that was changed")

    def check_merged(self, request, fields, body):
        """Check the parts, coverage and records of a merged answer."""
        parts = []
        for proof in wire.proofs_of(fields):
            known = self.proofs.get(proof)
            if known is None or known[0] != request or known[3]:
                self.fail(f"{request}: {proof} is no valid part")
                return
            parts.append(known)
        services = [part[1] for part in parts]
        total = len(parts) + int(fields.get(wire.MISSING_PARTS, "0"))
        matches_index = any(len(index) == total and index.issuperset(services)
                            for index in self.indexes)
        if len(set(services)) != len(services) or not matches_index:
            self.fail(f"{request}: parts {services} of {total} match no index")
        if len(parts) < MIN_COVERAGE * total:
            self.fail(f"{request}: {len(parts)} of {total} is below "
                      "the minimum coverage")
        if body != wire.top_records([part[2] for part in parts], TOP_RECORDS):
            self.fail(f"{request}: not the top records")
