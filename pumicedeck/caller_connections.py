"""One caller's connection: reads requests, passes them on unchanged and writes the responses.

It uses h11, because circuits.web rewrites paths, headers and bodies and does not give access to the
raw request head.
"""

import socket
import struct

import h11
from loguru import logger

from pumicedeck.http_documents import encode_failure
from pumicedeck.http_messages import KIB
from pumicedeck.incoming_calls import Headers, IncomingCall, declared_length, header_bytes
from pumicedeck.listener_settings import (
    BODY_TOO_LARGE,
    HEADER_TOO_LARGE,
    NO_MEMORY,
    REQUEST_TOO_SLOW,
    ConnectionOwner,
    failure_headers,
)
from pumicedeck.memory_budgets import HolderKind, MemoryHolder
from pumicedeck.moving_deadlines import MovingDeadline
from pumicedeck.results import Failure, ResultCode
from pumicedeck.send_buffers import SendBuffer
from pumicedeck.socket_options import UNSENT_KERNEL_BYTES, set_receive_buffer

_READ_BYTES = 65536
# A connection's objects without any request.
_CONNECTION_BYTES = 8 * KIB
# Of the parser, the call, and the request to an endpoint.
_COPIES_OF_HEAD = 4
# A connection that is not read gets a small receive buffer; one that is read again a larger one.
_PAUSED_RECEIVE_BYTES = 64 * KIB
_RESUMED_RECEIVE_BYTES = 512 * KIB
# The others are served before more requests, or parts of bodies, of one connection are parsed.
_REQUESTS_PER_TURN = 16
_EVENTS_PER_TURN = 512
_COPIED_BYTES = 64 * KIB
# Linger on, for 0 s: unsent bytes are discarded and the other side gets a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

