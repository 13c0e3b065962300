"""Filters what callers send to circuits.web: passes on complete, well-framed requests only.

It handles malformed, oversized, slow and pipelined requests and too many connections.
"""

import resource
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from circuits import BaseComponent, handler
from circuits.core.utils import findcmp
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer

from pumicedeck.clocks import TimerQueue
from pumicedeck.http_documents import JSON_TYPE, encode_failure
from pumicedeck.http_framings import CompleteRequest, RequestBounds, RequestReader
from pumicedeck.http_messages import KIB, MIB
from pumicedeck.memory_budgets import HolderKind, MemoryBudget, MemoryHolder
from pumicedeck.moving_deadlines import MovingDeadline
from pumicedeck.results import Failure, ResultCode
from pumicedeck.socket_options import set_acknowledgement_timeout

_DESCRIPTORS_PER_CONNECTION = 4
# A body is held by the parser, as the message that is passed on, and by circuits.web.
_COPIES_OF_BODY = 3
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_PIPELINED = Failure(
    ResultCode.BAD_FRAMING,
    "pipelining is not supported: bytes followed a request that was not yet answered",
    proven_not_run=True,
)
_TOO_MANY_CONNECTIONS = Failure(
    ResultCode.OVERLOADED, "too many connections", retry_after=1.0, proven_not_run=True
)
_NO_MEMORY = Failure(
    ResultCode.OVERLOADED,
    "no memory left for the request",
    retry_after=1.0,
    proven_not_run=True,
)
_REQUEST_TOO_SLOW = Failure(
    ResultCode.REQUEST_TIMEOUT, "the request was not complete in time", proven_not_run=True
)


@dataclass(frozen=True, slots=True)
class HttpGuardSettings:
    """Limits of callers' requests; times are in seconds and sizes in bytes.

    `request_seconds` is how long a request may take to arrive, `idle_seconds` how long a
    connection may stay without a request, `linger_seconds` how long a connection stays open after
    an error response, `acknowledgement_timeout_seconds` how long a caller's kernel may leave bytes
    or probes unacknowledged. Up to `connections` connections are served, the same number again
    get the error OVERLOADED, and any more are closed without a response.
    """

    header_bytes: int = 16 * KIB
    body_bytes: int = 8 * MIB
    request_seconds: float = 10.0
    idle_seconds: float = 75.0
    linger_seconds: float = 1.0
    acknowledgement_timeout_seconds: float = 30.0
    connections: int = 8192


@dataclass(slots=True)
class HttpGuardStats:
    """Counts since the guard was created.

    `refused` counts refused requests, timed-out ones included, and connections beyond the limit.
    """

    passed: int = 0
    refused: int = 0
    timed_out: int = 0


class _Phase(StrEnum):
    RECEIVING = "receiving"
    ANSWERING = "answering"
    REFUSED = "refused"


@dataclass(slots=True, eq=False)
class _CallerConnection:
    """State of one caller's connection; `pipelined` if bytes came before the response was sent."""

    reader: RequestReader
    deadline: MovingDeadline
    holder: MemoryHolder
    phase: _Phase = _Phase.RECEIVING
    pipelined: bool = False
    continue_sent: bool = field(default=False)


