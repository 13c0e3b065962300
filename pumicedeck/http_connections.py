"""HTTP/1.1 client connection: a non-blocking socket with a parser."""

import os
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from errno import EHOSTUNREACH, EINPROGRESS, ENETUNREACH, EPIPE, ETIMEDOUT

import h11
from circuits.core.pollers import BasePoller

from pumicedeck.answer_limits import AnswerMeter
from pumicedeck.clocks import TimerQueue
from pumicedeck.http_heads import HeadRecorder, find_framing_fault, find_head_fault
from pumicedeck.http_messages import HttpClientSettings, HttpRequest, HttpResponse
from pumicedeck.memory_budgets import HolderKind, MemoryBudget, MemoryHolder
from pumicedeck.moving_deadlines import MovingDeadline
from pumicedeck.send_buffers import SendBuffer
from pumicedeck.socket_options import set_acknowledgement_timeout
from pumicedeck.topology import Address

_READ_BYTES = 65536
_SILENCE_ERROR_NUMBERS = (ETIMEDOUT, EHOSTUNREACH, ENETUNREACH)
_SUCCESS_STATUSES = range(200, 300)
_STATUSES_WITHOUT_BODY = (204, 304)
_KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout=(\d{1,6})")
_KEEP_ALIVE_MARGIN_SECONDS = 0.5


class ConnectionState(StrEnum):
    """State of a connection: IDLE is open without a request, BUSY has one."""

    CONNECTING = "connecting"
    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


class BrokenReason(StrEnum):
    """Why a connection ended."""

    REFUSED = "connection not established"
    SILENT = "connection timed out"
    CLOSED = "connection closed"
    BAD_FRAMING = "invalid HTTP response"
    TOO_LARGE = "response too large"


@dataclass(frozen=True, slots=True)
class ConnectionCallbacks:
    """Callbacks of a connection, each called after its state has changed.

    `ready` is called when the connection is established, `responded` with a complete response and
    `broken` with the reason and a detail when the connection ended without one.
    """

    ready: Callable[["HttpConnection"], None]
    responded: Callable[["HttpConnection", HttpResponse], None]
    broken: Callable[["HttpConnection", BrokenReason, str], None]


