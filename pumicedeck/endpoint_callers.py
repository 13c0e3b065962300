"""Sends a call to an endpoint and checks that the answer is complete and belongs to the call."""

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.dialects import AnswerHead, EndpointDialect, ForwardedCall
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.held_answers import HeldAnswer
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.results import Failure, ResultCode
from pumicedeck.tasks import Promise, spawn

_log = logger.bind(module="endpoint_callers")


# An answer that arrives at the very end of its time is still passed on.
_ANSWER_SLACK_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """A complete answer of an endpoint with its decoded head."""

    response: HttpResponse
    answer: AnswerHead


class EndpointCaller:
    """Sends calls to endpoints and records their outcomes in the directory.

    A call that fails with ENDPOINT_UNREACHABLE or ENDPOINT_REFUSED is proven not to have run; one
    that fails with ENDPOINT_FAILED may have run.
    """

    def __init__(
        self,
        timers: TimerQueue,
        client: HttpClient,
        dialect: EndpointDialect,
        directory: EndpointDirectory,
        on_answer: Callable[[DirectEndpoint, float], None] = lambda endpoint, sent_at: None,
        on_limit_change: Callable[[DirectEndpoint], None] = lambda endpoint: None,
    ) -> None:
        """Use `client`, which the owner of this object must close.

        `on_answer` gets each endpoint that answers and when the request was sent to it,
        `on_limit_change` each endpoint whose answer names another request limit than before.
        """
        self._timers = timers
        self._client = client
        self._dialect = dialect
        self._directory = directory
        self._on_answer = on_answer
        self._on_limit_change = on_limit_change

    @property
    def dialect(self) -> EndpointDialect:
        """Return the dialect, which encodes requests to endpoints and decodes answers."""
        return self._dialect

    def may_have_restarted(self, endpoint: DirectEndpoint) -> bool:
        """Return whether an incarnation is unconfirmed, or has lost connections since it was."""
        return self._directory.may_have_restarted(endpoint.name)

    def close_idle_connections(self, endpoint: DirectEndpoint) -> None:
        """Close the idle connections to an endpoint that has stopped answering."""
        self._client.close_idle_connections(endpoint.address)

    async def call(
        self,
        call: ForwardedCall,
        endpoint: DirectEndpoint,
        seconds: float | None,
        silence_seconds: float,
        on_head: Callable[[HttpResponse, AnswerHead], None] | None = None,
        on_chunk: Callable[[bytes], None] | None = None,
        confirmation_seconds: float | None = None,
    ) -> Result[CompleteAnswer, Failure]:
        """Send a call; it is given up after `silence_seconds` without a byte from the endpoint.

        `seconds` is the time left, which the endpoint is given; soon after it the call is given up
        even if bytes still arrive. The body of a successful answer goes to `on_chunk`, if given,
        after its head went to `on_head`; an answer without a signature fails before that. With
        `confirmation_seconds` both are held for up to that time until the endpoint has confirmed
        that it is the incarnation that registered; on another one the call fails and nothing is
        passed on.
        """
        started = self._timers.now()
        held = HeldAnswer(on_chunk)

        def check(answer: AnswerHead, response: HttpResponse, opened_at: float) -> bool:
            if not _matches_request(answer, call):
                return False
            if on_head is None or not answer.succeeded:
                return True
            if not answer.signature or answer.not_run:
                # Its body would be passed on before the end shows that it is no answer.
                return False
            if confirmation_seconds is not None and self._must_ask(endpoint, opened_at):
                held.hold(lambda: on_head(response, answer))
                question = self._confirm(held, endpoint, confirmation_seconds)
                spawn(question, f"question to {endpoint.name}")
            else:
                on_head(response, answer)
            return True

        self._directory.call_started(endpoint.name)
        try:
            request = self._dialect.encode_request(call, endpoint, seconds)
            total_seconds = None if seconds is None else seconds + _ANSWER_SLACK_SECONDS
            self._log_limited_request(endpoint, call.request_id)
            outcome = await self._exchange(
                request,
                endpoint,
                silence_seconds,
                total_seconds,
                check,
                held.on_chunk if on_chunk is not None else None,
                held.failed,
            )
            if isinstance(outcome, Ok):
                outcome = await held.decide(outcome)
        finally:
            held.drop()
            self._directory.call_ended(endpoint)
        result = self._evaluate(endpoint, call, outcome, started)
        if isinstance(result, Ok):
            self._directory.record_success(endpoint.name, self._timers.now() - started)
        return result

    async def send_request(
        self, request: HttpRequest, endpoint: DirectEndpoint, silence_seconds: float
    ) -> Result[HttpResponse, Failure]:
        """Send a request other than a call, such as a version order or a request for a report.

        It is given up after `silence_seconds`, whether or not bytes arrive.
        """
        self._log_limited_request(endpoint, request.path)
        return await self._exchange(request, endpoint, silence_seconds, silence_seconds, None, None)

    async def has_restarted(self, endpoint: DirectEndpoint, silence_seconds: float) -> bool:
        """Ask an endpoint whether it has restarted since it registered.

        True also if it does not answer. Only engines give reports, others count as unchanged; so
        does one with a request limit, to which a question would count as a request.
        """
        if not self._gives_reports(endpoint):
            return False
        request = self._dialect.report_request(endpoint)
        self._log_limited_request(endpoint, request.path)
        # The connections that are open now, and the one that carries the answer.
        confirmed_at = self._timers.now()

        def record_opened(answer: AnswerHead, response: HttpResponse, opened_at: float) -> bool:
            nonlocal confirmed_at
            confirmed_at = max(confirmed_at, opened_at)
            return True

        answered = await self._exchange(
            request, endpoint, silence_seconds, silence_seconds, record_opened, None
        )
        if isinstance(answered, Err):
            return True
        report = self._dialect.report(answered.ok_value)
        if report is None or report.incarnation is None:
            return False
        if report.incarnation != endpoint.incarnation:
            return True
        self._directory.confirm_incarnation(endpoint, confirmed_at)
        return False

    def _gives_reports(self, endpoint: DirectEndpoint) -> bool:
        return bool(endpoint.models) and self._directory.request_limit(endpoint.name) is None

    def _must_ask(self, endpoint: DirectEndpoint, opened_at: float) -> bool:
        """Return whether the answer on a connection may be that of another incarnation."""
        if not self._gives_reports(endpoint):
            return False
        return not self._directory.is_confirmed(endpoint, opened_at)

    async def _confirm(self, held: HeldAnswer, endpoint: DirectEndpoint, seconds: float) -> None:
        """Pass a held answer on if the endpoint has not restarted."""
        if await self.has_restarted(endpoint, seconds):
            self._directory.record_unconfirmed(endpoint.name)
            held.refuse(f"{endpoint.name} has restarted since it registered, or does not say")
        else:
            held.release()

    async def _exchange(
        self,
        request: HttpRequest,
        endpoint: DirectEndpoint,
        silence_seconds: float,
        total_seconds: float | None,
        check: Callable[[AnswerHead, HttpResponse, float], bool] | None,
        on_chunk: Callable[[bytes], None] | None,
        failed: Promise[Result[HttpResponse, Failure]] | None = None,
    ) -> Result[HttpResponse, Failure]:
        """Send a request; `check` gets the head and when its connection was opened.

        The exchange also ends with the value of `failed`.
        """
        promise: Promise[Result[HttpResponse, Failure]] = failed or Promise()
        sent_at = self._timers.now()

        def check_head(response: HttpResponse) -> bool:
            answer = self._dialect.decode_answer_head(response)
            if not answer.misdirected:
                self._on_answer(endpoint, sent_at)
                self._directory.record_answer(endpoint.name)
            self._record_leaving(endpoint, answer)
            self._record_request_limit(endpoint, answer, sent_at)
            if check is None or exchange.connection is None:
                return check is None
            return check(answer, response, exchange.connection.opened_at)

        exchange = self._client.send(
            request, promise.resolve, on_chunk, silence_seconds, check_head, total_seconds
        )
        try:
            return await promise
        finally:
            exchange.cancel()

    def _record_leaving(self, endpoint: DirectEndpoint, answer: AnswerHead) -> None:
        """Drain an endpoint whose answer says that it leaves.

        That is known as soon as the head is here, so no request follows while a long answer goes
        on. A misdirected request was answered by another endpoint at the same address.
        """
        if not answer.leaving or answer.misdirected:
            return
        if self._directory.record_leaving(endpoint):
            _log.info(
                "endpoint leaves; it gets no further requests",
                endpoint=endpoint.name,
                born=endpoint.incarnation,
                status=answer.status,
            )

    def _record_request_limit(
        self, endpoint: DirectEndpoint, answer: AnswerHead, sent_at: float
    ) -> None:
        """Record the request limit that an endpoint names, or that it no longer names one."""
        if answer.misdirected:
            return
        now = self._timers.now()
        if self._directory.record_request_limit(endpoint, answer.request_limit, sent_at, now):
            _log.info(
                "endpoint changed its request limit",
                endpoint=endpoint.name,
                limit=answer.request_limit,
                status=answer.status,
            )
            self._on_limit_change(endpoint)

    def _log_limited_request(self, endpoint: DirectEndpoint, request: str) -> None:
        limit = self._directory.request_limit(endpoint.name)
        if limit is not None:
            _log.info(
                "request sent to a limited endpoint",
                endpoint=endpoint.name,
                limit=limit,
                request=request,
            )

    def _evaluate(
        self,
        endpoint: DirectEndpoint,
        call: ForwardedCall,
        outcome: Result[HttpResponse, Failure],
        sent_at: float,
    ) -> Result[CompleteAnswer, Failure]:
        now = self._timers.now()
        if isinstance(outcome, Err):
            if outcome.err_value.connection_lost:
                self._directory.record_lost_connection(endpoint.name, sent_at, now)
            else:
                self._directory.record_failure(endpoint.name, now)
            return outcome
        answer = self._dialect.decode_answer_head(outcome.ok_value)
        if answer.running is not None:
            self._directory.record_load(endpoint.name, answer.running, answer.waiting or 0, now)
        if answer.not_run:
            if answer.misdirected:
                self._directory.record_failure(endpoint.name, now)
            else:
                self._directory.record_refusal(endpoint.name, now)
            detail = f"{endpoint.name} answered {answer.status} without running the request"
            return Err(Failure(ResultCode.ENDPOINT_REFUSED, detail, proven_not_run=True))
        if answer.succeeded and not answer.signature:
            self._directory.record_failure(endpoint.name, now)
            detail = f"{endpoint.name} sent an answer without a signature"
            return Err(Failure(ResultCode.ENDPOINT_FAILED, detail))
        return Ok(CompleteAnswer(outcome.ok_value, answer))


def _matches_request(answer: AnswerHead, call: ForwardedCall) -> bool:
    if answer.request_id:
        return answer.request_id == call.request_id
    return not answer.succeeded
