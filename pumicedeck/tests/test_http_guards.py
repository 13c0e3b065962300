"""Tests of the HTTP guard and server with raw sockets: framing, limits, timeouts, resets."""

import json
import resource
import socket
import struct

import pytest

from pumicedeck.http_guards import HttpGuard, HttpGuardSettings
from pumicedeck.http_servers import HttpServer
from pumicedeck.results import ResultCode
from pumicedeck.tests.loop_harnesses import LoopHarness
from pumicedeck.topology import Address

SETTINGS = HttpGuardSettings(header_bytes=16 * 1024, body_bytes=64 * 1024, request_seconds=5.0)
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"


class GuardHarness:
    """A guarded server that echoes bodies, at once or, with `holds_exchanges`, in `echo`."""

    def __init__(self):
        self.loop = LoopHarness()
        self.held_exchanges = []
        self.received_bodies = []
        self.guards = []
        self.server = HttpServer(Address("127.0.0.1", 0), "web", self.hold_exchange, self.guard)
        self.server.register(self.loop)
        self.loop.settle()
        self.holds_exchanges = False
        self.open_sockets = []

    @property
    def stats(self):
        return self.guards[0].stats

    def guard(self, channel):
        self.guards.append(HttpGuard(channel, self.loop.timers, SETTINGS))
        return self.guards[0]

    def hold_exchange(self, exchange):
        self.received_bodies.append(exchange.body)
        self.held_exchanges.append(exchange)
        if not self.holds_exchanges:
            self.echo()

    def echo(self):
        while self.held_exchanges:
            exchange = self.held_exchanges.pop()
            exchange.answer(200, "text/plain", b"<" + exchange.body + b">")

    def connect(self):
        sock = socket.create_connection((self.server.address.host, self.server.address.port))
        sock.setblocking(False)
        # Otherwise the kernel delays a small second part until the first is acknowledged.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open_sockets.append(sock)
        self.loop.settle()
        return sock

    def exchange(self, *parts, sock=None):
        """Send parts so that the server reads each on its own, and return the bytes received."""
        sock = sock or self.connect()
        for part in parts:
            sent = 0
            while sent < len(part):
                sent += sock.send(part[sent : sent + 4096])
                self.loop.settle()
        return received(sock)

    def is_closed(self, sock):
        self.loop.advance(SETTINGS.linger_seconds)
        try:
            return sock.recv(1) == b""
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True


def received(sock):
    data = b""
    try:
        while part := sock.recv(65536):
            data += part
    except (BlockingIOError, ConnectionResetError):
        pass
    return data


def error(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b"application/json" in head and b"Connection: close" in head
    return int(head.split()[1]), json.loads(body)


@pytest.fixture
def harness():
    created = GuardHarness()
    yield created
    for sock in created.open_sockets:
        sock.close()
    created.loop.stop_and_check()


def post(body, extra=b""):
    return HEAD + extra + b"Content-Length: %d\r\n\r\n" % len(body) + body


COMPLETE_REQUESTS = {
    "at once": (post(b"abc"),),
    "byte by byte": tuple(bytes([byte]) for byte in post(b"abc")),
    "chunked": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"2\r\nab\r\n1\r\nc\r\n",
        b"0\r\n\r\n",
    ),
    "the same length twice": (post(b"abc", b"Content-Length: 3\r\n"),),
    "query and spaces": (post(b"abc").replace(b"/a", b"/a%20b?c=d"),),
}


@pytest.mark.parametrize("parts", COMPLETE_REQUESTS.values(), ids=COMPLETE_REQUESTS.keys())
def test_whole_request_gets_its_answer_and_the_connection_stays(harness, parts):
    sock = harness.connect()
    for _ in range(2):
        assert harness.exchange(*parts, sock=sock).endswith(b"<abc>")
    assert harness.received_bodies == [b"abc", b"abc"]
    assert not harness.is_closed(sock)


TARGETS = {
    200: "/ /a /a/ /a%20b /a+b /a~b(c)!*' /a:b@c /a|b /%E4%B8%AD /%e4%b8%ad /a?b=%zz /a?b=../c;d",
    400: "//x /a//b /a/../b /a/./b /a/.. /. /%2e%2e/x /a%2Fb /a;p=1 /a%ffb /a#b * a http://h/a",
}


