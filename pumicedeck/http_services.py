"""Adapter for a plain service over HTTP."""

from result import Err, Ok, Result

from pumicedeck.http_adapters import HttpAdapter
from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.platform_interfaces import (
    PlainService,
    ResultCallback,
    ServiceCall,
    ServiceReply,
    adapter,
)
from pumicedeck.results import Failure

HEALTH_PATH = "/healthz"
REQUEST_ID_HEADER = "x-request-id"
HANDLE_HEADER = "x-attempt-handle"
_HTTP_OK = 200


@adapter("PlainService", "http")
class HttpService(HttpAdapter, PlainService):
    """A service at one address; a response of any status is passed on as its reply."""

    def call(self, call: ServiceCall, done: ResultCallback[ServiceReply]) -> None:
        """Send one call; it is not sent again once a byte of it was written."""
        headers = (
            ("content-type", "application/json"),
            (REQUEST_ID_HEADER, call.request_id),
            (HANDLE_HEADER, call.handle),
        )
        request = HttpRequest("POST", self._address, call.path, headers, call.body)
        self._client.send(
            request,
            lambda http_result: done(http_result.map(_reply)),
            silence_seconds=self._silence_seconds,
        )

    def healthy(self, done: ResultCallback[bool]) -> None:
        """Query whether the service accepts calls; False means that it is shutting down."""
        request = HttpRequest("GET", self._address, HEALTH_PATH, idempotent=True)

        def report(http_result: Result[HttpResponse, Failure]) -> None:
            if http_result.is_err():
                done(Err(http_result.unwrap_err()))
            else:
                done(Ok(http_result.unwrap().status == _HTTP_OK))

        self._client.send(request, report, silence_seconds=self._silence_seconds)


def _reply(response: HttpResponse) -> ServiceReply:
    return ServiceReply(response.status, response.header("content-type"), response.body)
