"""Tells from the logs of all processes what each submission waited for; free of I/O.

The load is steps of trainers whose next step depends on the end of an earlier one. A step is as
late as its last item, so the timeline of a step names its last item and all that stood in its way:
a late start, weight loads on its engine, a slow engine, runs that ended early, a lost scheduler.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from math import inf
from statistics import median

from pumicedeck.explanations import LogLine, parse_line

# How a run can end, beside the reasons that the logs give.
WHOLE = "whole"
TAKEN_OVER = "taken over"
MIN_USUAL_EVENTS = 10


@dataclass(slots=True)
class ItemRunRecord:
    """One run of an item: its engine, the events it had before, and its span in seconds.

    `ended` is None while the run's end is not in the logs. `end` says how it ended.
    """

    engine: str
    started: float
    after_event: int
    ended: float | None = None
    end: str = ""


@dataclass(slots=True)
class ItemRecord:
    """An item of a submission: its runs, and when it was completed with how many events."""

    item: str
    runs: list[ItemRunRecord] = field(default_factory=list)
    completed: float | None = None
    events: int = 0
    given_up: bool = False


@dataclass(frozen=True, slots=True)
class LoadRecord:
    """A weight load, in seconds; `ended` is None if the logs do not show it."""

    engine: str
    version: int
    started: float
    ended: float | None


@dataclass(slots=True)
class SubmissionRecord:
    """What the logs say of a submission; times in seconds, None if not seen."""

    submission: str
    step: int = 0
    model: str = ""
    min_version: int = 0
    total: int = 0
    accepted: float | None = None
    adoptions: list[tuple[float, str]] = field(default_factory=list)
    ended: float | None = None
    items: dict[str, ItemRecord] = field(default_factory=dict)

    @property
    def first_started(self) -> float | None:
        """Return when the first item started."""
        return min(
            (item.runs[0].started for item in self.items.values() if item.runs), default=None
        )

    @property
    def last_completed(self) -> ItemRecord | None:
        """Return the item that was completed last."""
        done = [item for item in self.items.values() if item.completed is not None]
        return max(done, key=lambda item: item.completed, default=None)


@dataclass(frozen=True, slots=True)
class Interruption:
    """Something that stood in an item's way, with the seconds it took."""

    cause: str
    seconds: float
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Timeline:
    """Submissions in order of acceptance, the weight loads, and when versions were announced.

    `announced` has the time of the first log line by model and version. `unreadable` counts the
    lines that could not be parsed.
    """

    submissions: tuple[SubmissionRecord, ...]
    loads: tuple[LoadRecord, ...]
    announced: dict[tuple[str, int], float]
    unreadable: int


