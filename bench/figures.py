"""Figures from the requests of one or more loads."""

import math

DEADLINE_SLACK_MS = 50


def quantile(values, share):
    """Quantile of a list; NaN when it is empty."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


class Figures:
    """Figures of one tier in one case, over all its rounds."""

    def __init__(self, deadline_ms):
        self.deadline_ms = deadline_ms
        self.requests = []
        self.summaries = []
        self.truths = []
        self.seconds = 0.0

    def add(self, requests, summary, truth, seconds):
        """Add one load with the servers' ground truth."""
        self.requests += requests
        self.summaries.append(summary)
        self.truths.append(truth)
        self.seconds += seconds

    def select(self, route=None, from_ms=0, to_ms=math.inf):
        """Requests of a route that started in a time span."""
        return [request for request in self.requests
                if route in (None, request["route"])
                and from_ms <= request["start_ms"] < to_ms]

    def p(self, share, **which):
        """Latency quantile of requests that were not refused."""
        return quantile([request["ms"] for request in self.select(**which)
                         if request["told"] != "not_run"], share)

    def refusal_median(self):
        """Median time to a refusal in ms."""
        return quantile([request["ms"] for request in self.requests
                         if request["told"] == "not_run"], 0.5)

    def refused(self):
        """Number of requests answered as not run."""
        return sum(1 for request in self.requests
                   if request["told"] == "not_run")

    def complete_share(self, **which):
        """Share of requests with a complete answer."""
        selected = self.select(**which)
        whole = sum(1 for request in selected if request["complete"])
        return whole / len(selected) if selected else math.nan

    def coverage(self, **which):
        """Mean share of shards covered, of all requests sent."""
        shares = [request["covered"] /
                  max(1, request["covered"] + request["uncovered"])
                  for request in self.select(**which)]
        return sum(shares) / len(shares) if shares else math.nan

    def goodput(self):
        """Complete answers within the deadline, per second."""
        good = sum(1 for request in self.requests
                   if request["complete"] and
                   request["ms"] <= self.deadline_ms)
        return good / self.seconds if self.seconds else math.nan

    def unlabelled(self):
        """Answers over the deadline without a label, or no answer."""
        return sum(1 for request in self.requests
                   if request["ms"] > self.deadline_ms + DEADLINE_SLACK_MS
                   and (request["complete"] or request["told"] == "none"))

    def contradicting(self):
        """Answers that mix versions or contradict their labels."""
        return sum(route["mixed_versions"] + route["mislabelled"]
                   for summary in self.summaries
                   for route in summary["routes"])

    def extra_load(self, shards):
        """Sub-queries beyond one for each shard, as a share of these."""
        asked = shards * sum(1 for request in self.requests
                             if request["told"] != "not_run")
        ran = sum(server["queries"] + server["refused"]
                  for truth in self.truths for server in truth["servers"])
        return ran / asked - 1 if asked else math.nan

    def server_sum(self, field):
        """Sum of a field over all servers and loads."""
        return sum(server[field] for truth in self.truths
                   for server in truth["servers"])

    def cap_share(self):
        """Highest share of its connection cap that any server reached."""
        return max((server["peak"] / server["cap"] for truth in self.truths
                    for server in truth["servers"]), default=math.nan)
