"""Session between an entry VM and an agent VM: handshake, heartbeats, timeouts; free of I/O."""

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
    """Times in seconds; a session without a received frame for `max_silence_seconds` is closed.

    Where a side requests a longer heartbeat interval than `heartbeat`, the interval and
    `max_silence_seconds` grow in proportion.
    """

    heartbeat: float = 1.0
    max_silence_seconds: float = 3.5
    max_handshake_seconds: float = 5.0


class SessionState(Enum):
    """State of a session; while AWAITING_PROOF, this side was dialed and sent its challenge."""

    AWAITING_HELLO = auto()
    AWAITING_PROOF = auto()
    OPEN = auto()
    CLOSED = auto()


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Action: send a frame to the peer."""

    frame: Frame


@dataclass(frozen=True, slots=True)
class ReportOpened:
    """Action: report to the listener that the session opened; the peer is authenticated."""

    peer_hello: Hello


@dataclass(frozen=True, slots=True)
class DeliverMessage:
    """Action: pass a message of the authenticated peer to the listener."""

    message: Message


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Action: close the connection; the session ended with `failure`."""

    failure: Failure


SessionAction = SendFrame | ReportOpened | DeliverMessage | CloseConnection


class Session:
    """State machine of one side of a connection; its methods return the actions to perform.

    The dialing side sends its hello, the other side answers with its own hello and proof, and the
    dialing side sends its proof. Times are seconds of one monotonic clock.
    """

    def __init__(
        self,
        hello: Hello,
        secrets: tuple[bytes, ...],
        is_dialer: bool,
        settings: SessionSettings,
        now: float,
    ) -> None:
        """Create a session that introduces this process with `hello`.

        The first of `secrets` signs proofs; a peer's proof may match any of them. `is_dialer` is
        true on the side that opened the connection.
        """
        self._hello = hello
        self._secrets = secrets
        self._is_dialer = is_dialer
        self._settings = settings
        self._state = SessionState.AWAITING_HELLO
        self._peer_hello: Hello | None = None
        self._created_at = now
        self._last_received_at = now
        self._last_sent_at = now
        self._own_interval_seconds = 0.0
        self._peer_interval_seconds = 0.0

    @property
    def heartbeat_interval_seconds(self) -> float:
        """Return the seconds between heartbeats: the longest interval that a side requests."""
        return max(
            self._settings.heartbeat, self._own_interval_seconds, self._peer_interval_seconds
        )

    @property
    def max_silence_seconds(self) -> float:
        """Return after how many seconds without a received frame the session is closed."""
        return (
            self._settings.max_silence_seconds
            * self.heartbeat_interval_seconds
            / self._settings.heartbeat
        )

    @property
    def is_open(self) -> bool:
        """Return whether messages may be sent."""
        return self._state is SessionState.OPEN

    @property
    def peer_hello(self) -> Hello | None:
        """Return the peer's hello; None before it was received."""
        return self._peer_hello

    def start(self, now: float) -> list[SessionAction]:
        """Start the handshake on the dialing side."""
        if not self._is_dialer:
            return []
        self._last_sent_at = now
        return [SendFrame(self._hello)]

    def send(self, now: float, message: Message) -> list[SessionAction]:
        """Send a message if the session is open; otherwise return no action."""
        if not self.is_open:
            return []
        self._last_sent_at = now
        return [SendFrame(message)]

    def received(self, now: float, frame: Result[Frame, Failure]) -> list[SessionAction]:
        """Handle one frame, or decoding failure, received from the peer."""
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
        """Send a heartbeat when one is due; close a silent session or an overdue handshake."""
        if self._state is SessionState.CLOSED:
            return []
        if not self.is_open:
            return self._check_handshake(now)
        if now - self._last_received_at >= self.max_silence_seconds:
            return self._close(
                Failure(
                    ResultCode.SESSION_LOST,
                    "nothing received from the peer within the silence limit",
                )
            )
        if now - self._last_sent_at < self.heartbeat_interval_seconds:
            return []
        self._last_sent_at = now
        heartbeat = make_heartbeat()
        self._own_interval_seconds = heartbeat.interval
        return [SendFrame(heartbeat)]

    def _check_handshake(self, now: float) -> list[SessionAction]:
        if now - self._created_at < self._settings.max_handshake_seconds:
            return []
        return self._close(
            Failure(ResultCode.PEER_REJECTED, "the handshake was not completed in time")
        )

    def _close(self, failure: Failure) -> list[SessionAction]:
        self._state = SessionState.CLOSED
        return [CloseConnection(failure)]

    def _reject(self, detail: str) -> list[SessionAction]:
        return self._close(Failure(ResultCode.PEER_REJECTED, detail))

    def _on_hello(self, now: float, peer_hello: Hello) -> list[SessionAction]:
        """Answer the peer's hello: the dialed side sends a challenge, the dialer a proof."""
        if self._state is not SessionState.AWAITING_HELLO:
            return self._reject("hello received after the first handshake step")
        if peer_hello.protocol != PROTOCOL_VERSION:
            return self._reject(f"got protocol {peer_hello.protocol}, expected {PROTOCOL_VERSION}")
        self._peer_hello = peer_hello
        self._last_sent_at = now
        if self._is_dialer:
            return self._answer_challenge(peer_hello)
        return self._send_challenge(peer_hello)

    def _send_challenge(self, peer_hello: Hello) -> list[SessionAction]:
        """Return the action that sends this side's own hello, with its proof and nonce."""
        self._state = SessionState.AWAITING_PROOF
        proof = compute_proof(self._secrets[0], self._hello, peer_hello)
        return [SendFrame(replace(self._hello, proof=proof))]

    def _answer_challenge(self, peer_hello: Hello) -> list[SessionAction]:
        """Check the proof in the peer's hello, then send this side's proof and open."""
        if not is_valid_proof(self._secrets, peer_hello.proof, peer_hello, self._hello):
            return self._reject("the peer's proof matches no accepted secret")
        self._state = SessionState.OPEN
        proof = Proof(compute_proof(self._secrets[0], self._hello, peer_hello))
        return [SendFrame(proof), ReportOpened(peer_hello)]

    def _on_proof(self, proof: Proof) -> list[SessionAction]:
        if self._state is not SessionState.AWAITING_PROOF or self._peer_hello is None:
            return self._reject("proof received while none was awaited")
        if not is_valid_proof(self._secrets, proof.proof, self._peer_hello, self._hello):
            return self._reject("the peer's proof matches no accepted secret")
        self._state = SessionState.OPEN
        return [ReportOpened(self._peer_hello)]

    def _on_message(self, message: Message) -> list[SessionAction]:
        if not self.is_open:
            return self._reject("message received before the handshake was complete")
        if isinstance(message, Heartbeat) and message.interval > 0.0:
            self._peer_interval_seconds = min(message.interval, MAX_INTERVAL_SECONDS)
        return [DeliverMessage(message)]
