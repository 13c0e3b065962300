"""Prints a timeline of submissions as text or as rows of a table; free of I/O."""

from collections import Counter

from pumicedeck.timelines import (
    Interruption,
    ItemRecord,
    SubmissionRecord,
    Timeline,
    able_engines,
    find_interruptions,
    find_usual_event_seconds,
)

COLUMNS = (
    "step",
    "submission",
    "model",
    "items",
    "accepted",
    "adopted",
    "adoptions",
    "first_started",
    "last_item",
    "last_item_events",
    "last_item_started",
    "last_item_completed",
    "ended",
    "unlisted",
)


def timeline_rows(timeline: Timeline) -> list[list[str]]:
    """Return one row of COLUMNS for each submission, empty where the logs do not say.

    Times are in seconds: `accepted` from the first submission of the logs on, the others from the
    submission's acceptance on.
    """
    return [_row(submission, timeline) for submission in timeline.submissions]


def timeline_text(timeline: Timeline) -> list[str]:
    """Return lines that tell of each submission what its last item waited for, and the sums."""
    lines = []
    sums: Counter[str] = Counter()
    usual_seconds = find_usual_event_seconds(timeline)
    for submission in timeline.submissions:
        lines += _submission_lines(submission, timeline, usual_seconds, sums)
    lines.append("seconds by cause, of the last item of each submission:")
    lines += [f"  {seconds:8.2f}  {cause}" for cause, seconds in sums.most_common()]
    return lines


def _submission_lines(
    submission: SubmissionRecord,
    timeline: Timeline,
    usual_seconds: float | None,
    sums: Counter[str],
) -> list[str]:
    row = dict(zip(COLUMNS, _row(submission, timeline), strict=True))
    lines = [
        f"step {row['step']} of {row['model'] or 'unknown model'}, submission {row['submission']}: "
        f"{row['items']} items, accepted at {row['accepted']} s"
    ]
    for at, vm in submission.adoptions:
        lines.append(f"  {_since(submission, at)} adopted by {vm}")
    for engine, at in able_engines(submission, timeline):
        lines.append(f"  {_since(submission, at)} {engine} can run it")
    item = submission.last_completed
    if item is not None:
        lines.append(
            f"  {_since(submission, item.completed)} last item {item.item} complete, "
            f"{item.events} events"
        )
        for interruption in find_interruptions(submission, item, timeline.loads, usual_seconds):
            sums[interruption.cause] += interruption.seconds
            lines.append(_interruption_line(interruption))
    if submission.ended is not None:
        lines.append(f"  {_since(submission, submission.ended)} ended, {row['unlisted']} unlisted")
    return lines


def _interruption_line(interruption: Interruption) -> str:
    detail = f" ({interruption.detail})" if interruption.detail else ""
    return f"      {interruption.seconds:.2f} s {interruption.cause}{detail}"


def _since(submission: SubmissionRecord, at: float) -> str:
    return f"{at - submission.accepted:+8.2f} s"


def _row(submission: SubmissionRecord, timeline: Timeline) -> list[str]:
    began = timeline.submissions[0].accepted
    item = submission.last_completed or ItemRecord("")
    adopted = submission.adoptions[0][0] if submission.adoptions else None
    completed = sum(1 for each in submission.items.values() if each.completed is not None)
    started = item.runs[0].started if item.runs else None
    values = (
        submission.step,
        submission.submission,
        submission.model,
        submission.total,
        f"{submission.accepted - began:.2f}",
        _offset(submission, adopted),
        len(submission.adoptions),
        _offset(submission, submission.first_started),
        item.item,
        item.events,
        _offset(submission, started),
        _offset(submission, item.completed),
        _offset(submission, submission.ended),
        submission.total - completed,
    )
    return [str(value) for value in values]


def _offset(submission: SubmissionRecord, at: float | None) -> str:
    return "" if at is None else f"{at - submission.accepted:.2f}"
