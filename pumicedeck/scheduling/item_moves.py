"""Chooses the runs that leave their engine for a faster one, and counts them by reason."""

from collections import Counter
from collections.abc import Mapping

from pumicedeck.scheduling.event_intervals import EngineEventIntervals
from pumicedeck.scheduling.item_queues import EngineView, MoveReason, RunningItem, choose_moves
from pumicedeck.scheduling.item_runs import ItemRun
from pumicedeck.scheduling.queued_items import build_queued_item
from pumicedeck.scheduling.scheduler_parts import SchedulerParts, SchedulerSettings
from pumicedeck.scheduling.submission_works import SubmissionWork

# Without an estimate of an item's length, this many events count as left.
UNKNOWN_EVENTS_LEFT = 10.0


class ItemMoves:
    """Chooses moves from the runs of all open submissions."""

    def __init__(
        self, parts: SchedulerParts, settings: SchedulerSettings, intervals: EngineEventIntervals
    ) -> None:
        """Create a chooser that takes the speeds of runs and engines from `intervals`."""
        self._parts = parts
        self._settings = settings
        self._intervals = intervals
        self._counts: Counter[MoveReason] = Counter()

    @property
    def counts(self) -> dict[str, int]:
        """Return the number of runs that were moved since the process started, by reason."""
        return {reason.value: self._counts[reason] for reason in MoveReason}

    def choose(
        self,
        runs: Mapping[tuple[str, str], ItemRun],
        works: Mapping[str, SubmissionWork],
        engines: list[EngineView],
        now: float,
    ) -> list[tuple[tuple[str, str], str]]:
        """Return the key of each run that is to move, with a detail for the log."""
        running, by_id = [], {}
        for key, run in runs.items():
            work = works.get(key[0])
            route = self._parts.route(work.head.route) if work is not None else None
            if route is None or run.events < 2:
                continue
            queued = build_queued_item(self._parts, self._settings, work, route, run.item_work)
            by_id[queued.item_id] = key
            running.append(
                RunningItem(
                    queued,
                    run.endpoint.name,
                    queued.expected_events_left or UNKNOWN_EVENTS_LEFT,
                    run.item_work.moves,
                    run.event_interval.confirmed_event_seconds,
                    self._intervals.forecast(run.event_interval, run.endpoint.name, now),
                )
            )
        chosen = []
        for move in choose_moves(running, engines, self._parts.moves, self._parts.queue):
            key = by_id[move.item_id]
            runs[key].item_work.moves += 1
            self._counts[move.reason] += 1
            detail = (
                f"moved to a faster engine: {move.reason.value}, gain {move.gain_seconds:.1f} s"
            )
            chosen.append((key, detail))
        return chosen
