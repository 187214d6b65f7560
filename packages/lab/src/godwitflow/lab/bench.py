"""Benchmarks the CPU time per piece: front, hop, dispatcher, end to end."""

import gc
import os
import sys
import time
import typing

import msgspec
import treq
from treq import client as treq_client
from twisted.internet import defer
from twisted.internet import task
from twisted.web import client as web_client
import zmq

from godwitflow.lab import bench_fixtures
from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.model import queries
from godwitflow.upstream import http
from godwitflow.wire import codec
from godwitflow.wire import links
from godwitflow.wire import messages

FAN_OUTS = (25, 75, 300, 1_300)
BATCHES = (1, 8, 32)
PIECES = 26_000
BARE_CALLS = 3_000
END_TO_END_PIECES = 6_000
IN_FLIGHT = 16
US_PER_S = 1e6
# For front, hop and dispatcher together, per piece at a fan-out of 25.
OWN_TARGET_US = 60.0
# Of the cost of a bare call, per piece with batches of 32.
BATCH_TARGET_SHARE = 0.15

QUERY = queries.decode(b'{"service": "s", "payload": {"seat": "B12"}}')


class Row(msgspec.Struct):
    """One figure: microseconds of CPU time per piece."""

    stage: str
    fan_out: int
    batch: int
    us: float


