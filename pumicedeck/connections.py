"""Non-blocking TCP connections, on the circuits loop, that carry sessions between processes."""

import errno
import itertools
import socket
from collections.abc import Callable

from circuits import handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from loguru import logger

from pumicedeck.clocks import TimerQueue
from pumicedeck.codecs import FrameBuffer, encode
from pumicedeck.handshakes import Hello
from pumicedeck.immediate_send_servers import ImmediateSendServer
from pumicedeck.messages import Heartbeat, Message
from pumicedeck.results import Failure, ResultCode
from pumicedeck.sessions import (
    CloseConnection,
    DeliverMessage,
    ReportOpened,
    SendFrame,
    Session,
    SessionSettings,
)
from pumicedeck.topology import Address

_log = logger.bind(module="connections")

_CHANNEL_NUMBERS = itertools.count(1)

MAX_UNSENT_BYTES = 64 * 1024 * 1024
SESSION_TIMER_INTERVAL_SECONDS = 0.25


class SessionListener:
    """Callbacks of `Connections` to the owner of the sessions, with defaults that do nothing."""

    def opened(self, connection_number: int, peer_hello: Hello) -> None:
        """Handle a session that opened; the peer that sent `peer_hello` is authenticated."""

    def delivered(self, connection_number: int, peer_hello: Hello, message: Message) -> None:
        """Handle a message of the peer."""

    def closed(self, connection_number: int, peer_hello: Hello | None, failure: Failure) -> None:
        """Handle the end of a connection; `peer_hello` is None if no session opened on it."""

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""
        return Heartbeat(0, 0)


class _Connection:
    """A socket with its session and the bytes received of an incomplete frame."""

    def __init__(self, number: int, sock: socket.socket, session: Session) -> None:
        self.number = number
        self.sock = sock
        self.session = session
        self.buffer = FrameBuffer()
        self.session_opened = False


