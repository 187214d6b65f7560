"""Tests of the order in which waiting calls are sent."""

import unittest

from godwitflow.policy import fair_queue


class Call:
    """A waiting call of a customer."""

    def __init__(self, customer, number):
        self.customer = customer
        self.number = number

    def __repr__(self):
        return f"{self.customer}{self.number}"


def take_all(queue):
    taken = []
    while (entry := queue.pop()) is not None:
        taken.append(repr(entry.item))
    return taken


class FairQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = fair_queue.FairQueue()

    def push(self, customer, count, rank=1):
        calls = [Call(customer, number) for number in range(count)]
        for call in calls:
            self.queue.push(call, rank, customer)
        return calls

    def test_customer_that_sends_much_waits_behind_its_own_calls(self):
        self.push("a", 50)
        self.push("b", 2)
        self.push("c", 1)
        first = take_all(self.queue)[:6]
        self.assertEqual({"a0", "a1", "b0", "b1", "c0"}, set(first) - {"a2"})

    def test_customer_that_was_idle_gains_no_credit(self):
        self.push("a", 50)
        for _ in range(30):
            self.queue.pop()
        self.push("b", 50)
        customers = [name[0] for name in take_all(self.queue)[:20]]
        self.assertEqual(10, customers.count("b"))

    def test_urgent_rank_goes_first_whoever_asks(self):
        self.push("a", 3, rank=2)
        self.push("a", 2, rank=0)
        self.push("b", 1, rank=1)
        self.assertEqual(
            ["a0", "a1", "b0", "a0", "a1", "a2"], take_all(self.queue)
        )

    def test_order_without_customers_is_that_of_arrival(self):
        calls = self.push(None, 5)
        self.assertEqual([repr(call) for call in calls], take_all(self.queue))

    def test_entry_that_is_restored_keeps_its_place(self):
        self.push(None, 3)
        entry = self.queue.pop()
        self.queue.restore(entry)
        self.assertEqual(["None0", "None1", "None2"], take_all(self.queue))

    def test_removed_call_is_not_held(self):
        calls = self.push("a", 3)
        self.queue.remove(calls[1])
        self.assertEqual(2, len(self.queue))
        self.assertEqual(["a0", "a2"], take_all(self.queue))

    def test_costly_calls_of_a_customer_count_more(self):
        for number in range(10):
            self.queue.push(Call("a", number), 1, "a", cost=3.0)
            self.queue.push(Call("b", number), 1, "b", cost=1.0)
        customers = [name[0] for name in take_all(self.queue)[:8]]
        self.assertEqual(2, customers.count("a"))
