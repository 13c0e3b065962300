"""Hosts stand-ins in one process, each on its own port, with a control port for faults."""

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice
from random import Random
from typing import TextIO
from urllib.parse import parse_qs

from circuits import BaseComponent, handler

from pumicedeck.clocks import TimerQueue
from pumicedeck.faults import FaultSettings, FaultSwitches, StandIn
from pumicedeck.http_documents import JSON_TYPE, Document
from pumicedeck.http_guards import HttpGuard
from pumicedeck.http_servers import HttpExchange, HttpServer
from pumicedeck.loops import LoopTimers
from pumicedeck.pollers import ManySocketsPoller
from pumicedeck.results import Failure, ResultCode
from pumicedeck.standin_engines import StandinEngine
from pumicedeck.standin_ledgers import EngineSettings, ExecutedGeneration
from pumicedeck.standin_objects import StandinObjectStore
from pumicedeck.standin_servers import StandinServer
from pumicedeck.standin_services import ExecutedCall, StandinService
from pumicedeck.standin_tables import StandinTableStore, StoreLimits
from pumicedeck.standin_vm_lists import StandinVmList
from pumicedeck.standin_weights import StandinWeightStore
from pumicedeck.topology import Address, Vm

ANY_PORT = Address("127.0.0.1", 0)
CONTROL_NAME = "control"
_LEDGER_PAGE_ITEMS = 1000
_HTTP_OK = 200
_FAULTS = Document(FaultSettings)
_VMS = Document(tuple[Vm, ...])
_LEDGERS = {
    StandinEngine: Document(tuple[ExecutedGeneration, ...]),
    StandinService: Document(tuple[ExecutedCall, ...]),
}


@dataclass(frozen=True, slots=True)
class StandinSettings:
    """Name and listening address of a stand-in; port 0 means any free port."""

    name: str
    listen: Address = ANY_PORT


@dataclass(frozen=True, slots=True)
class TableSettings(StandinSettings):
    """Settings of a table service."""

    limits: StoreLimits = StoreLimits()


@dataclass(frozen=True, slots=True)
class ObjectSettings(StandinSettings):
    """Settings of an object store."""


@dataclass(frozen=True, slots=True)
class WeightSettings(StandinSettings):
    """Settings of a weight store; 0 bytes per second means unlimited."""

    bytes_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class VmListSettings(StandinSettings):
    """Settings of a VM list that shows changes `lag` seconds late."""

    vms: tuple[Vm, ...] = ()
    lag: float = 0.0


@dataclass(frozen=True, slots=True)
class ModelSettings(StandinSettings):
    """Settings of a model engine; `weights` names the hosted weight store to fetch from."""

    engine: EngineSettings = field(default_factory=EngineSettings)
    weights: str = ""


@dataclass(frozen=True, slots=True)
class ServiceSettings(StandinSettings):
    """Settings of a plain service; 0 slots means unlimited concurrency."""

    service_seconds: float = 0.0
    slots: int = 0


@dataclass(frozen=True, slots=True)
class StandinHostSettings:
    """The stand-ins of one process, in the order in which they are created."""

    standins: tuple[StandinSettings, ...]
    control: Address = ANY_PORT
    seed: int = 0


@dataclass(frozen=True, slots=True)
class BoundAddress:
    """The address on which a stand-in or the control port listens."""

    name: str
    address: Address


Builder = Callable[["StandinHost", StandinSettings, FaultSwitches], StandIn]
_BUILDERS: dict[type[StandinSettings], Builder] = {}


def _registers_builder(kind: type[StandinSettings]) -> Callable[[Builder], Builder]:
    """Return a decorator that registers the builder of stand-ins from `kind` settings."""

    def register(builder: Builder) -> Builder:
        _BUILDERS[kind] = builder
        return builder

    return register


@_registers_builder(TableSettings)
def _build_tables(host, settings, faults) -> StandIn:
    return StandinTableStore(host.timers, faults, limits=settings.limits)


@_registers_builder(ObjectSettings)
def _build_objects(host, settings, faults) -> StandIn:
    return StandinObjectStore(host.timers, faults)


@_registers_builder(WeightSettings)
def _build_weights(host, settings, faults) -> StandIn:
    return StandinWeightStore(host.timers, faults, settings.bytes_per_second)


@_registers_builder(VmListSettings)
def _build_vm_list(host, settings, faults) -> StandIn:
    return StandinVmList(host.timers, faults, settings.vms, settings.lag)


@_registers_builder(ModelSettings)
def _build_engine(host, settings, faults) -> StandIn:
    weights = host.find(settings.weights).fetch if settings.weights else None
    return StandinEngine(host.timers, faults, settings.engine, weights, settings.name)


@_registers_builder(ServiceSettings)
def _build_service(host, settings, faults) -> StandIn:
    return StandinService(host.timers, faults, settings.service_seconds, settings.slots)


