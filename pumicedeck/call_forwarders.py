"""Serves single requests: picks endpoints, retries what may be repeated, relays the answer.

Answers endpoints that crash, hang, lose answers or refuse while customers wait: a request that may
be repeated goes to another endpoint within its objective, one that may not is repeated only with a
proof that it did not run.
"""

from dataclasses import dataclass, replace
from random import Random

from loguru import logger
from result import Ok, Result

from pumicedeck.call_limits import Outcome, RetrySettings, next_step
from pumicedeck.clocks import TimerQueue
from pumicedeck.dialects import AnswerHead, CallerDialect, ForwardedCall
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.endpoint_callers import CompleteAnswer, EndpointCaller
from pumicedeck.event_streams import EventSplitter
from pumicedeck.http_listeners import IncomingCall
from pumicedeck.http_messages import HttpResponse
from pumicedeck.results import Failure, ResultCode
from pumicedeck.route_tables import Route, RouteKind, choose_pool
from pumicedeck.tasks import spawn

_log = logger.bind(module="call_forwarders")

_EVENT_END = b"\n\n"


@dataclass(slots=True)
class _Attempts:
    """What was tried for one request."""

    tried: tuple[str, ...] = ()
    may_have_run: bool = False
    last: Failure | None = None


class CallForwarder:
    """Forwards requests to endpoints."""

    def __init__(
        self,
        timers: TimerQueue,
        caller: EndpointCaller,
        directory: EndpointDirectory,
        dialect: CallerDialect,
        random: Random,
        settings: RetrySettings | None = None,
    ) -> None:
        """Own nothing."""
        self._timers = timers
        self._caller = caller
        self._directory = directory
        self._dialect = dialect
        self._random = random
        self._settings = settings or RetrySettings()

    def handle(self, incoming: IncomingCall, call: ForwardedCall, route: Route) -> None:
        """Serve a request; it is cancelled when its caller leaves."""
        if route.kind is RouteKind.STREAM:
            work = _StreamRelay(self, incoming, call, route).run()
        else:
            work = self._serve(incoming, call, route)
        task = spawn(work, f"call {call.request_id}")
        incoming.on_gone = task.cancel
        if incoming.is_ended:
            task.cancel()

    def deadline(self, incoming: IncomingCall, call: ForwardedCall, route: Route) -> float:
        """Return the second at which an answer is of no use any more."""
        budget = route.longest_wait if call.budget is None else call.budget
        return incoming.arrived + min(budget, route.longest_wait)

    def refuse(
        self, incoming: IncomingCall, call: ForwardedCall, failure: Failure, retry: float | None
    ) -> None:
        """Answer with a failure of our own."""
        status, headers, body = self._dialect.failure(call, failure, retry)
        waited = round(self._timers.now() - incoming.arrived, 3)
        _log.info(
            "refused",
            request=call.request_id,
            code=failure.code.name,
            detail=failure.detail,
            status=status,
            waited=waited,
        )
        incoming.answer(status, headers, body)

    def give_up(
        self, incoming: IncomingCall, call: ForwardedCall, attempts: _Attempts, late: bool
    ) -> None:
        """Answer a request that no endpoint served."""
        last = attempts.last or Failure(ResultCode.NO_ENDPOINT, "no endpoint is known")
        if attempts.may_have_run:
            code = ResultCode.DEADLINE_EXCEEDED if late else ResultCode.OUTCOME_UNKNOWN
            self.refuse(incoming, call, Failure(code, last.detail), None)
            return
        failure = Failure(ResultCode.NO_ENDPOINT, last.detail, proven_not_run=True)
        self.refuse(incoming, call, failure, self._settings.retry_after_seconds)

    def pick(self, pool: str, tried: tuple[str, ...]) -> DirectEndpoint | None:
        """Return an endpoint, an untried one if there is any."""
        now = self._timers.now()
        state = self._directory.choose(pool, tried, now) or self._directory.choose(pool, (), now)
        return state.endpoint if state is not None else None

    def relay(self, incoming: IncomingCall, call: ForwardedCall, answered: CompleteAnswer) -> None:
        """Pass a whole answer on."""
        headers = self._dialect.relayed_headers(call, answered.response)
        incoming.answer(answered.response.status, headers, answered.response.body)

    async def _serve(self, incoming: IncomingCall, call: ForwardedCall, route: Route) -> None:
        deadline = self.deadline(incoming, call, route)
        pool = choose_pool(route, self._random)
        attempts = _Attempts()
        while True:
            left = deadline - self._timers.now()
            endpoint = self.pick(pool, attempts.tried)
            if left <= self._settings.min_attempt_seconds or endpoint is None:
                self.give_up(incoming, call, attempts, late=endpoint is not None)
                return
            more = len(attempts.tried) + 1 < route.max_attempts
            silence = self._settings.silence_limit(route, left, more)
            result = await self._caller.call(call, endpoint, left, silence)
            outcome = self.note_attempt(attempts, endpoint, call, result)
            step = next_step(outcome, len(attempts.tried), route, attempts.may_have_run)
            if step.relay:
                self.relay(incoming, call, result.ok_value)
                return
            if not step.retry:
                self.give_up(incoming, call, attempts, late=deadline <= self._timers.now())
                return

    def note_attempt(
        self,
        attempts: _Attempts,
        endpoint: DirectEndpoint,
        call: ForwardedCall,
        result: Result[CompleteAnswer, Failure],
    ) -> Outcome:
        """Take in the end of an attempt."""
        attempts.tried += (endpoint.name,)
        outcome = _judge(attempts, result)
        if outcome is not Outcome.SERVED:
            _log.info(
                "attempt failed",
                request=call.request_id,
                endpoint=endpoint.name,
                attempt=len(attempts.tried),
                outcome=outcome.value,
                detail=attempts.last.detail if attempts.last else "",
            )
        return outcome

    def begin_stream(
        self, incoming: IncomingCall, call: ForwardedCall, response: HttpResponse
    ) -> None:
        """Send the head of a stream."""
        incoming.begin(response.status, self._dialect.relayed_headers(call, response))

    @property
    def caller(self) -> EndpointCaller:
        """Return what makes the calls."""
        return self._caller

    @property
    def timers(self) -> TimerQueue:
        """Return the timers."""
        return self._timers

    @property
    def settings(self) -> RetrySettings:
        """Return the bounds of retries."""
        return self._settings

    @property
    def random(self) -> Random:
        """Return the source of chance."""
        return self._random


