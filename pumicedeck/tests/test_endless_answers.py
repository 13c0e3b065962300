"""Answers without end are ended by limits of time, bytes and heads, and never fill the memory.

Guards against a server in trouble that sends bytes until its caller closes: each byte moved the
limit on silence on, so the call lasted as long as the server sent, and a few such bodies, each of
up to 64 MiB, filled a machine of 200 MB. Bodies in chunks of a few bytes took ten times their size.
"""

import tracemalloc

import pytest
from circuits import handler

from pumicedeck.answer_limits import AnswerMeter
from pumicedeck.event_streams import MAX_EVENT_BYTES, EventSplitter
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import KIB, MIB, HttpClientSettings, HttpRequest
from pumicedeck.memory_budgets import MemoryBudget
from pumicedeck.results import Execution, ResultCode
from pumicedeck.tests.loop_harnesses import LoopHarness, RawServer
from pumicedeck.tests.scheduler_simulations import SchedulerSimulation

TOTAL_SECONDS = 5.0
SETTINGS = HttpClientSettings(
    silence_seconds=2.0,
    exchange_seconds=TOTAL_SECONDS,
    header_bytes=4 * KIB,
    body_bytes=64 * KIB,
    received_bytes=256 * KIB,
    accepts_close_delimited_answers=True,
)
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

# What is sent first, and what then follows again and again.
ENDLESS = {
    "garbage": (b"", b"\x16\x03\x01"),
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "header line": (HEAD + b"X-A: ", b"a"),
    "header lines": (HEAD, b"X-A: a\r\n"),
    "interim heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "early hints": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    "body with a length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"abcdefgh"),
    "body without a length": (HEAD + b"\r\n", b"abcdefgh"),
    "chunks": (CHUNKED, b"4\r\nabcd\r\n"),
    "chunk extension": (CHUNKED + b"4;a=", b"b"),
    "chunk extensions": (CHUNKED, b"1;" + b"e" * 900 + b"\r\na\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "trailer line": (CHUNKED + b"0\r\nX-T: ", b"t"),
    "trailer lines": (CHUNKED + b"0\r\n", b"X-T: t\r\n"),
}


class EndlessServer(RawServer):
    """Answers each request with a beginning and then a part again and again until it is closed."""

    def __init__(self, name, timers, beginning, part, interval, repeats):
        super().__init__(name)
        self.timers = timers
        self.beginning = beginning
        self.part = part * repeats
        self.interval = interval
        self.closed = set()

    @handler("read", priority=1)
    def _on_request(self, sock, data):
        if self.beginning:
            self.send(sock, self.beginning)
        self._send_part(sock)

    @handler("disconnect")
    def _on_disconnect(self, sock):
        self.closed.add(sock)

    def _send_part(self, sock):
        if sock in self.closed or sock.fileno() < 0:
            return
        self.send(sock, self.part)
        self.timers.call_later(self.interval, lambda: self._send_part(sock))


class EndlessHarness:
    """A client with a budget for bodies, and servers that never end an answer."""

    def __init__(self, settings=SETTINGS, budget_bytes=256 * KIB):
        self.loop = LoopHarness()
        self.budget = MemoryBudget(budget_bytes)
        self.client = HttpClient(self.loop.timers, settings, self.budget).register(self.loop)

    def serve(self, beginning, part, interval, repeats=1):
        server = EndlessServer("endless", self.loop.timers, beginning, part, interval, repeats)
        server.register(self.loop)
        self.loop.settle()
        return server

    def send(self, server, chunk=None, idempotent=False):
        outcomes = []
        request = HttpRequest("POST", server.address, "/a", idempotent=idempotent)
        self.client.send(
            request, lambda outcome: outcomes.append((self.loop.timers.now(), outcome)), chunk
        )
        return outcomes

    def close(self):
        self.client.close()
        self.loop.stop_and_check()


@pytest.fixture
def harness():
    created = EndlessHarness()
    yield created
    created.close()


