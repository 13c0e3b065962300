"""Stand-ins for the platform's store, samplers and clients, and the project's gateways as processes.

Standard library only. Everything listens on loopback addresses of this machine; each gateway has an
address of its own, as the ports of a day are the same on all machines.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlencode

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_PORT, FRONT_PORT, RELAY_PORT, METRICS_PORT = 18140, 18144, 17660, 9464
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case cannot run here."""


class Record:
    """Writes what was sent, answered and run, one JSON line each, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")
        self._began = time.monotonic()

    def now(self):
        return round(time.monotonic() - self._began, 3)

    def __call__(self, event, **fields):
        self._file.write(json.dumps({"at": self.now(), "event": event, **fields}) + "\n")
        self._file.flush()


# ---------------------------------------------------------------- HTTP


async def read_head(reader):
    """Return the first line and the headers by lower-case name, None at the end."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = block[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


def encode_answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def serve(host, port, handle):
    """Serve keep-alive connections; `handle(method, target, headers, body, writer)` answers."""

    async def connection(reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                closed = asyncio.ensure_future(wait_closed(reader))
                work = asyncio.ensure_future(handle(method, target, headers, body, writer))
                done, _ = await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
                closed.cancel()
                if work not in done:
                    work.cancel()
                    await asyncio.wait((work,))
                    break
                work.result()
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=2**26)


async def wait_closed(reader):
    """Return once the other side has closed; it sends nothing before it is answered."""
    while not reader.at_eof() and not reader._buffer:
        await asyncio.sleep(0.02)
    if reader._buffer:
        await asyncio.Event().wait()