@pytest.mark.parametrize(
    "target, status", [(item, code) for code, items in TARGETS.items() for item in items.split()]
)
def test_target_with_more_than_one_reading_is_refused_as_json(harness, target, status):
    answer = harness.exchange(post(b"abc").replace(b"/a", target.encode()))
    assert int(answer.split()[1]) == status
    assert answer.endswith(b"<abc>") == (status == 200)
    if status == 400:
        assert error(answer)[1]["code"] == int(ResultCode.BAD_REQUEST)


REFUSED_REQUESTS = {
    "length and transfer coding": (
        HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ResultCode.BAD_FRAMING,
    ),
    "two lengths": (
        HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        ResultCode.BAD_FRAMING,
    ),
    "negative length": (HEAD + b"Content-Length: -3\r\n\r\nabc", ResultCode.BAD_FRAMING),
    "length that is no number": (
        HEAD + b"Content-Length: 0x3\r\n\r\nabc",
        ResultCode.BAD_FRAMING,
    ),
    "unknown transfer coding": (
        HEAD + b"Transfer-Encoding: gzip\r\n\r\nabc",
        ResultCode.BAD_FRAMING,
    ),
    "bad chunk": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc",
        ResultCode.BAD_FRAMING,
    ),
    "no host": (b"GET /a HTTP/1.1\r\n\r\n", ResultCode.BAD_FRAMING),
    "TLS hello": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", ResultCode.BAD_FRAMING),
    "garbage": (b"\x00\xff\xfe garbage\r\n\r\n", ResultCode.BAD_FRAMING),
    "garbage text": (b"hello there\r\n\r\n", ResultCode.BAD_FRAMING),
    "huge header": (HEAD + b"X: " + b"x" * 1024 * 1024, ResultCode.TOO_LARGE),
    "header over its bound in one read": (
        HEAD + b"X: " + b"x" * (16 * 1024) + b"\r\n\r\n",
        ResultCode.TOO_LARGE,
    ),
    "header without end of line": (b"x" * 20_000, ResultCode.TOO_LARGE),
    "declared body too large": (HEAD + b"Content-Length: 65537\r\n\r\n", ResultCode.TOO_LARGE),
    "chunked body too large": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + (b"4000\r\n" + b"x" * 0x4000 + b"\r\n") * 5,
        ResultCode.TOO_LARGE,
    ),
    "tunnel": (b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", ResultCode.BAD_REQUEST),
    "proxied target": (b"GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n", ResultCode.BAD_REQUEST),
}


@pytest.mark.parametrize("data, code", REFUSED_REQUESTS.values(), ids=REFUSED_REQUESTS.keys())
def test_wrong_request_gets_a_numbered_error_and_disturbs_nobody(harness, data, code):
    other = harness.connect()
    other.send(post(b"other")[:-2])
    sock = harness.connect()
    status, document = error(harness.exchange(data, sock=sock))
    assert 400 <= status < 500
    assert (document["code"], document["execution"]) == (int(code), "not_run")
    assert harness.is_closed(sock)
    assert harness.exchange(b"er", sock=other).endswith(b"<other>")
    assert harness.received_bodies == [b"other"]
    assert harness.stats.refused == 1


@pytest.mark.parametrize("part", [HEAD, post(b"abc")[:-1], b"P"])
def test_half_a_request_ends_in_408(harness, part):
    sock = harness.connect()
    assert harness.exchange(part, sock=sock) == b""
    harness.loop.advance(SETTINGS.request_seconds - 1)
    assert harness.exchange(b"", sock=sock) == b""
    harness.loop.advance(1.0)
    status, document = error(received(sock))
    assert (status, document["code"]) == (408, int(ResultCode.REQUEST_TIMEOUT))
    assert harness.is_closed(sock)
    assert harness.received_bodies == []


def test_slow_bytes_do_not_extend_the_time(harness):
    sock = harness.connect()
    for byte in HEAD[:10]:
        sock.send(bytes([byte]))
        harness.loop.advance(SETTINGS.request_seconds / 8)
    assert error(received(sock))[0] == 408


def test_connection_without_a_request_is_closed_quietly(harness):
    sock = harness.connect()
    harness.loop.advance(SETTINGS.request_seconds + 1)
    assert received(sock) == b"" and harness.is_closed(sock)


