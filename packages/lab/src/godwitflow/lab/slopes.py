"""Measures how costs grow with size, for docs/CAPACITY.md."""

import csv
import dataclasses
import gc
import pathlib
import sys
import time
import tracemalloc
import typing

from godwitflow.lab import bench
from godwitflow.lab import slope_claims
from godwitflow.lab import slope_control
from godwitflow.lab import slope_spread
from godwitflow.model import ids
from godwitflow.model import index as index_model
from godwitflow.policy import ownership
from godwitflow.policy import query_run

MEMBERS = (9, 90, 900, 3_800)
UPSTREAMS = (225, 900, 3_600, 10_800, 24_000)
FAN_OUTS = (25, 75, 300, 1_300)
MS_PER_S = 1e3
BYTES_PER_KB = 1e3
# From LARGE_FROM_UPSTREAMS on, replica sets have LARGE_REPLICAS members and
# the number of nodes is in proportion: 3,800 for 24,000 upstreams.
LARGE_REPLICAS = 18
LARGE_FROM_UPSTREAMS = 3_600


@dataclasses.dataclass(frozen=True)
class Point:
    """One measured value of a series, at size ``x``."""

    series: str
    x_name: str
    x: float
    unit: str
    value: float


def _timed_ms(
    function: typing.Callable[..., typing.Any], *args: typing.Any
) -> float:
    started_s = time.process_time()
    function(*args)
    return (time.process_time() - started_s) * MS_PER_S


def ownership_points() -> list[Point]:
    """Measure the CPU time to build and change the hash ring.

    The series are by upstream count.
    """
    points = []
    for count in UPSTREAMS:
        nodes = 9 if count < LARGE_FROM_UPSTREAMS else count * 3_800 // 24_000
        replicas = 3 if count < LARGE_FROM_UPSTREAMS else LARGE_REPLICAS
        keys = tuple(f"s/r{n}" for n in range(count // replicas))
        candidates = tuple(
            ownership.Candidate(ids.NodeId(f"vm{n}"), ids.FailureDomain("d"))
            for n in range(nodes)
        )
        owners = ownership.HashRing(candidates)
        build_ms = _timed_ms(owners.set_keys, keys)
        changes = [candidates[1:], candidates] * 5
        change_ms = sum(
            _timed_ms(owners.set_members, item) for item in changes
        )
        points += [
            Point("owners_build", "upstreams", count, "ms", build_ms),
            Point(
                "owners_change",
                "upstreams",
                count,
                "ms",
                change_ms / len(changes),
            ),
        ]
    return points


def index_points() -> list[Point]:
    """Measure the size and decoding of an index, by upstream count."""
    points = []
    for count in UPSTREAMS:
        replicas = 3 if count < LARGE_FROM_UPSTREAMS else LARGE_REPLICAS
        shards = count // replicas
        sets = {
            ids.ReplicaSetId(f"r{n}"): tuple(
                ids.UpstreamId(f"http://10.{n % 200}.{k}.{n % 250}:9000")
                for k in range(n * replicas, (n + 1) * replicas)
            )
            for n in range(shards)
        }
        index = index_model.Index(
            ids.ServiceName("s"),
            ids.SnapshotVersion(1),
            sets,
            {
                ids.ShardId(f"s{n}"): ids.ReplicaSetId(f"r{n}")
                for n in range(shards)
            },
        )
        raw = index_model.encode(index)
        decode_ms = _timed_ms(index_model.decode, raw)
        points += [
            Point("index_size", "upstreams", count, "kB", len(raw) / 1e3),
            Point("index_decode", "upstreams", count, "ms", decode_ms),
        ]
    return points


def piece_points() -> list[Point]:
    """Measure CPU time per piece and query, by fan-out and batch size."""
    points = []
    for fan_out in FAN_OUTS:
        front_us = bench.front_cost(fan_out)
        points.append(Point("front_piece", "fan_out", fan_out, "us", front_us))
        points.append(
            Point(
                "front_query",
                "fan_out",
                fan_out,
                "us",
                front_us * fan_out,
            )
        )
    for batch in (1, 8, 32):
        cost_us = bench.dispatcher_cost(300, batch)
        points.append(Point("dispatcher_piece", "batch", batch, "us", cost_us))
    return points


def waiting_query_points() -> list[Point]:
    """Measure a front's memory per waiting query, by fan-out."""
    points = []
    for fan_out in FAN_OUTS:
        catalog = bench.bench_fixtures.make_catalog(fan_out, 1)
        index = catalog.indexes["index/s"]
        runs: list[query_run.QueryRun] = []
        count = max(4, 5_200 // fan_out)
        piece_id_counter = query_run.piece_id_source()
        gc.collect()
        tracemalloc.start()
        for number in range(count):
            runs.append(_waiting_run(number, index, piece_id_counter))
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        value = used / count / BYTES_PER_KB
        points.append(Point("waiting_query", "fan_out", fan_out, "kB", value))
    return points


def _waiting_run(
    number: int, index: index_model.Index, piece_id_counter: typing.Any
) -> query_run.QueryRun:
    request = query_run.Request(
        str(number),
        "",
        index.service,
        ids.Rank(0),
        number,
        0.0,
        1e6,
        0.0,
        True,
        ids.Fingerprint(number),
        b"1",
    )
    run = query_run.QueryRun(
        request,
        index,
        lambda set_id: bench.bench_fixtures.route(f"s/{set_id}"),
        piece_id_counter,
    )
    run.start(0.0)
    return run


def measure() -> list[Point]:
    """Run all measurements; progress goes to stderr."""
    points: list[Point] = []
    for members in MEMBERS:
        cost = slope_control.measure(members)
        points += [
            Point(
                "control_cpu", "members", members, "ms/s", cost.cpu_ms_per_s
            ),
            Point("control_net", "members", members, "kB/s", cost.kb_per_s),
            Point("control_state", "members", members, "kB", cost.state_kb),
        ]
        print(f"control {members}: {cost}", file=sys.stderr)
    for members in slope_spread.MEMBERS:
        spread = slope_spread.measure(members)
        points += [
            Point("spread_time", "members", members, "s", spread.seconds),
            Point(
                "spread_bytes",
                "members",
                members,
                "kB/node",
                spread.kb_per_node,
            ),
        ]
        print(f"spread {members}: {spread}", file=sys.stderr)
    points += ownership_points()
    points += index_points()
    points += piece_points()
    points += waiting_query_points()
    for claims in slope_claims.measure_all():
        name = f"claims_{claims.latency_ms:g}ms"
        points += [
            Point(name, "partitions", claims.partitions, "1/s", claims.per_s),
            Point(
                f"{name}_p99",
                "partitions",
                claims.partitions,
                "ms",
                claims.wait_p99_ms,
            ),
            Point(
                f"{name}_writes",
                "partitions",
                claims.partitions,
                "1/s",
                claims.writes_per_s,
            ),
        ]
    return points


def write(points: list[Point], path: pathlib.Path) -> None:
    """Write the points to a CSV file."""
    with path.open("w", newline="") as stream:
        writer = csv.writer(stream, lineterminator="\n")
        writer.writerow(("series", "x_name", "x", "unit", "value"))
        for point in points:
            row = dataclasses.astuple(point)
            writer.writerow((*row[:-1], f"{point.value:.4g}"))


def main() -> None:
    """Run all measurements and write them to the CSV file given."""
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)
    path = pathlib.Path(sys.argv[1])
    path.parent.mkdir(parents=True, exist_ok=True)
    write(measure(), path)


if __name__ == "__main__":
    main()
