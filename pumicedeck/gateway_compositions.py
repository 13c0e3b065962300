"""Composition root of the gateway process on the deployment platform."""

import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

from circuits import Component
from loguru import logger
from result import Err, Ok, Result

from pumicedeck.accounts.call_identifiers import CallIdentifier
from pumicedeck.accounts.identities import Identity
from pumicedeck.allocators import return_large_blocks_when_freed
from pumicedeck.call_attempts import CallAttempts
from pumicedeck.call_figures import budget_lines, gauge_line
from pumicedeck.call_forwarders import CallForwarder
from pumicedeck.clocks import TimerQueue
from pumicedeck.crash_reports import CrashReports
from pumicedeck.decision_settings import choose_decision_settings
from pumicedeck.direct_endpoints import EndpointDirectory
from pumicedeck.duties.usage_duties import UsageParts, build_usage_duty
from pumicedeck.endpoint_callers import EndpointCaller
from pumicedeck.endpoint_lists import EndpointList
from pumicedeck.endpoint_selections import EndpointSelector
from pumicedeck.gateway_drains import DrainTimes
from pumicedeck.gateway_listeners import (
    build_client_budget,
    build_decoding_check,
    build_listeners,
    build_own_budget,
)
from pumicedeck.gateway_settings import GatewaySettings
from pumicedeck.gateways import Gateway, GatewayParts, GatewayTimes
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import MIB, HttpClientSettings
from pumicedeck.lease_keepers import LeaseKeeper
from pumicedeck.leases import LeaseAcquired, LeaseHolder, LeaseSettings
from pumicedeck.limit_reports import LimitReports
from pumicedeck.log_writers import LogWriter
from pumicedeck.logs import set_up_event_logs
from pumicedeck.operator_configurations import OperatorConfiguration
from pumicedeck.partitioned_stores import StoredRow
from pumicedeck.partitioned_tables import PartitionedTableStore
from pumicedeck.peer_checks import PeerCheck
from pumicedeck.peer_questions import PeerQuestions
from pumicedeck.platform.caller_calls import PlatformCallerDialect, PlatformSubmissionDialect
from pumicedeck.platform.cloud_calls import PlatformUsageDialect
from pumicedeck.platform.endpoint_calls import PlatformEndpointDialect
from pumicedeck.platform.registrations import (
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    EndpointDecoder,
    decode_operator_row,
)
from pumicedeck.platform.stores import HttpPartitionedStore
from pumicedeck.processes import Process
from pumicedeck.request_limiters import RequestLimiter
from pumicedeck.request_quarantines import RequestQuarantine
from pumicedeck.results import Failure, ResultCode
from pumicedeck.scheduling.engine_orders import EngineOrders
from pumicedeck.scheduling.length_estimates import LengthEstimates
from pumicedeck.scheduling.reward_calls import RewardCaller
from pumicedeck.scheduling.route_freshness import RouteFreshness
from pumicedeck.scheduling.scheduler_parts import SchedulerParts
from pumicedeck.scheduling.schedulers import Scheduler
from pumicedeck.scheduling.submission_sweeps import SubmissionSweep, SweepSettings
from pumicedeck.settings_files import load_settings
from pumicedeck.store_clocks import StoreClock
from pumicedeck.store_feeds import FeedSettings, StoreFeed
from pumicedeck.store_paths import StorePath
from pumicedeck.store_relays import RelayedStoreClient, StoreRelay
from pumicedeck.stream_records import StreamRecords
from pumicedeck.submission_intakes import SubmissionIntake
from pumicedeck.tasks import sleep, spawn
from pumicedeck.topology import Address, FailureDomain
from pumicedeck.work_mirrors import WORK_TABLE, WorkMirror

SCHEDULER_LEASE_NAME = "scheduler"
LEASE_SETTINGS = LeaseSettings(
    duration=1.1, margin=0.2, renew_after=0.3, retry=0.12, observe_every=0.2
)
LEASE_CALL_TIMEOUT_SECONDS = 0.8
STORE_CLIENT_SETTINGS = HttpClientSettings(
    connect_seconds=0.8,
    max_idle_seconds=8.0,
    acknowledgement_timeout_seconds=2.0,
    connections_per_address=24,
)
ENDPOINT_CLIENT_SETTINGS = HttpClientSettings(
    connect_seconds=0.4,
    max_idle_seconds=12.0,
    acknowledgement_timeout_seconds=2.0,
    connections_per_address=40,
    body_bytes=8 * MIB,
    received_bytes=32 * MIB,
    accepts_close_delimited_answers=True,
)
PEER_CLIENT_SETTINGS = HttpClientSettings(
    connect_seconds=0.25,
    max_idle_seconds=2.0,
    acknowledgement_timeout_seconds=1.0,
    connections_per_address=2,
)
# Each feed's waiting read holds a connection; commits must not queue behind them.
RELAY_CLIENT_SETTINGS = HttpClientSettings(
    connect_seconds=0.25,
    max_idle_seconds=4.0,
    acknowledgement_timeout_seconds=1.0,
    connections_per_address=16,
)
CLOUD_CLIENT_SETTINGS = HttpClientSettings(
    connect_seconds=0.8,
    max_idle_seconds=12.0,
    acknowledgement_timeout_seconds=2.0,
    connections_per_address=2,
)
SETTINGS_POLL_SECONDS = 1.0

