"""Checks that each rule of book.py detects its violation."""

import unittest
from types import SimpleNamespace
from unittest import mock

import wire
from book import Book
from standins import Says

RECORD = b"0123456789abcdef"
SHARDS = ["s0", "s1", "s2"]


def make_server(service, **says):
    """A server with the fields that Book reads."""
    name = f"i-{service}"
    return SimpleNamespace(name=name, service=service, says=Says(**says),
                           life=lambda: name, links=lambda: 0, zone="a",
                           cold_since=0.0, warm_at=0.0)


def make_book():
    """A book with one sent request of each kind."""
    book = Book()
    book.allow(SHARDS, "plain", "once")
    for kind in ("query", "plain", "once"):
        method = "POST" if kind == "once" else "GET"
        book.sent[kind] = (method, f"/{kind}/1", b"", kind)
    return book


def run(book, request, service):
    """Record a run of a request on a service; returns its proof."""
    server = make_server(service)
    method, target, body, _ = book.sent[request]
    book.note_run(server, request, f"{method} {target} HTTP/1.1", body)
    return book.add_proof(server, request, RECORD, False)


def merged(book, proofs, missing=0, records=None):
    """Record a merged answer to the query."""
    count = min(len(proofs), 5) if records is None else records
    book.note_answer("query", 200, {
        wire.PART_PROOFS: ", ".join(proofs),
        wire.MISSING_PARTS: str(missing)}, RECORD * count)


def all_rules_kept(book):
    """One valid answer of each kind."""
    merged(book, [run(book, "query", shard) for shard in SHARDS])
    proof = run(book, "plain", "plain")
    book.note_answer("plain", 200, {wire.PROOF: proof}, RECORD)
    book.note_answer("once", 503, {}, b"")


def run_twice(book):
    """A request that must run once runs twice."""
    run(book, "once", "once")
    run(book, "once", "once")


def ran_despite_refusal(book):
    """A request that ran is answered as not run."""
    run(book, "once", "once")
    book.note_answer("once", 503, {}, b"")


def run_after_refusal(book):
    """A request that was answered as not run runs later."""
    book.note_answer("once", 429, {}, b"")
    run(book, "once", "once")


def unknown_request(book):
    """A server runs a request that nobody sent."""
    book.note_run(make_server("plain"), "other", "GET / HTTP/1.1", b"")


def request_changed(book):
    """A server gets another body than the caller sent."""
    book.note_run(make_server("once"), "once", "POST /once/1 HTTP/1.1", b"x")


def service_not_configured(book):
    """A request runs on a service that no configuration allows for it."""
    run(book, "plain", "elsewhere")


def no_proof(book):
    """A success without a server's proof."""
    book.note_answer("plain", 200, {}, RECORD)


def proof_of_another(book):
    """A success with the proof of another request."""
    proof = run(book, "once", "once")
    book.note_answer("plain", 200, {wire.PROOF: proof}, RECORD)


def body_changed(book):
    """A proof with another body."""
    proof = run(book, "plain", "plain")
    book.note_answer("plain", 200, {wire.PROOF: proof}, RECORD + b"x")


def duplicate_part(book):
    """A merged answer has the same part twice."""
    proof = run(book, "query", "s0")
    merged(book, [proof, proof, run(book, "query", "s1")])


def wrong_part_count(book):
    """Parts and missing parts add up to no index."""
    merged(book, [run(book, "query", shard) for shard in SHARDS], missing=1)


def coverage_too_low(book):
    """A merged answer is below the minimum coverage."""
    merged(book, [run(book, "query", "s0")], missing=2)


def wrong_top_records(book):
    """A merged answer lacks some of the top records."""
    merged(book, [run(book, "query", shard) for shard in SHARDS], records=1)


def valid_request_denied(book):
    """A valid request is denied."""
    book.note_answer("plain", 404, {}, b"")


