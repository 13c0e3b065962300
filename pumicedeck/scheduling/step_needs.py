"""Collects the work of the open steps, by which engines are dealt to models; free of I/O."""

from collections.abc import Iterable

from pumicedeck.scheduling.item_queues import DEFAULT_LENGTH_EVENTS
from pumicedeck.scheduling.model_shares import StepNeed
from pumicedeck.scheduling.scheduler_parts import SchedulerParts
from pumicedeck.scheduling.submission_works import SubmissionWork

# For routes that do not say when the results of a step are due.
DEFAULT_DUE_SECONDS = 10.0


def collect_steps(parts: SchedulerParts, works: Iterable[SubmissionWork]) -> list[StepNeed]:
    """Return the work of each step with items that wait or run.

    Items that are complete count like an average one of the others.
    """
    steps = []
    for work in works:
        route = parts.route(work.head.route)
        lengths = events_left = 0.0
        open_items = (*work.waiting.values(), *work.running.values())
        for each in open_items:
            length = each.item.expected_length or DEFAULT_LENGTH_EVENTS
            lengths += length
            if not each.progress.whole:
                events_left += max(1.0, length - each.progress.last_event)
        if not open_items or route is None:
            continue
        mean = lengths / len(open_items)
        steps.append(
            StepNeed(
                work.submission_id,
                work.head.model,
                parts.clock.to_local_seconds(work.head.accepted),
                route.results_due_seconds or DEFAULT_DUE_SECONDS,
                mean * work.head.total,
                events_left,
                mean,
            )
        )
    return steps