_log = logger.bind(module="gateway_compositions")


@dataclass(frozen=True, slots=True)
class RunningGateway:
    """A composed gateway; `close` closes the sockets that `start` opened."""

    start: Callable[[], None]
    drain: Callable[[], None]
    close: Callable[[], None]
    gateway: Gateway


def boot_clock_seconds() -> float:
    """Return the seconds of a clock that also advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def build_gateway(
    settings: GatewaySettings, root: Component, timers: TimerQueue, finish: Callable[[], None]
) -> RunningGateway:
    """Compose a gateway whose sockets are served by `root`.

    `finish` is called once the gateway has drained.
    """
    random = Random(f"{settings.vm}/{time.time_ns()}")
    home = FailureDomain(settings.failure_domain, settings.region)
    decisions = choose_decision_settings(settings.mechanisms)
    budget = build_client_budget(settings.machine, timers)
    own_budget = build_own_budget(settings.machine, timers)
    store_client = HttpClient(timers, STORE_CLIENT_SETTINGS, own_budget).register(root)
    endpoint_client = HttpClient(timers, ENDPOINT_CLIENT_SETTINGS, budget).register(root)
    mirror = WorkMirror()
    path = StorePath()
    relay_client = HttpClient(timers, RELAY_CLIENT_SETTINGS, own_budget).register(root)
    store = HttpPartitionedStore(
        RelayedStoreClient(
            store_client, relay_client, path, lambda: _relay_addresses(mirror, settings)
        ),
        settings.store.address,
        settings.store.call_seconds,
        settings.store.longest_call_seconds,
    )
    clock = StoreClock(timers)
    directory = EndpointDirectory(
        home,
        random,
        decisions.avoids_failed,
        decisions.observes_limits,
        decisions.observes_software,
    )
    endpoint_list = EndpointList(
        timers,
        directory,
        EndpointDecoder(settings.regions).decode,
    )
    crashes = CrashReports(
        timers,
        store,
        clock,
        RequestQuarantine(decisions.quarantine),
        sweeps=lambda: scheduler.is_active,
    )
    limits = LimitReports(timers, store, directory, sweeps=lambda: scheduler.is_active)
    endpoint_caller = EndpointCaller(
        timers,
        endpoint_client,
        PlatformEndpointDialect(
            has_accounts=lambda: gateway.routes is not None and gateway.routes.accounts is not None
        ),
        directory,
        crashes.record_answer,
        limits.record_change,
    )
    limiter = RequestLimiter(timers, store, clock, directory, settings.vm, lambda: mirror.members)
    selector = EndpointSelector(timers, directory, limiter)
    configuration = OperatorConfiguration(
        decode_operator_row,
        install_routes=lambda routes: gateway.install_routes(routes),
        # Wakes the scheduler, which has submissions wait for routes and orders loads of versions.
        on_change=mirror.changed.notify,
        is_scheduling=lambda: scheduler.is_active,
    )
    incarnation_prefix = f"{settings.vm}/"
    incarnation = f"{incarnation_prefix}{random.getrandbits(48):012x}"
    lease_holder = LeaseHolder(
        SCHEDULER_LEASE_NAME,
        incarnation,
        LEASE_SETTINGS,
        incarnation_prefix,
        store_now=clock.now,
        announcement=decisions.announcement,
    )
    scheduler = Scheduler(
        SchedulerParts(
            timers=timers,
            store=store,
            clock=clock,
            mirror=mirror,
            directory=directory,
            caller=endpoint_caller,
            rewards=RewardCaller(timers, endpoint_caller, selector, random),
            orders=EngineOrders(
                timers,
                endpoint_caller,
                limiter,
                lease_holder,
                lambda name: lease.announce_orders(name),
                settings.vm,
            ),
            limiter=limiter,
            routes=lambda: gateway.routes,
            freshness=RouteFreshness(
                timers.now,
                lambda: gateway.routes,
                lambda: operator_feed.complete_as_of,
                lambda: operator_feed.read_soon(),
            ),
            announced_versions=configuration.announced_versions,
            holder=settings.vm,
            home=home,
            may_claim=lambda: lease_holder.holds(timers.now()),
            sweep=SubmissionSweep(
                timers,
                store,
                clock,
                mirror,
                SweepSettings(status_seconds=settings.promises.status_seconds),
            ),
            plan=decisions.plan,
            shares=decisions.shares,
            moves=decisions.moves,
            queue=decisions.queue,
            intervals=decisions.intervals,
            lengths=LengthEstimates(decisions.learns_lengths),
            adoption=decisions.adoption,
        ),
        decisions.scheduler,
    )

    def acquired(lease: LeaseAcquired) -> None:
        scheduler.activate(lease.fencing, lease.predecessor, lease.orders_until)

    lease = LeaseKeeper(
        lease_holder,
        timers,
        PartitionedTableStore(store),
        acquired,
        LEASE_CALL_TIMEOUT_SECONDS,
        on_other_holder=lambda other: scheduler.stop(f"{other} holds the lease"),
    )

    long_poll_settings = FeedSettings(wait_seconds=1.0)
    operator_feed = StoreFeed(
        timers, store, clock, OPERATOR_TABLE, configuration.apply, long_poll_settings, ("",)
    )
    recorded_contact_at = 0.0

    def record_store_contact() -> None:
        nonlocal recorded_contact_at
        if endpoint_feed.last_contact_at > recorded_contact_at:
            recorded_contact_at = endpoint_feed.last_contact_at
            endpoint_list.record_store_contact()

    def apply_endpoint_rows(rows: tuple[StoredRow, ...], is_snapshot: bool) -> None:
        # The first answer after an outage may remove endpoints that are about to register again.
        record_store_contact()
        endpoint_list.apply(rows, is_snapshot)

    endpoint_feed = StoreFeed(
        timers, store, clock, ENDPOINT_TABLE, apply_endpoint_rows, long_poll_settings, ("",)
    )

    def apply_work_rows(rows: tuple[StoredRow, ...], is_snapshot: bool) -> None:
        crashes.apply(rows, is_snapshot)
        limits.apply(rows, is_snapshot)
        stream_records.apply(rows)
        mirror.apply(rows)

    work_feed = StoreFeed(timers, store, clock, WORK_TABLE, apply_work_rows)
    stream_records = StreamRecords(
        timers,
        store,
        clock,
        directory,
        random,
        decisions.stream_versions,
        pools=lambda: gateway.routes.resumable_pools if gateway.routes is not None else (),
        complete_as_of=lambda: work_feed.complete_as_of,
        sweeps=lambda: scheduler.is_active,
        endpoints_known_at=lambda: endpoint_feed.complete_as_of,
    )
    peers = PeerQuestions(
        timers,
        store,
        HttpClient(timers, PEER_CLIENT_SETTINGS, own_budget).register(root),
        mirror,
        PeerCheck(incarnation_prefix, decisions.peer_check),
        settings.vm,
        settings.readiness,
        last_contact_at=lambda: lease_holder.last_contact_at,
        holder=lambda: lease_holder.observed_holder,
        random=random,
        scheduler=scheduler,
        lease=lease,
    )
    usage = None
    if settings.cloud is not None and settings.cloud.asks_for_usage:
        usage = build_usage_duty(
            UsageParts(
                timers=timers,
                store=store,
                clock=clock,
                directory=directory,
                lease=lease_holder,
                random=random,
                incarnation=incarnation,
                time_of_day=lambda: time.time(),
                members=lambda: len(mirror.members),
                store_contact_at=lambda: work_feed.last_contact_at,
            ),
            settings,
            PlatformUsageDialect(),
            HttpClient(timers, CLOUD_CLIENT_SETTINGS, own_budget).register(root),
        )
    listeners = build_listeners(settings, root, timers, budget)
    if listeners.relay is not None:
        listeners.relay.handle = StoreRelay(store_client, settings.store.address, path).handle

    def metric_lines() -> list[str]:
        ignored = gauge_line("registrations_ignored", endpoint_list.ignored)
        usage_lines = usage.metric_lines() if usage is not None else ()
        return [ignored, *budget_lines(budget), *usage_lines]

    def configuration_age_seconds() -> float:
        return timers.now() - operator_feed.confirmed_at

    dialect = PlatformCallerDialect()
    grace = settings.promises.grace_seconds
    gateway = Gateway(
        GatewayParts(
            timers=timers,
            callers=listeners.callers,
            readiness=listeners.readiness,
            forwarder=CallForwarder(
                timers,
                CallAttempts(
                    timers,
                    endpoint_caller,
                    selector,
                    crashes,
                    dialect,
                    decisions.retries,
                    usage.beginnings if usage is not None else None,
                ),
                stream_records,
                random,
            ),
            intake=SubmissionIntake(timers, store, mirror),
            scheduler=scheduler,
            lease=lease,
            lease_holder=lease_holder,
            peers=peers,
            mirror=mirror,
            clock=clock,
            crashes=crashes,
            limits=limits,
            stream_records=stream_records,
            feeds=(operator_feed, endpoint_feed, work_feed),
            work_feed=work_feed,
            record_store_contact=record_store_contact,
            caller_dialect=dialect,
            identifier=CallIdentifier(
                dialect,
                configuration_age_seconds,
                Identity(settings.accounts.max_configuration_age_seconds),
            ),
            configuration_age_seconds=configuration_age_seconds,
            submission_dialect=PlatformSubmissionDialect(),
            check_decoding=build_decoding_check(settings.machine),
            finish=finish if usage is None else lambda: usage.finish(finish),
            cores=settings.machine.cores * settings.machine.cpu_share,
            delays_few_cores=decisions.delays_weak_machines,
            metrics=listeners.metrics,
            relay=listeners.relay,
            metric_lines=metric_lines,
        ),
        GatewayTimes(
            drain=DrainTimes(max_seconds=grace - min(0.6, grace / 4)),
            max_configuration_age_seconds=settings.accounts.max_configuration_age_seconds,
        ),
    )

    def start() -> None:
        gateway.start()
        if usage is not None:
            usage.start()

    def drain() -> None:
        gateway.drain()
        if usage is not None:
            usage.drain()

    def close() -> None:
        if usage is not None:
            usage.close()
        gateway.close()
        relay_client.close()
        store_client.close()
        endpoint_client.close()

    return RunningGateway(start, drain, close, gateway)


def _relay_addresses(mirror: WorkMirror, settings: GatewaySettings) -> list[Address]:
    """Return the addresses at which peers pass calls to the store on, the next VM by name first."""
    if not settings.relay_port or not settings.mechanisms.store_relays:
        return []
    names = sorted(name for name in mirror.members if name != settings.vm)
    ordered = sorted(names, key=lambda name: name < settings.vm)
    hosts = [mirror.members[name].rpartition(":")[0] for name in ordered]
    return [Address(host, settings.relay_port) for host in hosts]


def run_gateway(path: Path) -> Result[None, Failure]:
    """Run a gateway as a process until it has drained; fail if the settings are invalid."""
    loaded = load_settings(GatewaySettings, path)
    if isinstance(loaded, Err):
        return loaded
    settings = loaded.ok_value
    return_large_blocks_when_freed()
    writer = LogWriter(sys.stdout.fileno())
    set_up_event_logs(settings.vm, settings.log.level, writer.write)
    process = Process(boot_clock_seconds)
    running = build_gateway(settings, process, process.timers, process.finish)
    process.set_termination_callback(running.drain)
    signal.signal(signal.SIGHUP, lambda number, frame: None)
    spawn(_follow_settings(process.timers, path, writer.write), "settings")

    def start() -> None:
        try:
            running.start()
        except OSError as error:
            _log.error("cannot listen", error=str(error))
            process.stop(1)

    process.timers.call_later(0.0, start)
    process.run()
    running.close()
    return Ok(None)


async def _follow_settings(timers: TimerQueue, path: Path, write: Callable[[str], None]) -> None:
    """Reload the log settings when the settings file changes; log and ignore an invalid file."""
    known_content = path.read_bytes()
    while True:
        await sleep(timers, SETTINGS_POLL_SECONDS)
        try:
            content = path.read_bytes()
        except OSError as error:
            _log.warning("settings file cannot be read", error=str(error))
            continue
        if content == known_content:
            continue
        known_content = content
        loaded = load_settings(GatewaySettings, path)
        if isinstance(loaded, Err):
            _log.error(
                "changed settings rejected",
                code=int(ResultCode.BAD_SETTINGS),
                detail=loaded.err_value.detail,
            )
            continue
        set_up_event_logs(loaded.ok_value.vm, loaded.ok_value.log.level, write)
        _log.info("settings reloaded")
