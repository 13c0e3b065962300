"""Forwards callers' requests to endpoints: chooses an endpoint, retries and relays the answer.

Handles endpoints that crash, hang, lose answers or refuse requests while callers wait: an
idempotent request is retried at another endpoint within its latency objective; any other request is
retried only when it is proven that it did not run.
"""

from dataclasses import dataclass, replace
from random import Random

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.call_limits import Outcome, RetrySettings, next_step
from pumicedeck.clocks import TimerQueue
from pumicedeck.crash_reports import CrashReports
from pumicedeck.dialects import AnswerHead, CallerDialect, ForwardedCall
from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.endpoint_callers import CompleteAnswer, EndpointCaller
from pumicedeck.endpoint_selections import EndpointSelector
from pumicedeck.event_streams import EventSplitter
from pumicedeck.http_messages import HttpResponse
from pumicedeck.incoming_calls import IncomingCall
from pumicedeck.request_fingerprints import fingerprint_request
from pumicedeck.results import Failure, ResultCode
from pumicedeck.route_tables import Route, RouteKind, choose_pool
from pumicedeck.tasks import spawn

_log = logger.bind(module="call_forwarders")

_EVENT_SEPARATOR = b"\n\n"


@dataclass(slots=True)
class _Attempts:
    """Attempts made so far for one request: names of the endpoints tried and the last failure.

    `fingerprint` is the same for earlier requests that this one repeats.
    """

    fingerprint: str
    tried: tuple[str, ...] = ()
    may_have_run: bool = False
    last_failure: Failure | None = None


