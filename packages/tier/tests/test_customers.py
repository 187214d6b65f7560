"""Tests of how requests of customers are routed, refused and forwarded."""

import unittest

import simulation

from godwitflow.model import ids
from godwitflow.policy import customers
from godwitflow.policy import quotas as quota_policy
from godwitflow.policy import routing
from godwitflow.tier import quotas

KEY = b"secret-of-acme"


def customer(name, *keys, **fields):
    digests = tuple(customers.key_digest(key) for key in keys)
    return customers.Customer(ids.CustomerName(name), digests, **fields)


class CustomerTest(unittest.TestCase):
    def setUp(self):
        self.sim = simulation.Simulation()
        self.sim.routes.append(
            simulation.make_route(
                "open", b"/open/", routing.Single("one"), public=True
            )
        )
        self.configure(customer("acme", KEY))

    def configure(self, *configured):
        configuration = routing.Configuration(
            2, 2, tuple(self.sim.routes), {}, None, configured
        )
        self.sim.router.apply_configuration(configuration)

    def send(self, target=b"/one/x", *headers):
        return self.sim.request(target, headers=headers)

    def arrived(self):
        """Return the last request that an upstream received."""
        received = [
            upstream.requests[-1]
            for upstream in self.sim.services["one"]
            if upstream.requests
        ]
        return received[-1]

    def test_known_key_is_replaced_by_the_name_of_its_customer(self):
        caller = self.send(b"/one/x", (b"X-Auth", b"Token " + KEY))
        self.assertEqual(200, caller.response.status)
        self.assertIn(b"X-Customer: acme\r\n", self.arrived())
        self.assertNotIn(KEY, self.arrived())

    def test_request_without_a_known_key_is_not_forwarded(self):
        for headers in ((), ((b"X-Auth", b"Token other"),)):
            caller = self.send(b"/one/x", *headers)
            self.assertEqual(401, caller.response.status)
        self.assertFalse(
            any(upstream.requests for upstream in self.sim.services["one"])
        )

    def test_forged_customer_does_not_reach_an_upstream(self):
        for target in (b"/one/x", b"/open/x"):
            self.send(
                target,
                (b"x-cuSTOMER", b"forged"),
                (b"X-Auth", b"Token " + KEY),
                (b"X-Customer", b"forged"),
            )
            self.assertNotIn(b"forged", self.arrived())
            self.assertEqual(1, self.arrived().lower().count(b"x-customer:"))

    def test_public_route_needs_no_key_and_passes_none_on(self):
        caller = self.send(
            b"/open/x", (b"X-Auth", b"Token other"), (b"X-Customer", b"f")
        )
        self.assertEqual(200, caller.response.status)
        self.assertNotIn(b"X-Auth", self.arrived())
        self.assertNotIn(b"X-Customer", self.arrived())

    def test_headers_are_left_alone_where_no_customers_are_configured(self):
        self.sim.apply_configuration()
        self.send(b"/one/x", (b"X-Auth", b"abc"), (b"X-Customer", b"d"))
        self.assertIn(b"X-Auth: abc\r\n", self.arrived())
        self.assertIn(b"X-Customer: d\r\n", self.arrived())

    def test_withdrawn_key_is_refused_at_the_next_request(self):
        self.configure(customer("acme"))
        caller = self.send(b"/one/x", (b"X-Auth", b"Token " + KEY))
        self.assertEqual(401, caller.response.status)

    def test_withdrawal_of_the_last_customer_opens_nothing(self):
        self.configure()
        self.assertEqual(401, self.send().response.status)

    def test_no_key_is_logged(self):
        self.send(b"/one/x", (b"X-Auth", b"Token " + KEY))
        self.send(b"/one/x", (b"X-Auth", b"Token unknown-key"))
        self.configure(customer("a", KEY), customer("b", KEY))
        text = repr(self.sim.log.lines) + repr(self.sim.metrics.lines())
        self.assertNotIn(KEY.decode(), text)
        self.assertNotIn("unknown-key", text)

    def test_priority_of_a_customer_goes_before_that_of_the_route(self):
        self.configure(customer("acme", KEY, priority=ids.Rank(7)))
        ranks = []
        self.sim.dispatcher.enqueue = lambda service, rank, *others: (
            ranks.append(rank)
        )
        for _ in range(simulation.CONNECTION_CAP * 3 + 1):
            self.sim.send(b"/one/x", headers=((b"X-Auth", b"Token " + KEY),))
        self.sim.advance(3.0)
        self.assertEqual([7], ranks)


class QuotaTest(CustomerTest):
    """The same where quotas are kept, and refusals beyond them."""

    def setUp(self):
        super().setUp()
        self.sim.router.customers.quotas = quotas.Quotas(
            self.sim.reactor,
            self.sim.reactor.now_ms,
            self.sim.node,
            self.sim.members,
            quota_policy.QuotaBounds(),
            self.sim.log,
            seed=1,
        )
        self.configure(customer("acme", KEY))
        self.sim.advance(3_000.0)

    def test_request_beyond_the_quota_is_refused_at_once(self):
        quota = customers.Quota(1.0, 1.0)
        self.configure(customer("acme", KEY, quota=quota))
        statuses = set()
        for _ in range(40):
            caller, _ = self.sim.send(
                b"/one/x", headers=((b"X-Auth", b"Token " + KEY),)
            )
            self.sim.advance(2.0)
            if caller.response is not None:
                statuses.add(caller.response.status)
                if caller.response.status == 429:
                    after = simulation.find_header(
                        caller.response, b"retry-after"
                    )
                    self.assertGreater(float(after), 0.0)
        self.assertIn(429, statuses)

    def test_customer_without_a_quota_is_not_limited(self):
        for _ in range(40):
            caller = self.send(b"/one/x", (b"X-Auth", b"Token " + KEY))
            self.assertEqual(200, caller.response.status)

    def test_caller_that_left_while_the_issuer_was_asked_is_not_served(self):
        quota = customers.Quota(50.0, 50.0)
        self.configure(customer("acme", KEY, quota=quota))
        _, exchange = self.sim.send(
            b"/one/x", headers=((b"X-Auth", b"Token " + KEY),)
        )
        exchange.on_caller_disconnected()
        self.sim.advance(200.0)
        self.assertFalse(
            any(upstream.requests for upstream in self.sim.services["one"])
        )
