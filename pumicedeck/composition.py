"""The composition root of entries and agents: creates their components and connects them."""

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from uuid import uuid4

from circuits import Component

from pumicedeck.agent_daemons import AgentDaemon, AgentDependencies
from pumicedeck.agent_dialers import AgentDialer
from pumicedeck.agent_requests import AgentRequests
from pumicedeck.agent_selections import SelectionSettings
from pumicedeck.caller_api import CallerApi
from pumicedeck.catalogue_editors import CatalogueEditor
from pumicedeck.catalogue_followers import CatalogueFollower, FollowerHooks
from pumicedeck.claim_sweeps import ClaimSweeps
from pumicedeck.claims import Claims
from pumicedeck.clocks import TimerQueue
from pumicedeck.connections import Connections
from pumicedeck.demand_exchanges import DemandExchange
from pumicedeck.draw_sessions import DrawSessions
from pumicedeck.draws import DrawCoordinator
from pumicedeck.endpoint_watches import EngineWatch, ServiceWatch
from pumicedeck.engine_weights import EngineWeights
from pumicedeck.entry_daemons import EntryDaemon, EntryDependencies
from pumicedeck.entry_requests import EntryRequests
from pumicedeck.executions import EngineExecutions, ServiceExecutions
from pumicedeck.fair_queues import build_queue
from pumicedeck.handshakes import NONCE_BYTES, PROTOCOL_VERSION, Hello
from pumicedeck.histograms import Histograms
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_guards import HttpGuard, HttpGuardSettings
from pumicedeck.http_messages import HttpClientSettings
from pumicedeck.http_servers import HttpServer
from pumicedeck.limiters import EntryLimiter
from pumicedeck.membership_drivers import MembershipDriver, MembershipHooks
from pumicedeck.memberships import MembershipSettings
from pumicedeck.memory_budgets import MemoryBudget
from pumicedeck.newest_versions import NewestVersionPoll
from pumicedeck.operator_api import AgentStatus, EntryStatus, OperatorApi
from pumicedeck.platform_interfaces import (
    ModelEngine,
    ObjectStore,
    PlainService,
    TableStore,
    VmList,
    WeightStore,
    find_adapter,
)
from pumicedeck.request_settings import AgentRequestSettings, EntryRequestSettings
from pumicedeck.routers import ROUTERS
from pumicedeck.sessions import SessionSettings
from pumicedeck.settings import AgentSettings, EntrySettings, ProcessSettings
from pumicedeck.swaps import SwapSettings
from pumicedeck.tokens import TokenChecker
from pumicedeck.topology import Endpoint, EndpointKind, FailureDomain, Incarnation, Vm, VmRole
from pumicedeck.weight_followers import FollowerPorts, FollowerSettings, WeightFollower


@dataclass(frozen=True, slots=True)
class PlatformAdapters:
    """The adapters through which a process uses the platform's services."""

    table: TableStore
    objects: ObjectStore
    weights: WeightStore
    vms: VmList


@dataclass(frozen=True, slots=True)
class EventLoop:
    """The root component of a circuits loop and its timers, which one or more daemons share."""

    root: Component
    timers: TimerQueue


@dataclass(frozen=True, slots=True)
class WiredDaemon:
    """A daemon with all its components and listeners; `close` undoes `start`.

    `callers`, `editor` and `histograms` are None for an agent.
    """

    start: Callable[[], None]
    drain: Callable[[], None]
    close: Callable[[], None]
    callers: HttpServer | None
    operators: HttpServer
    connections: Connections
    daemon: EntryDaemon | AgentDaemon
    editor: CatalogueEditor | None = None
    histograms: Histograms | None = None


def connect_platform(settings: ProcessSettings, loop: EventLoop) -> PlatformAdapters:
    """Create the adapters that the settings name."""
    client = HttpClient(loop.timers).register(loop.root)
    platform_settings = settings.platform

    def build_adapter(interface: str, section) -> object:
        return find_adapter(interface, section.adapter)(client, section.address, section.timeout)

    return PlatformAdapters(
        build_adapter("TableStore", platform_settings.table_store),
        build_adapter("ObjectStore", platform_settings.object_store),
        build_adapter("WeightStore", platform_settings.weight_store),
        build_adapter("VmList", platform_settings.vm_list),
    )


def connect_endpoint(settings: AgentSettings, loop: EventLoop) -> ModelEngine | PlainService:
    """Create the adapter of the endpoint beside an agent."""
    endpoint = settings.endpoint
    interface = "ModelEngine" if endpoint.kind is EndpointKind.MODEL else "PlainService"
    client = HttpClient(loop.timers, HttpClientSettings(silence_seconds=endpoint.timeout)).register(
        loop.root
    )
    return find_adapter(interface, endpoint.adapter)(client, endpoint.address, endpoint.timeout)


