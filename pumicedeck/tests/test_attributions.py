"""Tests of attribution: a draft names the versions that truly produced it, or is not delivered."""

import random

import pytest

from pumicedeck.attributions import Attributions
from pumicedeck.platform_interfaces import TokenChunk
from pumicedeck.results import Execution, ResultCode

DRAFT = "agent/1:1"


def _attributions(version: int = 3) -> Attributions:
    found = Attributions()
    found.record(0.0, "m").reported(0.0, version)
    return found


def _chunk(offset: int, versions: tuple[int, ...], tokens: int | None = None) -> TokenChunk:
    return TokenChunk(offset, b"x" * 2, len(versions) if tokens is None else tokens, versions)


def test_a_draft_that_spans_a_swap_names_every_version() -> None:
    found = _attributions()
    found.started(1.0, DRAFT, "m")
    found.chunk(DRAFT, _chunk(0, (3, 3)))
    found.record(2.0, "m").swap_began(2.0, 4)
    found.chunk(DRAFT, _chunk(2, (3, 4)))
    found.record(3.0, "m").swap_ended(3.0, 4)
    got = found.finished(4.0, DRAFT, 4).unwrap()
    assert (got.versions, got.bracketed) == ((3, 4), False)


@pytest.mark.parametrize(("swap_at", "versions"), [(0.5, (3, 4)), (2.0, (3, 4)), (9.0, (3,))])
def test_an_engine_that_cannot_say_is_bracketed(swap_at, versions) -> None:
    found = _attributions()
    events = [
        (1.0, lambda: found.started(1.0, DRAFT, "m")),
        (swap_at, lambda: found.record(swap_at, "m").swap_began(swap_at, 4)),
        (swap_at + 1, lambda: found.record(swap_at, "m").swap_ended(swap_at + 1, 4)),
    ]
    for moment, event in sorted(events, key=lambda each: each[0]):
        if moment <= 5.0:
            event()
    found.chunk(DRAFT, _chunk(0, (), tokens=4))
    got = found.finished(5.0, DRAFT, 4).unwrap()
    assert (got.versions, got.bracketed) == (versions, len(versions) > 1)


def test_a_report_against_the_record_widens_the_bracket() -> None:
    found = _attributions()
    found.started(1.0, DRAFT, "m")
    found.chunk(DRAFT, _chunk(0, (2, 2)))
    got = found.finished(2.0, DRAFT, 2).unwrap()
    assert (got.versions, got.bracketed, found.mismatches) == ((2, 3), True, 1)


def test_after_a_partial_swap_there_is_no_draft_work_until_a_version_is_reported() -> None:
    found = _attributions()
    found.started(1.0, DRAFT, "m")
    record = found.record(2.0, "m")
    record.swap_began(2.0, 4)
    record.swap_failed(3.0)
    refusal = found.admit(4.0, "m").unwrap_err()
    assert refusal.code == ResultCode.VERSION_UNKNOWN
    assert refusal.execution is Execution.NOT_RUN
    record.reported(5.0, -1)
    assert found.admit(5.0, "m").is_err()
    record.reported(6.0, 4)
    assert found.admit(6.0, "m").is_ok()
    ran = found.finished(7.0, DRAFT, 4).unwrap_err()
    assert ran.execution is Execution.MAY_HAVE_RUN


def test_after_a_lost_reply_nothing_starts_until_the_state_is_read_back() -> None:
    found = _attributions()
    found.started(1.0, DRAFT, "m")
    record = found.record(2.0, "m")
    record.swap_began(2.0, 4)
    record.reply_lost(3.0)
    assert found.admit(3.0, "m").is_err()
    record.reported(4.0, 3)
    assert found.admit(4.0, "m").is_ok()
    got = found.finished(5.0, DRAFT, 4).unwrap()
    assert (got.versions, got.bracketed) == ((3, 4), True)


@pytest.mark.parametrize("lost", [True, False])
def test_a_draft_that_ends_before_an_order_is_settled_needs_a_whole_report(lost) -> None:
    for versions in ((), (3, 4)):
        found = _attributions()
        found.started(1.0, DRAFT, "m")
        record = found.record(2.0, "m")
        record.swap_began(2.0, 4)
        if lost:
            record.reply_lost(3.0)
        found.chunk(DRAFT, _chunk(0, versions, tokens=2))
        assert found.finished(4.0, DRAFT, 2).is_ok() is bool(versions)


