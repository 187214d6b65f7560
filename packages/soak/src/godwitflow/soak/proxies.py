"""Loopback proxies that inject faults into connections."""

import enum
import typing

from twisted.internet import protocol

DELAY_S = 0.15


class Mode(enum.Enum):
    """What a proxy does with data and connections.

    The values appear in the reports of runs.
    """

    PASS = "pass"
    DELAY = "delay"
    DROP_FROM_CLIENT = "deaf"
    DROP_FROM_TARGET = "mute"
    DROP_BOTH = "silent"
    RESET = "reset"


class Proxy(protocol.ServerFactory):
    """Listens on a free port and forwards connections to a target.

    The ``DROP`` modes discard data sent by the client, by the target or
    by both; connections stay open. ``DELAY`` forwards data after
    ``DELAY_S``. ``RESET`` aborts open and new connections.
    """

    noisy = False

    def __init__(self, reactor: typing.Any, target: str) -> None:
        self.reactor = reactor
        self.target = target
        self.mode = Mode.PASS
        self.sides: set[_Side] = set()

    def listen(self, host: str) -> str:
        """Listen on a free port; return the address."""
        port = self.reactor.listenTCP(0, self, interface=host)
        return f"{host}:{port.getHost().port}"

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        """Return the client's side of a new connection."""
        return _ClientSide(self)

    def set_mode(self, mode: Mode) -> None:
        """Set the mode of all current and future connections."""
        self.mode = mode
        if mode is Mode.RESET:
            self.reset()

    def silence_open_connections(self) -> None:
        """Discard the data of the open connections, but not of new ones.

        They stay open, and the kernel still answers keep-alive probes.
        """
        for side in self.sides:
            side.silent = True

    def reset(self) -> None:
        """Abort every open connection."""
        for side in list(self.sides):
            side.transport.abortConnection()


class _Side(protocol.Protocol):
    """One of the two connections that a proxy joins."""

    transport: typing.Any
    dropping_modes: frozenset[Mode] = frozenset()

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.peer: _Side | None = None
        self.silent = False
        self._buffered: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        self.proxy.sides.add(self)

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = protocol.connectionDone
    ) -> None:
        self.proxy.sides.discard(self)
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.silent or self.proxy.mode in self.dropping_modes:
            return
        if self.peer is None:
            self._buffered.append(data)
        elif self.proxy.mode is Mode.DELAY:
            self.proxy.reactor.callLater(DELAY_S, self._forward, data)
        else:
            self._forward(data)

    def _forward(self, data: bytes) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.write(data)

    def connect_to(self, peer: "_Side") -> None:
        """Forward to the other side, buffered data first."""
        self.peer = peer
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            self._forward(data)


class _ClientSide(_Side):
    dropping_modes = frozenset((Mode.DROP_FROM_CLIENT, Mode.DROP_BOTH))

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        if self.proxy.mode is Mode.RESET:
            self.transport.abortConnection()
            return
        host, _, port = self.proxy.target.rpartition(":")
        self.proxy.reactor.connectTCP(
            host, int(port), _TargetFactory(self), 2.0
        )


class _TargetSide(_Side):
    dropping_modes = frozenset((Mode.DROP_FROM_TARGET, Mode.DROP_BOTH))

    def __init__(self, proxy: Proxy, client: _ClientSide) -> None:
        super().__init__(proxy)
        self.client = client

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.connect_to(self.client)
        self.client.connect_to(self)


class _TargetFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, client: _ClientSide) -> None:
        self.client = client

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        return _TargetSide(self.client.proxy, self.client)

    def clientConnectionFailed(  # noqa: N802
        self, connector: typing.Any, reason: typing.Any
    ) -> None:
        self.client.transport.abortConnection()
