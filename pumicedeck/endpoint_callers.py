"""One call to one endpoint: sends it, checks that the answer is its own and whole."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.dialects import AnswerHead, EndpointDialect, ForwardedCall
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.results import Failure, ResultCode
from pumicedeck.tasks import Promise


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """A whole answer of an endpoint and what its head says."""

    response: HttpResponse
    answer: AnswerHead


class EndpointCaller:
    """Makes calls and keeps the directory's record of each endpoint.

    ENDPOINT_UNREACHABLE and ENDPOINT_REFUSED are proven "not run", ENDPOINT_FAILED is not.
    """

    def __init__(
        self,
        timers: TimerQueue,
        client: HttpClient,
        dialect: EndpointDialect,
        directory: EndpointDirectory,
    ) -> None:
        """Use `client`, which stays the caller's to close."""
        self._timers = timers
        self._client = client
        self._dialect = dialect
        self._directory = directory

    @property
    def dialect(self) -> EndpointDialect:
        """Return how endpoints are spoken to."""
        return self._dialect

    def close_idle_connections(self, endpoint: DirectEndpoint) -> None:
        """Use no open connection to an endpoint again that has not answered."""
        self._client.close_idle_connections(endpoint.address)

    async def call(
        self,
        call: ForwardedCall,
        endpoint: DirectEndpoint,
        seconds: float | None,
        silence: float,
        begun: Callable[[HttpResponse, AnswerHead], None] | None = None,
        chunk: Callable[[bytes], None] | None = None,
    ) -> Result[CompleteAnswer, Failure]:
        """Send a call with `seconds` left; it is given up after `silence` seconds without a byte.

        A successful body goes to `chunk`, if given, after its head went to `begun`.
        """
        started = self._timers.now()

        def check(response: HttpResponse) -> bool:
            answer = self._dialect.answer(response)
            if not _belongs(answer, call):
                return False
            if begun is not None and answer.succeeded:
                begun(response, answer)
            return True

        self._directory.call_started(endpoint.name)
        try:
            request = self._dialect.request(call, endpoint, seconds)
            outcome = await self._exchange(request, silence, check, chunk)
        finally:
            self._directory.call_ended(endpoint)
        result = self._judge(endpoint, call, outcome)
        if isinstance(result, Ok):
            self._directory.succeeded(endpoint.name, self._timers.now() - started)
        return result

    async def send_request(
        self, request: HttpRequest, silence: float
    ) -> Result[HttpResponse, Failure]:
        """Send a request that is no call, such as an order or a report."""
        return await self._exchange(request, silence, None, None)

    async def _exchange(
        self,
        request: HttpRequest,
        silence: float,
        check: Callable[[HttpResponse], bool] | None,
        chunk: Callable[[bytes], None] | None,
    ) -> Result[HttpResponse, Failure]:
        promise: Promise[Result[HttpResponse, Failure]] = Promise()
        exchange = self._client.send(request, promise.resolve, chunk, silence, check)
        try:
            return await promise
        finally:
            exchange.cancel()

    def _judge(
        self,
        endpoint: DirectEndpoint,
        call: ForwardedCall,
        outcome: Result[HttpResponse, Failure],
    ) -> Result[CompleteAnswer, Failure]:
        now = self._timers.now()
        if isinstance(outcome, Err):
            self._directory.record_failure(endpoint.name, now)
            return outcome
        answer = self._dialect.answer(outcome.ok_value)
        if answer.running is not None:
            self._directory.record_load(endpoint.name, answer.running, answer.waiting or 0, now)
        if answer.not_run:
            if answer.misdirected:
                self._directory.record_failure(endpoint.name, now)
            else:
                self._directory.record_refusal(endpoint.name, now)
            detail = f"{endpoint.name} answered {answer.status} without running it"
            return Err(Failure(ResultCode.ENDPOINT_REFUSED, detail, proven_not_run=True))
        if answer.succeeded and not answer.signature:
            self._directory.record_failure(endpoint.name, now)
            detail = f"{endpoint.name} sent an answer without a signature"
            return Err(Failure(ResultCode.ENDPOINT_FAILED, detail))
        return Ok(CompleteAnswer(outcome.ok_value, answer))


def _belongs(answer: AnswerHead, call: ForwardedCall) -> bool:
    if answer.request_id:
        return answer.request_id == call.request_id
    return not answer.succeeded
