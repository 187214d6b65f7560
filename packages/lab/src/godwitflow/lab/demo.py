"""The demo: a local cluster of three nodes, queries and a booking."""

import pathlib
import typing

import msgspec
from twisted.internet import task

from godwitflow.caller import client
from godwitflow.fakes import deployment as deployment_module
from godwitflow.lab import local_cluster
from godwitflow.model import answers

NODES = 3
PAYLOAD = {"voice": "alto", "place": "Quimper"}


def _result_line(text: str, result: client.Result) -> str:
    match result:
        case answers.Answer(coverage=coverage, timing=timing):
            shard = f" shard {result.shard}" if result.shard else ""
            return (
                f"{text:22} answer{shard}: {coverage.answered}/"
                f"{coverage.total} shards of snapshot {result.snapshot} in "
                f"{timing.total_ms:.1f} ms (claim {timing.claim_ms:.1f}, "
                f"queue {timing.queue_ms:.1f}, upstream "
                f"{timing.upstream_ms:.1f}, other {timing.other_ms:.1f})"
            )
        case answers.Refusal(code=code, ran=ran, message=message):
            return f"{text:22} refusal: {code.value}, {ran.value}: {message}"


async def run(reactor: typing.Any, name: str, serve_s: float = 0.0) -> int:
    """Run the demo for one deployment; return the exit code.

    The nodes continue to serve for ``serve_s`` seconds before they stop.
    """
    deployment = deployment_module.DEPLOYMENTS[name]
    trace_file = local_cluster.new_trace_file("demo-traces.jsonl")
    cluster = local_cluster.LocalCluster(
        reactor, deployment, trace_file=trace_file, trace_share=1.0
    )
    applied = await cluster.publish()
    print(f"applied generation {applied.generation} of {name}")
    await cluster.start_nodes(NODES)
    await cluster.wait_ready(NODES)
    caller = client.Caller(reactor, cluster.entry_points())
    print("addresses:", ", ".join(await caller.addresses()))
    urls = (node.operator_url for node in cluster.nodes.values())
    print("operators:", ", ".join(urls))
    success = await _query_all(caller, deployment)
    ran_once, trace_id = await _book(caller, cluster)
    success &= ran_once
    await caller.close()
    if serve_s > 0.0:
        print(f"serving for {serve_s:g} s")
        await task.deferLater(reactor, serve_s, lambda: None)
    await cluster.stop_nodes()
    await cluster.close()
    _print_trace(pathlib.Path(trace_file), trace_id)
    print("stopped gracefully")
    return 0 if success else 1


async def _query_all(
    caller: client.Caller, deployment: deployment_module.Deployment
) -> bool:
    success = True
    for service in deployment.services:
        for priority in deployment.priorities:
            request = client.Request(service.name, PAYLOAD, priority[0])
            result = await caller.send_request(request)
            print(_result_line(f"{service.name} {priority[0]}", result))
            match result:
                case answers.Answer(coverage=coverage):
                    success &= coverage.complete
                case _:
                    success = False
    return success


async def _book(
    caller: client.Caller, cluster: local_cluster.LocalCluster
) -> tuple[bool, str]:
    """Send a booking twice under one request key.

    Returns whether it ran exactly once and was answered, and the trace id
    of the first request.
    """
    deployment = cluster.deployment
    payload = {"seat": "B12", "singer": "Nolwenn"}
    request = client.Request(
        deployment.booking_service,
        payload,
        deployment.priorities[0][0],
        idempotent=False,
        request_key=client.new_request_key(),
        shard_key="B12",
    )
    first = await caller.send_request(request)
    print(_result_line("booking", first))
    again = await caller.send_request(request)
    print(_result_line("the same booking again", again))
    runs = cluster.fleet.run_count(msgspec.json.encode(payload).decode())
    print(f"the booking ran {runs} time")
    success = runs == 1 and isinstance(first, answers.Answer)
    return success, first.trace_id


def _print_trace(path: pathlib.Path, trace_id: str) -> None:
    """Print the spans of a trace in order of start time."""
    all_spans = [msgspec.json.decode(line) for line in path.open("rb")]
    hex_id = f"0x{trace_id}"
    spans = [
        span for span in all_spans if span["context"]["trace_id"] == hex_id
    ]
    spans.sort(key=_start_time)
    print(f"trace {trace_id}")
    for span in spans:
        node = span["resource"]["attributes"]["service.instance.id"]
        parent = span["parent_id"] or "-"
        print(f"  {span['name']:18} on {node:4} parent {parent}")


def _start_time(span: dict[str, typing.Any]) -> str:
    return span["start_time"]
