"""Serves stand-ins over HTTP; their faults show as refused, silent or broken connections."""

from collections.abc import Callable

from circuits import BaseComponent
from circuits.net.events import close
from result import Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.faults import StandIn
from pumicedeck.http_documents import JSON_TYPE, Operation, encode_failure
from pumicedeck.http_guards import HttpGuard, HttpGuardSettings
from pumicedeck.http_messages import MIB
from pumicedeck.http_operations import (
    CACHE_EVENTS,
    CANCEL,
    COMMIT,
    EXPORT_KV,
    GENERATE,
    GENERATION_LINE,
    GET_OBJECT,
    IMPORT_KV,
    LIST_VMS,
    NEWEST_WEIGHTS,
    ORDER,
    PUBLISH_WEIGHTS,
    PUT_OBJECT,
    READ_ROWS,
    SCAN_ROWS,
    STATE,
    FailureLine,
    GenerationLine,
)
from pumicedeck.http_servers import HttpExchange, HttpServer
from pumicedeck.http_services import HANDLE_HEADER, HEALTH_PATH, REQUEST_ID_HEADER
from pumicedeck.platform_interfaces import (
    GenerationEnd,
    ResultCallback,
    ServiceCall,
    ServiceReply,
    TokenChunk,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.standin_engines import StandinEngine
from pumicedeck.standin_objects import StandinObjectStore
from pumicedeck.standin_services import StandinService
from pumicedeck.standin_tables import StandinTableStore
from pumicedeck.standin_vm_lists import StandinVmList
from pumicedeck.standin_weights import StandinWeightStore
from pumicedeck.topology import Address

KEEPALIVE_INTERVAL_SECONDS = 2.0
RELISTEN_RETRY_SECONDS = 0.05
_MAX_BODY_BYTES = 64 * MIB
_REPLY_LOST_CODES = (
    ResultCode.STORE_OUTCOME_UNKNOWN,
    ResultCode.ENDPOINT_FAILED,
    ResultCode.ORDER_UNKNOWN,
)
_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503

Route = Callable[[HttpExchange], None]
_ROUTE_BUILDERS: dict[type, Callable[["StandinServer"], dict[str, Route]]] = {}


def _registers_routes(kind: type) -> Callable:
    """Return a decorator that registers the function that builds the routes of a stand-in."""

    def register(function: Callable) -> Callable:
        _ROUTE_BUILDERS[kind] = function
        return function

    return register


class StandinServer(BaseComponent):
    """Serves one stand-in; while it is down, the port is closed, so connections are refused."""

    def __init__(
        self, name: str, standin: StandIn, timers: TimerQueue, listen: Address | None = None
    ) -> None:
        """Listen on `listen`, by default on a free port of the loopback address."""
        super().__init__(channel=f"standin_{name}")
        self._name = name
        self._standin = standin
        self._timers = timers
        self._listener_count = 0
        self._address = listen or Address("127.0.0.1", 0)
        self._server: HttpServer | None = None
        self._handlers = _ROUTE_BUILDERS[type(standin)](self)
        standin.faults.on_down_changed(self._on_down_changed)
        self._listen()

    @property
    def name(self) -> str:
        """Return the name of the stand-in on the control port."""
        return self._name

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return self._address

    @property
    def standin(self) -> StandIn:
        """Return the stand-in that is served."""
        return self._standin

    @property
    def timers(self) -> TimerQueue:
        """Return the timer queue on which the stand-in runs."""
        return self._timers

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self.fire(close(), self._server.channel)
            self._server.unregister()
            self._server = None

    def route(self, operation: Operation, method: Callable) -> tuple[str, Route]:
        """Return the path of an operation and a handler that calls a method of the stand-in."""

        def handle(exchange: HttpExchange) -> None:
            arguments = operation.arguments.decode(exchange.body)
            if arguments.is_err():
                exchange.fail(arguments.unwrap_err())
                return
            method(
                *arguments.unwrap(), lambda outcome: answer_outcome(exchange, operation, outcome)
            )

        return operation.path, handle

    def _listen(self) -> None:
        # A closed listener may still receive events of its channel, so each has its own.
        self._listener_count += 1
        settings = HttpGuardSettings(body_bytes=_MAX_BODY_BYTES)
        server = HttpServer(
            self._address,
            f"{self.channel}_{self._listener_count}",
            self._handle,
            lambda channel: HttpGuard(channel, self._timers, settings),
        )
        self._server = server.register(self)
        self._address = server.address

    def _listen_again(self) -> None:
        if self._server is not None or self._standin.faults.down:
            return
        try:
            self._listen()
        except OSError:
            # The port is in use until the previous listener is closed.
            self._timers.call_later(RELISTEN_RETRY_SECONDS, self._listen_again)

    def _on_down_changed(self, down: bool) -> None:
        if down:
            self.close()
        else:
            self._timers.call_later(0.0, self._listen_again)

    def _handle(self, exchange: HttpExchange) -> None:
        route = self._handlers.get(exchange.path) or self._handlers.get("")
        if route is None:
            exchange.fail(Failure(ResultCode.NOT_FOUND, exchange.path))
            return
        route(exchange)


def answer_outcome(exchange: HttpExchange, operation: Operation, outcome: Result) -> None:
    """Send the outcome of a call; if its reply is lost, close the connection."""
    if outcome.is_ok():
        body = operation.result.encode(outcome.unwrap())
        exchange.answer(_HTTP_OK, JSON_TYPE, body)
    else:
        answer_failure(exchange, outcome.unwrap_err())


def answer_failure(exchange: HttpExchange, failure: Failure) -> None:
    """Send a failure; if it says that the reply is lost, close the connection unanswered."""
    if failure.code in _REPLY_LOST_CODES:
        exchange.abort()
        return
    status = failure.code.info.http_status
    exchange.answer(status, JSON_TYPE, encode_failure(failure))


class GenerationStream:
    """Writes one generation as JSON lines, with empty lines to keep the connection alive."""

    def __init__(
        self, exchange: HttpExchange, timers: TimerQueue, is_answering: Callable[[], bool]
    ) -> None:
        """Start the keep-alive timer; an empty line is sent only while `is_answering()`."""
        self._exchange = exchange
        self._timers = timers
        self._is_answering = is_answering
        self._timer = timers.call_later(KEEPALIVE_INTERVAL_SECONDS, self._keep_alive)
        exchange.on_caller_disconnected = self._timer.cancel

    def write_chunk(self, chunk: TokenChunk) -> None:
        """Write a chunk of tokens."""
        self._write(GenerationLine(chunk=chunk))

    def write_end(self, outcome: Result[GenerationEnd, Failure]) -> None:
        """Write the end or the failure; if the reply is lost, close the connection."""
        self._timer.cancel()
        if outcome.is_err():
            self._fail(outcome.unwrap_err())
            return
        self._write(GenerationLine(end=outcome.unwrap()))
        self._exchange.end_stream()

    def _fail(self, failure: Failure) -> None:
        if not self._exchange.is_streaming or failure.code in _REPLY_LOST_CODES:
            answer_failure(self._exchange, failure)
            return
        line = FailureLine(failure.code, failure.detail, failure.proven_not_run)
        self._write(GenerationLine(failure=line))
        self._exchange.end_stream()

    def _write(self, line: GenerationLine) -> None:
        self._exchange.begin_stream()
        self._exchange.write(GENERATION_LINE.encode(line) + b"\n")

    def _keep_alive(self) -> None:
        if self._is_answering():
            self._exchange.begin_stream()
            self._exchange.write(b"\n")
        self._timer = self._timers.call_later(KEEPALIVE_INTERVAL_SECONDS, self._keep_alive)
        self._exchange.on_caller_disconnected = self._timer.cancel


@_registers_routes(StandinTableStore)
def _table_routes(server: StandinServer) -> dict[str, Route]:
    store = server.standin
    return dict(
        (
            server.route(READ_ROWS, store.read),
            server.route(SCAN_ROWS, store.scan),
            server.route(COMMIT, store.commit),
        )
    )


@_registers_routes(StandinObjectStore)
def _object_routes(server: StandinServer) -> dict[str, Route]:
    store = server.standin
    return dict((server.route(GET_OBJECT, store.get), server.route(PUT_OBJECT, store.put)))


@_registers_routes(StandinWeightStore)
def _weight_routes(server: StandinServer) -> dict[str, Route]:
    store = server.standin
    return dict(
        (
            server.route(PUBLISH_WEIGHTS, store.publish),
            server.route(NEWEST_WEIGHTS, store.newest),
        )
    )


@_registers_routes(StandinVmList)
def _vm_routes(server: StandinServer) -> dict[str, Route]:
    return dict((server.route(LIST_VMS, server.standin.list),))


@_registers_routes(StandinEngine)
def _engine_routes(server: StandinServer) -> dict[str, Route]:
    engine = server.standin

    def generate(exchange: HttpExchange) -> None:
        arguments = GENERATE.arguments.decode(exchange.body)
        if arguments.is_err():
            exchange.fail(arguments.unwrap_err())
            return
        generation = arguments.unwrap()[0]
        handle = generation.handle
        stream = GenerationStream(exchange, server.timers, lambda: engine.is_answering(handle))
        engine.generate(generation, stream.write_chunk, stream.write_end)

    def cancel(handle: str, done: ResultCallback[None]) -> None:
        engine.cancel(handle)
        done(Ok(None))

    return dict(
        (
            (GENERATE.path, generate),
            server.route(CANCEL, cancel),
            server.route(ORDER, engine.order),
            server.route(STATE, engine.state),
            server.route(CACHE_EVENTS, engine.cache_events),
            server.route(EXPORT_KV, engine.export_kv),
            server.route(IMPORT_KV, engine.import_kv),
        )
    )


@_registers_routes(StandinService)
def _service_routes(server: StandinServer) -> dict[str, Route]:
    service = server.standin

    def call(exchange: HttpExchange) -> None:
        request_id = exchange.header(REQUEST_ID_HEADER)
        handle = exchange.header(HANDLE_HEADER)

        def done(outcome: Result[ServiceReply, Failure]) -> None:
            if outcome.is_err():
                answer_failure(exchange, outcome.unwrap_err())
                return
            reply = outcome.unwrap()
            exchange.answer(reply.status, reply.content_type, reply.body)

        path = f"{exchange.path}?{exchange.query}" if exchange.query else exchange.path
        service.call(ServiceCall(handle, request_id, path, exchange.body), done)

    def health(exchange: HttpExchange) -> None:
        def done(outcome: Result[bool, Failure]) -> None:
            if outcome.is_err():
                answer_failure(exchange, outcome.unwrap_err())
                return
            status = _HTTP_OK if outcome.unwrap() else _HTTP_UNAVAILABLE
            exchange.answer(status, JSON_TYPE, b"{}")

        service.healthy(done)

    return {HEALTH_PATH: health, "": call}
