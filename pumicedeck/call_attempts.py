"""Attempts at endpoints for one request of a caller: selection, outcome, answer or refusal.

Shared by plain calls and streams. Handles endpoints that crash, hang, lose answers or refuse
requests while callers wait.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.call_limits import Outcome, RetrySettings
from pumicedeck.clocks import TimerQueue
from pumicedeck.crash_reports import CrashReports
from pumicedeck.dialects import AnswerHead, CallerDialect, ForwardedCall
from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.duties.request_beginnings import RequestBeginnings
from pumicedeck.endpoint_callers import CompleteAnswer, EndpointCaller
from pumicedeck.endpoint_selections import EndpointSelector
from pumicedeck.http_messages import HttpResponse
from pumicedeck.incoming_calls import IncomingCall
from pumicedeck.results import Failure, ResultCode
from pumicedeck.route_tables import Route

_log = logger.bind(module="call_attempts")

_INTERNAL_ERROR = Failure(ResultCode.INTERNAL_ERROR, "a fault of the gateway; see its log")
# They say what the caller can do; any other reason for a refusal is shown as NO_ENDPOINT.
_CODES_SHOWN = (
    ResultCode.QUARANTINED,
    ResultCode.STREAM_VERSION_GONE,
    ResultCode.STREAM_VERSION_UNKNOWN,
)


@dataclass(slots=True)
class Attempts:
    """Attempts made so far for one request: names of the endpoints tried and the last failure.

    `fingerprint` is the same for earlier requests that this one repeats. `is_counted` says that the
    request has begun to run at an endpoint and counts for its client account.
    """

    fingerprint: str
    tried: tuple[str, ...] = ()
    may_have_run: bool = False
    last_failure: Failure | None = None
    is_counted: bool = False


class CallAttempts:
    """Makes attempts for callers' requests and answers those that no endpoint served."""

    def __init__(
        self,
        timers: TimerQueue,
        endpoint_caller: EndpointCaller,
        selector: EndpointSelector,
        crashes: CrashReports,
        dialect: CallerDialect,
        settings: RetrySettings | None = None,
        beginnings: RequestBeginnings | None = None,
    ) -> None:
        """Send calls with `endpoint_caller` to the endpoints that `selector` selects.

        `crashes` has the requests that no endpoint may get, since several ended under them;
        `beginnings` counts requests by client account, None if nobody asks for that.
        """
        self._timers = timers
        self._endpoint_caller = endpoint_caller
        self._selector = selector
        self._crashes = crashes
        self._dialect = dialect
        self._settings = settings or RetrySettings()
        self._beginnings = beginnings

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
            **call.log_fields,
            code=failure.code.name,
            detail=failure.detail,
            status=status,
            waited=waited,
        )
        incoming.answer(status, headers, body)

    def fail(self, incoming: IncomingCall, call: ForwardedCall) -> None:
        """End a call whose task raised an exception, with an answer if none has begun."""
        if incoming.is_head_sent:
            incoming.abort()
        else:
            self.refuse(incoming, call, _INTERNAL_ERROR, None)

    def refuse_unserved(
        self, incoming: IncomingCall, call: ForwardedCall, attempts: Attempts, timed_out: bool
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
        if last_failure.code in _CODES_SHOWN:
            code = last_failure.code
        failure = Failure(code, last_failure.detail, proven_not_run=True)
        retry_after = last_failure.retry_after
        if retry_after is None:
            retry_after = self._settings.retry_after_seconds
        self.refuse(incoming, call, failure, retry_after)

    async def select_endpoint(
        self,
        pool: str,
        attempts: Attempts,
        seconds_left: float,
        may_use: Callable[[DirectEndpoint], bool] = lambda endpoint: True,
    ) -> DirectEndpoint | None:
        """Return the best endpoint of a pool, None if none can take the request in time.

        Only endpoints that `may_use` allows are selected. None also for a request under which
        several endpoints ended. Half of the time that is left may pass until a permit at an
        endpoint with a request limit.
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
        selected = await self._selector.select(pool, attempts.tried, seconds_left / 2, may_use)
        if isinstance(selected, Ok):
            return selected.ok_value
        if attempts.last_failure is None or selected.err_value.retry_after is not None:
            attempts.last_failure = selected.err_value
        return None

    def has_endpoint(
        self, pool: str, may_use: Callable[[DirectEndpoint], bool] = lambda endpoint: True
    ) -> bool:
        """Return whether `may_use` allows an endpoint of a pool that does not drain."""
        return self._selector.has_endpoint(pool, may_use)

    def relay(
        self, incoming: IncomingCall, call: ForwardedCall, complete_answer: CompleteAnswer
    ) -> None:
        """Relay a complete answer to the caller."""
        headers = self._dialect.relayed_headers(call, complete_answer.response)
        incoming.answer(complete_answer.response.status, headers, complete_answer.response.body)

    async def call(
        self,
        attempts: Attempts,
        call: ForwardedCall,
        endpoint: DirectEndpoint,
        seconds: float,
        silence_seconds: float,
        on_head: Callable[[HttpResponse, AnswerHead], None] | None = None,
        on_chunk: Callable[[bytes], None] | None = None,
        confirmation_seconds: float | None = None,
    ) -> Result[CompleteAnswer, Failure]:
        """Send a call as `EndpointCaller.call` does; count the request once if it begins there."""
        send = partial(self._endpoint_caller.call, confirmation_seconds=confirmation_seconds)
        if self._beginnings is not None and call.account and not attempts.is_counted:
            send = partial(self._beginnings.call, attempts, send)
        return await send(call, endpoint, seconds, silence_seconds, on_head, on_chunk)

    def record_attempt(
        self,
        attempts: Attempts,
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
                **call.log_fields,
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


def _record_result(attempts: Attempts, result: Result[CompleteAnswer, Failure]) -> Outcome:
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
