"""The gateway process: serves callers, forwards to endpoints and stores submissions.

All state that must survive a restart is in the store.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from loguru import logger
from result import Err

from pumicedeck.accounts.call_identifiers import CallIdentifier
from pumicedeck.call_figures import CallMetrics, CallSeries
from pumicedeck.call_forwarders import CallForwarder
from pumicedeck.clocks import TimerQueue
from pumicedeck.crash_reports import CrashReports
from pumicedeck.dialects import (
    CallerDialect,
    ForwardedCall,
    SubmissionDialect,
    SubmissionRequest,
)
from pumicedeck.gateway_drains import DrainPhase, DrainTimes, may_begin_call, next_drain_phase
from pumicedeck.gateway_metrics import GatewayMetrics
from pumicedeck.http_listeners import HttpListener
from pumicedeck.incoming_calls import CALLER_DISCONNECTED, IncomingCall
from pumicedeck.lease_keepers import LeaseKeeper
from pumicedeck.leases import LeaseHolder
from pumicedeck.limit_reports import LimitReports
from pumicedeck.peer_questions import PEER_PATH, PeerQuestions
from pumicedeck.process_figures import read_process_figures
from pumicedeck.results import Failure, ResultCode
from pumicedeck.route_tables import Route, RouteKind, RouteTable
from pumicedeck.scheduling.schedulers import Scheduler
from pumicedeck.store_clocks import StoreClock
from pumicedeck.store_feeds import StoreFeed
from pumicedeck.stream_records import StreamRecords
from pumicedeck.submission_answers import (
    JSON_TYPE,
    NO_ROUTE,
    NOT_READY,
    ROUTES_OUTDATED,
    SubmissionAnswers,
)
from pumicedeck.submission_intakes import SubmissionIntake
from pumicedeck.tasks import sleep, spawn
from pumicedeck.work_mirrors import WorkMirror

_log = logger.bind(module="gateways")

_NEAR_ROUND_TRIP_SECONDS = 0.015
_DELAY_SECONDS_PER_ROUND_TRIP_SECOND = 12.0
_MAX_DISTANCE_DELAY_SECONDS = 1.0
_SUFFICIENT_CORES = 0.8
_FEW_CORES_DELAY_SECONDS = 0.3

_NO_ROUTE = CallSeries("", "none")
_SUBMISSION_REQUESTS = CallSeries("", "submission_verb")
_ENDING = Failure(ResultCode.NOT_READY, "the gateway is stopping", proven_not_run=True)
_CUT_BY_DRAIN = Failure(ResultCode.OUTCOME_UNKNOWN, "unanswered when the gateway had to end")


@dataclass(frozen=True, slots=True)
class GatewayTimes:
    """Times in seconds.

    `retry_after_seconds` is sent with answers of status 429 and 503, `drain_retry_after_seconds`
    while the process ends, since other gateways serve at once. The store confirms the configuration
    once a second; one older than `max_configuration_age_seconds` may lack routes.
    """

    drain: DrainTimes = DrainTimes()
    drain_retry_after_seconds: float = 0.0
    drain_poll_seconds: float = 0.1
    watch_interval_seconds: float = 0.05
    retry_after_seconds: float = 0.5
    resource_log_interval_seconds: float = 10.0
    max_configuration_age_seconds: float = 1.5


@dataclass(slots=True)
class GatewayParts:
    """The parts that a gateway is composed of.

    `cores` is how many CPU cores it may use. With `delays_few_cores` a gateway with few of them
    takes over a lost lease later than others. `configuration_age_seconds` returns the time since
    the store confirmed the routes.
    """

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
    crashes: CrashReports
    limits: LimitReports
    stream_records: StreamRecords
    feeds: tuple[StoreFeed, ...]
    work_feed: StoreFeed
    record_store_contact: Callable[[], None]
    caller_dialect: CallerDialect
    identifier: CallIdentifier
    configuration_age_seconds: Callable[[], float]
    submission_dialect: SubmissionDialect
    finish: Callable[[], None]
    check_decoding: Callable[[bytes], Failure | None]
    cores: float = 1.0
    delays_few_cores: bool = True
    metrics: HttpListener | None = None
    relay: HttpListener | None = None
    metric_lines: Callable[[], list[str]] = lambda: []


def lease_extra_acquisition_delay_seconds(round_trip_seconds: float, cores: float) -> float:
    """Return how many seconds longer this process waits before it takes over an expired lease.

    The delay lets processes acquire the lease first that are nearer to the store or have more CPU.
    A scheduler that handles thousands of events per second needs a third of a core on the largest
    sites, and each of its commits and adoptions waits for a round trip to the store.

    `round_trip` is the round trip to the store in seconds, `cores` how many CPU cores this process
    may use.
    """
    distance_delay = min(
        _MAX_DISTANCE_DELAY_SECONDS,
        max(0.0, round_trip_seconds - _NEAR_ROUND_TRIP_SECONDS)
        * _DELAY_SECONDS_PER_ROUND_TRIP_SECOND,
    )
    return distance_delay + (_FEW_CORES_DELAY_SECONDS if cores < _SUFFICIENT_CORES else 0.0)


class Gateway:
    """Serves callers' requests, the balancer's readiness checks, peers and readers of metrics."""

    def __init__(self, parts: GatewayParts, times: GatewayTimes) -> None:
        """Create a gateway that is inactive until `start`."""
        self._parts = parts
        self._timers = parts.timers
        self._times = times
        self._routes: RouteTable | None = None
        self._drain_phase: DrainPhase | None = None
        self._drain_started_at = 0.0
        self._open_calls: dict[IncomingCall, ForwardedCall] = {}
        self._was_ready = False
        self._calls = CallMetrics()
        self._submissions = SubmissionAnswers(
            parts.timers,
            parts.clock,
            parts.intake,
            parts.submission_dialect,
            self._refuse,
            parts.check_decoding,
        )
        self._metrics = GatewayMetrics(
            parts.timers,
            self._calls,
            parts.scheduler,
            parts.lease_holder,
            parts.feeds,
            lambda: self._routes,
            parts.metric_lines,
        )

    @property
    def caller_listener(self) -> HttpListener:
        """Return the listener for callers."""
        return self._parts.callers

    @property
    def readiness_listener(self) -> HttpListener:
        """Return the listener for the balancer and peers."""
        return self._parts.readiness

    @property
    def routes(self) -> RouteTable | None:
        """Return the installed routes, None before the first configuration."""
        return self._routes

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send callers to this gateway."""
        loaded = all(feed.is_loaded for feed in self._parts.feeds)
        return loaded and self._routes is not None and self._drain_phase is None

    def install_routes(self, routes: RouteTable) -> None:
        """Install a version of the routes unless the same or a newer one is installed."""
        if self._routes is not None and routes.version <= self._routes.version:
            return
        known_conflicts = self._routes.key_conflicts if self._routes is not None else ()
        self._routes = routes
        accounts = {} if routes.accounts is None else {"accounts": len(routes.accounts.accounts)}
        _log.info("routes installed", version=routes.version, routes=len(routes.routes), **accounts)
        for owner, other in routes.key_conflicts:
            if (owner, other) not in known_conflicts:
                _log.warning("one key of two accounts", account=owner, other=other)

    def start(self) -> None:
        """Start the listeners and the store's feeds."""
        parts = self._parts
        parts.readiness.handle = self.answer_readiness
        parts.callers.handle = self.handle
        parts.callers.refuse = self.refuse_incomplete
        parts.readiness.start()
        parts.callers.start()
        if parts.metrics is not None:
            parts.metrics.handle = self.answer_readiness
            _start_optional(parts.metrics, "metrics")
        if parts.relay is not None:
            _start_optional(parts.relay, "calls of peers to the store")
        for feed in parts.feeds:
            feed.start()
        parts.crashes.start()
        parts.limits.start()
        parts.stream_records.start()
        spawn(self._watch_readiness(), "gateway watch")
        spawn(self._log_resource_usage(), "gateway figures")
        _log.info(
            "started",
            callers=str(parts.callers.address),
            max_connections=parts.callers.settings.connections,
            client_memory=parts.callers.budget.limit_bytes,
        )

    def drain(self) -> None:
        """Become unready; call `finish` once open calls have ended or time has run out."""
        if self._drain_phase is not None:
            return
        self._drain_phase = DrainPhase.SERVING
        self._drain_started_at = self._timers.now()
        _log.info("stopping", open_calls=self._parts.callers.open_calls)
        self._parts.callers.drain()
        spawn(self._drain_and_stop(), "gateway leave")

    def close(self) -> None:
        """Close the feeds and all sockets."""
        for feed in self._parts.feeds:
            feed.close()
        self._parts.peers.close()
        self._parts.callers.close()
        self._parts.readiness.close()
        for listener in (self._parts.metrics, self._parts.relay):
            if listener is not None:
                listener.close()

    def answer_readiness(self, incoming: IncomingCall) -> None:
        """Answer the balancer, peers and readers of metrics."""
        if incoming.target.startswith("/metrics"):
            text = self._metrics.text(self.is_ready, self._parts.callers.open_calls)
            incoming.answer(200, (("Content-Type", "text/plain"),), text.encode())
            return
        if incoming.target == PEER_PATH:
            incoming.answer(200, JSON_TYPE, self._parts.peers.answer())
            return
        ready = self.is_ready
        incoming.answer(200 if ready else 503, JSON_TYPE, json.dumps(ready).encode())

    def handle(self, incoming: IncomingCall) -> None:
        """Serve a caller's request."""
        call = self._parts.caller_dialect.decode_request(incoming)
        self._record_on_end(incoming, call, _NO_ROUTE)
        if self._drain_phase in (DrainPhase.REFUSING, DrainPhase.ENDED):
            self._refuse_while_ending(incoming, call)
            return
        self._open_calls[incoming] = call
        if self._routes is None:
            self._refuse(incoming, call, NOT_READY)
            return
        route = self._routes.find(incoming.host, call.path)
        submission_request = self._parts.submission_dialect.decode_submission_request(incoming)
        if submission_request is not None and self._asks_for_submission(
            submission_request, incoming.host, route
        ):
            self._serve_submission_request(incoming, call, submission_request)
            return
        if route is None:
            if not self._answer_repeated_submission(incoming, call):
                self._refuse(incoming, call, self._missing_route_failure())
            return
        self._record_on_end(incoming, call, CallSeries(route.name, route.kind.value))
        identified = self._parts.identifier.identify(call, self._routes.accounts, route)
        if isinstance(identified, Err):
            self._refuse(incoming, call, identified.err_value)
            return
        call, route = identified.ok_value
        self._open_calls[incoming] = call
        if route.kind is RouteKind.SUBMISSION:
            spawn(
                self._submissions.accept(incoming, call, route, self._routes),
                f"submission {call.request_id}",
                lambda: self._parts.forwarder.fail(incoming, call),
            )
        elif self._may_begin(incoming, call, route):
            self._parts.forwarder.handle(incoming, call, route)
        else:
            self._refuse_while_ending(incoming, call)

    def refuse_incomplete(self, incoming: IncomingCall, failure: Failure) -> None:
        """Refuse a request of which only the head was received."""
        call = self._parts.caller_dialect.decode_request(incoming)
        self._record_on_end(incoming, call, _NO_ROUTE)
        self._parts.forwarder.refuse(incoming, call, failure, failure.retry_after)

    def _missing_route_failure(self) -> Failure:
        """Return why a request without a route is refused.

        Callers do not repeat a request after NO_ROUTE, and other gateways may know a newer route.
        """
        age = self._parts.configuration_age_seconds()
        return NO_ROUTE if age <= self._times.max_configuration_age_seconds else ROUTES_OUTDATED

    def _may_begin(self, incoming: IncomingCall, call: ForwardedCall, route: Route) -> bool:
        """Return whether a call ends before a drain does, if there is one."""
        if self._drain_phase is None:
            return True
        now = self._timers.now()
        seconds = self._parts.forwarder.deadline(incoming, call, route) - now
        elapsed = now - self._drain_started_at
        return may_begin_call(self._drain_phase, elapsed, seconds, self._times.drain)

    def _refuse_while_ending(self, incoming: IncomingCall, call: ForwardedCall) -> None:
        self._parts.forwarder.refuse(incoming, call, _ENDING, self._times.drain_retry_after_seconds)

    def _record_on_end(
        self, incoming: IncomingCall, call: ForwardedCall, series: CallSeries
    ) -> None:
        """Record the call under `series` when it ends, with the account that it has by then."""

        def record_end(outcome: str) -> None:
            ended_call = self._open_calls.pop(incoming, call)
            waited = self._timers.now() - incoming.arrived_at
            self._calls.record_end(series, outcome, waited, ended_call.account)
            if outcome == CALLER_DISCONNECTED:
                _log.info(
                    "caller left",
                    **ended_call.log_fields,
                    route=series.route,
                    begun=incoming.is_head_sent,
                    waited=round(waited, 3),
                )

        incoming.on_end = record_end

    def _asks_for_submission(
        self, submission_request: SubmissionRequest, host: str, route: Route | None
    ) -> bool:
        """Return whether a request whose path names a submission means one.

        Submissions outlive their routes, and requests about them have none of their own. Without a
        submission route at the host, another route for the path goes before unknown submissions.
        """
        if route is None or self._serves_submissions(host):
            return True
        return self._submissions.knows(submission_request.submission_id, host)

    def _serve_submission_request(
        self, incoming: IncomingCall, call: ForwardedCall, submission_request: SubmissionRequest
    ) -> None:
        host = incoming.host
        call, reader = self._parts.identifier.identify_reader(call, self._routes, host)
        self._open_calls[incoming] = call
        self._record_on_end(incoming, call, _SUBMISSION_REQUESTS)
        only_host = None if self._serves_submissions(host) else host
        spawn(
            self._submissions.serve(incoming, call, submission_request, reader, only_host),
            "submission call",
            lambda: self._parts.forwarder.fail(incoming, call),
        )

    def _answer_repeated_submission(self, incoming: IncomingCall, call: ForwardedCall) -> bool:
        """Answer a submission that was accepted before its route was removed, if it is one."""
        call, reader = self._parts.identifier.identify_reader(call, self._routes, incoming.host)
        return self._submissions.answer_repeated(incoming, call, reader)

    def _serves_submissions(self, host: str) -> bool:
        return any(
            route.kind is RouteKind.SUBMISSION and route.host.lower() == host
            for route in self._routes.routes
        )

    def _refuse(self, incoming: IncomingCall, call: ForwardedCall, failure: Failure) -> None:
        status = failure.code.info.http_status
        retry_after = self._times.retry_after_seconds if status in (429, 503) else None
        self._parts.forwarder.refuse(incoming, call, failure, retry_after)

    async def _watch_readiness(self) -> None:
        """Record the store's last contact, log readiness, and compete for the lease once ready."""
        lease_requested = False
        while True:
            await sleep(self._timers, self._times.watch_interval_seconds)
            self._parts.record_store_contact()
            self._parts.mirror.current_as_of = self._parts.work_feed.complete_as_of
            if self.is_ready is not self._was_ready:
                self._was_ready = self.is_ready
                _log.info("readiness changed", ready=self._was_ready)
            if self.is_ready and not lease_requested:
                lease_requested = True
                delay_seconds = lease_extra_acquisition_delay_seconds(
                    self._parts.work_feed.round_trip_seconds,
                    self._parts.cores if self._parts.delays_few_cores else inf,
                )
                self._parts.lease_holder.extra_acquisition_delay_seconds = delay_seconds
                self._timers.call_later(delay_seconds, self._acquire_lease)
                self._parts.peers.start()

    def _acquire_lease(self) -> None:
        if self._drain_phase is None:
            self._parts.lease.acquire()

    async def _log_resource_usage(self) -> None:
        while True:
            await sleep(self._timers, self._times.resource_log_interval_seconds)
            usage = read_process_figures()
            _log.info(
                "figures",
                cpu_seconds=round(usage.cpu_seconds, 3),
                resident_bytes=usage.resident_bytes,
                submissions=len(self._parts.mirror.views),
                running_items=self._parts.scheduler.running_items,
            )

    async def _drain_and_stop(self) -> None:
        started = self._drain_started_at
        if self._parts.scheduler.is_active:
            await self._parts.scheduler.hand_over()
            self._parts.scheduler.stop("the process ends")
        self._parts.lease.release()
        phase_started = started
        while self._drain_phase is not DrainPhase.ENDED:
            await sleep(self._timers, self._times.drain_poll_seconds)
            now = self._timers.now()
            phase = next_drain_phase(
                self._drain_phase,
                now - started,
                now - phase_started,
                self._parts.callers.open_calls,
                self._parts.callers.connections,
                self._times.drain,
            )
            if phase is not self._drain_phase:
                phase_started = now
                self._enter_drain_phase(phase)
        _log.info("stopped", open_calls=len(self._open_calls))
        self._end_open_calls()
        self._parts.callers.close_idle_connections()
        self._parts.finish()

    def _enter_drain_phase(self, phase: DrainPhase) -> None:
        """Close or refuse what the phase no longer serves."""
        self._drain_phase = phase
        if phase is DrainPhase.CLOSING_IDLE:
            self._parts.callers.close_idle_connections()
        elif phase is DrainPhase.REFUSING:
            self._parts.callers.stop_accepting()

    def _end_open_calls(self) -> None:
        """Give a final answer to the calls that are still open; their work is cancelled."""
        for incoming, call in tuple(self._open_calls.items()):
            incoming.on_caller_disconnected()
            if incoming.is_head_sent:
                incoming.abort()
            else:
                self._parts.forwarder.refuse(incoming, call, _CUT_BY_DRAIN, None)


def _start_optional(listener: HttpListener, purpose: str) -> None:
    """Start a listener without which the gateway can serve its callers."""
    try:
        listener.start()
    except OSError as error:
        _log.warning("cannot listen at an optional port", purpose=purpose, error=str(error))
