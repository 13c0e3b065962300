"""Bytes that wait to be sent on a socket, without copies of large bodies."""

import socket
from collections import deque

from pumicedeck.http_messages import KIB

# Smaller pieces are joined, so that one write sends many of them.
_JOINED_BYTES = 64 * KIB


class SendBuffer:
    """A queue of pieces; `len` is the number of bytes that are still to be sent."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._pieces: deque[bytearray | memoryview] = deque()
        self._unsent_bytes = 0
        self._held_bytes = 0

    def __len__(self) -> int:
        """Return how many bytes are to be sent."""
        return self._unsent_bytes

    @property
    def held_bytes(self) -> int:
        """Return how many bytes are held in memory: a large piece is freed once all is sent."""
        return self._held_bytes

    def append(self, data: bytes | bytearray) -> None:
        """Add bytes, which must not change until they are sent."""
        if not data:
            return
        self._unsent_bytes += len(data)
        self._held_bytes += len(data)
        last = self._pieces[-1] if self._pieces else None
        if len(data) >= _JOINED_BYTES:
            self._pieces.append(memoryview(data))
        elif isinstance(last, bytearray) and len(last) < _JOINED_BYTES:
            last += data
        else:
            self._pieces.append(bytearray(data))

    def send_to(self, sock: socket.socket) -> int:
        """Send some bytes and return how many; raises OSError as `socket.send` does."""
        piece = self._pieces[0]
        count = sock.send(piece)
        self._unsent_bytes -= count
        if count == len(piece):
            self._pieces.popleft()
            self._held_bytes -= len(piece.obj) if isinstance(piece, memoryview) else count
        elif isinstance(piece, memoryview):
            self._pieces[0] = piece[count:]
        else:
            del piece[:count]
            self._held_bytes -= count
        return count

    def clear(self) -> None:
        """Discard all bytes."""
        self._pieces.clear()
        self._unsent_bytes = 0
        self._held_bytes = 0
