"""Passes calls to the store on through a peer while this process cannot reach the store itself."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.http_clients import ClientExchange, HttpClient
from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.incoming_calls import IncomingCall
from pumicedeck.platform_interfaces import ResultCallback
from pumicedeck.results import Failure, ResultCode
from pumicedeck.store_paths import DIRECT, StorePath
from pumicedeck.topology import Address

_log = logger.bind(module="store_relays")

# Longer than any call to the store may wait for an answer.
_RELAY_SILENCE_SECONDS = 3.0
_UNAVAILABLE = 503
_NO_ANSWER = 504
# With these the store turns a process away; a peer may still be served.
_REFUSAL_STATUSES = (429, _UNAVAILABLE)
_REQUEST_HEADERS = ("content-type",)
_NOT_ANSWERED = Failure(ResultCode.ENDPOINT_FAILED, "the store did not answer on the direct path")


@dataclass(slots=True, eq=False)
class StoreExchange:
    """A call to the store on one path; `cancel` ends it without a result.

    `limit` ends a direct call early; `exchange` is None until it was sent.
    """

    request: HttpRequest
    done: ResultCallback[HttpResponse]
    peer: str
    sent_at: float
    on_cancelled: Callable[["StoreExchange"], None]
    exchange: ClientExchange | None = None
    limit: Timer | None = None
    ended: bool = False

    def cancel(self) -> None:
        """End the call because its caller has given it up."""
        if not self.ended:
            self.close()
            self.on_cancelled(self)

    def close(self) -> None:
        """Stop waiting for an answer."""
        self.ended = True
        if self.limit is not None:
            self.limit.cancel()
        if self.exchange is not None:
            self.exchange.cancel()


class RelayedStoreClient:
    """Sends calls to the store, directly or through the peer that the path chooses."""

    def __init__(
        self,
        client: HttpClient,
        peer_client: HttpClient,
        path: StorePath,
        peers: Callable[[], list[Address]],
    ) -> None:
        """Use `client` for the store and `peer_client` for the relays at the addresses `peers`."""
        self._client = client
        self._peer_client = peer_client
        self._path = path
        self._peers = peers
        self._direct: set[StoreExchange] = set()

    @property
    def timers(self) -> TimerQueue:
        """Return the timer queue of the calls."""
        return self._client.timers

    def close_idle_connections(self, address: Address) -> None:
        """Close the idle connections to the store, which may have been broken without notice."""
        self._client.close_idle_connections(address)

    def send(
        self,
        request: HttpRequest,
        done: ResultCallback[HttpResponse],
        silence_seconds: float | None = None,
    ) -> StoreExchange:
        """Send a call and pass its outcome to `done`, unless it is cancelled before."""
        now = self.timers.now()
        by_name = {str(address): address for address in self._peers()}
        peer = self._path.choose(now, list(by_name))
        call = StoreExchange(request, done, peer, now, self._on_cancelled)
        if peer == DIRECT:
            self._send_direct(call, silence_seconds)
        else:
            if request.idempotent and self._path.take_probe(now):
                self._probe(request, silence_seconds)
            relayed = replace(request, address=by_name[peer])
            call.exchange = self._peer_client.send(
                relayed, lambda outcome: self._on_relayed(call, outcome), None, silence_seconds
            )
        return call

    def _probe(self, request: HttpRequest, silence_seconds: float | None) -> None:
        """Send a copy of a read directly; its answer only shows that the path works again."""

        def on_answered(outcome: Result[HttpResponse, Failure]) -> None:
            if _is_answered(outcome):
                self._regain_direct_path()

        self._client.send(request, on_answered, None, silence_seconds)

    def _send_direct(self, call: StoreExchange, silence_seconds: float | None) -> None:
        self._direct.add(call)
        if not call.request.idempotent and self._peers():
            call.limit = self.timers.call_later(
                self._path.answer_limit_seconds, lambda: self._lose_direct_path("no answer")
            )
        call.exchange = self._client.send(
            call.request, lambda outcome: self._on_answered(call, outcome), None, silence_seconds
        )

    def _on_answered(self, call: StoreExchange, outcome: Result[HttpResponse, Failure]) -> None:
        if call.ended:
            return
        call.close()
        self._direct.discard(call)
        if not _is_answered(outcome):
            self._lose_direct_path("call failed or refused")
        elif call.request.idempotent:
            self._regain_direct_path()
        else:
            self._regain_direct_path(self.timers.now() - call.sent_at)
        call.done(outcome)

    def _on_relayed(self, call: StoreExchange, outcome: Result[HttpResponse, Failure]) -> None:
        if call.ended:
            return
        call.close()
        if not _is_answered(outcome) or outcome.ok_value.status == _NO_ANSWER:
            self._path.peer_failed(self.timers.now(), call.peer)
        call.done(outcome)

    def _on_cancelled(self, call: StoreExchange) -> None:
        """Record a call that was given up without an answer."""
        if call.peer != DIRECT:
            self._path.peer_failed(self.timers.now(), call.peer)
            return
        self._direct.discard(call)
        self._lose_direct_path("no answer before the time-out")

    def _regain_direct_path(self, commit_seconds: float | None = None) -> None:
        if not self._path.is_direct:
            _log.info("store reached directly again")
        self._path.direct_answered(commit_seconds)

    def _lose_direct_path(self, reason: str) -> None:
        """Send the next calls through peers; end the direct calls that are overdue as well.

        Without peers there is no other path, and calls wait as long as their time-outs allow.
        """
        if not self._peers():
            return
        now = self.timers.now()
        if self._path.is_direct:
            _log.info("store not reached directly; calling it through a peer", reason=reason)
        self._path.direct_failed(now)
        overdue = [
            call
            for call in self._direct
            if now - call.sent_at >= self._path.answer_limit_seconds - 1e-6
        ]
        for call in overdue:
            self._direct.discard(call)
            call.close()
        for call in overdue:
            call.done(Err(_NOT_ANSWERED))


def _is_answered(outcome: Result[HttpResponse, Failure]) -> bool:
    return isinstance(outcome, Ok) and outcome.ok_value.status not in _REFUSAL_STATUSES


class StoreRelay:
    """Passes calls of peers on to the store, as long as this process reaches it directly."""

    def __init__(self, client: HttpClient, store: Address, path: StorePath) -> None:
        """Send the calls with `client` to the address `store`."""
        self._client = client
        self._store = store
        self._path = path

    def handle(self, incoming: IncomingCall) -> None:
        """Pass one call on and its answer back."""
        if not self._path.is_direct:
            incoming.answer(_UNAVAILABLE, (), b"")
            return
        headers = tuple(
            (name, value) for name, value in incoming.headers if name.lower() in _REQUEST_HEADERS
        )
        is_read = incoming.method == "GET"
        request = HttpRequest(
            incoming.method, self._store, incoming.target, headers, incoming.body, is_read
        )

        def answer(outcome: Result[HttpResponse, Failure]) -> None:
            if isinstance(outcome, Err):
                proven = outcome.err_value.proven_not_run
                incoming.answer(_UNAVAILABLE if proven else _NO_ANSWER, (), b"")
                return
            incoming.answer(outcome.ok_value.status, (), outcome.ok_value.body)

        exchange = self._client.send(request, answer, None, _RELAY_SILENCE_SECONDS)
        incoming.on_caller_disconnected = exchange.cancel
