"""Loopback proxies that harm the connections which pass through them."""

import enum
import typing

from twisted.internet import protocol

DELAY_S = 0.15


class Mode(enum.Enum):
    """What a proxy does with bytes and connections."""

    PASS = "pass"
    DELAY = "delay"
    DEAF = "deaf"
    MUTE = "mute"
    SILENT = "silent"
    RESET = "reset"


class Proxy(protocol.ServerFactory):
    """Listens on a free port and passes connections on to a target.

    ``DEAF`` loses what clients send, ``MUTE`` what the target sends, and
    ``SILENT`` both; connections stay open. ``RESET`` breaks off those
    that are open and those that come.
    """

    noisy = False

    def __init__(self, reactor: typing.Any, target: str) -> None:
        self.reactor = reactor
        self.target = target
        self.mode = Mode.PASS
        self.sides: set[_Side] = set()

    def listen(self, host: str) -> str:
        """Serve on a free port; return the address."""
        port = self.reactor.listenTCP(0, self, interface=host)
        return f"{host}:{port.getHost().port}"

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        """Return the client's side of a new connection."""
        return _ClientSide(self)

    def set_mode(self, mode: Mode) -> None:
        """Change what happens to all connections from now on."""
        self.mode = mode
        if mode is Mode.RESET:
            self.reset()

    def reset(self) -> None:
        """Break off every open connection."""
        for side in list(self.sides):
            side.transport.abortConnection()


class _Side(protocol.Protocol):
    """One end of a connection that is passed on."""

    transport: typing.Any
    lost_in: frozenset[Mode] = frozenset()

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.other: _Side | None = None
        self._early: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        self.proxy.sides.add(self)

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = protocol.connectionDone
    ) -> None:
        self.proxy.sides.discard(self)
        if self.other is not None and self.other.transport is not None:
            self.other.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.proxy.mode in self.lost_in:
            return
        if self.other is None:
            self._early.append(data)
        elif self.proxy.mode is Mode.DELAY:
            self.proxy.reactor.callLater(DELAY_S, self._pass_on, data)
        else:
            self._pass_on(data)

    def _pass_on(self, data: bytes) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def join(self, other: "_Side") -> None:
        """Pass on to the other side, beginning with what came early."""
        self.other = other
        early, self._early = self._early, []
        for data in early:
            self._pass_on(data)


class _ClientSide(_Side):
    lost_in = frozenset((Mode.DEAF, Mode.SILENT))

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        if self.proxy.mode is Mode.RESET:
            self.transport.abortConnection()
            return
        host, _, port = self.proxy.target.rpartition(":")
        self.proxy.reactor.connectTCP(host, int(port), _ToTarget(self), 2.0)


class _TargetSide(_Side):
    lost_in = frozenset((Mode.MUTE, Mode.SILENT))

    def __init__(self, proxy: Proxy, client: _ClientSide) -> None:
        super().__init__(proxy)
        self.client = client

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.join(self.client)
        self.client.join(self)


class _ToTarget(protocol.ClientFactory):
    noisy = False

    def __init__(self, client: _ClientSide) -> None:
        self.client = client

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        return _TargetSide(self.client.proxy, self.client)

    def clientConnectionFailed(  # noqa: N802
        self, connector: typing.Any, reason: typing.Any
    ) -> None:
        self.client.transport.abortConnection()
