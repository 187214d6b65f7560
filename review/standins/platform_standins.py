"""Stand-ins of the platform, of backends and of requesters, for the cases.

Everything speaks HTTP/1.1 on loopback addresses. The store follows the
protocol page: objects by kind and name, lists, watches and writes. The
nodes are the project's own programs, started with the command of the
deploy file; a node that ends is started again after a short delay.
"""

import asyncio
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "search.example"
RESTART_DELAY_S = 0.3
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 12000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 58,
    "recoveryS": 12,
    "ttl_max_s": 5,
}
MEMORY_MB = 300
SLOTS = 6  # of a backend; it queues QUEUE requests more, and rejects others
QUEUE = 24


class Record:
    """Writes what was sent, answered and run, with times in seconds."""

    def __init__(self, path):
        self._file = open(path, "w")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self._file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        self.write(text)
        self._file.flush()
        print(text, flush=True)

    def close(self):
        self._file.close()


async def read_head(reader):
    """Return the first line and the headers of a message; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def response(status, headers, body):
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store; a spec is kept as the bytes of its JSON text."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.address = ""
        self._changed = asyncio.Event()
        self.silent_to = set()
        self.watching = {}

    async def start(self):
        self.address = await self.listen("")

    async def listen(self, machine):
        """Return an address that only one machine is given."""

        async def serve(reader, writer):
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(
            serve, "127.0.0.1", 0, limit=4_000_000
        )
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def readers(self, kind):
        """Return the machines that wait for changes of a kind."""
        return {
            machine
            for (machine, watched), count in self.watching.items()
            if watched == kind and count
        }

    def _meta(self, name, revision):
        return {
            "name": name,
            "revision": revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }

    def _object(self, name, revision, spec):
        meta = json.dumps(self._meta(name, revision)).encode()
        return b'{"meta":' + meta + b',"spec":' + spec + b',"status":{}}'

    def put(self, kind, name, spec):
        """Write an object; the return is the confirmation."""
        self.revision += 1
        if not isinstance(spec, bytes):
            spec = json.dumps(spec).encode()
        self.items[kind, name] = (self.revision, spec)
        self._add_event(kind, name, spec, False)

    def remove(self, kind, name):
        if (kind, name) in self.items:
            _, spec = self.items.pop((kind, name))
            self.revision += 1
            self._add_event(kind, name, spec, True)

    def _add_event(self, kind, name, spec, deleted):
        event = (
            b'{"deleted":'
            + (b"true" if deleted else b"false")
            + b',"object":'
            + self._object(name, self.revision, spec)
            + b"}"
        )
        self.events.append((self.revision, kind, event))
        self.record.write(
            f"store {'removed' if deleted else 'wrote'} {kind}/{name}"
            f" revision={self.revision}"
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, machine, reader, writer):
        lost = False
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                method, target, _ = line.split(" ")
                lost = lost or machine in self.silent_to
                if lost:
                    continue
                kind = target.partition("?")[0].split("/")[2]
                watch = (machine, kind)
                count = self.watching.get(watch, 0)
                self.watching[watch] = count + ("watch=" in target)
                status, answer = await self._answer(method, target, body)
                self.watching[watch] = count
                if machine in self.silent_to:
                    lost = True
                    continue
                kind = {"Content-Type": "application/json"}
                writer.write(response(status, kind, answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(
            pair.split("=", 1) for pair in query_text.split("&") if pair
        )
        parts = path.removeprefix("/objects/").split("/")
        kind = parts[0]
        if method == "GET" and len(parts) == 1:
            if "watch" in query:
                return await self._watch(kind, query)
            return self._list(kind, query.get("after", ""))
        document = json.loads(body) if body else {}
        name = parts[1] if len(parts) > 1 else document["meta"]["name"]
        exists = (kind, name) in self.items
        if method == "GET":
            if not exists:
                return "404 Not Found", b"{}"
            return "200 OK", self._object(name, *self.items[kind, name])
        if method == "POST" and exists:
            return "409 Conflict", b"{}"
        if method in ("PUT", "DELETE") and not exists:
            return "404 Not Found", b"{}"
        if method == "DELETE":
            self.remove(kind, name)
            return "200 OK", b"{}"
        self.put(kind, name, document.get("spec"))
        return "200 OK", self._object(name, *self.items[kind, name])

    def _list(self, kind, after):
        names = sorted(
            name for key, name in self.items if key == kind and name > after
        )
        objects = [
            self._object(name, *self.items[kind, name])
            for name in names[:500]
        ]
        more = b"true" if len(names) > 500 else b"false"
        return "200 OK", (
            b'{"items":[' + b",".join(objects) + b'],"more":' + more
            + b',"at":%d}' % self.revision
        )

    async def _watch(self, kind, query):
        after = int(query["watch"])
        until = time.monotonic() + float(query.get("waitMs", "0")) / 1000
        while True:
            found = [
                event
                for revision, event_kind, event in self.events
                if revision > after and event_kind == kind
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return "200 OK", (
                    b'{"events":[' + b",".join(found)
                    + b'],"at":%d}' % self.revision
                )
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Backend:
    """A sound backend; ``handle`` may be replaced to give another answer.

    ``arrivals`` holds (time, request id, ran) of each request.
    """

    def __init__(self, record, name, service, zone="east", work_ms=5.0):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.work_ms = work_ms
        self.arrivals = []
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.handle = None
        self.body = b"the server's bytes"
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0
        self._writers = set()

    async def start(self, host="127.0.0.1", port=0):
        self._server = await asyncio.start_server(self._serve, host, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def spec(self, state="ready"):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def answer(self, headers):
        request = headers.get("request-id", "")
        return response(
            "200 OK",
            {
                "Request-Id": request,
                "Server-Stamp": f"{self.name}.{request}",
            },
            self.body,
        )

    def reset(self, writer):
        """Reset a connection, as if the answer was lost with it."""
        linger = struct.pack("ii", 1, 0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    def crash(self):
        """Close the port and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                length = int(headers.get("content-length", "0"))
                if length:
                    await reader.readexactly(length)
                await self._run(line, headers, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, line, headers, reader, writer):
        request = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            other = {"Instance-Id": self.name}
            answer = response("421 Misdirected Request", other, b"")
            self._reject(request, writer, answer)
        elif self._waiting >= QUEUE:
            full = {"Not-Executed": "1", "Request-Id": request}
            answer = response("503 Service Unavailable", full, b"")
            self._reject(request, writer, answer)
        else:
            self._waiting += 1
            async with self._slots:
                self._waiting -= 1
                await self._execute(request, line, headers, reader, writer)
        await writer.drain()

    def _reject(self, request, writer, answer):
        self.arrivals.append((self.record.now(), request, False))
        self.record.write(f"backend {self.name} rejects {request}")
        writer.write(answer)

    async def _execute(self, request, line, headers, reader, writer):
        self.arrivals.append((self.record.now(), request, True))
        self.record.write(
            f"backend {self.name} runs {request}"
            f" deadline={headers.get('deadline-ms')}"
        )
        if self.handle is not None:
            await self.handle(line, headers, reader, writer)
        else:
            await asyncio.sleep(self.work_ms / 1000)
            writer.write(self.answer(headers))


