"""Checks the framing of an HTTP/1.1 request and rewrites it in a canonical form.

circuits.web would read some requests differently from h11, the parser of this module. They are
rejected or rewritten before any other code sees them.
"""

import re
from dataclasses import dataclass
from urllib.parse import quote, unquote

import h11
from result import Err, Ok, Result

from pumicedeck.http_messages import KIB, MIB
from pumicedeck.results import Failure, ResultCode

_CONTENT_LENGTH = b"content-length"
_CONTENT_ENCODING = b"content-encoding"
_TRANSFER_ENCODING = b"transfer-encoding"
_BODY_HEADERS = (_CONTENT_LENGTH, _TRANSFER_ENCODING, _CONTENT_ENCODING)
_REWRITTEN_HEADERS = (*_BODY_HEADERS, b"connection", b"expect")
_HEADER_OVERHEAD_BYTES = 4  # ": " and the line end
_METHODS = (b"GET", b"HEAD", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS")
_SIMPLE_TARGET_PATTERN = re.compile(rb"(?:/[A-Za-z0-9_~-][A-Za-z0-9_~.-]*)+/?")
_PERCENT_ESCAPE_PATTERN = re.compile(rb"%[0-9A-Fa-f]{2}")
_TOO_LARGE_STATUSES = (413, 431)


@dataclass(frozen=True, slots=True)
class RequestBounds:
    """The largest header and body, in bytes, that a request may have."""

    header_bytes: int = 16 * KIB
    body_bytes: int = 8 * MIB


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """A request as one canonical message; `trailing_bytes` followed it on the connection."""

    data: bytes
    trailing_bytes: bytes


class RequestReader:
    """Parses the bytes of one request until it is complete or rejected."""

    def __init__(self, bounds: RequestBounds) -> None:
        """Create a reader that rejects a request larger than `bounds`."""
        self._bounds = bounds
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=bounds.header_bytes)
        self._head: h11.Request | None = None
        self._target = b""
        self._body = bytearray()
        self._declared_bytes = 0
        self._has_received_bytes = False

    @property
    def has_received_bytes(self) -> bool:
        """Return whether any byte of the request was received."""
        return self._has_received_bytes

    @property
    def body_bytes(self) -> int:
        """Return how many bytes the body has, or declares if that is more."""
        return max(len(self._body), self._declared_bytes)

    @property
    def expects_continue(self) -> bool:
        """Return whether the caller waits for "100 Continue" before it sends the body."""
        return self._parser.they_are_waiting_for_100_continue

    def feed(self, data: bytes) -> Result[CompleteRequest | None, Failure]:
        """Parse received bytes; None until the request is complete, a failure if it is rejected."""
        self._has_received_bytes = True
        try:
            self._parser.receive_data(data)
            return self._read_events()
        except h11.RemoteProtocolError as error:
            too_large = error.error_status_hint in _TOO_LARGE_STATUSES
            code = ResultCode.TOO_LARGE if too_large else ResultCode.BAD_FRAMING
            return _rejection(code, str(error))

    def _read_events(self) -> Result[CompleteRequest | None, Failure]:
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return Ok(None)
            if isinstance(event, h11.Request):
                rejection = self._check_head(event)
            elif isinstance(event, h11.Data):
                rejection = self._add_body_part(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return Ok(CompleteRequest(self._encode_canonical(), self._parser.trailing_data[0]))
            else:
                rejection = _rejection(
                    ResultCode.BAD_FRAMING, "connection closed within the request"
                )
            if rejection is not None:
                return rejection

    def _check_head(self, head: h11.Request) -> Err[Failure] | None:
        self._head = head
        self._target = _uppercase_escapes(head.target)
        headers = list(head.headers)
        size = sum(len(name) + len(value) + _HEADER_OVERHEAD_BYTES for name, value in headers)
        if size + len(head.target) > self._bounds.header_bytes:
            return _rejection(ResultCode.TOO_LARGE, "request header too large")
        if head.method not in _METHODS:
            return _rejection(ResultCode.BAD_REQUEST, "unsupported request method")
        if not is_unambiguous_target(self._target):
            return _rejection(ResultCode.BAD_REQUEST, "request target is not a normalized path")
        return self._check_framing([header for header in headers if header[0] in _BODY_HEADERS])

    def _check_framing(self, headers: list[tuple[bytes, bytes]]) -> Err[Failure] | None:
        length_headers = [header for header in headers if header[0] != _CONTENT_ENCODING]
        if any(
            value.lower() != b"identity" for name, value in headers if name == _CONTENT_ENCODING
        ):
            # circuits.web would decompress the body without a limit on its size.
            return _rejection(ResultCode.BAD_REQUEST, "content codings are not supported")
        if len(length_headers) > 1:
            return _rejection(
                ResultCode.BAD_FRAMING, "more than one Content-Length or Transfer-Encoding header"
            )
        declared_bytes = next(
            (int(value) for name, value in length_headers if name == _CONTENT_LENGTH), 0
        )
        if declared_bytes > self._bounds.body_bytes:
            return _rejection(ResultCode.TOO_LARGE, "request body too large")
        self._declared_bytes = declared_bytes
        return None

    def _add_body_part(self, data: bytes) -> Err[Failure] | None:
        if len(self._body) + len(data) > self._bounds.body_bytes:
            return _rejection(ResultCode.TOO_LARGE, "request body too large")
        self._body += data
        return None

    def _encode_canonical(self) -> bytes:
        """Return the request in canonical form: body not chunked, at most one Content-Length."""
        head = self._head
        lines = [b"%s %s HTTP/%s" % (head.method, self._target, head.http_version)]
        for name, value in head.headers.raw_items():
            if name.lower() not in _REWRITTEN_HEADERS:
                # circuits.web decodes backslash escape sequences in header values.
                lines.append(b"%s: %s" % (name, value.replace(b"\\", b"\\\\")))
        lines.append(b"Connection: %s" % (b"keep-alive" if self._keeps_alive() else b"close"))
        if self._body:
            lines.append(b"Content-Length: %d" % len(self._body))
        return b"\r\n".join([*lines, b"", self._body])

    def _keeps_alive(self) -> bool:
        # After "Connection: close" and for HTTP/1.0 the parser is in the state MUST_CLOSE.
        return self._parser.their_state is not h11.MUST_CLOSE


def is_unambiguous_target(target: bytes) -> bool:
    """Return whether a target is a path, with or without a query, that has only one reading."""
    if _SIMPLE_TARGET_PATTERN.fullmatch(target):
        return True
    path = target.decode("latin-1").partition("?")[0]
    if not path.startswith("/") or b"#" in target or b"\\" in target or ";" in path:
        return False
    if any(segment in ("", ".", "..") for segment in path.split("/")[1:-1]):
        return False
    if path.endswith(("/.", "/..")):
        return False
    # circuits.web would answer any other path with a redirect.
    return quote(unquote(path)) in (path, quote(path))


def _uppercase_escapes(target: bytes) -> bytes:
    return _PERCENT_ESCAPE_PATTERN.sub(lambda match: match.group().upper(), target)


def _rejection(code: ResultCode, detail: str) -> Err[Failure]:
    return Err(Failure(code, detail, proven_not_run=True))
