"""One caller's connection: reads requests, passes them on unchanged and writes the responses.

It uses h11, because circuits.web rewrites paths, headers and bodies and does not give access to the
raw request head.
"""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import h11
from loguru import logger

from pumicedeck.clocks import TimerQueue
from pumicedeck.http_messages import KIB, MIB
from pumicedeck.incoming_calls import Headers, IncomingCall
from pumicedeck.moving_deadlines import MovingDeadline

_READ_BYTES = 65536
_HEADER_OVERHEAD_BYTES = 4  # ": " and the line end
# Linger on, for 0 s: unsent bytes are discarded and the other side gets a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

_log = logger.bind(module="caller_connections")


@dataclass(frozen=True, slots=True)
class ListenerSettings:
    """Limits of callers' connections; times are in seconds and sizes in bytes.

    `header_seconds` is how long the head of a connection's first request and the body of each
    request may take to arrive, `idle_seconds` how long after a response the next head may take,
    `linger_seconds` how long a connection stays open after its writing side was shut down. Before
    that, the rest of its last response is sent for up to `send_seconds`, while the caller reads
    some of it every `stall_seconds`.
    `acknowledgement_timeout_seconds` how long a caller's kernel may leave bytes or probes
    unacknowledged. `max_unsent_bytes` limits what is buffered of a streamed response for a caller
    that does not read; `connections` limits the open connections.
    """

    header_bytes: int = 16 * KIB
    body_bytes: int = 32 * MIB
    header_seconds: float = 10.0
    idle_seconds: float = 20.0
    linger_seconds: float = 1.0
    stall_seconds: float = 4.0
    send_seconds: float = 30.0
    acknowledgement_timeout_seconds: float = 8.0
    max_unsent_bytes: int = 8 * MIB
    connections: int = 4096


class ConnectionOwner(Protocol):
    """The listener that accepted a connection.

    `handle` gets each complete request. While `is_draining` each response ends its connection.
    """

    settings: ListenerSettings
    timers: TimerQueue
    handle: Callable[[IncomingCall], None]
    is_draining: bool

    def remove_connection(self, sock: socket.socket) -> None:
        """Remove a connection that has closed."""

    def watch_writable(self, sock: socket.socket, enabled: bool) -> None:
        """Set whether the connection learns when its socket is writable."""


