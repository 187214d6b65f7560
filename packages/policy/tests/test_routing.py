"""Tests of route matching and of the shares of split routes."""

import unittest

from godwitflow.policy import routing


def route(name, prefix, target=None, host="a.example"):
    return routing.Route(
        name,
        host,
        prefix,
        routing.RetryPolicy.IDEMPOTENT,
        1_000.0,
        100.0,
        0,
        2,
        target or routing.Single(name),
    )


def table(*routes):
    return routing.RouteTable(
        routing.Configuration(1, 1, routes, {}, None), seed=7
    )


class RouteTableTest(unittest.TestCase):
    def test_longest_prefix_wins(self):
        routes = table(
            route("r", b"/"), route("s", b"/x/"), route("t", b"/x/y/")
        )
        for path, name in (
            (b"/x/y/z", "t"),
            (b"/x/y", "s"),
            (b"/x/", "s"),
            (b"/xy", "r"),
            (b"/", "r"),
        ):
            self.assertEqual(name, routes.match("a.example", path).name)

    def test_unknown_host_or_path_has_no_route(self):
        routes = table(route("s", b"/x/"))
        self.assertIsNone(routes.match("b.example", b"/x/"))
        self.assertIsNone(routes.match("a.example", b"/y/"))
        self.assertIsNone(routes.match("a.example", b"*"))

    def test_split_has_exact_shares(self):
        split = routing.WeightedSplit(("s", "t", "u"), (70.0, 25.0, 5.0))
        split_route = route("r", b"/", split)
        routes = table(split_route)
        counts = {"s": 0, "t": 0, "u": 0}
        for _ in range(300):
            counts[routes.choose_service(split_route, split)] += 1
        for name, expected in (("s", 210), ("t", 75), ("u", 15)):
            self.assertLessEqual(abs(counts[name] - expected), 2, counts)

    def test_host_name_ignores_case_and_port(self):
        self.assertEqual("a.example", routing.host_name(b"A.Example:80"))
        self.assertEqual("", routing.host_name(None))
