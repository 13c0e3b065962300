"""Tests of attribution: a draft gets every version that produced a token of it, or an error."""

import random

import pytest

from pumicedeck.attributions import Attributions
from pumicedeck.platform_interfaces import TokenChunk
from pumicedeck.results import Execution, ResultCode

DRAFT = "agent/1:1"


def _attributions(version: int = 3) -> Attributions:
    tracker = Attributions()
    tracker.record(0.0, "m").reported(0.0, version)
    return tracker


def _chunk(offset: int, versions: tuple[int, ...], tokens: int | None = None) -> TokenChunk:
    return TokenChunk(offset, b"x" * 2, len(versions) if tokens is None else tokens, versions)


def test_a_draft_that_spans_a_swap_gets_every_version() -> None:
    tracker = _attributions()
    tracker.started(1.0, DRAFT, "m")
    tracker.chunk(DRAFT, _chunk(0, (3, 3)))
    tracker.record(2.0, "m").swap_began(2.0, 4)
    tracker.chunk(DRAFT, _chunk(2, (3, 4)))
    tracker.record(3.0, "m").swap_ended(3.0, 4)
    attribution = tracker.finished(4.0, DRAFT, 4).unwrap()
    assert (attribution.versions, attribution.bracketed) == ((3, 4), False)


@pytest.mark.parametrize(("swap_at", "versions"), [(0.5, (3, 4)), (2.0, (3, 4)), (9.0, (3,))])
def test_a_draft_without_reported_versions_gets_all_possible_ones(swap_at, versions) -> None:
    tracker = _attributions()
    events = [
        (1.0, lambda: tracker.started(1.0, DRAFT, "m")),
        (swap_at, lambda: tracker.record(swap_at, "m").swap_began(swap_at, 4)),
        (swap_at + 1, lambda: tracker.record(swap_at, "m").swap_ended(swap_at + 1, 4)),
    ]
    for time, event in sorted(events, key=lambda timed_event: timed_event[0]):
        if time <= 5.0:
            event()
    tracker.chunk(DRAFT, _chunk(0, (), tokens=4))
    attribution = tracker.finished(5.0, DRAFT, 4).unwrap()
    assert (attribution.versions, attribution.bracketed) == (versions, len(versions) > 1)


def test_a_report_that_contradicts_the_record_adds_its_versions() -> None:
    tracker = _attributions()
    tracker.started(1.0, DRAFT, "m")
    tracker.chunk(DRAFT, _chunk(0, (2, 2)))
    attribution = tracker.finished(2.0, DRAFT, 2).unwrap()
    assert (attribution.versions, attribution.bracketed, tracker.mismatches) == ((2, 3), True, 1)


def test_after_a_partial_swap_there_is_no_draft_work_until_a_version_is_reported() -> None:
    tracker = _attributions()
    tracker.started(1.0, DRAFT, "m")
    record = tracker.record(2.0, "m")
    record.swap_began(2.0, 4)
    record.swap_failed(3.0)
    refusal = tracker.admit(4.0, "m").unwrap_err()
    assert refusal.code == ResultCode.VERSION_UNKNOWN
    assert refusal.execution is Execution.NOT_RUN
    record.reported(5.0, -1)
    assert tracker.admit(5.0, "m").is_err()
    record.reported(6.0, 4)
    assert tracker.admit(6.0, "m").is_ok()
    failure = tracker.finished(7.0, DRAFT, 4).unwrap_err()
    assert failure.execution is Execution.MAY_HAVE_RUN


def test_after_a_lost_reply_nothing_starts_until_the_state_is_read_back() -> None:
    tracker = _attributions()
    tracker.started(1.0, DRAFT, "m")
    record = tracker.record(2.0, "m")
    record.swap_began(2.0, 4)
    record.reply_lost(3.0)
    assert tracker.admit(3.0, "m").is_err()
    record.reported(4.0, 3)
    assert tracker.admit(4.0, "m").is_ok()
    attribution = tracker.finished(5.0, DRAFT, 4).unwrap()
    assert (attribution.versions, attribution.bracketed) == ((3, 4), True)


@pytest.mark.parametrize("reply_was_lost", [True, False])
def test_a_draft_that_ends_during_a_swap_needs_a_complete_report(reply_was_lost) -> None:
    for versions in ((), (3, 4)):
        tracker = _attributions()
        tracker.started(1.0, DRAFT, "m")
        record = tracker.record(2.0, "m")
        record.swap_began(2.0, 4)
        if reply_was_lost:
            record.reply_lost(3.0)
        tracker.chunk(DRAFT, _chunk(0, versions, tokens=2))
        assert tracker.finished(4.0, DRAFT, 2).is_ok() is bool(versions)