def _incarnation(settings: ProcessSettings) -> str:
    return str(Incarnation(settings.vm, uuid4().hex[:12]))


def _hello(settings: ProcessSettings, role: VmRole, incarnation: str) -> Hello:
    endpoint = settings.endpoint if isinstance(settings, AgentSettings) else None
    return Hello(
        protocol=PROTOCOL_VERSION,
        incarnation=incarnation,
        role=role,
        failure_domain=settings.failure_domain,
        region=settings.region,
        nonce=os.urandom(NONCE_BYTES),
        endpoint=endpoint.name if endpoint else "",
        pool=endpoint.pool if endpoint else "",
        kind=endpoint.kind if endpoint else "",
        slots=endpoint.slots if endpoint else 0,
    )


def _session_settings(settings: ProcessSettings) -> SessionSettings:
    times = settings.times
    return SessionSettings(heartbeat=times.heartbeat, max_silence_seconds=times.session_silence)


def _secrets(settings: ProcessSettings) -> tuple[bytes, ...]:
    return tuple(secret.encode() for secret in settings.secrets)


def _http_guard_factory(
    settings: ProcessSettings, loop: EventLoop, budget: MemoryBudget
) -> Callable[[str], HttpGuard]:
    guard_settings = HttpGuardSettings(
        header_bytes=settings.bounds.header,
        body_bytes=settings.bounds.body,
        request_seconds=settings.bounds.request_time,
    )
    return lambda channel: HttpGuard(channel, loop.timers, guard_settings, budget)


def _build_client_budget(settings: ProcessSettings, loop: EventLoop) -> MemoryBudget:
    return MemoryBudget(settings.bounds.client_memory, loop.timers.now)


def _build_connections(
    settings: ProcessSettings,
    role: VmRole,
    incarnation: str,
    loop: EventLoop,
    daemon: AgentDaemon | EntryDaemon,
) -> Connections:
    connections = Connections(
        lambda: _hello(settings, role, incarnation),
        _secrets(settings),
        daemon.peers,
        loop.timers,
        _session_settings(settings),
        settings.sessions if isinstance(settings, AgentSettings) else None,
    ).register(loop.root)
    daemon.peers.bind(connections)
    return connections


def _build_catalogue_follower(
    platform: PlatformAdapters, loop: EventLoop, rng: Random, daemon: AgentDaemon | EntryDaemon
) -> CatalogueFollower:
    hooks = FollowerHooks(daemon.peers.send, daemon.apply_catalogue, daemon.broadcast_heartbeat)
    return CatalogueFollower(platform.table, platform.objects, loop.timers, rng, hooks)


def _build_membership(
    settings: EntrySettings,
    platform: PlatformAdapters,
    loop: EventLoop,
    rng: Random,
    daemon: EntryDaemon,
    dialer: AgentDialer,
) -> MembershipDriver:
    own_domain = FailureDomain(settings.failure_domain, settings.region)
    return MembershipDriver(
        Vm(settings.vm, VmRole.ENTRY, own_domain, settings.callers),
        platform.vms,
        loop.timers,
        rng,
        MembershipHooks(
            dialer.open, daemon.close_session, daemon.notify_leaving, daemon.apply_vm_list
        ),
        MembershipSettings(SelectionSettings(max_entry_sessions=settings.max_sessions)),
    )


def build_agent(
    settings: AgentSettings,
    loop: EventLoop,
    platform: PlatformAdapters,
    endpoint: ModelEngine | PlainService,
    on_drained: Callable[[], None],
) -> WiredDaemon:
    """Create an agent and its components; nothing runs before `start`.

    `on_drained` is called once the agent has drained.
    """
    incarnation = _incarnation(settings)
    rng = Random(f"{settings.seed}:{incarnation}")
    endpoint_description = Endpoint(
        settings.endpoint.name,
        settings.endpoint.pool,
        settings.endpoint.kind,
        settings.endpoint.slots,
    )
    requests = AgentRequests(
        incarnation,
        build_queue(settings.queue, endpoint_description),
        endpoint_description.slots,
        AgentRequestSettings(
            answer_retention_seconds=settings.bounds.kept_answer_time,
            answer_retention_bytes=settings.bounds.kept_answers,
        ),
    )
    dependencies = AgentDependencies(
        incarnation, loop.timers, requests, settings.times.drain_grace, on_drained
    )
    daemon = AgentDaemon(dependencies)
    connections = _build_connections(settings, VmRole.AGENT, incarnation, loop, daemon)
    follower = _build_catalogue_follower(platform, loop, rng, daemon)
    if isinstance(endpoint, ModelEngine):
        weights = _build_engine_weights(
            settings, incarnation, loop, platform, endpoint, daemon, rng
        )
        executions = EngineExecutions(incarnation, daemon, endpoint, weights.follower, loop.timers)
        watch = EngineWatch(loop.timers, daemon.drain, endpoint)
    else:
        weights = None
        executions = ServiceExecutions(incarnation, daemon, endpoint)
        watch = ServiceWatch(loop.timers, daemon.drain, endpoint)
    daemon.bind(executions, follower, watch, weights)
    operators = _build_operator_server(
        settings,
        loop,
        AgentStatus(incarnation, daemon, connections),
        None,
        None,
        _build_client_budget(settings, loop),
    )
    return WiredDaemon(
        daemon.start, daemon.drain, daemon.close, None, operators, connections, daemon
    )


