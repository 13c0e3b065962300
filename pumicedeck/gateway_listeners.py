"""The listeners of a gateway, and the share of the machine that their clients may take."""

import resource
from collections.abc import Callable
from dataclasses import dataclass

from circuits import BaseComponent

from pumicedeck.clocks import TimerQueue
from pumicedeck.gateway_settings import GatewaySettings, MachineSettings
from pumicedeck.http_listeners import HttpListener
from pumicedeck.http_messages import KIB, MIB
from pumicedeck.incoming_calls import IncomingCall
from pumicedeck.json_costs import check_decoding
from pumicedeck.listener_settings import ListenerSettings
from pumicedeck.memory_budgets import BudgetSettings, MemoryBudget
from pumicedeck.process_figures import read_process_figures
from pumicedeck.results import Failure
from pumicedeck.topology import Address

# The rest is for the process itself, which takes up to 95 MB on machines of 180 MB.
CLIENTS_SHARE_OF_MEMORY = 0.42
SMALL_REQUESTS_SHARE = 0.2
ANSWERS_SHARE = 0.15
# Answers of the store, peers and the platform's API; no client may take their room.
OWN_CALLS_SHARE_OF_MEMORY = 0.1
USABLE_SHARE_OF_MEMORY = 0.92
# Files and the listening sockets; the rest is for callers and for the gateway's own connections.
RESERVED_DESCRIPTORS = 200
CALLERS_SHARE_OF_DESCRIPTORS = 0.6
# Requests of the balancer, peers and readers of metrics have no bodies.
SERVICE_SETTINGS = ListenerSettings(body_bytes=64 * KIB, connections=256)
# A transaction of the store has at most 1 MB.
RELAY_SETTINGS = ListenerSettings(body_bytes=2 * MIB, connections=512)


def build_client_budget(machine: MachineSettings, timers: TimerQueue) -> MemoryBudget:
    """Return the budget for all that a gateway on a machine holds for its clients.

    The largest body fits beside what is kept free, if the machine allows that.
    """
    limit_bytes = int(machine.memory_megabytes * MIB * CLIENTS_SHARE_OF_MEMORY)
    largest_bytes = ListenerSettings().body_bytes + MIB
    free_share = max(0.0, 1.0 - largest_bytes / limit_bytes)
    settings = BudgetSettings(
        reserve_share=min(SMALL_REQUESTS_SHARE, free_share / 2),
        answer_share=min(ANSWERS_SHARE, free_share / 2),
    )
    return MemoryBudget(limit_bytes, timers.now, settings)


def build_own_budget(machine: MachineSettings, timers: TimerQueue) -> MemoryBudget:
    """Return the budget for the answers to a gateway's own calls."""
    limit_bytes = int(machine.memory_megabytes * MIB * OWN_CALLS_SHARE_OF_MEMORY)
    return MemoryBudget(limit_bytes, timers.now)


def build_decoding_check(machine: MachineSettings) -> Callable[[bytes], Failure | None]:
    """Return the check of bodies before they are decoded, see `check_decoding`.

    Call it while the process is idle: what it takes then is what it takes without clients.
    """
    usable_bytes = int(machine.memory_megabytes * MIB * USABLE_SHARE_OF_MEMORY)
    free_when_idle_bytes = usable_bytes - read_process_figures().resident_bytes

    def check(body: bytes) -> Failure | None:
        free_bytes = usable_bytes - read_process_figures().resident_bytes
        return check_decoding(body, free_bytes, free_when_idle_bytes - len(body))

    return check


def caller_settings(machine: MachineSettings) -> ListenerSettings:
    """Return the limits of callers' connections on a machine."""
    defaults = ListenerSettings()
    descriptors = machine.descriptors
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY:
        descriptors = min(descriptors, soft_limit)
    free = descriptors - RESERVED_DESCRIPTORS
    connections = max(1, int(free * CALLERS_SHARE_OF_DESCRIPTORS))
    return ListenerSettings(connections=min(defaults.connections, connections))


def _ignore(incoming: IncomingCall) -> None:
    """Stand for the handler that the gateway sets before a listener starts."""


@dataclass(frozen=True, slots=True)
class GatewayListeners:
    """The listeners for callers, for the balancer and peers, for metrics and for the relay.

    Those without a port are None.
    """

    callers: HttpListener
    readiness: HttpListener
    metrics: HttpListener | None
    relay: HttpListener | None


def build_listeners(
    settings: GatewaySettings, root: BaseComponent, timers: TimerQueue, budget: MemoryBudget
) -> GatewayListeners:
    """Create the listeners, without handlers; all of them count in `budget`."""

    def build(address: Address, limits: ListenerSettings) -> HttpListener:
        return HttpListener(address, timers, _ignore, limits, budget).register(root)

    def build_optional(port: int, limits: ListenerSettings) -> HttpListener | None:
        return build(Address(settings.readiness.host, port), limits) if port else None

    return GatewayListeners(
        build(settings.callers, caller_settings(settings.machine)),
        build(settings.readiness, SERVICE_SETTINGS),
        build_optional(settings.metrics_port, SERVICE_SETTINGS),
        build_optional(settings.relay_port, RELAY_SETTINGS),
    )