async def request(address, method, target, headers=(), body=b"", seconds=10.0):
    """Send a request on a new connection; return status, headers and body; None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=2**26)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await read_head(reader)
            if head is None:
                return None
            status = int(head[0].split(" ")[1])
            if head[1].get("transfer-encoding", "").lower() == "chunked":
                data = b""
                while size := int((await reader.readline()) or b"0", 16):
                    data += (await reader.readexactly(size + 2))[:-2]
                return status, head[1], data
            return status, head[1], await reader.readexactly(int(head[1]["content-length"]))
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), seconds)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None


# ---------------------------------------------------------------- the platform's store


class Store:
    """The platform's store in the form `table`: rows, conditions, a feed; answers after 4 ms."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.ver = 0
        self.changed = asyncio.Event()
        self.answer_seconds = 0.004

    async def start(self, host):
        self._server = await serve(host, 0, self.handle)
        self.address = self._server.sockets[0].getsockname()[:2]

    def put(self, table, part, key, value, ver):
        row = {"table": table, "part": part, "key": key, "ver": ver}
        row |= {"tombstone": True} if value is None else {"value": value}
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = row
        self.history.append(row)

    def write(self, table, key, document):
        """Write a row as the operator, a trainer or a sampler does."""
        self.ver += 1
        self.put(table, "", key, base64.b64encode(json.dumps(document).encode()).decode(), self.ver)
        self._notify()

    def remove(self, table, key):
        self.ver += 1
        self.put(table, "", key, None, self.ver)
        self._notify()

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row["value"])

    def _notify(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _page(self, rows, **fields):
        document = {"rows": rows, **fields, "ver": self.ver, "now-ms": time.monotonic() * 1000}
        return encode_answer(200, json.dumps(document).encode())

    async def handle(self, method, target, headers, body, writer):
        path, _, query = target.partition("?")
        asked = {name: values[0] for name, values in parse_qs(query).items()}
        if path == "/rows-feed":
            writer.write(await self._feed(asked))
            return
        if path == "/rows-tx":
            await asyncio.sleep(0.005)
        answer = self._answer(path, asked, body)
        await asyncio.sleep(self.answer_seconds)
        writer.write(answer)

    def _answer(self, path, asked, body):
        if path == "/rows-tx":
            return self._commit(json.loads(body), len(body))
        if path == "/rows-parts":
            names = {k[1] for k in self.rows if k[0] == asked["table"]}
            names = sorted(name for name in names if name > asked.get("after", ""))[:1000]
            document = {"parts": names, "ver": self.ver, "now-ms": time.monotonic() * 1000}
            return encode_answer(200, json.dumps(document).encode())
        if path == "/rows-get":
            part = asked.get("part", "")
            keys = sorted(
                k for k in self.rows
                if k[:2] == (asked["table"], part) and k[2] >= asked.get("from", "")
            )
            rows, size = [], 0
            for key in keys:
                row = self.rows[key]
                size += len(row["value"]) + 100
                if rows and (size > 1_000_000 or len(rows) >= int(asked.get("limit", 500))):
                    return self._page(rows, truncated=True)
                rows.append(row)
            return self._page(rows, truncated=False)
        return encode_answer(404)

    def _commit(self, change, size):
        entries = change["expected"] + change["puts"] + change["remove"]
        parts = {each["part"] for each in entries}
        if len(entries) > 100 or size > 1_400_000 or len(parts) > 1:
            return encode_answer(400)
        for each in change["expected"]:
            found = self.rows.get((each["table"], each["part"], each["key"]))
            if (found["ver"] if found else 0) != each["ver"]:
                return encode_answer(412, b'{"rows":[]}')
        if any(each["table"] in ("op", "servers") for each in change["puts"] + change["remove"]):
            return encode_answer(403)
        self.ver += 1
        for each in change["puts"]:
            self.put(each["table"], each["part"], each["key"], each["value"], self.ver)
        for each in change["remove"]:
            self.put(each["table"], each["part"], each["key"], None, self.ver)
        self._notify()
        document = {"ver": self.ver, "now-ms": time.monotonic() * 1000}
        return encode_answer(200, json.dumps(document).encode())

    async def _feed(self, asked):
        until = time.monotonic() + int(asked["wait-ms"]) / 1000
        table, after = asked["table"], int(asked["after"])
        while True:
            changed = self.changed
            rows = []
            for row in reversed(self.history):
                if row["ver"] <= after:
                    break
                if row["table"] == table:
                    rows.insert(0, row)
            left = until - time.monotonic()
            if rows or left <= 0:
                page = self._page(rows)
                await asyncio.sleep(self.answer_seconds)
                return page
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def lease_holder(self):
        """Return the machine that last wrote to the store under a condition as the scheduler."""
        value = self.value("leases", "scheduler", "scheduler")
        return json.loads(value)["holder"].partition("/")[0] if value else ""


class Link:
    """One machine's way to the store: passes connections on, and can let open ones go silent."""

    def __init__(self):
        self.flows = []

    async def start(self, host, target):
        self._target = target
        self._server = await asyncio.start_server(self._connect, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _connect(self, reader, writer):
        flow = {"asked": "", "silent": False}
        self.flows.append(flow)
        upstream = await asyncio.open_connection(*self._target)

        async def pump(source, sink, from_machine):
            try:
                while data := await source.read(2**18):
                    if from_machine and b" HTTP/1.1\r\n" in data:
                        flow["asked"] = data.partition(b" HTTP/1.1\r\n")[0].decode("latin-1")
                    if not flow["silent"]:
                        sink.write(data)
                        await sink.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass

        inward = asyncio.ensure_future(pump(reader, upstream[1], True))
        outward = asyncio.ensure_future(pump(upstream[0], writer, False))
        try:
            await asyncio.wait((inward, outward), return_when=asyncio.FIRST_COMPLETED)
            while flow["silent"] and not inward.done():
                await asyncio.sleep(0.05)
        except asyncio.CancelledError:
            pass
        for each in (inward, outward):
            each.cancel()
        self.flows.remove(flow)
        writer.close()
        upstream[1].close()

    def silence(self, asked):
        """Let the open connections go silent whose last request begins with `asked`."""
        chosen = [flow for flow in self.flows if flow["asked"].startswith(asked)]
        for flow in chosen:
            flow["silent"] = True
        return len(chosen), len(self.flows)


# ---------------------------------------------------------------- samplers


class Sampler:
    """A sampler of a service: `slots` requests at once and a few more that wait."""

    def __init__(self, world, name, service, slots):
        self.world, self.name, self.service, self.slots = world, name, service, slots
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.models = []

    async def start(self, host):
        self._server = await serve(host, 0, self.handle)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._task = asyncio.ensure_future(self._register())

    async def _register(self):
        while True:
            self.seq += 1
            self.world.store.write("servers", self.name, self._entry())
            await asyncio.sleep(1.2)

    def _entry(self):
        return {
            "service": self.service, "address": "%s:%d" % self.address, "zone": "lisboa-a",
            "version": "v1", "slots": self.slots, "state": "ready", "cold-remaining-ms": 0,
            "stage": "both", "models": self.models, "seq": self.seq, "born": self.born,
        }

    async def handle(self, method, target, headers, body, writer):
        expected = headers.get("x-pumicedeck-expect-instance")
        if expected and expected != self.name:
            writer.write(encode_answer(421, b"", (("X-Pumicedeck-Instance-Id", self.name),)))
            return
        if target == "/report":
            writer.write(encode_answer(200, json.dumps(self._report()).encode()))
            return
        if target == "/order":
            writer.write(encode_answer(self.order(json.loads(body)), b"{}"))
            return
        request_id = headers.get("x-pumicedeck-request-id", "")
        marks = (("X-Pumicedeck-Request-Id", request_id),)
        if self.waiting >= 4:
            writer.write(encode_answer(503, b"", (*marks, ("X-Pumicedeck-Not-Run", "1"))))
            return
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.world.record("runs", sampler=self.name, id=request_id,
                              after=headers.get("last-event-id"))
            self.world.runs.append((time.monotonic(), self.name, request_id))
            await self.run(request_id, headers, body, writer, marks)
        finally:
            self.running -= 1
            self.free.release()
            self.world.ends.append((time.monotonic(), self.name, request_id))

    def _report(self):
        return {
            "stage": "both", "models": self.models, "busy": False, "seq": 0,
            "waiting": self.waiting, "running": self.running, "kv-used": 0, "kv-total": 90000,
            "handles": 0, "born": self.born,
        }

    def order(self, document):
        return 400

    def load(self):
        return (("X-Pumicedeck-Server-Load", f"{self.running},{self.waiting},{self.slots}"),)


class Service(Sampler):
    """A plain sampler; each request takes `work` seconds."""

    work = 0.045

    async def run(self, request_id, headers, body, writer, marks):
        await asyncio.sleep(self.work)
        mac = ("X-Pumicedeck-Response-Signature", f"mac.{self.name}.{request_id}")
        writer.write(encode_answer(200, f"done {request_id}".encode(), (*marks, mac, *self.load())))


class Engine(Sampler):
    """A model sampler; the body of an item is JSON with `events` and `seconds` between them."""

    def __init__(self, world, name, service, slots, model):
        super().__init__(world, name, service, slots)
        self.models = [{"name": model, "version": 1, "adapters": []}]

    async def run(self, request_id, headers, body, writer, marks):
        wanted = json.loads(body)
        first = int(headers.get("last-event-id", "0")) + 1
        lines = ["HTTP/1.1 200 -", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{n}: {v}" for n, v in (*marks, *self.load())]
        lines += ["X-Pumicedeck-Weight-Versions: 1"]
        lines += [f"X-Pumicedeck-Response-Signature: mac.{self.name}.{request_id}"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(first, wanted["events"] + 1):
            await asyncio.sleep(wanted["seconds"])
            event = f"id: {number}\ndata: {piece(request_id, number)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.world.record("whole", sampler=self.name, id=request_id)
        self.world.whole.add(request_id)


def piece(item_id, number):
    return f"{item_id}.{number}"


# ---------------------------------------------------------------- the machines


def render(template, fields):
    """Fill in the project's template for settings as DEPLOY.md says; empty sections are left out."""
    text = re.sub(r"\{\{#cloud\.address\}\}.*\{\{/cloud\.address\}\}", "", template, flags=re.S)

    def value(match):
        found = fields
        for name in match[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return json.dumps(found)

    return re.sub(r"\{\{([a-z.0-9-]+)\|json\}\}", value, text)


class Gateway:
    """One `front` machine: the process of the deploy file, with a loopback address of its own."""

    def __init__(self, world, number):
        self.world, self.name = world, f"front-lisboa-a-{number}"
        self.ip = f"127.{world.net}.1.{number}"
        self.front, self.ready = (self.ip, FRONT_PORT), (self.ip, READY_PORT)
        self.link = Link()
        self.process = None

    async def start(self):
        await self.link.start(self.ip, self.world.store.address)
        for port in (READY_PORT, FRONT_PORT, RELAY_PORT, METRICS_PORT):
            with socket.socket() as probe:
                probe.bind((self.ip, port))
        bounds = {
            "drain-ms": 3000, "grace-s": 8, "lease-ms": 3000, "status-s": 120, "settle-ms": 1000,
        }
        fields = {
            "node": self.name, "zone": "lisboa-a", "region": "lisboa",
            "zones": {"lisboa-a": "lisboa"}, "bounds": bounds,
            "listen": {"front": "%s:%d" % self.front, "ready": "%s:%d" % self.ready},
            "internal-ports": [RELAY_PORT, RELAY_PORT + 15],
            "limits": {
                "cpu-share": 0.717, "cores": 3, "memory-mb": self.world.memory_mb, "max-fds": 8200,
            },
            "platform": {
                "address": "%s:%d" % self.link.address, "writes-per-s": 800, "reads-per-s": 2000,
                "row-bytes": 65536,
            },
        }
        self.settings = Path(self.world.folder) / f"{self.name}.yaml"
        self.settings.write_text(render((ROOT / "deploy/settings.yaml").read_text(), fields))
        self.spawn()

    def spawn(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {
            "PUMICEDECK_BOOT": str(self.settings), "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.log = open(Path(self.world.folder) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            ["python3", "-m", "pumicedeck.platform"], cwd=ROOT, env=environment,
            stdout=self.log, stderr=self.log,
        )

    async def is_ready(self):
        answer = await request(self.ready, "GET", "/ready", seconds=1.0)
        return answer is not None and answer[0] == 200

    def peak_bytes(self):
        """Return the most that the process has held in memory, 0 once it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmHWM:\s+(\d+) kB", text)
        return int(found[1]) * 1024 if found else 0

    async def keep_to_memory(self, over):
        """Kill the process when it exceeds the machine's memory and start it again, as DEPLOY.md.

        `over` is called with the bytes that it held.
        """
        while True:
            held = self.peak_bytes()
            if held > self.world.memory_mb * 2**20:
                self.process.send_signal(signal.SIGKILL)
                self.process.wait()
                over(self, held)
                await asyncio.sleep(0.5)
                self.spawn()
            await asyncio.sleep(0.02)

    def lines(self, *words):
        """Return the lines of the log that hold one of `words`, without what names the machine."""
        text = (Path(self.world.folder) / f"{self.name}.log").read_text(errors="replace")
        return [line for line in text.splitlines() if any(word in line for word in words)]


class World:
    """A small deployment: the store, samplers of two services, and gateways."""

    def __init__(self, folder, gateways=3, engines=2, services=2, memory_mb=180):
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.record = Record(folder)
        self.net = random.randint(20, 250)
        self.memory_mb = memory_mb
        self.store = Store()
        self.runs, self.ends, self.whole = [], [], set()
        self.gateways = [Gateway(self, number) for number in range(1, gateways + 1)]
        self.engines = [
            Engine(self, f"i-engine{number}", "redator", 12, "m0") for number in range(engines)
        ]
        self.services = [
            Service(self, f"i-service{number}", "balcao", 6) for number in range(services)
        ]

    async def start(self, manifest):
        if not (ROOT / "target/deps").is_dir():
            raise CannotRun("the deploy file's build was not run")
        host = f"127.{self.net}.0.1"
        await self.store.start(host)
        for sampler in (*self.engines, *self.services):
            await sampler.start(host)
        self.write_manifest(manifest)
        for gateway in self.gateways:
            await gateway.start()
        for _ in range(200):
            if all([await gateway.is_ready() for gateway in self.gateways]):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the gateways do not become ready")
        for _ in range(100):
            if self.store.lease_holder():
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("no gateway schedules")
        self.record("ready", leads=self.store.lease_holder())

    def write_manifest(self, document):
        self.store.write("op", "config", document)
        self.record("operator writes manifest", version=document["version"],
                    routes=[each["name"] for each in document["routes"]])

    def leader(self):
        name = self.store.lease_holder()
        return next(gateway for gateway in self.gateways if gateway.name == name)

    def end(self):
        for gateway in self.gateways:
            if gateway.process is not None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    if gateway.process.poll() is None:
                        gateway.process.send_signal(number)
                gateway.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, **more):
    return {
        "name": name, "host": HOST, "path-prefix": prefix, "route-type": kind, "priority": 1,
        "timeout-ms": 10000, "target-latency-ms": 400, "max-attempts": 3, "service": service, **more,
    }


def rollout(name, prefix, **more):
    fields = {"due-ms": 7500, "max-wait-s": 40, **more}
    return route(name, prefix, "rollout", "redator", **fields)


def manifest(version, *routes):
    """Return a manifest with a route of plain requests, one of reward calls, and `routes`."""
    plain = route("r-plain", "/lohu930/", "idempotent", "balcao", **{"timeout-ms": 4000})
    checks = route("r-checks", "/pufi791/", "idempotent", "balcao", **{"timeout-ms": 1500})
    engine = {"slots": 12, "kv-capacity-tokens": 78763, "models": [{"name": "m0"}]}
    services = [
        {"name": "redator", "health-path": "/healthz", "max-connections": 150, "engine": engine},
        {"name": "balcao", "health-path": "/healthz", "max-connections": 96},
    ]
    limits = {
        "max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }
    return {
        "version": version, "routes": [plain, checks, *routes], "services": services,
        "limits": limits,
    }


def item(item_id, prefix, group, events, seconds, padding=0):
    wanted = {"events": events, "seconds": seconds}
    if padding:
        wanted["prompt"] = base64.b64encode(os.urandom(padding)).decode()
    body = json.dumps(wanted).encode()
    return {
        "id": item_id, "path": f"{prefix}{item_id}", "body": base64.b64encode(body).decode(),
        "headers": {
            "X-Pumicedeck-Model": "m0", "X-Pumicedeck-Token-Counts": f"1016,{events}",
            "X-Pumicedeck-Prompt-Prefix": f"{group}:1000,{item_id}:16",
        },
        "tokens": 1016 + events, "group": group,
        "scorer": {
            "id": f"5c{item_id}", "host": HOST, "path": f"/pufi791/{item_id}", "body": "3q2+7w==",
        },
    }


def batch(items, step=1, groups=None):
    groups = groups or len({each["group"] for each in items})
    return json.dumps({
        "step": step, "model": "m0", "min-version": 1, "group-target": groups, "items": items,
    }).encode()


async def submit(world, gateway, prefix, batch_id, body, seconds=10.0):
    headers = (("X-Pumicedeck-Request-Id", batch_id), ("Content-Type", "application/json"))
    answer = await request(gateway.front, "POST", f"{prefix}{batch_id}", headers, body, seconds)
    world.record("batch sent", id=batch_id, to=gateway.name, bytes=len(body),
                 answer=answer and answer[0])
    return answer and answer[0]


async def read_results(world, gateway, batch_id, after=0):
    """Return status and document of one read, as a trainer reads about twice a second."""
    answer = await request(
        gateway.front, "GET", f"/lots/{batch_id}?after={after}",
        (("X-Pumicedeck-Wait-Ms", "1000"),), seconds=3.0,
    )
    if answer is None or answer[0] != 200:
        world.record("read", id=batch_id, at_node=gateway.name, answer=answer and answer[0])
        return None
    document = json.loads(answer[2])
    world.record("read", id=batch_id, at_node=gateway.name, after=after, total=document["total"],
                 results=[[each["id"], each["state"]] for each in document["results"]])
    return document


def run(folder, story, **settings):
    """Play `story(world)`, which returns the broken rules; exit with 1, 0 or 2."""

    def stop(number, frame):
        raise KeyboardInterrupt

    # A script that is ended before its time ends what it has started.
    signal.signal(signal.SIGTERM, stop)

    async def play():
        # What the end of the play cuts off is no result.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        world = World(folder, **settings)
        try:
            broken = await asyncio.wait_for(story(world), 110)
            world.record("verdict", trouble=TROUBLE, broken=broken)
            print("broken:" if broken else "held", *broken, sep="\n")
            return 1 if broken else 0
        except CannotRun as error:
            world.record("cannot run", reason=str(error))
            print("cannot run:", error)
            return 2
        finally:
            world.end()

    try:
        status = asyncio.run(play())
    except (Exception, KeyboardInterrupt) as error:
        print("cannot run:", repr(error))
        status = 2
    sys.stdout.flush()
    sys.exit(status)
