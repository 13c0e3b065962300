"""Base class of the HTTP adapters: sends a call and decodes its result or its `Failure`."""

from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from pumicedeck.http_clients import HttpClient
from pumicedeck.http_documents import JSON_TYPE, Operation, decode_failure
from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import Address

_HTTP_OK = 200
_JSON_HEADERS = (("content-type", JSON_TYPE),)


class HttpAdapter:
    """Sends calls to one address.

    A call fails after `silence_seconds` without a byte in either direction; None means the
    client's default.
    """

    def __init__(
        self, client: HttpClient, address: Address, silence_seconds: float | None = None
    ) -> None:
        """Send calls to `address` through `client`, which its owner closes."""
        self._client = client
        self._address = address
        self._silence_seconds = silence_seconds

    def close(self) -> None:
        """Do nothing: the client is shared and closed by its owner."""

    def _request(self, operation: Operation, arguments: tuple) -> HttpRequest:
        return HttpRequest(
            "POST",
            self._address,
            operation.path,
            _JSON_HEADERS,
            operation.arguments.encode(*arguments),
            operation.idempotent,
        )

    def _call(
        self,
        operation: Operation,
        arguments: tuple,
        done: Callable[[Result[Any, Failure]], None],
    ) -> None:
        """Send a call whose result is one JSON document."""
        request = self._request(operation, arguments)
        self._client.send(
            request,
            lambda http_result: done(_decode_result(operation, http_result)),
            silence_seconds=self._silence_seconds,
        )


def _decode_result(
    operation: Operation, http_result: Result[HttpResponse, Failure]
) -> Result[Any, Failure]:
    if http_result.is_err():
        return Err(transport_failure(operation, http_result.unwrap_err()))
    response = http_result.unwrap()
    if response.status != _HTTP_OK:
        return Err(failure_from_response(operation, response))
    decoded = operation.result.decode(response.body)
    if decoded.is_err():
        return Err(Failure(operation.outcome_unknown_code, decoded.unwrap_err().detail))
    return Ok(decoded.unwrap()[0])


def transport_failure(operation: Operation, failure: Failure) -> Failure:
    """Translate a failure of the HTTP client into the operation's failure codes."""
    if failure.code is ResultCode.BAD_REQUEST:
        return failure
    if failure.proven_not_run:
        return Failure(operation.not_run_code, failure.detail, proven_not_run=True)
    return Failure(operation.outcome_unknown_code, failure.detail)


def failure_from_response(operation: Operation, response: HttpResponse) -> Failure:
    """Return the failure in an error response; a response without one gives an unknown outcome."""
    failure = decode_failure(response.body)
    return failure or Failure(
        operation.outcome_unknown_code,
        f"response without an error document: HTTP status {response.status}",
    )
