"""Typed HTTP requests, responses and bounds of the HTTP client."""

from dataclasses import dataclass

from pumicedeck.topology import Address

KIB = 1024
MIB = 1024 * KIB


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request; only an `idempotent` one is repeated after bytes of it were written.

    `host` is the name asked for, by default the address itself.
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
    """A whole response; `body` is empty if it was streamed."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return a header by its lower-case name, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")


@dataclass(frozen=True, slots=True)
class HttpClientSettings:
    """Bounds of the client; times are in seconds.

    `silence_seconds` is the longest time without a byte either way while a request is open,
    `pooled_seconds` the longest time that an unused connection is kept. `acknowledge_seconds` is
    how long the other side's kernel may acknowledge nothing, which a slow answer does not exceed.
    With `unframed_answers` an answer without a length ends with its connection.
    """

    connect_seconds: float = 2.0
    silence_seconds: float = 10.0
    max_idle_seconds: float = 15.0
    acknowledgement_timeout_seconds: float = 8.0
    header_bytes: int = 16 * KIB
    body_bytes: int = 64 * MIB
    connections_per_address: int = 64
    accepts_close_delimited_answers: bool = False


@dataclass(slots=True)
class HttpClientStats:
    """Counts since the start."""

    opened: int = 0
    reused: int = 0
    refused: int = 0
    silence_timeouts: int = 0
    retried: int = 0
    broken: int = 0
    stale: int = 0
