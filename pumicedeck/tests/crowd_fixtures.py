"""Processes under test and many misbehaving clients, for the tests of client crowds."""

import json
import os
import resource
import selectors
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

from pumicedeck.http_messages import KIB, MIB
from pumicedeck.soaks.gateway_processes import GatewayProcess, free_port
from pumicedeck.tests.crowd_standins import LOOPBACK_HOST, RAN_PATH
from pumicedeck.topology import Address

READ_BYTES = 64 * KIB
SMALL_RECEIVE_BUFFER_BYTES = 16 * KIB
OBSERVE_SECONDS = 0.1
# A crowd has done what it can once no byte has moved for this time.
QUIET_SECONDS = 1.0
# Ends a test whose process hangs; no check depends on it otherwise.
HANG_SECONDS = 60.0
START_SECONDS = 30.0


def request_head(
    path: str, request_id: str = "", length: int | None = None, method: str = "POST", **headers
) -> bytes:
    """Return a head with the usual headers; without a length the body is in chunks."""
    lines = [f"{method} {path} HTTP/1.1", "Host: h"]
    if request_id:
        lines += [f"X-Pumicedeck-Request-Id: {request_id}", "X-Pumicedeck-Deadline-Ms: 20000"]
    lines.append("Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def pieces(data: bytes, size: int) -> Iterator[bytes]:
    return (data[at : at + size] for at in range(0, len(data), size))


class CrowdClient:
    """One connection that sends pieces, one after the other, and may leave answers unread."""

    def __init__(self, data: Iterable[bytes], reads: bool = True, pause: float = 0.0) -> None:
        """Send `data`; with `pause` read at most one piece each `pause` seconds."""
        self.received = bytearray()
        self.received_bytes = 0
        self.closed = False
        self.sent_bytes = 0
        self._data = iter(data)
        self._pending = memoryview(b"")
        self._sent_all = False
        self._reads = reads
        self._pause = pause
        self._read_at = 0.0
        self.sock = socket.socket()
        if not reads or pause:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)

    @property
    def status(self) -> int:
        """Return the status of the first answer, 0 without one."""
        head = bytes(self.received[:12])
        return int(head[9:12]) if head.startswith(b"HTTP/1.1 ") and len(head) == 12 else 0

    def connect(self, address: Address) -> None:
        self.sock.setblocking(False)
        self.sock.connect_ex((address.host, address.port))

    def events(self, now: float) -> int:
        reads = self._reads and now >= self._read_at
        return (0 if self._sent_all else selectors.EVENT_WRITE) | (
            selectors.EVENT_READ if reads else 0
        )

    def serve(self, mask: int, now: float) -> bool:
        """Send and read what is possible; return whether a byte moved."""
        moved = False
        try:
            if mask & selectors.EVENT_READ:
                moved = self._read(now)
            if mask & selectors.EVENT_WRITE and not self.closed:
                moved = self._write() or moved
        except BlockingIOError:
            return moved
        except OSError:
            self.closed = True
            return True
        return moved

    def _read(self, now: float) -> bool:
        data = self.sock.recv(SMALL_RECEIVE_BUFFER_BYTES if self._pause else READ_BYTES)
        self._read_at = now + self._pause
        self.received_bytes += len(data)
        if len(self.received) < READ_BYTES:
            self.received += data
        if not data:
            self.closed = True
        return not self._pause

    def _write(self) -> bool:
        if not self._pending:
            self._pending = memoryview(next(self._data, b""))
            if not self._pending:
                self._sent_all = True
                return False
        count = self.sock.send(self._pending)
        self.sent_bytes += count
        self._pending = self._pending[count:]
        return True


class Crowd:
    """Clients that stay connected until `close`."""

    def __init__(self, address: Address, clients: Iterable[CrowdClient]) -> None:
        self.clients = list(clients)
        for client in self.clients:
            client.connect(address)

    def run(self, observe=lambda: None, until_answered=False) -> None:
        """Serve all clients until no byte has moved for some time; call `observe` meanwhile.

        With `until_answered` also until each client has the head of its answer: a process that
        works on a large request moves no byte, for longer than that beside other load.
        """
        started = moved_at = time.monotonic()
        with selectors.DefaultSelector() as selector:
            while time.monotonic() - moved_at < QUIET_SECONDS or (
                until_answered and not all(client.status for client in self.clients)
            ):
                now = time.monotonic()
                assert now - started < HANG_SECONDS, "the crowd was still moving bytes"
                self._register(selector, now)
                for key, mask in selector.select(0.02) if selector.get_map() else ():
                    if key.data.serve(mask, time.monotonic()):
                        moved_at = time.monotonic()
                if not selector.get_map():
                    time.sleep(0.02)
                observe()

    def _register(self, selector: selectors.BaseSelector, now: float) -> None:
        for client in self.clients:
            wanted = 0 if client.closed else client.events(now)
            known = selector.get_map().get(client.sock)
            if known is not None and known.events != wanted:
                selector.unregister(client.sock)
                known = None
            if known is None and wanted:
                selector.register(client.sock, wanted, client)

    def close(self) -> None:
        for client in self.clients:
            client.sock.close()


