"""How runs of items end, and which runs the scheduler must end itself; free of I/O.

The load is engines that freeze or crash without closing a connection, that turn silent for single
runs, or that send bytes that are no events. Their items must go on elsewhere within two seconds.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum


class RunEnd(StrEnum):
    """How a run ended; the values are written to the log.

    NOT_TAKEN is a request that the engine provably did not run, BROKEN a stream that ended early or
    out of sequence. UNEXPECTED_STATUS is a failure that does not count as an attempt. IMPOSSIBLE is
    an item that the engine cannot process. WRONG_VERSION is a weight version that may not be used
    for the item's output, OTHER_SOFTWARE an engine that has restarted with another software
    version.
    """

    WHOLE = "whole"
    BROKEN = "broken"
    NOT_TAKEN = "not taken"
    ENGINE_ERROR = "engine error"
    UNEXPECTED_STATUS = "unexpected status"
    IMPOSSIBLE = "impossible"
    WRONG_VERSION = "wrong version"
    OTHER_SOFTWARE = "other software"


@dataclass(frozen=True, slots=True)
class RunContact:
    """What a run has received: `last_event_at` is when its last event came, or when it started.

    `is_unreadable` means that its stream cannot be continued, `has_wrong_version` that its engine
    uses a weight version that the item may not have, `has_other_software` that its engine has
    restarted with another software version.
    """

    key: tuple[str, str]
    engine: str
    last_event_at: float
    is_unreadable: bool = False
    has_wrong_version: bool = False
    has_other_software: bool = False


@dataclass(frozen=True, slots=True)
class RunToEnd:
    """A run to end, and whether its engine has failed or is silent as a whole."""

    key: tuple[str, str]
    end: RunEnd
    engine_failed: bool = False
    engine_silent: bool = False


def choose_runs_to_end(
    contacts: Iterable[RunContact],
    is_loading: Callable[[str], bool],
    now: float,
    silence_seconds: float,
    stall_seconds: float,
) -> list[RunToEnd]:
    """Return the runs to end now.

    A single run ends after `silence_seconds` without an event. All runs of an engine end if none of
    them has received one for `stall_seconds`, unless it loads weights.
    """
    contacts = list(contacts)
    engine_events: dict[str, float] = {}
    for each in contacts:
        latest = engine_events.get(each.engine, each.last_event_at)
        engine_events[each.engine] = max(latest, each.last_event_at)
    chosen = []
    for each in contacts:
        engine_silent = now - engine_events[each.engine] > stall_seconds
        if each.has_other_software:
            chosen.append(RunToEnd(each.key, RunEnd.OTHER_SOFTWARE))
        elif each.has_wrong_version:
            chosen.append(RunToEnd(each.key, RunEnd.WRONG_VERSION))
        elif each.is_unreadable or now - each.last_event_at > silence_seconds:
            chosen.append(RunToEnd(each.key, RunEnd.BROKEN, engine_failed=True))
        elif engine_silent and not is_loading(each.engine):
            chosen.append(RunToEnd(each.key, RunEnd.BROKEN, engine_failed=True, engine_silent=True))
    return chosen