def arrivals(book, server, told, times, says_pause=None):
    """A gateway is told at a time; requests reach the server at others."""
    with mock.patch("guidance.time.monotonic") as clock:
        clock.return_value = told
        book.guidance.note_sent("first", lambda: "gateway")
        book.guidance.note_passed_on("first", server.life(), server.says)
        if says_pause is not None:
            book.guidance.note_pause("first", server, says_pause)
        for number, clock.return_value in enumerate(times):
            book.guidance.note_sent(f"r{number}", lambda: "gateway")
            book.guidance.note_arrival(f"r{number}", server)


class GuidanceTest(unittest.TestCase):
    """Requests that servers want, and those that they don't."""

    def test_requests_after_guidance(self):
        steady = [105 + i * 0.1 for i in range(40)]
        for name, says, times, pause, allowed in (
                ("leaving, just told", {"leaving": True}, [100.9], None, True),
                ("leaving", {"leaving": True}, [101.1], None, False),
                ("pause, two on their way", {}, [100.6, 100.7], 3, True),
                ("pause", {}, [100.6, 100.7, 100.8], 3, False),
                ("pause is over", {}, [103.1, 103.2, 103.3], 3, True),
                ("limit kept", {"limit": 6, "since": 100}, steady, None, True),
                ("limit", {"limit": 5, "since": 100}, steady, None, False),
                ("limit is new", {"limit": 5, "since": 104}, steady[:25],
                 None, True)):
            with self.subTest(name):
                book = Book()
                arrivals(book, make_server("s0", **says), 100, times, pause)
                self.assertEqual(not book.violations, allowed)


class DomainsTest(unittest.TestCase):
    """Requests to evacuated domains and to cold servers."""

    def test_requests_after_changes(self):
        steady = [104 + i * 0.09 for i in range(11)]
        for name, changes, times, allowed in (
                ("evacuated, just known", {}, [105.9], True),
                ("evacuated", {}, [106.1], False),
                ("another domain", {"zone": "b"}, [106.1], True),
                ("ended", {"ends": True}, [106.1], True),
                ("the store was down", {"answers": 101}, [106.9], True),
                ("the gateway was paused", {"resumed": 101}, [106.9], True),
                ("long after both", {"answers": 101, "resumed": 101},
                 [107.1], False),
                ("cold", {"zone": "b", "warm": 110}, steady, True),
                ("cold, too many", {"zone": "b", "warm": 110},
                 steady + [104.95], False),
                ("cold, not known yet", {"zone": "b", "warm": 110, "cold": 103},
                 steady + [104.95], True),
                ("warm by then", {"zone": "b", "warm": 103},
                 steady + [104.95], True)):
            with self.subTest(name), \
                    mock.patch("domains.time.monotonic") as clock:
                book = Book()
                server = make_server("s0")
                server.zone = changes.get("zone", "a")
                server.cold_since = changes.get("cold", 100)
                server.warm_at = changes.get("warm", 0)
                clock.return_value = 100
                book.domains.note_evacuated("a", True)
                if "ends" in changes:
                    book.domains.note_evacuated("a", False)
                book.domains.answers_since = changes.get("answers", 0)
                clock.return_value = changes.get("resumed", 0)
                book.domains.note_life("gateway")
                for number, clock.return_value in enumerate(sorted(times)):
                    book.domains.note_arrival(f"r{number}", server, "gateway")
                self.assertEqual(not book.violations, allowed)


class BookTest(unittest.TestCase):
    """A valid book and one violation of each rule."""

    def test_valid_answers_pass(self):
        book = make_book()
        all_rules_kept(book)
        self.assertEqual(book.violations, [])

    def test_each_violation_is_detected(self):
        for case in (run_twice, ran_despite_refusal, run_after_refusal,
                     unknown_request, request_changed,
                     service_not_configured, no_proof, proof_of_another,
                     body_changed, duplicate_part, wrong_part_count,
                     coverage_too_low, wrong_top_records,
                     valid_request_denied):
            with self.subTest(case.__name__):
                book = make_book()
                case(book)
                self.assertNotEqual(book.violations, [])


if __name__ == "__main__":
    unittest.main()