def _judge(attempts: _Attempts, result: Result[CompleteAnswer, Failure]) -> Outcome:
    if isinstance(result, Ok):
        answer = result.ok_value.answer
        if answer.status < 500:
            return Outcome.SERVED
        attempts.may_have_run = True
        attempts.last = Failure(ResultCode.ENDPOINT_FAILED, f"status {answer.status}")
        return Outcome.ENDPOINT_ERROR
    attempts.last = result.err_value
    if result.err_value.proven_not_run:
        return Outcome.NOT_RUN
    attempts.may_have_run = True
    return Outcome.UNKNOWN


class _StreamRelay:
    """Relays one stream; a resumable one goes on elsewhere at its last whole event."""

    def __init__(
        self, forwarder: CallForwarder, incoming: IncomingCall, call: ForwardedCall, route: Route
    ) -> None:
        self._forwarder = forwarder
        self._incoming = incoming
        self._call = call
        self._route = route
        self._last = call.resume_after
        self._cutter = EventSplitter()
        self._gap = False

    async def run(self) -> None:
        """Serve until the stream is whole or cannot be."""
        forwarder, route = self._forwarder, self._route
        deadline = forwarder.deadline(self._incoming, self._call, route)
        pool = choose_pool(route, forwarder.random)
        attempts = _Attempts()
        while True:
            left = deadline - forwarder.timers.now()
            endpoint = forwarder.pick(pool, attempts.tried)
            if left <= forwarder.settings.min_attempt_seconds or endpoint is None:
                self._fail(attempts, late=endpoint is not None)
                return
            result = await self._attempt(endpoint, left)
            outcome = forwarder.note_attempt(attempts, endpoint, self._call, result)
            if self._incoming.has_begun and outcome is Outcome.SERVED and self._is_whole():
                self._incoming.finish()
                return
            if outcome is Outcome.SERVED and not self._incoming.has_begun:
                forwarder.relay(self._incoming, self._call, result.ok_value)
                return
            step = next_step(outcome, len(attempts.tried), route, attempts.may_have_run)
            if not self._may_go_on(step.retry, attempts):
                self._fail(attempts, late=deadline <= forwarder.timers.now())
                return

    def _is_whole(self) -> bool:
        return not self._gap and not self._cutter.has_partial_event

    def _may_go_on(self, retry: bool, attempts: _Attempts) -> bool:
        within = len(attempts.tried) < self._route.max_attempts
        if self._route.resumable:
            return within
        return retry and not self._incoming.has_begun

    async def _attempt(
        self, endpoint: DirectEndpoint, left: float
    ) -> Result[CompleteAnswer, Failure]:
        self._cutter = EventSplitter()
        self._gap = False
        call = replace(self._call, resume_after=self._last)
        silence = left
        if self._route.resumable:
            silence = min(left, self._forwarder.settings.stream_silence_seconds)
        return await self._forwarder.caller.call(
            call, endpoint, left, silence, self._on_head, self._on_bytes
        )

    def _on_head(self, response: HttpResponse, answer: AnswerHead) -> None:
        if answer.signature and not answer.not_run:
            # A stream that goes on elsewhere keeps the head of its first endpoint.
            self._forwarder.begin_stream(self._incoming, self._call, response)

    def _on_bytes(self, data: bytes) -> None:
        for block in self._cutter.feed(data):
            event = self._forwarder.caller.dialect.event(block)
            if self._gap:
                return
            if event is not None:
                if self._last is not None and event.number <= self._last:
                    continue
                if self._last is not None and event.number != self._last + 1:
                    self._gap = True
                    return
                self._last = event.number
            self._incoming.write(block + _EVENT_END)

    def _fail(self, attempts: _Attempts, late: bool) -> None:
        if self._incoming.has_begun:
            _log.info(
                "stream broken",
                request=self._call.request_id,
                last_event=self._last,
                detail=attempts.last.detail if attempts.last else "",
            )
            self._incoming.abort()
            return
        self._forwarder.give_up(self._incoming, self._call, attempts, late)
