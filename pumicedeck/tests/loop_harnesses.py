"""A circuits event loop under virtual time, which a test advances."""

import struct
import termios
import time
from fcntl import ioctl

from circuits import BaseComponent, handler
from circuits.core.events import started
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer

from pumicedeck.clocks import VirtualTime
from pumicedeck.loops import LoopTimers
from pumicedeck.pollers import ManySocketsPoller
from pumicedeck.topology import Address

_POLL_SECONDS = 0.001
_IDLE_TURNS = 3
# Longer than the kernel holds bytes back; after it the receiver has no room for them.
_DELIVERY_SECONDS = 0.5


class CountingPoller(ManySocketsPoller):
    """Counts socket events, so that the loop can tell whether its sockets are idle."""

    count = 0

    def _process(self, fileno, event):
        self.count += 1
        super()._process(fileno, event)


class LoopHarness(BaseComponent):
    """An event loop; virtual time jumps to the next timer once the sockets are idle."""

    channel = "loop"

    def __init__(self):
        super().__init__()
        self.errors = []
        self.poller = CountingPoller().register(self)
        self.timers = VirtualTime()
        LoopTimers(self.timers).register(self)
        self._senders = {}
        self._running = True
        self.fire(started(self))
        self.settle()

    @handler("exception", channel="*")
    def _on_exception(self, kind, value, traceback, **_):
        self.errors.append("".join(traceback) + repr(value))

    def watch(self, sock):
        """Count the sockets as idle only once the kernel has delivered what `sock` has sent."""
        self._senders[sock] = 0

    def settle(self, turns=200):
        """Tick until the sockets are idle."""
        idle = 0
        for _ in range(turns):
            idle = self._count_idle(idle)
            if idle >= _IDLE_TURNS:
                return
        raise AssertionError("the loop did not become idle within the bounded number of turns")

    def until(self, condition, turns=5000):
        """Tick and advance virtual time until `holds()`; fail after `turns` turns."""
        idle = 0
        for _ in range(turns):
            if condition():
                return
            idle = self._count_idle(idle)
            next_timer_at = self.timers.next_due()
            if idle >= _IDLE_TURNS and next_timer_at is not None:
                self.timers.run_until(next_timer_at)
                idle = 0
        raise AssertionError("the condition was not met within the bounded number of turns")

    def holds_within(self, seconds, condition, turns=5000):
        """Tick until `holds()` or for `seconds` of virtual time; return whether it held."""
        end_at = self.timers.now() + seconds
        for _ in range(turns):
            self.settle()
            if condition():
                return True
            next_timer_at = self.timers.next_due()
            if next_timer_at is None or next_timer_at > end_at:
                return False
            self.timers.run_until(next_timer_at)
        raise AssertionError("the loop did not settle within the bounded number of turns")

    def advance(self, seconds):
        """Advance virtual time by `seconds` and serve the sockets at each timer."""
        end_at = self.timers.now() + seconds
        self.settle()
        while (next_timer_at := self.timers.next_due()) is not None and next_timer_at <= end_at:
            self.timers.run_until(next_timer_at)
            self.settle()
        self.timers.run_until(end_at)
        self.settle()

    def _count_idle(self, idle):
        """Run a turn after `idle` turns without an event; return how many there are now.

        A turn counts only if all bytes were delivered before it.
        """
        if idle:
            self._await_delivery()
        return 0 if self._run_turn() else idle + 1

    def _await_delivery(self):
        """Wait until the bytes of all senders are delivered, or their receivers have no room.

        `_senders` has the number of bytes without room by socket.
        """
        give_up_at = time.monotonic() + _DELIVERY_SECONDS
        while under_way := self._bytes_under_way():
            if time.monotonic() >= give_up_at:
                self._senders |= under_way
                return
            time.sleep(_POLL_SECONDS)

    def _bytes_under_way(self):
        found = {}
        for sock, without_room in self._senders.items():
            if sock.fileno() < 0:
                continue
            (count,) = struct.unpack("i", ioctl(sock, termios.TIOCOUTQ, bytes(4)))
            if count and count != without_room:
                found[sock] = count
        return found

    def _run_turn(self):
        before = self.poller.count
        self.tick(_POLL_SECONDS)
        return self.poller.count > before or len(self) > 0

    def stop_and_check(self):
        """Stop the loop, close its sockets and fail if a handler raised an exception."""
        for _ in range(3):
            # Accept tasks that are already queued must run before the listener is closed.
            self.tick(0)
        self._running = False
        self.fire(close(), "*")
        for _ in range(3):
            self.tick(0)
        assert not self.errors, "".join(self.errors)


class RawServer(BaseComponent):
    """A TCP server that records the bytes received; the test sends the answers."""

    def __init__(self, name):
        super().__init__(channel=name)
        self.server = TCPServer(("127.0.0.1", 0), channel=name).register(self)
        self.received = {}
        self.address = Address("127.0.0.1", self.server.port)
        self.reply = None

    @property
    def socks(self):
        return list(self.received)

    @handler("connect")
    def _on_connect(self, sock, *peer):
        self.received[sock] = bytearray()

    @handler("read")
    def _on_read(self, sock, data):
        self.received[sock] += data
        if self.reply is not None:
            self.fire(write(sock, self.reply))

    def send(self, sock, data):
        self.fire(write(sock, data))

    def hang_up(self, sock):
        self.fire(close(sock))
