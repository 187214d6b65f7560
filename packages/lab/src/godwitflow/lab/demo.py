"""The demo: stand-ins, three nodes, queries and a booking."""

import pathlib
import typing

import msgspec
from twisted.internet import task

from godwitflow.caller import client
from godwitflow.fakes import deployment as deployment_module
from godwitflow.lab import stage as stage_module
from godwitflow.model import answers

NODES = 3
PAYLOAD = {"voice": "alto", "place": "Quimper"}


def _line(text: str, result: client.Result) -> str:
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

    With ``serve_s`` the nodes go on serving for so many seconds.
    """
    deployment = deployment_module.DEPLOYMENTS[name]
    trace_file = stage_module.new_trace_file("demo-traces.jsonl")
    stage = stage_module.Stage(
        reactor, deployment, trace_file=trace_file, trace_share=1.0
    )
    applied = await stage.publish()
    print(f"applied generation {applied.generation} of {name}")
    await stage.start_nodes(NODES)
    await stage.wait_ready(NODES)
    caller = client.Caller(reactor, stage.entry_points())
    print("addresses:", ", ".join(await caller.addresses()))
    urls = (node.operator_url for node in stage.nodes.values())
    print("operators:", ", ".join(urls))
    good = await _ask_all(caller, deployment)
    booked, trace_id = await _book(caller, stage)
    good &= booked
    await caller.close()
    if serve_s > 0.0:
        print(f"serving for {serve_s:g} s")
        await task.deferLater(reactor, serve_s, lambda: None)
    await stage.stop_nodes()
    await stage.close()
    _print_trace(pathlib.Path(trace_file), trace_id)
    print("stopped gracefully")
    return 0 if good else 1


async def _ask_all(
    caller: client.Caller, deployment: deployment_module.Deployment
) -> bool:
    good = True
    for service in deployment.services:
        for row in deployment.priorities:
            request = client.Request(service.name, PAYLOAD, row[0])
            result = await caller.send_request(request)
            print(_line(f"{service.name} {row[0]}", result))
            match result:
                case answers.Answer(coverage=coverage):
                    good &= coverage.complete
                case _:
                    good = False
    return good


async def _book(
    caller: client.Caller, stage: stage_module.Stage
) -> tuple[bool, str]:
    """Send a booking twice: it runs once, and the resend is told so.

    Returns whether that was so, and the first one's trace id.
    """
    deployment = stage.deployment
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
    print(_line("booking", first))
    again = await caller.send_request(request)
    print(_line("the same booking again", again))
    runs = stage.fleet.run_count(msgspec.json.encode(payload).decode())
    print(f"the booking ran {runs} time")
    good = runs == 1 and isinstance(first, answers.Answer)
    return good, first.trace_id


def _print_trace(path: pathlib.Path, trace_id: str) -> None:
    """Print the spans of a trace, one a hop."""
    spans = [msgspec.json.decode(row) for row in path.open("rb")]
    wanted = f"0x{trace_id}"
    rows = [span for span in spans if span["context"]["trace_id"] == wanted]
    rows.sort(key=_start_of)
    print(f"trace {trace_id}")
    for span in rows:
        node = span["resource"]["attributes"]["service.instance.id"]
        parent = span["parent_id"] or "-"
        print(f"  {span['name']:18} on {node:4} parent {parent}")


def _start_of(span: dict[str, typing.Any]) -> str:
    return span["start_time"]
