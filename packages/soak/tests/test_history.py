"""Tests of the checks: each violation is found, and nothing else."""

import unittest

from godwitflow.soak import history as histories
from godwitflow.standins import fake_upstream
from godwitflow.standins import fixtures

SHARDS = ["a", "b", "c"]
Kind = histories.Kind


def request_record(kind, request="r1", **changes):
    record = histories.RequestRecord(
        request, kind, "GET", f"/{kind.value}/{request}", b"", "n0/0", 1.0, 1
    )
    record.status = 200
    record.ended_at_s = 1.1
    for name, value in changes.items():
        setattr(record, name, value)
    return record


def arrival(record, upstream="ua", service="a", **changes):
    fields = {
        "upstream": upstream,
        "service": service,
        "request": record.request,
        "method": record.method,
        "target": record.target,
        "body": record.body,
        "at_s": 1.05,
        "ran": True,
        **changes,
    }
    return fake_upstream.Arrival(**fields)


class ArrivalsTest(unittest.TestCase):
    def test_most_arrivals_in_a_window_are_counted(self):
        history = histories.History(SHARDS)
        record = request_record(Kind.IDEMPOTENT)
        for at_s in (0.5, 1.0, 2.0, 2.5, 3.0, 9.0):
            history.record_arrival(arrival(record, at_s=at_s))
        history.record_arrival(arrival(record, upstream="ub", at_s=2.1))
        self.assertEqual(3, history.most_arrivals("ua", 1.5, 1.5))
        self.assertEqual(0, history.most_arrivals("uc", 1.5, 0.0))


class NoticesTest(unittest.TestCase):
    def history(self, notices, arrivals):
        """Return a history of (request, process, sent and arrived at)."""
        history = histories.History(SHARDS)
        for request, process, at_s in arrivals:
            record = request_record(
                Kind.IDEMPOTENT, request, process=process, sent_at_s=at_s
            )
            history.requests[request] = record
            history.record_arrival(arrival(record, at_s=at_s))
        history.notices = [
            fake_upstream.Notice("ua", request, at_s, pause_s)
            for request, at_s, pause_s in notices
        ]
        return history

    def test_late_request_of_the_process_that_heard_it_is_found(self):
        history = self.history(
            [("a", 1.0, None), ("b", 2.0, None)],
            [("a", "n0/0", 0.9), ("b", "n0/0", 3.9), ("c", "n0/0", 4.1)],
        )
        self.assertEqual(1, history.late_after_leaving("ua", 3.0))
        other = self.history(
            [("a", 1.0, None)], [("a", "n0/0", 0.9), ("c", "n1/0", 4.1)]
        )
        self.assertEqual(0, other.late_after_leaving("ua", 3.0))
        self.assertEqual(0, history.late_after_leaving("ub", 3.0))

    def test_calls_of_one_process_in_a_pause_are_counted(self):
        history = self.history(
            [("a", 1.0, 2.0)],
            [
                ("a", "n0/0", 0.9),
                ("b", "n0/0", 1.4),
                ("c", "n0/0", 1.6),
                ("d", "n0/0", 2.9),
                ("e", "n0/0", 3.1),
                ("f", "n1/0", 2.0),
            ],
        )
        self.assertEqual(2, history.most_calls_in_a_pause("ua", 0.0))
        self.assertEqual(0, history.most_calls_in_a_pause("ua", 1.5))

    def refused_history(self, status, last_sent_at_s):
        """Return one of a refusal that ended at 1.1 and named 2 s."""
        history = self.history(
            [("a", 1.0, 2.0)],
            [
                ("a", "n0/0", 0.9),
                ("b", "n0/0", 1.05),
                ("c", "n0/0", 1.2),
                ("d", "n1/0", 1.2),
                ("e", "n0/0", last_sent_at_s),
            ],
        )
        history.requests["a"].status = status
        return history

    def test_calls_after_a_refusal_was_passed_on_are_counted(self):
        for last_sent_at_s, count in ((2.9, 2), (3.1, 1)):
            history = self.refused_history(503, last_sent_at_s)
            self.assertEqual(
                count, history.most_calls_after_a_refusal("ua", 0.0)
            )
            self.assertEqual(0, history.most_calls_after_a_refusal("ua", 1.5))

    def test_refusal_that_was_not_passed_on_counts_for_nothing(self):
        history = self.refused_history(200, 2.9)
        self.assertEqual(0, history.most_calls_after_a_refusal("ua", 0.0))

    def leaving_problems(self, signature, late_process, late_at_s):
        """Return what is found of a notice that was passed on at 1.1."""
        history = self.history(
            [("a", 1.0, None)],
            [("a", "n0/0", 0.9), ("b", late_process, late_at_s)],
        )
        history.requests["a"].signatures = (signature,)
        return [
            problem
            for problem in history.check()
            if problem.startswith("leaving")
        ]

    def test_request_long_after_a_passed_on_notice_is_a_problem(self):
        limit_s = 1.1 + fixtures.DRAIN_S
        late_s = limit_s + 0.01
        self.assertEqual(
            ["leaving: b at ua"], self.leaving_problems("ua.a", "n0/0", late_s)
        )
        for signature, process, at_s in (
            ("ua.a", "n0/0", limit_s - 0.01),
            ("ua.a", "n1/0", late_s),
            ("ub.a", "n0/0", late_s),
        ):
            self.assertEqual(
                [], self.leaving_problems(signature, process, at_s)
            )


