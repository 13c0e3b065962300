"""Runs a soak plan, with stand-ins and proxies in this process and gateways in their own."""

import json
import signal
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

from loguru import logger

from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpClientSettings
from pumicedeck.partitioned_stores import Change
from pumicedeck.platform.standin_callers import ENGINE_POOL, SERVICE_POOL, endpoint_put
from pumicedeck.platform.standin_endpoints import (
    EndpointObserver,
    StandinEndpoint,
    StandinEngine,
    StandinService,
)
from pumicedeck.platform.standin_stores import PlatformStoreServer
from pumicedeck.processes import Process
from pumicedeck.soaks.gateway_processes import LOOPBACK_HOST, GatewayProcess
from pumicedeck.soaks.in_flight_requests import InFlightRequests
from pumicedeck.soaks.loads import MODEL, SoakLoad
from pumicedeck.soaks.oracles import SoakOracle, Violation
from pumicedeck.soaks.plans import GATEWAY_FAULT_KINDS, Fault, FaultKind, SoakPlan
from pumicedeck.soaks.proxies import LoopbackProxy
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.tasks import sleep, spawn
from pumicedeck.topology import Address

MAX_SETTLE_SECONDS = 30.0
MAX_START_SECONDS = 20.0
POLL_SECONDS = 0.1
# The gateways' own limit of a drain plus the time a loaded machine needs to end a process.
MAX_DRAIN_SECONDS = 10.0
RESTART_DELAY_SECONDS = 0.5
MAX_CLOSE_SECONDS = 9.0
FAULT_DELAY_SECONDS = 0.25
# When a key is revoked, as a fraction of the load.
REVOCATION_FRACTION = 0.3
# A gateway under them cannot hear from the store, so that it may serve a key that was removed.
OUTAGE_KINDS = frozenset((FaultKind.CUT_STORE, FaultKind.PAUSE))
CALLER_COUNT = 10
TRAINER_COUNT = 2

