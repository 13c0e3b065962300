"""Carries out the weight plan: tracks the engines' weight versions and orders their loads."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from loguru import logger

from pumicedeck.backoffs import doubled_seconds
from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.scheduling.engine_groups import ServableModels
from pumicedeck.scheduling.engine_orders import EngineOrders
from pumicedeck.scheduling.engine_shares import Deal, EngineShares, ShareSettings
from pumicedeck.scheduling.model_shares import StepNeed
from pumicedeck.scheduling.weight_plans import (
    EngineStatus,
    LoadVersion,
    ModelDemand,
    WeightPlanSettings,
    plan_loads,
    plan_shared_loads,
)
from pumicedeck.tasks import Task

LOAD_RETRY_SECONDS = 0.4
MAX_LOAD_RETRY_SECONDS = 1.6

_log = logger.bind(module="weight_schedules")


class WeightSchedule:
    """Tracks the versions that engines have loaded and orders the loads that the plan chooses."""

    def __init__(
        self,
        timers: TimerQueue,
        directory: EndpointDirectory,
        orders: EngineOrders,
        on_changed: Callable[[], None],
        settings: WeightPlanSettings,
        shares: ShareSettings,
        event_seconds: Callable[[DirectEndpoint], float],
    ) -> None:
        """Call `on_changed` after an engine has reported at the end of a load.

        `event_seconds` returns the lasting seconds per event at an engine.
        """
        self._timers = timers
        self._directory = directory
        self._orders = orders
        self._on_changed = on_changed
        self._settings = settings
        self._loading: dict[str, Task] = {}
        self._loading_models: dict[str, str] = {}
        self._next_load_at: dict[str, float] = {}
        self._unanswered_retries: dict[str, int] = {}
        self._assigned: dict[str, str] = {}
        self._observed_versions: dict[tuple[str, int, str], int] = {}
        self._idle_since: dict[str, float] = {}
        self._shares = EngineShares(shares)
        self._event_seconds = event_seconds
        self._dealt: Counter[str] = Counter()

    @property
    def dealt_engines(self) -> dict[str, int]:
        """Return the number of engines that were dealt to another model, by reason."""
        return dict(self._dealt)

    def versions(self, endpoint: DirectEndpoint) -> dict[str, int]:
        """Return the newest known version of each model of an engine.

        The versions come from the endpoint's registration, its reports and its answers.
        """
        return {
            each.model: max(
                each.version,
                self._observed_versions.get((endpoint.name, endpoint.incarnation, each.model), 0),
            )
            for each in endpoint.models
        }

    def record_version(self, endpoint: DirectEndpoint, model: str, version: int) -> None:
        """Record a version that an engine has reported or answered with."""
        key = (endpoint.name, endpoint.incarnation, model)
        self._observed_versions[key] = max(version, self._observed_versions.get(key, 0))

    def is_loading(self, engine: str) -> bool:
        """Return whether a load of an engine is under way."""
        return engine in self._loading

    def assigned_model(self, engine: str) -> str:
        """Return the model that the plan has assigned to an engine, empty if none."""
        return self._assigned.get(engine, "")

    def cancel(self) -> None:
        """Stop waiting for the loads under way; the engines may still carry them out."""
        for task in tuple(self._loading.values()):
            task.cancel()
        self._loading.clear()
        self._loading_models.clear()

    def plan(
        self,
        running: dict[str, int],
        models: list[str],
        demands: dict[str, ModelDemand],
        fencing: int,
        may_order: Callable[[str], bool],
        retain: bool,
        steps: Callable[[], Iterable[StepNeed]],
        pools_by_model: Mapping[str, frozenset[str]] | None = None,
    ) -> None:
        """Assign the engines to `models` and order loads with the fencing number `fencing`.

        Nothing is ordered from engines for which `may_order` returns False. `running` counts the
        running items by engine name, `steps` returns the open steps of all models.
        With `retain` runs continue under the new version. `pools_by_model` has the pools that a
        model's items may run in; other models may be served by any pool.
        """
        now = self._timers.now()
        servable = ServableModels(pools_by_model or {})
        statuses = [
            self._status(endpoint, running, now, servable)
            for endpoint in self._directory.endpoints
            if endpoint.models and not endpoint.draining
        ]
        if not models:
            return
        if self._shares.is_due(now):
            self._shares.record_steps(steps())
        announced = {model: demand.announced for model, demand in demands.items()}
        self._apply(self._shares.deal(statuses, models, announced, self._assigned, now))
        free = [
            status
            for status in statuses
            if self._may_load(status.name, now) and may_order(status.name)
        ]
        for load in plan_loads(free, self._assigned, demands, len(self._loading), self._settings):
            self._start(load, fencing, retain)
        loading = tuple(self._loading_models.values())
        for load in plan_shared_loads(statuses, self._assigned, demands, loading):
            if self._may_load(load.engine, now) and may_order(load.engine):
                self._start(load, fencing, retain)

    def _status(
        self,
        endpoint: DirectEndpoint,
        running: dict[str, int],
        now: float,
        servable: ServableModels,
    ) -> EngineStatus:
        """Return what the plan needs to know about an engine."""
        versions = self.versions(endpoint)
        return EngineStatus(
            endpoint.name,
            versions,
            running.get(endpoint.name, 0),
            self._idle_seconds(endpoint.name, running, now),
            endpoint.name in self._unanswered_retries,
            endpoint.slots,
            self._event_seconds(endpoint),
            servable.find(versions, endpoint.pool),
        )

    def _apply(self, deal: Deal) -> None:
        """Adopt the model of each engine, with a log line if engines changed theirs."""
        self._assigned = deal.assigned
        if deal.reason is None:
            return
        self._dealt[deal.reason.value] += deal.changed
        _log.info(
            "engines dealt anew",
            reason=deal.reason.value,
            changed=deal.changed,
            engines=dict(Counter(deal.assigned.values())),
        )

    def _idle_seconds(self, engine: str, running: dict[str, int], now: float) -> float:
        """Return for how many seconds an engine has run nothing, 0 while it runs items."""
        if running.get(engine):
            self._idle_since.pop(engine, None)
            return 0.0
        return now - self._idle_since.setdefault(engine, now)

    def _may_load(self, engine: str, now: float) -> bool:
        """Return whether no load of an engine is under way and its retry pause is over."""
        return engine not in self._loading and now >= self._next_load_at.get(engine, 0.0)

    def _start(self, load: LoadVersion, fencing: int, retain: bool) -> None:
        """Start a task that orders a load."""
        state = self._directory.state(load.engine)
        if state is None:
            return
        coroutine = self._load(load, state.endpoint, fencing, retain)
        task = Task(coroutine, f"load {load.engine}")
        if not task.is_done:
            self._loading[load.engine] = task
            self._loading_models[load.engine] = load.model

    async def _load(
        self, load: LoadVersion, endpoint: DirectEndpoint, fencing: int, retain: bool
    ) -> None:
        """Order a load, record the reported versions and plan a retry if it failed."""
        started = self._timers.now()
        report = await self._orders.load(endpoint, load, fencing, retain)
        self._loading.pop(load.engine, None)
        self._loading_models.pop(load.engine, None)
        _log.info(
            "weight load ended",
            engine=load.engine,
            model=load.model,
            version=report.version_of(load.model) if report is not None else None,
            seconds=round(self._timers.now() - started, 3),
        )
        if report is not None:
            for each in report.models:
                self.record_version(endpoint, each.model, each.version)
        if report is None:
            self._unanswered_retries[load.engine] = (
                self._unanswered_retries.get(load.engine, -1) + 1
            )
        else:
            self._unanswered_retries.pop(load.engine, None)
        if report is None or report.version_of(load.model) < load.version:
            retries = self._unanswered_retries.get(load.engine, 0)
            pause = doubled_seconds(LOAD_RETRY_SECONDS, retries, MAX_LOAD_RETRY_SECONDS)
            self._next_load_at[load.engine] = self._timers.now() + pause
        if report is not None:
            self._on_changed()
