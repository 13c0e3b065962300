"""Counters of the request state machines at entries and agents."""

from dataclasses import dataclass


@dataclass(slots=True)
class EntryRequestCounters:
    """Counts at an entry since the start of the process."""

    submitted: int = 0
    attempts: int = 0
    retries: int = 0
    retries_denied: int = 0
    answered: int = 0
    failed: int = 0
    refused: int = 0
    revoked: int = 0
    reattached: int = 0
    late_dropped: int = 0
    not_whole: int = 0
    callers_gone: int = 0
    claims: int = 0
    outcomes_unknown: int = 0


@dataclass(slots=True)
class AgentRequestCounters:
    """Counts at an agent since the start of the process."""

    dispatched: int = 0
    repeated: int = 0
    refused: int = 0
    revoked: int = 0
    started: int = 0
    finished: int = 0
    failed: int = 0
    cancelled: int = 0
    reattached: int = 0
    below_floor: int = 0
    misaddressed: int = 0
    answers_dropped: int = 0
