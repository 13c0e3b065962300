"""Answers that are cut at each of their bytes, by a close or by a reset.

Guards against callers, items and reward calls that take an answer for whole of which only a part of
the head, a chunk or the body came.
"""

import socket
import struct
from random import Random

import pytest
from circuits import handler
from circuits.net.events import close
from result import Ok

from pumicedeck.dialects import ForwardedCall
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.endpoint_callers import EndpointCaller
from pumicedeck.gateway_compositions import ENDPOINT_CLIENT_SETTINGS
from pumicedeck.http_clients import HttpClient
from pumicedeck.platform.endpoint_calls import PlatformEndpointDialect
from pumicedeck.route_tables import PoolShare, Route, RouteKind, RouteTable
from pumicedeck.scheduling.item_runs import ItemRun
from pumicedeck.scheduling.reward_calls import RewardCaller, ScoreLimits
from pumicedeck.scheduling.run_ends import RunEnd
from pumicedeck.scheduling.submission_works import ItemWork
from pumicedeck.submissions import Item, RewardCall, SubmissionHead
from pumicedeck.tasks import spawn
from pumicedeck.tests.loop_harnesses import LoopHarness, RawServer
from pumicedeck.tests.test_direct_endpoints import HOME

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Pumicedeck-Request-Id: r1\r\n"
    b"X-Pumicedeck-Response-Signature: 3e1b\r\nX-Pumicedeck-Weight-Versions: 1\r\n"
)
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
SIZED = HEAD + b"Content-Length: %d\r\n\r\n" % len(EVENTS) + EVENTS
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\nf\r\n" + EVENTS[:15] + b"\r\n"
CHUNKED += b"f\r\n" + EVENTS[15:] + b"\r\n0\r\n\r\n"
UNSIZED = HEAD + b"\r\n" + EVENTS
ANSWERS = {"sized": SIZED, "chunked": CHUNKED}


class CuttingServer(RawServer):
    """Answers requests in full while `whole` is positive, then with `cut` and the end."""

    def __init__(self):
        super().__init__("cutting")
        self.whole = 0
        self.answer = SIZED
        self.cut = b""
        self.resets = False

    @handler("read", priority=1)
    def _on_request(self, sock, data):
        if b"\r\n\r\n" not in data:
            return
        if self.whole:
            self.whole -= 1
            sock.send(self.answer)
            return
        sock.send(self.cut)
        if self.resets:
            # circuits shuts a socket down before it closes it, which the client sees as an end.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.server._poller.discard(sock)
            sock.close()
        self.fire(close(sock))


class CutFixture:
    def __init__(self):
        self.loop = LoopHarness()
        timers = self.loop.timers
        self.client = HttpClient(timers, ENDPOINT_CLIENT_SETTINGS).register(self.loop)
        self.server = CuttingServer().register(self.loop)
        self.directory = EndpointDirectory(HOME, Random(1))
        self.endpoint = DirectEndpoint("e", "p", self.server.address, HOME, 8, incarnation=1)
        self.directory.update(self.endpoint)
        self.caller = EndpointCaller(timers, self.client, PlatformEndpointDialect(), self.directory)
        self.loop.settle()

    def outcome(self, coroutine):
        found = []

        async def run():
            found.append(await coroutine)

        spawn(run(), "test")
        self.loop.until(lambda: found)
        return found[0]

    def call(self):
        call = ForwardedCall("r1", "POST", "/x", "h", (), b"")
        return self.outcome(self.caller.call(call, self.endpoint, 2.0, 2.0))

    def run_item(self):
        """Run an item; return how its run ended, and its output."""
        head = SubmissionHead("s", "drafts", "h", "m", 0, 1, 0, 1, 1, "d", 0.0)
        work = ItemWork(Item("r1", "/d/x", (), b"2", "g"))
        run = ItemRun(self.loop.timers, self.caller, head, work, self.endpoint, False)
        end, _ = self.outcome(run.run(2.0, 2.0))
        return end, work.progress

    def score(self):
        route = Route("scores", "h", "/s/", RouteKind.IDEMPOTENT, (PoolShare("p"),))
        rewards = RewardCaller(self.loop.timers, self.caller, self, Random(1))
        table = RouteTable(1, (route,), {})
        until = self.loop.timers.now() + 0.05
        reward = RewardCall("r1", "h", "/s/x", b"")
        return self.outcome(rewards.score(reward, lambda: table, lambda: ScoreLimits(1, until)))

    async def select(self, pool, tried, longest_wait):
        return Ok(self.endpoint)

    def has_endpoint(self, pool):
        return True

    def cut(self, answer, at, resets, is_reused):
        """Have the next request answered with the first `at` bytes of an answer."""
        self.server.answer, self.server.cut, self.server.resets = answer, answer[:at], resets
        if is_reused:
            self.server.whole = 1
            assert self.call().is_ok()
        self.server.whole = 0

    def close(self):
        self.client.close()
        self.loop.stop_and_check()


@pytest.fixture
def fixture():
    started = CutFixture()
    yield started
    started.close()


@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_a_call_whose_answer_is_cut_anywhere_has_no_answer(fixture, answer, resets, is_reused):
    for at in range(len(answer)):
        fixture.cut(answer, at, resets, is_reused)
        assert fixture.call().is_err(), answer[:at]


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_an_item_whose_answer_is_cut_anywhere_is_not_complete(fixture, answer, resets):
    for at in range(len(answer)):
        fixture.cut(answer, at, resets, False)
        end, progress = fixture.run_item()
        assert end in (RunEnd.BROKEN, RunEnd.NOT_TAKEN) and not progress.whole, answer[:at]
        assert progress.text in ("", "a", "a\nb")


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_a_reward_call_whose_answer_is_cut_anywhere_gives_no_score(fixture, answer, resets):
    for at in range(0, len(answer), 3):
        fixture.cut(answer, at, resets, False)
        assert fixture.score() is None, answer[:at]


def test_whole_answers_are_taken_as_such(fixture):
    for answer in (*ANSWERS.values(), UNSIZED):
        fixture.cut(answer, len(answer), False, False)
        assert fixture.call().ok_value.response.body == EVENTS
        end, progress = fixture.run_item()
        assert end is RunEnd.WHOLE and progress.text == "a\nb"
        assert fixture.score() == "3e1b"


def test_an_answer_without_a_length_is_whole_only_if_its_head_is_and_it_is_not_reset(fixture):
    for at in range(len(HEAD) + 2):
        fixture.cut(UNSIZED, at, False, False)
        assert fixture.call().is_err(), UNSIZED[:at]
    for at in range(len(UNSIZED) + 1):
        fixture.cut(UNSIZED, at, True, False)
        assert fixture.call().is_err(), UNSIZED[:at]


def test_the_events_of_an_answer_without_a_signature_are_no_output_of_an_item(fixture):
    # They were appended as they came; that the answer has no signature showed only at its end.
    unsigned = SIZED.replace(b"X-Pumicedeck-Response-Signature: 3e1b\r\n", b"")
    fixture.cut(unsigned, len(unsigned), False, False)
    end, progress = fixture.run_item()
    assert end is RunEnd.BROKEN and progress.last_event == 0 and progress.text == ""