_log = logger.bind(module="caller_connections")


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
        self._unsent = SendBuffer()
        self._watches_writable = False
        self._is_reading = True
        self._head: h11.Request | None = None
        # One buffer that is passed on without a copy; parts would be held twice when joined.
        self._body = bytearray()
        self._body_started_at = 0.0
        self._base_bytes = _CONNECTION_BYTES
        self._declared_bytes = 0
        self._partial_bytes = 0
        self._ahead_bytes = 0
        self._call: IncomingCall | None = None
        self._is_parsing = False
        self._parse_scheduled = False
        self._closing = False
        self._send_until = 0.0
        self._open = True
        self._budget = listener.budget
        self._received = MemoryHolder(HolderKind.RECEIVING, self._give_up_request)
        self._ahead = MemoryHolder(HolderKind.AHEAD, self._reset)
        self._waiting = MemoryHolder(HolderKind.UNSENT, self._give_up_answer)
        self._budget.record_movement(self._received)

    @property
    def is_idle(self) -> bool:
        """Return whether it is not closing and has no request, not even its complete head."""
        return self._call is None and self._head is None and not self._closing

    @property
    def has_call(self) -> bool:
        """Return whether it has a complete request that is not answered."""
        return self._call is not None

    @property
    def moved_at(self) -> float:
        """Return when its caller last sent a byte, in seconds of the clock."""
        return self._received.moved_at

    def open(self) -> bool:
        """Count the connection in the budget; return whether there is room for it."""
        return self._budget.hold(self._received, self._base_bytes)

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
            self._linger()
            return
        self._budget.record_movement(self._received)
        if self._must_wait:
            self._parser.receive_data(data)
            self._hold_ahead(self._ahead_bytes + len(data))
            return
        self._partial_bytes += len(data)
        self._parse(data)

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
            self._reset()

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
            self._reset_on_close()
        self._sock.close()
        for holder in (self._received, self._ahead, self._waiting):
            self._budget.close(holder)
        # The connection is in reference cycles and may be collected much later.
        self._unsent.clear()
        self._head, self._body = None, bytearray()
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
            self._resume_reading()
        self._deadline.set(self._settings.linger_seconds)

    def _linger(self) -> None:
        """Discard what the caller still sends, since a reset would keep the response from it."""
        if not self._unsent:
            left = self._send_until - self._listener.timers.now()
            self._deadline.set(max(0.0, min(self._settings.linger_seconds, left)))

    def _await_reading(self) -> None:
        """Give the caller time to read the next bytes of the last response."""
        left = self._send_until - self._listener.timers.now()
        self._deadline.set(max(0.0, min(self._settings.stall_seconds, left)))

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._settings.header_bytes)

    @property
    def _must_wait(self) -> bool:
        """Return whether further requests wait until earlier ones are answered and read."""
        owes_answers = len(self._unsent) > self._settings.max_ahead_bytes
        return self._call is not None or self._parse_scheduled or owes_answers

    def _parse(self, data: bytes = b"") -> None:
        """Parse received bytes; reject a request that violates the protocol."""
        self._is_parsing = True
        try:
            if data:
                self._parser.receive_data(data)
            self._parse_events()
        except h11.RemoteProtocolError as error:
            self._reject_malformed(error)
        finally:
            self._is_parsing = False
        if self._open and not self._closing and self._must_wait:
            self._hold_ahead(len(self._parser.trailing_data[0]))

    def _parse_events(self) -> None:
        """Handle parsed parts of requests until one is forwarded or more bytes are needed."""
        requests = events = 0
        while self._open and not self._closing and not self._must_wait:
            if requests >= _REQUESTS_PER_TURN or events >= _EVENTS_PER_TURN:
                self._schedule_parsing()
                return
            events += 1
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._await_data()
                return
            if isinstance(event, h11.Request):
                self._partial_bytes = 0
                if not self._start_body(event):
                    return
            elif isinstance(event, h11.Data):
                self._partial_bytes = 0
                if not self._add_body_part(event.data):
                    return
            elif isinstance(event, h11.EndOfMessage):
                requests += 1
                self._start_call()
            else:
                return

    def _await_data(self) -> None:
        """Wait for more bytes of a request, all received ones being parsed."""
        self._hold_ahead(0)
        if self._parser.they_are_waiting_for_100_continue:
            self._parser.send(h11.InformationalResponse(status_code=100, headers=[]))
            self._unsent.append(_CONTINUE_RESPONSE)
            self._flush()
        if self._partial_bytes:
            self._hold_request(max(len(self._body), self._declared_bytes) + self._partial_bytes)

    def _start_body(self, head: h11.Request) -> bool:
        """Admit a request by its head; return whether its body may follow."""
        self._head = head
        self._body = bytearray()
        self._declared_bytes = 0
        head_bytes = header_bytes(head)
        if head_bytes > self._settings.header_bytes:
            self._reject(HEADER_TOO_LARGE, 431)
            return False
        self._base_bytes = _CONNECTION_BYTES + _COPIES_OF_HEAD * head_bytes
        self._declared_bytes = declared_length(head)
        if self._declared_bytes > self._settings.body_bytes:
            self._reject(BODY_TOO_LARGE)
            return False
        self._body_started_at = self._listener.timers.now()
        self._deadline.set(self._settings.header_seconds)
        return self._hold_request(self._declared_bytes)

    def _add_body_part(self, data: bytes) -> bool:
        """Add received bytes to the body; return whether more may follow."""
        if len(self._body) + len(data) > self._settings.body_bytes:
            self._reject(BODY_TOO_LARGE)
            return False
        self._body += data
        settings = self._settings
        elapsed_seconds = self._listener.timers.now() - self._body_started_at
        rate_seconds = settings.header_seconds + len(self._body) / settings.body_bytes_per_second
        self._deadline.set(min(settings.header_seconds, max(0.0, rate_seconds - elapsed_seconds)))
        return len(self._body) <= self._declared_bytes or self._hold_request(len(self._body))

    def _hold_request(self, count: int) -> bool:
        """Count the bytes of the request that is received; refuse it if there is no room."""
        if self._budget.hold(self._received, self._base_bytes + count):
            return True
        if self._open and not self._closing:
            self._give_up_request()
        return False

    def _hold_ahead(self, count: int) -> None:
        """Count the bytes that wait behind a request; read on only if they are few."""
        self._ahead_bytes = held_bytes = count
        if count > self._settings.max_ahead_bytes:
            held_bytes += _PAUSED_RECEIVE_BYTES
            self._pause_reading()
        elif not count:
            self._resume_reading()
        if not self._budget.hold(self._ahead, held_bytes) and self._open:
            _log.info("no memory left for requests sent ahead; connection closed", held=held_bytes)
            self._reset()

    def _pause_reading(self) -> None:
        if self._is_reading:
            self._is_reading = False
            set_receive_buffer(self._sock, _PAUSED_RECEIVE_BYTES)
            self._listener.watch_readable(self._sock, False)

    def _resume_reading(self) -> None:
        if not self._is_reading:
            self._is_reading = True
            set_receive_buffer(self._sock, _RESUMED_RECEIVE_BYTES)
            self._listener.watch_readable(self._sock, True)

    def _start_call(self) -> None:
        self._deadline.clear()
        self._received.kind = HolderKind.RUNNING
        # A copy of a large body would take as much again.
        body = self._body if len(self._body) > _COPIED_BYTES else bytes(self._body)
        call = IncomingCall(self, self._head, body, self._listener.timers.now())
        self._call = call
        self._head = None
        self._body = bytearray()
        try:
            self._listener.handle(call)
        except Exception:
            _log.opt(exception=True).error(
                "request handler raised an exception; answering 500", target=call.target
            )
            call.answer(500, (), b"")

    def _build_response(self, status: int, headers: Headers) -> h11.Response:
        is_incomplete = self._parser.their_state in (h11.SEND_BODY, h11.ERROR)
        closes = self._listener.is_draining or is_incomplete
        closing_headers = (("Connection", "close"),) if closes else ()
        # Endpoints may send any byte above 127 in a field, which stands for itself in Latin-1.
        fields = [(name, value.encode("latin-1")) for name, value in (*headers, *closing_headers)]
        return h11.Response(status_code=status, headers=fields)

    def _buffer_event(self, event) -> None:
        if not self._open:
            return
        try:
            for piece in self._parser.send_with_data_passthrough(event) or ():
                self._unsent.append(piece)
        except h11.LocalProtocolError as error:
            _log.error("response violates HTTP framing; connection closed", error=str(error))
            self.close()

    def _on_response_sent(self) -> None:
        """Prepare the connection for its next request, or close it if it cannot be reused."""
        if not self._open:
            return
        self._call = None
        self._received.kind = HolderKind.RECEIVING
        self._base_bytes = _CONNECTION_BYTES
        self._budget.hold(self._received, self._base_bytes)
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
            self._deadline.set(self._settings.idle_seconds)
            self._flush()
            if self._open and not self._is_parsing and self._parser.trailing_data[0]:
                self._schedule_parsing()
            return
        self._flush()
        if self._open:
            self.close_gracefully()

    def _schedule_parsing(self) -> None:
        """Parse the bytes that were received before earlier requests were answered, soon."""
        if not self._parse_scheduled:
            self._parse_scheduled = True
            self._listener.timers.call_later(0.0, self._read_pipelined)

    def _read_pipelined(self) -> None:
        self._parse_scheduled = False
        if self._open and not self._closing and not self._must_wait:
            self._parse()

    def _reject_malformed(self, error: h11.RemoteProtocolError) -> None:
        status = error.error_status_hint
        too_large = status in (413, 431)
        code = ResultCode.TOO_LARGE if too_large else ResultCode.BAD_FRAMING
        self._reject(Failure(code, str(error), proven_not_run=True), status)

    def _reject(self, failure: Failure, status: int | None = None) -> None:
        """Answer a request that is not complete and close the connection.

        `status` is that of the answer, by default that of the failure's code.
        """
        status = status or failure.code.info.http_status
        head, self._head = self._head, None
        self._body = bytearray()
        self._budget.release(self._received)
        self._deadline.clear()
        if head is not None and status == failure.code.info.http_status:
            self._call = IncomingCall(self, head, b"", self._listener.timers.now())
            self._listener.refuse(self._call, failure)
            return
        _log.info("request rejected", status=status, detail=failure.detail)
        body = encode_failure(failure)
        headers = (*failure_headers(failure), ("Content-Length", str(len(body))))
        try:
            self.send_complete_response(status, headers, body)
        except h11.LocalProtocolError:
            self.close()
            return
        if self._open:
            self.close_gracefully()

    def _give_up_request(self) -> None:
        """Refuse the request that is received, or close a connection without one."""
        if self._head is not None:
            self._reject(NO_MEMORY)
        else:
            _log.info("no memory left for a connection without a request; connection closed")
            self.close()

    def _give_up_answer(self) -> None:
        _log.warning(
            "no memory left for an answer that its caller does not read; connection closed",
            unsent=len(self._unsent),
        )
        self._reset()

    def _reset(self) -> None:
        """Close the connection so that the kernel discards what is unsent, too."""
        if self._open:
            self._reset_on_close()
            self.close()

    def _reset_on_close(self) -> None:
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def _flush(self) -> None:
        unsent_before = len(self._unsent)
        while self._unsent and self._open:
            try:
                self._unsent.send_to(self._sock)
            except BlockingIOError:
                break
            except OSError:
                self.close()
                return
        if not self._open:
            return
        self._hold_unsent(len(self._unsent) < unsent_before)
        if not self._open:
            return
        if bool(self._unsent) is not self._watches_writable:
            self._watches_writable = bool(self._unsent)
            self._listener.watch_writable(self._sock, self._watches_writable)
        if self._closing and not self._unsent:
            self.close_gracefully()
        elif len(self._unsent) < unsent_before:
            self._on_bytes_sent()

    def _hold_unsent(self, has_moved: bool) -> None:
        """Count the bytes that wait for the caller, also those in the kernel's send buffer."""
        if has_moved or not self._waiting.held_bytes:
            self._budget.record_movement(self._waiting)
        held_bytes = self._unsent.held_bytes + UNSENT_KERNEL_BYTES if self._unsent else 0
        if not self._budget.hold(self._waiting, held_bytes) and self._open:
            self._give_up_answer()

    def _on_bytes_sent(self) -> None:
        """Go on with what waits until the caller reads."""
        if self._closing:
            self._await_reading()
            return
        if self._call is None and self._unsent and self._head is None:
            self._deadline.set(self._settings.idle_seconds)
        if not self._is_parsing and self._ahead_bytes and not self._must_wait:
            self._schedule_parsing()

    def _on_deadline(self) -> None:
        if self._call is not None:
            return
        if self._head is not None and not self._closing:
            self._reject(REQUEST_TOO_SLOW)
        elif self._unsent:
            self._reset()
        else:
            self.close()
