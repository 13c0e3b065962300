"""Cuts the bytes of an event stream into whole events."""

_SEPARATOR = b"\n\n"


class EventSplitter:
    """Collects bytes and returns each event once it is whole."""

    def __init__(self) -> None:
        """Begin with nothing."""
        self._pending = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether a part of an event is left."""
        return bool(self._pending.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Take in bytes and return the events that are whole now, without their blank line."""
        self._pending += data
        if b"\r" in self._pending:
            # A line end may come in two pieces.
            self._pending = self._pending.replace(b"\r\n", b"\n")
        *blocks, self._pending = self._pending.split(_SEPARATOR)
        return [block for block in blocks if block.strip()]
