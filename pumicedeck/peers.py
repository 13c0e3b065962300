"""Maps each connected peer's incarnation to its open session; the newest connection wins."""

from dataclasses import dataclass, replace
from typing import Protocol

from loguru import logger

from pumicedeck.connections import SessionListener
from pumicedeck.handshakes import Hello
from pumicedeck.heartbeat_intervals import heartbeat_interval
from pumicedeck.messages import Heartbeat, Message
from pumicedeck.results import Failure

_log = logger.bind(module="peers")


class PeerListener(Protocol):
    """Callbacks of `Peers` to the daemon."""

    def session_opened(self, peer_hello: Hello) -> None:
        """Handle a session that opened: the peer can be reached."""

    def session_closed(self, peer_hello: Hello) -> None:
        """Handle a session that closed: the peer cannot be reached until it opens another."""

    def message(self, peer_hello: Hello, message: Message) -> None:
        """Handle a message of the peer."""

    def connection_ended(self, connection_number: int) -> None:
        """Handle the end of a connection, whether or not a session opened on it."""

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""


class Connector(Protocol):
    """The part of `Connections` that `Peers` uses."""

    def send(self, number: int, message: Message) -> bool:
        """Send a message; return False if the connection has no open session."""

    def close_connection(self, number: int) -> None:
        """Close a connection."""


@dataclass(frozen=True, slots=True)
class _OpenSession:
    connection_number: int
    hello: Hello


class Peers(SessionListener):
    """Holds one open session for each peer incarnation; a newer one replaces an older one."""

    def __init__(self, listener: PeerListener) -> None:
        """Create it without sessions; `bind` must follow. Events go to `listener`."""
        self._listener = listener
        self._connections: Connector | None = None
        self._open_sessions: dict[str, _OpenSession] = {}

    @property
    def incarnations(self) -> tuple[str, ...]:
        """Return the incarnations of the peers with an open session."""
        return tuple(self._open_sessions)

    def bind(self, connections: Connector) -> None:
        """Set the connections to send on; must be called once, before any session opens."""
        self._connections = connections

    def send(self, incarnation: str, message: Message) -> bool:
        """Send a message; return False if there is no open session to the peer."""
        session = self._open_sessions.get(incarnation)
        return session is not None and self._connections.send(session.connection_number, message)

    def send_to_all(self, message: Message) -> None:
        """Send a message to every peer with an open session."""
        for incarnation in self.incarnations:
            self.send(incarnation, message)

    def close_connection(self, incarnation: str) -> None:
        """Close the session to a peer, if there is one."""
        session = self._open_sessions.get(incarnation)
        if session is not None:
            self._connections.close_connection(session.connection_number)

    def opened(self, connection_number: int, peer_hello: Hello) -> None:
        """Record a new session and close an older one of the same incarnation."""
        older_session = self._open_sessions.pop(peer_hello.incarnation, None)
        if older_session is not None:
            self._listener.session_closed(older_session.hello)
            self._connections.close_connection(older_session.connection_number)
        self._open_sessions[peer_hello.incarnation] = _OpenSession(connection_number, peer_hello)
        _log.info("session opened", peer=peer_hello.incarnation)
        self._listener.session_opened(peer_hello)

    def delivered(self, connection_number: int, peer_hello: Hello, message: Message) -> None:
        """Pass a message to the listener."""
        self._listener.message(peer_hello, message)

    def closed(self, connection_number: int, peer_hello: Hello | None, failure: Failure) -> None:
        """Report the end of a session unless a newer connection has replaced it."""
        if peer_hello is not None:
            session = self._open_sessions.get(peer_hello.incarnation)
            if session is not None and session.connection_number == connection_number:
                del self._open_sessions[peer_hello.incarnation]
                _log.info("session lost", peer=peer_hello.incarnation, why=failure.detail)
                self._listener.session_closed(peer_hello)
        self._listener.connection_ended(connection_number)

    def heartbeat(self) -> Heartbeat:
        """Return the listener's heartbeat, its interval set by the number of open sessions."""
        interval = heartbeat_interval(len(self._open_sessions))
        return replace(self._listener.heartbeat(), interval=interval)