class Node:
    """One process of the system, started again whenever it ends."""

    def __init__(self, system, index):
        self.system = system
        self.index = index
        self.name = f"front-{index + 1}"
        self.ip = f"127.0.0.{2 + index}"
        self.zone = ("east", "west")[index % 2]
        self.ports = {}
        self.store_address = ""
        self.ends = []
        self.process = None
        self._restart = True
        self._log = open(system.folder / f"{self.name}.log", "ab")

    def allocate(self):
        sockets = []
        for use in ("front", "ready", "control", "directory"):
            sock = socket.socket()
            sock.bind((self.ip, 0))
            self.ports[use] = sock.getsockname()[1]
            sockets.append(sock)
        for sock in sockets:
            sock.close()

    def address(self, use):
        return f"{self.ip}:{self.ports[use]}"

    def write_settings(self):
        nodes = self.system.nodes
        document = {
            "nodeName": self.name,
            "role": "node",
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "zones": {"east": "r", "west": "r"},
            "listen": {use: self.address(use) for use in self.ports},
            "internalPorts": [self.system.inner, self.system.inner + 3],
            "seeds": [node.address("control") for node in nodes[:3]],
            "bootstrap": not self.ends,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": MEMORY_MB,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": self.store_address or self.system.store.address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "maxValueBytes": 1048576,
                "minTtlMs": 1000,
            },
        }
        self._settings = self.system.folder / f"{self.name}.json"
        self._settings.write_text(json.dumps(document))

    def start(self):
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["GODWITFLOW_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            self.system.command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self.started_at = self.system.record.now()
        self.system.record.write(f"node {self.name} started")

    def send_signal(self, number):
        self.system.record.write(f"node {self.name} gets {number.name}")
        self.process.send_signal(number)

    def private_mb(self):
        """Return the resident memory of the process, less shared pages."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        if not text:
            return 0.0
        resident, shared = (int(field) for field in text.split()[1:3])
        return (resident - shared) * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def watch(self):
        """Start the process again whenever it ends."""
        while True:
            await asyncio.sleep(0.05)
            code = self.process.poll()
            if code is None:
                continue
            self.ends.append((self.system.record.now(), code))
            self.system.record.write(f"node {self.name} ended code={code}")
            if not self._restart:
                return
            await asyncio.sleep(RESTART_DELAY_S)
            self.start()

    def end(self):
        self._restart = False
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self._log.close()


class System:
    """The store, the backends and the nodes of one run."""

    def __init__(self, record, nodes):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.backends = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = shlex.split(deploy["roles"]["node"]["run"])
        self.nodes = []
        for index in range(nodes):
            self.nodes.append(Node(self, index))
        for node in self.nodes:
            node.allocate()
        self.inner = _free_range([node.ip for node in self.nodes], 4)
        self._tasks = []

    async def add_backend(self, name, service, zone="east", **options):
        backend = Backend(self.record, name, service, zone, **options)
        await backend.start()
        self.backends[name] = backend
        self.store.put("servers", name, backend.spec())
        return backend

    def configure(self, version, routes, services, connections=110):
        self.store.put(
            "config",
            "main",
            {
                "version": version,
                "routes": routes,
                "services": [
                    {
                        "name": name,
                        "healthPath": "/health",
                        "maxConns": connections,
                        "protocol": "h1",
                        "tls": False,
                    }
                    for name in services
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            },
        )

    async def start_nodes(self):
        for node in self.nodes:
            node.start()
            self._tasks.append(asyncio.ensure_future(node.watch()))

    async def wait_ready(self, timeout_s=20.0):
        until = time.monotonic() + timeout_s
        waiting = list(self.nodes)
        while waiting:
            if time.monotonic() > until:
                raise RuntimeError("nodes did not become ready")
            if await ready(waiting[0]):
                waiting.pop(0)
            else:
                await asyncio.sleep(0.1)

    def end(self):
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def ready(node):
    """Ask a node's readiness address as the platform does."""
    try:
        client = Client(node.ip, node.ports["ready"])
        status, _, _ = await asyncio.wait_for(
            client.request("GET", "/readiness", {}), 1.0
        )
        client.close()
    except (OSError, EOFError, asyncio.TimeoutError):
        return False
    return status == 200


class Client:
    """A requester's connection; opens it with the first request."""

    def __init__(self, host, port, own_host=None):
        self._address = (host, port)
        self._host = own_host
        self._reader = None
        self._writer = None

    async def open(self):
        local = (self._host, 0) if self._host else None
        self._reader, self._writer = await asyncio.open_connection(
            *self._address, limit=4_000_000, local_addr=local
        )

    async def request(self, method, target, headers, body=None):
        """Return status, headers and body; EOFError if the answer is cut."""
        if self._writer is None:
            await self.open()
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self._writer.write(data + (body or b""))
        head = await read_head(self._reader)
        if head is None:
            raise EOFError("no answer")
        line, answered = head
        length = int(answered.get("content-length", "0"))
        data = await self._reader.readexactly(length)
        if answered.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), answered, data

    def close(self):
        if self._writer is not None:
            self._writer.close()
            self._writer = None


def route(name, kind, **target):
    return {
        "name": f"r-{name}",
        "hostname": HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 6000,
        "targetLatencyMs": 944,
        "priority": 2,
        "attempts": 2,
        **target,
    }


def _free_range(hosts, count):
    for _ in range(200):
        first = 16 * random.randrange(1_250, 2_000)  # below the ephemeral ones
        if all(
            _is_free(host, port)
            for host in hosts
            for port in range(first, first + count)
        ):
            return first
    raise RuntimeError("no free ports")


def _is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


def run_case(folder, main, limit_s=110.0):
    """Run a case; return 1 if the rule was broken, 0 if not, 2 on failure."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"trouble={int(trouble)}")

    def stop(number, frame):
        raise SystemExit(2)  # the nodes are ended on the way out

    signal.signal(signal.SIGTERM, stop)

    async def limited():
        return await asyncio.wait_for(main(record, trouble), limit_s)

    try:
        broken = asyncio.run(limited())
    except Exception as error:  # the case could not run
        record.say(f"could not run: {error!r}")
        record.close()
        return 2
    record.say("rule broken" if broken else "rule held")
    record.close()
    return 1 if broken else 0
