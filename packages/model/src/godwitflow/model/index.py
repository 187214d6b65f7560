"""The index object: shard map, snapshot version and replicas.

The object is JSON. A replica set is a group of upstreams that hold the
same shards; an upstream is in exactly one set, so one dispatcher can own
all connections to it.

    {"service": "seats", "snapshot": 7,
     "replica_sets": {"r0": ["http://10.0.0.7:9000"]},
     "shards": {"s00": "r0"}, "leaving": []}
"""

import hashlib

import msgspec

from godwitflow.model import errors
from godwitflow.model import ids


class Index(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One snapshot of one service, as the platform publishes it."""

    service: ids.ServiceName
    snapshot: ids.SnapshotVersion
    replica_sets: dict[ids.ReplicaSetId, tuple[ids.UpstreamId, ...]]
    shards: dict[ids.ShardId, ids.ReplicaSetId]
    leaving: tuple[ids.UpstreamId, ...] = ()


_decoder = msgspec.json.Decoder(Index)


def decode(raw: bytes) -> Index:
    """Decode and validate an index object.

    Raises :class:`errors.IndexInvalidError` if the bytes are truncated,
    malformed or inconsistent.
    """
    try:
        index = _decoder.decode(raw)
    except msgspec.MsgspecError as error:
        raise errors.IndexInvalidError(str(error)) from error
    _check(index)
    return index


def encode(index: Index) -> bytes:
    """Encode an index object as JSON."""
    return msgspec.json.encode(index)


def _check(index: Index) -> None:
    if index.snapshot < 1:
        raise errors.IndexInvalidError("snapshot must be 1 or more")
    if not index.shards:
        raise errors.IndexInvalidError("the index has no shards")
    owners: dict[ids.UpstreamId, ids.ReplicaSetId] = {}
    for set_id, upstreams in index.replica_sets.items():
        if not upstreams:
            raise errors.IndexInvalidError(f"replica set {set_id} is empty")
        for upstream in upstreams:
            if upstream in owners:
                raise errors.IndexInvalidError(
                    f"{upstream} is in {owners[upstream]} and {set_id}"
                )
            owners[upstream] = set_id
    for shard, set_id in index.shards.items():
        if set_id not in index.replica_sets:
            raise errors.IndexInvalidError(
                f"shard {shard} names unknown replica set {set_id}"
            )


def shard_for_key(index: Index, key: str) -> ids.ShardId:
    """Return the shard that holds a key.

    The hash of the key selects one of the shards in the order of their
    names, so that keys spread evenly and every node gets the same shard
    for a key of one snapshot.
    """
    names = sorted(index.shards)
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return names[int.from_bytes(digest) % len(names)]
