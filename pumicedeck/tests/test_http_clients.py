"""Tests of the HTTP client against a server that sends raw, late, truncated or no answers."""

import re
import socket
from collections import Counter
from random import Random

import pytest
from circuits import handler

from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpClientSettings, HttpRequest
from pumicedeck.results import Execution, ResultCode
from pumicedeck.tests.loop_harnesses import LoopHarness, RawServer
from pumicedeck.topology import Address

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
SETTINGS = HttpClientSettings(
    connect_seconds=1.0,
    silence_seconds=3.0,
    max_idle_seconds=60.0,
    header_bytes=1024,
    body_bytes=4096,
    connections_per_address=2,
)


class ClientHarness:
    """An HTTP client and a server that sends raw bytes, on one loop."""

    def __init__(self):
        self.loop = LoopHarness()
        self.client = HttpClient(self.loop.timers, SETTINGS).register(self.loop)
        self.server = RawServer("raw").register(self.loop)
        self.loop.settle()

    def send(self, path="/a", chunk=None, idempotent=False, address=None, body=b"x"):
        outcomes = []
        address = address or self.server.address
        request = HttpRequest("POST", address, path, (), body, idempotent)
        exchange = self.client.send(request, outcomes.append, chunk)
        return outcomes, exchange

    def answer(self, **kwargs):
        outcomes, _ = self.send(**kwargs)
        self.loop.until(lambda: outcomes)
        return outcomes[0]


@pytest.fixture
def harness():
    created = ClientHarness()
    yield created
    created.client.close()
    created.loop.stop_and_check()


def test_connection_is_kept_and_reused(harness):
    harness.server.reply = OK
    first, second = harness.answer(), harness.answer()
    assert first.unwrap().body == second.unwrap().body == b"hi"
    assert (harness.client.stats.opened, harness.client.stats.reused) == (1, 1)


def test_one_request_in_flight_per_connection_and_bounded_connections(harness):
    calls = [harness.send(path=f"/{i}")[0] for i in range(5)]
    harness.loop.settle()
    assert len(harness.server.socks) == SETTINGS.connections_per_address
    assert all(data.count(b"POST") == 1 for data in harness.server.received.values())
    for _ in range(3):
        for sock in harness.server.socks:
            harness.server.send(sock, OK)
        harness.loop.settle()
    assert [len(call) for call in calls] == [1] * 5