class Connections(ImmediateSendServer):
    """Accepts and dials connections and runs a `Session` on each of them.

    circuits' own TCP client blocks the loop while it connects, so a dialed socket is connected
    without blocking and watched for writability instead.
    """

    def __init__(
        self,
        make_hello: Callable[[], Hello],
        secrets: tuple[bytes, ...],
        listener: SessionListener,
        timers: TimerQueue,
        settings: SessionSettings,
        listen_address: Address | None = None,
    ) -> None:
        """Listen on `listen`, which is None in a process that only dials.

        `make_hello` returns the message by which this process introduces itself; the first of
        `secrets` signs proofs and each of them is accepted from peers.
        """
        self._is_listening = listen_address is not None
        super().__init__(
            (listen_address.host, listen_address.port) if listen_address else None,
            channel=f"sessions_{next(_CHANNEL_NUMBERS)}",
        )
        self._make_hello = make_hello
        self._secrets = secrets
        self._listener = listener
        self._timers = timers
        self._settings = settings
        self._connections_by_socket: dict[socket.socket, _Connection] = {}
        self._connections_by_number: dict[int, _Connection] = {}
        self._connecting_socks: set[socket.socket] = set()
        self._last_number = 0
        self._rejected = 0
        timers.call_later(SESSION_TIMER_INTERVAL_SECONDS, self._run_session_timers)

    @property
    def address(self) -> Address:
        """Return the address that this process listens on."""
        return Address(self.host, self.port)

    @property
    def rejected(self) -> int:
        """Return how many connections ended before a session opened."""
        return self._rejected

    @property
    def open_count(self) -> int:
        """Return how many sessions are open."""
        return sum(
            connection.session.is_open for connection in self._connections_by_number.values()
        )

    def dial(self, address: Address) -> int:
        """Start connecting and return the connection's number; `closed` reports its end."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        error_number = sock.connect_ex((address.host, address.port))
        connection = self._add_connection(sock, is_dialer=True)
        if error_number not in (0, errno.EINPROGRESS):
            self._timers.call_later(0.0, lambda: self._fail_dial(sock, error_number))
            return connection.number
        self._connecting_socks.add(sock)
        self._poller.addWriter(self, sock)
        return connection.number

    def send(self, number: int, message: Message) -> bool:
        """Send a message; return False if the session is not open."""
        connection = self._connections_by_number.get(number)
        if connection is None or not connection.session.is_open:
            return False
        self._apply_actions(connection, connection.session.send(self._timers.now(), message))
        return True

    def close_connection(self, number: int) -> None:
        """Close a connection immediately."""
        connection = self._connections_by_number.get(number)
        if connection is not None:
            self._end_connection(
                connection, Failure(ResultCode.SESSION_LOST, "closed by this process")
            )

    @handler("registered", "started", channel="*", override=True)
    def _on_registered_or_started(self, component, manager=None):
        """Start listening, or in a process that only dials just look up the poller."""
        if self._is_listening:
            super()._on_registered_or_started(component, manager)
        elif self._poller is None:
            self._poller = findcmp(self.root, BasePoller)

    @handler("connect")
    def _on_connect(self, sock, host, port):
        connection = self._add_connection(sock, is_dialer=False)
        self._apply_actions(connection, connection.session.start(self._timers.now()))

    @handler("read")
    def _on_data(self, sock, data):
        connection = self._connections_by_socket.get(sock)
        if connection is None:
            return
        for frame in connection.buffer.feed(data):
            actions = connection.session.received(self._timers.now(), frame)
            self._apply_actions(connection, actions)
            if sock not in self._connections_by_socket:
                return

    @handler("disconnect")
    def _on_peer_gone(self, sock):
        connection = self._connections_by_socket.get(sock)
        if connection is not None:
            self._end_connection(
                connection, Failure(ResultCode.SESSION_LOST, "connection closed by the peer")
            )

    @handler("_write", priority=2)
    def _on_dialed(self, event, sock):
        """Finish a dial when its socket becomes writable, and start the session."""
        if sock not in self._connecting_socks:
            return
        event.stop()
        self._connecting_socks.discard(sock)
        self._poller.removeWriter(sock)
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            self._fail_dial(sock, error_number)
            return
        self._on_accept_done(sock, fire_connect_event=False)
        connection = self._connections_by_socket[sock]
        self._apply_actions(connection, connection.session.start(self._timers.now()))

    @handler("_disconnect", priority=2)
    def _on_dial_hang_up(self, event, sock):
        """Fail a dial whose socket the poller reports as disconnected."""
        if sock in self._connecting_socks:
            event.stop()
            self._connecting_socks.discard(sock)
            self._fail_dial(sock, errno.ECONNREFUSED)

    @handler("error")
    def _on_socket_error(self, *args):
        _log.debug("socket error", error=str(args[-1]))

    def _add_connection(self, sock: socket.socket, is_dialer: bool) -> _Connection:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_number += 1
        session = Session(
            self._make_hello(), self._secrets, is_dialer, self._settings, self._timers.now()
        )
        connection = _Connection(self._last_number, sock, session)
        self._connections_by_socket[sock] = connection
        self._connections_by_number[connection.number] = connection
        return connection

    def _fail_dial(self, sock: socket.socket, error_number: int) -> None:
        connection = self._connections_by_socket.get(sock)
        if connection is not None:
            detail = errno.errorcode.get(error_number, str(error_number))
            self._end_connection(connection, Failure(ResultCode.SESSION_LOST, detail))

    def _run_session_timers(self) -> None:
        self._timers.call_later(SESSION_TIMER_INTERVAL_SECONDS, self._run_session_timers)
        now = self._timers.now()
        for connection in list(self._connections_by_number.values()):
            self._apply_actions(
                connection, connection.session.on_timer(now, self._listener.heartbeat)
            )

    def _apply_actions(self, connection: _Connection, actions: list) -> None:
        for action in actions:
            match action:
                case SendFrame(frame):
                    self._transmit(connection, encode(frame))
                case ReportOpened(peer_hello):
                    connection.session_opened = True
                    self._listener.opened(connection.number, peer_hello)
                case DeliverMessage(message):
                    self._listener.delivered(
                        connection.number, connection.session.peer_hello, message
                    )
                case CloseConnection(failure):
                    self._end_connection(connection, failure)

    def _transmit(self, connection: _Connection, data: bytes) -> None:
        if self.unsent_bytes(connection.sock) > MAX_UNSENT_BYTES:
            self._end_connection(
                connection,
                Failure(ResultCode.SESSION_LOST, "the peer does not read: too many unsent bytes"),
            )
            return
        self.send_bytes(connection.sock, data)

    def _end_connection(self, connection: _Connection, failure: Failure) -> None:
        # The circuits server creates a new buffer for a socket that it closed in a failed write.
        self._buffers.pop(connection.sock, None)
        if self._connections_by_socket.pop(connection.sock, None) is None:
            return
        del self._connections_by_number[connection.number]
        self._connecting_socks.discard(connection.sock)
        if connection.sock in self._clients:
            self._close(connection.sock)
        else:
            self._poller.discard(connection.sock)
            connection.sock.close()
        if not connection.session_opened:
            self._rejected += 1
        peer_hello = connection.session.peer_hello if connection.session_opened else None
        self._listener.closed(connection.number, peer_hello, failure)
