"""Runs the work of all open submissions while it holds the scheduler's lease.

One scheduler sees every queue and gives every order, so engines are never shared by rivals; what
must outlast it lies in the store, and whoever takes the lease goes on from there.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger
from result import Err

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.endpoint_callers import EndpointCaller
from pumicedeck.engine_orders import EngineOrders
from pumicedeck.engine_paces import EnginePaces
from pumicedeck.item_queues import (
    DOMAIN_COST,
    REGION_COST,
    EngineView,
    MoveSettings,
    QueuedItem,
    RunningItem,
    assign_items,
    choose_moves,
    choose_spare_groups,
)
from pumicedeck.item_runs import ItemRun, RunEnd
from pumicedeck.leftovers import Leftovers
from pumicedeck.partitioned_stores import PartitionedStore
from pumicedeck.results import ResultCode
from pumicedeck.reward_calls import RewardCaller
from pumicedeck.route_tables import Route, RouteTable
from pumicedeck.store_clocks import StoreClock
from pumicedeck.submission_sweeps import SubmissionSweep
from pumicedeck.submission_works import ItemWork, SubmissionWork, read_progress
from pumicedeck.submissions import ItemResult
from pumicedeck.tasks import Task, sleep, spawn
from pumicedeck.weight_plans import (
    EngineLoad,
    LoadVersion,
    ModelDemand,
    WeightPlanSettings,
    assign_models,
    plan_loads,
)
from pumicedeck.work_mirrors import SubmissionView, WorkMirror
from pumicedeck.world import FailureDomain

_log = logger.bind(module="schedulers")


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Times in seconds.

    A group that the step can do without waits up to `spare_seconds` for the newest weights. Orders
    wait `takeover_seconds` after another holder's lease, within which that holder may have
    sent its last one. A run that says nothing for `silence_seconds` is ended.
    """

    tick_seconds: float = 0.1
    takeover_seconds: float = 3.3
    silence_seconds: float = 1.5
    stall_seconds: float = 0.7
    save_seconds: float = 0.35
    avoid_seconds: float = 2.0
    refused_seconds: float = 0.1
    default_give_up_seconds: float = 40.0
    adopt_retry_seconds: float = 0.2
    load_retry_seconds: float = 0.4
    searched_steps: int = 2
    spare_seconds: float = 1.4
    late_seconds: float = 0.7


@dataclass(slots=True)
class SchedulerParts:
    """What the scheduler works with."""

    timers: TimerQueue
    store: PartitionedStore
    clock: StoreClock
    mirror: WorkMirror
    directory: EndpointDirectory
    caller: EndpointCaller
    rewards: RewardCaller
    orders: EngineOrders
    routes: Callable[[], RouteTable | None]
    named_versions: dict[str, int]
    holder: str
    home: FailureDomain
    may_claim: Callable[[], bool]
    sweep: SubmissionSweep
    plan: WeightPlanSettings = field(default_factory=WeightPlanSettings)
    moves: MoveSettings = field(default_factory=MoveSettings)


