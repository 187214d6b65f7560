"""The store comes back from a copy some seconds old; is the fleet cut off?

Three nodes follow the store. In the seconds before the drill the operator
writes a few versions. The store is away for a second and comes back from a
copy that is three seconds old, with the next Store-Era; the operator writes
its newest version again. Nine seconds later, in calm, the operator writes
one more version: it takes a key away and moves a route to another service.
Requests sent over four seconds past the bound for that version must be
handled as the version says.
"""

import asyncio
import os
import pathlib
import socket
import sys

import harness

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 5000, "ackMs": 8000,
    "catchUpS": 6, "drainMs": 5000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 5000, "rollbackSlackMs": 250, "maxSkewMs": 15000,
    "strictRevoke": False, "revokeMs": 5000, "retryRatio": 0.2,
    "retryWindowS": 10, "retrySlack": 158, "quotaWindowS": 5,
    "quotaOvershoot": 0.1, "quotaSlack": 20, "recoveryS": 15, "ttl_max_s": 5,
}
APPLY_S = BOUNDS["configApplyMs"] / 1000
COPY_AGE_S = 3.0
AWAY_S = 1.0
CALM_S = 9.0  # over stableWindowMs, after the end of the drill
WATCHED_S = 12.0
EXTRA_S = 4.0  # not judged, beyond the bound
VERSIONS_BEFORE = 4
HERE = pathlib.Path(__file__).resolve().parent


def configuration(version, timeout_ms, moved_to, with_second_key):
    def route(name, service):
        return {
            "name": name, "hostname": harness.HOST_NAME,
            "pathPrefix": f"/{name}/", "routeKind": "idempotent",
            "timeoutMs": timeout_ms, "targetLatencyMs": 300, "priority": 1,
            "attempts": 2, "service": service,
        }

    keys = ["key-one", "key-two"] if with_second_key else ["key-one"]
    return {
        "version": version,
        "routes": [route("moved", moved_to), route("kept", "kept")],
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 62}
            for name in ("old", "new", "kept")
        ],
        "tenants": [
            {"name": "north", "apiKeys": keys, "ratePerS": 0, "burst": 0}
        ],
        "limits": {
            "maxHeaderBytes": 32768, "maxBodyBytes": 1048576,
            "headerTimeoutMs": 5000, "idleTimeoutMs": 20000,
        },
    }


class Traffic:
    """Requests to every node, on both routes, a few a second."""

    def __init__(self, nodes, record):
        self.nodes = nodes
        self.record = record
        self.seen = []  # (sent at, node, kind, answer)
        self.stopped = False
        self.count = 0

    async def ask(self, node, kind, target, key):
        self.count += 1
        request = f"r{self.count}"
        answer = await harness.call(
            node.front, f"/{target}/{request}",
            [("Request-Id", request), ("Deadline-Ms", "1200"),
             ("Authorization", f"Token {key}")],
            self.record,
        )
        text = answer.body.decode("latin-1").strip()
        self.record.write(
            f"answered request={request} node={node.name} kind={kind} "
            f"sent={answer.sent_at:.3f} status={answer.status} body={text!r}"
        )
        self.seen.append((answer.sent_at, node.name, kind, answer))

    async def run(self):
        while not self.stopped:
            await asyncio.gather(*(
                self.ask(node, kind, target, key)
                for node in self.nodes
                for kind, target, key in (
                    ("route", "moved", "key-one"),
                    ("key", "kept", "key-two"),
                    ("plain", "kept", "key-one"),
                )
            ))
            await asyncio.sleep(0.2)


