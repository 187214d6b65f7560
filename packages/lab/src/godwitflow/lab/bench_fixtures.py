"""Builds real fronts and dispatchers for benchmarks.

The benchmark supplies their connections: fakes, or real links and HTTP.
"""

import random
import typing

from twisted.internet import defer

from godwitflow.daemon import dispatch
from godwitflow.daemon import front as front_module
from godwitflow.daemon import tracing
from godwitflow.model import ids
from godwitflow.model import index as index_model
from godwitflow.policy import catalog
from godwitflow.policy import jobs
from godwitflow.settings import folder
from godwitflow.settings import stored_config
from godwitflow.tier import metrics
from godwitflow.upstream import client
from godwitflow.wire import messages

OWNERS = 9
REPLICAS = 3
SLOTS = 64

Send = typing.Callable[[ids.NodeId, messages.Message], None]

_TEXT = """\
services:
  s:
    index: index/s
    slots: {slots}
    connection_cap: 200
    canary_from_rank: 16
    batch_size: {batch}
    batch_window_ms: {window}
    priorities:
      only: {{rank: 0, target_ms: 1000, deadline_ms: 60000}}
"""


def make_catalog(
    fan_out: int, batch: int, upstreams: tuple[str, ...] = ()
) -> catalog.Catalog:
    """Return a catalog with one service of ``fan_out`` shards.

    Without ``upstreams`` each shard has a replica set of its own; with
    them all shards share one replica set of these upstreams.
    """
    window = 2 if batch > 1 else 0
    text = _TEXT.format(slots=SLOTS, batch=batch, window=window)
    file = folder.File("s.yaml", text.encode())
    head = stored_config.Head(
        ids.Generation(1), "bench", "c", stored_config.file_refs((file,))
    )
    service_catalog = catalog.Catalog()
    service_catalog.apply_object(
        stored_config.file_object_name(file.sha256), 1, file.content
    )
    service_catalog.apply_object(
        stored_config.HEAD_NAME, 2, stored_config.encode_head(head)
    )
    index = _index(fan_out, upstreams)
    service_catalog.apply_object("index/s", 3, index_model.encode(index))
    return service_catalog


def _index(fan_out: int, upstreams: tuple[str, ...]) -> index_model.Index:
    shards = {
        ids.ShardId(f"s{n:04d}"): _replica_set_id(n) for n in range(fan_out)
    }
    if upstreams:
        shards = dict.fromkeys(shards, ids.ReplicaSetId("r0"))
        sets = {ids.ReplicaSetId("r0"): tuple(map(ids.UpstreamId, upstreams))}
    else:
        sets = {
            name: tuple(
                ids.UpstreamId(f"http://{name}-{k}") for k in range(REPLICAS)
            )
            for name in shards.values()
        }
    return index_model.Index(
        ids.ServiceName("s"), ids.SnapshotVersion(1), sets, shards
    )


def _replica_set_id(number: int) -> ids.ReplicaSetId:
    return ids.ReplicaSetId(f"r{number:04d}")


def route(key: str) -> list[ids.NodeId]:
    """Return the only owner of a replica set, chosen by its number."""
    number = int(key.rpartition("r")[2])
    return [ids.NodeId(f"d{number % OWNERS}")]


def new_front(
    reactor: typing.Any,
    now_ms: typing.Callable[[], float],
    service_catalog: catalog.Catalog,
    send: Send,
) -> front_module.Front:
    """Return a front that accepts queries."""
    front = front_module.Front(
        reactor,
        now_ms,
        ids.NodeId("f"),
        service_catalog,
        send,
        route,
        typing.cast(typing.Any, None),
        metrics.Metrics(),
        tracing.Tracing("f", 0.0, ()),
    )
    front.serving = True
    front.is_blocked = _never_blocked
    return front


def _never_blocked(fingerprint: ids.Fingerprint) -> bool:
    return False


def new_dispatch(
    reactor: typing.Any,
    now_ms: typing.Callable[[], float],
    service_catalog: catalog.Catalog,
    upstream: client.Client,
    send: Send,
) -> dispatch.Dispatcher:
    """Return a dispatcher that serves every replica set."""
    return dispatch.Dispatcher(
        reactor,
        now_ms,
        upstream,
        service_catalog,
        send,
        metrics.Metrics(),
        tracing.Tracing("d", 0.0, ()),
    )


class InstantUpstream:
    """A fake upstream client with negligible CPU cost.

    Calls wait until ``answer_all`` answers them.
    """

    def __init__(self) -> None:
        self.random = random.Random(1)
        self.waiting: list[tuple[defer.Deferred, tuple[jobs.Job, ...]]] = []

    async def call(
        self,
        upstream: ids.UpstreamId,
        batch: tuple[jobs.Job, ...],
        timeout_ms: float,
        handle: client.CallHandle,
    ) -> jobs.CallResult:
        """Return the result once ``answer_all`` is called."""
        waiting: defer.Deferred[jobs.CallResult] = defer.Deferred()
        self.waiting.append((waiting, batch))
        return await waiting

    def cancel(
        self, upstream: ids.UpstreamId, batch: tuple[jobs.Job, ...]
    ) -> None:
        """Ignore the cancellation."""

    def answer_all(self) -> None:
        """Answer every pending call."""
        waiting, self.waiting = self.waiting, []
        for result, batch in waiting:
            items = tuple(
                jobs.ItemOk(job.piece_key, job.shard, job.snapshot, b"[1]")
                for job in batch
            )
            result.callback(jobs.CallDone(items))