def front_cost(fan_out: int) -> float:
    """Return the front's microseconds per piece.

    It covers admission, scattering, gathering and answering.
    """
    clock = task.Clock()
    sent: list[messages.Scatter] = []

    def send(node: ids.NodeId, message: messages.Message) -> None:
        if isinstance(message, messages.Scatter):
            sent.append(message)

    catalog = bench_fixtures.make_catalog(fan_out, 1)
    front = bench_fixtures.new_front(clock, lambda: 0.0, catalog, send)
    count = max(2, PIECES // fan_out)
    spent_s = 0.0
    for _ in range(count):
        started_s = time.process_time()
        answer = defer.ensureDeferred(front.query(QUERY))
        spent_s += time.process_time() - started_s
        pieces = [_ok_piece(ref) for scatter in sent for ref in scatter.pieces]
        sent.clear()
        started_s = time.process_time()
        for piece in pieces:
            front.on_piece(piece)
        spent_s += time.process_time() - started_s
        assert answer.called
    return spent_s * US_PER_S / (count * fan_out)


def _ok_piece(ref: messages.PieceRef) -> messages.Piece:
    return messages.Piece(
        ref.piece_id,
        ref.shard,
        ids.SnapshotVersion(1),
        messages.PieceStatus.OK,
        answers.RunStatus.RAN,
        b"[1]",
        0.1,
        9.5,
        1,
    )


def _scatters(fan_out: int, first: int) -> list[messages.Scatter]:
    """Return a query's scatter messages, one per owner."""
    refs = [
        messages.PieceRef(
            ids.PieceId(first + number),
            ids.ShardId(f"s{number:04d}"),
            ids.ReplicaSetId(f"r{number:04d}"),
        )
        for number in range(fan_out)
    ]
    return [
        messages.Scatter(
            f"{first:016x}",
            ids.ServiceName("s"),
            ids.SnapshotVersion(1),
            ids.Rank(0),
            first,
            60_000.0,
            True,
            False,
            ids.Fingerprint(first),
            b'{"seat":"B12"}',
            tuple(refs[owner :: bench_fixtures.OWNERS]),
        )
        for owner in range(bench_fixtures.OWNERS)
    ]


def dispatcher_cost(fan_out: int, batch: int) -> float:
    """Return the dispatcher's microseconds per piece.

    It covers queueing, replica choice, call results and replies.
    """
    clock = task.Clock()
    upstream = bench_fixtures.InstantUpstream()
    replies: list[messages.Message] = []

    def send(node: ids.NodeId, message: messages.Message) -> None:
        replies.append(message)

    upstreams = ("http://u0", "http://u1", "http://u2") if batch > 1 else ()
    catalog = bench_fixtures.make_catalog(fan_out, batch, upstreams)
    dispatch = bench_fixtures.new_dispatch(
        clock, lambda: clock.seconds() * 1e3, catalog, upstream, send
    )
    count = max(2, PIECES // fan_out)
    spent_s = 0.0
    for number in range(count):
        scatters = _scatters(fan_out, number * fan_out)
        if batch > 1:
            scatters = [_with_one_replica_set(scatter) for scatter in scatters]
        started_s = time.process_time()
        for scatter in scatters:
            dispatch.on_scatter(ids.NodeId("f"), scatter)
        while len(replies) < fan_out:
            clock.advance(0.003)
            upstream.answer_all()
        spent_s += time.process_time() - started_s
        replies.clear()
    dispatch.stop()
    return spent_s * US_PER_S / (count * fan_out)


def _with_one_replica_set(scatter: messages.Scatter) -> messages.Scatter:
    refs = tuple(
        messages.PieceRef(ref.piece_id, ref.shard, ids.ReplicaSetId("r0"))
        for ref in scatter.pieces
    )
    fields = {
        name: getattr(scatter, name) for name in scatter.__struct_fields__
    }
    return messages.Scatter(**{**fields, "pieces": refs})


class _LinkPair:
    """Both ends of a link in one process.

    The front's end sends scatters, the dispatcher's end replies with a
    piece for each reference.
    """

    def __init__(self, reactor: typing.Any, context: zmq.Context) -> None:
        self.pieces = 0
        self.done: defer.Deferred | None = None
        self.expected = 0
        address = "tcp://127.0.0.1:0"
        self.front_links = links.Links(
            reactor, context, ids.NodeId("f"), 1, address, self._on_pieces
        )
        self.dispatcher_links = links.Links(
            reactor, context, ids.NodeId("d"), 1, address, self._on_scatters
        )

    def _on_scatters(
        self, header: codec.Header, batch: list[messages.Message]
    ) -> None:
        for message in batch:
            assert isinstance(message, messages.Scatter)
            for ref in message.pieces:
                self.dispatcher_links.send(
                    header.inner_address, _ok_piece(ref)
                )

    def _on_pieces(
        self, header: codec.Header, batch: list[messages.Message]
    ) -> None:
        self.pieces += len(batch)
        if self.pieces >= self.expected and self.done is not None:
            done, self.done = self.done, None
            done.callback(None)

    async def send(self, scatters: list[messages.Scatter]) -> None:
        """Send one query's scatter and wait for all its pieces."""
        self.pieces = 0
        self.expected = sum(len(item.pieces) for item in scatters)
        self.done = defer.Deferred()
        for scatter in scatters:
            self.front_links.send(
                self.dispatcher_links.receive_socket.address, scatter
            )
        await self.done


async def hop_cost(reactor: typing.Any, fan_out: int) -> float:
    """Return the microseconds per piece of a round trip over ZeroMQ.

    Encoding and decoding are included.
    """
    context = zmq.Context()
    link_pair = _LinkPair(reactor, context)
    count = max(2, PIECES // fan_out)
    batches = [_scatters(fan_out, n * fan_out) for n in range(count)]
    await link_pair.send(batches[0])
    started_s = time.process_time()
    for scatters in batches:
        await link_pair.send(scatters)
    spent_s = time.process_time() - started_s
    link_pair.front_links.close()
    link_pair.dispatcher_links.close()
    context.destroy(linger=0)
    return spent_s * US_PER_S / (count * fan_out)


async def bare_cost(reactor: typing.Any, url: str) -> float:
    """Return the microseconds per call of plain treq on a pool.

    This is the baseline for ``end_to_end_cost``.
    """
    pool = web_client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = IN_FLIGHT
    agent = web_client.Agent(reactor, pool=pool)
    http_client = treq_client.HTTPClient(typing.cast(typing.Any, agent))
    body = b'{"items":[{"id":"1","shard":"s0","snapshot":1}]}'

    async def loop(count: int) -> None:
        for _ in range(count):
            response = await http_client.post(f"{url}/batch", data=body)
            await treq.content(response)

    async def run(count: int) -> None:
        calls_each = count // IN_FLIGHT
        loops = [
            defer.ensureDeferred(loop(calls_each)) for _ in range(IN_FLIGHT)
        ]
        await defer.gatherResults(loops)

    await run(IN_FLIGHT * 4)
    started_s = time.process_time()
    await run(BARE_CALLS)
    spent_s = time.process_time() - started_s
    await pool.closeCachedConnections()
    return spent_s * US_PER_S / BARE_CALLS


async def end_to_end_cost(
    reactor: typing.Any, url: str, fan_out: int, batch: int
) -> float:
    """Return the microseconds per piece end to end, with HTTP calls."""
    catalog = bench_fixtures.make_catalog(fan_out, batch, (url,))
    upstream = http.HttpClient(reactor, _now_ms)
    upstream.connection_caps = {ids.ServiceName("s"): bench_fixtures.SLOTS}
    context = zmq.Context()
    address = "tcp://127.0.0.1:0"

    def on_pieces(header: codec.Header, batch: list[messages.Message]) -> None:
        for message in batch:
            if isinstance(message, messages.Piece):
                front.on_piece(message)

    def on_scatters(
        header: codec.Header, batch: list[messages.Message]
    ) -> None:
        for message in batch:
            match message:
                case messages.Scatter():
                    dispatch.on_scatter(header.sender, message)
                case messages.CancelPieces():
                    dispatch.on_cancel(header.sender, message)

    front_links = links.Links(
        reactor, context, ids.NodeId("f"), 1, address, on_pieces
    )
    dispatcher_links = links.Links(
        reactor, context, ids.NodeId("d"), 1, address, on_scatters
    )
    front = bench_fixtures.new_front(
        reactor,
        _now_ms,
        catalog,
        lambda node, message: front_links.send(
            dispatcher_links.receive_socket.address, message
        ),
    )
    dispatch = bench_fixtures.new_dispatch(
        reactor,
        _now_ms,
        catalog,
        upstream,
        lambda node, message: dispatcher_links.send(
            front_links.receive_socket.address, message
        ),
    )

    async def loop(count: int) -> None:
        for _ in range(count):
            result = await front.query(QUERY)
            assert isinstance(result, answers.Answer), result

    async def run(pieces: int) -> int:
        workers = max(1, min(4, pieces // fan_out))
        queries_each = max(1, pieces // fan_out // workers)
        loops = [
            defer.ensureDeferred(loop(queries_each)) for _ in range(workers)
        ]
        await defer.gatherResults(loops)
        return queries_each * workers * fan_out

    await run(fan_out)
    started_s = time.process_time()
    piece_count = await run(END_TO_END_PIECES)
    spent_s = time.process_time() - started_s
    dispatch.stop()
    front_links.close()
    dispatcher_links.close()
    await upstream.close()
    context.destroy(linger=0)
    return spent_s * US_PER_S / piece_count


def _now_ms() -> float:
    return time.monotonic() * 1e3


async def run(reactor: typing.Any, url: str) -> list[Row]:
    """Run all benchmarks against the server at ``url``."""
    rows = [Row("bare", 1, 1, await bare_cost(reactor, url))]
    for fan_out in FAN_OUTS:
        rows.append(Row("front", fan_out, 1, front_cost(fan_out)))
        rows.append(Row("hop", fan_out, 1, await hop_cost(reactor, fan_out)))
        for batch in BATCHES:
            cost_us = dispatcher_cost(fan_out, batch)
            rows.append(Row("dispatcher", fan_out, batch, cost_us))
    for batch in BATCHES:
        cost_us = await end_to_end_cost(reactor, url, 300, batch)
        rows.append(Row("whole", 300, batch, cost_us))
    return rows


def _print_table(rows: list[Row]) -> None:
    print("stage       fan_out batch  us/piece")
    for row in rows:
        print(f"{row.stage:11} {row.fan_out:7} {row.batch:5} {row.us:9.1f}")
    by_key = {(row.stage, row.fan_out, row.batch): row.us for row in rows}
    own_us = {
        fan_out: sum(
            by_key[(stage, fan_out, 1)]
            for stage in ("front", "hop", "dispatcher")
        )
        for fan_out in FAN_OUTS
    }
    for fan_out, cost_us in own_us.items():
        print(f"own share at fan-out {fan_out}: {cost_us:.1f} us per piece")
    _print_verdict("own share at 25", own_us[25], OWN_TARGET_US)
    _print_verdict(
        "own share at 1,300 below that at 25", own_us[1_300], own_us[25]
    )
    bare_us = by_key[("bare", 1, 1)]
    share = by_key[("whole", 300, 32)] / bare_us
    _print_verdict(
        "whole with batches of 32 / bare", share, BATCH_TARGET_SHARE
    )


def _print_verdict(text: str, value: float, bound: float) -> None:
    label = "holds " if value <= bound else "MISSED"
    print(f"{label} {text}: {value:.3g} (bound {bound:.3g})")


def main() -> None:
    """Run ``bench URL`` against the ``bench_server`` at that URL.

    Prints a table, or JSON lines if the variable ``JSON`` is set.
    """
    url = sys.argv[1]
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)

    async def start(reactor: typing.Any) -> None:
        rows = await run(reactor, url)
        if os.environ.get("JSON"):
            for row in rows:
                print(msgspec.json.encode(row).decode())
        else:
            _print_table(rows)

    def begin(reactor: typing.Any) -> typing.Any:
        return defer.ensureDeferred(start(reactor))

    task.react(begin)


if __name__ == "__main__":
    main()
