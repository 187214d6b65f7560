"""Gives callers the addresses of nodes that accept their requests."""

import typing

from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import address_choice
from godwitflow.tier import peer_protocol

MAX_ADDRESS_TTL_MS = 2_000.0
NO_NODE_RETRY_S = 0.2
MS_PER_S = 1_000.0


class AddressCodec(typing.Protocol):
    """Decodes address requests and encodes the responses."""

    def caller_failure_domain(
        self, request: messages.Request
    ) -> ids.FailureDomain | None:
        """Return the failure domain that the caller states, if any."""
        ...

    def encode_addresses(
        self, addresses: list[str], ttl_s: float
    ) -> messages.Response:
        """Return a response; callers may use the addresses for ``ttl_s``."""
        ...


class Directory:
    """Responds with the addresses of a few ready nodes.

    ``max_age_ms`` limits how long callers may use them.
    """

    def __init__(
        self,
        peers: peer_protocol.PeerProtocol,
        codec: AddressCodec,
        max_age_ms: float,
    ) -> None:
        self.max_age_ms = max_age_ms
        self._peers = peers
        self._codec = codec

    @property
    def address_ttl_ms(self) -> float:
        """How long callers may use the addresses, in milliseconds."""
        return min(MAX_ADDRESS_TTL_MS, self.max_age_ms)

    def handle(self, exchange: callers.Exchange) -> None:
        """Respond to one address request."""
        domain = self._codec.caller_failure_domain(exchange.request)
        chosen = address_choice.choose(
            self._peers.membership.live_members(), domain, exchange.caller_host
        )
        if not chosen:
            exchange.respond(
                messages.text_response(
                    503, "no node is ready", NO_NODE_RETRY_S
                )
            )
            return
        exchange.respond(
            self._codec.encode_addresses(
                chosen, self.address_ttl_ms / MS_PER_S
            )
        )