class ProcessMemory:
    """The most memory and descriptors that a process was seen to hold."""

    def __init__(self, process_id: int, ports: tuple[int, ...]) -> None:
        """Add to its resident memory what it has received at `ports` and not yet read."""
        self._folder = Path("/proc") / str(process_id)
        self._ports = {f"{port:04X}" for port in ports}
        self.resident_bytes = 0
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self._observed_at = 0.0

    def observe(self) -> None:
        if time.monotonic() - self._observed_at < OBSERVE_SECONDS:
            return
        self._observed_at = time.monotonic()
        status = (self._folder / "status").read_text()
        lines = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
        resident = int(lines["VmRSS"].split()[0]) * KIB
        highest = int(lines["VmHWM"].split()[0]) * KIB
        self.resident_bytes = resident
        self.peak_bytes = max(self.peak_bytes, highest, resident + self._unread_bytes())
        descriptors = len(os.listdir(self._folder / "fd"))
        self.peak_descriptors = max(self.peak_descriptors, descriptors)

    def _unread_bytes(self) -> int:
        unread = 0
        for line in (self._folder / "net" / "tcp").read_text().splitlines()[1:]:
            fields = line.split()
            is_listening = fields[3] == "0A"
            if fields[1].rpartition(":")[2] in self._ports and not is_listening:
                unread += int(fields[4].partition(":")[2], 16)
        return unread


def ask(
    address: Address,
    path: str = "/safe/x",
    method: str = "POST",
    body: bytes = b"please",
    **headers,
) -> tuple[int, bytes]:
    """Send one ordinary request on a new connection; return status and body of its answer."""
    request_id = "" if method == "GET" else f"ordinary-{time.monotonic_ns()}"
    head = request_head(path, request_id, len(body), method, Connection="close", **headers)
    with socket.create_connection((address.host, address.port), HANG_SECONDS) as sock:
        sock.settimeout(HANG_SECONDS)
        sock.sendall(head + body)
        answer = b""
        while data := sock.recv(READ_BYTES):
            answer += data
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split(b" ", 2)[1]), body


class GatewayUnderTest:
    """A gateway process with its store and an endpoint in another process."""

    def __init__(self, folder: Path, memory_megabytes: int, descriptors: int = 400) -> None:
        self.memory_bytes = memory_megabytes * MIB
        self.descriptors = descriptors
        self._standins = subprocess.Popen(
            [sys.executable, "-m", "pumicedeck.tests.crowd_standins"], stdout=subprocess.PIPE
        )
        store_port, service_port = map(int, self._standins.stdout.readline().split())
        self._service = Address(LOOPBACK_HOST, service_port)
        self.metrics = Address(LOOPBACK_HOST, free_port())
        self.relay = Address(LOOPBACK_HOST, free_port())
        settings = {
            "machine": {"memory_megabytes": memory_megabytes, "descriptors": descriptors},
            "metrics_port": self.metrics.port,
            "relay_port": self.relay.port,
        }
        store = Address(LOOPBACK_HOST, store_port)
        self._process = GatewayProcess("g-0", folder, store, settings)
        self.callers = self._process.callers
        self.readiness = self._process.readiness
        self._process.start()
        listeners = (self.callers, self.readiness, self.metrics, self.relay)
        self.memory = ProcessMemory(
            self._process.process_id, tuple(each.port for each in listeners)
        )
        self._await_readiness()

    def _await_readiness(self) -> None:
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            try:
                if ask(self.readiness, "/ready", "GET", b"")[0] == 200 == ask(self.callers)[0]:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise AssertionError("the gateway did not become ready")

    def ran(self) -> list[str]:
        """Return the ids of the requests that the endpoint has run."""
        return json.loads(ask(self._service, RAN_PATH, "GET", b"")[1])

    def check(self) -> None:
        """Check that the process lives within its limits and serves an ordinary request."""
        assert ask(self.callers)[0] == 200
        assert ask(self.readiness, "/ready", "GET", b"")[0] == 200
        self.memory.observe()
        assert self._process.is_running
        assert (
            self.memory.peak_bytes <= self.memory_bytes
        ), f"{self.memory.peak_bytes / MIB:.0f} of {self.memory_bytes / MIB:.0f} MiB held"
        assert self.memory.peak_descriptors <= self.descriptors

    def close(self) -> None:
        print(f"at the end {self.memory.resident_bytes / MIB:.0f},", end=" ")
        print(f"peak {self.memory.peak_bytes / MIB:.0f} of {self.memory_bytes / MIB:.0f} MiB,")
        print(f"{self.memory.peak_descriptors} descriptors")
        self._process.send(signal.SIGKILL)
        self._process.close(1.0)
        self._standins.kill()
        self._standins.wait()
        self._standins.stdout.close()


