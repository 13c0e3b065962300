"""Runs the items of all open submissions while this process holds the scheduler's lease.

A single scheduler chooses the engine of every item and sends all orders (commands to engines to
load weights), so that no two processes compete for an engine. What the next scheduler needs is in
the store; the process that acquires the lease next continues from there.
"""

from collections import Counter
from collections.abc import Callable, Mapping

from loguru import logger

from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.order_announcements import earliest_order
from pumicedeck.scheduling.engine_fleets import EngineFleet, RunKey
from pumicedeck.scheduling.engine_groups import ModelPools
from pumicedeck.scheduling.engine_permits import EnginePermits
from pumicedeck.scheduling.event_intervals import EngineEventIntervals
from pumicedeck.scheduling.item_endings import ItemEndings
from pumicedeck.scheduling.item_moves import ItemMoves
from pumicedeck.scheduling.item_queues import QueuedItem
from pumicedeck.scheduling.item_runs import ItemRun
from pumicedeck.scheduling.item_starts import ItemStarts, discard_unusable_output
from pumicedeck.scheduling.run_ends import RunEnd, choose_runs_to_end
from pumicedeck.scheduling.scheduler_parts import SchedulerParts, SchedulerSettings
from pumicedeck.scheduling.step_needs import collect_steps
from pumicedeck.scheduling.submission_adoptions import SubmissionAdoptions
from pumicedeck.scheduling.submission_works import ItemWork, SubmissionWork
from pumicedeck.scheduling.weight_plans import ModelDemand
from pumicedeck.scheduling.weight_schedules import WeightSchedule
from pumicedeck.tasks import Task, sleep, spawn
from pumicedeck.work_mirrors import SubmissionView

# Encoding the outputs of one takes about 1 ms.
MAX_SAVES_PER_PASS = 4

_log = logger.bind(module="schedulers")


