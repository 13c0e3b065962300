"""Daemons and stand-ins of two firms on one event loop, for the demo and end-to-end tests."""

from dataclasses import dataclass

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.composition import (
    EventLoop,
    PlatformAdapters,
    WiredDaemon,
    build_agent,
    build_entry,
)
from pumicedeck.demo_firms import PoolPlacement, agent_settings, entry_settings
from pumicedeck.platform_interfaces import (
    LoadedModel,
    ModelEngine,
    PlainService,
)
from pumicedeck.standin_batches import BatchSettings
from pumicedeck.standin_engines import StandinEngine
from pumicedeck.standin_ledgers import EngineSettings
from pumicedeck.standin_objects import StandinObjectStore
from pumicedeck.standin_services import StandinService
from pumicedeck.standin_settings import initial_transaction
from pumicedeck.standin_tables import StandinTableStore
from pumicedeck.standin_vm_lists import StandinVmList
from pumicedeck.standin_weights import StandinWeightStore
from pumicedeck.tokens import Principal
from pumicedeck.topology import Endpoint, EndpointKind, FailureDomain, Vm, VmRole

SERVICE_SECONDS = 0.02
TOKEN_SECONDS = 0.002
LIST_LAG_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class FleetAgent:
    """An agent with the stand-in of its endpoint."""

    vm: Vm
    endpoint: StandinEngine | StandinService
    wired_daemon: WiredDaemon


class StandinFleet:
    """Builds agents and entries on stand-ins, which start and close together."""

    def __init__(self, loop: EventLoop, catalogue: Catalogue, tokens: dict[str, Principal]) -> None:
        """Create the platform's stand-ins; the table service stores the catalogue and tokens."""
        timers = loop.timers
        self._loop = loop
        self._catalogue = catalogue
        self.table = StandinTableStore(timers)
        self.objects = StandinObjectStore(timers)
        self.weights = StandinWeightStore(timers)
        self.vms = StandinVmList(timers, lag=LIST_LAG_SECONDS)
        self._platform = PlatformAdapters(self.table, self.objects, self.weights, self.vms)
        self.agents: list[FleetAgent] = []
        self.entries: list[WiredDaemon] = []
        self.table.commit(initial_transaction(catalogue, tokens), lambda _: None)

    def start(self) -> None:
        """Start every daemon."""
        for wired_daemon in self._all_daemons():
            wired_daemon.start()

    def close(self) -> None:
        """Close every daemon."""
        for wired_daemon in self._all_daemons():
            wired_daemon.close()

    def add_pool(self, placement: PoolPlacement) -> None:
        """Build the agents and the stand-in endpoints of a pool."""
        for number in range(placement.count):
            self._add_agent(placement, number)

    def add_entry(self, number: int, domain: FailureDomain) -> WiredDaemon:
        """Build an entry and add it to the VM list."""
        settings = entry_settings(number, domain)
        wired_daemon = build_entry(settings, self._loop, self._platform, lambda: None)
        address = wired_daemon.callers.address
        self.vms.put(Vm(settings.vm, VmRole.ENTRY, domain, address))
        self.entries.append(wired_daemon)
        return wired_daemon

    def _add_agent(self, placement: PoolPlacement, number: int) -> None:
        settings = agent_settings(placement, number)
        endpoint = self._build_endpoint(placement, settings.vm)
        wired_daemon = build_agent(settings, self._loop, self._platform, endpoint, lambda: None)
        domain = FailureDomain(settings.failure_domain, settings.region)
        connections = wired_daemon.connections
        vm = Vm(
            settings.vm,
            VmRole.AGENT,
            domain,
            connections.address,
            endpoint=Endpoint(settings.vm, placement.pool, placement.kind, placement.slots),
        )
        self.vms.put(vm)
        self.agents.append(FleetAgent(vm, endpoint, wired_daemon))

    def _build_endpoint(self, placement: PoolPlacement, name: str) -> ModelEngine | PlainService:
        timers = self._loop.timers
        if placement.kind is EndpointKind.SERVICE:
            return StandinService(timers, service_seconds=SERVICE_SECONDS, slots=placement.slots)
        pool = self._catalogue.pool(placement.pool)
        settings = EngineSettings(
            models=tuple(LoadedModel(model, 0) for model in pool.models),
            batch=BatchSettings(slots=placement.slots, token_seconds=TOKEN_SECONDS),
            checks_fencing=pool.checks_fencing,
        )
        return StandinEngine(timers, settings=settings, weights=self.weights.fetch, name=name)

    def _all_daemons(self) -> list[WiredDaemon]:
        return [agent.wired_daemon for agent in self.agents] + self.entries
