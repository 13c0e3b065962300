"""HTTP towards callers and operators, on circuits.web."""

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
    """Return the JSON form of a failure that callers and operators see."""
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
    """Close a connection after what was written before."""


def _without_follow_ups(event: Event) -> Event:
    """Have no further events fired about an event: nobody listens to them."""
    event.success = False
    event.complete = False
    return event


class HttpExchange:
    """One request and the answer that is still owed to it."""

    def __init__(self, server: "HttpServer", request: Request, reply: Response) -> None:
        """Wrap the pair that circuits.web made."""
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
        """Return the whole request body."""
        return self._body

    @property
    def sock(self) -> socket.socket:
        """Return the caller's connection."""
        return self._request.sock

    @property
    def is_streaming(self) -> bool:
        """Return whether the head of a streamed answer was sent."""
        return self._streaming

    def header(self, name: str, default: str = "") -> str:
        """Return a request header."""
        return self._request.headers.get(name, default)

    def answer(
        self, status: int, content_type: str, body: bytes, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send the whole answer; a second answer is ignored."""
        if self._ended or self._streaming:
            return
        self._ended = True
        self._set_head(status, content_type, headers)
        self._reply.body = body
        self._server.remove_exchange(self)
        self._server.fire(_without_follow_ups(response(self._reply)), self._server.channel)

    def answer_json(self, status: int, document: Any) -> None:
        """Send a JSON document."""
        self.answer(status, JSON_TYPE, json.dumps(document).encode() + b"\n")

    def fail(self, failure: Failure) -> None:
        """Send a failure; on a stream as its last line, and without a clean end."""
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
        """Send the head of a chunked answer."""
        if self._ended or self._streaming:
            return
        self._streaming = True
        self._set_head(200, content_type, None)
        self._reply.stream = True
        # An empty tuple, unlike an empty list, makes circuits choose chunked transfer coding and
        # leave the answer open for `stream` events.
        self._reply.body = ()
        self._server.fire(response(self._reply), self._server.channel)

    def write(self, data: bytes) -> None:
        """Send bytes of a streamed answer."""
        if not self._ended and data:
            self._server.fire(stream(self._reply, data), self._server.channel)

    def write_line(self, document: Any) -> None:
        """Send one JSON document and a line end."""
        self.write(json.dumps(document).encode() + b"\n")

    def end_stream(self) -> None:
        """End a streamed answer cleanly."""
        if self._ended:
            return
        self._ended = True
        self._server.remove_exchange(self)
        self._server.fire(stream(self._reply, None), self._server.channel)

    def abort(self) -> None:
        """Close the connection without a clean end."""
        if self._ended:
            return
        self._ended = True
        self._server.remove_exchange(self)
        self._server.fire(abort_connection(self.sock), self._server.channel)

    def caller_disconnected(self) -> None:
        """Take note that the caller closed the connection."""
        self._ended = True
        self.on_caller_disconnected()

    def _set_head(self, status: int, content_type: str, headers: Mapping[str, str] | None) -> None:
        self._reply.status = status
        self._reply.headers["Content-Type"] = content_type
        for name, value in (headers or {}).items():
            self._reply.headers[name] = value


class HttpServer(BaseComponent):
    """Listens on one address and hands each checked request to `handle`."""

    def __init__(
        self,
        listen: Address,
        channel: str,
        handle: Callable[[HttpExchange], None],
        guard: Callable[[str], BaseComponent] | None = None,
    ) -> None:
        """Listen at once; `guard` makes the component that filters what is read."""
        super().__init__(channel=channel)
        self.channel = channel
        self._handle = handle
        self._open_exchanges: dict[socket.socket, HttpExchange] = {}
        self._web = SingleWriteWebServer(listen, channel).register(self)
        index_client_sockets(self._web.server)
        if guard is not None:
            guard(channel).register(self)

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return Address(self._web.host, self._web.port)

    @property
    def open_count(self) -> int:
        """Return how many requests are not answered yet."""
        return len(self._open_exchanges)

    def remove_exchange(self, exchange: HttpExchange) -> None:
        """Forget an exchange whose answer is complete."""
        self._open_exchanges.pop(exchange.sock, None)

    @handler("request", priority=1.0)
    def _on_request(self, event, request, reply, *_):
        """Take a request; returning True leaves it open."""
        event.stop()
        _without_follow_ups(event)
        exchange = HttpExchange(self, request, reply)
        self._open_exchanges[request.sock] = exchange
        self._handle(exchange)
        return True

    @handler("abort_connection")
    def _on_abort(self, sock):
        # One event later than the last line, whose bytes are themselves written by an event.
        self.fire(close(sock))

    @handler("disconnect")
    def _on_disconnect(self, sock):
        exchange = self._open_exchanges.pop(sock, None)
        if exchange is not None:
            exchange.caller_disconnected()