class CallForwarder:
    """Forwards callers' requests to endpoints; refuses a request that no endpoint served."""

    def __init__(
        self,
        timers: TimerQueue,
        endpoint_caller: EndpointCaller,
        selector: EndpointSelector,
        crashes: CrashReports,
        dialect: CallerDialect,
        random: Random,
        settings: RetrySettings | None = None,
    ) -> None:
        """Forward calls with `endpoint_caller` to the endpoints that `selector` selects.

        `crashes` has the requests that no endpoint may get, since several ended under them.
        """
        self._timers = timers
        self._endpoint_caller = endpoint_caller
        self._selector = selector
        self._crashes = crashes
        self._dialect = dialect
        self._random = random
        self._settings = settings or RetrySettings()

    def handle(self, incoming: IncomingCall, call: ForwardedCall, route: Route) -> None:
        """Forward a request; the work is cancelled when its caller disconnects."""
        if not self._settings.retries:
            route = replace(route, max_attempts=1)
        if route.kind is RouteKind.STREAM:
            coroutine = _StreamRelay(self, incoming, call, route).run()
        else:
            coroutine = self._serve(incoming, call, route)
        task = spawn(coroutine, f"call {call.request_id}")
        incoming.on_caller_disconnected = task.cancel
        if incoming.is_ended:
            task.cancel()

    def deadline(self, incoming: IncomingCall, call: ForwardedCall, route: Route) -> float:
        """Return the time, in seconds of the clock, after which an answer is no longer useful."""
        budget_seconds = route.longest_wait if call.budget_seconds is None else call.budget_seconds
        return incoming.arrived_at + min(budget_seconds, route.longest_wait)

    def refuse(
        self,
        incoming: IncomingCall,
        call: ForwardedCall,
        failure: Failure,
        retry_after: float | None,
    ) -> None:
        """Answer with a failure of the gateway; `retry_after` is in seconds."""
        status, headers, body = self._dialect.encode_failure(call, failure, retry_after)
        waited = round(self._timers.now() - incoming.arrived_at, 3)
        _log.info(
            "refused",
            request=call.request_id,
            code=failure.code.name,
            detail=failure.detail,
            status=status,
            waited=waited,
        )
        incoming.answer(status, headers, body)

    def refuse_unserved(
        self, incoming: IncomingCall, call: ForwardedCall, attempts: _Attempts, timed_out: bool
    ) -> None:
        """Answer a request that no endpoint served.

        `timed_out` says that the time for the request ran out.
        """
        last_failure = attempts.last_failure or Failure(
            ResultCode.NO_ENDPOINT, "no endpoint available or no time left"
        )
        if attempts.may_have_run:
            code = ResultCode.DEADLINE_EXCEEDED if timed_out else ResultCode.OUTCOME_UNKNOWN
            self.refuse(incoming, call, Failure(code, last_failure.detail), None)
            return
        code = ResultCode.NO_ENDPOINT
        if last_failure.code is ResultCode.QUARANTINED:
            code = last_failure.code
        failure = Failure(code, last_failure.detail, proven_not_run=True)
        retry_after = last_failure.retry_after
        if retry_after is None:
            retry_after = self._settings.retry_after_seconds
        self.refuse(incoming, call, failure, retry_after)

    async def select_endpoint(
        self, pool: str, attempts: _Attempts, seconds_left: float
    ) -> DirectEndpoint | None:
        """Return the best endpoint of a pool, None if none can take the request in time.

        None also for a request under which several endpoints ended. Half of the time that is left
        may pass until a permit at an endpoint with a request limit.
        """
        quarantined = self._crashes.quarantine_seconds(attempts.fingerprint)
        if quarantined > 0:
            attempts.last_failure = Failure(
                ResultCode.QUARANTINED,
                "several endpoints ended while they ran this request",
                quarantined,
                proven_not_run=True,
            )
        if quarantined > 0 or seconds_left <= self._settings.min_attempt_seconds:
            return None
        selected = await self._selector.select(pool, attempts.tried, seconds_left / 2)
        if isinstance(selected, Ok):
            return selected.ok_value
        if attempts.last_failure is None or selected.err_value.retry_after is not None:
            attempts.last_failure = selected.err_value
        return None

    def relay(
        self, incoming: IncomingCall, call: ForwardedCall, complete_answer: CompleteAnswer
    ) -> None:
        """Relay a complete answer to the caller."""
        headers = self._dialect.relayed_headers(call, complete_answer.response)
        incoming.answer(complete_answer.response.status, headers, complete_answer.response.body)

    async def _serve(self, incoming: IncomingCall, call: ForwardedCall, route: Route) -> None:
        deadline = self.deadline(incoming, call, route)
        pool = choose_pool(route, self._random)
        attempts = _Attempts(fingerprint_request(call))
        while True:
            endpoint = await self.select_endpoint(pool, attempts, deadline - self._timers.now())
            seconds_left = deadline - self._timers.now()
            if endpoint is None:
                timed_out = seconds_left <= self._settings.min_attempt_seconds
                self.refuse_unserved(incoming, call, attempts, timed_out)
                return
            attempts_left = len(attempts.tried) + 1 < route.max_attempts
            silence_seconds = self._settings.silence_limit(route, seconds_left, attempts_left)
            began_at = self._timers.now()
            result = await self._endpoint_caller.call(call, endpoint, seconds_left, silence_seconds)
            outcome = self.record_attempt(attempts, endpoint, call, result, began_at)
            step = next_step(outcome, len(attempts.tried), route, attempts.may_have_run)
            if step.relay:
                self.relay(incoming, call, result.ok_value)
                return
            if not step.retry:
                self.refuse_unserved(
                    incoming, call, attempts, timed_out=deadline <= self._timers.now()
                )
                return

    def record_attempt(
        self,
        attempts: _Attempts,
        endpoint: DirectEndpoint,
        call: ForwardedCall,
        result: Result[CompleteAnswer, Failure],
        began_at: float,
    ) -> Outcome:
        """Record how an attempt at `endpoint`, sent at `began_at`, ended and return its outcome."""
        attempts.tried += (endpoint.name,)
        outcome = _record_result(attempts, result)
        connection_lost = isinstance(result, Err) and result.err_value.connection_lost
        if connection_lost:
            self._crashes.record_lost(attempts.fingerprint, endpoint, began_at)
        if outcome is Outcome.SERVED:
            self._crashes.record_served(attempts.fingerprint)
        if outcome is not Outcome.SERVED:
            _log.info(
                "attempt failed",
                request=call.request_id,
                endpoint=endpoint.name,
                attempt=len(attempts.tried),
                outcome=outcome.value,
                detail=attempts.last_failure.detail if attempts.last_failure else "",
                fingerprint=attempts.fingerprint,
                connection_lost=connection_lost,
            )
        return outcome

    def send_stream_head(
        self, incoming: IncomingCall, call: ForwardedCall, response: HttpResponse
    ) -> None:
        """Send the head of a stream to the caller."""
        incoming.start_stream(response.status, self._dialect.relayed_headers(call, response))

    @property
    def endpoint_caller(self) -> EndpointCaller:
        """Return the client that sends calls to endpoints."""
        return self._endpoint_caller

    @property
    def timers(self) -> TimerQueue:
        """Return the timer queue."""
        return self._timers

    @property
    def settings(self) -> RetrySettings:
        """Return the limits on retries and silence."""
        return self._settings

    @property
    def random(self) -> Random:
        """Return the random number generator that pools are chosen with."""
        return self._random