def test_a_swap_by_somebody_else_is_covered_since_the_last_confirmation() -> None:
    found = _attributions()
    found.started(1.0, DRAFT, "m")
    found.record(2.0, "m").reported(2.0, 6)
    assert found.finished(3.0, DRAFT, 4).unwrap().versions == (3, 4, 5, 6)


def test_a_moved_draft_keeps_the_versions_of_its_first_part() -> None:
    found = _attributions(5)
    found.started(1.0, DRAFT, "m", migrated_versions=(4,))
    found.chunk(DRAFT, _chunk(0, (5,)))
    assert found.finished(2.0, DRAFT, 1).unwrap().versions == (4, 5)


def test_a_restarted_stream_replaces_what_came_before_and_a_gap_is_bracketed() -> None:
    found = _attributions()
    found.started(1.0, DRAFT, "m")
    found.chunk(DRAFT, _chunk(0, (3, 3)))
    found.record(2.0, "m").swap_began(2.0, 4)
    found.record(2.0, "m").swap_ended(2.0, 4)
    found.chunk(DRAFT, _chunk(0, (4, 4)))
    assert found.finished(3.0, DRAFT, 2).unwrap().versions == (4,)
    found.started(3.0, DRAFT, "m")
    found.record(4.0, "m").swap_began(4.0, 5)
    found.chunk(DRAFT, _chunk(4, (5, 5)))
    found.record(4.5, "m").swap_ended(4.5, 5)
    got = found.finished(5.0, DRAFT).unwrap()
    assert (got.versions, got.bracketed) == ((4, 5), True)


def test_an_engine_that_was_out_of_reach_gets_no_draft_work_until_it_reports() -> None:
    found = _attributions()
    found.started(1.0, DRAFT, "m")
    found.record(2.0, "m").contact_lost(2.0)
    assert found.admit(2.5, "m").is_err()
    found.record(3.0, "m").reported(3.0, 1)
    assert found.admit(3.0, "m").is_ok()
    assert found.finished(4.0, DRAFT, 2).unwrap().versions == (1, 3)


class _Engine:
    """Produces tokens one by one with the version in force and swaps with seeded faults."""

    def __init__(self, rng: random.Random, can_say: bool) -> None:
        self.rng, self.can_say, self.version = rng, can_say, 3
        self.found = _attributions(3)
        self.truth: dict[str, list[int]] = {}
        self.swap_to: int | None = None

    def swap(self, now: float) -> None:
        record = self.found.record(now, "m")
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
        produced = self.truth[attempt]
        produced.append(self.version)
        said = (self.version,) if self.can_say else ()
        self.found.chunk(attempt, _chunk(2 * len(produced) - 2, said, tokens=1))


@pytest.mark.parametrize("can_say", [True, False])
@pytest.mark.parametrize("seed", range(60))
def test_versions_equal_what_the_engine_used_for_each_token(seed, can_say) -> None:
    rng = random.Random(seed)
    engine = _Engine(rng, can_say)
    attributed = 0
    for tick in range(1, 400):
        now = float(tick)
        chance = rng.random()
        if chance < 0.04:
            engine.swap(now)
        elif chance < 0.10 and engine.swap_to is None:
            if engine.version < 0 and rng.random() < 0.5:
                engine.version = 3 + tick
            engine.found.record(now, "m").reported(now, engine.version)
        elif chance < 0.3 and engine.found.admit(now, "m").is_ok():
            attempt = f"agent/1:{tick}"
            engine.truth[attempt] = []
            engine.found.started(now, attempt, "m")
        for attempt in list(engine.truth):
            engine.token(attempt)
            if rng.random() < 0.05:
                used = engine.truth.pop(attempt)
                got = engine.found.finished(now, attempt, len(used))
                if got.is_err():
                    continue
                attributed += 1
                assert set(used) <= set(got.unwrap().versions)
                if can_say and not got.unwrap().bracketed:
                    assert set(used) == set(got.unwrap().versions)
    assert attributed > 0
    assert not can_say or engine.found.mismatches == 0
