"""A minimal upstream for the benchmark, in a separate process."""

import sys
import typing

import msgspec
from twisted.internet import reactor as installed_reactor
from twisted.web import resource
from twisted.web import server

reactor: typing.Any = installed_reactor


class _Item(msgspec.Struct):
    id: str
    shard: str
    snapshot: int


class _Batch(msgspec.Struct):
    items: list[_Item]


_decoder = msgspec.json.Decoder(_Batch)
_encoder = msgspec.json.Encoder()


class Echo(resource.Resource):
    """Answers each item of a batch immediately."""

    isLeaf = True

    def render(self, request: typing.Any) -> bytes:
        """Answer one batch call; other paths get an empty object."""
        if request.path != b"/batch":
            return b"{}"
        batch = _decoder.decode(request.content.read())
        rows = [
            {
                "id": item.id,
                "status": "ok",
                "shard": item.shard,
                "snapshot": item.snapshot,
                "rows": [1],
            }
            for item in batch.items
        ]
        return _encoder.encode({"items": rows})


def main(port: int) -> None:
    """Serve on loopback until the process is terminated."""
    site = server.Site(Echo())
    reactor.listenTCP(port, site, interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main(int(sys.argv[1]))
