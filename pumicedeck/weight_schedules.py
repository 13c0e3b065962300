"""Carries the plan of weight loads out: what each engine holds, and which orders are under way."""

from collections.abc import Callable

from loguru import logger

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.engine_orders import EngineOrders
from pumicedeck.tasks import Task
from pumicedeck.weight_plans import (
    EngineStatus,
    LoadVersion,
    ModelDemand,
    WeightPlanSettings,
    assign_models,
    plan_loads,
)

LOAD_RETRY_SECONDS = 0.4
LONGEST_RETRY_SECONDS = 1.6

_log = logger.bind(module="weight_schedules")


class WeightSchedule:
    """Knows the versions that engines hold and orders the loads that the plan asks for."""

    def __init__(
        self,
        timers: TimerQueue,
        directory: EndpointDirectory,
        orders: EngineOrders,
        changed: Callable[[], None],
        settings: WeightPlanSettings,
    ) -> None:
        """Tell `changed` when an engine has another version."""
        self._timers = timers
        self._directory = directory
        self._orders = orders
        self._changed = changed
        self._settings = settings
        self._loading: dict[str, Task] = {}
        self._load_after: dict[str, float] = {}
        self._silent: dict[str, int] = {}
        self._assigned: dict[str, str] = {}
        self._known: dict[tuple[str, int, str], int] = {}
        self._idle_since: dict[str, float] = {}

    def versions(self, endpoint: DirectEndpoint) -> dict[str, int]:
        """Return the newest versions known: from the list, reports and answers."""
        return {
            each.model: max(
                each.version, self._known.get((endpoint.name, endpoint.incarnation, each.model), 0)
            )
            for each in endpoint.models
        }

    def record_version(self, endpoint: DirectEndpoint, model: str, version: int) -> None:
        """Take in the version that an engine has shown."""
        key = (endpoint.name, endpoint.incarnation, model)
        self._known[key] = max(version, self._known.get(key, 0))

    def is_loading(self, engine: str) -> bool:
        """Return whether an engine was ordered to load."""
        return engine in self._loading

    def assigned_model(self, engine: str) -> str:
        """Return the model that an engine serves first, empty if none."""
        return self._assigned.get(engine, "")

    def cancel(self) -> None:
        """Wait for no load any more."""
        for task in tuple(self._loading.values()):
            task.cancel()
        self._loading.clear()

    def plan(
        self,
        running: dict[str, int],
        models: list[str],
        demands: dict[str, ModelDemand],
        fencing: int | None,
        retain: bool,
    ) -> None:
        """Share the engines among `models` and order loads; None forbids orders for now."""
        now = self._timers.now()
        loads = [
            EngineStatus(
                endpoint.name,
                self.versions(endpoint),
                running.get(endpoint.name, 0),
                self._idle_for(endpoint.name, running, now),
                endpoint.name in self._silent,
            )
            for endpoint in self._directory.endpoints
            if endpoint.models and not endpoint.draining
        ]
        if not models:
            return
        self._assigned = assign_models(loads, models, self._assigned)
        if fencing is None:
            return
        free = [load for load in loads if self._may_load(load.name, now)]
        for load in plan_loads(free, self._assigned, demands, len(self._loading), self._settings):
            self._start(load, fencing, retain)

    def _idle_for(self, engine: str, running: dict[str, int], now: float) -> float:
        if running.get(engine):
            self._idle_since.pop(engine, None)
            return 0.0
        return now - self._idle_since.setdefault(engine, now)

    def _may_load(self, engine: str, now: float) -> bool:
        return engine not in self._loading and now >= self._load_after.get(engine, 0.0)

    def _start(self, load: LoadVersion, fencing: int, retain: bool) -> None:
        state = self._directory.state(load.engine)
        if state is None:
            return
        work = self._carry_out(load, state.endpoint, fencing, retain)
        task = Task(work, f"load {load.engine}")
        if not task.is_done:
            self._loading[load.engine] = task

    async def _carry_out(
        self, load: LoadVersion, endpoint: DirectEndpoint, fencing: int, retain: bool
    ) -> None:
        report = await self._orders.load(endpoint, load, fencing, retain)
        self._loading.pop(load.engine, None)
        if report is not None:
            for each in report.models:
                self.record_version(endpoint, each.model, each.version)
        if report is None:
            self._silent[load.engine] = self._silent.get(load.engine, -1) + 1
        else:
            self._silent.pop(load.engine, None)
        if report is None or report.version_of(load.model) < load.version:
            pause = LOAD_RETRY_SECONDS * 2 ** self._silent.get(load.engine, 0)
            pause = min(LONGEST_RETRY_SECONDS, pause)
            self._load_after[load.engine] = self._timers.now() + pause
        if report is not None:
            self._changed()