@pytest.mark.parametrize("in_one_read", [True, False])
def test_pipelined_request_is_refused_after_the_answer_to_the_first(harness, in_one_read):
    harness.holds_exchanges = True
    sock = harness.connect()
    parts = [post(b"first"), post(b"second")]
    harness.exchange(*([b"".join(parts)] if in_one_read else parts), sock=sock)
    harness.echo()
    harness.loop.settle()
    first, _, second = received(sock).partition(b"<first>")
    assert first.startswith(b"HTTP/1.1 200")
    assert error(second)[1]["code"] == int(ResultCode.BAD_FRAMING)
    assert harness.received_bodies == [b"first"]
    assert harness.is_closed(sock)


def test_bytes_after_the_body_never_enter_anybodys_body(harness):
    harness.holds_exchanges = True
    socks = [harness.connect() for _ in range(3)]
    for number, sock in enumerate(socks):
        sock.send(post(b"%d" % number) + b"smuggled")
    harness.loop.settle()
    harness.echo()
    harness.loop.settle()
    assert sorted(harness.received_bodies) == [b"0", b"1", b"2"]
    for number, sock in enumerate(socks):
        assert b"<%d>" % number in received(sock)


def test_expect_continue_is_answered_before_the_body(harness):
    sock = harness.connect()
    request = post(b"abc", b"Expect: 100-continue\r\n")
    assert harness.exchange(request[:-3], sock=sock).startswith(b"HTTP/1.1 100 ")
    assert harness.exchange(request[-3:], sock=sock).endswith(b"<abc>")


def test_connection_close_header_closes_the_connection(harness):
    sock = harness.connect()
    answer = harness.exchange(post(b"abc", b"Connection: close\r\n"), sock=sock)
    assert answer.endswith(b"<abc>") and harness.is_closed(sock)
    assert harness.guards[0].open_connections == 0


def test_connections_are_bounded_and_places_come_back(monkeypatch):
    monkeypatch.setattr(resource, "getrlimit", lambda _: (8, 8))
    harness = GuardHarness()
    socks = [harness.connect() for _ in range(5)]
    for sock in socks[2:4]:
        status, document = error(received(sock))
        assert (status, document["code"]) == (503, int(ResultCode.OVERLOADED))
    assert received(socks[4]) == b"" and harness.guards[0].open_connections == 4
    harness.loop.advance(SETTINGS.linger_seconds)
    assert harness.guards[0].open_connections == 2
    socks[0].close()
    harness.loop.settle()
    assert harness.exchange(post(b"abc")).endswith(b"<abc>")
    for sock in harness.open_sockets:
        sock.close()
    harness.loop.stop_and_check()


def test_kernel_watches_callers_connections(harness):
    harness.holds_exchanges = True
    harness.exchange(post(b"abc"))
    sock = harness.held_exchanges[0].sock
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert timeout == 1000 * SETTINGS.acknowledgement_timeout_seconds


@pytest.mark.parametrize("from_timer", [False, True])
@pytest.mark.parametrize("moment", ["before the answer", "within it", "at its end"])
def test_caller_that_resets_its_connection_leaves_no_socket_behind(harness, moment, from_timer):
    harness.holds_exchanges = True
    web = harness.server._web.server
    for _ in range(5):
        sock = harness.connect()
        harness.exchange(post(b"abc", b"Connection: close\r\n"), sock=sock)
        exchange = harness.held_exchanges.pop()
        if moment != "before the answer":
            exchange.begin_stream()
            harness.loop.settle()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        count = 1 if moment == "at its end" else 20

        def write(exchange=exchange, count=count):
            for _ in range(count):
                exchange.write(b"x" * 100_000)
            exchange.end_stream()

        if from_timer:
            harness.loop.timers.call_later(0.0, write)
        else:
            write()
        harness.loop.settle()
    poller = harness.loop.poller
    watched = [*web._buffers, *web._clients, *web._closeq, *poller._read, *poller._write]
    assert [each for each in watched if not isinstance(each, int) and each.fileno() < 0] == []
    assert harness.guards[0].open_connections == 0
    assert harness.loop.errors == []


def test_caller_that_leaves_half_way_leaves_nothing_behind(harness):
    sock = harness.connect()
    harness.exchange(post(b"abc")[:-1], sock=sock)
    sock.close()
    harness.loop.settle()
    assert harness.guards[0].open_connections == 0
    assert harness.received_bodies == []
