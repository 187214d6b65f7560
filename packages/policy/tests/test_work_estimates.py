"""Tests of predicting the work of requests."""

import random
import unittest

from godwitflow.model import ids
from godwitflow.policy import replica_choice
from godwitflow.policy import work_estimates

MEDIAN_MS = 10.0


def features(target=b"/x", customer="c", body_bytes=0):
    return work_estimates.features_of(
        "route", target, ids.CustomerName(customer), body_bytes
    )


class WorkEstimatesTest(unittest.TestCase):
    def setUp(self):
        self.estimates = work_estimates.WorkEstimates()

    def learn(self, known, elapsed_ms, count=10):
        for _ in range(count):
            self.estimates.record(known, elapsed_ms, MEDIAN_MS)

    def test_unknown_request_is_expected_to_take_the_median(self):
        self.assertEqual(1.0, self.estimates.ratio(features()))

    def test_target_that_took_long_is_expected_to_take_long_again(self):
        self.learn(features(b"/heavy"), 80.0)
        self.learn(features(b"/light"), 5.0)
        self.assertGreater(self.estimates.ratio(features(b"/heavy")), 5.0)
        self.assertLess(self.estimates.ratio(features(b"/light")), 2.0)

    def test_new_target_is_expected_to_take_what_its_customer_takes(self):
        for number in range(20):
            self.learn(features(b"/%d" % number, "big"), 60.0, count=1)
            self.learn(features(b"/%d" % number, "small"), 6.0, count=1)
        self.assertGreater(
            self.estimates.ratio(features(b"/new", "big")),
            2.0 * self.estimates.ratio(features(b"/new", "small")),
        )

    def test_requests_that_are_alike_are_expected_to_take_the_median(self):
        rng = random.Random(1)
        for number in range(2_000):
            elapsed_ms = MEDIAN_MS * rng.lognormvariate(0.0, 0.5)
            if number % 20 == 0:
                elapsed_ms += 120.0  # a pause of the upstream
            self.learn(features(b"/%d" % number), elapsed_ms, count=1)
        ratio = self.estimates.ratio(features(b"/new"))
        self.assertAlmostEqual(1.0, ratio, delta=0.25)

    def test_estimate_follows_a_change(self):
        self.learn(features(), 80.0, count=50)
        self.learn(features(), 10.0, count=30)
        self.assertLess(self.estimates.ratio(features()), 1.3)

    def test_one_extreme_call_does_not_decide(self):
        self.learn(features(), 10.0)
        self.learn(features(), 1e9, count=1)
        self.assertLess(
            self.estimates.ratio(features()), work_estimates.MAX_RATIO / 2
        )

    def test_memory_is_bounded(self):
        for number in range(3 * work_estimates.MAX_KEYS):
            self.learn(features(b"/%d" % number), 10.0, count=1)
        self.assertEqual(work_estimates.MAX_KEYS, len(self.estimates))


class MixedLoadTest(unittest.TestCase):
    """Light and costly requests that look alike share some upstreams."""

    UPSTREAMS = 6
    LIGHT_MS = 4.0
    HEAVY_MS = 60.0

    def play(self, aware, seed):
        """Return the 99th percentiles of light and of costly requests.

        Requests go to the upstream with the least work left, as the
        estimates see it, or with the fewest calls if ``aware`` is not set.
        """
        rng = random.Random(seed)
        estimates = work_estimates.WorkEstimates()
        queues = [[] for _ in range(self.UPSTREAMS)]
        now_ms = 0.0
        times_ms = {False: [], True: []}
        for number in range(6_000):
            now_ms += rng.expovariate(1 / 3.0)
            heavy = rng.random() < 0.1
            customer = f"{'h' if heavy else 'l'}{rng.randrange(5)}"
            known = features(b"/%d" % number, customer)
            for queue in queues:
                queue[:] = [call for call in queue if call[0] > now_ms]
            chosen = min(
                queues,
                key=lambda queue: (
                    sum(call.work_left_ms(now_ms) for _, call in queue)
                    if aware
                    else len(queue),
                    rng.random(),
                ),
            )
            work_ms = self.HEAVY_MS if heavy else self.LIGHT_MS
            start_ms = max([now_ms, *[end_ms for end_ms, _ in chosen]])
            call = replica_choice.CallInFlight(
                now_ms, estimates.ratio(known) * self.LIGHT_MS
            )
            chosen.append((start_ms + work_ms, call))
            estimates.record(known, work_ms, self.LIGHT_MS)
            if number > 1_000:
                times_ms[heavy].append(start_ms + work_ms - now_ms)
        return [
            sorted(values)[int(0.99 * len(values))]
            for values in (times_ms[False], times_ms[True])
        ]

    def test_light_requests_do_not_wait_behind_costly_ones(self):
        for seed in range(3):
            light_ms, heavy_ms = self.play(True, seed)
            before_light_ms, before_heavy_ms = self.play(False, seed)
            self.assertLess(light_ms, 0.7 * before_light_ms)
            self.assertLessEqual(heavy_ms, before_heavy_ms)
