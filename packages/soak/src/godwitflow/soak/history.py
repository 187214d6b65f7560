"""Records requests as callers and upstreams saw them, and checks them."""

import collections
import dataclasses
import enum
import math

from godwitflow.standins import fake_upstream
from godwitflow.standins import fixtures

NOT_RUN_STATUSES = (408, 421, 429, 503)
PAUSE_SLACK_S = 0.5
REGRESSION_SLACK_S = 0.25


class Kind(enum.Enum):
    """The kind of a request; the value is its route's name.

    ``NON_IDEMPOTENT`` requests may run only once. Each new configuration
    routes ``VERSIONED`` requests to a new service.
    """

    IDEMPOTENT = "one"
    NON_IDEMPOTENT = "once"
    GATHER = "all"
    VERSIONED = "turn"


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """One request of a caller and its outcome.

    ``request`` is its id, ``customer`` who asks. ``process`` is the name of
    the node process that it was sent to. ``status`` is -1 while it runs, and
    0 if no complete response came.
    """

    request: str
    kind: Kind
    method: str
    target: str
    body: bytes
    process: str
    sent_at_s: float
    configuration_number: int
    status: int = -1
    ended_at_s: float = 0.0
    signatures: tuple[str, ...] = ()
    missing_parts: int = 0
    response_body: bytes = b""
    customer: str | None = None


