"""Requests, responses, settings and counters of the HTTP client."""

from dataclasses import dataclass

from pumicedeck.topology import Address

KIB = 1024
MIB = 1024 * KIB


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request; after bytes of it were written it is sent again only if it is `idempotent`.

    `host` is the value of the Host header, by default the address itself.
    """

    method: str
    address: Address
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    idempotent: bool = False
    host: str = ""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; `body` is empty if it was streamed."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return the header with this lower-case name, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")


@dataclass(frozen=True, slots=True)
class HttpClientSettings:
    """Limits of the client; times are in seconds and sizes in bytes.

    `silence_seconds` is the longest time without a byte in either direction while a request is
    open, `max_idle_seconds` the longest time that an unused connection is kept.
    `acknowledgement_timeout_seconds` is how long the server's kernel may leave bytes or probes
    unacknowledged; a slow response does not exceed it, as the kernel still acknowledges.
    `exchange_seconds` is the longest time from the request to the end of its response,
    `received_bytes` the most bytes of a response with heads and framing, also if its body is passed
    on in pieces, and `interim_heads` the most heads of status 1xx before its own. With
    `accepts_close_delimited_answers` a response without a length ends with its connection.
    """

    connect_seconds: float = 2.0
    silence_seconds: float = 10.0
    max_idle_seconds: float = 15.0
    acknowledgement_timeout_seconds: float = 8.0
    exchange_seconds: float = 60.0
    header_bytes: int = 16 * KIB
    body_bytes: int = 64 * MIB
    received_bytes: int = 128 * MIB
    interim_heads: int = 8
    connections_per_address: int = 64
    accepts_close_delimited_answers: bool = False


@dataclass(slots=True)
class HttpClientStats:
    """Counts since the client was created.

    `opened` counts connections that were started, `refused` those that could not be established,
    `broken` those that broke with a request on them, `silence_timeouts` those that timed out
    without a byte and `stale` idle ones found closed when they were to be reused. `reused` counts
    requests sent on a used connection and `retried` requests sent again.
    """

    opened: int = 0
    reused: int = 0
    refused: int = 0
    silence_timeouts: int = 0
    retried: int = 0
    broken: int = 0
    stale: int = 0