def check_given_up(harness, outcomes, started):
    ended, outcome = outcomes[0]
    failure = outcome.unwrap_err()
    assert failure.code is ResultCode.ENDPOINT_FAILED
    assert failure.execution is Execution.MAY_HAVE_RUN
    assert ended - started <= TOTAL_SECONDS + 0.01
    assert harness.client.open_connections == 0 and harness.budget.held_bytes == 0


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize(("beginning", "part"), ENDLESS.values(), ids=ENDLESS.keys())
def test_a_trickle_ends_at_the_limit_of_time(harness, beginning, part, idempotent):
    server = harness.serve(beginning, part[:1] if len(part) == 1 else part, interval=1.0)
    started = harness.loop.timers.now()
    outcomes = harness.send(server, idempotent=idempotent)
    harness.loop.until(lambda: outcomes, turns=20_000)
    check_given_up(harness, outcomes, started)
    assert len(server.socks) == 1


@pytest.mark.parametrize("streamed", [False, True])
@pytest.mark.parametrize(("beginning", "part"), ENDLESS.values(), ids=ENDLESS.keys())
def test_a_flood_ends_at_a_limit_of_bytes_or_heads(harness, beginning, part, streamed):
    server = harness.serve(beginning, part, interval=0.001, repeats=max(1, 10_000 // len(part)))
    started = harness.loop.timers.now()
    outcomes = harness.send(server, chunk=(lambda data: None) if streamed else None)
    harness.loop.until(lambda: outcomes, turns=20_000)
    check_given_up(harness, outcomes, started)


@pytest.mark.parametrize("kind", ["body without a length", "chunks", "body with a length"])
def test_many_endless_bodies_at_once_stay_within_the_budget(kind):
    """Many answers of up to 64 KiB each, with a budget of 256 KiB for all."""
    harness = EndlessHarness()
    beginning, part = ENDLESS[kind]
    server = harness.serve(beginning, part, interval=0.02, repeats=2_000 // len(part))
    tracemalloc.start()
    calls = [harness.send(server) for _ in range(24)]
    most_held = 0
    for _ in range(40):
        harness.loop.advance(0.05)
        most_held = max(most_held, harness.budget.held_bytes)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    harness.loop.until(lambda: all(calls), turns=50_000)
    # The budget, and what the server side of this test and the sockets' reads hold beside it.
    assert 128 * KIB < most_held <= 256 * KIB + 64 * KIB
    assert peak_bytes < 3 * MIB
    assert all(outcome.is_err() for ((_, outcome),) in calls)
    harness.close()


def test_an_answer_of_ordinary_size_is_not_given_up_for_endless_ones():
    harness = EndlessHarness(budget_bytes=128 * KIB)
    endless = harness.serve(CHUNKED, b"4\r\nabcd\r\n", interval=0.01, repeats=500)
    calls = [harness.send(endless) for _ in range(8)]
    harness.loop.advance(0.1)
    server = RawServer("ordinary").register(harness.loop)
    server.reply = HEAD + b"Content-Length: 5000\r\n\r\n" + b"x" * 5000
    harness.loop.settle()
    outcomes = harness.send(server)
    harness.loop.until(lambda: outcomes, turns=20_000)
    assert len(outcomes[0][1].unwrap().body) == 5000
    harness.loop.until(lambda: all(calls), turns=50_000)
    harness.close()


def test_a_few_interim_heads_are_allowed():
    meter = AnswerMeter(HttpClientSettings(interim_heads=2))
    assert not meter.add_interim_head() and not meter.add_interim_head()
    assert meter.add_interim_head()


def test_an_event_without_end_is_not_kept():
    splitter = EventSplitter()
    for _ in range(MAX_EVENT_BYTES // KIB + 1):
        assert splitter.feed(b"x" * KIB) == []
    assert splitter.has_overflowed and not splitter.has_partial_event
    assert splitter.feed(b"id: 1\ndata: a\n\n") == []


def test_an_item_leaves_an_engine_that_sends_bytes_but_no_events():
    """Bytes that are no event kept a run alive until its submission was given up."""
    simulation = SchedulerSimulation(engines=2)
    simulation.submit(simulation.processes[0], [[40]])
    simulation.run(0.4)
    ((_, _, _, name),) = simulation.starts("0-0")
    simulation.engines[name].babbles = True
    simulation.run(4.0)
    assert [start[3] for start in simulation.starts("0-0")][-1] != name
    assert len(simulation.results(simulation.processes[0])) == 1
