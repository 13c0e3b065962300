"""Tests of sessions over real sockets: invalid bytes, resets, silent peers, refused dials."""

import socket
import struct

import pytest
from circuits import BaseComponent, handler

from pumicedeck.connections import Connections, SessionListener
from pumicedeck.handshakes import Hello
from pumicedeck.messages import AttemptId, Cancel, Heartbeat
from pumicedeck.sessions import SessionSettings
from pumicedeck.tests.loop_harnesses import LoopHarness, RawServer
from pumicedeck.topology import Address

SETTINGS = SessionSettings()
SECRETS = (b"a secret of this test",)
MESSAGE = Cancel(AttemptId("entry-vm/1", 7))


class Recorder(SessionListener):
    """Records the callbacks to the owner of the sessions."""

    def __init__(self):
        self.connection_numbers = []
        self.messages = []
        self.ends = []

    def opened(self, connection_number, peer_hello):
        self.connection_numbers.append(connection_number)

    def delivered(self, connection_number, peer_hello, message):
        if not isinstance(message, Heartbeat):
            self.messages.append(message)

    def closed(self, connection_number, peer_hello, failure):
        self.ends.append((connection_number, peer_hello))


class ActsEveryTurn(BaseComponent):
    """Calls `act` when timers run, just before each poll."""

    def __init__(self, act):
        super().__init__()
        self.act = act
        self.turns = 0

    @handler("generate_events", priority=1)
    def _on_generate_events(self, event):
        self.turns += 1
        self.act()


class SessionHarness:
    """An agent's listener and an entry VM's connections that dial it, on one loop."""

    def __init__(self):
        self.loop = LoopHarness()
        self.agent_events, self.entry_events = Recorder(), Recorder()
        self.agent = self.make_connections("agent", self.agent_events, Address("127.0.0.1", 0))
        self.entry = self.make_connections("entry", self.entry_events)
        self.loop.settle()

    def make_connections(self, role, events, listen=None):
        hello = Hello(1, f"{role}-vm/1", role, "tn-a", "tw-south", role.encode())
        created = Connections(lambda: hello, SECRETS, events, self.loop.timers, SETTINGS, listen)
        return created.register(self.loop)

    def open_session(self):
        number = self.entry.dial(self.agent.address)
        self.loop.settle()
        assert self.agent.open_count == self.entry.open_count == 1
        return number

    def connect_raw(self, data=b""):
        address = self.agent.address
        sock = socket.create_connection((address.host, address.port))
        sock.setblocking(False)
        sock.send(data)
        self.loop.settle()
        return sock

    def is_closed(self, sock):
        try:
            while sock.recv(65536):
                pass
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True
        return True


@pytest.fixture
def harness():
    created = SessionHarness()
    yield created
    created.loop.stop_and_check()


def test_messages_pass_both_ways(harness):
    number = harness.open_session()
    assert harness.entry.send(number, MESSAGE)
    assert harness.agent.send(harness.agent_events.connection_numbers[0], MESSAGE)
    harness.loop.settle()
    assert harness.agent_events.messages == harness.entry_events.messages == [MESSAGE]


GARBAGE = {
    "TLS hello": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20,
    "HTTP": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "huge frame": struct.pack(">I", 2**31 - 1) + b"x" * 100,
    "empty frame": struct.pack(">I", 0),
    "unreadable frame": struct.pack(">I", 8) + b"\xff" * 8,
}


@pytest.mark.parametrize("data", GARBAGE.values(), ids=GARBAGE.keys())
def test_garbage_closes_its_own_connection_only(harness, data):
    number = harness.open_session()
    sock = harness.connect_raw(data)
    harness.loop.advance(2 * SETTINGS.max_silence_seconds)
    assert harness.is_closed(sock)
    assert harness.entry.send(number, MESSAGE)
    harness.loop.settle()
    assert harness.agent_events.messages == [MESSAGE]
    assert harness.agent.rejected == 1


@pytest.mark.parametrize("data", [b"", struct.pack(">I", 100) + b"half"])
def test_connection_that_never_says_hello_is_closed(harness, data):
    sock = harness.connect_raw(data)
    assert not harness.is_closed(sock)
    harness.loop.advance(2 * SETTINGS.max_silence_seconds)
    assert harness.is_closed(sock)
    sock.close()


def test_silent_listener_is_given_up(harness):
    server = RawServer("silent").register(harness.loop)
    harness.loop.settle()
    number = harness.entry.dial(server.address)
    harness.loop.advance(2 * SETTINGS.max_silence_seconds)
    assert harness.entry_events.ends == [(number, None)]


def test_refused_dial_is_reported_once(harness):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        number = harness.entry.dial(Address(*sock.getsockname()))
        harness.loop.advance(SETTINGS.max_silence_seconds)
    assert harness.entry_events.ends == [(number, None)]
    assert harness.entry.send(number, MESSAGE) is False


@pytest.mark.parametrize("messages", [1, 50])
def test_sending_in_every_turn_to_a_peer_that_reset_raises_nothing(harness, messages):
    number = harness.open_session()
    agent_number = harness.agent_events.connection_numbers[0]
    agent_side = harness.agent._connections_by_number[agent_number].sock
    agent_side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    harness.agent.close_connection(agent_number)
    sender = ActsEveryTurn(lambda: [harness.entry.send(number, MESSAGE) for _ in range(messages)])
    sender.register(harness.loop)
    harness.loop.settle()
    assert sender.turns > 2
    assert [number for number, _ in harness.entry_events.ends] == [number]
    watched = [*harness.entry._buffers, *harness.loop.poller._read, *harness.loop.poller._write]
    assert [each for each in watched if not isinstance(each, int) and each.fileno() < 0] == []
    assert harness.loop.errors == []
