"""A complete request of a caller and the means to answer it."""

from collections.abc import Callable
from typing import Protocol

import h11

CALLER_DISCONNECTED = "caller left"
RESPONSE_ABORTED = "broken off"
_HEADER_OVERHEAD_BYTES = 4  # ": " and the line end

Headers = tuple[tuple[str, str], ...]


class ResponseWriter(Protocol):
    """The connection on which a call arrived."""

    def send_complete_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send head and body of a response in one write."""

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed response."""

    def send_data(self, data: bytes) -> None:
        """Send a part of a body."""

    def send_end(self) -> None:
        """Send the end of a body."""

    def close(self) -> None:
        """Close the connection."""


class IncomingCall:
    """A complete request and the means to answer it.

    `body` is not changed; a large one is a bytearray, others are bytes.
    `on_end` is called once with the outcome: the status sent as text, CALLER_DISCONNECTED or
    RESPONSE_ABORTED. `on_caller_disconnected` is called if the caller disconnects before the
    response is complete.
    """

    def __init__(
        self,
        connection: ResponseWriter,
        head: h11.Request,
        body: bytes | bytearray,
        arrived_at: float,
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
            on_caller_disconnected = self.on_caller_disconnected
            self._report_end(CALLER_DISCONNECTED)
            on_caller_disconnected()

    def _report_end(self, outcome: str) -> None:
        self._ended = True
        on_end = self.on_end
        # The callbacks refer to the call, which would keep its body until garbage is collected.
        self.on_end = lambda outcome: None
        self.on_caller_disconnected = lambda: None
        on_end(outcome)


def header_bytes(head: h11.Request) -> int:
    """Return the size of the header lines and the target, as limited by `header_bytes`."""
    headers = sum(len(name) + len(value) + _HEADER_OVERHEAD_BYTES for name, value in head.headers)
    return headers + len(head.target)


def declared_length(head: h11.Request) -> int:
    """Return the length of the body that a head declares, 0 without one."""
    # h11 accepts one Content-Length of at most 20 digits.
    return int(next((value for name, value in head.headers if name == b"content-length"), b"0"))