def test_an_unobserved_swap_counts_from_the_last_confirmed_report() -> None:
    tracker = _attributions()
    tracker.started(1.0, DRAFT, "m")
    tracker.record(2.0, "m").reported(2.0, 6)
    assert tracker.finished(3.0, DRAFT, 4).unwrap().versions == (3, 4, 5, 6)


def test_a_migrated_draft_keeps_its_earlier_versions() -> None:
    tracker = _attributions(5)
    tracker.started(1.0, DRAFT, "m", migrated_versions=(4,))
    tracker.chunk(DRAFT, _chunk(0, (5,)))
    assert tracker.finished(2.0, DRAFT, 1).unwrap().versions == (4, 5)


def test_a_restarted_stream_replaces_earlier_reports_and_a_gap_is_bracketed() -> None:
    tracker = _attributions()
    tracker.started(1.0, DRAFT, "m")
    tracker.chunk(DRAFT, _chunk(0, (3, 3)))
    tracker.record(2.0, "m").swap_began(2.0, 4)
    tracker.record(2.0, "m").swap_ended(2.0, 4)
    tracker.chunk(DRAFT, _chunk(0, (4, 4)))
    assert tracker.finished(3.0, DRAFT, 2).unwrap().versions == (4,)
    tracker.started(3.0, DRAFT, "m")
    tracker.record(4.0, "m").swap_began(4.0, 5)
    tracker.chunk(DRAFT, _chunk(4, (5, 5)))
    tracker.record(4.5, "m").swap_ended(4.5, 5)
    attribution = tracker.finished(5.0, DRAFT).unwrap()
    assert (attribution.versions, attribution.bracketed) == ((4, 5), True)


def test_an_unreachable_engine_gets_no_drafts_until_it_reports() -> None:
    tracker = _attributions()
    tracker.started(1.0, DRAFT, "m")
    tracker.record(2.0, "m").contact_lost(2.0)
    assert tracker.admit(2.5, "m").is_err()
    tracker.record(3.0, "m").reported(3.0, 1)
    assert tracker.admit(3.0, "m").is_ok()
    assert tracker.finished(4.0, DRAFT, 2).unwrap().versions == (1, 3)


class _Engine:
    """A fake engine that produces tokens with the active version and swaps with seeded faults.

    `versions_used` maps a running draft to the version of each of its tokens.
    """

    def __init__(self, rng: random.Random, reports_versions: bool) -> None:
        self.rng, self.reports_versions, self.version = rng, reports_versions, 3
        self.tracker = _attributions(3)
        self.versions_used: dict[str, list[int]] = {}
        self.swap_to: int | None = None

    def swap(self, now: float) -> None:
        record = self.tracker.record(now, "m")
        if self.swap_to is None:
            self.swap_to = max(self.version, 3) + 1
            record.swap_began(now, self.swap_to)
            return
        target, self.swap_to = self.swap_to, None
        outcome = self.rng.choice(("done", "done", "partial", "lost_before", "lost_after"))
        self.version = {"partial": -1, "lost_before": self.version}.get(outcome, target)
        if outcome == "done":
            record.swap_ended(now, target)
        elif outcome == "partial":
            record.swap_failed(now)
        else:
            record.reply_lost(now)

    def token(self, attempt: str) -> None:
        produced = self.versions_used[attempt]
        produced.append(self.version)
        reported_versions = (self.version,) if self.reports_versions else ()
        self.tracker.chunk(attempt, _chunk(2 * len(produced) - 2, reported_versions, tokens=1))


@pytest.mark.parametrize("reports_versions", [True, False])
@pytest.mark.parametrize("seed", range(60))
def test_versions_equal_what_the_engine_used_for_each_token(seed, reports_versions) -> None:
    rng = random.Random(seed)
    engine = _Engine(rng, reports_versions)
    attributed = 0
    for tick in range(1, 400):
        now = float(tick)
        chance = rng.random()
        if chance < 0.04:
            engine.swap(now)
        elif chance < 0.10 and engine.swap_to is None:
            if engine.version < 0 and rng.random() < 0.5:
                engine.version = 3 + tick
            engine.tracker.record(now, "m").reported(now, engine.version)
        elif chance < 0.3 and engine.tracker.admit(now, "m").is_ok():
            attempt = f"agent/1:{tick}"
            engine.versions_used[attempt] = []
            engine.tracker.started(now, attempt, "m")
        for attempt in list(engine.versions_used):
            engine.token(attempt)
            if rng.random() < 0.05:
                used = engine.versions_used.pop(attempt)
                attribution = engine.tracker.finished(now, attempt, len(used))
                if attribution.is_err():
                    continue
                attributed += 1
                assert set(used) <= set(attribution.unwrap().versions)
                if reports_versions and not attribution.unwrap().bracketed:
                    assert set(used) == set(attribution.unwrap().versions)
    assert attributed > 0
    assert not reports_versions or engine.tracker.mismatches == 0
