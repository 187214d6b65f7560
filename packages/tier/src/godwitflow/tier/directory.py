"""Answers callers that ask which addresses to use."""

import typing

from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import address_choice
from godwitflow.tier import peer_protocol as peering

MAX_ANSWER_TTL_MS = 2_000.0
NO_NODE_RETRY_S = 0.2
MS_PER_S = 1_000.0


class AddressCodec(typing.Protocol):
    """How callers ask, and how they are told."""

    def caller_failure_domain(
        self, request: messages.Request
    ) -> ids.FailureDomain | None:
        """Return the failure domain that the caller says it is in."""
        ...

    def encode_addresses(
        self, addresses: list[str], age_s: float
    ) -> messages.Response:
        """Return the answer with these addresses."""
        ...


class Directory:
    """Names a few ready nodes; ``max_age_ms`` bounds how long they count."""

    def __init__(
        self,
        peers: peering.PeerProtocol,
        address_format: AddressCodec,
        max_age_ms: float,
    ) -> None:
        self.max_age_ms = max_age_ms
        self._peers = peers
        self._codec = address_format

    @property
    def answer_ttl_ms(self) -> float:
        """How long a caller may keep an answer."""
        return min(MAX_ANSWER_TTL_MS, self.max_age_ms)

    def handle(self, exchange: callers.Exchange) -> None:
        """Answer one question."""
        near = self._codec.caller_failure_domain(exchange.request)
        chosen = address_choice.choose(
            self._peers.membership.live_members(), near, exchange.caller_host
        )
        if not chosen:
            exchange.respond(
                messages.text_response(
                    503, "no node is ready", NO_NODE_RETRY_S
                )
            )
            return
        exchange.respond(
            self._codec.encode_addresses(chosen, self.answer_ttl_ms / MS_PER_S)
        )