def _record_result(attempts: _Attempts, result: Result[CompleteAnswer, Failure]) -> Outcome:
    if isinstance(result, Ok):
        answer = result.ok_value.answer
        if answer.status < 500:
            return Outcome.SERVED
        attempts.may_have_run = True
        attempts.last_failure = Failure(
            ResultCode.ENDPOINT_FAILED, f"the endpoint answered with status {answer.status}"
        )
        return Outcome.ENDPOINT_ERROR
    attempts.last_failure = result.err_value
    if result.err_value.proven_not_run:
        return Outcome.NOT_RUN
    attempts.may_have_run = True
    return Outcome.UNKNOWN


class _StreamRelay:
    """Relays one stream; a resumable one continues at another endpoint after its last event."""

    def __init__(
        self, forwarder: CallForwarder, incoming: IncomingCall, call: ForwardedCall, route: Route
    ) -> None:
        self._forwarder = forwarder
        self._incoming = incoming
        self._call = call
        self._route = route
        self._last_event_number = call.resume_after
        self._event_splitter = EventSplitter()
        self._has_sequence_gap = False

    async def run(self) -> None:
        """Relay until the stream is complete or can no longer be completed."""
        forwarder, route = self._forwarder, self._route
        deadline = forwarder.deadline(self._incoming, self._call, route)
        pool = choose_pool(route, forwarder.random)
        attempts = _Attempts(fingerprint_request(self._call))
        while True:
            endpoint = await forwarder.select_endpoint(
                pool, attempts, deadline - forwarder.timers.now()
            )
            seconds_left = deadline - forwarder.timers.now()
            if endpoint is None:
                timed_out = seconds_left <= forwarder.settings.min_attempt_seconds
                self._fail(attempts, timed_out)
                return
            began_at = forwarder.timers.now()
            result = await self._attempt(endpoint, seconds_left)
            outcome = forwarder.record_attempt(attempts, endpoint, self._call, result, began_at)
            if self._incoming.is_head_sent and outcome is Outcome.SERVED and self._is_complete():
                self._incoming.finish()
                return
            if outcome is Outcome.SERVED and not self._incoming.is_head_sent:
                forwarder.relay(self._incoming, self._call, result.ok_value)
                return
            step = next_step(outcome, len(attempts.tried), route, attempts.may_have_run)
            if not self._may_retry(step.retry, attempts):
                self._fail(attempts, timed_out=deadline <= forwarder.timers.now())
                return

    def _is_complete(self) -> bool:
        splitter = self._event_splitter
        if splitter.has_overflowed or splitter.has_partial_event:
            return False
        return not self._has_sequence_gap

    def _may_retry(self, retry: bool, attempts: _Attempts) -> bool:
        attempts_remain = len(attempts.tried) < self._route.max_attempts
        if self._route.resumable:
            return attempts_remain
        return retry and not self._incoming.is_head_sent

    async def _attempt(
        self, endpoint: DirectEndpoint, seconds_left: float
    ) -> Result[CompleteAnswer, Failure]:
        self._event_splitter = EventSplitter()
        self._has_sequence_gap = False
        call = replace(self._call, resume_after=self._last_event_number)
        if call.resume_after:
            _log.info(
                "stream resumed",
                request=call.request_id,
                stream=call.stream_id,
                endpoint=endpoint.name,
                software=endpoint.software_version,
                after_event=call.resume_after,
            )
        silence_seconds = seconds_left
        if self._route.resumable:
            silence_seconds = min(seconds_left, self._forwarder.settings.stream_silence_seconds)
        return await self._forwarder.endpoint_caller.call(
            call, endpoint, seconds_left, silence_seconds, self._on_head, self._on_bytes
        )

    def _on_head(self, response: HttpResponse, answer: AnswerHead) -> None:
        if answer.signature and not answer.not_run:
            # A stream that is resumed at another endpoint keeps the head of the first one.
            self._forwarder.send_stream_head(self._incoming, self._call, response)

    def _on_bytes(self, data: bytes) -> None:
        for event_bytes in self._event_splitter.feed(data):
            event = self._forwarder.endpoint_caller.dialect.event(event_bytes)
            if self._has_sequence_gap:
                return
            if event is not None:
                if self._last_event_number is not None and event.number <= self._last_event_number:
                    continue
                if (
                    self._last_event_number is not None
                    and event.number != self._last_event_number + 1
                ):
                    self._has_sequence_gap = True
                    return
                self._last_event_number = event.number
            self._incoming.write(event_bytes + _EVENT_SEPARATOR)

    def _fail(self, attempts: _Attempts, timed_out: bool) -> None:
        if self._incoming.is_head_sent:
            _log.info(
                "stream broken",
                request=self._call.request_id,
                last_event=self._last_event_number,
                detail=attempts.last_failure.detail if attempts.last_failure else "",
            )
            self._incoming.abort()
            return
        self._forwarder.refuse_unserved(self._incoming, self._call, attempts, timed_out)
