"""Both firms' daemons and stand-ins on one loop, for the demo and for tests of the whole path."""

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
    running: WiredDaemon


class StandinFleet:
    """Builds agents and entries around stand-ins; `start` and `close` them together."""

    def __init__(self, host: EventLoop, catalogue: Catalogue, tokens: dict[str, Principal]) -> None:
        """Store the catalogue and the tokens."""
        timers = host.timers
        self._host = host
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
        for running in self._all():
            running.start()

    def close(self) -> None:
        """Close every daemon."""
        for running in self._all():
            running.close()

    def add_pool(self, site: PoolPlacement) -> None:
        """Build the agents of a pool."""
        for number in range(site.count):
            self._add_agent(site, number)

    def add_entry(self, number: int, domain: FailureDomain) -> WiredDaemon:
        """Build an entry."""
        settings = entry_settings(number, domain)
        running = build_entry(settings, self._host, self._platform, lambda: None)
        address = running.callers.address
        self.vms.put(Vm(settings.vm, VmRole.ENTRY, domain, address))
        self.entries.append(running)
        return running

    def _add_agent(self, site: PoolPlacement, number: int) -> None:
        settings = agent_settings(site, number)
        endpoint = self._endpoint(site, settings.vm)
        running = build_agent(settings, self._host, self._platform, endpoint, lambda: None)
        domain = FailureDomain(settings.failure_domain, settings.region)
        connections = running.connections
        vm = Vm(
            settings.vm,
            VmRole.AGENT,
            domain,
            connections.address,
            endpoint=Endpoint(settings.vm, site.pool, site.kind, site.slots),
        )
        self.vms.put(vm)
        self.agents.append(FleetAgent(vm, endpoint, running))

    def _endpoint(self, site: PoolPlacement, name: str) -> ModelEngine | PlainService:
        timers = self._host.timers
        if site.kind is EndpointKind.SERVICE:
            return StandinService(timers, service_seconds=SERVICE_SECONDS, slots=site.slots)
        pool = self._catalogue.pool(site.pool)
        settings = EngineSettings(
            models=tuple(LoadedModel(model, 0) for model in pool.models),
            batch=BatchSettings(slots=site.slots, token_seconds=TOKEN_SECONDS),
            checks_fencing=pool.checks_fencing,
        )
        return StandinEngine(timers, settings=settings, weights=self.weights.fetch, name=name)

    def _all(self) -> list[WiredDaemon]:
        return [each.running for each in self.agents] + self.entries