def gathered(request="r1", **changes):
    records = [
        record
        for service in SHARDS
        for record in fake_upstream.shard_records(service, request)
    ]
    return request_record(
        Kind.GATHER,
        request,
        **{
            "signatures": tuple(f"u{name}.{request}" for name in SHARDS),
            "response_body": b"".join(sorted(records, reverse=True)[:5]),
            **changes,
        },
    )


def single(kind=Kind.IDEMPOTENT, **changes):
    return request_record(
        kind,
        **{
            "signatures": ("ua.r1",),
            "response_body": fake_upstream.response_body("a", "r1"),
            **changes,
        },
    )


class HistoryTest(unittest.TestCase):
    def check(self, records, arrivals):
        history = histories.History(SHARDS)
        history.services = {f"u{name}": name for name in SHARDS}
        history.services |= {"u7": "turn-7", "u8": "turn-8"}
        history.requests = {record.request: record for record in records}
        for received in arrivals:
            history.record_arrival(received)
        return [text.partition(":")[0] for text in history.check()]

    def test_correct_requests_have_no_problems(self):
        self.assertEqual([], self.check([gathered()], [arrival(gathered())]))
        self.assertEqual([], self.check([single()], [arrival(single())]))

    def test_request_that_no_caller_sent_is_found(self):
        self.assertEqual(["unasked"], self.check([], [arrival(single())]))

    def test_modified_request_is_found(self):
        for change in ({"body": b"x"}, {"target": "/"}, {"method": "PUT"}):
            problems = self.check([single()], [arrival(single(), **change)])
            self.assertEqual(["changed"], problems)

    def test_second_run_of_a_non_idempotent_request_is_found(self):
        record = single(Kind.NON_IDEMPOTENT)
        runs = [arrival(record), arrival(record, "ub", "b")]
        self.assertEqual(["twice"], self.check([record], runs))
        rejected = [arrival(record), arrival(record, "ub", "b", ran=False)]
        self.assertEqual([], self.check([record], rejected))

    def test_not_run_status_for_a_request_that_ran_is_found(self):
        for kind in Kind:
            for status in histories.NOT_RUN_STATUSES:
                record = request_record(kind, status=status)
                problems = self.check([record], [arrival(record)])
                self.assertEqual(["refused"], problems)

    def test_wrong_responses_are_found(self):
        for record in (
            single(signatures=()),
            single(signatures=("ua.r2",)),
            single(response_body=b"cut"),
            gathered(signatures=("ua.r1", "ua.r1", "ub.r1")),
            gathered(signatures=("ua.r1", "ub.r1")),
            gathered(response_body=b"x" * 80),
        ):
            self.assertEqual(["mixed"], self.check([record], []))

    def test_declared_partial_response_is_accepted(self):
        records = [
            record
            for service in "ab"
            for record in fake_upstream.shard_records(service, "r1")
        ]
        record = gathered(
            signatures=("ua.r1", "ub.r1"),
            missing_parts=1,
            response_body=b"".join(sorted(records, reverse=True)[:5]),
        )
        self.assertEqual([], self.check([record], []))

    def test_return_to_an_older_configuration_is_found(self):
        def versioned(request, upstream, sent_at_s, ended_at_s):
            return request_record(
                Kind.VERSIONED,
                request,
                signatures=(f"{upstream}.{request}",),
                response_body=fake_upstream.response_body(
                    f"turn-{upstream[1]}", request
                ),
                sent_at_s=sent_at_s,
                ended_at_s=ended_at_s,
            )

        new, old = (
            versioned("a", "u8", 1.0, 1.1),
            versioned("b", "u7", 2.0, 2.1),
        )
        self.assertEqual(["regressed"], self.check([new, old], []))
        overlapping = versioned("b", "u7", 1.2, 1.3)
        self.assertEqual([], self.check([new, overlapping], []))

    def test_request_without_a_route_is_found(self):
        self.assertEqual(
            ["denied"],
            self.check([request_record(Kind.IDEMPOTENT, status=404)], []),
        )