_log = logger.bind(module="soaks.runs")


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a soak; `counts` holds the numbers of submissions, items and answers.

    An `interrupted` soak is not evaluated, so it has no violations.
    """

    seed: int
    faults: int
    settled: bool
    counts: dict[str, int]
    violations: tuple[Violation, ...]
    interrupted: bool = False

    def encode(self) -> str:
        """Return the verdict as JSON."""
        return json.dumps(asdict(self), indent=1)


class SoakRun:
    """One run of a plan; its folder receives the plan, the gateways' logs and the verdict."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        """Create the stand-ins; nothing runs until `run`."""
        folder.mkdir(parents=True, exist_ok=True)
        self._plan = plan
        self._folder = folder
        self._process = Process()
        timers = self._timers = self._process.timers
        self._oracle = SoakOracle()
        self._in_flight = InFlightRequests()
        self._data = PartitionedData()
        self._store = StandinPartitionedStore(timers, self._data, call_timeout_seconds=1.0)
        self._store_server = PlatformStoreServer(self._process, timers, self._store)
        self._endpoints = self._make_endpoints()
        self._endpoint_proxies: list[LoopbackProxy] = []
        self._store_proxies: list[LoopbackProxy] = []
        self._caller_proxies: list[LoopbackProxy] = []
        self._gateways: list[GatewayProcess] = []
        self._settled = False
        self._interrupted = False

    def run(self) -> Verdict:
        """Run the plan and return the verdict, which is also written to the folder."""
        (self._folder / "plan.json").write_text(self._plan.encode(), encoding="utf-8")
        self._process.set_termination_callback(self._interrupt)
        self._timers.call_later(0.0, lambda: spawn(self._run_plan(), "soak"))
        try:
            self._process.run()
        finally:
            for gateway in self._gateways:
                gateway.close(MAX_CLOSE_SECONDS)
        violations = () if self._interrupted else self._oracle.finish()
        counts = dict(sorted(self._oracle.counts.items()))
        verdict = Verdict(
            self._plan.seed,
            len(self._plan.faults),
            self._settled,
            counts,
            violations,
            self._interrupted,
        )
        (self._folder / "verdict.json").write_text(verdict.encode(), encoding="utf-8")
        return verdict

    def _interrupt(self) -> None:
        self._interrupted = True
        self._process.stop()

    def _make_endpoints(self) -> list[StandinEndpoint]:
        observer = EndpointObserver(
            ran=self._oracle.service_ran,
            generated=self._oracle.engine_generated_event,
            ended=self._oracle.engine_finished_item,
            scored=lambda item: self._oracle.score_requested(item, self._timers.now()),
            arrived=self._oracle.accounts.request_arrived,
        )
        common_arguments = (self._process, self._timers, Address(LOOPBACK_HOST, 0))
        engines = [
            StandinEngine(
                f"e-{number}", ENGINE_POOL, *common_arguments, model=MODEL, observer=observer
            )
            for number in range(self._plan.engines)
        ]
        services = [
            StandinService(f"s-{number}", SERVICE_POOL, *common_arguments, observer=observer)
            for number in range(self._plan.services)
        ]
        return [*engines, *services]

    def _start_proxy(self, target: Callable[[], Address]) -> LoopbackProxy:
        proxy = LoopbackProxy(self._timers, target).register(self._process)
        proxy.start()
        return proxy

    def _start_endpoints(self) -> None:
        for endpoint in self._endpoints:
            endpoint.start()
            proxy = self._start_proxy(lambda target=endpoint: target.address)
            self._endpoint_proxies.append(proxy)
            models = {MODEL: 1} if endpoint.pool == ENGINE_POOL else {}
            row = endpoint_put(endpoint.name, endpoint.pool, proxy.address, "z", models)
            self._data.commit(Change((), (row,))).unwrap()

    def _start_gateways(self) -> None:
        for number in range(self._plan.gateways):
            store_proxy = self._start_proxy(lambda: self._store_server.address)
            gateway = GatewayProcess(f"g-{number}", self._folder, store_proxy.address)
            self._store_proxies.append(store_proxy)
            self._caller_proxies.append(self._start_proxy(lambda target=gateway: target.callers))
            self._gateways.append(gateway)
            gateway.start()

    async def _run_plan(self) -> None:
        self._start_endpoints()
        settings = HttpClientSettings(connect_seconds=1.0, connections_per_address=32)
        client = HttpClient(self._timers, settings).register(self._process)
        self._start_gateways()
        load = SoakLoad(
            self._timers,
            client,
            self._data,
            tuple(proxy.address for proxy in self._caller_proxies),
            self._oracle,
            self._in_flight,
            self._plan.seed,
        )
        await self._wait_until_ready()
        for _ in range(CALLER_COUNT):
            spawn(load.call_forever(), "caller")
        for number in range(self._plan.gateways):
            spawn(load.probe_forever(number), "route prober")
        for number in range(TRAINER_COUNT):
            spawn(load.train_forever(number), "trainer")
        spawn(load.announce_versions(), "versions")
        started_at = self._timers.now()
        self._timers.call_later(self._plan.seconds * REVOCATION_FRACTION, load.revoke_key)
        for fault in self._plan.faults:
            await sleep(self._timers, max(0.0, started_at + fault.at - self._timers.now()))
            _log.info(
                "fault injected", kind=fault.kind.value, target=fault.target, seconds=fault.seconds
            )
            spawn(self._inject(fault, load), f"fault {fault.kind.value}")
        await sleep(self._timers, max(0.0, started_at + self._plan.seconds - self._timers.now()))
        load.stop()
        deadline = self._timers.now() + MAX_SETTLE_SECONDS
        while not load.is_settled and self._timers.now() < deadline:
            await sleep(self._timers, POLL_SECONDS)
        self._settled = load.is_settled
        client.close()
        self._process.finish()

    async def _wait_until_ready(self) -> None:
        """Wait until every gateway logged that it is ready, or until the time limit."""
        deadline = self._timers.now() + MAX_START_SECONDS
        while self._timers.now() < deadline:
            await sleep(self._timers, POLL_SECONDS)
            logs = [self._folder / f"{gateway.name}.log" for gateway in self._gateways]
            if all('"ready": true' in log.read_text(encoding="utf-8") for log in logs):
                return
        _log.warning("not every gateway became ready in time; load starts anyway")

    async def _inject(self, fault: Fault, load: SoakLoad) -> None:
        if fault.kind is FaultKind.STORE_DOWN:
            out_of_touch = tuple(range(self._plan.gateways))
        else:
            out_of_touch = (fault.target,) if fault.kind in OUTAGE_KINDS else ()
        self._oracle.accounts.begin_outage(out_of_touch)
        await self._inject_kind(fault, load)
        self._oracle.accounts.end_outage(out_of_touch, self._timers.now())

    async def _inject_kind(self, fault: Fault, load: SoakLoad) -> None:
        if fault.kind is FaultKind.CHANGE_ROUTES:
            load.change_routes()
        elif fault.kind is FaultKind.TERMINATE:
            await self._terminate(fault.target)
        elif fault.kind in GATEWAY_FAULT_KINDS:
            await self._inject_gateway_fault(fault)
        elif fault.kind.value.startswith("store"):
            await self._inject_store_fault(fault)
        else:
            await self._inject_endpoint_fault(fault)

    async def _terminate(self, number: int) -> None:
        gateway = self._gateways[number]
        drain = self._in_flight.begin_drain(number, self._timers.now())
        gateway.send(signal.SIGTERM)
        while gateway.is_running:
            await sleep(self._timers, POLL_SECONDS)
        # Answers sent just before the exit may still be in transit through the proxy.
        await sleep(self._timers, POLL_SECONDS)
        self._in_flight.end_drain(number)
        if not drain.fault_affected:
            seconds = self._timers.now() - drain.started_at
            self._oracle.gateway_stopped(number, drain.broken_requests, seconds, MAX_DRAIN_SECONDS)
        await sleep(self._timers, RESTART_DELAY_SECONDS)
        gateway.start()

    async def _inject_gateway_fault(self, fault: Fault) -> None:
        gateway = self._gateways[fault.target]
        store_proxy, caller_proxy = (
            self._store_proxies[fault.target],
            self._caller_proxies[fault.target],
        )
        self._in_flight.begin_fault(fault.target)
        match fault.kind:
            case FaultKind.KILL:
                gateway.send(signal.SIGKILL)
            case FaultKind.PAUSE:
                gateway.send(signal.SIGSTOP)
            case FaultKind.DELAY_STORE:
                store_proxy.faults.delay = FAULT_DELAY_SECONDS
            case FaultKind.CUT_STORE:
                store_proxy.faults.withholds_answers = True
            case FaultKind.RESET_STORE:
                store_proxy.reset()
            case FaultKind.SILENCE_CALLERS:
                caller_proxy.faults.withholds_requests = caller_proxy.faults.withholds_answers = (
                    True
                )
            case FaultKind.RESET_CALLERS:
                caller_proxy.reset()
        await sleep(self._timers, fault.seconds)
        gateway.send(signal.SIGCONT)
        store_proxy.clear_faults()
        caller_proxy.clear_faults()
        gateway.start()
        self._in_flight.end_fault(fault.target)

    async def _inject_store_fault(self, fault: Fault) -> None:
        faults = self._store.faults
        match fault.kind:
            case FaultKind.STORE_DOWN:
                faults.down = True
            case FaultKind.STORE_LOSES_REPLIES:
                faults.lost_replies += 3
            case FaultKind.STORE_COMMITS_LATE:
                faults.late_commits += 2
            case FaultKind.STORE_DROPS_HISTORY:
                self._data.drop_history()
        await sleep(self._timers, fault.seconds)
        faults.down = False

    async def _inject_endpoint_fault(self, fault: Fault) -> None:
        endpoint, proxy = self._endpoints[fault.target], self._endpoint_proxies[fault.target]
        match fault.kind:
            case FaultKind.DELAY_ENDPOINT:
                proxy.faults.delay = FAULT_DELAY_SECONDS
            case FaultKind.CUT_ENDPOINT:
                proxy.faults.withholds_requests = proxy.faults.withholds_answers = True
            case FaultKind.RESET_ENDPOINT:
                proxy.reset()
            case FaultKind.CRASH_ENDPOINT:
                endpoint.crash()
        await sleep(self._timers, fault.seconds)
        endpoint.start()
        proxy.clear_faults()
