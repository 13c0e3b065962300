"""When a request counts as begun, and that it counts once."""

from dataclasses import dataclass
from random import Random

import pytest
from result import Err, Ok

from pumicedeck.clocks import VirtualTime
from pumicedeck.dialects import AnswerHead, ForwardedCall
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.duties.request_beginnings import RequestBeginnings
from pumicedeck.duties.usage_counts import MAX_WINDOWS, UsageCounts
from pumicedeck.endpoint_callers import CompleteAnswer
from pumicedeck.http_messages import HttpResponse
from pumicedeck.results import Failure, ResultCode
from pumicedeck.tasks import sleep, spawn
from pumicedeck.topology import Address, FailureDomain

CALL = ForwardedCall("r", "POST", "/x", "h", (), b"", account="a")
NOT_RUN = Err(Failure(ResultCode.ENDPOINT_REFUSED, "full", proven_not_run=True))
LOST = Err(Failure(ResultCode.ENDPOINT_FAILED, "connection lost", connection_lost=True))


def answered(waiting=0):
    head = AnswerHead(200, "r", False, False, "mac", None, 2, waiting)
    return Ok(CompleteAnswer(HttpResponse(200, (), b""), head))


@dataclass
class Request:
    is_counted: bool = False


class Harness:
    """Counts in windows of one second; an endpoint with two slots."""

    def __init__(self):
        self.timers = VirtualTime()
        home = FailureDomain("z", "r")
        self.directory = EndpointDirectory(home, Random(1))
        self.endpoint = DirectEndpoint("e", "apps", Address("127.0.0.1", 1), home, slots=2)
        self.directory.update(self.endpoint)
        self.counts = UsageCounts(int)
        self.beginnings = RequestBeginnings(self.timers, self.directory, self.counts)

    def send(self, outcome, seconds, head_after=None, request=None):
        """Send a request that ends with `outcome` after `seconds`; return it and its task."""
        request = request or Request()

        async def call(call, endpoint, limit, silence, on_head, on_chunk):
            if head_after is not None:
                await sleep(self.timers, head_after)
                on_head(HttpResponse(200, (), b""), answered().ok_value.answer)
            await sleep(self.timers, seconds - (head_after or 0.0))
            return outcome

        async def run():
            on_chunk = None if head_after is None else lambda data: None
            await self.beginnings.call(request, call, CALL, self.endpoint, 5.0, 5.0, None, on_chunk)

        return request, spawn(run(), "request")

    def fill(self, running, waiting=0):
        self.directory.record_load("e", running, waiting, self.timers.now())

    def counted(self):
        return {window: self.counts.take(window)["a"] for window in self.counts.windows}


@pytest.fixture
def harness():
    return Harness()


def test_a_request_with_a_free_slot_begins_when_it_is_sent(harness):
    """Guards against the time of the answer, which is seconds later."""
    harness.timers.run_until(0.9)
    harness.send(answered(), 2.0)
    harness.timers.run_until(5.0)
    assert harness.counted() == {0: 1}


def test_a_request_at_a_full_endpoint_begins_later(harness):
    """Guards against the time of sending while the endpoint queues the request."""
    harness.send(answered(), 0.3)
    harness.timers.run_until(0.5)
    assert harness.counted() == {0: 1}
    harness.fill(running=2, waiting=1)
    harness.send(answered(), 1.9)
    harness.timers.run_until(5.0)
    # Answered at 2.4 s; a request takes 0.3 s.
    assert harness.counted() == {2: 1}


def test_an_answer_that_tells_of_a_queue_corrects_the_beginning(harness):
    """Guards against a queue of other gateways' requests that was not known when sending."""
    harness.send(answered(), 0.3)
    harness.timers.run_until(0.5)
    harness.counted()
    harness.send(answered(waiting=4), 1.0)
    harness.timers.run_until(0.7)
    harness.beginnings.count_open(0.7)
    harness.timers.run_until(5.0)
    assert harness.counted() == {1: 1}


def test_a_stream_at_a_full_endpoint_begins_shortly_before_its_head(harness):
    harness.send(answered(), 2.0, head_after=0.05)
    harness.timers.run_until(2.9)
    harness.counted()
    harness.fill(running=2)
    harness.send(answered(), 4.0, head_after=1.3)
    harness.timers.run_until(9.0)
    assert harness.counted() == {4: 1}


@pytest.mark.parametrize("waits", [False, True])
def test_a_request_that_was_refused_as_not_run_does_not_count(harness, waits):
    if waits:
        harness.fill(running=2)
    request, _ = harness.send(NOT_RUN, 0.6)
    harness.timers.run_until(0.5)
    harness.beginnings.count_open(0.5)
    harness.timers.run_until(2.0)
    assert not request.is_counted and harness.counted() == {}


def test_a_request_that_runs_again_elsewhere_counts_at_its_first_run(harness):
    request, _ = harness.send(NOT_RUN, 0.1)
    harness.timers.run_until(1.5)
    harness.send(LOST, 0.1, request=request)
    harness.timers.run_until(2.5)
    assert request.is_counted and harness.counted() == {1: 1}


def test_a_request_whose_caller_leaves_counts_if_it_runs(harness):
    _, task = harness.send(answered(), 3.0)
    harness.timers.run_until(0.5)
    task.cancel()
    assert harness.counted() == {0: 1}


def test_a_request_whose_caller_left_before_it_was_sent_does_not_count(harness):
    """Guards against counting all that a process finds abandoned after it was frozen."""
    request, task = harness.send(answered(), 3.0)
    harness.timers.run_until(0.001)
    task.cancel()
    assert not request.is_counted and harness.counted() == {}


def test_a_request_whose_caller_leaves_the_queue_does_not_count(harness):
    """Guards against counting what the endpoint never began."""
    harness.send(answered(), 1.0)
    harness.timers.run_until(2.0)
    harness.counted()
    harness.fill(running=2, waiting=6)
    _, task = harness.send(answered(), 3.0)
    harness.timers.run_until(2.2)
    harness.beginnings.count_open(2.2)
    task.cancel()
    assert harness.counted() == {}


def test_an_open_request_counts_before_it_ends_and_only_once(harness):
    """Guards against a long request that is counted after its window's report is fixed."""
    harness.send(answered(), 8.0)
    harness.timers.run_until(1.5)
    harness.beginnings.count_open(1.5)
    assert harness.counted() == {0: 1}
    harness.timers.run_until(9.0)
    assert harness.counted() == {}


def test_counts_before_the_true_time_is_known_wait_for_it():
    known = []
    counts = UsageCounts(lambda at: int(at) if known else None)
    counts.record_begun("a", 1.5)
    counts.place_pending(lambda at: int(at) + 100, until=1.0)
    assert counts.windows == [] and counts.has_pending
    known.append(True)
    counts.place_pending(int, until=2.0)
    assert counts.windows == [1] and counts.take(1) == {"a": 1}


def test_the_windows_held_are_bounded_and_what_is_dropped_is_told():
    """Guards against memory that grows while the store is away."""
    counts = UsageCounts(int)
    for window in range(MAX_WINDOWS + 3):
        counts.record_begun("a", window + 0.5)
    assert len(counts.windows) == MAX_WINDOWS
    assert counts.take_dropped() == 3 and counts.take_dropped() == 0
