"""Decides how many short items of a step run at once; free of I/O.

The load is steps whose longest items run several times as long as the rest and decide when the step
ends. If all short items started at once, each would need a connection to its engine, and engines
would generate the long ones more slowly beside them. Short items therefore start in turns, the
longer ones first, so that they end long before the longest item. Items of groups that the step can
do without decide nothing: however long they are, they delay no other item.
"""

from collections import Counter
from dataclasses import dataclass
from math import ceil

from pumicedeck.scheduling.item_queues import (
    DEFAULT_QUEUE_SETTINGS,
    QueuedItem,
    QueueSettings,
    order_items,
)


@dataclass(frozen=True, slots=True)
class PacingSettings:
    """The short items of a step end within `share` of the time of its longest required item.

    That holds as far as the estimates of their lengths do. Items of at least `share` of the longest
    one's length are not short. With 0 all items start as soon as engines have free slots. Once a
    step is `max_wait_seconds` old, none of its items waits for its turn any longer.
    """

    share: float = 0.25
    max_wait_seconds: float = 2.5


@dataclass(frozen=True, slots=True)
class StepPace:
    """The pace of one step: items below `short_below` events are short.

    At most `max_short_runs` of them run at once until the step is `max_wait_seconds` old.
    """

    short_below: float
    max_short_runs: int
    max_wait_seconds: float = 0.0

    def is_short(self, expected_length: float) -> bool:
        """Return whether an item of this length in events, 0 if unknown, is a short one."""
        return 0.0 < expected_length < self.short_below

    def must_wait(self, expected_length: float, step_age: float) -> bool:
        """Return whether an item starts in its turn; `step_age` is in seconds."""
        return step_age < self.max_wait_seconds and self.is_short(expected_length)


NO_PACE = StepPace(0.0, 0)


def choose_pace(items: list[tuple[float, bool]], settings: PacingSettings) -> StepPace:
    """Return the pace of a step.

    `items` are tuples (estimated length in events, 0 if unknown; whether its group is optional).
    """
    limit = settings.share * max((length for length, optional in items if not optional), default=0)
    if not limit:
        return NO_PACE
    short_events = sum(length for length, _ in items if length < limit)
    max_short_runs = max(1, ceil(short_events / limit))
    return StepPace(limit, max_short_runs, settings.max_wait_seconds)


def choose_paced_items(
    waiting: list[QueuedItem],
    free_short_runs: Counter[str],
    now: float,
    settings: QueueSettings = DEFAULT_QUEUE_SETTINGS,
) -> list[QueuedItem]:
    """Return the items that may start now, in their order.

    `free_short_runs` says by submission how many more short items may run.
    """
    free = Counter(free_short_runs)
    chosen = []
    for item in order_items(waiting, now, settings):
        if item.waits_for_turn:
            if free[item.submission_id] <= 0:
                continue
            free[item.submission_id] -= 1
        chosen.append(item)
    return chosen
