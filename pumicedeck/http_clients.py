"""Non-blocking HTTP/1.1 client with a connection pool per address."""

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import h11
from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from result import Err, Ok, Result

from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.http_connections import (
    BrokenReason,
    ConnectionCallbacks,
    ConnectionState,
    HttpConnection,
)
from pumicedeck.http_messages import (
    HttpClientSettings,
    HttpClientStats,
    HttpRequest,
    HttpResponse,
)
from pumicedeck.memory_budgets import MemoryBudget
from pumicedeck.platform_interfaces import ResultCallback
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import Address

_CHANNEL_NUMBERS = itertools.count(1)


@dataclass(slots=True, eq=False)
class ClientExchange:
    """One request with the callbacks for its response; `cancel` ends it without calling `done`.

    `was_written` is true once a byte of the request was written on a connection that broke,
    `response_started` once a part of the response was passed on.
    """

    request: HttpRequest
    done: ResultCallback[HttpResponse]
    on_chunk: Callable[[bytes], None] | None
    max_silence_seconds: float
    on_head: Callable[[HttpResponse], bool] | None
    release: Callable[["ClientExchange"], None]
    time_limit: Timer | None = None
    connection: HttpConnection | None = None
    was_written: bool = False
    response_started: bool = False
    retried: bool = False
    ended: bool = False

    def cancel(self) -> None:
        """End the exchange and close the connection that its request was sent on."""
        if self.end():
            self.release(self)

    def end(self) -> bool:
        """Mark the exchange as ended; return False if it was before."""
        if self.ended:
            return False
        self.ended = True
        if self.time_limit is not None:
            self.time_limit.cancel()
        # They refer to this exchange, which would keep the request's body until garbage is
        # collected.
        self.on_chunk = self.on_head = None
        return True


@dataclass(slots=True)
class _Pool:
    """Connections to one address and the exchanges that wait for one."""

    idle_connections: list[HttpConnection] = field(default_factory=list)
    connections: set[HttpConnection] = field(default_factory=set)
    waiting_exchanges: deque[ClientExchange] = field(default_factory=deque)


