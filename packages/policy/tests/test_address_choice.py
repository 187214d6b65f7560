"""Tests of the choice of addresses for a caller."""

import collections
import unittest

from godwitflow.model import ids
from godwitflow.policy import address_choice
from godwitflow.wire import messages


def member(number, domain, cores=1.0, load=0.0):
    return messages.MemberUpdate(
        ids.NodeId(f"n{number}"),
        ids.FailureDomain(domain),
        f"inner-{number}",
        f"caller-{number}",
        "",
        1,
        messages.MemberState.ALIVE,
        True,
        load,
        cores,
    )


def fleet(count):
    return [member(number, f"d{number % 4}") for number in range(count)]


class ChooseTest(unittest.TestCase):
    def test_losing_another_node_keeps_the_choice(self):
        ready = fleet(64)
        before = address_choice.choose(ready, "d1", "10.0.0.9")
        lost = next(row for row in ready if row.caller_address not in before)
        ready.remove(lost)
        self.assertEqual(
            before, address_choice.choose(ready, "d1", "10.0.0.9")
        )

    def test_losing_a_chosen_node_replaces_only_it(self):
        ready = fleet(64)
        before = set(address_choice.choose(ready, "d1", "10.0.0.9"))
        others = [row for row in ready if row.caller_address != min(before)]
        after = set(address_choice.choose(others, "d1", "10.0.0.9"))
        self.assertEqual(1, len(after - before))

    def test_callers_are_spread_over_all_nodes(self):
        ready = fleet(64)
        counts = collections.Counter(
            address
            for number in range(400)
            for address in address_choice.choose(
                ready, f"d{number % 4}", f"10.0.0.{number}"
            )
        )
        self.assertEqual(64, len(counts))
        self.assertLess(max(counts.values()), 4 * 400 * 6 / 64)

    def test_choice_has_nodes_of_the_own_and_other_domains(self):
        by_address = {row.caller_address: row for row in fleet(64)}
        chosen = address_choice.choose(fleet(64), "d2", "10.0.0.9")
        same_domain = [
            by_address[address].failure_domain == "d2" for address in chosen
        ]
        self.assertEqual(
            (
                address_choice.SAME_DOMAIN_COUNT,
                address_choice.OTHER_DOMAIN_COUNT,
            ),
            (same_domain.count(True), same_domain.count(False)),
        )

    def test_nodes_with_more_cores_come_first_unless_busy(self):
        big = [member(100 + n, f"d{n % 4}", 4.0) for n in range(8)]
        ready = fleet(56) + big
        chosen = address_choice.choose(ready, "d1", "10.0.0.9")
        big_addresses = {row.caller_address for row in big}
        self.assertEqual(5, len(big_addresses & set(chosen)))
        busy = [member(100 + n, f"d{n % 4}", 4.0, 0.5) for n in range(8)]
        chosen = address_choice.choose(fleet(56) + busy, "d1", "10.0.0.9")
        self.assertFalse(big_addresses & set(chosen))

    def test_other_domains_come_before_busy_nodes_of_the_own(self):
        ready = [member(number, "d1", 4.0, 0.9) for number in range(5)]
        ready += [member(10 + number, "d2") for number in range(8)]
        chosen = address_choice.choose(ready, "d1", "10.0.0.9")
        not_busy = {row.caller_address for row in ready[5:]}
        self.assertEqual(6, len(not_busy & set(chosen)))

    def test_busy_nodes_are_chosen_if_there_are_no_others(self):
        ready = [member(number, "d1", 1.0, 0.9) for number in range(3)]
        self.assertEqual(3, len(address_choice.choose(ready, "d1", "x")))

    def test_caller_in_a_domain_without_nodes_gets_others(self):
        ready = [row for row in fleet(9) if row.failure_domain != "d2"]
        chosen = address_choice.choose(ready, "d2", "10.0.0.9")
        self.assertEqual(
            address_choice.SAME_DOMAIN_COUNT
            + address_choice.OTHER_DOMAIN_COUNT,
            len(chosen),
        )

    def test_single_ready_node_is_always_chosen(self):
        for domain in ("d1", "d3", None):
            chosen = address_choice.choose(fleet(1), domain, "")
            self.assertEqual(["caller-0"], chosen)
        self.assertEqual([], address_choice.choose([], "d1", ""))
