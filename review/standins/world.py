"""Stand-ins for the platform, samplers and clients, and the gateways' processes, for review cases.

Standard library only. The platform's store, samplers and clients speak what the users' PROTOCOL.md
says; the gateways are started with the run command and the settings template of the deploy file.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
MODEL = "daka510000"
ENGINES, SERVICE = "redator", "balcao"
BOUNDS = {
    "drain-ms": 3000,
    "grace-s": 8,
    "lease-ms": 3000,
    "status-s": 120,
    "settle-ms": 1000,
    "config-apply-ms": 3000,
    "recover-s": 12,
    "finish-s": 10,
}


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self.started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def note(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


# --- HTTP ---------------------------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    @property
    def path(self):
        return self.target.partition("?")[0]

    @property
    def query(self):
        values = parse_qs(self.target.partition("?")[2], keep_blank_values=True)
        return {name: each[0] for name, each in values.items()}


async def read_message(reader):
    """Return start line, headers and body of an HTTP message, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return lines[0], headers, b"".join(parts)
    length = int(headers.get("content-length", "0"))
    return lines[0], headers, await reader.readexactly(length) if length else b""


def encode_answer(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """A server at a loopback address; `handle(request, writer)` returns an answer or None."""

    def __init__(self, host="127.0.0.1"):
        self.host, self.port, self._server = host, 0, None
        self._writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=64 * 1024 * 1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                start, headers, body = message
                method, target, _ = start.split(" ")
                answer = await self.handle(Request(method, target, headers, body), writer)
                if answer is not None:
                    writer.write(encode_answer(*answer))
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        raise NotImplementedError


async def call(address, method, target, headers=(), body=b"", seconds=5.0, host=HOST):
    """Send one request on a new connection; return status, headers and body, None without answer."""
    name, _, port = address.rpartition(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(name, int(port), limit=64 * 1024 * 1024)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
            lines += [f"{key}: {value}" for key, value in headers]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode("latin-1") + body)
            await writer.drain()
            message = await read_message(reader)
        finally:
            writer.close()
        return message and (int(message[0].split(" ")[1]), message[1], message[2])

    try:
        return await asyncio.wait_for(exchange(), seconds)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


# --- The platform's store -------------------------------------------------------------------------


class Store(Server):
    """The platform's store as PROTOCOL.md tells it, without faults."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.rows = {}  # (table, part, key) -> (value, ver)
        self.log = []  # (ver, table, part, key, value or None)
        self.ver = 0
        self._started = time.monotonic() - 1000.0
        self._changed = asyncio.Event()

    def now_ms(self):
        return int((time.monotonic() - self._started) * 1000)

    def put(self, table, key, value, part=""):
        """Write a row as the operator, a sampler or another writer does; returns once accepted."""
        self.apply([(table, part, key, value)])
        return self.record.now()

    def apply(self, changes):
        self.ver += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[(table, part, key)] = (value, self.ver)
            self.log.append((self.ver, table, part, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _row(self, table, part, key, value, ver):
        row = {"table": table, "part": part, "key": key, "ver": ver}
        if value is None:
            return {**row, "tombstone": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def _json(self, status, document):
        document = {**document, "ver": self.ver, "now-ms": self.now_ms()}
        return status, [("Content-Type", "application/json")], json.dumps(document).encode()

    async def handle(self, request, writer):
        query = request.query
        await asyncio.sleep(0.004)
        if request.path == "/rows-tx":
            return self._transact(json.loads(request.body))
        if request.path == "/rows-get":
            return self._get(query)
        if request.path == "/rows-parts":
            parts = sorted({p for t, p, _ in self.rows if t == query["table"]})
            parts = [p for p in parts if p > query["after"]] if query.get("after") else parts
            return self._json(200, {"parts": parts[:1000]})
        if request.path == "/rows-feed":
            return await self._feed(query)
        return 404, [], b""

    def _transact(self, document):
        expected = [(e["table"], e.get("part", ""), e["key"], e["ver"]) for e in document["expected"]]
        for table, part, key, ver in expected:
            if self.rows.get((table, part, key), (None, 0))[1] != ver:
                return self._json(412, {"rows": []})
        changes = [
            (p["table"], p.get("part", ""), p["key"], base64.b64decode(p["value"]))
            for p in document.get("puts", ())
        ]
        changes += [(p["table"], p.get("part", ""), p["key"], None) for p in document.get("remove", ())]
        if any(table in ("op", "servers") for table, *_ in changes):
            return self._json(403, {})
        self.apply(changes)
        return self._json(200, {})

    def _get(self, query):
        limit = min(500, int(query.get("limit", 500)))
        first = query.get("from", "")
        keys = sorted(
            k for t, p, k in self.rows
            if t == query["table"] and p == query.get("part", "") and k >= first
        )
        rows, size = [], 0
        for key in keys[:limit]:
            value, ver = self.rows[(query["table"], query.get("part", ""), key)]
            size += len(value) * 4 // 3
            if rows and size > 1_000_000:
                break
            rows.append(self._row(query["table"], query.get("part", ""), key, value, ver))
        return self._json(200, {"rows": rows, "truncated": len(rows) < len(keys)})

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            rows = [each for each in self.log if each[0] > after and each[1] == table]
            left = until - time.monotonic()
            if rows or left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        documents = [self._row(t, p, k, value, ver) for ver, t, p, k, value in rows[:500]]
        return self._json(200, {"rows": documents, "truncated": len(rows) > 500})


# --- Samplers -------------------------------------------------------------------------------------


class Sampler(Server):
    """A plain sampler; it registers in the store and heartbeats until `leave`."""

    service = SERVICE
    slots = 6

    def __init__(self, world, name, zone="lisboa-a"):
        super().__init__()
        self.world, self.record, self.name, self.zone = world, world.record, name, zone
        self.born = int(time.time() * 1000)
        self.state, self.seq, self.registered = "ready", 0, True
        self.work_seconds = 0.03
        self.arrivals = []  # (time, request id, path)

    def document(self):
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold-remaining-ms": 0, "seq": self.seq,
            "born": self.born,
        }  # fmt: skip

    def register(self):
        self.seq += 1
        return self.world.store.put("servers", self.name, json.dumps(self.document()).encode())

    async def beat(self):
        while self.registered:
            self.register()
            await asyncio.sleep(1.2)

    async def start(self):
        await super().start()
        asyncio.ensure_future(self.beat())

    def leave(self):
        """Report `draining`; the caller removes the entry and stops the sampler later."""
        self.state = "draining"
        return self.register()

    def remove(self):
        self.registered = False
        return self.world.store.put("servers", self.name, None)

    async def crash(self):
        """Be lost for good: no more answers and check-ins; the entry goes after three intervals."""
        self.registered = False
        self.record.note(f"{self.name} crashes")
        await self.stop()
        await asyncio.sleep(3 * 1.2)
        self.world.store.put("servers", self.name, None)

    def misdirected(self, request):
        expected = request.headers.get("x-pumicedeck-expect-instance", self.name)
        return expected != self.name

    async def handle(self, request, writer):
        request_id = request.headers.get("x-pumicedeck-request-id", "")
        if self.misdirected(request):
            return 421, [("X-Pumicedeck-Instance-Id", self.name)], b""
        if not request_id:
            return 400, [("X-Pumicedeck-Not-Run", "1")], b""
        self.arrivals.append((self.record.now(), request_id, request.path))
        self.record.note(f"{self.name} runs {request_id} {request.path}")
        await asyncio.sleep(self.work_seconds)
        headers = [
            ("X-Pumicedeck-Request-Id", request_id),
            ("X-Pumicedeck-Response-Signature", f"mac-{request_id}"),
            ("X-Pumicedeck-Server-Load", f"1,0,{self.slots}"),
        ]
        return 200, headers, f"answer to {request_id}".encode()


class Engine(Sampler):
    """A model sampler: streams the events of items and loads versions on order."""

    service = ENGINES
    slots = 12
    event_seconds = 0.03
    load_seconds = 0.9

    def __init__(self, world, name, zone="lisboa-a"):
        super().__init__(world, name, zone)
        self.version, self.orders, self.busy = 1, 0, False
        self.running = 0
        self.tasks = []

    def models(self):
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    def document(self):
        return {**super().document(), "stage": "both", "models": self.models()}

    def report(self):
        return json.dumps({
            "stage": "both", "models": self.models(), "busy": self.busy, "seq": self.orders,
            "waiting": 0, "running": self.running, "kv-used": 0, "kv-total": 78763, "handles": 0,
            "state": self.state, "born": self.born,
        }).encode()  # fmt: skip

    async def handle(self, request, writer):
        if self.misdirected(request):
            return 421, [("X-Pumicedeck-Instance-Id", self.name)], b""
        if request.path == "/report":
            return 200, [("Content-Type", "application/json")], self.report()
        if request.path == "/order":
            return self.order(json.loads(request.body)), [], b"{}"
        return await self.generate(request, writer)

    def order(self, document):
        status = self.decide_order(document)
        self.record.note(f"{self.name} order {json.dumps(document)} answered {status}")
        return status

    def decide_order(self, document):
        if document["version"] <= self.version:
            return 200
        if self.busy or document.get("expected", self.orders) != self.orders:
            return 409
        self.busy = True
        self.orders += 1

        def finish():
            self.version, self.busy = document["version"], False
            self.record.note(f"{self.name} has version {self.version}")
            self.register()

        async def load():
            while document["mode"] == "wait" and self.running:
                await asyncio.sleep(0.02)
            await asyncio.sleep(self.load_seconds)
            finish()

        self.tasks.append(asyncio.ensure_future(load()))
        return 202

    async def generate(self, request, writer):
        item = request.headers.get("x-pumicedeck-request-id", "")
        last = int(request.headers.get("last-event-id", "0") or 0)
        events = int(request.body)
        if self.busy:
            headers = [("X-Pumicedeck-Not-Run", "1"), ("X-Pumicedeck-Request-Id", item)]
            return 503, headers, b""
        self.arrivals.append((self.record.now(), item, request.path))
        self.record.note(f"{self.name} runs item {item} from event {last + 1}")
        version = self.version
        head = [
            "HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
            f"X-Pumicedeck-Request-Id: {item}", f"X-Pumicedeck-Response-Signature: mac-{item}",
            f"X-Pumicedeck-Weight-Versions: {version}", "", "",
        ]  # fmt: skip
        self.running += 1
        try:
            writer.write("\r\n".join(head).encode())
            for number in range(last + 1, events + 1):
                await asyncio.sleep(self.event_seconds)
                line = ""
                if self.version != version:
                    version = self.version
                    line = f"x-pumicedeck-weight-versions: {version}\n"
                data = f"{line}id: {number}\ndata: {event_text(item, number)}\n\n".encode()
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record.note(f"{self.name} finished item {item}")
        finally:
            self.running -= 1
        return None


def event_text(item, number):
    return f"{item}.{number}"


def whole_text(item, events):
    return "\n".join(event_text(item, number) for number in range(1, events + 1))


# --- Gateways -------------------------------------------------------------------------------------


def render(template, fields):
    """Fill in the placeholders {{a.b|json}} of a template; sections of absent values are left out."""
    template = re.sub(r"\{\{#cloud\.address\}\}.*?\{\{/cloud\.address\}\}", "", template, flags=re.S)

    def value(match):
        found = fields
        for name in match[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return json.dumps(found)

    return re.sub(r"\{\{([^|}]+)\|json\}\}", value, template)


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Gateway:
    """A process of the role `gateway`, at a loopback address of its own."""

    def __init__(self, world, number, zone, relay_port, memory_mb=180):
        self.world, self.record = world, world.record
        self.name = f"front-{zone}-{number}"
        host = f"127.0.{20 + os.getpid() % 200}.{10 + number}"
        self.callers = f"{host}:{free_port(host)}"
        self.ready = f"{host}:{free_port(host)}"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        fields = {
            "node": self.name, "zone": zone, "region": "lisboa",
            "zones": {"lisboa-a": "lisboa", "lisboa-b": "lisboa"},
            "listen": {"front": self.callers, "ready": self.ready},
            "internal-ports": [relay_port, relay_port + 1],
            "platform": {"address": world.store.address, "writes-per-s": 800,
                         "reads-per-s": 2000, "row-bytes": 65536},
            "bounds": BOUNDS,
            "limits": {"cpu-share": 0.717, "cores": 3, "memory-mb": memory_mb, "max-fds": 8200},
        }  # fmt: skip
        text = render((ROOT / role["template"]).read_text(), fields)
        text = text.replace("metrics_port: 9464", f"metrics_port: {free_port(host)}")
        self._settings = world.folder / f"{self.name}.yaml"
        self._settings.write_text(text)
        self._command = role["run"].split(" ")
        self._log = world.folder / f"{self.name}.log"
        self.process = None

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PUMICEDECK_BOOT"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note(f"{self.name} started")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.record.note(f"{self.name} killed")

    async def is_ready(self):
        answer = await call(self.ready, "GET", "/ready", seconds=1.0)
        return answer is not None and answer[0] == 200

    def log_lines(self, word):
        return [line for line in self._log.read_text(errors="replace").splitlines() if word in line]


# --- The whole ------------------------------------------------------------------------------------


class World:
    """A small deployment: the store, samplers, gateways, an operator and clients."""

    service_class = Sampler

    def __init__(self, case_folder, gateways=3, engines=2, services=2):
        self.case_folder = Path(case_folder)
        self.record = Record(self.case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._counts = (gateways, engines, services)
        self.store = None
        self.gateways, self.engines, self.services = [], [], []
        self.version = 0

    async def start(self, seconds=20.0):
        gateways, engines, services = self._counts
        self.store = Store(self.record)
        await self.store.start()
        self.publish(self.routes())
        self.services = [self.service_class(self, f"i-b{n}") for n in range(services)]
        self.engines = [Engine(self, f"i-e{n}") for n in range(engines)]
        for each in (*self.services, *self.engines):
            await each.start()
        relay_port = free_port("127.0.0.1")
        zones = ("lisboa-a", "lisboa-b")
        self.gateways = [
            Gateway(self, n + 1, zones[n % 2], relay_port) for n in range(gateways)
        ]
        for each in self.gateways:
            each.start()
        return await self.wait_ready(seconds)

    async def wait_ready(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all([await each.is_ready() for each in self.gateways]):
                self.record.note("all gateways are ready")
                return True
            await asyncio.sleep(0.1)
        return False

    def routes(self):
        """Return the routes of the first manifest, by name."""
        return {
            "r-previa": {"host": HOST, "path-prefix": "/lohu930/", "route-type": "idempotent",
                         "timeout-ms": 4000, "target-latency-ms": 291, "priority": 2,
                         "service": SERVICE, "max-attempts": 2},
            "r-nif": {"host": HOST, "path-prefix": "/pufi791/", "route-type": "idempotent",
                      "timeout-ms": 1500, "target-latency-ms": 349, "priority": 2,
                      "service": SERVICE, "max-attempts": 4},
            "r-linhas": {"host": HOST, "path-prefix": "/pule252/", "route-type": "rollout",
                         "timeout-ms": 10000, "target-latency-ms": 400, "due-ms": 7500,
                         "max-wait-s": 40, "priority": 1, "service": ENGINES, "max-attempts": 3},
        }  # fmt: skip

    def publish(self, routes):
        """Write a manifest; return when the store confirmed it."""
        self.version += 3
        manifest = {
            "version": self.version,
            "routes": [{"name": name, **route} for name, route in routes.items()],
            "services": [
                {"name": ENGINES, "health-path": "/healthz", "max-connections": 150,
                 "protocol": "h1", "tls": False,
                 "engine": {"slots": 12, "kv-capacity-tokens": 78763, "models": [{"name": MODEL}]}},
                {"name": SERVICE, "health-path": "/healthz", "max-connections": 96,
                 "protocol": "h1", "tls": False},
            ],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 33554432,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        }  # fmt: skip
        at = self.store.put("op", "config", json.dumps(manifest).encode())
        self.record.note(f"operator: manifest {self.version} confirmed, routes {sorted(routes)}")
        return at

    def name_version(self, version):
        document = {"model": MODEL, "version": version}
        self.store.put("op", f"version/{MODEL}", json.dumps(document).encode())
        self.record.note(f"trainer: version {version} named and confirmed")

    async def submit(self, gateway, submission, items, step=0, min_version=1, group=4):
        """Submit items ((id, events) each); return the status."""
        document = {
            "step": step, "model": MODEL, "min-version": min_version,
            "group-target": max(1, len(items) // group),
            "items": [
                {"id": item, "path": f"/pule252/3/{item}",
                 "headers": {"X-Pumicedeck-Model": MODEL, "X-Pumicedeck-Token-Counts": "16,400"},
                 "body": base64.b64encode(str(events).encode()).decode(), "tokens": 416,
                 "group": f"g{number // group}",
                 "scorer": {"id": f"s-{item}", "host": HOST, "path": f"/pufi791/{item}",
                            "body": "3q2+7w=="}}
                for number, (item, events) in enumerate(items)
            ],
        }  # fmt: skip
        headers = [("X-Pumicedeck-Request-Id", submission), ("Content-Type", "application/json")]
        answer = await call(
            gateway.callers, "POST", f"/pule252/{submission}", headers, json.dumps(document).encode()
        )
        status = answer and answer[0]
        self.record.note(f"client: submission {submission} to {gateway.name} answered {status}")
        return status

    async def read(self, gateway, submission, after=0, wait_ms=0):
        """Read results; return status and document."""
        headers = [("X-Pumicedeck-Wait-Ms", str(wait_ms))] if wait_ms else []
        answer = await call(
            gateway.callers, "GET", f"/lots/{submission}?after={after}", headers, seconds=4.0
        )
        status = answer and answer[0]
        document = json.loads(answer[2]) if status == 200 else {}
        results = [(r["id"], r["state"]) for r in document.get("results", ())]
        self.record.note(
            f"client: read {submission} after={after} at {gateway.name} answered {status} {results}"
        )
        return status, document

    async def read_all(self, gateway, submission, seconds):
        """Read from position 0 on until all results are there or the time is over."""
        until, found, total = time.monotonic() + seconds, [], None
        while time.monotonic() < until and (total is None or len(found) < total):
            status, document = await self.read(gateway, submission, len(found), 500)
            if status == 200:
                total = document["total"]
                found += document["results"]
            await asyncio.sleep(0.3)
        return found, total

    async def close(self):
        for each in self.gateways:
            each.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play):
    """Play a case; exit with 1 if it returns broken rules, 0 if none, 2 if it couldn't run."""

    async def main():
        world = World(folder)
        world.record.note(f"TROUBLE={'1' if TROUBLE else '0'}")
        try:
            broken = await asyncio.wait_for(play(world), 112.0)
            for line in broken:
                world.record.note(f"BROKEN {line}")
            world.record.note(f"exit {1 if broken else 0}")
            print("\n".join(broken) or "no rule was broken")
            return 1 if broken else 0
        finally:
            await world.close()

    def stop(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        sys.exit(asyncio.run(main()))
    except (Exception, KeyboardInterrupt) as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}")
        sys.exit(2)
