"""Builds the queue's view of an item that waits or runs; free of I/O.

The view says until when the item is due, under which weights it may start, and which engines it
avoids; the queue decides by it where the item runs.
"""

from random import Random

from pumicedeck.route_tables import Route, choose_pool
from pumicedeck.scheduling.item_queues import QueuedItem
from pumicedeck.scheduling.scheduler_parts import SchedulerParts, SchedulerSettings
from pumicedeck.scheduling.submission_works import ItemWork, SubmissionWork


def build_queued_item(
    parts: SchedulerParts,
    settings: SchedulerSettings,
    work: SubmissionWork,
    route: Route,
    item_work: ItemWork,
    pools: frozenset[str],
) -> QueuedItem:
    """Return the queue's view of an item of `work`; `pools` are as in `choose_item_pool`.

    The deadline is converted from the store's clock to that of this process.
    """
    now = parts.timers.now()
    item = item_work.item
    step_age = parts.clock.now() - work.head.accepted
    expected_events = parts.lengths.events(work.head.model, item.expected_length)
    events_left = max(1.0, expected_events - item_work.progress.last_event)
    progress = item_work.progress
    is_begun = bool(progress.last_event)
    return QueuedItem(
        item_id=f"{work.submission_id}/{item.item_id}",
        submission_id=work.submission_id,
        model=work.head.model,
        pool=choose_item_pool(route, item.item_id, pools),
        group=item.group,
        min_version=_min_startable_version(parts, settings, work, route, item_work, step_age),
        deadline=item_deadline(parts, settings, work, route),
        expected_events_left=events_left if item.expected_length else 0.0,
        waits_for_turn=not is_begun and work.pace.must_wait(item.expected_length, step_age),
        carried_over=item_work.carried_over,
        single_version=route.single_version,
        versions=tuple(progress.versions),
        software=progress.software,
        events_done=progress.last_event,
        waited_seconds=now - item_work.waiting_since,
        avoided_engines=frozenset(
            name for name, until in item_work.avoid_until_by_engine.items() if until > now
        ),
    )


def item_deadline(
    parts: SchedulerParts, settings: SchedulerSettings, work: SubmissionWork, route: Route
) -> float:
    """Return until when the items of `work` are due, in seconds on the process's clock."""
    return (
        parts.clock.to_local_seconds(work.head.accepted)
        + route.results_due_seconds
        + settings.overdue_tolerance_seconds
    )


def _min_startable_version(
    parts: SchedulerParts,
    settings: SchedulerSettings,
    work: SubmissionWork,
    route: Route,
    item_work: ItemWork,
    step_age: float,
) -> int:
    """Return the oldest weight version with which an item may start.

    The next step will probably carry an optional group over and reuse its outputs. For a short time
    such a group therefore waits for the newest announced version, unless it has output that can go
    on under its own version only.
    """
    is_bound = route.single_version and item_work.progress.last_event
    is_optional = item_work.item.group in work.optional_groups and not is_bound
    if is_optional and step_age < settings.optional_group_wait_seconds:
        return max(work.head.min_version, parts.announced_versions.get(work.head.model, 0))
    return work.head.min_version


def choose_item_pool(route: Route, item_id: str, pools: frozenset[str]) -> str:
    """Choose the pool of an item; on a route with several pools, always the same for its id.

    `pools` are those of the route whose engines serve the item's model. An item of another pool
    goes to one of them, for as long as its own pool is not among them.
    """
    if len(route.pools) == 1:
        return route.pools[0].pool
    return choose_pool(route, Random(item_id), pools.__contains__)