class HttpConnection:
    """Sends one request at a time to one address."""

    def __init__(
        self,
        address: Address,
        event_target: object,
        poller: BasePoller,
        timers: TimerQueue,
        settings: HttpClientSettings,
        callbacks: ConnectionCallbacks,
        budget: MemoryBudget,
    ) -> None:
        """Create an unopened connection; `poller` sends the socket's events to `event_target`.

        Bodies that the connection holds are counted in `budget`.
        """
        self._address = address
        self._event_target = event_target
        self._poller = poller
        self._timers = timers
        self._settings = settings
        self._callbacks = callbacks
        self._budget = budget
        self._holder = MemoryHolder(HolderKind.ANSWER, self.give_up_body)
        self._meter = AnswerMeter(self._settings)
        self._state = ConnectionState.CONNECTING
        self._socket: socket.socket | None = None
        self._parser = self._new_parser()
        self._unsent = SendBuffer()
        self._written_bytes = 0
        self._write_error = 0
        self._request_count = 0
        self._opened_at = timers.now()
        self._deadline = MovingDeadline(timers, self._on_deadline)
        self._head_recorder = HeadRecorder()
        self._response: h11.Response | None = None
        self._is_close_delimited = False
        # One buffer: a list of parts of a few bytes each would take ten times their size.
        self._body = bytearray()
        self._body_bytes = 0
        self._on_chunk: Callable[[bytes], None] | None = None
        self._on_head: Callable[[HttpResponse], bool] | None = None
        self._max_idle_seconds = settings.max_idle_seconds
        self._max_silence_seconds = settings.silence_seconds

    @property
    def address(self) -> Address:
        """Return the address of the server."""
        return self._address

    @property
    def socket(self) -> socket.socket | None:
        """Return the socket while it is open."""
        return self._socket

    @property
    def state(self) -> ConnectionState:
        """Return the state of the connection."""
        return self._state

    @property
    def written_bytes(self) -> int:
        """Return how many bytes of the current request were written."""
        return self._written_bytes

    @property
    def request_count(self) -> int:
        """Return how many requests were sent on the connection, including the current one."""
        return self._request_count

    @property
    def opened_at(self) -> float:
        """Return when the connection was established, in seconds of the client's clock."""
        return self._opened_at

    def open(self) -> None:
        """Start connecting."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_acknowledgement_timeout(self._socket, self._settings.acknowledgement_timeout_seconds)
        error = self._socket.connect_ex((self._address.host, self._address.port))
        self._deadline.set(self._settings.connect_seconds)
        if error in (0, EINPROGRESS):
            self._poller.addWriter(self._event_target, self._socket)
            return
        self._timers.call_later(0.0, lambda: self._fail_connecting(error))

    def is_stale(self) -> bool:
        """Return whether the server closed the idle connection or sent unexpected bytes on it."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def send(
        self,
        request: HttpRequest,
        on_chunk: Callable[[bytes], None] | None,
        max_silence_seconds: float,
        on_head: Callable[[HttpResponse], bool] | None = None,
    ) -> None:
        """Write a request; `on_chunk`, if set, gets the body of a successful response in pieces.

        `on_head` gets the response before its body; if it returns False, the connection is closed
        and reported as broken, as it is after `max_silence_seconds` without a byte in either
        direction.
        """
        self._state = ConnectionState.BUSY
        self._request_count += 1
        self._written_bytes = 0
        self._on_chunk = on_chunk
        self._on_head = on_head
        self._max_silence_seconds = max_silence_seconds
        self._write_error = 0
        self._head_recorder = HeadRecorder()
        self._response = None
        self._is_close_delimited = False
        self._body = bytearray()
        self._body_bytes = 0
        self._meter = AnswerMeter(self._settings)
        self._unsent.clear()
        for piece in self._encode(request):
            self._unsent.append(piece)
        self._deadline.set(max_silence_seconds)
        self._write()

    def close(self) -> None:
        """Close the socket; no callback is called after that."""
        if self._state is ConnectionState.CLOSED:
            return
        self._state = ConnectionState.CLOSED
        self._deadline.close()
        self._release_memory()
        self._budget.close(self._holder)
        if self._socket is not None:
            self._poller.discard(self._socket)
            self._socket.close()

    def _release_memory(self) -> None:
        """Give the bytes of request and response back; the connection is in reference cycles."""
        self._on_chunk = None
        self._on_head = None
        self._unsent.clear()
        self._body = bytearray()
        self._response = None
        self._head_recorder = HeadRecorder()
        self._parser = self._new_parser()

    def on_writable(self) -> None:
        """Finish connecting, or write the unsent rest of the request."""
        if self._state is ConnectionState.CONNECTING:
            self._finish_connecting()
        elif self._state is ConnectionState.BUSY:
            self._write()

    def on_readable(self) -> None:
        """Read and parse bytes; an idle connection that gets bytes or its end is closed."""
        if self._state not in (ConnectionState.BUSY, ConnectionState.IDLE):
            return
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._break_with_error(error.errno or 0)
            return
        if self._state is ConnectionState.IDLE:
            self._break_connection(BrokenReason.CLOSED, "while idle")
            return
        self._deadline.set(self._max_silence_seconds)
        exceeded = self._meter.add_bytes(len(data))
        if exceeded:
            self._break_connection(BrokenReason.TOO_LARGE, exceeded)
            return
        self._parse(data)

    def on_hangup(self) -> None:
        """Handle a socket that the poller no longer watches, because of a hangup or an error."""
        if self._state is ConnectionState.CONNECTING:
            self._finish_connecting()
        elif self._state is not ConnectionState.CLOSED:
            self._break_with_error(self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=self._settings.header_bytes)

    def _encode(self, request: HttpRequest) -> list[bytes]:
        """Return the pieces of a request, of which the body is not copied."""
        headers = [
            ("host", request.host or f"{self._address.host}:{self._address.port}"),
            ("content-length", str(len(request.body))),
            *request.headers,
        ]
        parser = self._parser
        # Header fields are read as Latin-1; h11 takes text only if it is ASCII.
        fields = [(name, value.encode("latin-1")) for name, value in headers]
        head = h11.Request(method=request.method, target=request.path, headers=fields)
        pieces = parser.send_with_data_passthrough(head)
        if request.body:
            pieces += parser.send_with_data_passthrough(h11.Data(data=request.body))
        return [*pieces, *parser.send_with_data_passthrough(h11.EndOfMessage())]

    def _finish_connecting(self) -> None:
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail_connecting(error)
            return
        self._poller.removeWriter(self._socket)
        self._poller.addReader(self._event_target, self._socket)
        self._opened_at = self._timers.now()
        self._become_idle()
        self._callbacks.ready(self)

    def _become_idle(self) -> None:
        self._state = ConnectionState.IDLE
        self._deadline.set(self._max_idle_seconds)

    def _fail_connecting(self, error: int) -> None:
        if self._state is not ConnectionState.CLOSED:
            self._break_connection(BrokenReason.REFUSED, os.strerror(error))

    def _write(self) -> None:
        while self._unsent:
            try:
                count = self._unsent.send_to(self._socket)
            except BlockingIOError:
                break
            except OSError as error:
                self._abandon_write(error.errno or EPIPE)
                return
            self._written_bytes += count
            self._deadline.set(self._max_silence_seconds)
        watches_writable = self._poller.isWriting(self._socket)
        if self._unsent and not watches_writable:
            self._poller.addWriter(self._event_target, self._socket)
        elif not self._unsent and watches_writable:
            self._poller.removeWriter(self._socket)

    def _abandon_write(self, error: int) -> None:
        """Stop writing after a send error; break the connection if no byte was written."""
        # The server may have sent a response before it stopped reading the request. Once a byte was
        # written, the connection therefore stays open for reading. The system reports an error
        # once, so that the next read may show a regular end instead of it.
        self._write_error = error
        self._unsent.clear()
        if self._written_bytes == 0:
            self._timers.call_later(0.0, lambda: self._break_with_error(error))

    def _parse(self, data: bytes) -> None:
        self._head_recorder.feed(data)
        try:
            self._parser.receive_data(data)
            while self._state is ConnectionState.BUSY:
                event = self._parser.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                if not self._handle_event(event):
                    return
        except h11.RemoteProtocolError as error:
            if not data and self._write_error:
                self._break_with_error(self._write_error)
                return
            reason = BrokenReason.BAD_FRAMING if data else BrokenReason.CLOSED
            self._break_connection(reason, str(error))

    def _handle_event(self, event: object) -> bool:
        """Handle a parser event and return whether parsing goes on."""
        if isinstance(event, h11.InformationalResponse):
            exceeded = self._meter.add_interim_head()
            if exceeded:
                self._break_connection(BrokenReason.TOO_LARGE, exceeded)
            return not exceeded and self._check_head(is_interim=True)
        if isinstance(event, h11.Response):
            return self._check_head(is_interim=False) and self._handle_head(event)
        if isinstance(event, h11.Data):
            return self._handle_data(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            if self._is_close_delimited and (self._write_error or self._unsent):
                # A server that closes before it has read the request resets the connection, so
                # that the end of the body cannot be told from a broken one.
                self._break_unsent()
                return False
            self._finish_response()
            return False
        if isinstance(event, h11.ConnectionClosed):
            self._break_connection(BrokenReason.CLOSED, "before the response was complete")
            return False
        return True

    def _check_head(self, is_interim: bool) -> bool:
        """Return whether the lines of the head that was parsed are valid; break if they are not."""
        fault = find_head_fault(self._head_recorder.take_head(is_interim))
        if fault:
            self._break_connection(BrokenReason.BAD_FRAMING, fault)
        return not fault

    def _handle_head(self, head: h11.Response) -> bool:
        fault = find_framing_fault(head)
        if fault:
            self._break_connection(BrokenReason.BAD_FRAMING, fault)
            return False
        header_names = {name for name, _ in head.headers}
        length_headers = {b"content-length", b"transfer-encoding"} & header_names
        lacks_length = not length_headers and head.status_code not in _STATUSES_WITHOUT_BODY
        if lacks_length and not self._settings.accepts_close_delimited_answers:
            # The end of a close-delimited body looks the same as a broken connection.
            self._break_connection(
                BrokenReason.BAD_FRAMING, "response without Content-Length or Transfer-Encoding"
            )
            return False
        self._response = head
        self._is_close_delimited = lacks_length
        if self._on_head is not None and not self._on_head(_build_response(head, b"")):
            self._break_connection(
                BrokenReason.BAD_FRAMING, "response rejected by the head callback"
            )
            return False
        return self._state is ConnectionState.BUSY

    def _handle_data(self, data: bytes) -> bool:
        self._body_bytes += len(data)
        if self._body_bytes > self._settings.body_bytes:
            self._break_connection(
                BrokenReason.TOO_LARGE, f"body exceeds {self._settings.body_bytes} bytes"
            )
            return False
        if self._on_chunk is not None and self._response.status_code in _SUCCESS_STATUSES:
            self._on_chunk(data)
            return True
        self._body += data
        if not self._budget.hold(self._holder, len(self._body)):
            self.give_up_body()
        return self._state is ConnectionState.BUSY

    def give_up_body(self) -> None:
        """Break the connection, whose body is the largest one while memory is short."""
        self._break_connection(BrokenReason.TOO_LARGE, "no memory left for the response's body")

    def _finish_response(self) -> None:
        response = _build_response(self._response, bytes(self._body))
        self._on_chunk = None
        self._on_head = None
        self._body = bytearray()
        self._budget.release(self._holder)
        self._max_idle_seconds = _idle_limit_seconds(response, self._settings.max_idle_seconds)
        if self._can_reuse():
            self._parser.start_next_cycle()
            self._become_idle()
        else:
            self.close()
        self._callbacks.responded(self, response)

    def _can_reuse(self) -> bool:
        """Return whether request and response are complete and no other bytes were received."""
        parser = self._parser
        is_done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        return is_done and not self._unsent and not parser.trailing_data[0]

    def _break_with_error(self, error: int) -> None:
        """Break the connection for an error number of the operating system."""
        is_silent = error in _SILENCE_ERROR_NUMBERS
        self._break_connection(
            BrokenReason.SILENT if is_silent else BrokenReason.CLOSED, os.strerror(error)
        )

    def _break_unsent(self) -> None:
        """Break the connection, whose response ended before the request was sent."""
        if self._write_error:
            self._break_with_error(self._write_error)
        else:
            self._break_connection(BrokenReason.CLOSED, "before the request was sent")

    def _break_connection(self, reason: BrokenReason, detail: str) -> None:
        if self._state is ConnectionState.CLOSED:
            return
        self.close()
        self._callbacks.broken(self, reason, detail)

    def _on_deadline(self) -> None:
        if self._state is ConnectionState.CONNECTING:
            self._break_connection(BrokenReason.REFUSED, "connecting timed out")
        elif self._state is ConnectionState.IDLE:
            self._break_connection(BrokenReason.CLOSED, "idle time limit reached")
        else:
            self._break_connection(
                BrokenReason.SILENT, f"no byte sent or received for {self._max_silence_seconds} s"
            )


def _build_response(head: h11.Response, body: bytes) -> HttpResponse:
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers
    )
    return HttpResponse(head.status_code, headers, body)


def _idle_limit_seconds(response: HttpResponse, upper_limit_seconds: float) -> float:
    """Return for how many seconds the connection may stay idle.

    It is the server's announced keep-alive timeout less a margin for the network delay, but at
    most `upper_limit_seconds`.
    """
    match = _KEEP_ALIVE_TIMEOUT_PATTERN.search(response.header("keep-alive"))
    if match is None:
        return upper_limit_seconds
    return min(upper_limit_seconds, max(0.0, int(match[1]) - _KEEP_ALIVE_MARGIN_SECONDS))
