"""Maps each connected peer's incarnation to its open session; the newest connection wins."""

from dataclasses import dataclass, replace
from typing import Protocol

from loguru import logger

from pumicedeck.connections import SessionEvents
from pumicedeck.handshakes import Hello
from pumicedeck.heartbeat_intervals import heartbeat_interval
from pumicedeck.messages import Heartbeat, Message
from pumicedeck.results import Failure

_log = logger.bind(module="peers")


class PeerListener(Protocol):
    """Callbacks of `Peers` to the daemon."""

    def session_opened(self, peer: Hello) -> None:
        """Handle a session that opened: the peer can be reached."""

    def session_closed(self, peer: Hello) -> None:
        """Handle a session that closed: the peer cannot be reached until it opens another."""

    def message(self, peer: Hello, message: Message) -> None:
        """Handle a message of the peer."""

    def connection_ended(self, connection: int) -> None:
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
    connection: int
    hello: Hello


class Peers(SessionEvents):
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
        return session is not None and self._connections.send(session.connection, message)

    def send_to_all(self, message: Message) -> None:
        """Send a message to every peer with an open session."""
        for incarnation in self.incarnations:
            self.send(incarnation, message)

    def close_connection(self, incarnation: str) -> None:
        """Close the session to a peer, if there is one."""
        session = self._open_sessions.get(incarnation)
        if session is not None:
            self._connections.close_connection(session.connection)

    def opened(self, connection: int, peer: Hello) -> None:
        """Record a new session and close an older one of the same incarnation."""
        older = self._open_sessions.pop(peer.incarnation, None)
        if older is not None:
            self._listener.session_closed(older.hello)
            self._connections.close_connection(older.connection)
        self._open_sessions[peer.incarnation] = _OpenSession(connection, peer)
        _log.info("session opened", peer=peer.incarnation)
        self._listener.session_opened(peer)

    def delivered(self, connection: int, peer: Hello, message: Message) -> None:
        """Pass a message to the listener."""
        self._listener.message(peer, message)

    def closed(self, connection: int, peer: Hello | None, failure: Failure) -> None:
        """Report the end of a session unless a newer connection has replaced it."""
        if peer is not None:
            session = self._open_sessions.get(peer.incarnation)
            if session is not None and session.connection == connection:
                del self._open_sessions[peer.incarnation]
                _log.info("session lost", peer=peer.incarnation, why=failure.detail)
                self._listener.session_closed(peer)
        self._listener.connection_ended(connection)

    def heartbeat(self) -> Heartbeat:
        """Return the listener's heartbeat, its interval set by the number of open sessions."""
        interval = heartbeat_interval(len(self._open_sessions))
        return replace(self._listener.heartbeat(), interval=interval)