class CallerConnection:
    """One caller's connection: a non-blocking socket with an HTTP/1.1 parser."""

    def __init__(self, listener: ConnectionOwner, sock: socket.socket) -> None:
        """Read requests from a connected, non-blocking socket."""
        self._listener = listener
        self._sock = sock
        self._settings = listener.settings
        self._parser = self._new_parser()
        self._deadline = MovingDeadline(listener.timers, self._on_deadline)
        self._deadline.set(self._settings.header_seconds)
        self._unsent = bytearray()
        self._watches_writable = False
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._call: IncomingCall | None = None
        self._closing = False
        self._send_until = 0.0
        self._open = True

    @property
    def is_idle(self) -> bool:
        """Return whether it is not closing and has no request, not even its complete head."""
        return self._call is None and self._head is None and not self._closing

    def on_readable(self) -> None:
        """Read and parse the bytes that arrived."""
        try:
            data = self._sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
            return
        if self._closing:
            return
        try:
            self._parser.receive_data(data)
            self._parse_events()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def on_writable(self) -> None:
        """Send buffered bytes."""
        self._flush()

    def send_complete_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send head and body of a response in one write."""
        self._buffer_event(self._build_response(status, headers))
        if body:
            self._buffer_event(h11.Data(data=body))
        self._buffer_event(h11.EndOfMessage())
        self._on_response_sent()

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed response."""
        self._buffer_event(self._build_response(status, headers))
        self._flush()

    def send_data(self, data: bytes) -> None:
        """Send a part of a body; close the connection if too many bytes wait unsent."""
        self._buffer_event(h11.Data(data=data))
        self._flush()
        if len(self._unsent) > self._settings.max_unsent_bytes:
            _log.warning("caller does not read its answer; connection closed")
            self.close()

    def send_end(self) -> None:
        """Send the end of a body."""
        self._buffer_event(h11.EndOfMessage())
        self._on_response_sent()

    def close(self) -> None:
        """Close the socket and notify the open call, if there is one."""
        if not self._open:
            return
        self._open = False
        self._deadline.close()
        self._listener.remove_connection(self._sock)
        if self._closing and self._unsent:
            # A reset tells the caller that the response is incomplete, however it is framed.
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._sock.close()
        # The connection is in reference cycles and may be collected much later.
        self._unsent = bytearray()
        self._head, self._body = None, []
        self._parser = self._new_parser()
        call, self._call = self._call, None
        if call is not None:
            call.caller_disconnected()

    def close_gracefully(self) -> None:
        """Shut down writing once all bytes are sent and close the socket after `linger_seconds`.

        The delay lets the caller read the response before the connection is closed.
        """
        if not self._closing:
            self._closing = True
            self._send_until = self._listener.timers.now() + self._settings.send_seconds
        if self._unsent:
            self._await_reading()
            return
        if self._open:
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()
                return
        self._deadline.set(self._settings.linger_seconds)

    def _await_reading(self) -> None:
        """Give the caller time to read the next bytes of the last response."""
        left = self._send_until - self._listener.timers.now()
        self._deadline.set(max(0.0, min(self._settings.stall_seconds, left)))

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._settings.header_bytes)

    def _parse_events(self) -> None:
        """Handle parsed parts of a request until it is complete or more bytes are needed."""
        while self._open and not self._closing and self._call is None:
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                if self._parser.they_are_waiting_for_100_continue:
                    self._parser.send(h11.InformationalResponse(status_code=100, headers=[]))
                    self._unsent += _CONTINUE_RESPONSE
                    self._flush()
                return
            if isinstance(event, h11.Request):
                if _header_bytes(event) > self._settings.header_bytes:
                    self._reject(431, "request header too large")
                    return
                self._head = event
                self._body = []
                self._body_bytes = 0
                self._deadline.set(self._settings.header_seconds)
            elif isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
                self._body_bytes += len(event.data)
                if self._body_bytes > self._settings.body_bytes:
                    self._reject(413, "request body too large")
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._start_call()
            else:
                return

    def _start_call(self) -> None:
        self._deadline.clear()
        call = IncomingCall(self, self._head, b"".join(self._body), self._listener.timers.now())
        self._call = call
        self._head = None
        self._body = []
        try:
            self._listener.handle(call)
        except Exception:
            _log.opt(exception=True).error(
                "request handler raised an exception; answering 500", target=call.target
            )
            call.answer(500, (), b"")

    def _build_response(self, status: int, headers: Headers) -> h11.Response:
        draining_headers = (("Connection", "close"),) if self._listener.is_draining else ()
        # Endpoints may send any byte above 127 in a field, which stands for itself in Latin-1.
        fields = [(name, value.encode("latin-1")) for name, value in (*headers, *draining_headers)]
        return h11.Response(status_code=status, headers=fields)

    def _buffer_event(self, event) -> None:
        if not self._open:
            return
        try:
            self._unsent += self._parser.send(event) or b""
        except h11.LocalProtocolError as error:
            _log.error("response violates HTTP framing; connection closed", error=str(error))
            self.close()

    def _on_response_sent(self) -> None:
        """Prepare the connection for its next request, or close it if it cannot be reused."""
        if not self._open:
            return
        self._call = None
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
            self._deadline.set(self._settings.idle_seconds)
            self._flush()
            if self._open and self._parser.trailing_data[0]:
                self._listener.timers.call_later(0.0, self._read_pipelined)
            return
        self._flush()
        if self._open:
            self.close_gracefully()

    def _read_pipelined(self) -> None:
        """Parse the bytes that were received before the previous request was answered."""
        if not self._open or self._call is not None:
            return
        try:
            self._parse_events()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _reject(self, status: int, detail: str) -> None:
        """Answer a malformed or oversized request with an empty body and close the connection."""
        _log.info("request rejected", status=status, detail=detail)
        self._head = None
        try:
            self.send_complete_response(
                status, (("Content-Length", "0"), ("Connection", "close")), b""
            )
        except h11.LocalProtocolError:
            self.close()
            return
        if self._open:
            self.close_gracefully()

    def _flush(self) -> None:
        unsent_before = len(self._unsent)
        while self._unsent and self._open:
            try:
                count = self._sock.send(self._unsent)
            except BlockingIOError:
                break
            except OSError:
                self.close()
                return
            del self._unsent[:count]
        if not self._open:
            return
        if bool(self._unsent) is not self._watches_writable:
            self._watches_writable = bool(self._unsent)
            self._listener.watch_writable(self._sock, self._watches_writable)
        if self._closing and not self._unsent:
            self.close_gracefully()
        elif self._closing and len(self._unsent) < unsent_before:
            self._await_reading()

    def _on_deadline(self) -> None:
        if self._call is None:
            self.close()


def _header_bytes(head: h11.Request) -> int:
    """Return the size of the header lines and the target, as limited by `header_bytes`."""
    headers = sum(len(name) + len(value) + _HEADER_OVERHEAD_BYTES for name, value in head.headers)
    return headers + len(head.target)
