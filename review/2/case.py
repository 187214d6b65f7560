"""An answer without end, in small pieces, must not exhaust a process.

The platform kills a process that takes more memory than its settings
allow; this script does that too, and starts it again.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
sys.dont_write_bytecode = True

import platform_standins as platform  # noqa: E402

STABLE_S = platform.BOUNDS["stableWindowMs"] / 1000
TROUBLE_S = 75.0
KILLS_PER_MACHINE = 3
MACHINES = 2
WORKERS = 10
PIECES = b"2\r\nab\r\n" * 4_000


async def main(record, trouble):
    system = platform.System(record, 3)
    await system.store.start()
    try:
        return await play(system, record, trouble)
    finally:
        system.end()


async def play(system, record, trouble):
    for number in range(3):
        await system.add_backend(
            f"i-{number}", "archives", work_ms=135.0
        )
    system.configure(
        1,
        [platform.route("archive", "non_idempotent", service="archives")],
        ["archives"],
    )
    await system.start_nodes()
    await system.wait_ready()
    await asyncio.sleep(STABLE_S + 1.0)
    kills = {node.name: 0 for node in system.nodes}
    peaks = {node.name: 0.0 for node in system.nodes}
    answers = {}
    tasks = [
        asyncio.ensure_future(limit_memory(node, record, kills, peaks))
        for node in system.nodes
    ]
    tasks += [
        asyncio.ensure_future(call(node, worker, record, answers))
        for node in system.nodes
        for worker in range(WORKERS)
    ]
    if trouble:
        system.backends["i-0"].handle = endless
        record.say("backend i-0 sends bodies without end")
    until = record.now() + TROUBLE_S
    while record.now() < until:
        await asyncio.sleep(0.5)
        over = [count for count in kills.values()
                if count >= KILLS_PER_MACHINE]
        if len(over) >= MACHINES:
            break
    for task in tasks:
        task.cancel()
    record.say(f"answers by status: {dict(sorted(answers.items()))}")
    record.say(f"highest resident memory, MB: {peaks}")
    record.say(f"ends for memory over {platform.MEMORY_MB} MB: {kills}")
    if not answers.get("200"):
        raise RuntimeError("nothing was served")
    return len(over) >= MACHINES


async def endless(line, headers, reader, writer):
    """Begin an answer in chunks and send on until the caller closes."""
    writer.write(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    while not writer.is_closing():
        writer.write(PIECES)
        await writer.drain()
        await asyncio.sleep(0)


async def limit_memory(node, record, kills, peaks):
    """Kill the process when it takes more memory than it may."""
    while True:
        await asyncio.sleep(0.1)
        if node.process.poll() is not None:
            continue
        resident_mb = node.resident_mb()
        peaks[node.name] = max(peaks[node.name], round(resident_mb))
        if resident_mb > platform.MEMORY_MB:
            kills[node.name] += 1
            record.write(f"node {node.name} takes {resident_mb:.0f} MB")
            node.process.kill()
            await asyncio.sleep(0.2)


async def call(node, worker, record, answers):
    """Send requests one after the other, on a kept connection if it holds."""
    client = None
    for number in range(1_000_000):
        request = f"{node.index}{worker:02x}{number:05x}"
        headers = {"Request-Id": request, "Deadline-Ms": "6000"}
        try:
            client = client or platform.Client(node.ip, node.ports["front"])
            record.write(f"requester sends {request} to {node.name}")
            status, _, _ = await client.request(
                "POST", f"/archive/{request}", headers, b"a programme"
            )
            outcome = str(status)
        except (OSError, EOFError) as error:
            outcome = type(error).__name__
            client = None
        answers[outcome] = answers.get(outcome, 0) + 1
        record.write(f"requester got {outcome} for {request}")
        await asyncio.sleep(0.2)


sys.exit(platform.run_case(FOLDER, main))
