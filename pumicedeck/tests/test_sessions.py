"""Tests of the session state machine: handshake, heartbeats and timeouts."""

import pytest
from result import Err, Ok

from pumicedeck.codecs import FrameBuffer, decode, encode
from pumicedeck.handshakes import Hello, Proof
from pumicedeck.messages import AttemptId, Cancel, Heartbeat
from pumicedeck.results import ResultCode
from pumicedeck.sessions import (
    CloseConnection,
    DeliverMessage,
    ReportOpened,
    SendFrame,
    Session,
    SessionSettings,
)

SETTINGS = SessionSettings()
SECRET = b"a secret of this test"
OLD_SECRET = b"the secret before it"


def _hello(role: str, nonce: bytes, protocol: int = 1) -> Hello:
    return Hello(protocol, f"{role}-vm/1", role, "tn-a", "tw-south", nonce)


def _pair(dialer_secrets=(SECRET,), acceptor_secrets=(SECRET,)) -> tuple[Session, Session]:
    dialer = Session(_hello("entry", b"1"), dialer_secrets, True, SETTINGS, 0.0)
    acceptor = Session(_hello("agent", b"2"), acceptor_secrets, False, SETTINGS, 0.0)
    return dialer, acceptor


def _exchange(now: float, dialer: Session, acceptor: Session) -> list:
    """Deliver frames both ways until none is left; return the actions other than Transmit."""
    pending = [(acceptor, action) for action in dialer.start(now)]
    other_actions = []
    while pending:
        target, action = pending.pop(0)
        if not isinstance(action, SendFrame):
            other_actions.append(action)
            continue
        payload = encode(action.frame)[4:]
        other = dialer if target is acceptor else acceptor
        pending += [(other, reply) for reply in target.received(now, decode(payload))]
    return other_actions


def test_both_sides_open_and_know_each_other() -> None:
    dialer, acceptor = _pair()
    opened = [
        each.peer_hello.role
        for each in _exchange(0.0, dialer, acceptor)
        if type(each) is ReportOpened
    ]
    assert sorted(opened) == ["agent", "entry"]
    assert dialer.is_open and acceptor.is_open


def test_a_secret_can_be_rotated_without_closing_sessions() -> None:
    dialer, acceptor = _pair((OLD_SECRET, SECRET), (SECRET, OLD_SECRET))
    _exchange(0.0, dialer, acceptor)
    assert dialer.is_open and acceptor.is_open


@pytest.mark.parametrize("wrong_side", ["dialer", "acceptor"])
def test_a_wrong_secret_opens_nothing(wrong_side: str) -> None:
    wrong = (b"not the secret at all",)
    secrets = (wrong, (SECRET,)) if wrong_side == "dialer" else ((SECRET,), wrong)
    dialer, acceptor = _pair(*secrets)
    other_actions = _exchange(0.0, dialer, acceptor)
    assert not acceptor.is_open
    assert not any(isinstance(each, DeliverMessage) for each in other_actions)
    assert any(each.failure.code is ResultCode.PEER_REJECTED for each in other_actions)


@pytest.mark.parametrize(
    "frame",
    [
        Ok(Cancel(AttemptId("a", 1))),
        Ok(Proof(b"x")),
        Ok(_hello("entry", b"1", protocol=2)),
        decode(b"GET / HTTP/1.1\r\n\r\n"),
    ],
)
def test_anything_but_a_greeting_closes_a_new_session(frame) -> None:
    _, acceptor = _pair()
    (action,) = acceptor.received(0.0, frame)
    assert isinstance(action, CloseConnection)
    assert not acceptor.is_open


def test_a_replayed_proof_is_refused() -> None:
    dialer, acceptor = _pair()
    (hello,) = dialer.start(0.0)
    (challenge,) = acceptor.received(0.0, Ok(hello.frame))
    proof = dialer.received(0.0, Ok(challenge.frame))[0].frame
    victim = Session(_hello("agent", b"3"), (SECRET,), False, SETTINGS, 0.0)
    victim.received(0.0, Ok(hello.frame))
    (action,) = victim.received(0.0, Ok(proof))
    assert action.failure.code is ResultCode.PEER_REJECTED


def test_a_silent_peer_is_given_up_and_a_quiet_side_sends_heartbeats() -> None:
    dialer, acceptor = _pair()
    _exchange(0.0, dialer, acceptor)
    beat = Heartbeat(1, 7)
    assert dialer.on_timer(SETTINGS.heartbeat, lambda: beat) == [SendFrame(beat)]
    (closing,) = dialer.on_timer(SETTINGS.max_silence_seconds, lambda: beat)
    assert closing.failure.code is ResultCode.SESSION_LOST
    acceptor.received(SETTINGS.max_silence_seconds - 0.1, Ok(beat))
    assert not any(
        type(each) is CloseConnection
        for each in acceptor.on_timer(SETTINGS.max_silence_seconds, lambda: beat)
    )


def test_a_handshake_that_stalls_is_given_up() -> None:
    _, acceptor = _pair()
    assert acceptor.on_timer(SETTINGS.max_handshake_seconds - 0.1, lambda: Heartbeat(0, 0)) == []
    (closed,) = acceptor.on_timer(SETTINGS.max_handshake_seconds, lambda: Heartbeat(0, 0))
    assert closed.failure.code is ResultCode.PEER_REJECTED


def test_frames_survive_any_split_and_a_huge_one_is_refused() -> None:
    data = encode(Heartbeat(1, 2)) + encode(Cancel(AttemptId("a", 3)))
    for cut in range(len(data)):
        buffer = FrameBuffer()
        frames = [*buffer.feed(data[:cut]), *buffer.feed(data[cut:])]
        assert frames == [Ok(Heartbeat(1, 2)), Ok(Cancel(AttemptId("a", 3)))]
    (refused,) = FrameBuffer(limit=10).feed(b"\x00\x00\x00\x0b")
    assert isinstance(refused, Err)


def test_both_sides_beat_at_the_longest_interval_that_either_wants() -> None:
    dialer, acceptor = _pair()
    _exchange(0.0, dialer, acceptor)
    heartbeat_with_interval = Heartbeat(1, 1, interval=4.0)
    sent = {"dialer": 0, "acceptor": 0}
    for step in range(1, 241):
        now = step / 4.0
        for side, other, beat in (
            (acceptor, dialer, heartbeat_with_interval),
            (dialer, acceptor, Heartbeat(1, 1)),
        ):
            for action in side.on_timer(now, lambda beat=beat: beat):
                assert isinstance(action, SendFrame)
                sent["dialer" if side is dialer else "acceptor"] += 1
                other.received(now, Ok(action.frame))
    assert sent["acceptor"] <= 2 + 60 / 4
    assert sent["dialer"] <= 3 + 60 / 4
    assert (
        dialer.max_silence_seconds
        == acceptor.max_silence_seconds
        == 4.0 * SETTINGS.max_silence_seconds
    )
    dialer.received(60.0, Ok(heartbeat_with_interval))
    assert (
        dialer.on_timer(60.0 + 3.9 * SETTINGS.max_silence_seconds, lambda: heartbeat_with_interval)
        != []
    )
    assert dialer.is_open
    dialer.on_timer(60.0 + 4.0 * SETTINGS.max_silence_seconds, lambda: heartbeat_with_interval)
    assert not dialer.is_open
