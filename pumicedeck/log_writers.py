"""Writes log lines to a descriptor without ever waiting for its reader."""

import os

BUFFER_BYTES = 256 * 1024


class LogWriter:
    """Drops lines while the reader does not read, counts them and says so afterwards."""

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return how many lines wait to be told as dropped."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write a line, or drop it if too many wait."""
        if len(self._pending) > BUFFER_BYTES:
            self._flush()
        if len(self._pending) > BUFFER_BYTES:
            self._dropped += 1
            return
        if self._dropped:
            self._pending += b'{"event": "log lines dropped", "count": %d}\n' % self._dropped
            self._dropped = 0
        self._pending += line.encode()
        self._flush()

    def _flush(self) -> None:
        try:
            while self._pending:
                self._pending = self._pending[os.write(self._descriptor, self._pending) :]
        except OSError:
            # Nobody reads, or nobody is left to read; what waits is bounded.
            return
