"""An answer without end, in small pieces, must not exhaust a process.

The platform kills a process that takes more memory than its settings
allow; this script does that too, and starts it again.
"""

import asyncio
import functools
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
sys.dont_write_bytecode = True

import platform_standins as platform  # noqa: E402

STABLE_S = platform.BOUNDS["stableWindowMs"] / 1000
FAULTY = ("i-0", "i-1")  # of four
FAULTY_X = 0.05  # of their answers
EPISODES = 6
EPISODE_S = 5.0
CALM_S = 6.0
LOST_ALLOWED = 3
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
    for number in range(4):
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
    cut = []
    draw = random.Random()
    tasks = [
        asyncio.ensure_future(limit_memory(node, record, kills, peaks))
        for node in system.nodes
    ]
    tasks += [
        asyncio.ensure_future(call(node, worker, record, answers, cut))
        for node in system.nodes
        for worker in range(WORKERS)
    ]
    for _ in range(EPISODES):
        if trouble:
            spoil(system, draw)
            record.say(f"{FAULTY} spoil {FAULTY_X} of their answers")
        await asyncio.sleep(EPISODE_S)
        spoil(system, None)
        await asyncio.sleep(CALM_S)
        lost = lost_requests(system, cut)
        if len(lost) > LOST_ALLOWED:
            break
    for task in tasks:
        task.cancel()
    record.say(f"answers by status: {dict(sorted(answers.items()))}")
    record.say(f"highest private memory, MB: {peaks}")
    record.say(f"ends for memory over {platform.MEMORY_MB} MB: {kills}")
    if not answers.get("200"):
        raise RuntimeError("nothing was served")
    record.say(f"{len(lost)} requests from kept connections were passed on to "
               f"a sound backend and never answered: {lost}")
    return len(lost) > LOST_ALLOWED


def lost_requests(system, cut):
    """Return the unanswered requests that sound backends ran."""
    ran = {
        request
        for name, backend in system.backends.items()
        if name not in FAULTY
        for _, request, executed in backend.arrivals
        if executed
    }
    return [request for request in cut if request in ran]


def spoil(system, draw):
    """Let the faulty backends spoil answers, or none without ``draw``."""
    for name in FAULTY:
        backend = system.backends[name]
        backend.handle = draw and functools.partial(answer, backend, draw)


async def answer(backend, draw, line, headers, reader, writer):
    """Answer, or begin a body in chunks that goes on until it is closed."""
    await asyncio.sleep(backend.work_ms / 1000)
    if draw.random() >= FAULTY_X:
        writer.write(backend.answer(headers))
        return
    backend.record.write(f"backend {backend.name} sends a body without end")
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
        private_mb = node.private_mb()
        peaks[node.name] = max(peaks[node.name], round(private_mb))
        if private_mb > platform.MEMORY_MB:
            kills[node.name] += 1
            record.write(f"node {node.name} takes {private_mb:.0f} MB")
            node.process.kill()
            await asyncio.sleep(0.2)


async def call(node, worker, record, answers, cut):
    """Send requests one after the other, on a kept connection if it holds."""
    client = None
    for number in range(1_000_000):
        request = f"{node.index}{worker:02x}{number:05x}"
        headers = {"Request-Id": request, "Deadline-Ms": "6000"}
        kept = client is not None
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
            if kept:
                cut.append(request)
        answers[outcome] = answers.get(outcome, 0) + 1
        record.write(f"requester got {outcome} for {request}")
        await asyncio.sleep(0.2)


sys.exit(platform.run_case(FOLDER, main))