async def play(record, folder):
    hosts = [f"{harness.NET}.{number}" for number in (1, 2, 3)]
    ports = harness.free_ports(hosts, 5)
    while not _pair(hosts, ports):
        ports = harness.free_ports(hosts, 5)
    ports.append(ports[4] + 1)
    store = harness.Store(f"{harness.NET}.100")
    store_address = await store.listen()
    seeds = [f"{host}:{ports[3]}" for host in hosts]
    nodes = [
        harness.Node(index, zone, ports, seeds, store_address, folder, BOUNDS)
        for index, zone in enumerate(("a", "b", "c"))
    ]
    servers = []
    for service in ("old", "new", "kept"):
        for zone in ("a", "b"):
            server = harness.Server(
                f"{harness.NET}.101", f"i-{service}-{zone}", service, record
            )
            await server.listen()
            servers.append((server, zone))

    async def register_all():
        for server, zone in servers:
            await store.put("servers", server.name, server.entry(zone))

    async def write(version, *arguments):
        document = configuration(version, *arguments)
        revision = await store.put("config", "main", document)
        record.say(f"operator: version {version} confirmed, era {store.era}, "
                   f"revision {revision}")

    traffic = Traffic(nodes, record)
    running = None
    try:
        await register_all()
        await write(3, 1500, "old", True)
        for node in nodes:
            node.start()
        if not await harness.wait_ready(nodes, record):
            record.say("the nodes do not become ready")
            return 2
        await asyncio.sleep(2.0)
        running = asyncio.create_task(traffic.run())
        await asyncio.sleep(4.0)

        saved = store.snapshot()
        for number in range(VERSIONS_BEFORE):
            await asyncio.sleep(COPY_AGE_S / (VERSIONS_BEFORE + 1))
            await write(5 + 3 * number, 1400 - 10 * number, "old", True)
        await asyncio.sleep(COPY_AGE_S / (VERSIONS_BEFORE + 1))
        newest = store.objects["config"]["main"]["spec"]
        if TROUBLE:
            record.say(f"store: away for {AWAY_S} s, at revision "
                       f"{store.revision}")
            store.shut()
            await asyncio.sleep(AWAY_S)
            store.restore(saved)
            await store.listen()
            await store.put("config", "main", newest)
            await register_all()
            record.say(f"store: back in era {store.era} from a copy "
                       f"{COPY_AGE_S} s old, at revision {store.revision}; "
                       "operator and servers have written again")
        else:
            await asyncio.sleep(AWAY_S)
        calls = store.calls
        await asyncio.sleep(CALM_S)
        record.say(f"calls to the store in {CALM_S} s of calm: "
                   f"{store.calls - calls}; refused so far: {store.refused}")

        await write(31, 1300, "new", False)
        confirmed_at = record.now()
        await asyncio.sleep(APPLY_S + EXTRA_S + WATCHED_S)
        traffic.stopped = True
        await running
    finally:
        traffic.stopped = True
        for node in nodes:
            node.end()
        for server, _ in servers:
            server.shut()
        store.shut()
    return judge(traffic, confirmed_at + APPLY_S + EXTRA_S, record)


def _pair(hosts, ports):
    """Return whether the port after the last one is free, too."""
    for host in hosts:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                try:
                    sock.bind((host, ports[4] + 1))
                except OSError:
                    return False
    return ports[4] + 1 not in ports


def judge(traffic, from_s, record):
    before = [item for item in traffic.seen if item[0] < from_s]
    judged = [item for item in traffic.seen if item[0] >= from_s]
    plain = [item for item in judged if item[2] == "plain"]
    served = sum(item[3].status == 200 for item in plain)
    record.say(f"{len(before)} requests before the judged time, "
               f"{len(judged)} in it; of {len(plain)} plain ones {served} "
               "served")
    if not plain or served < 0.9 * len(plain):
        record.say("the nodes do not serve plain requests: not judged")
        return 2
    old = [item for item in judged if item[2] == "route"
           and item[3].body.startswith(b"old ")]
    route = [item for item in judged if item[2] == "route"]
    key = [item for item in judged if item[2] == "key"]
    accepted = [item for item in key if item[3].status == 200]
    record.say(f"moved route: {len(old)} of {len(route)} requests run by the "
               "service that the newest version took the route from")
    record.say(f"withdrawn key: {len(accepted)} of {len(key)} requests "
               "with it were served")
    broken = bool(old or accepted)
    record.say("CONFIG " + ("is broken" if broken else "holds"))
    return 1 if broken else 0


def main():
    record = harness.Record(HERE / "record.txt")
    record.say(f"TROUBLE={int(TROUBLE)}")
    folder = harness.temporary_folder()
    try:
        return asyncio.run(asyncio.wait_for(play(record, folder), 110))
    except Exception as error:  # the case could not run
        record.say(f"could not run: {error!r}")
        return 2
    finally:
        harness.remove_folder(folder)


if __name__ == "__main__":
    sys.exit(main())
