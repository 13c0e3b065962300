"""HTTP/1.1 listener for gateways, which must pass on requests and responses unchanged.

It uses circuits' poller and h11, because circuits.web rewrites paths, headers and bodies and does
not give access to the raw request head.
"""

import itertools
import socket
from collections.abc import Callable
from dataclasses import dataclass

import h11
from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from loguru import logger

from pumicedeck.clocks import TimerQueue
from pumicedeck.http_messages import KIB, MIB
from pumicedeck.moving_deadlines import MovingDeadline
from pumicedeck.socket_options import set_acknowledgement_timeout
from pumicedeck.topology import Address

_LISTEN_BACKLOG = 512
_READ_BYTES = 65536
_HEADER_OVERHEAD_BYTES = 4  # ": " and the line end
_MAX_ACCEPTS_PER_EVENT = 64
_CHANNEL_NUMBERS = itertools.count(1)
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

CALLER_DISCONNECTED = "caller left"
RESPONSE_ABORTED = "broken off"

Headers = tuple[tuple[str, str], ...]

_log = logger.bind(module="http_listeners")


@dataclass(frozen=True, slots=True)
class ListenerSettings:
    """Limits of callers' connections; times are in seconds and sizes in bytes.

    `header_seconds` is how long the head of a connection's first request and the body of each
    request may take to arrive, `idle_seconds` how long after a response the next head may take,
    `linger_seconds` how long a connection stays open after its writing side was shut down,
    `acknowledgement_timeout_seconds` how long a caller's kernel may leave bytes or probes
    unacknowledged. `max_unsent_bytes` limits what is buffered of a streamed response for a caller
    that does not read; `connections` limits the open connections.
    """

    header_bytes: int = 16 * KIB
    body_bytes: int = 32 * MIB
    header_seconds: float = 10.0
    idle_seconds: float = 20.0
    linger_seconds: float = 1.0
    acknowledgement_timeout_seconds: float = 8.0
    max_unsent_bytes: int = 8 * MIB
    connections: int = 4096


class IncomingCall:
    """A complete request and the means to answer it.

    `on_end` is called once with the outcome: the status sent as text, CALLER_DISCONNECTED or
    RESPONSE_ABORTED. `on_caller_disconnected` is called if the caller disconnects before the
    response is complete.
    """

    def __init__(
        self, connection: "_Connection", head: h11.Request, body: bytes, arrived_at: float
    ) -> None:
        """Create a call that arrived on `connection` at the time `arrived_at`, in seconds."""
        self._connection = connection
        self.method = head.method.decode("latin-1")
        self.target = head.target.decode("latin-1")
        self.headers: Headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers.raw_items()
        )
        self.body = body
        self.arrived_at = arrived_at
        self.on_caller_disconnected: Callable[[], None] = lambda: None
        self.on_end: Callable[[str], None] = lambda outcome: None
        self._status = 0
        self._head_sent = False
        self._ended = False

    @property
    def connection(self) -> object:
        """Return an object that identifies the connection."""
        return self._connection

    @property
    def is_ended(self) -> bool:
        """Return whether the response is complete or aborted, or the caller has disconnected."""
        return self._ended

    @property
    def is_head_sent(self) -> bool:
        """Return whether the head of the response was sent."""
        return self._head_sent

    @property
    def host(self) -> str:
        """Return the Host header in lower case, without a port."""
        return self.header("host").partition(":")[0].lower()

    def header(self, name: str) -> str:
        """Return the header with this lower-case name, or an empty string."""
        return next((value for key, value in self.headers if key.lower() == name), "")

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response; it is ignored if a response was sent or started before."""
        if self._ended or self._head_sent:
            return
        self._report_end(str(status))
        length = ("Content-Length", str(len(body)))
        self._connection.send_complete_response(status, (*headers, length), body)

    def start_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose length is not known."""
        if self._ended or self._head_sent:
            return
        self._head_sent = True
        self._status = status
        self._connection.send_head(status, (*headers, ("Transfer-Encoding", "chunked")))

    def write(self, data: bytes) -> None:
        """Send a part of the body of a streamed response."""
        if not self._ended and data:
            self._connection.send_data(data)

    def finish(self) -> None:
        """Complete a streamed response."""
        if not self._ended:
            self._report_end(str(self._status))
            self._connection.send_end()

    def abort(self) -> None:
        """Close the connection, so that the caller sees the response as incomplete."""
        if not self._ended:
            self._report_end(RESPONSE_ABORTED)
            self._connection.close()

    def caller_disconnected(self) -> None:
        """End the call because the caller disconnected."""
        if not self._ended:
            self._report_end(CALLER_DISCONNECTED)
            self.on_caller_disconnected()

    def _report_end(self, outcome: str) -> None:
        self._ended = True
        self.on_end(outcome)