class _Builder:
    """Collects the records of a timeline from log lines in order of time."""

    def __init__(self) -> None:
        self.submissions: dict[str, SubmissionRecord] = {}
        self.loads: list[LoadRecord] = []
        self.announced: dict[tuple[str, int], float] = {}
        self._open_loads: dict[str, tuple[int, float]] = {}

    def add(self, line: LogLine) -> None:
        """Add one event."""
        handler = _HANDLERS.get(line.event)
        if handler is not None:
            handler(self, line)

    def close(self) -> None:
        """Record the loads whose end the logs do not show."""
        for engine, (version, started) in self._open_loads.items():
            self.loads.append(LoadRecord(engine, version, started, None))
        self._open_loads.clear()

    def submission(self, line: LogLine) -> SubmissionRecord:
        """Return the record of the submission that a line names."""
        name = line.fields["submission"]
        return self.submissions.setdefault(name, SubmissionRecord(name))

    def item(self, line: LogLine) -> ItemRecord:
        """Return the record of the item that a line names."""
        name = line.fields["item"]
        return self.submission(line).items.setdefault(name, ItemRecord(name))

    def accepted(self, line: LogLine) -> None:
        record = self.submission(line)
        record.step = line.fields["step"]
        record.total = line.fields["items"]
        if record.accepted is None:
            record.accepted = line.at

    def adopted(self, line: LogLine) -> None:
        record = self.submission(line)
        record.step = line.fields["step"]
        record.model = line.fields["model"]
        record.min_version = line.fields["min_version"]
        # A later adoption has only the items that were not listed before.
        record.total = max(record.total, line.fields["items"])
        record.adoptions.append((line.at, line.vm))
        for item in record.items.values():
            if item.runs and item.runs[-1].ended is None and item.completed is None:
                item.runs[-1].ended, item.runs[-1].end = line.at, TAKEN_OVER

    def ended(self, line: LogLine) -> None:
        record = self.submission(line)
        if record.ended is None:
            record.ended = line.at

    def item_started(self, line: LogLine) -> None:
        run = ItemRunRecord(line.fields["engine"], line.at, line.fields["after_event"])
        self.item(line).runs.append(run)

    def item_completed(self, line: LogLine) -> None:
        item = self.item(line)
        item.completed, item.events = line.at, line.fields["events"]
        if item.runs and item.runs[-1].ended is None:
            item.runs[-1].ended, item.runs[-1].end = line.at, WHOLE

    def item_given_up(self, line: LogLine) -> None:
        self.item(line).given_up = True

    def run_ended_early(self, line: LogLine) -> None:
        item = self.item(line)
        if item.runs:
            item.runs[-1].ended = line.at
            item.runs[-1].end = line.fields["detail"] or line.fields["end"]

    def load_ordered(self, line: LogLine) -> None:
        self._open_loads[line.fields["engine"]] = (line.fields["version"], line.at)

    def load_ended(self, line: LogLine) -> None:
        engine, reached = line.fields["engine"], line.fields["version"]
        version, started = self._open_loads.pop(engine, (0, line.at))
        if version and reached is not None and reached >= version:
            self.loads.append(LoadRecord(engine, version, started, line.at))

    def version_announced(self, line: LogLine) -> None:
        self.announced.setdefault((line.fields["model"], line.fields["version"]), line.at)

    def scheduling_started(self, line: LogLine) -> None:
        """Take over the versions that were announced while no process scheduled."""
        for model, version in line.fields.get("announced_versions", {}).items():
            self.announced.setdefault((model, version), line.at)


_HANDLERS = {
    "submission accepted": _Builder.accepted,
    "submission adopted": _Builder.adopted,
    "submission ended": _Builder.ended,
    "item started": _Builder.item_started,
    "item completed": _Builder.item_completed,
    "item given up": _Builder.item_given_up,
    "run ended early": _Builder.run_ended_early,
    "weight load ordered": _Builder.load_ordered,
    "weight load ended": _Builder.load_ended,
    "model version announced": _Builder.version_announced,
    "scheduling started": _Builder.scheduling_started,
}


def build_timeline(log_lines: Iterable[str]) -> Timeline:
    """Build the timeline of the submissions in log lines of any processes, in any order."""
    parsed, unreadable = [], 0
    for text in log_lines:
        line = parse_line(text)
        if line is not None:
            parsed.append(line)
        elif "{" in text:
            unreadable += 1
    builder = _Builder()
    for line in sorted(parsed, key=lambda each: each.at):
        builder.add(line)
    builder.close()
    ordered = sorted(
        (each for each in builder.submissions.values() if each.accepted is not None),
        key=lambda each: each.accepted,
    )
    loads = tuple(sorted(builder.loads, key=lambda load: load.started))
    return Timeline(tuple(ordered), loads, builder.announced, unreadable)


def find_usual_event_seconds(timeline: Timeline) -> float | None:
    """Return the median seconds per event of runs during which their engine loaded nothing.

    Only whole items of at least `MIN_USUAL_EVENTS` events that ran once count; None without any.
    """
    seconds = [
        _event_seconds(item)
        for submission in timeline.submissions
        for item in submission.items.values()
        if len(item.runs) == 1
        and item.events >= MIN_USUAL_EVENTS
        and item.runs[0].ended is not None
        and not _loads_during(item.runs[0], item.runs[0].ended, timeline.loads)
    ]
    return median(seconds) if seconds else None