class History:
    """Records what callers sent and upstreams received, for checking.

    ``requests`` are keyed by request id. ``services`` maps the name of
    each upstream to its service. ``notices`` are what upstreams said of
    themselves in responses.
    """

    def __init__(self, shards: list[str]) -> None:
        self.shards = shards
        self.requests: dict[str, RequestRecord] = {}
        self.arrivals: list[fake_upstream.Arrival] = []
        self.services: dict[str, str] = {}
        self.notices: list[fake_upstream.Notice] = []

    def record_arrival(self, arrival: fake_upstream.Arrival) -> None:
        """Record a request that reached an upstream."""
        self.arrivals.append(arrival)

    def late_after_leaving(self, upstream: str, drain_s: float) -> int:
        """Return how many requests ran too late at one that leaves.

        Each process has to send it no request that it got later than
        ``drain_s`` after the first response which said so.
        """
        heard_at_s: dict[str, float] = {}
        for notice in self.notices:
            if notice.upstream == upstream and notice.pause_s is None:
                process = self.requests[notice.request].process
                heard_at_s.setdefault(process, notice.at_s)
        late = 0
        for arrival in self.arrivals:
            record = self.requests[arrival.request]
            heard_s = heard_at_s.get(record.process, math.inf)
            if arrival.upstream == upstream and arrival.ran:
                late += record.sent_at_s > heard_s + drain_s
        return late

    def most_calls_in_a_pause(self, upstream: str, from_s: float) -> int:
        """Return the most requests of one process in a time without calls.

        The time begins ``PAUSE_SLACK_S`` after the response that names it.
        """
        calls = [
            (self.requests[arrival.request].process, arrival.at_s)
            for arrival in self.arrivals
            if arrival.upstream == upstream
        ]
        most = 0
        for notice in self.notices:
            if notice.upstream != upstream or notice.at_s < from_s:
                continue
            process = self.requests[notice.request].process
            start_s = notice.at_s + PAUSE_SLACK_S
            end_s = notice.at_s + (notice.pause_s or 0.0)
            inside = [
                caller == process and start_s < at_s < end_s
                for caller, at_s in calls
            ]
            most = max(most, sum(inside))
        return most

    def most_calls_after_a_refusal(self, upstream: str, from_s: float) -> int:
        """Return the most requests in a time without calls that was heard.

        Counted are those that were sent to a process after it had passed
        on the refusal, whatever the load of the machine.
        """
        most = 0
        for notice in self.notices:
            refused = self.requests[notice.request]
            if (
                notice.upstream != upstream
                or notice.at_s < from_s
                or refused.status != fake_upstream.REJECTED
                or refused.kind is Kind.GATHER
            ):
                continue
            end_s = notice.at_s + (notice.pause_s or 0.0)
            most = max(most, self._calls_between(upstream, refused, end_s))
        return most

    def _calls_between(
        self, upstream: str, refused: RequestRecord, end_s: float
    ) -> int:
        """Return how many later requests of a process arrived by a time."""
        later = [
            arrival
            for arrival in self.arrivals
            if arrival.upstream == upstream
            and arrival.at_s < end_s
            and self.requests[arrival.request].process == refused.process
            and self.requests[arrival.request].sent_at_s > refused.ended_at_s
        ]
        return len(later)

    def most_arrivals(
        self, upstream: str, window_s: float, from_s: float
    ) -> int:
        """Return the most requests that reached an upstream in a window.

        Only those that arrived after ``from_s`` are counted.
        """
        times = [
            arrival.at_s
            for arrival in self.arrivals
            if arrival.upstream == upstream and arrival.at_s > from_s
        ]
        return max(
            (
                sum(start_s <= at_s <= start_s + window_s for at_s in times)
                for start_s in times
            ),
            default=0,
        )

    def check(self) -> list[str]:
        """Return one line for each violation of a guarantee."""
        runs: dict[str, list[fake_upstream.Arrival]] = collections.defaultdict(
            list
        )
        problems: list[str] = []
        for arrival in self.arrivals:
            record = self.requests.get(arrival.request)
            if record is None:
                problems.append(f"unasked: {arrival}")
            elif not _is_unchanged(record, arrival):
                problems.append(f"changed: {record} became {arrival}")
            if arrival.ran:
                runs[arrival.request].append(arrival)
        for record in self.requests.values():
            problems += self._check_request(record, runs[record.request])
        problems += self._check_leaving()
        return problems + self._check_configuration_order()

    def _check_leaving(self) -> list[str]:
        """Check that no upstream that leaves got requests too late.

        A process may pass requests on to it that it got up to
        ``fixtures.DRAIN_S`` after it had passed on a response that says so.
        """
        heard_at_s: dict[tuple[str, str], float] = {}
        for notice in self.notices:
            record = self.requests[notice.request]
            if notice.pause_s is None and _is_signed_by(
                record, notice.upstream
            ):
                key = (notice.upstream, record.process)
                earlier_s = heard_at_s.get(key, math.inf)
                heard_at_s[key] = min(earlier_s, record.ended_at_s)
        problems = []
        for arrival in self.arrivals:
            late = self.requests.get(arrival.request)
            if late is None or not arrival.ran:
                continue
            heard_s = heard_at_s.get((arrival.upstream, late.process))
            if heard_s is None or late.sent_at_s <= heard_s + fixtures.DRAIN_S:
                continue
            problems.append(f"leaving: {late.request} at {arrival.upstream}")
        return problems

    def _check_request(
        self, record: RequestRecord, runs: list[fake_upstream.Arrival]
    ) -> list[str]:
        problems = []
        if record.kind is Kind.NON_IDEMPOTENT and len(runs) > 1:
            problems.append(f"twice: {record.request} ran {len(runs)} times")
        if record.status in NOT_RUN_STATUSES and runs:
            problems.append(
                f"refused: {record.request} ran, got {record.status}"
            )
        if record.status in (401, 404):
            problems.append(f"denied: {record.request} to {record.target}")
        if 200 <= record.status < 300:
            problems += self._check_response(record)
        return problems

    def _check_response(self, record: RequestRecord) -> list[str]:
        signed = [
            fake_upstream.parse_signature(text) for text in record.signatures
        ]
        if not signed:
            return [f"mixed: {record.request} has no signature"]
        if any(request != record.request for _, request in signed):
            return [
                f"mixed: {record.request} has signatures {record.signatures}"
            ]
        services = [self.services.get(name, "") for name, _ in signed]
        if record.kind is Kind.GATHER:
            return self._check_gathered(record, services)
        if record.response_body != fake_upstream.response_body(
            services[0], record.request
        ):
            return [f"mixed: {record.request} got a wrong body"]
        return []

    def _check_gathered(
        self, record: RequestRecord, services: list[str]
    ) -> list[str]:
        if len(set(services)) != len(services):
            return [f"mixed: {record.request} got a shard twice"]
        if len(services) + record.missing_parts != len(self.shards):
            return [f"mixed: {record.request} got a wrong number of parts"]
        records = [
            shard_record
            for service in services
            for shard_record in fake_upstream.shard_records(
                service, record.request
            )
        ]
        greatest = b"".join(sorted(records, reverse=True)[:5])
        if record.response_body != greatest:
            return [f"mixed: {record.request} got a body of other parts"]
        return []

    def _check_configuration_order(self) -> list[str]:
        """Check that no process goes back to an older configuration.

        The service of the ``VERSIONED`` route is named after the number of
        the configuration that introduced it. A request that is sent within
        ``REGRESSION_SLACK_S`` of the newer response may still get the older
        configuration.
        """
        problems = []
        newest_by_process: dict[str, tuple[int, float]] = {}
        versioned = [
            record
            for record in self.requests.values()
            if record.kind is Kind.VERSIONED
        ]
        for record in sorted(versioned, key=lambda record: record.ended_at_s):
            if not 200 <= record.status < 300:
                continue
            name, _ = fake_upstream.parse_signature(record.signatures[0])
            number = int(self.services.get(name, "turn-0").rpartition("-")[2])
            newest_number, seen_at_s = newest_by_process.get(
                record.process, (0, 0.0)
            )
            is_later = record.sent_at_s > seen_at_s + REGRESSION_SLACK_S
            if number < newest_number and is_later:
                problems.append(
                    f"regressed: {record.process} from {newest_number}"
                    f" to {number}"
                )
            if number > newest_number:
                newest_by_process[record.process] = (number, record.ended_at_s)
        return problems


def _is_signed_by(record: RequestRecord, upstream: str) -> bool:
    return any(
        fake_upstream.parse_signature(text)[0] == upstream
        for text in record.signatures
    )


def _is_unchanged(
    record: RequestRecord, arrival: fake_upstream.Arrival
) -> bool:
    received = (
        arrival.method,
        arrival.target,
        arrival.body,
        arrival.customer,
        arrival.credentials,
    )
    return received == (
        record.method,
        record.target,
        record.body,
        record.customer,
        None,
    )