class StandinHost(BaseComponent):
    """Hosts stand-ins, each on its own port, and a control port for faults and ledgers."""

    channel = "standin_host"

    def __init__(self, settings: StandinHostSettings, timers: TimerQueue) -> None:
        """Create the stand-ins and listen on all ports."""
        super().__init__()
        self._timers = timers
        self._servers: dict[str, StandinServer] = {}
        self._routes = {
            "faults": self._set_faults,
            "leaving": self._set_leaving,
            "vms": self._set_vms,
            "ledger": self._show_ledger,
        }
        for item in settings.standins:
            faults = FaultSwitches(Random(f"{settings.seed}/{item.name}"))
            standin = _BUILDERS[type(item)](self, item, faults)
            server = StandinServer(item.name, standin, timers, item.listen)
            self._servers[item.name] = server.register(self)
        self._control = HttpServer(
            settings.control,
            "standin_control",
            self._handle,
            lambda channel: HttpGuard(channel, timers),
        )
        self._control.register(self)

    @property
    def timers(self) -> TimerQueue:
        """Return the timer queue on which all stand-ins run."""
        return self._timers

    @property
    def bound(self) -> tuple[BoundAddress, ...]:
        """Return the addresses of all stand-ins and, last, of the control port."""
        servers = self._servers.items()
        bound = [BoundAddress(name, server.address) for name, server in servers]
        return (*bound, BoundAddress(CONTROL_NAME, self._control.address))

    def find(self, name: str) -> StandIn:
        """Return the hosted stand-in of this name."""
        return self._servers[name].standin

    def address(self, name: str) -> Address:
        """Return the address on which a stand-in or the control port listens."""
        return next(item.address for item in self.bound if item.name == name)

    @handler("signal", channel="*")
    def _on_signal(self, *_) -> None:
        self.root.stop()

    def _handle(self, exchange: HttpExchange) -> None:
        parts = exchange.path.strip("/").split("/")
        route = self._routes.get(parts[0])
        server = self._servers.get(parts[-1])
        if len(parts) != 2 or route is None or server is None:
            exchange.fail(Failure(ResultCode.NOT_FOUND, exchange.path, proven_not_run=True))
            return
        route(exchange, server.standin)

    def _set_faults(self, exchange: HttpExchange, standin: StandIn) -> None:
        decoded = _FAULTS.decode(b"[%s]" % exchange.body)
        if decoded.is_err():
            exchange.fail(decoded.unwrap_err())
            return
        standin.apply_faults(decoded.unwrap()[0])
        exchange.answer(_HTTP_OK, JSON_TYPE, b"{}")

    def _set_leaving(self, exchange: HttpExchange, standin: StandIn) -> None:
        if not hasattr(standin, "leaving"):
            exchange.fail(Failure(ResultCode.NOT_FOUND, exchange.path))
            return
        standin.leaving = True
        exchange.answer(_HTTP_OK, JSON_TYPE, b"{}")

    def _set_vms(self, exchange: HttpExchange, standin: StandIn) -> None:
        decoded = _VMS.decode(b"[%s]" % exchange.body)
        if not isinstance(standin, StandinVmList) or decoded.is_err():
            exchange.fail(
                Failure(ResultCode.BAD_REQUEST, "expected a JSON list of VMs for a VM list")
            )
            return
        standin.replace_all(decoded.unwrap()[0])
        exchange.answer(_HTTP_OK, JSON_TYPE, b"{}")

    def _show_ledger(self, exchange: HttpExchange, standin: StandIn) -> None:
        document = _LEDGERS.get(type(standin))
        after = parse_qs(exchange.query).get("after", ["0"])[0]
        if document is None or not after.isdecimal():
            exchange.fail(Failure(ResultCode.NOT_FOUND, exchange.path))
            return
        start = int(after)
        page = tuple(islice(standin.ledger, start, start + _LEDGER_PAGE_ITEMS))
        exchange.answer(_HTTP_OK, JSON_TYPE, document.encode(page))


class StandinApplication(BaseComponent):
    """The root component of the process: poller, timers and host."""

    def __init__(self, settings: StandinHostSettings) -> None:
        """Listen on all ports; `run` serves until a signal."""
        super().__init__()
        ManySocketsPoller().register(self)
        self._timers = LoopTimers().register(self)
        self._host = StandinHost(settings, self._timers.timers).register(self)

    @property
    def host(self) -> StandinHost:
        """Return the host of the stand-ins."""
        return self._host

    @property
    def timers(self) -> TimerQueue:
        """Return the timer queue of the event loop."""
        return self._timers.timers


def run_standins(settings: StandinHostSettings, out: TextIO = sys.stdout) -> None:
    """Print a JSON line with name and address for each port, then serve until a signal."""
    application = StandinApplication(settings)
    for item in application.host.bound:
        address = f"{item.address.host}:{item.address.port}"
        print(json.dumps({"name": item.name, "address": address}), file=out, flush=True)
    application.run()
