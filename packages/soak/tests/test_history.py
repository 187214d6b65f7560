"""Tests of the checks: each broken promise is found, and only those."""

import unittest

from godwitflow.soak import history as ledgers
from godwitflow.standins import fake_upstream

SHARDS = ["a", "b", "c"]
Kind = ledgers.Kind


def sent(kind, request="r1", **changes):
    row = ledgers.Sent(
        request, kind, "GET", f"/{kind.value}/{request}", b"", "n0/0", 1.0, 1
    )
    row.status = 200
    row.ended_at_s = 1.1
    for name, value in changes.items():
        setattr(row, name, value)
    return row


def arrival(row, upstream="ua", service="a", **changes):
    fields = {
        "upstream": upstream,
        "service": service,
        "request": row.request,
        "method": row.method,
        "target": row.target,
        "body": row.body,
        "at_s": 1.05,
        "ran": True,
        **changes,
    }
    return fake_upstream.Arrival(**fields)


def whole(request="r1", **changes):
    records = [
        record
        for service in SHARDS
        for record in fake_upstream.shard_records(service, request)
    ]
    return sent(
        Kind.ALL,
        request,
        **{
            "signatures": tuple(f"u{name}.{request}" for name in SHARDS),
            "answer": b"".join(sorted(records, reverse=True)[:5]),
            **changes,
        },
    )


def single(kind=Kind.ONE, **changes):
    return sent(
        kind,
        **{
            "signatures": ("ua.r1",),
            "answer": fake_upstream.response_body("a", "r1"),
            **changes,
        },
    )


class LedgerTest(unittest.TestCase):
    def check(self, rows, arrivals):
        ledger = ledgers.Ledger(SHARDS)
        ledger.services = {f"u{name}": name for name in SHARDS}
        ledger.services |= {"u7": "turn-7", "u8": "turn-8"}
        ledger.sent = {row.request: row for row in rows}
        for found in arrivals:
            ledger.note_arrival(found)
        return [text.partition(":")[0] for text in ledger.check()]

    def test_sound_requests_break_nothing(self):
        self.assertEqual([], self.check([whole()], [arrival(whole())]))
        self.assertEqual([], self.check([single()], [arrival(single())]))

    def test_request_that_nobody_sent_is_found(self):
        self.assertEqual(["unasked"], self.check([], [arrival(single())]))

    def test_request_that_was_changed_is_found(self):
        for change in ({"body": b"x"}, {"target": "/"}, {"method": "PUT"}):
            found = self.check([single()], [arrival(single(), **change)])
            self.assertEqual(["changed"], found)

    def test_second_run_of_a_request_that_may_run_once_is_found(self):
        row = single(Kind.ONCE)
        runs = [arrival(row), arrival(row, "ub", "b")]
        self.assertEqual(["twice"], self.check([row], runs))
        rejected = [arrival(row), arrival(row, "ub", "b", ran=False)]
        self.assertEqual([], self.check([row], rejected))

    def test_refusal_of_a_request_that_ran_is_found(self):
        for kind in Kind:
            for status in ledgers.NOT_RUN:
                row = sent(kind, status=status)
                found = self.check([row], [arrival(row)])
                self.assertEqual(["refused"], found)

    def test_answers_of_other_requests_are_found(self):
        for row in (
            single(signatures=()),
            single(signatures=("ua.r2",)),
            single(answer=b"cut"),
            whole(signatures=("ua.r1", "ua.r1", "ub.r1")),
            whole(signatures=("ua.r1", "ub.r1")),
            whole(answer=b"x" * 80),
        ):
            self.assertEqual(["mixed"], self.check([row], []))

    def test_partial_answer_that_says_so_is_sound(self):
        records = [
            record
            for service in "ab"
            for record in fake_upstream.shard_records(service, "r1")
        ]
        row = whole(
            signatures=("ua.r1", "ub.r1"),
            missing=1,
            answer=b"".join(sorted(records, reverse=True)[:5]),
        )
        self.assertEqual([], self.check([row], []))

    def test_return_to_an_older_configuration_is_found(self):
        def turn(request, upstream, sent_at_s, ended_at_s):
            return sent(
                Kind.TURN,
                request,
                signatures=(f"{upstream}.{request}",),
                answer=fake_upstream.response_body(
                    f"turn-{upstream[1]}", request
                ),
                sent_at_s=sent_at_s,
                ended_at_s=ended_at_s,
            )

        new, old = turn("a", "u8", 1.0, 1.1), turn("b", "u7", 2.0, 2.1)
        self.assertEqual(["regressed"], self.check([new, old], []))
        crossed = turn("b", "u7", 1.2, 1.3)
        self.assertEqual([], self.check([new, crossed], []))

    def test_denied_request_is_found(self):
        self.assertEqual(
            ["denied"], self.check([sent(Kind.ONE, status=404)], [])
        )
