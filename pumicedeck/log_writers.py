"""Writes log lines to a file descriptor without blocking when its reader stops reading."""

import os

BUFFER_BYTES = 256 * 1024


class LogWriter:
    """Buffers up to BUFFER_BYTES, drops later lines and logs their number afterwards."""

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return how many dropped lines have not been reported in the log yet."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write a line, or drop it if more than BUFFER_BYTES are waiting."""
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
            # The reader is not reading or has closed the pipe; the buffer of waiting lines is
            # bounded.
            return
