"""Splits the bytes of an event stream into complete events."""

import re

from pumicedeck.http_messages import KIB

_SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 256 * KIB
_FIELD = re.compile(rb"[A-Za-z0-9_-]*:")


class EventSplitter:
    """Buffers bytes and returns each event once it is complete."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._pending = b""
        self._has_overflowed = False

    @property
    def has_overflowed(self) -> bool:
        """Return whether an event was larger than `MAX_EVENT_BYTES`; no event follows it."""
        return self._has_overflowed

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._pending.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events that they complete, without the blank line at the end."""
        if self._has_overflowed:
            return []
        self._pending += data
        if b"\r" in self._pending:
            # The "\r\n" of a line end may be split between two calls.
            self._pending = self._pending.replace(b"\r\n", b"\n")
        *blocks, self._pending = self._pending.split(_SEPARATOR)
        if len(self._pending) > MAX_EVENT_BYTES:
            self._pending = b""
            self._has_overflowed = True
        return [block for block in blocks if block.strip()]


def has_fields_only(event_bytes: bytes) -> bool:
    """Return whether each line of an event is a field or a comment.

    An endpoint that breaks off within a chunk and goes on with the head of another answer fills the
    chunk with that head, whose first line is no field.
    """
    return all(_FIELD.match(line) for line in event_bytes.split(b"\n") if line)


def is_comment(event_bytes: bytes) -> bool:
    """Return whether a part of an event stream has only comments, which keep a connection open."""
    return all(line.startswith(b":") for line in event_bytes.split(b"\n") if line)
