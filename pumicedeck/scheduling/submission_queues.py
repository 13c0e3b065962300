"""Keeps the waiting items of a submission in the order in which they start; free of I/O.

The load is tens of thousands of waiting items of which few can start at a time. Items are put in
their order once, when they begin to wait. Those that need the same of an engine form a line; once
no engine with a free slot fits the first item of a line, the others of the line need no look.
"""

from bisect import bisect_left, insort
from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from pumicedeck.route_tables import Route
from pumicedeck.scheduling.item_queues import DEFAULT_LENGTH_EVENTS, QueueSettings
from pumicedeck.scheduling.length_estimates import LengthEstimates
from pumicedeck.scheduling.queued_items import choose_item_pool
from pumicedeck.scheduling.submission_works import ItemWork, SubmissionWork

# Each takes about 5 µs; a submission has its turn once all of its items are in order.
MAX_CHANGES_PER_PASS = 1000

_Entry = tuple[bool, float, int, str]


@dataclass(frozen=True, slots=True)
class _Demand:
    """What the items of a line need: see `QueuedItem`; `is_short` ones may start in turns."""

    is_short: bool
    pool: str
    is_optional: bool
    software: str | None
    versions: tuple[int, ...]


class SubmissionQueue:
    """The waiting items of one submission in lines, each in the order in which its items start."""

    def __init__(
        self, work: SubmissionWork, settings: QueueSettings, lengths: LengthEstimates
    ) -> None:
        """Create the queue of `work`, without items until `apply_changes`.

        `lengths` converts the estimated lengths of items to events.
        """
        self._lengths = lengths
        self.work = work
        self.lines: dict[_Demand, list[_Entry]] = {}
        self._settings = settings
        self._entries: dict[str, tuple[_Demand, _Entry]] = {}
        self._arrivals = 0
        self._route: tuple | None = None

    @property
    def is_in_order(self) -> bool:
        """Return whether all items that wait are in their lines."""
        return not self.work.waiting.has_changes

    def apply_changes(self, route: Route, pools: frozenset[str]) -> list[ItemWork]:
        """Put items that came in order, take out those that left; return the complete ones.

        At most `MAX_CHANGES_PER_PASS` items are handled.
        """
        choice = (route.pools, route.single_version, pools)
        if choice != self._route:
            self._route = choice
            self.work.waiting.mark_all()
        complete, came = [], {}
        for item_id in self.work.waiting.take_changes(MAX_CHANGES_PER_PASS):
            self._take_out(item_id)
            item_work = self.work.waiting.get(item_id)
            if item_work is None:
                continue
            if item_work.progress.whole:
                complete.append(item_work)
                continue
            demand, entry = self._entry(route, item_id, item_work, pools)
            self._entries[item_id] = demand, entry
            came.setdefault(demand, []).append(entry)
        for demand, entries in came.items():
            line = self.lines.setdefault(demand, [])
            if len(entries) > 16:
                line.extend(entries)
                line.sort()
            else:
                for entry in entries:
                    insort(line, entry)
        return complete

    def _entry(
        self, route: Route, item_id: str, item_work: ItemWork, pools: frozenset[str]
    ) -> tuple[_Demand, _Entry]:
        """Return the line of an item, and its place there: carried over, longest, first come."""
        item, progress = item_work.item, item_work.progress
        is_begun = bool(progress.last_event)
        demand = _Demand(
            not is_begun and self.work.pace.is_short(item.expected_length),
            choose_item_pool(route, item_id, pools),
            item.group in self.work.optional_groups,
            progress.software if is_begun else None,
            tuple(progress.versions) if route.single_version else (),
        )
        length = DEFAULT_LENGTH_EVENTS
        if item.expected_length:
            events = self._lengths.events(self.work.head.model, item.expected_length)
            length = max(1.0, events - progress.last_event)
        rank = -length if self._settings.longest_first else 0.0
        self._arrivals += 1
        return demand, (not item_work.carried_over, rank, self._arrivals, item_id)

    def _take_out(self, item_id: str) -> None:
        found = self._entries.pop(item_id, None)
        if found is None:
            return
        demand, entry = found
        line = self.lines[demand]
        del line[bisect_left(line, entry)]
        if not line:
            del self.lines[demand]


class Turns:
    """How many more short items of a submission may have their turn."""

    __slots__ = ("free",)

    def __init__(self, free: int) -> None:
        """Allow `free` turns."""
        self.free = free


class LineCursor:
    """A place in a line of a submission; `is_closed` once no engine fits the line's items.

    `misses` counts the items for which no engine was free.
    """

    __slots__ = ("_at", "_line", "_prefix", "is_closed", "misses", "queue", "turns")

    def __init__(
        self,
        queue: SubmissionQueue,
        line: list[_Entry],
        prefix: tuple[bool, float],
        turns: Turns | None,
    ) -> None:
        """Stand before the first item; `prefix` is whether the submission is overdue, and when."""
        self.queue = queue
        self.turns = turns
        self.is_closed = False
        self.misses = 0
        self._line = line
        self._prefix = prefix
        self._at = 0

    def next_key(self, number: int) -> tuple | None:
        """Return the sort key of the next item among those of all submissions, None at the end."""
        if self._at >= len(self._line):
            return None
        not_carried, rank, arrival, item_id = self._line[self._at]
        self._at += 1
        return (*self._prefix, not_carried, rank, number, arrival, item_id)


class ItemSequence:
    """The items of several submissions in the order in which they start.

    Items before their deadline come first, by deadline; at the same deadline carried-over items
    come first, then the longest ones. The cursor of an item must be passed back to `advance` for
    the next item of its line to come.
    """

    def __init__(self) -> None:
        """Create a sequence without submissions."""
        self._heap: list[tuple[tuple, LineCursor, int]] = []
        self._count = 0

    def add(self, queue: SubmissionQueue, now: float, deadline: float, waits: bool) -> None:
        """Add a submission; with `waits`, its short items start in turns."""
        turns = None
        if waits and any(demand.is_short for demand in queue.lines):
            turns = Turns(queue.work.free_short_runs)
        for demand, line in queue.lines.items():
            own_turns = turns if demand.is_short else None
            cursor = LineCursor(queue, line, (deadline < now, deadline), own_turns)
            self._heap.append((cursor.next_key(self._count), cursor, self._count))
        self._count += 1
        heapify(self._heap)

    def pop(self) -> tuple[LineCursor, int, str] | None:
        """Return the cursor, submission number and id of the next item, None at the end."""
        if not self._heap:
            return None
        key, cursor, number = heappop(self._heap)
        return cursor, number, key[-1]

    def advance(self, cursor: LineCursor, number: int) -> None:
        """Let the next item of a line come."""
        key = cursor.next_key(number)
        if key is not None:
            heappush(self._heap, (key, cursor, number))
