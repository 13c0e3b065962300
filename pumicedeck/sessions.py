"""A session between an entry and an agent: handshake, heartbeats and loss; free of I/O."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, auto

from result import Err, Ok, Result

from pumicedeck.codecs import Frame
from pumicedeck.handshakes import PROTOCOL_VERSION, Hello, Proof, compute_proof, is_valid_proof
from pumicedeck.heartbeat_intervals import MAX_INTERVAL_SECONDS
from pumicedeck.messages import Heartbeat, Message
from pumicedeck.results import Failure, ResultCode


@dataclass(frozen=True, slots=True)
class SessionSettings:
    """Times in seconds; a session silent for `silence` is given up.

    Where a side wants a longer interval than `heartbeat`, both times grow in proportion.
    """

    heartbeat: float = 1.0
    max_silence_seconds: float = 3.5
    max_handshake_seconds: float = 5.0


class SessionState(Enum):
    """Progress of a session."""

    AWAITING_HELLO = auto()
    AWAITING_PROOF = auto()
    OPEN = auto()
    CLOSED = auto()


@dataclass(frozen=True, slots=True)
class Transmit:
    """Write a frame to the peer."""

    frame: Frame


@dataclass(frozen=True, slots=True)
class Opened:
    """The peer is authenticated."""

    peer: Hello


@dataclass(frozen=True, slots=True)
class Delivered:
    """A message arrived from the authenticated peer."""

    message: Message


@dataclass(frozen=True, slots=True)
class Closed:
    """The session ended and its connection is to be closed."""

    failure: Failure


SessionAction = Transmit | Opened | Delivered | Closed


class Session:
    """One side of one connection; `dialed` is true on the side that opened it."""

    def __init__(
        self,
        hello: Hello,
        secrets: tuple[bytes, ...],
        is_dialer: bool,
        settings: SessionSettings,
        now: float,
    ) -> None:
        """Introduce this process with `hello`; the first secret signs, all of them verify."""
        self._hello = hello
        self._secrets = secrets
        self._is_dialer = is_dialer
        self._settings = settings
        self._state = SessionState.AWAITING_HELLO
        self._peer: Hello | None = None
        self._created_at = now
        self._last_received_at = now
        self._last_sent_at = now
        self._own_interval_seconds = 0.0
        self._peer_interval_seconds = 0.0

    @property
    def interval(self) -> float:
        """Return the seconds between heartbeats: the longest that either side wants."""
        return max(
            self._settings.heartbeat, self._own_interval_seconds, self._peer_interval_seconds
        )

    @property
    def max_silence_seconds(self) -> float:
        """Return after how many silent seconds the session is given up."""
        return self._settings.max_silence_seconds * self.interval / self._settings.heartbeat

    @property
    def is_open(self) -> bool:
        """Return whether messages may be sent."""
        return self._state is SessionState.OPEN

    @property
    def peer(self) -> Hello | None:
        """Return how the peer introduced itself."""
        return self._peer

    def start(self, now: float) -> list[SessionAction]:
        """Begin the handshake."""
        if not self._is_dialer:
            return []
        self._last_sent_at = now
        return [Transmit(self._hello)]

    def send(self, now: float, message: Message) -> list[SessionAction]:
        """Transmit a message if the session is open."""
        if not self.is_open:
            return []
        self._last_sent_at = now
        return [Transmit(message)]

    def received(self, now: float, frame: Result[Frame, Failure]) -> list[SessionAction]:
        """Take one frame from the peer."""
        if self._state is SessionState.CLOSED:
            return []
        self._last_received_at = now
        match frame:
            case Err(failure):
                return self._close(failure)
            case Ok(Hello() as hello):
                return self._on_hello(now, hello)
            case Ok(Proof() as proof):
                return self._on_proof(proof)
            case Ok(message):
                return self._on_message(message)

    def on_timer(self, now: float, make_heartbeat: Callable[[], Heartbeat]) -> list[SessionAction]:
        """Send a heartbeat when one is due, and give up a silent peer."""
        if self._state is SessionState.CLOSED:
            return []
        if not self.is_open:
            return self._check_handshake(now)
        if now - self._last_received_at >= self.max_silence_seconds:
            return self._close(Failure(ResultCode.SESSION_LOST, "the peer is silent"))
        if now - self._last_sent_at < self.interval:
            return []
        self._last_sent_at = now
        heartbeat = make_heartbeat()
        self._own_interval_seconds = heartbeat.interval
        return [Transmit(heartbeat)]

    def _check_handshake(self, now: float) -> list[SessionAction]:
        if now - self._created_at < self._settings.max_handshake_seconds:
            return []
        return self._close(Failure(ResultCode.PEER_REJECTED, "the handshake timed out"))

    def _close(self, failure: Failure) -> list[SessionAction]:
        self._state = SessionState.CLOSED
        return [Closed(failure)]

    def _reject(self, detail: str) -> list[SessionAction]:
        return self._close(Failure(ResultCode.PEER_REJECTED, detail))

    def _on_hello(self, now: float, peer: Hello) -> list[SessionAction]:
        if self._state is not SessionState.AWAITING_HELLO:
            return self._reject("a second greeting")
        if peer.protocol != PROTOCOL_VERSION:
            return self._reject(f"protocol {peer.protocol}, expected {PROTOCOL_VERSION}")
        self._peer = peer
        self._last_sent_at = now
        if self._is_dialer:
            return self._answer_challenge(peer)
        return self._send_challenge(peer)

    def _send_challenge(self, peer: Hello) -> list[SessionAction]:
        self._state = SessionState.AWAITING_PROOF
        proof = compute_proof(self._secrets[0], self._hello, peer)
        return [Transmit(replace(self._hello, proof=proof))]

    def _answer_challenge(self, peer: Hello) -> list[SessionAction]:
        if not is_valid_proof(self._secrets, peer.proof, peer, self._hello):
            return self._reject("the peer does not know the secret")
        self._state = SessionState.OPEN
        proof = Proof(compute_proof(self._secrets[0], self._hello, peer))
        return [Transmit(proof), Opened(peer)]

    def _on_proof(self, proof: Proof) -> list[SessionAction]:
        if self._state is not SessionState.AWAITING_PROOF or self._peer is None:
            return self._reject("a proof out of turn")
        if not is_valid_proof(self._secrets, proof.proof, self._peer, self._hello):
            return self._reject("the peer does not know the secret")
        self._state = SessionState.OPEN
        return [Opened(self._peer)]

    def _on_message(self, message: Message) -> list[SessionAction]:
        if not self.is_open:
            return self._reject("a message before the handshake")
        if isinstance(message, Heartbeat) and message.interval > 0.0:
            self._peer_interval_seconds = min(message.interval, MAX_INTERVAL_SECONDS)
        return [Delivered(message)]
