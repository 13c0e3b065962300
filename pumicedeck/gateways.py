"""A gateway: callers on one side, endpoints on the other, everything that lasts in the store."""

import json
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger
from result import Err, Ok

from pumicedeck.call_figures import CallFigures, CallSeries
from pumicedeck.call_forwarders import CallForwarder
from pumicedeck.clocks import TimerQueue
from pumicedeck.dialects import (
    CallerDialect,
    EndSubmission,
    ForwardedCall,
    ReadItem,
    ReadResults,
    SubmissionDialect,
    SubmissionRequest,
)
from pumicedeck.gateway_metrics import GatewayMetrics
from pumicedeck.http_listeners import CALLER_LEFT, HttpListener, IncomingCall
from pumicedeck.lease_keepers import LeaseKeeper
from pumicedeck.leases import LeaseHolder
from pumicedeck.peer_questions import PEER_PATH, PeerQuestions
from pumicedeck.process_figures import read_process_figures
from pumicedeck.results import Failure, ResultCode
from pumicedeck.route_tables import Route, RouteKind, RouteTable
from pumicedeck.schedulers import Scheduler
from pumicedeck.store_clocks import StoreClock
from pumicedeck.store_feeds import StoreFeed
from pumicedeck.submission_intakes import SubmissionIntake
from pumicedeck.tasks import sleep, spawn
from pumicedeck.work_mirrors import WorkMirror

_log = logger.bind(module="gateways")

_NEAR_SECONDS = 0.015
_HANDICAP_FACTOR = 12.0
_MOST_HANDICAP_SECONDS = 1.0
_ENOUGH_CORES = 0.8
_WEAK_HANDICAP_SECONDS = 0.3

_JSON_TYPE = (("Content-Type", "application/json"),)
_BYTES_TYPE = (("Content-Type", "application/octet-stream"),)
_NO_ROUTE = CallSeries("", "none")
_SUBMISSION_VERBS = CallSeries("", "submission_verb")
_NOT_READY = Failure(ResultCode.NOT_READY, "no configuration yet", proven_not_run=True)


@dataclass(frozen=True, slots=True)
class GatewayTimes:
    """Times in seconds.

    After a signal to stop, the balancer takes `notice_seconds` to send new connections elsewhere;
    the process ends `latest_seconds` after the signal at the latest.
    """

    balancer_notice_seconds: float = 2.3
    max_drain_seconds: float = 7.4
    drain_poll_seconds: float = 0.1
    watch_interval_seconds: float = 0.05
    retry_after_seconds: float = 0.5
    figures_interval_seconds: float = 10.0


@dataclass(slots=True)
class GatewayParts:
    """What a gateway is made of."""

    timers: TimerQueue
    callers: HttpListener
    readiness: HttpListener
    forwarder: CallForwarder
    intake: SubmissionIntake
    scheduler: Scheduler
    lease: LeaseKeeper
    lease_holder: LeaseHolder
    peers: PeerQuestions
    mirror: WorkMirror
    clock: StoreClock
    feeds: tuple[StoreFeed, ...]
    work_feed: StoreFeed
    record_store_contact: Callable[[], None]
    caller_dialect: CallerDialect
    submission_dialect: SubmissionDialect
    finish: Callable[[], None]
    cores: float = 1.0
    metrics: HttpListener | None = None


def lease_extra_acquisition_delay_seconds(round_trip: float, cores: float) -> float:
    """Return the seconds by which a process leaves the lease to nearer and stronger ones.

    Answers a scheduler that carries thousands of events a second: it needs a third of a core on the
    largest sites, and each commit and adoption waits for the store's round trip.
    """
    far = min(_MOST_HANDICAP_SECONDS, max(0.0, round_trip - _NEAR_SECONDS) * _HANDICAP_FACTOR)
    return far + (_WEAK_HANDICAP_SECONDS if cores < _ENOUGH_CORES else 0.0)