def run_crowd(
    under_test, address: Address, clients: Iterable[CrowdClient], until_answered=False
) -> Crowd:
    """Connect clients to a listener; check the process while they are there and afterwards.

    `until_answered` is that of `Crowd.run`.
    """
    crowd = Crowd(address, clients)
    try:
        crowd.run(under_test.memory.observe, until_answered)
        under_test.check()
    finally:
        crowd.close()
    time.sleep(QUIET_SECONDS)
    under_test.check()
    print("answers", dict(Counter(each.status for each in crowd.clients)))
    return crowd


def raise_descriptor_limit(count: int) -> None:
    """Let this process open `count` descriptors, if the hard limit allows that."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(count, hard), hard))


class EntryUnderTest:
    """An entry process with an agent and the stand-ins, each a process of its own."""

    # Offsets of the ports that the files of a local deployment with one agent use.
    PORT_OFFSETS = (1, 2, 3, 4, 20, 40, 100, 200, 300)

    def __init__(self, folder: Path, memory_megabytes: int) -> None:
        self.memory_bytes = memory_megabytes * MIB
        base = self._free_base_port()
        command = [sys.executable, "-m", "pumicedeck"]
        subprocess.run(
            [*command, "local-files", str(folder), "--base-port", str(base)]
            + ["--agents", "booking-app=1"],
            check=True,
            capture_output=True,
        )
        self.callers = Address(LOOPBACK_HOST, base + 20)
        self.operators = Address(LOOPBACK_HOST, base + 40)
        self._log = (folder / "log").open("wb")
        self._processes = [
            subprocess.Popen(
                [*command, role, str(folder / file)], stdout=self._log, stderr=self._log
            )
            for role, file in (
                ("standins", "standins.yaml"),
                ("agent", "agent-booking-app-0.yaml"),
                ("entry", "entry-0.yaml"),
            )
        ]
        ports = (self.callers.port, self.operators.port)
        self.memory = ProcessMemory(self._processes[-1].pid, ports)
        self._await_readiness()

    @classmethod
    def _free_base_port(cls) -> int:
        while True:
            base = free_port()
            with socket.socket() as sock:
                if all(sock.connect_ex((LOOPBACK_HOST, base + each)) for each in cls.PORT_OFFSETS):
                    return base

    def _ask(self) -> int:
        request_id = f"ordinary-{time.monotonic_ns()}"
        headers = {"Authorization": "Bearer desk-token", "X_Request_Id": request_id}
        path = "/v1/entries/bookings/call/book"
        return ask(self.callers, path, body=b'{"rig": 7}', **headers)[0]

    def _await_readiness(self) -> None:
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            try:
                if self._ask() == 200:
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise AssertionError("the entry did not become ready")

    def check(self) -> None:
        """Check that the process lives within its memory and serves an ordinary request."""
        assert self._ask() == 200
        assert ask(self.operators, "/ready", "GET", b"")[0] == 200
        self.memory.observe()
        assert self._processes[-1].poll() is None
        assert (
            self.memory.peak_bytes <= self.memory_bytes
        ), f"{self.memory.peak_bytes / MIB:.0f} of {self.memory_bytes / MIB:.0f} MiB held"

    def close(self) -> None:
        print(f"peak {self.memory.peak_bytes / MIB:.0f} of {self.memory_bytes / MIB:.0f} MiB")
        for process in self._processes:
            process.kill()
            process.wait()
        self._log.close()
