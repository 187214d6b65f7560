"""A store that is silent to a few machines must not blind the others."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
sys.dont_write_bytecode = True

import platform_standins as platform  # noqa: E402

NODES = 9
DRAIN_S = platform.BOUNDS["drainMs"] / 1000
STABLE_S = platform.BOUNDS["stableWindowMs"] / 1000
SILENT_S = 9.0
SILENT_SHARE = 0.35
LINK_SLACK_S = 0.05


async def main(record, trouble):
    system = platform.System(record, NODES)
    await system.store.start()
    for node in system.nodes:
        node.store_address = await system.store.listen(node.name)
    try:
        return await play(system, record, trouble)
    finally:
        system.end()


async def play(system, record, trouble):
    store = system.store
    for number in range(3):
        await system.add_backend(f"i-{number}", "archives")
    system.configure(
        1,
        [platform.route("archive", "idempotent", service="archives")],
        ["archives"],
    )
    await system.start_nodes()
    await system.wait_ready()
    await asyncio.sleep(STABLE_S + 2.0)
    statuses = []
    callers = [
        asyncio.ensure_future(call(node, record, statuses))
        for node in system.nodes
    ]
    await asyncio.sleep(1.0)
    await system.add_backend("i-3", "archives")
    await asyncio.sleep(1.0)
    readers = await find_readers(store)
    record.say(f"machines that read the store: {sorted(readers)}")
    if trouble:
        store.silent_to = readers
        record.say("the store is silent to these")
    await asyncio.sleep(0.5)
    drained = system.backends["i-0"]
    store.put("servers", drained.name, drained.spec("draining"))
    confirmed_at = record.now()
    record.say(f"{drained.name} draining, confirmed at {confirmed_at:.3f}")
    await asyncio.sleep(SILENT_S - 0.5)
    store.silent_to = set()
    record.say("the store answers all machines")
    await asyncio.sleep(5.0)
    for caller in callers:
        caller.cancel()
    others = {
        str(node.index) for node in system.nodes if node.name not in readers
    }
    late = [
        (at, request)
        for at, request, ran in drained.arrivals
        if ran
        and request[0] in others
        and at > confirmed_at + DRAIN_S + LINK_SLACK_S
    ]
    served = sum(status == 200 for status in statuses)
    record.say(f"{served} of {len(statuses)} requests served")
    record.say(
        f"{len(late)} requests reached {drained.name} later than {DRAIN_S} s "
        f"after the confirmation, sent by machines that the store answers"
    )
    if late:
        record.say(f"the last one {late[-1][0] - confirmed_at:.1f} s after it")
    if not served:
        raise RuntimeError("nothing was served")
    return bool(late)


async def find_readers(store):
    """Return the machines that read the store, no more than may be cut."""
    for _ in range(50):
        readers = store.readers("servers")
        if 0 < len(readers) <= SILENT_SHARE * NODES:
            return readers
        await asyncio.sleep(0.1)
    raise RuntimeError("more machines read the store than may be cut")


async def call(node, record, statuses):
    """Send 10 requests a second on a kept connection to one node."""
    client = platform.Client(node.ip, node.ports["front"])
    for number in range(1_000_000):
        request = f"{node.index}{number:07x}"
        headers = {"Request-Id": request, "Deadline-Ms": "6000"}
        record.write(f"requester sends {request} to {node.name}")
        status, _, _ = await client.request(
            "GET", f"/archive/{number:x}", headers
        )
        statuses.append(status)
        record.write(f"requester got {status} for {request}")
        await asyncio.sleep(0.1)


sys.exit(platform.run_case(FOLDER, main))