class Gateway:
    """Takes callers' requests and answers the balancer."""

    def __init__(self, parts: GatewayParts, times: GatewayTimes) -> None:
        """Do nothing until `start`."""
        self._parts = parts
        self._timers = parts.timers
        self._times = times
        self._routes: RouteTable | None = None
        self._draining = False
        self._was_ready = False
        self._calls = CallFigures()
        self._metrics = GatewayMetrics(
            parts.timers,
            self._calls,
            parts.scheduler,
            parts.lease_holder,
            parts.feeds,
            lambda: self._routes,
        )

    @property
    def caller_listener(self) -> HttpListener:
        """Return where callers are served."""
        return self._parts.callers

    @property
    def readiness_listener(self) -> HttpListener:
        """Return where the balancer and peers are answered."""
        return self._parts.readiness

    @property
    def routes(self) -> RouteTable | None:
        """Return the routes in force."""
        return self._routes

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        loaded = all(feed.is_loaded for feed in self._parts.feeds)
        return loaded and self._routes is not None and not self._draining

    def install_routes(self, routes: RouteTable) -> None:
        """Put a version of the routes in force; an older one is ignored."""
        if self._routes is not None and routes.version <= self._routes.version:
            return
        self._routes = routes
        _log.info("routes installed", version=routes.version, routes=len(routes.routes))

    def start(self) -> None:
        """Listen and follow the store."""
        parts = self._parts
        parts.readiness.handle = self.answer_readiness
        parts.callers.handle = self.handle
        parts.readiness.start()
        parts.callers.start()
        if parts.metrics is not None:
            parts.metrics.handle = self.answer_readiness
            parts.metrics.start()
        for feed in parts.feeds:
            feed.start()
        spawn(self._watch(), "gateway watch")
        spawn(self._figures(), "gateway figures")
        _log.info("started", callers=str(parts.callers.address))

    def drain(self) -> None:
        """Stop taking new work and end once what is open is answered."""
        if self._draining:
            return
        self._draining = True
        _log.info("stopping", open_calls=self._parts.callers.open_calls)
        self._parts.callers.drain()
        spawn(self._leave(), "gateway leave")

    def close(self) -> None:
        """Release the sockets."""
        for feed in self._parts.feeds:
            feed.close()
        self._parts.peers.close()
        self._parts.callers.close()
        self._parts.readiness.close()
        if self._parts.metrics is not None:
            self._parts.metrics.close()

    def answer_readiness(self, incoming: IncomingCall) -> None:
        """Answer the balancer and readers of metrics."""
        if incoming.target.startswith("/metrics"):
            text = self._metrics.text(self.is_ready, self._parts.callers.open_calls)
            incoming.answer(200, (("Content-Type", "text/plain"),), text.encode())
            return
        if incoming.target == PEER_PATH:
            incoming.answer(200, _JSON_TYPE, self._parts.peers.answer())
            return
        ready = self.is_ready
        incoming.answer(200 if ready else 503, _JSON_TYPE, json.dumps(ready).encode())

    def handle(self, incoming: IncomingCall) -> None:
        """Serve one request."""
        call = self._parts.caller_dialect.call(incoming)
        self._count(incoming, call, _NO_ROUTE)
        if self._routes is None:
            self._refuse(incoming, call, _NOT_READY)
            return
        verb = self._parts.submission_dialect.verb(incoming)
        if verb is not None and self._serves_submissions(incoming.host):
            self._count(incoming, call, _SUBMISSION_VERBS)
            spawn(self._serve_verb(incoming, call, verb), "submission call")
            return
        route = self._routes.find(incoming.host, call.path)
        if route is None:
            self._refuse(incoming, call, Failure(ResultCode.NO_ROUTE, "no route", None, True))
            return
        self._count(incoming, call, CallSeries(route.name, route.kind.value))
        if route.kind is RouteKind.SUBMISSION:
            spawn(self._accept(incoming, call, route), f"submission {call.request_id}")
        else:
            self._parts.forwarder.handle(incoming, call, route)

    def _count(self, incoming: IncomingCall, call: ForwardedCall, series: CallSeries) -> None:
        """Count the call under `series` when it ends."""

        def record_end(outcome: str) -> None:
            waited = self._timers.now() - incoming.arrived
            self._calls.record_end(series, outcome, waited)
            if outcome == CALLER_LEFT:
                _log.info(
                    "caller left",
                    request=call.request_id,
                    route=series.route,
                    begun=incoming.has_begun,
                    waited=round(waited, 3),
                )

        incoming.on_end = record_end

    def _serves_submissions(self, host: str) -> bool:
        return any(
            route.kind is RouteKind.SUBMISSION and route.host.lower() == host
            for route in self._routes.routes
        )

    def _refuse(self, incoming: IncomingCall, call: ForwardedCall, failure: Failure) -> None:
        status = failure.code.info.http_status
        retry = self._times.retry_after_seconds if status in (429, 503) else None
        self._parts.forwarder.refuse(incoming, call, failure, retry)

    async def _accept(self, incoming: IncomingCall, call: ForwardedCall, route: Route) -> None:
        if not self._parts.clock.is_set:
            self._refuse(incoming, call, _NOT_READY)
            return
        accepted = self._parts.clock.now()
        read = self._parts.submission_dialect.submission(call, route.name, accepted)
        if isinstance(read, Err):
            self._refuse(incoming, call, read.err_value)
            return
        outcome = await self._parts.intake.accept(read.ok_value)
        if isinstance(outcome, Err):
            self._refuse(incoming, call, outcome.err_value)
            return
        head = read.ok_value.head
        _log.info(
            "submission accepted",
            submission=head.submission_id,
            step=head.step,
            items=head.total,
            seconds=round(self._timers.now() - incoming.arrived, 3),
        )
        incoming.answer(202, _JSON_TYPE, b"{}")

    async def _serve_verb(
        self, incoming: IncomingCall, call: ForwardedCall, verb: SubmissionRequest
    ) -> None:
        intake = self._parts.intake
        match verb:
            case ReadResults(submission_id, after, wait):
                outcome = await intake.results(submission_id, after, wait)
                if isinstance(outcome, Ok):
                    total, results = outcome.ok_value
                    documents = [result.document() for result in results]
                    body = self._parts.submission_dialect.results(total, after, documents)
                    incoming.answer(200, _JSON_TYPE, body)
            case ReadItem(submission_id, item_id):
                outcome = await intake.item_body(submission_id, item_id)
                if isinstance(outcome, Ok):
                    incoming.answer(200, _BYTES_TYPE, outcome.ok_value)
            case EndSubmission(submission_id):
                outcome = await intake.end(submission_id)
                if isinstance(outcome, Ok):
                    incoming.answer(200, _JSON_TYPE, b"{}")
        if isinstance(outcome, Err):
            self._refuse(incoming, call, outcome.err_value)

    async def _watch(self) -> None:
        """Note the store's answers, and want the lease once all is known."""
        wanted = False
        while True:
            await sleep(self._timers, self._times.watch_interval_seconds)
            self._parts.record_store_contact()
            self._parts.mirror.current_as_of = self._parts.work_feed.last_contact_at
            if self.is_ready is not self._was_ready:
                self._was_ready = self.is_ready
                _log.info("readiness changed", ready=self._was_ready)
            if self.is_ready and not wanted:
                wanted = True
                extra_acquisition_delay_seconds = lease_extra_acquisition_delay_seconds(
                    self._parts.work_feed.round_trip, self._parts.cores
                )
                self._parts.lease_holder.extra_acquisition_delay_seconds = (
                    extra_acquisition_delay_seconds
                )
                self._timers.call_later(extra_acquisition_delay_seconds, self._want_lease)
                self._parts.peers.start()

    def _want_lease(self) -> None:
        if not self._draining:
            self._parts.lease.acquire()

    async def _figures(self) -> None:
        while True:
            await sleep(self._timers, self._times.figures_interval_seconds)
            figures = read_process_figures()
            _log.info(
                "figures",
                cpu_seconds=round(figures.cpu_seconds, 3),
                resident_bytes=figures.resident_bytes,
                submissions=len(self._parts.mirror.views),
                running_items=self._parts.scheduler.running_items,
            )

    async def _leave(self) -> None:
        started = self._timers.now()
        if self._parts.scheduler.is_active:
            await self._parts.scheduler.hand_over()
            self._parts.scheduler.stop("the process ends")
        self._parts.lease.release()
        closed = False
        while self._timers.now() - started < self._times.max_drain_seconds:
            await sleep(self._timers, self._times.drain_poll_seconds)
            if self._timers.now() - started < self._times.balancer_notice_seconds:
                continue
            if not closed:
                closed = True
                self._parts.callers.close_idle()
            elif not self._parts.callers.open_calls:
                break
        _log.info("stopped", open_calls=self._parts.callers.open_calls)
        self._parts.finish()
