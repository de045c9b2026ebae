"""Each promise that the soak checks can be seen broken."""

import unittest
from types import SimpleNamespace

import wire
from book import Book

RECORD = b"0123456789abcdef"
SHARDS = ["s0", "s1", "s2"]


def make_server(service):
    """A server as the book knows it."""
    return SimpleNamespace(name=f"i-{service}", service=service)


def make_book():
    """A book with one request of each kind and answers of all servers."""
    book = Book()
    book.allow(SHARDS, "plain", "once")
    for kind in ("query", "plain", "once"):
        method = "POST" if kind == "once" else "GET"
        book.sent[kind] = (method, f"/{kind}/1", b"", kind)
    return book


def run(book, request, service):
    """A server runs a request; returns its proof."""
    server = make_server(service)
    method, target, body, _ = book.sent[request]
    book.note_run(server, request, f"{method} {target} HTTP/1.1", body)
    return book.add_proof(server, request, RECORD, False)


def merged(book, proofs, missing=0, records=None):
    """An answer to the query."""
    count = min(len(proofs), 5) if records is None else records
    book.note_answer("query", 200, {
        wire.PART_PROOFS: ", ".join(proofs),
        wire.MISSING_PARTS: str(missing)}, RECORD * count)


def good(book):
    """Everything as it should be."""
    merged(book, [run(book, "query", shard) for shard in SHARDS])
    proof = run(book, "plain", "plain")
    book.note_answer("plain", 200, {wire.PROOF: proof}, RECORD)
    book.note_answer("once", 503, {}, b"")


def twice(book):
    """A request that must run once runs twice."""
    run(book, "once", "once")
    run(book, "once", "once")


def false_promise(book):
    """What ran is said not to have run."""
    run(book, "once", "once")
    book.note_answer("once", 503, {}, b"")


def late_run(book):
    """What was said not to run runs."""
    book.note_answer("once", 429, {}, b"")
    run(book, "once", "once")


def unasked(book):
    """A request that nobody sent."""
    book.note_run(make_server("plain"), "other", "GET / HTTP/1.1", b"")


def changed(book):
    """Another body than the caller's."""
    book.note_run(make_server("once"), "once", "POST /once/1 HTTP/1.1", b"x")


def wrong_service(book):
    """A service that no configuration names for the route."""
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


def part_twice(book):
    """The same part twice."""
    proof = run(book, "query", "s0")
    merged(book, [proof, proof, run(book, "query", "s1")])


def wrong_count(book):
    """Parts and missing parts make up no index."""
    merged(book, [run(book, "query", shard) for shard in SHARDS], missing=1)


def too_few(book):
    """Less than the coverage that is asked for."""
    merged(book, [run(book, "query", "s0")], missing=2)


def wrong_records(book):
    """Not the greatest records of the parts."""
    merged(book, [run(book, "query", shard) for shard in SHARDS], records=1)


def denied(book):
    """A proper request is denied."""
    book.note_answer("plain", 404, {}, b"")


class BookTest(unittest.TestCase):
    """One case a promise."""

    def test_all_kept(self):
        book = make_book()
        good(book)
        self.assertEqual(book.broken, [])

    def test_each_broken_promise_is_seen(self):
        for case in (twice, false_promise, late_run, unasked, changed,
                     wrong_service, no_proof, proof_of_another, body_changed,
                     part_twice, wrong_count, too_few, wrong_records, denied):
            with self.subTest(case.__name__):
                book = make_book()
                case(book)
                self.assertNotEqual(book.broken, [])


if __name__ == "__main__":
    unittest.main()