def find_interruptions(
    submission: SubmissionRecord,
    item: ItemRecord,
    loads: tuple[LoadRecord, ...],
    usual_event_seconds: float | None = None,
) -> list[Interruption]:
    """Return what stood in the way of an item, in order of time.

    Waits before a run count from the submission's acceptance or the end of the run before. A load
    counts for as long as it overlaps with a run on its engine, but not for longer than the run took
    beyond its events at `usual_event_seconds`, as runs go on during a load. A run that was taken
    over counts with the seconds whose events the next run had to generate again.
    """
    found = []
    free_since = submission.accepted
    for number, run in enumerate(item.runs):
        waited = run.started - free_since
        if waited > 0.0:
            cause = "waited for an engine" if number else "started late"
            found.append(Interruption(cause, waited))
        run_end = run.ended if run.ended is not None else submission.ended
        if run_end is None:
            break
        delay = _delay_of_run(item, number, run_end, usual_event_seconds)
        found += _limit_seconds(_loads_during(run, run_end, loads), delay)
        if run.end == TAKEN_OVER and number + 1 < len(item.runs):
            events = item.runs[number + 1].after_event - run.after_event
            useful = events * _event_seconds(item)
            found.append(Interruption(TAKEN_OVER, max(0.0, run_end - run.started - useful)))
        elif run.end != WHOLE:
            found.append(Interruption("run ended early", 0.0, f"{run.engine}: {run.end}"))
        free_since = run_end
    return found


def _delay_of_run(
    item: ItemRecord, number: int, run_end: float, usual_event_seconds: float | None
) -> float:
    """Return how much longer a run took than its events usually do, infinity if unknown."""
    if usual_event_seconds is None:
        return inf
    run = item.runs[number]
    is_last = number + 1 == len(item.runs)
    last_event = item.events if is_last else item.runs[number + 1].after_event
    events = last_event - run.after_event
    return max(0.0, run_end - run.started - events * usual_event_seconds)


def _limit_seconds(interruptions: list[Interruption], limit: float) -> list[Interruption]:
    """Shorten interruptions so that together they take `limit` seconds at most."""
    limited = []
    for each in interruptions:
        seconds = min(each.seconds, limit)
        limit -= seconds
        limited.append(replace(each, seconds=seconds))
    return limited


def _event_seconds(item: ItemRecord) -> float:
    """Return the seconds per event of an item's last run, 0 if it had none."""
    last = item.runs[-1]
    events = item.events - last.after_event
    if last.ended is None or events <= 0:
        return 0.0
    return (last.ended - last.started) / events


def _loads_during(
    run: ItemRunRecord, run_end: float, loads: tuple[LoadRecord, ...]
) -> list[Interruption]:
    found = []
    last = bisect_left(loads, run_end, key=lambda load: load.started)
    for load in loads[:last]:
        if load.engine != run.engine:
            continue
        overlap = min(run_end, load.ended or run_end) - max(run.started, load.started)
        if overlap > 0.0:
            detail = f"version {load.version} on {load.engine}"
            found.append(Interruption("weight load", overlap, detail))
    return found


def able_engines(submission: SubmissionRecord, timeline: Timeline) -> list[tuple[str, float]]:
    """Return the engines whose loads of a version that the submission allows have ended, and when.

    Only loads that ended before the submission did count. An engine that was able before is listed
    with the time of acceptance.
    """
    ended = submission.ended if submission.ended is not None else float("inf")
    able: dict[str, float] = {}
    for load in timeline.loads:
        if load.ended is None or load.ended > ended or load.version < submission.min_version:
            continue
        at = max(load.ended, submission.accepted)
        able[load.engine] = min(at, able.get(load.engine, at))
    return sorted(able.items(), key=lambda entry: entry[1])