class Scheduler:
    """Starts, moves and ends the runs of items, and has engines load weights.

    It works on a submission from the moment it has claimed it until the submission ends, all its
    results are listed, or another scheduler owns it.
    """

    def __init__(self, parts: SchedulerParts, settings: SchedulerSettings | None = None) -> None:
        """Create a scheduler that does nothing until `activate`."""
        self._parts = parts
        self._timers = parts.timers
        self._settings = settings or SchedulerSettings()
        self._works: dict[str, SubmissionWork] = {}
        self._adoptions = SubmissionAdoptions(
            parts.timers,
            parts.store,
            parts.clock,
            parts.mirror,
            parts.holder,
            self._on_ownership_lost,
            parts.adoption,
        )
        self._event_intervals = EngineEventIntervals(parts.intervals)
        self._weights = WeightSchedule(
            parts.timers,
            parts.directory,
            parts.orders,
            self._schedule_soon,
            parts.plan,
            parts.shares,
            self._event_intervals.lasting_seconds,
        )
        self._engine_permits = EnginePermits(
            parts.timers, parts.directory, parts.limiter, self._schedule_soon
        )
        self._endings = ItemEndings(parts, self._settings, self._is_worked_on, self._schedule_soon)
        self._runs: dict[RunKey, tuple[ItemRun, Task]] = {}
        self._schedule_pending = False
        self._fleet = EngineFleet(parts, self._weights, self._engine_permits, self._event_intervals)
        self._starts = ItemStarts(
            parts, self._settings, self._fleet, self._endings, self._start_item
        )
        self._plan_due = False
        self._moves = ItemMoves(parts, self._settings, self._fleet, self._event_intervals)
        # Whether the parts of a pass that is not over have started items.
        self._has_started = False
        self._fencing = 0
        self._active = False
        self._model_pools = ModelPools(parts.route)
        self._earlier_orders_until: dict[str, float] = {}
        self._progress_saved_at = 0.0
        self._to_save: list[SubmissionWork] = []
        self._ticker: Task | None = None
        self._watcher: Task | None = None
        self._sweeper: Task | None = None

    @property
    def is_active(self) -> bool:
        """Return whether the scheduler of this process is active."""
        return self._active

    @property
    def open_submissions(self) -> int:
        """Return the number of submissions that this scheduler works on."""
        return len(self._works)

    @property
    def running_items(self) -> int:
        """Return the number of items that engines run."""
        return len(self._runs)

    @property
    def changes_by_reason(self) -> dict[str, dict[str, int]]:
        """Return how many items and engines were moved or dealt since the start, by reason."""
        return {"moved_items": self._moves.counts, "dealt_engines": self._weights.dealt_engines}

    def waiting_by_model(self) -> dict[str, int]:
        """Return the number of items that wait for an engine, by model."""
        counts: Counter[str] = Counter()
        for work in self._works.values():
            counts[work.head.model] += len(work.waiting)
        return dict(counts)

    def running_by_engine(self) -> dict[str, int]:
        """Return the number of items that run, by engine name."""
        return self._fleet.running()

    def activate(self, fencing: int, predecessor: str, orders_until: Mapping[str, float]) -> None:
        """Claim all open submissions under a new fencing number.

        `predecessor` is the incarnation of the former lease holder if its lease expired, empty
        otherwise. `orders_until` has by engine until when earlier holders may have sent orders that
        those of this one must keep a distance from, in seconds of the store's clock.
        """
        self._fencing = fencing
        self._earlier_orders_until = {
            engine: self._parts.clock.to_local_seconds(until)
            for engine, until in orders_until.items()
        }
        self._active = True
        self._fleet.reset()
        _log.info(
            "scheduling started",
            fencing=fencing,
            predecessor=predecessor,
            open=sum(1 for view in self._parts.mirror.views if view.is_open),
            announced_versions=dict(self._parts.announced_versions),
        )
        if self._ticker is None:
            self._ticker = spawn(self._tick_forever(), "scheduler tick")
            self._watcher = spawn(self._watch_mirror(), "scheduler watch")
            self._sweeper = spawn(self._parts.sweep.run(), "submission sweep")
        self._apply_mirror()

    def stop(self, reason: str) -> None:
        """Cancel all runs and loads; the next scheduler continues from what the store has."""
        if not self._active:
            return
        self._active = False
        _log.info("scheduling stopped", reason=reason, running=len(self._runs))
        for task in (self._ticker, self._watcher, self._sweeper):
            if task is not None:
                task.cancel()
        self._ticker = self._watcher = self._sweeper = None
        self._cancel_runs(lambda key: True)
        self._fleet.stop()
        self._weights.cancel()
        for work in tuple(self._works.values()):
            work.close()
        self._works.clear()
        self._parts.freshness.clear()

    async def hand_over(self) -> None:
        """Cancel all runs and store their outputs, from which the next scheduler continues."""
        self._cancel_runs(lambda key: True)
        saves = [spawn(work.save_all(), "hand-over") for work in tuple(self._works.values())]
        for save in saves:
            await save.ended

    async def _tick_forever(self) -> None:
        while True:
            await sleep(self._timers, self._settings.tick_seconds)
            self._fleet.begin_tick()
            self._plan_due = True
            self._try_to_apply_mirror()

    async def _watch_mirror(self) -> None:
        while True:
            await self._parts.mirror.changed.wait()
            self._try_to_apply_mirror()

    def _try_to_apply_mirror(self) -> None:
        """Apply the mirror; a fault must not end the task that does so for all submissions."""
        try:
            self._apply_mirror()
        except Exception:
            _log.opt(exception=True).error("pass of the scheduler failed")

    def _apply_mirror(self) -> None:
        """Claim or drop submissions as the mirror shows them, then schedule."""
        if not self._active:
            return
        for view in self._parts.mirror.views:
            self._apply_view(view)
        self._schedule()

    def _apply_view(self, view: SubmissionView) -> None:
        """Drop a submission that ended or has another owner, or claim one without work here."""
        work = self._works.get(view.submission_id)
        if view.is_open:
            self._parts.freshness.record_submission(view.submission_id)
        else:
            self._parts.freshness.forget(view.submission_id)
        if work is not None and (view.ended or not view.is_open):
            self._drop(work, "ended" if view.ended else "all listed")
        elif work is not None and view.fencing > self._fencing:
            self._drop(work, "owned by a newer scheduler")
        elif work is None and self._may_adopt(view):
            route = self._parts.route(view.head.route)
            if route is None and not self._parts.freshness.covers(view.submission_id):
                return
            single_version = route is not None and route.single_version
            adoption = self._adoptions.adopt(view, self._fencing, single_version, self._accept)
            spawn(adoption, f"adopt {view.submission_id}")

    def _may_adopt(self, view: SubmissionView) -> bool:
        """Return whether to claim a submission; nothing is claimed while the lease is not held."""
        if not view.is_open or self._adoptions.is_adopting(view.submission_id):
            return False
        return view.fencing <= self._fencing and self._parts.may_claim()

    def _accept(self, work: SubmissionWork) -> bool:
        """Start work on a claimed submission; return False if it or the scheduling has ended."""
        view = self._parts.mirror.view(work.submission_id)
        if not self._active or work.fencing != self._fencing or view is None or not view.is_open:
            return False
        self._works[work.submission_id] = work
        self._schedule_soon()
        return True

    def _is_worked_on(self, work: SubmissionWork) -> bool:
        """Return whether this scheduler still works on a submission."""
        return self._works.get(work.submission_id) is work

    def _on_ownership_lost(self, work: SubmissionWork) -> None:
        self._drop(work, "lost to another scheduler")

    def _drop(self, work: SubmissionWork, reason: str) -> None:
        """End the work on a submission; retain its outputs for the next step."""
        self._works.pop(work.submission_id, None)
        work.close()
        self._cancel_runs(lambda key: key[0] == work.submission_id)
        self._adoptions.retain_outputs(work)
        _log.info(
            "submission dropped",
            **work.head.log_fields,
            reason=reason,
            listed=work.listed,
            unlisted=len(work.waiting) + len(work.running),
        )

    def _cancel_runs(self, should_cancel: Callable[[RunKey], bool]) -> None:
        """Cancel the runs whose key (submission id, item id) satisfies `should_cancel`."""
        for key in [key for key in self._runs if should_cancel(key)]:
            run, task = self._runs.pop(key)
            self._fleet.remove_run(key, run)
            task.cancel()

    def _schedule(self) -> None:
        """Start waiting items, move items off slow engines, order loads and save progress.

        A pass starts a limited number of items and, in a large fleet, looks at a part of the
        engines; the next turn of the loop goes on with the others.
        """
        self._schedule_pending = False
        if not self._active:
            return
        now = self._timers.now()
        fleet = self._fleet
        if self._plan_due and not fleet.is_small:
            self._plan_weights(now)
            self._schedule_soon()
            return
        names = fleet.next_part()
        self._end_stalled(names, now)
        runs = self._runs_at(names)
        fleet.measure(runs, now)
        fleet.refresh(names, now)
        if not fleet.is_complete:
            self._schedule_soon()
            return
        outcome = self._starts.run_pass(self._works.values(), now)
        if outcome.needs_another_pass or fleet.has_next_part:
            self._schedule_soon()
        has_started = outcome.started > 0 or self._has_started
        self._has_started = has_started and outcome.needs_another_pass
        if outcome.needs_another_pass and fleet.is_small:
            return
        if outcome.has_left:
            fleet.request_permits(names)
        if not has_started or not outcome.has_left:
            self._move_items(names)
        if fleet.is_small:
            self._plan_weights(now)
        self._save_progress(now)

    def _save_progress(self, now: float) -> None:
        """Save the outputs of all submissions from time to time, of a few in each pass."""
        if now - self._progress_saved_at >= self._settings.save_seconds:
            self._progress_saved_at = now
            self._to_save = list(self._works.values())
        if self._to_save:
            for work in self._to_save[:MAX_SAVES_PER_PASS]:
                work.save_progress()
            del self._to_save[:MAX_SAVES_PER_PASS]
            if self._to_save:
                self._schedule_soon()

    def _runs_at(self, names: list[str]) -> list[tuple[RunKey, ItemRun]]:
        """Return the runs at engines with their keys, in a small fleet those at all engines."""
        if self._fleet.is_small:
            return [(key, run) for key, (run, _) in self._runs.items()]
        return [each for name in names for each in self._fleet.runs_at(name).items()]

    def _start_item(self, work: SubmissionWork, item: QueuedItem, engine: str) -> bool:
        """Start a waiting item on an engine; return False if either is gone."""
        state = self._parts.directory.state(engine)
        if state is None or not self._is_worked_on(work):
            return False
        item_work = work.waiting[item.item_id.partition("/")[2]]
        self._engine_permits.use(engine)
        self._start(work, item_work, state.endpoint, item.single_version)
        self._fleet.mark_changed(engine)
        return True

    def _start(
        self,
        work: SubmissionWork,
        item_work: ItemWork,
        endpoint: DirectEndpoint,
        single_version: bool,
    ) -> None:
        """Start a run of an item on an engine."""
        del work.waiting[item_work.item.item_id]
        work.running[item_work.item.item_id] = item_work
        item_work.attempts += 1
        version = self._weights.versions(endpoint).get(work.head.model, 0)
        discard_unusable_output(
            work, item_work, endpoint, version, single_version, self._timers.now()
        )
        run = ItemRun(
            self._timers,
            self._parts.caller,
            work.head,
            item_work,
            endpoint,
            single_version,
            self._parts.intervals,
        )
        key = (work.submission_id, item_work.item.item_id)
        _log.info(
            "item started",
            **work.head.log_fields,
            item=item_work.item.item_id,
            engine=endpoint.name,
            software=endpoint.software_version,
            attempt=item_work.attempts,
            after_event=item_work.progress.last_event,
        )
        task = Task(
            self._run_item(work, item_work, run, key),
            f"item {item_work.item.item_id}",
            lambda: self._requeue_failed(work, run, key),
        )
        if not task.is_done and item_work.item.item_id in work.running:
            self._runs[key] = (run, task)
            self._fleet.add_run(key, run)

    async def _run_item(
        self, work: SubmissionWork, item_work: ItemWork, run: ItemRun, key: RunKey
    ) -> None:
        """Run an item to its end, then score it or put it back among the waiting ones."""
        route = self._parts.route(work.head.route)
        seconds = self._settings.default_give_up_seconds
        if route is not None:
            seconds = max(1.0, self._endings.give_up_at(work, route) - self._timers.now())
        end, detail = await run.run(seconds, self._settings.silence_seconds)
        self._runs.pop(key, None)
        self._fleet.remove_run(key, run)
        self._record_observed_version(run)
        if self._has_other_software(run):
            run.discard_events()
            end, detail = RunEnd.OTHER_SOFTWARE, "the engine has restarted with other software"
        if end is RunEnd.WHOLE:
            # The engine's slot is free while the output is scored, so another item can start.
            self._schedule_soon()
            self._endings.begin_scoring(work, item_work)
            return
        self._endings.requeue(work, item_work, run.endpoint, end, detail)

    def _requeue_failed(self, work: SubmissionWork, run: ItemRun, key: RunKey) -> None:
        """Put an item back among the waiting ones whose run raised an exception.

        It waits a little first, since the next run may raise the same at once.
        """
        self._runs.pop(key, None)
        self._fleet.remove_run(key, run)
        run.item_work.not_before = self._timers.now() + self._settings.status_pause_seconds
        detail = "a fault of the scheduler; see its log"
        self._endings.requeue(work, run.item_work, run.endpoint, RunEnd.BROKEN, detail)

    def _has_other_software(self, run: ItemRun) -> bool:
        """Return whether a run's engine has registered anew with another software version."""
        state = self._parts.directory.state(run.endpoint.name)
        return state is not None and run.has_other_software(state.endpoint)

    def _record_observed_version(self, run: ItemRun) -> None:
        if run.observed_version:
            self._weights.record_version(run.endpoint, run.head.model, run.observed_version)
            self._fleet.mark_changed(run.endpoint.name)

    def _schedule_soon(self) -> None:
        """Schedule at the next turn of the loop, once for any number of calls."""
        if not self._schedule_pending:
            self._schedule_pending = True
            self._timers.call_later(0.0, self._schedule)

    def _end_stalled(self, names: list[str], now: float) -> None:
        """End runs under a version that may not be used, and runs that receive no events."""
        contacts = [
            run.contact(key, self._has_other_software(run)) for key, run in self._runs_at(names)
        ]
        settings = self._settings
        for each in choose_runs_to_end(
            contacts,
            self._weights.is_loading,
            now,
            settings.silence_seconds,
            settings.stall_seconds,
        ):
            endpoint = self._runs[each.key][0].endpoint
            if each.engine_failed:
                self._parts.directory.record_failure(endpoint.name, now)
            if each.engine_silent:
                self._parts.caller.close_idle_connections(endpoint)
            self._end_run(each.key, each.end, "ended by the scheduler")

    def _end_run(self, key: RunKey, end: RunEnd, detail: str) -> None:
        """Cancel a run and put its item back among the waiting ones."""
        if key not in self._runs:
            return
        run, task = self._runs.pop(key)
        self._fleet.remove_run(key, run)
        task.cancel()
        self._record_observed_version(run)
        if end is RunEnd.OTHER_SOFTWARE:
            run.discard_events()
        work = self._works.get(key[0])
        if work is not None:
            self._endings.requeue(work, run.item_work, run.endpoint, end, detail)

    def _move_items(self, names: list[str]) -> None:
        """End the runs of items that would end much sooner on another engine."""
        now = self._timers.now()
        for key, detail in self._moves.choose(self._runs_at(names), self._works.get, now):
            self._end_run(key, RunEnd.BROKEN, detail)

    def _plan_weights(self, now: float) -> None:
        """Assign models to engines and order loads."""
        self._plan_due = False
        announced = self._parts.announced_versions
        works = self._works.values()
        routes = [self._parts.route(work.head.route) for work in works]
        self._weights.plan(
            running=self._fleet.running(),
            models=sorted({work.head.model for work in works} | set(announced)),
            demands=self._collect_demands(announced),
            fencing=self._fencing,
            may_order=lambda engine: now >= self._earliest_order(engine),
            retain=all(route is None or not route.single_version for route in routes),
            steps=lambda: collect_steps(self._parts, works),
            pools_by_model=self._model_pools.find(work.head for work in works),
        )
        self._fleet.mark_planned()

    def _earliest_order(self, engine: str) -> float:
        """Return from when this scheduler may send orders to an engine."""
        return earliest_order(self._earlier_orders_until, engine, self._settings.takeover_seconds)

    def _collect_demands(self, announced: dict[str, int]) -> dict[str, ModelDemand]:
        """Return the weight versions that each announced model needs."""
        demands = {}
        waiting = self.waiting_by_model()
        for model, version in announced.items():
            works = [work for work in self._works.values() if work.head.model == model]
            oldest_allowed = max((work.head.min_version for work in works), default=0)
            demands[model] = ModelDemand(model, version, oldest_allowed, waiting.get(model, 0))
        return demands