def test_chunks_are_streamed_before_the_response_is_whole(harness):
    chunks = []
    outcomes, _ = harness.send(chunk=chunks.append)
    harness.loop.settle()
    sock = harness.server.socks[0]
    harness.server.send(sock, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
    harness.loop.settle()
    assert chunks == [b"abc"] and outcomes == []
    harness.server.send(sock, b"0\r\n\r\n")
    harness.loop.settle()
    assert outcomes[0].unwrap().body == b""


def refused_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Address(*sock.getsockname())


def test_refused_connection_is_proven_not_run(harness):
    address = refused_address()
    failures = [harness.answer(address=address).unwrap_err() for _ in range(3)]
    assert {failure.code for failure in failures} == {ResultCode.ENDPOINT_UNREACHABLE}
    assert all(failure.proven_not_run for failure in failures)
    assert harness.client.open_connections == 0


def test_connecting_to_a_full_backlog_times_out_proven_not_run(harness):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = Address(*listener.getsockname())
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex((address.host, address.port))
        failure = harness.answer(address=address).unwrap_err()
        for filler in fillers:
            filler.close()
    assert failure.code is ResultCode.ENDPOINT_UNREACHABLE
    assert failure.proven_not_run


BROKEN_ANSWERS = {
    "closed before an answer": b"",
    "half a header": b"HTTP/1.1 200 OK\r\nContent-",
    "half a body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi",
    "half a chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhi",
    "no length": b"HTTP/1.1 200 OK\r\n\r\nhi",
    "garbage": b"\x16\x03\x01\x00\x00",
    "huge header": b"HTTP/1.1 200 OK\r\nX: " + b"x" * 4096,
    "huge body": b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000,
}


@pytest.mark.parametrize("answer", BROKEN_ANSWERS.values(), ids=BROKEN_ANSWERS.keys())
def test_broken_answer_is_never_a_clean_end(harness, answer):
    outcomes, _ = harness.send()
    harness.loop.settle()
    sock = harness.server.socks[0]
    if answer:
        harness.server.send(sock, answer)
    harness.server.hang_up(sock)
    harness.loop.until(lambda: outcomes)
    failure = outcomes[0].unwrap_err()
    assert failure.code is ResultCode.ENDPOINT_FAILED
    assert failure.execution is Execution.MAY_HAVE_RUN
    assert harness.client.open_connections == 0


@pytest.mark.parametrize("idempotent", [False, True])
def test_pooled_connection_that_went_silent_does_not_hold_a_request(harness, idempotent):
    harness.server.reply = OK
    harness.answer()
    harness.server.reply = None
    outcomes, _ = harness.send(path="/second", idempotent=idempotent)
    harness.loop.settle()
    silent = harness.server.socks[0]
    assert b"/second" in harness.server.received[silent]
    harness.server.reply = OK
    harness.loop.until(lambda: outcomes)
    assert harness.client.stats.silence_timeouts == 1
    assert outcomes[0].is_ok() == idempotent
    assert harness.client.stats.retried == (1 if idempotent else 0)
    if not idempotent:
        assert outcomes[0].unwrap_err().code is ResultCode.ENDPOINT_FAILED
        assert len(harness.server.socks) == 1
    assert harness.answer().is_ok()


def test_kernel_watches_connections_for_lost_acknowledgements(harness):
    harness.server.reply = OK
    harness.answer()
    sock = next(iter(harness.client._connections_by_socket))
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert timeout == 1000 * SETTINGS.acknowledgement_timeout_seconds


def test_pooled_connection_closed_by_the_server_is_replaced_before_use(harness):
    harness.server.reply = OK
    harness.answer()
    harness.server.hang_up(harness.server.socks[0])
    harness.loop.settle()
    assert harness.answer().is_ok()
    assert harness.client.stats.opened == 2


def test_stale_pooled_connection_is_seen_before_the_poller_tells(harness):
    harness.server.reply = OK
    harness.answer()
    harness.server.socks[0].shutdown(socket.SHUT_RDWR)
    assert harness.answer().is_ok()
    assert harness.client.stats.stale == 1


def test_a_request_whose_time_ran_out_while_the_vm_was_frozen_is_not_sent(harness):
    """Guards against a call that leaves when its sender wakes and has lost the right to send it."""
    outcomes = []
    request = HttpRequest("POST", harness.server.address, "/a", (), b"x")
    harness.client.send(request, outcomes.append, total_seconds=2.0)
    (connection,) = harness.client._pools[harness.server.address].connections
    harness.loop.timers._now += 5.0
    # The socket is served before the timers.
    harness.client._on_write(connection.socket)
    assert outcomes[0].unwrap_err().proven_not_run
    harness.loop.settle()
    assert not any(harness.server.received.values())


def test_cancel_reports_nothing_and_frees_the_place(harness):
    calls = [harness.send(path=f"/{i}") for i in range(3)]
    harness.loop.settle()
    calls[2][1].cancel()
    calls[0][1].cancel()
    harness.server.reply = OK
    harness.loop.settle()
    assert harness.answer().is_ok()
    assert calls[0][0] == calls[2][0] == []


def test_late_bytes_of_one_request_never_reach_the_next(harness):
    harness.server.reply = OK + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
    assert harness.answer().unwrap().body == b"hi"
    harness.server.reply = OK
    assert harness.answer().unwrap().body == b"hi"
    assert harness.client.stats.opened == 2


def test_unused_connection_is_closed_after_its_time(harness):
    harness.server.reply = OK
    harness.answer()
    harness.loop.advance(SETTINGS.max_idle_seconds + 1)
    assert harness.client.open_connections == 0


def test_header_injection_is_refused_before_a_byte_is_written(harness):
    failure = harness.answer(path="/a\r\nX: y").unwrap_err()
    assert failure.code is ResultCode.BAD_REQUEST
    assert not any(harness.server.received.values())


def test_body_larger_than_the_socket_buffer_arrives_whole(harness):
    body = bytes(range(256)) * 20_000
    outcomes, _ = harness.send(body=body)
    harness.loop.settle(turns=5000)
    sock = harness.server.socks[0]
    harness.server.send(sock, OK)
    harness.loop.until(lambda: outcomes)
    assert harness.server.received[sock].endswith(body)
    assert outcomes[0].is_ok()


def test_close_ends_every_open_exchange(harness):
    sent, waiting = harness.send()[0], [harness.send()[0] for _ in range(2)]
    harness.loop.settle()
    harness.client.close()
    late = harness.answer()
    assert sent[0].unwrap_err().code is ResultCode.ENDPOINT_FAILED
    assert waiting[-1][0].unwrap_err().proven_not_run
    assert late.unwrap_err().proven_not_run


class UnreliableServer(RawServer):
    """Answers each request at random: in time, late, truncated, twice, by closing or not at all."""

    def __init__(self, name, timers, random):
        super().__init__(name)
        self.timers = timers
        self.random = random
        self.request_counts = Counter()

    @handler("read", priority=1)
    def _on_request(self, sock, data):
        number = re.search(rb"/request/(\d+) ", data)
        if number is None:
            return
        self.request_counts[int(number[1])] += 1
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(number[1]) + number[1]
        kind = self.random.choice(["answer"] * 4 + ["late", "close", "half", "silent", "twice"])
        delay = self.random.uniform(0.0, 2 * SETTINGS.silence_seconds) if kind == "late" else 0.0
        if kind in ("half", "twice"):
            answer = answer[: len(answer) // 2] if kind == "half" else answer * 2
        self.timers.call_later(delay, lambda: self.apply(kind, sock, answer))

    def apply(self, kind, sock, answer):
        if sock.fileno() < 0 or kind == "silent":
            return
        if kind != "close":
            self.send(sock, answer)
        if kind in ("close", "half"):
            self.hang_up(sock)


@pytest.mark.parametrize("seed", range(8))
def test_nobody_gets_anothers_answer_and_not_run_is_true(harness, seed):
    random = Random(seed)
    server = UnreliableServer("unreliable", harness.loop.timers, random).register(harness.loop)
    harness.loop.settle()
    addresses = [server.address] * 9 + [refused_address()]
    outcomes, idempotent = {}, set()
    for number in range(60):
        address = random.choice(addresses)
        if random.random() < 0.5:
            idempotent.add(number)
        request = HttpRequest(
            "POST", address, f"/request/{number}", idempotent=number in idempotent
        )
        exchange = harness.client.send(
            request, lambda o, n=number: outcomes.setdefault(n, []).append(o)
        )
        if random.random() < 0.1:
            harness.loop.timers.call_later(random.random(), exchange.cancel)
            outcomes.setdefault(number, []).append(None)
    harness.loop.advance(100 * SETTINGS.silence_seconds)
    assert len(outcomes) == 60
    for number, reported in outcomes.items():
        ends = [outcome for outcome in reported if outcome is not None]
        assert server.request_counts[number] <= (2 if number in idempotent else 1)
        assert len(ends) <= 1 and (ends or reported == [None])
        for outcome in ends:
            if outcome.is_ok():
                assert outcome.unwrap().body == b"%d" % number
            elif outcome.unwrap_err().execution is Execution.NOT_RUN:
                assert server.request_counts[number] == 0
    assert harness.client.stats.silence_timeouts > 0 and harness.client.stats.broken > 0
    assert harness.client.open_connections == 0


@pytest.mark.parametrize("address", [Address("127.0.0.1", 70000), Address("a\0b", 80)])
def test_an_address_that_no_socket_accepts_fails_its_request_only(harness, address):
    # The exception ended the task that sent the request, which then never had an outcome.
    outcome = harness.answer(address=address)
    assert outcome.err_value.code is ResultCode.ENDPOINT_UNREACHABLE
    assert outcome.err_value.proven_not_run
    harness.server.reply = OK
    assert harness.answer().ok_value.status == 200
