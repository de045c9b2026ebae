"""Checks that gateways leave evacuated domains and spare cold servers.

Both rules bind all gateways together, on whatever path they send. A gateway
that was started or resumed, and a store that answers nobody, get as long as the
platform allows to learn of a change.
"""

import collections
import time

EVACUATE_S = 5.0        # bounds.evacuate-ms, from the acknowledgement on.
EVACUATE_SLACK_S = 1.0  # Requests may be on their way, over delayed links too.
WARMUP_S = 6.0
WARMUP_PER_S = 4        # Of all gateways, to each cold server.
WARMUP_OVERAGE = 1.5
WARMUP_SLACK = 5
WARMUP_MOST = WARMUP_PER_S * WARMUP_OVERAGE + WARMUP_SLACK
COLD_KNOWN_S = 1.5      # By then gateways have read a server's entry.
LINK_SETTLE_S = 0.5     # A link that was delayed delivers late requests.
SETTINGS = [f"bounds.evacuate-ms={EVACUATE_S * 1000:g}",
            f"bounds.warmup-overage={WARMUP_OVERAGE}",
            f"bounds.warmup-slack={WARMUP_SLACK}", ""]


class Domains:
    """Evacuations that the store has acknowledged, and cold servers."""

    def __init__(self, fail):
        self.fail = fail
        self.evacuated = {}  # Zone: time of the acknowledgement.
        self.answers_since = 0.0  # When the store began to answer.
        self.resumed = {}    # Gateway's life: its begin.
        self.cold = {}       # Server's life: times of requests in a second.
        self.links = {}      # Server: (disturbances of its link, since).
        self.seen = collections.Counter()  # What the checks applied to.

    def note_evacuated(self, zone, begins):
        """The store has acknowledged an evacuation or its end."""
        if begins:
            self.evacuated[zone] = time.monotonic()
        else:
            self.evacuated.pop(zone, None)

    def note_life(self, life):
        """A gateway was started or resumed."""
        self.resumed[life] = time.monotonic()

    def note_arrival(self, request, server, life):
        """A request of a gateway reaches a server."""
        now = time.monotonic()
        known_from = max(self.answers_since, self.resumed.get(life, 0.0))
        if server.zone in self.evacuated:
            since = max(self.evacuated[server.zone], known_from)
            self.seen["requests while evacuated"] += 1
            if now > since + EVACUATE_S + EVACUATE_SLACK_S:
                self.fail(f"{server.name} in {server.zone} gets {request} of "
                          f"{life} {now - since:.2f} s after its evacuation")
        if now < server.warm_at:
            self.check_cold(server, now,
                            max(server.cold_since, known_from) + COLD_KNOWN_S)

    def check_cold(self, server, now, known_at):
        """Count requests to a cold server in the last second."""
        links, since = self.links.get(server.name, (server.links(), 0.0))
        if links != server.links():
            since = now
        self.links[server.name] = (server.links(), since)
        times = self.cold.setdefault(server.life(), collections.deque())
        if now < known_at or now < since + LINK_SETTLE_S:
            return
        times.append(now)
        while times[0] <= now - 1:
            times.popleft()
        self.seen["requests while cold"] += 1
        self.seen["most in 1 s"] = max(self.seen["most in 1 s"], len(times))
        if len(times) > WARMUP_MOST:
            self.fail(f"{server.name} is cold, but gets {len(times)} "
                      "requests in 1 s")