class _Connection:
    """One caller's connection: a non-blocking socket with an HTTP/1.1 parser."""

    def __init__(self, listener: "HttpListener", sock: socket.socket) -> None:
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
        self._sock.close()
        call, self._call = self._call, None
        if call is not None:
            call.caller_disconnected()

    def close_gracefully(self) -> None:
        """Shut down writing once all bytes are sent and close the socket after `linger_seconds`.

        The delay lets the caller read the response before the connection is closed.
        """
        self._closing = True
        if not self._unsent and self._open:
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()
                return
        self._deadline.set(self._settings.linger_seconds)

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
        return h11.Response(status_code=status, headers=[*headers, *draining_headers])

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

    def _on_deadline(self) -> None:
        if self._call is None:
            self.close()


def _header_bytes(head: h11.Request) -> int:
    """Return the size of the header lines and the target, as limited by `header_bytes`."""
    headers = sum(len(name) + len(value) + _HEADER_OVERHEAD_BYTES for name, value in head.headers)
    return headers + len(head.target)


class HttpListener(BaseComponent):
    """Listens on one address and passes each complete request to `handle`."""

    def __init__(
        self,
        listen: Address,
        timers: TimerQueue,
        handle: Callable[[IncomingCall], None],
        settings: ListenerSettings | None = None,
    ) -> None:
        """Create a listener that opens its socket in `start`."""
        super().__init__(channel=f"http_listener_{next(_CHANNEL_NUMBERS)}")
        self._listen_address = listen
        self.timers = timers
        self.handle = handle
        self.settings = settings or ListenerSettings()
        self.is_draining = False
        self._poller: BasePoller | None = None
        self._sock: socket.socket | None = None
        self._connections: dict[socket.socket, _Connection] = {}

    @property
    def address(self) -> Address:
        """Return the bound address."""
        host, port = self._sock.getsockname()
        return Address(host, port)

    @property
    def open_calls(self) -> int:
        """Return how many connections have a request that is incomplete or unanswered."""
        return sum(1 for connection in self._connections.values() if not connection.is_idle)

    @property
    def connections(self) -> int:
        """Return the number of open connections, also of those that are being closed."""
        return len(self._connections)

    def start(self) -> None:
        """Bind and listen.

        Raises OSError if the address cannot be bound and RuntimeError if no poller is registered.
        """
        self._poller = findcmp(self.root, BasePoller)
        if self._poller is None:
            raise RuntimeError("register a poller before the listener")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind((self._listen_address.host, self._listen_address.port))
            sock.listen(_LISTEN_BACKLOG)
        except OSError:
            sock.close()
            raise
        self._sock = sock
        self._poller.addReader(self, sock)

    def close(self) -> None:
        """Close the listening socket and every connection."""
        self._close_listening_socket()
        for connection in tuple(self._connections.values()):
            connection.close()

    def drain(self) -> None:
        """Add "Connection: close" to each further response."""
        self.is_draining = True

    def stop_accepting(self) -> None:
        """Accept the connections that wait, then close the listening socket."""
        if self._sock is not None:
            self._accept()
            self._close_listening_socket()

    def close_idle_connections(self) -> None:
        """Close the connections without a request, after buffered bytes are sent."""
        for connection in tuple(self._connections.values()):
            if connection.is_idle:
                connection.close_gracefully()

    def _close_listening_socket(self) -> None:
        if self._sock is not None:
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    def remove_connection(self, sock: socket.socket) -> None:
        """Remove a connection and stop polling its socket."""
        self._connections.pop(sock, None)
        self._poller.discard(sock)

    def watch_writable(self, sock: socket.socket, enabled: bool) -> None:
        """Set whether the poller reports when a socket is writable."""
        if enabled:
            self._poller.addWriter(self, sock)
        else:
            self._poller.removeWriter(sock)

    @handler("_read")
    def _on_read(self, sock) -> None:
        if sock is self._sock:
            self._accept()
            return
        connection = self._connections.get(sock)
        if connection is not None:
            connection.on_readable()

    @handler("_write")
    def _on_write(self, sock) -> None:
        connection = self._connections.get(sock)
        if connection is not None:
            connection.on_writable()

    @handler("_disconnect")
    def _on_disconnect(self, sock) -> None:
        connection = self._connections.get(sock)
        if connection is not None:
            connection.close()

    def _accept(self) -> None:
        for _ in range(_MAX_ACCEPTS_PER_EVENT):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                _log.warning("accepting a connection failed", error=str(error))
                return
            if len(self._connections) >= self.settings.connections:
                _log.warning(
                    "connection limit reached; new connection closed", bound=len(self._connections)
                )
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            set_acknowledgement_timeout(sock, self.settings.acknowledgement_timeout_seconds)
            self._connections[sock] = _Connection(self, sock)
            self._poller.addReader(self, sock)
