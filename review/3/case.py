"""A request that many ask for must be served again after a recovery."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
sys.dont_write_bytecode = True

import platform_standins as platform  # noqa: E402

STABLE_S = platform.BOUNDS["stableWindowMs"] / 1000
RECOVERY_S = platform.BOUNDS["recoveryS"]
BACKENDS = 4
DOWN_S = 3.0
REQUESTERS = 6
TARGET = "/archive/programme-12"
MEASURED_S = 15.0


async def main(record, trouble):
    system = platform.System(record, 3)
    await system.store.start()
    try:
        return await play(system, record, trouble)
    finally:
        system.end()


async def play(system, record, trouble):
    await start_backends(system, 0)
    system.configure(
        1,
        [platform.route("archive", "idempotent", service="archives")],
        ["archives"],
    )
    await system.start_nodes()
    await system.wait_ready()
    await asyncio.sleep(STABLE_S)
    outcomes = []
    callers = [
        asyncio.ensure_future(call(system, node, number, record, outcomes))
        for node in system.nodes
        for number in range(REQUESTERS)
    ]
    await asyncio.sleep(6.0)
    fault_at = record.now()
    if trouble:
        for node in system.nodes:
            node.send_signal(signal.SIGKILL)
        await asyncio.sleep(1.0)
    await system.wait_ready()
    back_at = record.now()
    record.say(f"the machines are back at {back_at:.1f}")
    await asyncio.sleep(2.0)
    if trouble:
        record.say("all backends crash")
        for number in range(BACKENDS):
            system.backends[f"i-0-{number}"].crash()
        await asyncio.sleep(DOWN_S)
        await start_backends(system, 1)
        record.say("all backends are back")
        await asyncio.sleep(0.6)
        for number in range(BACKENDS):
            system.store.remove("servers", f"i-0-{number}")
    measured_from = back_at + RECOVERY_S
    await asyncio.sleep(measured_from + MEASURED_S - record.now())
    for caller in callers:
        caller.cancel()
    before = [status for at, status in outcomes if at < fault_at]
    after = [status for at, status in outcomes if at > measured_from]
    share_before = share(before)
    share_after = share(after)
    record.say(f"served before the final fault: {share_before:.3f} "
               f"of {len(before)}")
    record.say(f"served later than {RECOVERY_S} s after the machines were "
               f"back: {share_after:.3f} of {len(after)}")
    return share_before >= 0.25 and share_after < 0.25


async def start_backends(system, life):
    for number in range(BACKENDS):
        await system.add_backend(
            f"i-{life}-{number}", "archives", work_ms=135.0
        )


def share(statuses):
    return statuses.count(200) / max(1, len(statuses))


async def call(system, node, worker, record, outcomes):
    """Ask for the same programme again and again, as the others do."""
    client = None
    for number in range(1_000_000):
        request = f"d{node.index}{worker}{number:05x}"
        headers = {"Request-Id": request, "Deadline-Ms": "6000"}
        sent_at = record.now()
        record.write(f"requester sends {request} to {node.name}")
        try:
            client = client or platform.Client(node.ip, node.ports["front"])
            status, _, _ = await client.request("GET", TARGET, headers)
        except (OSError, EOFError) as error:
            status = type(error).__name__
            client = None
        outcomes.append((sent_at, status))
        record.write(f"requester got {status} for {request}")
        await asyncio.sleep(0.1)


sys.exit(platform.run_case(FOLDER, main))
