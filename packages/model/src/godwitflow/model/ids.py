"""Distinct types for identifiers that are strings or integers."""

import typing

NodeId = typing.NewType("NodeId", str)
"""A godwitflow process, named by the VM id of its settings."""

FailureDomain = typing.NewType("FailureDomain", str)
ServiceName = typing.NewType("ServiceName", str)
ShardId = typing.NewType("ShardId", str)
ReplicaSetId = typing.NewType("ReplicaSetId", str)

CustomerName = typing.NewType("CustomerName", str)

KeyDigest = typing.NewType("KeyDigest", str)
"""The digest of a customer's key, in hexadecimal digits."""

UpstreamId = typing.NewType("UpstreamId", str)
"""An upstream's base URL, such as ``http://10.0.0.7:9000``."""

SnapshotVersion = typing.NewType("SnapshotVersion", int)
Generation = typing.NewType("Generation", int)
RequestKey = typing.NewType("RequestKey", str)
Fingerprint = typing.NewType("Fingerprint", int)

PieceId = typing.NewType("PieceId", int)
"""The correlation id that a front assigns to a query's piece for a shard."""

Rank = typing.NewType("Rank", int)
"""A priority's position in the service's list; 0 is the most urgent."""
