"""Starts waiting items on engines, a limited number in each pass.

Thousands of items that start in one turn of the loop would delay everything else on it. Between two
passes engines and submissions change, so each pass works on their present state only.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from loguru import logger

from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.scheduling.engine_fleets import EngineFleet
from pumicedeck.scheduling.item_endings import ItemEndings
from pumicedeck.scheduling.item_queues import QueuedItem, can_output_go_on
from pumicedeck.scheduling.queued_items import build_queued_item, item_deadline
from pumicedeck.scheduling.scheduler_parts import SchedulerParts, SchedulerSettings
from pumicedeck.scheduling.submission_queues import ItemSequence, LineCursor, SubmissionQueue
from pumicedeck.scheduling.submission_works import ItemWork, SubmissionWork

_log = logger.bind(module="item_starts")

# The start of an item with its request to the engine takes about 0.2 ms.
MAX_STARTS_PER_PASS = 32
# Of a split route's waiting items, this many of a line are looked at in a pass.
MAX_MISSES_PER_LINE = 32


@dataclass(slots=True)
class StartOutcome:
    """What a pass did: `started` items, and whether others found no engine.

    It `is_cut` short after the highest number of starts. A submission with many changes
    `is_unsorted` and has its turn in a later pass.
    """

    started: int = 0
    has_left: bool = False
    is_cut: bool = False
    is_unsorted: bool = False

    @property
    def needs_another_pass(self) -> bool:
        """Return whether more items may start at once."""
        return self.is_cut or self.is_unsorted


class ItemStarts:
    """Chooses the items that start in a pass, and their engines."""

    def __init__(
        self,
        parts: SchedulerParts,
        settings: SchedulerSettings,
        fleet: EngineFleet,
        endings: ItemEndings,
        start: Callable[[SubmissionWork, QueuedItem, str], bool],
    ) -> None:
        """Call `start` with a submission, an item and its engine; False: the engine is gone."""
        self._parts = parts
        self._settings = settings
        self._fleet = fleet
        self._endings = endings
        self._start = start
        self._queues: dict[str, SubmissionQueue] = {}

    def run_pass(self, works: Iterable[SubmissionWork], now: float) -> StartOutcome:
        """Start the items of `works` that get an engine, up to `MAX_STARTS_PER_PASS`."""
        sequence = ItemSequence()
        outcome = StartOutcome()
        queues = {}
        for work in tuple(works):
            queue = self._queues.get(work.submission_id)
            if queue is None or queue.work is not work:
                queue = SubmissionQueue(work, self._parts.queue, self._parts.lengths)
            queues[work.submission_id] = queue
            self._add(sequence, outcome, queue, now)
        self._queues = queues
        while (found := sequence.pop()) is not None:
            cursor, number, item_id = found
            if not self._handle(cursor, item_id, outcome, now):
                continue
            if outcome.is_cut:
                break
            sequence.advance(cursor, number)
        return outcome

    def _add(
        self, sequence: ItemSequence, outcome: StartOutcome, queue: SubmissionQueue, now: float
    ) -> None:
        """Add a submission's items; score complete ones and give up those out of time."""
        work = queue.work
        route = self._parts.route(work.head.route)
        if route is None:
            self._give_up_if_current(work, "the submission's route no longer exists")
            return
        if now >= self._endings.give_up_at(work, route):
            self._give_up_if_current(work, "the submission's give-up time has passed")
            return
        complete = queue.apply_changes(route, self._fleet.serving_pools(route, work.head))
        is_in_order = queue.is_in_order
        for item_work in complete:
            del work.waiting[item_work.item.item_id]
            work.running[item_work.item.item_id] = item_work
            self._endings.begin_scoring(work, item_work)
        if not is_in_order:
            outcome.is_unsorted = outcome.has_left = True
            return
        step_age = self._parts.clock.now() - work.head.accepted
        deadline = item_deadline(self._parts, self._settings, work, route)
        sequence.add(queue, now, deadline, step_age < work.pace.max_wait_seconds)

    def _give_up_if_current(self, work: SubmissionWork, reason: str) -> None:
        """Give up a submission's items, unless newer routes may allow them to go on."""
        if work.waiting and self._parts.freshness.covers(work.submission_id):
            self._endings.give_up_all(work, reason)

    def _handle(self, cursor: LineCursor, item_id: str, outcome: StartOutcome, now: float) -> bool:
        """Start an item if an engine is free; return whether others of its line may follow."""
        work = cursor.queue.work
        item_work = work.waiting.get(item_id)
        route = self._parts.route(work.head.route)
        if item_work is None or item_work.not_before > now or route is None:
            return True
        if cursor.turns is not None:
            if cursor.turns.free <= 0:
                return False
            cursor.turns.free -= 1
        if not cursor.is_closed:
            pools = self._fleet.serving_pools(route, work.head)
            item = build_queued_item(self._parts, self._settings, work, route, item_work, pools)
            if not self._fleet.index.has_room(item):
                item = self._find_room_elsewhere(item, pools)
                # On a split route others of the line may have waited longer.
                cursor.misses += item is None
                cursor.is_closed = cursor.misses > (MAX_MISSES_PER_LINE if len(pools) > 1 else 0)
        if cursor.is_closed or item is None:
            outcome.has_left = True
            # Short items that find no engine still have their turn.
            return cursor.turns is not None or not cursor.is_closed
        if outcome.started >= MAX_STARTS_PER_PASS:
            outcome.is_cut = outcome.has_left = True
            return True
        engine = self._fleet.choose(item, now)
        if engine is None:
            outcome.has_left = True
            return True
        self._fleet.index.take_slot(engine, item.group)
        if self._start(work, item, engine.name):
            outcome.started += 1
        else:
            outcome.has_left = True
        return True

    def _find_room_elsewhere(self, item: QueuedItem, pools: frozenset[str]) -> QueuedItem | None:
        """Return an item that has waited long as one of another pool that has room, if any has.

        So the weights of a split route hold, but no item waits for long while engines are idle.
        """
        if len(pools) < 2 or item.waited_seconds < self._settings.pool_wait_seconds:
            return None
        others = [replace(item, pool=pool) for pool in sorted(pools - {item.pool})]
        return next((each for each in others if self._fleet.index.has_room(each)), None)


def discard_unusable_output(
    work: SubmissionWork,
    item_work: ItemWork,
    endpoint: DirectEndpoint,
    version: int,
    single_version: bool,
    now: float,
) -> None:
    """Let an item begin anew if its output cannot go on at the engine that it starts on.

    `version` is the engine's weight version; with `single_version` the output must have one only.
    """
    progress = item_work.progress
    if not progress.last_event or can_output_go_on(
        progress.software, progress.versions, single_version, endpoint.software_version, version
    ):
        return
    _log.info(
        "output discarded; the item begins anew",
        **work.head.log_fields,
        item=item_work.item.item_id,
        engine=endpoint.name,
        software=progress.software,
        versions=progress.versions,
        engine_software=endpoint.software_version,
        engine_version=version,
        events=progress.last_event,
        waited=round(now - item_work.waiting_since, 3),
    )
    item_work.discard_output()