def _build_engine_weights(
    settings: AgentSettings,
    incarnation: str,
    loop: EventLoop,
    platform: PlatformAdapters,
    engine: ModelEngine,
    daemon: AgentDaemon,
    rng: Random,
) -> EngineWeights:
    follower = WeightFollower(
        settings.endpoint.name,
        incarnation,
        FollowerPorts(loop.timers, platform.table, platform.weights, engine),
        False,
        rng,
        FollowerSettings(swaps=SwapSettings(store_rate=float(settings.platform.weight_store.rate))),
        daemon.running_drafts,
    )
    return EngineWeights(
        settings.vm,
        settings.region,
        settings.endpoint.pool,
        follower,
        platform.vms,
        loop.timers,
        rng,
    )


def _build_operator_server(settings, loop, status, editor, token_checker, budget) -> HttpServer:
    api = OperatorApi(status, editor, token_checker, loop.timers)
    return HttpServer(
        settings.operators,
        f"operators_{settings.vm}",
        api.handle,
        _http_guard_factory(settings, loop, budget),
    ).register(loop.root)


def build_entry(
    settings: EntrySettings,
    loop: EventLoop,
    platform: PlatformAdapters,
    on_drained: Callable[[], None],
) -> WiredDaemon:
    """Create an entry and its components; nothing runs before `start`.

    `on_drained` is called once the entry has drained.
    """
    incarnation = _incarnation(settings)
    rng = Random(f"{settings.seed}:{incarnation}")
    own_domain = FailureDomain(settings.failure_domain, settings.region)
    router = ROUTERS[settings.router](own_domain, settings.seed)
    histograms = Histograms()
    limiter = EntryLimiter(settings.vm)
    requests = EntryRequests(
        incarnation,
        router,
        EntryRequestSettings(balancer_notice_seconds=settings.times.balancer_notice),
    )
    daemon = EntryDaemon(
        EntryDependencies(
            settings.vm,
            incarnation,
            loop.timers,
            requests,
            router,
            limiter,
            histograms,
            settings.times.drain_grace,
            on_drained,
        )
    )
    connections = _build_connections(settings, VmRole.ENTRY, incarnation, loop, daemon)
    follower = _build_catalogue_follower(platform, loop, rng, daemon)
    dialer = AgentDialer(
        loop.timers, connections.dial, connections.close_connection, daemon.outstanding
    )
    membership = _build_membership(settings, platform, loop, rng, daemon, dialer)
    claims = Claims(
        incarnation,
        platform.table,
        loop.timers,
        daemon.claim_answered,
        daemon.is_live,
        time.time,
    )
    claim_sweeper = ClaimSweeps(platform.table, loop.timers, time.time, rng)
    draws = DrawSessions(
        DrawCoordinator(), daemon, loop.timers, histograms, lambda: newest_version_poll.poll_now()
    )
    daemon.bind(follower, dialer, claims, membership, lambda: draws.coordinator.open_draws)
    newest_version_poll = NewestVersionPoll(
        loop.timers, platform.weights, lambda: draws.models, draws.newest_version_confirmed, rng
    )
    demand_exchange = DemandExchange(settings.vm, limiter, platform.table, loop.timers, rng)
    token_checker = TokenChecker(platform.table, loop.timers)
    request_numbers = iter(range(1, 2**62))
    api = CallerApi(daemon, token_checker, draws, lambda: f"{incarnation}-{next(request_numbers)}")
    budget = _build_client_budget(settings, loop)
    callers = HttpServer(
        settings.callers,
        f"callers_{settings.vm}",
        api.handle,
        _http_guard_factory(settings, loop, budget),
    ).register(loop.root)
    editor = CatalogueEditor(platform.table, platform.objects, loop.timers, rng)
    status = EntryStatus(incarnation, daemon, histograms, draws, claims)
    operators = _build_operator_server(settings, loop, status, editor, token_checker, budget)

    def start() -> None:
        daemon.start()
        newest_version_poll.start()
        claim_sweeper.start()
        demand_exchange.start()

    def close() -> None:
        demand_exchange.close()
        newest_version_poll.close()
        draws.close()
        claim_sweeper.close()
        claims.close()
        daemon.close()

    return WiredDaemon(
        start,
        daemon.drain,
        close,
        callers,
        operators,
        connections,
        daemon,
        editor,
        histograms,
    )
