"""Checks that nodes follow what the store has confirmed, in time.

A node that was undisturbed has to handle a request as the newest configuration
says, and to leave an upstream alone that drains or is gone.
"""

import collections
import dataclasses

from godwitflow.soak import disturbances as disturbed
from godwitflow.soak import history as histories
from godwitflow.standins import fixtures

SUCCESS_STATUSES = range(200, 300)
NO_ROUTE = 404
SERVICE_PREFIX = "turn-"


@dataclasses.dataclass(slots=True)
class Confirmations:
    """When the store confirmed changes.

    ``configurations`` holds times and numbers, in their order;
    ``withdrawn_at_s`` is when an upstream reported that it drains.
    """

    configurations: list[tuple[float, int]] = dataclasses.field(
        default_factory=list
    )
    withdrawn_at_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def due_configuration(self, at_s: float) -> int:
        """Return the configuration that has to be in force at a time."""
        return max(
            (
                number
                for confirmed_at_s, number in self.configurations
                if confirmed_at_s + fixtures.APPLY_LIMIT_S < at_s
            ),
            default=0,
        )


@dataclasses.dataclass(slots=True)
class Verdict:
    """How many requests were judged, and those that broke a guarantee.

    The latter are counted by rule and node.
    """

    judged_for_configuration: int = 0
    judged_for_draining: int = 0
    broken: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )

    def problems(self) -> list[str]:
        """Return one line for each rule and node."""
        return [
            f"{rule}: {count} requests at {node}"
            for (rule, node), count in sorted(self.broken.items())
        ]


def judge(
    history: histories.History,
    confirmations: Confirmations,
    disturbances: disturbed.Disturbances,
) -> Verdict:
    """Judge all requests that undisturbed nodes handled."""
    verdict = Verdict()
    for record in history.requests.values():
        if record.kind is histories.Kind.VERSIONED and record.status > 0:
            _judge_configuration(
                record, history, confirmations, disturbances, verdict
            )
    _judge_draining(history, confirmations, disturbances, verdict)
    return verdict


def _judge_configuration(
    record: histories.RequestRecord,
    history: histories.History,
    confirmations: Confirmations,
    disturbances: disturbed.Disturbances,
    verdict: Verdict,
) -> None:
    node = record.process.partition("/")[0]
    if not disturbances.undisturbed(node, record.sent_at_s, record.ended_at_s):
        return
    verdict.judged_for_configuration += 1
    due = confirmations.due_configuration(record.sent_at_s)
    if record.status == NO_ROUTE:
        verdict.broken["CONFIG", node] += 1
    elif record.status in SUCCESS_STATUSES:
        upstream = record.signatures[0].rpartition(".")[0]
        service = history.services[upstream]
        if int(service.removeprefix(SERVICE_PREFIX)) < due:
            verdict.broken["CONFIG", node] += 1


def _judge_draining(
    history: histories.History,
    confirmations: Confirmations,
    disturbances: disturbed.Disturbances,
    verdict: Verdict,
) -> None:
    for arrival in history.arrivals:
        record = history.requests.get(arrival.request)
        if record is None or not arrival.ran:
            continue
        node = record.process.partition("/")[0]
        if not disturbances.undisturbed(node, record.sent_at_s, arrival.at_s):
            continue
        verdict.judged_for_draining += 1
        withdrawn_at_s = confirmations.withdrawn_at_s.get(arrival.upstream)
        if withdrawn_at_s is None:
            continue
        late = arrival.at_s > withdrawn_at_s + fixtures.DRAIN_S
        if late and disturbances.store_is_stable(withdrawn_at_s):
            verdict.broken["DRAIN", node] += 1
