"""HTTP server for callers and operators, on circuits.web."""

import json
import socket
from collections.abc import Callable, Mapping
from typing import Any

from circuits import BaseComponent, Event, handler
from circuits.net.events import close
from circuits.web.events import response, stream
from circuits.web.wrappers import Request, Response

from pumicedeck.http_writers import SingleWriteWebServer
from pumicedeck.pollers import index_client_sockets
from pumicedeck.results import Failure
from pumicedeck.topology import Address

JSON_TYPE = "application/json"
STREAM_TYPE = "application/x-ndjson"


def failure_document(failure: Failure) -> dict[str, Any]:
    """Return the JSON document of a failure for callers and operators."""
    document: dict[str, Any] = {
        "code": int(failure.code),
        "name": failure.code.name,
        "execution": str(failure.execution),
        "meaning": failure.code.info.meaning,
        "detail": failure.detail,
    }
    if failure.retry_after is not None:
        document["retry_after"] = failure.retry_after
    return document


class abort_connection(Event):  # noqa: N801 - circuits names events in lower case
    """Event: close a connection after the bytes written before are sent."""


def _without_follow_ups(event: Event) -> Event:
    """Stop circuits from firing success and complete events, which nothing handles."""
    event.success = False
    event.complete = False
    return event


class HttpExchange:
    """One request and the means to answer it, at once or as a stream.

    `on_caller_disconnected` is called if the caller disconnects before the response is complete.
    """

    def __init__(self, server: "HttpServer", request: Request, reply: Response) -> None:
        """Wrap the request and the response object that circuits.web created for it."""
        self._server = server
        self._request = request
        self._reply = reply
        self._body = request.body.read()
        self._streaming = False
        self._ended = False
        self.on_caller_disconnected: Callable[[], None] = lambda: None

    @property
    def method(self) -> str:
        """Return the request method."""
        return self._request.method

    @property
    def path(self) -> str:
        """Return the decoded path."""
        return self._request.path

    @property
    def query(self) -> str:
        """Return the query string."""
        return self._request.qs or ""

    @property
    def body(self) -> bytes:
        """Return the complete request body."""
        return self._body

    @property
    def sock(self) -> socket.socket:
        """Return the socket of the caller's connection."""
        return self._request.sock

    @property
    def is_streaming(self) -> bool:
        """Return whether the head of a streamed response was sent."""
        return self._streaming

    def header(self, name: str, default: str = "") -> str:
        """Return a request header, or `default` if there is none."""
        return self._request.headers.get(name, default)

    def answer(
        self, status: int, content_type: str, body: bytes, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a complete response; it is ignored if a response was sent or started before."""
        if self._ended or self._streaming:
            return
        self._ended = True
        self._set_head(status, content_type, headers)
        self._reply.body = body
        self._server.remove_exchange(self)
        self._server.fire(_without_follow_ups(response(self._reply)), self._server.channel)

    def answer_json(self, status: int, document: Any) -> None:
        """Send a complete response with a JSON document."""
        self.answer(status, JSON_TYPE, json.dumps(document).encode() + b"\n")

    def fail(self, failure: Failure) -> None:
        """Send a failure.

        On a stream it is the last line, after which the connection is closed without the end of
        the chunked body.
        """
        if self._streaming:
            self.write_line({"error": failure_document(failure)})
            self.abort()
            return
        headers = {}
        if failure.retry_after is not None:
            headers["Retry-After"] = str(max(1, round(failure.retry_after)))
        body = json.dumps(failure_document(failure)).encode() + b"\n"
        self.answer(failure.code.info.http_status, JSON_TYPE, body, headers)

    def begin_stream(self, content_type: str = STREAM_TYPE) -> None:
        """Send the head of a streamed response in chunked transfer coding."""
        if self._ended or self._streaming:
            return
        self._streaming = True
        self._set_head(200, content_type, None)
        self._reply.stream = True
        # An empty tuple, unlike an empty list, makes circuits choose chunked transfer coding and
        # leave the response open for `stream` events.
        self._reply.body = ()
        self._server.fire(response(self._reply), self._server.channel)

    def write(self, data: bytes) -> None:
        """Send bytes of a streamed response."""
        if not self._ended and data:
            self._server.fire(stream(self._reply, data), self._server.channel)

    def write_line(self, document: Any) -> None:
        """Send a JSON document as one line of a streamed response."""
        self.write(json.dumps(document).encode() + b"\n")

    def end_stream(self) -> None:
        """Complete a streamed response."""
        if self._ended:
            return
        self._ended = True
        self._server.remove_exchange(self)
        self._server.fire(stream(self._reply, None), self._server.channel)

    def abort(self) -> None:
        """Close the connection, so that the caller sees a streamed response as incomplete."""
        if self._ended:
            return
        self._ended = True
        self._server.remove_exchange(self)
        self._server.fire(abort_connection(self.sock), self._server.channel)

    def caller_disconnected(self) -> None:
        """End the exchange because the caller closed the connection."""
        self._ended = True
        self.on_caller_disconnected()

    def _set_head(self, status: int, content_type: str, headers: Mapping[str, str] | None) -> None:
        self._reply.status = status
        self._reply.headers["Content-Type"] = content_type
        for name, value in (headers or {}).items():
            self._reply.headers[name] = value


class HttpServer(BaseComponent):
    """Listens on one address and passes each request that the guard accepted to `handle`."""

    def __init__(
        self,
        listen_address: Address,
        channel: str,
        handle: Callable[[HttpExchange], None],
        guard: Callable[[str], BaseComponent] | None = None,
    ) -> None:
        """Start listening; `guard` creates the component that checks the bytes received."""
        super().__init__(channel=channel)
        self.channel = channel
        self._handle = handle
        self._open_exchanges: dict[socket.socket, HttpExchange] = {}
        self._web = SingleWriteWebServer(listen_address, channel).register(self)
        index_client_sockets(self._web.server)
        if guard is not None:
            guard(channel).register(self)

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return Address(self._web.host, self._web.port)

    @property
    def open_count(self) -> int:
        """Return how many requests have no complete response yet."""
        return len(self._open_exchanges)

    def remove_exchange(self, exchange: HttpExchange) -> None:
        """Remove an exchange whose response is complete or aborted."""
        self._open_exchanges.pop(exchange.sock, None)

    @handler("request", priority=1.0)
    def _on_request(self, event, request, reply, *_):
        """Handle a request; returning True tells circuits.web that it is answered later."""
        event.stop()
        _without_follow_ups(event)
        exchange = HttpExchange(self, request, reply)
        self._open_exchanges[request.sock] = exchange
        self._handle(exchange)
        return True

    @handler("abort_connection")
    def _on_abort(self, sock):
        # Closing is a further event, as the bytes of the last line are also written by an event.
        self.fire(close(sock))

    @handler("disconnect")
    def _on_disconnect(self, sock):
        exchange = self._open_exchanges.pop(sock, None)
        if exchange is not None:
            exchange.caller_disconnected()
