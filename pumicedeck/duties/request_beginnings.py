"""Finds when callers' requests begin to run at endpoints, and counts each of them once.

An endpoint queues requests that it has no slot for and does not say when it begins one. A request
sent to an endpoint with a free slot begins when it is sent. Any other begins later: at the time of
its answer's head less what other requests take from their beginning to that head. Until the head is
there, the time is estimated from the number of requests ahead.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.dialects import AnswerHead, ForwardedCall
from pumicedeck.direct_endpoints import (
    LOAD_REPORT_MAX_AGE_SECONDS,
    DirectEndpoint,
    EndpointDirectory,
    EndpointState,
)
from pumicedeck.duties.usage_counts import UsageCounts
from pumicedeck.endpoint_callers import CompleteAnswer
from pumicedeck.http_messages import HttpResponse
from pumicedeck.results import Failure

# A caller who leaves sooner has mostly left before the request was written: a process that was
# frozen reads requests together with the end of their connections.
MIN_RUN_SECONDS = 0.005
# Weight of a new duration in the usual one.
SMOOTHING = 0.2


class Countable(Protocol):
    """A request that may be sent to several endpoints; it is counted at most once."""

    is_counted: bool


@dataclass(slots=True, eq=False)
class _Run:
    """A request at an endpoint; times in seconds of the process's clock.

    `ahead` is how many requests the endpoint had when this one was sent, of which `slots` run at a
    time. `counted_at` is the beginning that was counted, None before.
    """

    account: str
    series: tuple[str, bool]
    sent_at: float
    ahead: int
    slots: int
    head_at: float | None = None
    counted_at: float | None = None

    @property
    def may_wait(self) -> bool:
        """Return whether the endpoint may have had no free slot."""
        return self.ahead >= self.slots

    def observe(self, answer: AnswerHead, now: float) -> None:
        """Record the head of the answer; an endpoint that has a queue now may have had one."""
        if self.head_at is None:
            self.head_at = now
        if answer.waiting:
            self.ahead = max(self.ahead, self.slots)


class RequestBeginnings:
    """Counts the callers' requests of one gateway that begin to run at an endpoint."""

    def __init__(
        self, timers: TimerQueue, directory: EndpointDirectory, counts: UsageCounts
    ) -> None:
        """Add to `counts`; `directory` says how busy an endpoint is."""
        self._timers = timers
        self._directory = directory
        self._counts = counts
        # Those that are not counted yet.
        self._open: set[_Run] = set()
        self._usual_seconds: dict[tuple[str, bool], float] = {}

    async def call(
        self,
        request: Countable,
        send: Callable[..., Awaitable[Result[CompleteAnswer, Failure]]],
        call: ForwardedCall,
        endpoint: DirectEndpoint,
        seconds: float | None,
        silence_seconds: float,
        on_head: Callable[[HttpResponse, AnswerHead], None] | None = None,
        on_chunk: Callable[[bytes], None] | None = None,
    ) -> Result[CompleteAnswer, Failure]:
        """Send a call with `send` and count `request` if it began; the arguments are those of send.

        It is also counted if this coroutine is cancelled because the caller has left.
        """
        run = self._begin(call.account, endpoint, on_chunk is not None)

        def observe_head(response: HttpResponse, answer: AnswerHead) -> None:
            run.observe(answer, self._timers.now())
            if on_head is not None:
                on_head(response, answer)

        result: Result[CompleteAnswer, Failure] | None = None
        try:
            result = await send(call, endpoint, seconds, silence_seconds, observe_head, on_chunk)
            return result
        finally:
            self._open.discard(run)
            self._end(run, result)
            request.is_counted = run.counted_at is not None

    def count_open(self, until: float) -> None:
        """Count the open requests that have begun before `until`, as far as can be told."""
        for run in tuple(self._open):
            began_at = self._estimate(run)
            if began_at < until:
                self._open.discard(run)
                self._count(run, began_at)

    def _begin(self, account: str, endpoint: DirectEndpoint, is_stream: bool) -> _Run:
        now = self._timers.now()
        ahead = _requests_at(self._directory.state(endpoint.name), now)
        series = (endpoint.pool, is_stream)
        run = _Run(account, series, now, ahead, max(1, endpoint.slots))
        self._open.add(run)
        return run

    def _end(self, run: _Run, result: Result[CompleteAnswer, Failure] | None) -> None:
        """Count an ended request, or take it back if the endpoint states that it did not run."""
        now = self._timers.now()
        if isinstance(result, Err) and result.err_value.proven_not_run:
            self._count(run, None)
            return
        if isinstance(result, Ok):
            run.observe(result.ok_value.answer, now)
            self._learn(run)
        began_at = self._estimate(run)
        was_sent = result is not None or now - run.sent_at >= MIN_RUN_SECONDS
        if was_sent and began_at <= now:
            self._count(run, began_at)
        elif run.counted_at is not None:
            self._count(run, None)

    def _learn(self, run: _Run) -> None:
        """Learn from a request that did not wait; one that may have waited bounds the time."""
        seconds = run.head_at - run.sent_at
        usual = self._usual_seconds.setdefault(run.series, seconds)
        if run.may_wait:
            self._usual_seconds[run.series] = min(usual, seconds)
        else:
            self._usual_seconds[run.series] = usual + SMOOTHING * (seconds - usual)

    def _estimate(self, run: _Run) -> float:
        """Return when a request began, or will."""
        if not run.may_wait:
            return run.sent_at
        usual = self._usual_seconds.get(run.series, 0.0)
        if run.head_at is not None:
            return max(run.sent_at, run.head_at - usual)
        return run.sent_at + usual * (run.ahead - run.slots + 1) / run.slots

    def _count(self, run: _Run, began_at: float | None) -> None:
        """Count a request at `began_at`, None if it did not begin, instead of as before."""
        if run.counted_at == began_at:
            return
        if run.counted_at is not None:
            self._counts.record_begun(run.account, run.counted_at, -1)
        if began_at is not None:
            self._counts.record_begun(run.account, began_at)
        run.counted_at = began_at


def _requests_at(state: EndpointState | None, now: float) -> int:
    """Return how many requests an endpoint has, as far as this gateway knows."""
    if state is None:
        return 0
    reported = 0
    if now - state.reported_at < LOAD_REPORT_MAX_AGE_SECONDS:
        reported = state.reported_running + state.reported_waiting
    return max(state.in_flight, reported)
