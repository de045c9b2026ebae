"""Checks that gateways respect what servers say of themselves.

A server that leaves, asks for a pause or names a request limit says so in its
answers. Each rule binds a gateway that was told, until it restarts or is
paused. Lives tell processes between such events, and incarnations, apart.
"""

import collections
import math
import time

DRAIN_S = 1.0          # After this, no request to a server that leaves.
PAUSE_SLACK_S = 0.5    # From the rejection on; requests may be on their way.
PAUSE_REQUESTS = 2     # That may still arrive in a pause.
LIMIT_STABLE_S = 4.0   # From the first answer with a limit on.
LIMIT_SLACK_S = 0.5    # A gateway counts from so long after it was told.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5

Sent = collections.namedtuple("Sent", "life at")
Pause = collections.namedtuple("Pause", "begun end links")


class Guidance:
    """What each server has told each life of a gateway."""

    def __init__(self, fail):
        self.fail = fail
        self.sent = {}      # Request: function for its gateway's life, time.
        self.leaving = {}   # (life, server): when the gateway passed it on.
        self.limited = {}   # (life, server, since): the same of a limit.
        self.pauses = {}    # (life, server): Pause.
        self.in_pause = collections.Counter()       # (life, server, pause).
        self.arrivals = collections.defaultdict(collections.deque)

    def note_sent(self, request, life):
        """A caller sends a request to the gateway whose life this returns."""
        self.sent[request] = Sent(life, time.monotonic())

    def note_passed_on(self, request, server_life, says):
        """A caller got an answer that this incarnation of a server gave."""
        if request not in self.sent:
            return
        key = (self.sent[request].life(), server_life)
        if says.leaving:
            self.leaving.setdefault(key, time.monotonic())
        if says.limit is not None:
            self.limited.setdefault(key + (says.since,), time.monotonic())

    def note_pause(self, request, server, pause_s):
        """A server rejects a request and asks for a pause."""
        if request in self.sent:
            now = time.monotonic()
            key = (self.sent[request].life(), server.life())
            self.pauses[key] = Pause(now, now + pause_s, server.links())

    def note_arrival(self, request, server):
        """A request reaches a server."""
        if request not in self.sent:
            return
        sent = self.sent[request]
        now = time.monotonic()
        key = (sent.life(), server.life())
        if sent.at > self.leaving.get(key, math.inf) + DRAIN_S:
            self.fail(f"{server.name} leaves, but gets {request} "
                      f"{now - self.leaving[key]:.2f} s after {key[0]} knew")
        self.check_pause(request, server, key, now)
        self.check_limit(server, key, now)

    def check_pause(self, request, server, key, now):
        """Count requests in a pause; disturbed links excuse them."""
        pause = self.pauses.get(key)
        if pause is None or pause.links != server.links() or not (
                pause.begun + PAUSE_SLACK_S < now < pause.end):
            return
        self.in_pause[key + (pause.begun,)] += 1
        if self.in_pause[key + (pause.begun,)] > PAUSE_REQUESTS:
            self.fail(f"{server.name} asked {key[0]} for a pause, but gets "
                      f"{request} {now - pause.begun:.2f} s after it")

    def check_limit(self, server, key, now):
        """Count requests of all gateways that know the server's limit."""
        says = server.says
        if says.limit is None or now < says.since + LIMIT_STABLE_S or now < (
                self.limited.get(key + (says.since,), math.inf)
                + LIMIT_SLACK_S):
            return
        times = self.arrivals[server.life(), says.since]
        times.append(now)
        while times[0] < now - LIMIT_WINDOW_S:
            times.popleft()
        allowed = LIMIT_FACTOR * says.limit * LIMIT_WINDOW_S + LIMIT_EXTRA
        if len(times) > allowed:
            self.fail(f"{server.name} names {says.limit} requests/s, but "
                      f"gets {len(times)} in {LIMIT_WINDOW_S:g} s")