class Scheduler:
    """Owns the runs of items and the loading of weights."""

    def __init__(self, parts: SchedulerParts, settings: SchedulerSettings | None = None) -> None:
        """Do nothing until `begin`."""
        self._parts = parts
        self._timers = parts.timers
        self._settings = settings or SchedulerSettings()
        self._works: dict[str, SubmissionWork] = {}
        self._adopting: set[str] = set()
        self._runs: dict[tuple[str, str], tuple[ItemRun, Task]] = {}
        self._pump_due = False
        self._loading: dict[str, tuple[LoadVersion, Task]] = {}
        self._load_after: dict[str, float] = {}
        self._assigned: dict[str, str] = {}
        self._known_versions: dict[tuple[str, int, str], int] = {}
        self._paces = EnginePaces()
        self._idle_since: dict[str, float] = {}
        self._leftovers = Leftovers()
        self._searched: set[str] = set()
        self._fencing = 0
        self._active = False
        self._orders_from = 0.0
        self._saved_at = 0.0
        self._ticker: Task | None = None
        self._watcher: Task | None = None
        self._sweeper: Task | None = None

    @property
    def is_active(self) -> bool:
        """Return whether this process runs the submissions."""
        return self._active

    @property
    def open_works(self) -> int:
        """Return how many submissions are worked on."""
        return len(self._works)

    @property
    def running_items(self) -> int:
        """Return how many items are at engines."""
        return len(self._runs)

    def begin(self, fencing: int, predecessor: str) -> None:
        """Take over all open submissions under a new fencing number."""
        now = self._timers.now()
        self._fencing = fencing
        if not self._active:
            self._orders_from = now + (self._settings.takeover_seconds if predecessor else 0.0)
        self._active = True
        _log.info(
            "scheduling begun",
            fencing=fencing,
            predecessor=predecessor,
            open=sum(1 for view in self._parts.mirror.views if view.is_open),
        )
        if self._ticker is None:
            self._ticker = spawn(self._tick_forever(), "scheduler tick")
            self._watcher = spawn(self._watch_mirror(), "scheduler watch")
            self._sweeper = spawn(self._parts.sweep.run(), "submission sweep")
        self._look()

    def stop(self, reason: str) -> None:
        """Give up all work; the store keeps what the next scheduler needs."""
        if not self._active:
            return
        self._active = False
        _log.info("scheduling stopped", reason=reason, running=len(self._runs))
        for task in (self._ticker, self._watcher, self._sweeper):
            if task is not None:
                task.cancel()
        self._ticker = self._watcher = self._sweeper = None
        self._cancel_items(lambda key: True)
        for _, task in tuple(self._loading.values()):
            task.cancel()
        self._loading.clear()
        for work in tuple(self._works.values()):
            work.close()
        self._works.clear()

    async def hand_over(self) -> None:
        """Stop every run and store what they made, for the next scheduler to go on from."""
        self._cancel_items(lambda key: True)
        saves = [spawn(work.save_all(), "hand-over") for work in tuple(self._works.values())]
        for save in saves:
            await save.ended

    async def _tick_forever(self) -> None:
        while True:
            await sleep(self._timers, self._settings.tick_seconds)
            self._look()

    async def _watch_mirror(self) -> None:
        while True:
            await self._parts.mirror.changed.wait()
            self._look()

    def _look(self) -> None:
        if not self._active:
            return
        for view in self._parts.mirror.views:
            self._follow_view(view)
        self._pump()

    def _follow_view(self, view: SubmissionView) -> None:
        work = self._works.get(view.submission_id)
        if work is not None and (view.ended or not view.is_open):
            self._drop(work, "ended" if view.ended else "all listed")
        elif work is not None and view.fencing > self._fencing:
            self._drop(work, "owned by a newer scheduler")
        elif work is None and self._may_adopt(view):
            self._adopting.add(view.submission_id)
            spawn(self._adopt(view), f"adopt {view.submission_id}")

    def _may_adopt(self, view: SubmissionView) -> bool:
        """Tell whether to claim a submission; a holder whose lease lapsed claims nothing."""
        known = not view.is_open or view.submission_id in self._adopting
        return not known and view.fencing <= self._fencing and self._parts.may_claim()

    async def _adopt(self, view: SubmissionView) -> None:
        try:
            work = await self._take_over(view)
        finally:
            # Until the work is known here, a second claim would run its items twice.
            self._adopting.discard(view.submission_id)
        if work is not None:
            self._pump()

    async def _take_over(self, view: SubmissionView) -> SubmissionWork | None:
        """Claim a submission, read what is left of it and add it to the works."""
        fencing = self._fencing
        work = SubmissionWork(
            self._timers, self._parts.store, view.head, self._parts.holder, self._on_lost
        )
        outcome = await work.adopt(fencing, view)
        if isinstance(outcome, Err):
            failure = outcome.err_value
            _log.warning(
                "submission not adopted",
                submission=view.submission_id,
                code=failure.code.name,
                detail=failure.detail,
            )
            if failure.code is not ResultCode.FENCED:
                await sleep(self._timers, self._settings.adopt_retry_seconds)
            return None
        await self._search_leftovers(view)
        if not self._active or self._fencing != fencing or not view.is_open:
            work.close()
            return None
        self._works[view.submission_id] = work
        self._prepare(work)
        return work

    def _prepare(self, work: SubmissionWork) -> None:
        """Let items go on from earlier texts and choose the groups that can be spared."""
        reused = self._reuse(work)
        work.spare_groups = choose_spare_groups(
            [
                (each.item.group, each.item.expected_length, each.carried)
                for each in work.waiting.values()
            ],
            work.head.wanted_groups,
        )
        _log.info(
            "submission adopted",
            submission=work.submission_id,
            step=work.head.step,
            model=work.head.model,
            min_version=work.head.min_version,
            items=len(work.waiting),
            listed=work.listed,
            resumed=sum(1 for each in work.waiting.values() if each.progress.last_event),
            reused=reused,
            age=round(self._parts.clock.now() - work.head.accepted, 3),
        )

    async def _search_leftovers(self, view: SubmissionView) -> None:
        """Read the texts of the last ended steps that a scheduler before us has left."""
        ended = sorted(
            (
                each
                for each in self._parts.mirror.views
                if each.head is not None and each.ended and each.head.model == view.head.model
            ),
            key=lambda each: -each.head.accepted,
        )
        for each in ended[: self._settings.searched_steps]:
            for result in each.results:
                self._leftovers.keep_result(result)
            if each.submission_id in self._searched:
                continue
            self._searched.add(each.submission_id)
            texts = await read_progress(self._parts.store, each.submission_id)
            for item_id, progress in texts.items():
                self._leftovers.keep(item_id, progress)

    def _reuse(self, work: SubmissionWork) -> int:
        """Let items go on from texts of earlier steps; return how many do."""
        route = self._route(work)
        single = route is not None and route.single_version
        reused = 0
        carried = {
            each.item.group
            for each in work.waiting.values()
            if self._leftovers.knows(each.item.item_id)
        }
        for each in work.waiting.values():
            each.carried = each.item.group in carried
            if each.progress.last_event:
                continue
            found = self._leftovers.find(each.item.item_id, work.head.min_version, single)
            if found is not None:
                each.progress = found
                reused += 1
        return reused

    def _on_lost(self, work: SubmissionWork) -> None:
        self._drop(work, "lost to another scheduler")

    def _drop(self, work: SubmissionWork, reason: str) -> None:
        self._works.pop(work.submission_id, None)
        work.close()
        self._cancel_items(lambda key: key[0] == work.submission_id)
        for each in (*work.waiting.values(), *work.running.values()):
            self._leftovers.keep(each.item.item_id, each.progress)
        self._searched.add(work.submission_id)
        _log.info(
            "submission dropped",
            submission=work.submission_id,
            reason=reason,
            listed=work.listed,
            unlisted=len(work.waiting) + len(work.running),
        )

    def _cancel_items(self, chosen: Callable[[tuple[str, str]], bool]) -> None:
        """Cancel runs by (submission, item)."""
        for key in [key for key in self._runs if chosen(key)]:
            _, task = self._runs.pop(key)
            task.cancel()

    def _route(self, work: SubmissionWork) -> Route | None:
        routes = self._parts.routes()
        return routes.find_named(work.head.route) if routes is not None else None

    def _give_up_at(self, work: SubmissionWork, route: Route) -> float:
        seconds = route.give_up or self._settings.default_give_up_seconds
        return self._parts.clock.local(work.head.accepted) + seconds

    def _pump(self) -> None:
        """Start what may start, move what is stuck, load what is wanted."""
        self._pump_due = False
        if not self._active:
            return
        now = self._timers.now()
        self._end_stalled(now)
        engines = self._engine_views(now)
        queued: dict[tuple[str, str], QueuedItem] = {}
        for work in tuple(self._works.values()):
            self._collect(work, queued, now)
        items = list(queued.values())
        started = self._start_items(items, engines, now)
        if not started or len(started) == len(items):
            self._move_items(engines, now)
        self._plan_weights(len(items) - len(started))
        if now - self._saved_at >= self._settings.save_seconds:
            self._saved_at = now
            for work in self._works.values():
                work.save_progress()

    def _collect(
        self, work: SubmissionWork, queued: dict[tuple[str, str], QueuedItem], now: float
    ) -> None:
        route = self._route(work)
        if route is None:
            self._give_up_all(work, "its route is gone")
            return
        if now >= self._give_up_at(work, route):
            self._give_up_all(work, "its longest wait is over")
            return
        for item_id, each in tuple(work.waiting.items()):
            if each.progress.whole:
                del work.waiting[item_id]
                work.running[item_id] = each
                self._begin_scoring(work, each)
            elif now >= each.not_before:
                queued[(work.submission_id, item_id)] = self._queued(work, route, each, now)

    def _queued(self, work: SubmissionWork, route: Route, each: ItemWork, now: float) -> QueuedItem:
        left = max(1.0, each.item.expected_length - each.progress.last_event)
        return QueuedItem(
            item_id=f"{work.submission_id}/{each.item.item_id}",
            submission_id=work.submission_id,
            model=work.head.model,
            pool=route.pools[0].pool,
            group=each.item.group,
            min_version=self._least_version(work, each),
            due=self._parts.clock.local(work.head.accepted)
            + route.due
            + self._settings.late_seconds,
            expected_length=left if each.item.expected_length else 0.0,
            carried=each.carried,
            single_version=route.single_version,
            versions=tuple(each.progress.versions),
            avoid=frozenset(name for name, until in each.avoid.items() if until > now),
        )

    def _least_version(self, work: SubmissionWork, each: ItemWork) -> int:
        """Hold what the next step will probably carry over for the newest weights, for a moment."""
        age = self._parts.clock.now() - work.head.accepted
        if each.item.group in work.spare_groups and age < self._settings.spare_seconds:
            return max(work.head.min_version, self._parts.named_versions.get(work.head.model, 0))
        return work.head.min_version

    def _give_up_all(self, work: SubmissionWork, reason: str) -> None:
        for each in tuple(work.waiting.values()):
            self._list_down(work, each, reason)

    def _list_down(self, work: SubmissionWork, each: ItemWork, reason: str) -> None:
        work.waiting.pop(each.item.item_id, None)
        work.running.pop(each.item.item_id, None)
        _log.info(
            "item given up",
            submission=work.submission_id,
            item=each.item.item_id,
            reason=reason,
            attempts=each.attempts,
            errors=each.errors,
        )
        work.add_result(ItemResult(each.item.item_id, completed=False))

    def _engine_views(self, now: float) -> list[EngineView]:
        counts: dict[str, int] = {}
        groups: dict[str, set[str]] = {}
        for run, _ in self._runs.values():
            counts[run.endpoint.name] = counts.get(run.endpoint.name, 0) + 1
            groups.setdefault(run.endpoint.name, set()).add(run.work.item.group)
        views = []
        for endpoint in self._parts.directory.endpoints:
            if endpoint.draining or not endpoint.models:
                continue
            name = endpoint.name
            if counts.get(name):
                self._idle_since.pop(name, None)
            else:
                self._idle_since.setdefault(name, now)
            state = self._parts.directory.state(name)
            blocked = name in self._loading or (state is not None and now < state.avoid_until)
            free = 0 if blocked else max(0, endpoint.slots - counts.get(name, 0))
            views.append(
                EngineView(
                    name=name,
                    pool=endpoint.pool,
                    free_slots=free,
                    slots=endpoint.slots,
                    versions=self._versions(endpoint),
                    event_seconds=self._paces.seconds(name, now),
                    distance_cost=self._distance_cost(endpoint),
                    assigned_model=self._assigned.get(name, ""),
                    groups=groups.get(name, set()),
                )
            )
        return views

    def _versions(self, endpoint: DirectEndpoint) -> dict[str, int]:
        """Return the newest versions known: from the list, reports and answers."""
        versions = {each.model: each.version for each in endpoint.models}
        for model, version in versions.items():
            known = self._known_versions.get((endpoint.name, endpoint.born, model), 0)
            versions[model] = max(version, known)
        return versions

    def _distance_cost(self, endpoint: DirectEndpoint) -> float:
        domain, home = endpoint.failure_domain, self._parts.home
        if domain.region != home.region:
            return REGION_COST
        return 1.0 if domain.name == home.name else DOMAIN_COST

    def _start_items(
        self, items: list[QueuedItem], engines: list[EngineView], now: float
    ) -> set[str]:
        by_id = {item.item_id: item for item in items}
        started = set()
        for assignment in assign_items(items, engines, now):
            item = by_id[assignment.item_id]
            state = self._parts.directory.state(assignment.engine)
            work = self._works.get(item.submission_id)
            if state is None or work is None:
                continue
            each = work.waiting[item.item_id.partition("/")[2]]
            started.add(item.item_id)
            self._start(work, each, state.endpoint, item.single_version)
        return started

    def _start(
        self, work: SubmissionWork, each: ItemWork, endpoint: DirectEndpoint, single: bool
    ) -> None:
        del work.waiting[each.item.item_id]
        work.running[each.item.item_id] = each
        each.attempts += 1
        run = ItemRun(self._timers, self._parts.caller, work.head, each, endpoint, single)
        key = (work.submission_id, each.item.item_id)
        _log.info(
            "item started",
            submission=work.submission_id,
            item=each.item.item_id,
            engine=endpoint.name,
            attempt=each.attempts,
            after_event=each.progress.last_event,
        )
        task = Task(self._run_item(work, each, run, key), f"item {each.item.item_id}")
        if not task.is_done and each.item.item_id in work.running:
            self._runs[key] = (run, task)

    async def _run_item(
        self, work: SubmissionWork, each: ItemWork, run: ItemRun, key: tuple[str, str]
    ) -> None:
        route = self._route(work)
        seconds = self._settings.default_give_up_seconds
        if route is not None:
            seconds = max(1.0, self._give_up_at(work, route) - self._timers.now())
        end, detail = await run.run(seconds, self._settings.silence_seconds)
        self._runs.pop(key, None)
        self._note_run(run, end)
        if end is RunEnd.WHOLE:
            # The engine's slot is free while the text is scored.
            self._pump_soon()
            self._begin_scoring(work, each)
            return
        self._requeue(work, each, run.endpoint, end, detail)

    def _note_run(self, run: ItemRun, end: RunEnd) -> None:
        now = self._timers.now()
        if run.events:
            self._paces.saw(run.endpoint.name, run.events, now - run.started, now)
        if run.version_seen:
            key = (run.endpoint.name, run.endpoint.born, run.head.model)
            self._known_versions[key] = max(run.version_seen, self._known_versions.get(key, 0))

    def _begin_scoring(self, work: SubmissionWork, each: ItemWork) -> None:
        if self._works.get(work.submission_id) is work:
            work.score(each.item.item_id, self._score(work, each))

    async def _score(self, work: SubmissionWork, each: ItemWork) -> None:
        score: str | None = ""
        if each.item.reward is not None:
            route = self._route(work)
            routes = self._parts.routes()
            until = self._give_up_at(work, route) if route is not None else 0.0
            most = route.max_attempts if route is not None else 1
            score = await self._parts.rewards.score(each.item.reward, routes, most, until)
        if self._works.get(work.submission_id) is not work:
            return
        if score is None:
            self._list_down(work, each, "no score")
            return
        work.running.pop(each.item.item_id, None)
        _log.info(
            "item completed",
            submission=work.submission_id,
            item=each.item.item_id,
            attempts=each.attempts,
            events=each.progress.last_event,
            versions=each.progress.versions,
            age=round(self._parts.clock.now() - work.head.accepted, 3),
        )
        progress = each.progress
        work.add_result(
            ItemResult(
                each.item.item_id, True, progress.text, tuple(progress.versions), score or ""
            )
        )

    def _requeue(
        self,
        work: SubmissionWork,
        each: ItemWork,
        endpoint: DirectEndpoint,
        end: RunEnd,
        detail: str,
    ) -> None:
        now = self._timers.now()
        _log.info(
            "run ended early",
            submission=work.submission_id,
            item=each.item.item_id,
            engine=endpoint.name,
            end=end.value,
            detail=detail,
            after_event=each.progress.last_event,
        )
        if self._works.get(work.submission_id) is not work:
            return
        work.running.pop(each.item.item_id, None)
        route = self._route(work)
        if end is RunEnd.ENGINE_ERROR:
            each.errors += 1
            if route is not None and each.errors >= route.max_attempts:
                self._list_down(work, each, "the engines failed it each time")
                return
        if end is RunEnd.IMPOSSIBLE:
            self._list_down(work, each, "it can never be done")
            return
        pause = self._settings.avoid_seconds
        if end is RunEnd.NOT_TAKEN:
            pause = self._settings.refused_seconds
            each.not_before = now + self._settings.refused_seconds
        each.avoid[endpoint.name] = now + pause
        work.waiting[each.item.item_id] = each
        self._pump_soon()

    def _pump_soon(self) -> None:
        if not self._pump_due:
            self._pump_due = True
            self._timers.call_later(0.0, self._pump)

    def _end_stalled(self, now: float) -> None:
        """End the runs of engines that have said nothing at all for a while."""
        heard: dict[str, float] = {}
        for run, _ in self._runs.values():
            name = run.endpoint.name
            heard[name] = max(heard.get(name, 0.0), run.heard)
        for (submission_id, item_id), (run, task) in tuple(self._runs.items()):
            name = run.endpoint.name
            silent = now - heard[name] > self._settings.stall_seconds
            if run.wrong_version:
                reason = RunEnd.WRONG_VERSION
            elif name not in self._loading and silent:
                reason = RunEnd.BROKEN
                self._parts.directory.failed(name, now)
                self._parts.caller.distrust(run.endpoint)
            else:
                continue
            self._runs.pop((submission_id, item_id), None)
            task.cancel()
            self._note_run(run, reason)
            work = self._works.get(submission_id)
            if work is not None:
                self._requeue(work, run.work, run.endpoint, reason, "ended by the scheduler")

    def _move_items(self, engines: list[EngineView], now: float) -> None:
        running, by_id = [], {}
        for key, (run, _) in self._runs.items():
            work = self._works.get(key[0])
            route = self._route(work) if work is not None else None
            if route is None or run.events < 2:
                continue
            self._paces.saw_running(run.endpoint.name, run.events, now - run.started, now)
            queued = self._queued(work, route, run.work, now)
            by_id[queued.item_id] = key
            left = queued.expected_length or 10.0
            running.append(RunningItem(queued, run.endpoint.name, left, run.work.moves))
        for move in choose_moves(running, engines, self._parts.moves):
            key = by_id[move.item_id]
            run, task = self._runs.pop(key)
            task.cancel()
            run.work.moves += 1
            self._note_run(run, RunEnd.BROKEN)
            self._requeue(
                self._works[key[0]], run.work, run.endpoint, RunEnd.BROKEN, "moved to a faster one"
            )

    def _plan_weights(self, waiting: int) -> None:
        now = self._timers.now()
        named = self._parts.named_versions
        engines = [
            endpoint
            for endpoint in self._parts.directory.endpoints
            if endpoint.models and not endpoint.draining
        ]
        loads = [
            EngineLoad(
                endpoint.name,
                self._versions(endpoint),
                sum(1 for run, _ in self._runs.values() if run.endpoint.name == endpoint.name),
                now - self._idle_since[endpoint.name] if endpoint.name in self._idle_since else 0.0,
            )
            for endpoint in engines
        ]
        models = sorted({work.head.model for work in self._works.values()} | set(named))
        if not models:
            return
        self._assigned = assign_models(loads, models, self._assigned)
        if now < self._orders_from:
            return
        plan = plan_loads(
            [load for load in loads if self._may_load(load.name, now)],
            self._assigned,
            self._demands(named),
            len(self._loading),
            self._parts.plan,
        )
        for load in plan:
            self._load(load)

    def _may_load(self, engine: str, now: float) -> bool:
        return engine not in self._loading and now >= self._load_after.get(engine, 0.0)

    def _demands(self, named: dict[str, int]) -> dict[str, ModelDemand]:
        demands = {}
        for model, version in named.items():
            works = [each for each in self._works.values() if each.head.model == model]
            needed = max((each.head.min_version for each in works), default=0)
            waiting = sum(len(each.waiting) for each in works)
            demands[model] = ModelDemand(model, version, needed, waiting)
        return demands

    def _load(self, load: LoadVersion) -> None:
        state = self._parts.directory.state(load.engine)
        if state is None:
            return
        retain = all(
            route is None or not route.single_version
            for route in (self._route(work) for work in self._works.values())
        )
        task = Task(self._carry_out(load, state.endpoint, retain), f"load {load.engine}")
        if not task.is_done:
            self._loading[load.engine] = (load, task)

    async def _carry_out(self, load: LoadVersion, endpoint: DirectEndpoint, retain: bool) -> None:
        report = await self._parts.orders.load(endpoint, load, self._fencing, retain)
        self._loading.pop(load.engine, None)
        if report is None:
            self._load_after[load.engine] = self._timers.now() + self._settings.load_retry_seconds
            return
        for each in report.models:
            key = (endpoint.name, endpoint.born, each.model)
            self._known_versions[key] = max(each.version, self._known_versions.get(key, 0))
        if report.version_of(load.model) < load.version:
            self._load_after[load.engine] = self._timers.now() + self._settings.load_retry_seconds
        self._pump_soon()
