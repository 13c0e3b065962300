"""Responses that are reset while their request is still being sent.

A server answered a long upload at once with a 200 without a length, sent a part of the body and
reset the connection. The error was reported to the client's write, which dropped it; the read after
it found what looks like the regular end of the body, so the part was passed on as a whole response.
"""

import errno
import socket
import struct

import pytest
from circuits import handler

from pumicedeck.clocks import VirtualTime
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_connections import ConnectionCallbacks, HttpConnection
from pumicedeck.http_messages import MIB, HttpClientSettings, HttpRequest
from pumicedeck.memory_budgets import MemoryBudget
from pumicedeck.results import Execution
from pumicedeck.tests.loop_harnesses import LoopHarness, RawServer
from pumicedeck.topology import Address

SETTINGS = HttpClientSettings(accepts_close_delimited_answers=True)
UNSIZED = b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 30
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + b"x" * 30
UPLOAD = b"b" * (12 * MIB)


class ResettingServer(RawServer):
    """Answers at the first bytes of a request and closes without reading the rest."""

    def __init__(self, answer, lingers):
        super().__init__("resetting")
        self.answer = answer
        self.lingers = lingers

    @handler("read", priority=1)
    def _on_request(self, sock, data):
        sock.send(self.answer)
        if not self.lingers:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.server._poller.discard(sock)
        sock.close()


@pytest.mark.parametrize("lingers", [True, False])
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("streamed", [True, False])
def test_a_part_of_a_response_is_not_taken_for_a_whole_one(lingers, idempotent, streamed):
    loop = LoopHarness()
    client = HttpClient(loop.timers, SETTINGS).register(loop)
    server = ResettingServer(UNSIZED, lingers).register(loop)
    loop.settle()
    outcomes = []
    request = HttpRequest("POST", server.address, "/a", (), UPLOAD, idempotent)
    client.send(request, outcomes.append, (lambda data: None) if streamed else None)
    loop.until(lambda: outcomes)
    assert outcomes[0].unwrap_err().execution is Execution.MAY_HAVE_RUN
    client.close()
    loop.stop_and_check()


class FakeSocket:
    """Takes `sends` bytes of a request, then fails; has `received` to read, then the end."""

    def __init__(self, sends, received):
        self.sends = sends
        self.received = [*received, b""]

    def send(self, data):
        if self.sends is None:
            raise BlockingIOError
        if not self.sends:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        count, self.sends = min(self.sends, len(data)), 0
        return count

    def recv(self, count):
        return self.received.pop(0)

    def close(self):
        pass


class FakePoller:
    def isWriting(self, sock):  # noqa: N802
        return False

    def addWriter(self, source, sock):  # noqa: N802
        pass

    def discard(self, sock):
        pass


def exchange(sends, received):
    """Return the outcomes of a request on a connection with a fake socket."""
    outcomes = []
    callbacks = ConnectionCallbacks(
        lambda connection: None,
        lambda connection, response: outcomes.append(response),
        lambda connection, reason, detail: outcomes.append(detail),
    )
    address = Address("127.0.0.1", 1)
    connection = HttpConnection(
        address, None, FakePoller(), VirtualTime(), SETTINGS, callbacks, MemoryBudget(MIB)
    )
    connection._socket = FakeSocket(sends, received)
    connection._become_idle()
    connection.send(HttpRequest("POST", address, "/a", (), b"b" * 1000), None, 5.0)
    while not outcomes:
        connection.on_readable()
    return outcomes[0]


@pytest.mark.parametrize("pieces", [1, 3])
def test_the_end_of_a_response_without_a_length_after_a_failed_write_is_no_regular_end(pieces):
    size = -(-len(UNSIZED) // pieces)
    received = [UNSIZED[at : at + size] for at in range(0, len(UNSIZED), size)]
    assert "reset by peer" in exchange(200, received)


def test_the_end_of_a_response_without_a_length_before_the_request_was_sent_is_no_regular_end():
    assert "request" in exchange(None, [UNSIZED])


def test_a_whole_response_with_a_length_counts_after_a_failed_write():
    """A server may refuse a long request before it has read all of it."""
    assert exchange(200, [SIZED]).body == b"x" * 30


def test_a_response_without_a_length_to_a_request_that_was_sent_is_whole():
    assert exchange(100_000, [UNSIZED]).body == b"x" * 30