class HttpClient(BaseComponent):
    """Sends requests and reports each outcome once, on the loop's thread.

    If no byte of the request was ever written, the failure is ENDPOINT_UNREACHABLE and proven "not
    run"; otherwise it is ENDPOINT_FAILED. A request that fails on a reused connection is sent
    once more if it is idempotent or none of it was written, and no response has started.
    """

    def __init__(
        self,
        timers: TimerQueue,
        settings: HttpClientSettings | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Create a client without connections; its deadlines run on `timers`.

        `budget` limits the bodies that it and other clients hold at once.
        """
        super().__init__(channel=f"http_client_{next(_CHANNEL_NUMBERS)}")
        self._timers = timers
        self._settings = settings or HttpClientSettings()
        self._budget = budget or MemoryBudget(2 * self._settings.body_bytes)
        self._poller: BasePoller | None = None
        self._pools: dict[Address, _Pool] = {}
        self._connections_by_socket: dict[object, HttpConnection] = {}
        self._exchanges_by_connection: dict[HttpConnection, ClientExchange] = {}
        self._connection_callbacks = ConnectionCallbacks(
            self._on_ready, self._on_responded, self._on_broken
        )
        self._stats = HttpClientStats()
        self._closed = False

    @property
    def stats(self) -> HttpClientStats:
        """Return the counts since the client was created."""
        return self._stats

    @property
    def timers(self) -> TimerQueue:
        """Return the timer queue of the client's deadlines."""
        return self._timers

    @property
    def open_connections(self) -> int:
        """Return how many sockets are open, also those that are still connecting."""
        return len(self._connections_by_socket)

    def send(
        self,
        request: HttpRequest,
        done: ResultCallback[HttpResponse],
        chunk: Callable[[bytes], None] | None = None,
        silence_seconds: float | None = None,
        head: Callable[[HttpResponse], bool] | None = None,
        total_seconds: float | None = None,
    ) -> ClientExchange:
        """Send a request and pass its outcome to `done`.

        With `chunk` the body of a successful response is passed there in pieces and left out of
        the reported response. `head` gets the response before its body; if it returns False, the
        exchange fails and its connection is closed. The exchange fails after `silence_seconds`
        without a byte in either direction, and after `total_seconds` without its end, however many
        bytes arrive (defaults: those of the settings).
        """
        max_silence_seconds = (
            self._settings.silence_seconds if silence_seconds is None else silence_seconds
        )
        exchange = ClientExchange(
            request, done, chunk, max_silence_seconds, head, self._release_connection
        )
        if head is not None:
            exchange.on_head = lambda response: self._on_head(exchange, head, response)
        if chunk is not None:
            exchange.on_chunk = lambda data: self._on_chunk(exchange, chunk, data)
        if self._closed:
            self._timers.call_later(0.0, lambda: self._fail(exchange, "the client is closed"))
            return exchange
        total = self._settings.exchange_seconds if total_seconds is None else total_seconds
        exchange.time_limit = self._timers.call_later(
            total, lambda: self._time_out(exchange, total)
        )
        pool = self._pools.setdefault(request.address, _Pool())
        pool.waiting_exchanges.append(exchange)
        self._assign_waiting(request.address)
        return exchange

    def close_idle_connections(self, address: Address) -> None:
        """Close the idle connections to an address, which may have been broken without notice."""
        if address in self._pools:
            self._close_idle(address)

    def close(self) -> None:
        """Close every connection and fail every exchange that has not ended."""
        self._closed = True
        for pool in tuple(self._pools.values()):
            waiting_exchanges = tuple(pool.waiting_exchanges)
            pool.waiting_exchanges.clear()
            for connection in tuple(pool.connections):
                exchange = self._exchanges_by_connection.get(connection)
                self._close_connection(connection)
                if exchange is not None:
                    self._fail(exchange, "the client was closed")
            for exchange in waiting_exchanges:
                self._fail(exchange, "the client was closed")

    @handler("_read")
    def _on_read(self, sock) -> None:
        connection = self._connections_by_socket.get(sock)
        if connection is not None:
            connection.on_readable()

    @handler("_write")
    def _on_write(self, sock) -> None:
        connection = self._connections_by_socket.get(sock)
        if connection is not None:
            connection.on_writable()

    @handler("_disconnect")
    def _on_disconnect(self, sock) -> None:
        connection = self._connections_by_socket.get(sock)
        if connection is not None:
            connection.on_hangup()

    def _assign_waiting(self, address: Address) -> None:
        """Assign waiting exchanges to idle connections; open connections for the others."""
        pool = self._pools[address]
        self._drop_overdue(pool)
        while pool.waiting_exchanges:
            connection = self._pop_idle_connection(pool)
            if connection is None:
                break
            self._send_on(connection, pool.waiting_exchanges.popleft())
        if not pool.waiting_exchanges:
            return
        connecting_count = self._count_connecting(pool)
        free_connections = self._settings.connections_per_address - len(pool.connections)
        for _ in range(min(free_connections, len(pool.waiting_exchanges) - connecting_count)):
            self._open_connection(address)

    def _drop_overdue(self, pool: _Pool) -> None:
        """Fail the first waiting exchanges whose time has run out.

        When a frozen VM goes on, its sockets are served before its timers.
        """
        now = self._timers.now()
        while pool.waiting_exchanges and pool.waiting_exchanges[0].time_limit.due < now:
            self._fail(pool.waiting_exchanges.popleft(), "not sent before its time ran out")

    def _pop_idle_connection(self, pool: _Pool) -> HttpConnection | None:
        """Return an idle connection that is still usable; close the stale ones found before it."""
        while pool.idle_connections:
            connection = pool.idle_connections.pop()
            if connection.state is ConnectionState.IDLE and not connection.is_stale():
                return connection
            self._stats.stale += 1
            self._close_connection(connection)
        return None

    def _open_connection(self, address: Address) -> None:
        poller = self._find_poller()
        connection = HttpConnection(
            address,
            self,
            poller,
            self._timers,
            self._settings,
            self._connection_callbacks,
            self._budget,
        )
        self._pools[address].connections.add(connection)
        try:
            connection.open()
        except Exception as error:
            # A port out of range raises OverflowError, a host with a zero byte TypeError.
            detail = str(error)
            self._timers.call_later(
                0.0, lambda: self._on_broken(connection, BrokenReason.REFUSED, detail)
            )
            return
        self._stats.opened += 1
        self._connections_by_socket[connection.socket] = connection

    def _find_poller(self) -> BasePoller:
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        if self._poller is None:
            raise RuntimeError("register a poller before the HTTP client")
        return self._poller

    def _send_on(self, connection: HttpConnection, exchange: ClientExchange) -> None:
        if connection.request_count > 0:
            self._stats.reused += 1
        self._exchanges_by_connection[connection] = exchange
        exchange.connection = connection
        try:
            connection.send(
                exchange.request, exchange.on_chunk, exchange.max_silence_seconds, exchange.on_head
            )
        except h11.LocalProtocolError as error:
            self._close_connection(connection)
            failure = Failure(ResultCode.BAD_REQUEST, str(error), proven_not_run=True)
            self._timers.call_later(0.0, lambda: self._end_exchange(exchange, Err(failure)))

    def _on_ready(self, connection: HttpConnection) -> None:
        """Use a connection that was just established."""
        pool = self._pools[connection.address]
        pool.idle_connections.append(connection)
        self._assign_waiting(connection.address)

    def _on_responded(self, connection: HttpConnection, response: HttpResponse) -> None:
        """Reuse or close the connection of a complete response, then report the response."""
        exchange = self._exchanges_by_connection.pop(connection, None)
        if connection.state is ConnectionState.IDLE:
            self._pools[connection.address].idle_connections.append(connection)
        else:
            self._close_connection(connection)
        self._assign_waiting(connection.address)
        if exchange is not None:
            exchange.connection = None
            self._end_exchange(exchange, Ok(response))

    def _on_broken(self, connection: HttpConnection, reason: BrokenReason, detail: str) -> None:
        exchange = self._exchanges_by_connection.get(connection)
        self._close_connection(connection)
        self._count_broken(reason, exchange)
        if reason is BrokenReason.SILENT:
            self._close_idle(connection.address)
        full_detail = f"{reason.value}: {detail}"
        if exchange is not None:
            exchange.was_written = exchange.was_written or connection.written_bytes > 0
            self._retry_or_fail(exchange, connection, reason, full_detail)
        elif reason is BrokenReason.REFUSED:
            self._fail_first_waiting(connection.address, full_detail)
        self._assign_waiting(connection.address)

    def _count_broken(self, reason: BrokenReason, exchange: ClientExchange | None) -> None:
        if reason is BrokenReason.REFUSED:
            self._stats.refused += 1
        elif reason is BrokenReason.SILENT:
            self._stats.silence_timeouts += 1
        elif exchange is not None:
            self._stats.broken += 1

    def _retry_or_fail(
        self,
        exchange: ClientExchange,
        connection: HttpConnection,
        reason: BrokenReason,
        detail: str,
    ) -> None:
        exchange.connection = None
        is_repeatable = exchange.request.idempotent or not exchange.was_written
        if (
            connection.request_count > 1
            and is_repeatable
            and not exchange.response_started
            and not exchange.retried
        ):
            exchange.retried = True
            self._stats.retried += 1
            self._close_idle(connection.address)
            self._pools[connection.address].waiting_exchanges.appendleft(exchange)
            return
        self._fail(exchange, detail, connection_lost=reason is BrokenReason.CLOSED)

    def _fail_first_waiting(self, address: Address, detail: str) -> None:
        """Fail the first waiting exchange unless another connection is being opened for it."""
        pool = self._pools[address]
        if len(pool.waiting_exchanges) > self._count_connecting(pool):
            self._fail(pool.waiting_exchanges.popleft(), detail)

    def _count_connecting(self, pool: _Pool) -> int:
        return sum(
            1 for connection in pool.connections if connection.state is ConnectionState.CONNECTING
        )

    def _close_idle(self, address: Address) -> None:
        """Close the idle connections to an address, which may be broken if another one was."""
        pool = self._pools[address]
        for connection in tuple(pool.idle_connections):
            self._close_connection(connection)

    def _on_chunk(
        self, exchange: ClientExchange, chunk: Callable[[bytes], None], data: bytes
    ) -> None:
        exchange.response_started = True
        if not exchange.ended:
            chunk(data)

    def _on_head(
        self,
        exchange: ClientExchange,
        head: Callable[[HttpResponse], bool],
        response: HttpResponse,
    ) -> bool:
        exchange.response_started = True
        return exchange.ended or head(response)

    def _time_out(self, exchange: ClientExchange, seconds: float) -> None:
        """Fail an exchange whose response has not ended in time, and close its connection."""
        self._release_connection(exchange)
        self._fail(exchange, f"no complete response within {seconds:g} s")

    def _release_connection(self, exchange: ClientExchange) -> None:
        """Close the connection of a cancelled exchange, or remove it from the waiting ones."""
        pool = self._pools.get(exchange.request.address)
        if exchange.connection is not None:
            self._close_connection(exchange.connection)
        elif pool is not None and exchange in pool.waiting_exchanges:
            pool.waiting_exchanges.remove(exchange)
        if pool is not None:
            self._assign_waiting(exchange.request.address)

    def _close_connection(self, connection: HttpConnection) -> None:
        pool = self._pools[connection.address]
        self._exchanges_by_connection.pop(connection, None)
        self._connections_by_socket.pop(connection.socket, None)
        pool.connections.discard(connection)
        if connection in pool.idle_connections:
            pool.idle_connections.remove(connection)
        connection.close()

    def _fail(self, exchange: ClientExchange, detail: str, connection_lost: bool = False) -> None:
        """End an exchange with a failure that tells whether a byte of its request was written."""
        connection = exchange.connection
        if exchange.was_written or (connection is not None and connection.written_bytes > 0):
            failure = Failure(ResultCode.ENDPOINT_FAILED, detail, connection_lost=connection_lost)
            self._end_exchange(exchange, Err(failure))
            return
        code = ResultCode.ENDPOINT_UNREACHABLE
        self._end_exchange(exchange, Err(Failure(code, detail, proven_not_run=True)))

    def _end_exchange(
        self, exchange: ClientExchange, outcome: Result[HttpResponse, Failure]
    ) -> None:
        if exchange.end():
            exchange.done(outcome)
