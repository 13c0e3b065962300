"""What a listener and its connections share: limits, the listener's interface, refusals."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from pumicedeck.clocks import TimerQueue
from pumicedeck.http_documents import JSON_TYPE, encode_failure
from pumicedeck.http_messages import KIB, MIB
from pumicedeck.incoming_calls import Headers, IncomingCall
from pumicedeck.memory_budgets import MemoryBudget
from pumicedeck.results import Failure, ResultCode

_RETRY_AFTER_SECONDS = 1.0
HEADER_TOO_LARGE = Failure(ResultCode.TOO_LARGE, "request header too large", proven_not_run=True)
BODY_TOO_LARGE = Failure(ResultCode.TOO_LARGE, "request body too large", proven_not_run=True)
REQUEST_TOO_SLOW = Failure(
    ResultCode.REQUEST_TIMEOUT, "the body was not complete in time", proven_not_run=True
)
NO_MEMORY = Failure(
    ResultCode.OVERLOADED,
    "no memory left for the request",
    retry_after=_RETRY_AFTER_SECONDS,
    proven_not_run=True,
)


@dataclass(frozen=True, slots=True)
class ListenerSettings:
    """Limits of callers' connections; times are in seconds and sizes in bytes.

    `header_seconds` is how long the head of a connection's first request may take to arrive, and
    how long a body may bring no byte; a body takes at most that long and a second for each
    `body_bytes_per_second` of it. `idle_seconds` is how long after a response the next head may
    take, `linger_seconds` how long a connection stays open after its writing side was shut down and
    the caller's last byte. Before that, the rest of its last response is sent for up to
    `send_seconds`, while the caller reads some of it every `stall_seconds`.
    `acknowledgement_timeout_seconds` is how long a caller's kernel may leave bytes or probes
    unacknowledged. `max_unsent_bytes` limits what is buffered of a streamed response for a caller
    that does not read. While a request waits for its answer, up to `max_ahead_bytes` of the next
    ones are read, and none is served while more than that of earlier answers is unsent.
    `connections` limits the open connections.
    """

    header_bytes: int = 16 * KIB
    body_bytes: int = 32 * MIB
    header_seconds: float = 10.0
    body_bytes_per_second: int = 64 * KIB
    idle_seconds: float = 20.0
    linger_seconds: float = 1.0
    stall_seconds: float = 4.0
    send_seconds: float = 30.0
    acknowledgement_timeout_seconds: float = 8.0
    max_unsent_bytes: int = 8 * MIB
    max_ahead_bytes: int = 64 * KIB
    connections: int = 4096


class ConnectionOwner(Protocol):
    """The listener that accepted a connection.

    `handle` gets each complete request, `refuse` one whose body is not complete and the reason.
    While `is_draining` each response ends its connection. What connections hold is counted in
    `budget`.
    """

    settings: ListenerSettings
    timers: TimerQueue
    budget: MemoryBudget
    handle: Callable[[IncomingCall], None]
    refuse: Callable[[IncomingCall, Failure], None]
    is_draining: bool

    def remove_connection(self, sock: socket.socket) -> None:
        """Remove a connection that has closed."""

    def watch_readable(self, sock: socket.socket, enabled: bool) -> None:
        """Set whether the connection learns when its socket is readable."""

    def watch_writable(self, sock: socket.socket, enabled: bool) -> None:
        """Set whether the connection learns when its socket is writable."""


def refuse_generically(incoming: IncomingCall, failure: Failure) -> None:
    """Answer a request that is not complete with the JSON document of a failure."""
    headers = failure_headers(failure)
    incoming.answer(failure.code.info.http_status, headers, encode_failure(failure))


def failure_headers(failure: Failure) -> Headers:
    """Return the headers of a response with the JSON document of a failure."""
    headers = (("Content-Type", JSON_TYPE),)
    if failure.retry_after is None:
        return headers
    return (*headers, ("Retry-After", f"{failure.retry_after:.3f}"))
