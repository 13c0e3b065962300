"""HTTP/1.1 listener for gateways: accepts connections and tells them what the poller reports."""

import heapq
import itertools
import socket
import sys
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from loguru import logger

from pumicedeck.caller_connections import CallerConnection
from pumicedeck.clocks import TimerQueue
from pumicedeck.incoming_calls import IncomingCall
from pumicedeck.listener_settings import ListenerSettings, refuse_generically
from pumicedeck.memory_budgets import MemoryBudget
from pumicedeck.results import Failure
from pumicedeck.socket_options import limit_unsent_bytes, set_acknowledgement_timeout
from pumicedeck.topology import Address

_LISTEN_BACKLOG = 512
_MAX_ACCEPTS_PER_EVENT = 64
# Each search for connections to close looks at all of them.
_EVICTED_PART = 64
_CHANNEL_NUMBERS = itertools.count(1)

_log = logger.bind(module="http_listeners")


class HttpListener(BaseComponent):
    """Listens on one address and passes each complete request to `handle`."""

    def __init__(
        self,
        listen: Address,
        timers: TimerQueue,
        handle: Callable[[IncomingCall], None],
        settings: ListenerSettings | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Create a listener that opens its socket in `start`.

        What its connections hold is counted in `budget`, by default one without a limit.
        """
        super().__init__(channel=f"http_listener_{next(_CHANNEL_NUMBERS)}")
        self._listen_address = listen
        self.timers = timers
        self.handle = handle
        self.refuse: Callable[[IncomingCall, Failure], None] = refuse_generically
        self.settings = settings or ListenerSettings()
        self.budget = budget or MemoryBudget(sys.maxsize, timers.now)
        self.is_draining = False
        self._poller: BasePoller | None = None
        self._sock: socket.socket | None = None
        self._connections: dict[socket.socket, CallerConnection] = {}

    @property
    def address(self) -> Address:
        """Return the bound address."""
        host, port = self._sock.getsockname()
        return Address(host, port)

    @property
    def open_calls(self) -> int:
        """Return how many connections have a request that is incomplete or unanswered."""
        return sum(1 for connection in self._connections.values() if not connection.is_idle)

    @property
    def connections(self) -> int:
        """Return the number of open connections, also of those that are being closed."""
        return len(self._connections)

    def start(self) -> None:
        """Bind and listen.

        Raises OSError if the address cannot be bound and RuntimeError if no poller is registered.
        """
        self._poller = findcmp(self.root, BasePoller)
        if self._poller is None:
            raise RuntimeError("register a poller before the listener")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        limit_unsent_bytes(sock)
        try:
            sock.bind((self._listen_address.host, self._listen_address.port))
            sock.listen(_LISTEN_BACKLOG)
        except OSError:
            sock.close()
            raise
        self._sock = sock
        self._poller.addReader(self, sock)

    def close(self) -> None:
        """Close the listening socket and every connection."""
        self._close_listening_socket()
        for connection in tuple(self._connections.values()):
            connection.close()

    def drain(self) -> None:
        """Add "Connection: close" to each further response."""
        self.is_draining = True

    def stop_accepting(self) -> None:
        """Accept the connections that wait, then close the listening socket."""
        if self._sock is not None:
            self._accept()
            self._close_listening_socket()

    def close_idle_connections(self) -> None:
        """Close the connections without a request, after buffered bytes are sent."""
        for connection in tuple(self._connections.values()):
            if connection.is_idle:
                connection.close_gracefully()

    def _close_listening_socket(self) -> None:
        if self._sock is not None:
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    def remove_connection(self, sock: socket.socket) -> None:
        """Remove a connection and stop polling its socket."""
        self._connections.pop(sock, None)
        self._poller.discard(sock)

    def watch_readable(self, sock: socket.socket, enabled: bool) -> None:
        """Set whether the poller reports when a socket is readable."""
        if enabled:
            self._poller.addReader(self, sock)
        else:
            self._poller.removeReader(sock)

    def watch_writable(self, sock: socket.socket, enabled: bool) -> None:
        """Set whether the poller reports when a socket is writable."""
        if enabled:
            self._poller.addWriter(self, sock)
        else:
            self._poller.removeWriter(sock)

    @handler("_read")
    def _on_read(self, sock) -> None:
        if sock is self._sock:
            self._accept()
            return
        connection = self._connections.get(sock)
        if connection is not None:
            connection.on_readable()

    @handler("_write")
    def _on_write(self, sock) -> None:
        connection = self._connections.get(sock)
        if connection is not None:
            connection.on_writable()

    @handler("_disconnect")
    def _on_disconnect(self, sock) -> None:
        connection = self._connections.get(sock)
        if connection is not None:
            connection.close()

    def _accept(self) -> None:
        for _ in range(_MAX_ACCEPTS_PER_EVENT):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                _log.warning("accepting a connection failed", error=str(error))
                return
            if len(self._connections) >= self.settings.connections:
                self._close_longest_without_request()
            if len(self._connections) >= self.settings.connections:
                _log.warning(
                    "connection limit reached; new connection closed", bound=len(self._connections)
                )
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            set_acknowledgement_timeout(sock, self.settings.acknowledgement_timeout_seconds)
            connection = self._connections[sock] = CallerConnection(self, sock)
            self._poller.addReader(self, sock)
            if not connection.open():
                _log.warning("no memory left for a new connection; connection closed")
                connection.close()

    def _close_longest_without_request(self) -> None:
        """Close connections whose callers have sent nothing for longest, to make room for others.

        A connection with a complete request stays.
        """
        evictable = [each for each in self._connections.values() if not each.has_call]
        count = max(1, len(self._connections) // _EVICTED_PART)
        oldest = heapq.nsmallest(count, evictable, key=lambda each: each.moved_at)
        _log.info("connection limit reached; connections without a request closed", n=len(oldest))
        for connection in oldest:
            connection.close()
