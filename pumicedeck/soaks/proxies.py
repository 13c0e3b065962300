"""A loopback TCP proxy that can delay, withhold or reset the traffic it forwards."""

import socket
import struct
from collections import deque
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from pumicedeck.clocks import TimerQueue
from pumicedeck.topology import Address

_CHUNK_BYTES = 65_536
_BACKLOG_CONNECTIONS = 256
_LINGER_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProxyFaults:
    """Faults that a proxy injects: a delay in seconds per direction, or withheld data."""

    def __init__(self) -> None:
        """Create settings that forward all traffic without delay."""
        self.delay = 0.0
        self.withholds_requests = False
        self.withholds_answers = False


class _Side:
    """One socket of a pair: `unsent` goes to this socket, `held` was received from it."""

    def __init__(self, sock: socket.socket, from_caller: bool) -> None:
        self.sock = sock
        self.from_caller = from_caller
        self.other: _Side | None = None
        self.unsent = bytearray()
        self.withheld: deque[bytes] = deque()


class LoopbackProxy(BaseComponent):
    """Forwards connections from its own port to a target address."""

    def __init__(self, timers: TimerQueue, target: Callable[[], Address]) -> None:
        """Create a proxy that listens after `start` and calls `target` for each new connection."""
        super().__init__(channel=f"proxy_{id(self)}")
        self._timers = timers
        self._get_target = target
        self._sides_by_sock: dict[socket.socket, _Side] = {}
        self._listener: socket.socket | None = None
        self._poller: BasePoller | None = None
        self.faults = ProxyFaults()

    @property
    def address(self) -> Address:
        """Return the address on which the proxy listens."""
        host, port = self._listener.getsockname()
        return Address(host, port)

    def start(self) -> None:
        """Bind a free port and listen."""
        self._poller = findcmp(self.root, BasePoller)
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setblocking(False)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(_BACKLOG_CONNECTIONS)
        self._poller.addReader(self, self._listener)

    def close(self) -> None:
        """Close every socket."""
        self.reset()
        self._poller.discard(self._listener)
        self._listener.close()

    def reset(self) -> None:
        """Close all connections with a TCP reset."""
        for side in tuple(self._sides_by_sock.values()):
            self._close_pair(side, reset=True)

    def clear_faults(self) -> None:
        """Forward all withheld data and end all faults."""
        self.faults = ProxyFaults()
        for side in tuple(self._sides_by_sock.values()):
            while side.withheld:
                self._write(side.other, side.withheld.popleft())

    @handler("_read")
    def _on_read(self, sock) -> None:
        if sock is self._listener:
            self._accept()
            return
        side = self._sides_by_sock.get(sock)
        if side is None:
            return
        try:
            data = sock.recv(_CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._close_pair(side, reset=True)
            return
        if data:
            self._forward(side, data)
        else:
            self._on_input_end(side)

    @handler("_write")
    def _on_write(self, sock) -> None:
        side = self._sides_by_sock.get(sock)
        if side is not None:
            self._flush(side)

    def _accept(self) -> None:
        try:
            caller_sock, _ = self._listener.accept()
        except OSError:
            return
        caller_sock.setblocking(False)
        target_sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        target_sock.setblocking(False)
        target = self._get_target()
        target_sock.connect_ex((target.host, target.port))
        first, second = _Side(caller_sock, True), _Side(target_sock, False)
        first.other, second.other = second, first
        for side in (first, second):
            self._sides_by_sock[side.sock] = side
            self._poller.addReader(self, side.sock)

    def _forward(self, side: _Side, data: bytes) -> None:
        withheld = (
            self.faults.withholds_requests if side.from_caller else self.faults.withholds_answers
        )
        if withheld or side.withheld:
            side.withheld.append(data)
        elif self.faults.delay:
            self._timers.call_later(self.faults.delay, lambda: self._write(side.other, data))
        else:
            self._write(side.other, data)

    def _on_input_end(self, side: _Side) -> None:
        """Close the other side after delayed data arrived; if data is withheld, leave it open."""
        self._poller.removeReader(side.sock)
        withheld = (
            self.faults.withholds_requests if side.from_caller else self.faults.withholds_answers
        )
        if not withheld:
            self._timers.call_later(self.faults.delay + 0.01, lambda: self._close_pair(side.other))

    def _write(self, side: _Side, data: bytes) -> None:
        if side.sock in self._sides_by_sock:
            side.unsent += data
            self._flush(side)

    def _flush(self, side: _Side) -> None:
        try:
            while side.unsent:
                del side.unsent[: side.sock.send(side.unsent)]
        except BlockingIOError:
            self._poller.addWriter(self, side.sock)
            return
        except OSError:
            self._close_pair(side, reset=True)
            return
        if self._poller.isWriting(side.sock):
            self._poller.removeWriter(side.sock)

    def _close_pair(self, side: _Side, reset: bool = False) -> None:
        for closed_side in (side, side.other):
            if self._sides_by_sock.pop(closed_side.sock, None) is None:
                continue
            self._poller.discard(closed_side.sock)
            if reset:
                closed_side.sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET_ON_CLOSE
                )
            closed_side.sock.close()
