"""Answers callers that ask which addresses to use."""

import typing

from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import addresses
from godwitflow.tier import peers as peering

ADDRESS_AGE_MS = 2_000.0
NONE_READY_RETRY_S = 0.2
MS_PER_S = 1_000.0


class AddressFormat(typing.Protocol):
    """How callers ask, and how they are told."""

    def near(self, request: messages.Request) -> ids.FailureDomain | None:
        """Return the failure domain that the caller says it is in."""
        ...

    def answer(self, addresses: list[str], age_s: float) -> messages.Response:
        """Return the answer with these addresses."""
        ...


class Directory:
    """Names a few ready nodes; ``max_age_ms`` bounds how long they count."""

    def __init__(
        self,
        peers: peering.Peers,
        address_format: AddressFormat,
        max_age_ms: float,
    ) -> None:
        self.max_age_ms = max_age_ms
        self._peers = peers
        self._format = address_format

    @property
    def age_ms(self) -> float:
        """How long a caller may keep an answer."""
        return min(ADDRESS_AGE_MS, self.max_age_ms)

    def handle(self, exchange: callers.Exchange) -> None:
        """Answer one question."""
        near = self._format.near(exchange.request)
        chosen = addresses.choose(
            self._peers.table.alive(), near, exchange.caller_host
        )
        if not chosen:
            exchange.answer(
                messages.own_response(
                    503, "no node is ready", NONE_READY_RETRY_S
                )
            )
            return
        exchange.answer(self._format.answer(chosen, self.age_ms / MS_PER_S))
