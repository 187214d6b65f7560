"""What callers and upstreams saw, and the promises checked against it."""

import collections
import dataclasses
import enum

from godwitflow.standins import fake_upstream

NOT_RUN = (408, 421, 429, 503)
REGRESSION_SLACK_S = 0.25


class Kind(enum.Enum):
    """What a caller asks for, and whether it may run more than once."""

    ONE = "one"
    ONCE = "once"
    ALL = "all"
    TURN = "turn"


@dataclasses.dataclass(slots=True)
class Sent:
    """One request of a caller and what became of it.

    ``status`` is 0 where the connection ended without an answer.
    ``life`` names the process that took the request.
    """

    request: str
    kind: Kind
    method: str
    target: str
    body: bytes
    life: str
    sent_at_s: float
    turn: int
    status: int = -1
    ended_at_s: float = 0.0
    signatures: tuple[str, ...] = ()
    missing: int = 0
    answer: bytes = b""


class Ledger:
    """Collects both sides; ``check`` names every broken promise."""

    def __init__(self, shards: list[str]) -> None:
        self.shards = shards
        self.sent: dict[str, Sent] = {}
        self.arrivals: list[fake_upstream.Arrival] = []
        self.services: dict[str, str] = {}

    def note_arrival(self, arrival: fake_upstream.Arrival) -> None:
        """Take what an upstream saw."""
        self.arrivals.append(arrival)

    def check(self) -> list[str]:
        """Return the broken promises, one line each."""
        runs: dict[str, list[fake_upstream.Arrival]] = collections.defaultdict(
            list
        )
        problems: list[str] = []
        for arrival in self.arrivals:
            sent = self.sent.get(arrival.request)
            if sent is None:
                problems.append(f"unasked: {arrival}")
            elif not _unchanged(sent, arrival):
                problems.append(f"changed: {sent} became {arrival}")
            if arrival.ran:
                runs[arrival.request].append(arrival)
        for sent in self.sent.values():
            problems += self._check_sent(sent, runs[sent.request])
        return problems + self._check_turns()

    def _check_sent(
        self, sent: Sent, runs: list[fake_upstream.Arrival]
    ) -> list[str]:
        found = []
        if sent.kind is Kind.ONCE and len(runs) > 1:
            found.append(f"twice: {sent.request} ran {len(runs)} times")
        if sent.status in NOT_RUN and runs:
            found.append(f"refused: {sent.request} ran, got {sent.status}")
        if sent.status == 404:
            found.append(f"denied: {sent.request} to {sent.target}")
        if 200 <= sent.status < 300:
            found += self._check_success(sent)
        return found

    def _check_success(self, sent: Sent) -> list[str]:
        signed = [
            fake_upstream.parse_signature(text) for text in sent.signatures
        ]
        if not signed:
            return [f"mixed: {sent.request} has no signature"]
        if any(request != sent.request for _, request in signed):
            return [f"mixed: {sent.request} is signed {sent.signatures}"]
        services = [self.services.get(name, "") for name, _ in signed]
        if sent.kind is Kind.ALL:
            return self._check_parts(sent, services)
        if sent.answer != fake_upstream.response_body(
            services[0], sent.request
        ):
            return [f"mixed: {sent.request} got another body"]
        return []

    def _check_parts(self, sent: Sent, services: list[str]) -> list[str]:
        if len(set(services)) != len(services):
            return [f"mixed: {sent.request} has a shard twice"]
        if len(services) + sent.missing != len(self.shards):
            return [f"mixed: {sent.request} counts its parts wrongly"]
        found = [
            record
            for service in services
            for record in fake_upstream.shard_records(service, sent.request)
        ]
        greatest = b"".join(sorted(found, reverse=True)[:5])
        if sent.answer != greatest:
            return [f"mixed: {sent.request} is not of the parts it names"]
        return []

    def _check_turns(self) -> list[str]:
        """Check that no process goes back to an older configuration.

        The target of the turning route is named after the version that
        brought it.
        """
        found = []
        newest: dict[str, tuple[int, float]] = {}
        turns = [row for row in self.sent.values() if row.kind is Kind.TURN]
        for sent in sorted(turns, key=lambda row: row.ended_at_s):
            if not 200 <= sent.status < 300:
                continue
            name, _ = fake_upstream.parse_signature(sent.signatures[0])
            turn = int(self.services.get(name, "turn-0").rpartition("-")[2])
            best, seen_at_s = newest.get(sent.life, (0, 0.0))
            late = sent.sent_at_s > seen_at_s + REGRESSION_SLACK_S
            if turn < best and late:
                found.append(f"regressed: {sent.life} from {best} to {turn}")
            if turn > best:
                newest[sent.life] = (turn, sent.ended_at_s)
        return found


def _unchanged(sent: Sent, arrival: fake_upstream.Arrival) -> bool:
    seen = (arrival.method, arrival.target, arrival.body)
    return seen == (sent.method, sent.target, sent.body)