class HttpGuard(BaseComponent):
    """Filters the `read` events of one server channel.

    A refused request gets a JSON error with a result code, and its connection is closed. Bytes
    that follow an unanswered request are refused after the response to that request was sent.
    """

    def __init__(
        self,
        channel: str,
        timers: TimerQueue,
        settings: HttpGuardSettings | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Create a guard of the server on `channel`; its deadlines run on `timers`.

        Bodies are counted in `budget`, by default one without a limit.
        """
        super().__init__(channel=channel)
        self._timers = timers
        self._settings = settings or HttpGuardSettings()
        self._budget = budget or MemoryBudget(sys.maxsize, timers.now)
        self._bounds = RequestBounds(self._settings.header_bytes, self._settings.body_bytes)
        self._connections: dict[socket.socket, _CallerConnection] = {}
        # Without a free descriptor accept() would fail and be repeated in every turn of the loop.
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._max_served_connections = min(
            self._settings.connections, descriptors // _DESCRIPTORS_PER_CONNECTION
        )
        self._stats = HttpGuardStats()

    @property
    def stats(self) -> HttpGuardStats:
        """Return the counts since the guard was created."""
        return self._stats

    @property
    def open_connections(self) -> int:
        """Return how many connections are open, including refused ones."""
        return len(self._connections)

    @handler("connect")
    def _on_connect(self, sock, *_) -> None:
        set_acknowledgement_timeout(sock, self._settings.acknowledgement_timeout_seconds)
        deadline = MovingDeadline(self._timers, self._deadline_callback(sock))
        deadline.set(self._settings.request_seconds)
        holder = MemoryHolder(HolderKind.RECEIVING, lambda: self._give_up_request(sock))
        connection = _CallerConnection(RequestReader(self._bounds), deadline, holder)
        self._connections[sock] = connection
        if len(self._connections) > 2 * self._max_served_connections:
            self.fire(close(sock))
        elif len(self._connections) > self._max_served_connections:
            self._refuse(sock, connection, _TOO_MANY_CONNECTIONS)

    @handler("disconnect")
    def _on_disconnect(self, sock) -> None:
        connection = self._connections.pop(sock, None)
        if connection is not None:
            connection.deadline.close()
            self._budget.close(connection.holder)
        self._discard_socket(sock)

    @handler("read", priority=10)
    def _on_read(self, event, sock, data) -> None:
        complete_request = self._filter_read(sock, data)
        if complete_request is None:
            event.stop()
            return
        # Replacing the data in the same event instead of firing another one saves a loop turn.
        event.args[1] = complete_request.data

    @handler("write", priority=10)
    def _on_write(self, event, sock, _) -> None:
        # The poller would raise on a socket that was closed before this event was handled.
        if sock.fileno() < 0:
            event.stop()

    @handler("response", "stream", priority=-100)
    def _on_answered(self, reply, *_) -> None:
        sock = reply.request.sock
        connection = self._connections.get(sock)
        if not reply.done or connection is None or connection.phase is not _Phase.ANSWERING:
            return
        if connection.pipelined and not reply.close:
            self._refuse(sock, connection, _PIPELINED)
            return
        connection.continue_sent = False
        connection.phase = _Phase.RECEIVING
        connection.holder.kind = HolderKind.RECEIVING
        self._budget.release(connection.holder)
        connection.deadline.set(self._settings.idle_seconds)

    def _filter_read(self, sock: socket.socket, data: bytes) -> CompleteRequest | None:
        """Return the request that `data` completes; None if there is none to pass on."""
        connection = self._connections.get(sock)
        if connection is None or connection.phase is _Phase.REFUSED:
            return None
        if connection.phase is _Phase.ANSWERING:
            connection.pipelined = True
            return None
        return self._receive(sock, connection, data)

    def _receive(
        self, sock: socket.socket, connection: _CallerConnection, data: bytes
    ) -> CompleteRequest | None:
        if not connection.reader.has_received_bytes:
            connection.deadline.set(self._settings.request_seconds)
        self._budget.record_movement(connection.holder)
        read_result = connection.reader.feed(data)
        if read_result.is_err():
            self._refuse(sock, connection, read_result.unwrap_err())
            return None
        held_bytes = _COPIES_OF_BODY * connection.reader.body_bytes
        if not self._budget.hold(connection.holder, held_bytes):
            self._give_up_request(sock)
            return None
        complete_request = read_result.unwrap()
        if complete_request is not None:
            self._begin_response(connection, complete_request)
        elif connection.reader.expects_continue and not connection.continue_sent:
            connection.continue_sent = True
            self.fire(write(sock, _CONTINUE_RESPONSE))
        return complete_request

    def _begin_response(
        self, connection: _CallerConnection, complete_request: CompleteRequest
    ) -> None:
        connection.phase = _Phase.ANSWERING
        connection.holder.kind = HolderKind.RUNNING
        connection.reader = RequestReader(self._bounds)
        connection.pipelined = bool(complete_request.trailing_bytes)
        connection.deadline.clear()
        self._stats.passed += 1

    def _discard_socket(self, sock: socket.socket) -> None:
        """Remove a disconnected socket from the server's write buffers and pending closes."""
        # The circuits server keeps a socket that broke while a response waited to be written.
        server = findcmp(self.parent, TCPServer)
        if server is None:
            return
        server._buffers.pop(sock, None)
        if sock in server._closeq:
            server._closeq.remove(sock)

    def _refuse(self, sock: socket.socket, connection: _CallerConnection, failure: Failure) -> None:
        """Answer with an error and schedule the closing of the connection."""
        self._stats.refused += 1
        connection.phase = _Phase.REFUSED
        connection.reader = RequestReader(self._bounds)
        self._budget.release(connection.holder)
        self.fire(write(sock, _build_error_response(failure)))
        # Closing immediately would reset the connection before the caller read the error.
        connection.deadline.set(self._settings.linger_seconds)

    def _give_up_request(self, sock: socket.socket) -> None:
        """Refuse the request that is received on a connection."""
        connection = self._connections.get(sock)
        if connection is not None and connection.phase is _Phase.RECEIVING:
            self._refuse(sock, connection, _NO_MEMORY)

    def _deadline_callback(self, sock: socket.socket) -> Callable[[], None]:
        return lambda: self._on_deadline(sock)

    def _on_deadline(self, sock: socket.socket) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        if connection.phase is _Phase.RECEIVING and connection.reader.has_received_bytes:
            self._stats.timed_out += 1
            self._refuse(sock, connection, _REQUEST_TOO_SLOW)
        else:
            self.fire(close(sock))


def _build_error_response(failure: Failure) -> bytes:
    body = encode_failure(failure)
    status = failure.code.info.http_status
    head = (
        f"HTTP/1.1 {status} {failure.code.name}\r\nContent-Type: {JSON_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
