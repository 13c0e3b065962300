"""A budget for all that clients hold: who gets room, and who gives up its own when it is short.

Guards against clients that exhausted the memory of a process together while each was within the
limits of one: nothing added up what all of them held.
"""

import pytest

from pumicedeck.http_messages import KIB, MIB
from pumicedeck.memory_budgets import BudgetSettings, HolderKind, MemoryBudget, MemoryHolder

LIMIT_BYTES = 40 * MIB
STALL_SECONDS = 2.0


class BudgetFixture:
    def __init__(self, limit_bytes=LIMIT_BYTES, settings=None):
        self.now = 100.0
        self.given_up = []
        self.budget = MemoryBudget(limit_bytes, lambda: self.now, settings)

    def holder(self, name, kind=HolderKind.RECEIVING):
        created = MemoryHolder(kind, lambda: self.given_up.append(name))
        self.budget.record_movement(created)
        return created

    def hold(self, name, held_bytes, kind=HolderKind.RECEIVING):
        created = self.holder(name, kind)
        return created if self.budget.hold(created, held_bytes) else None


@pytest.fixture
def fixture():
    return BudgetFixture()


def test_many_large_bodies_at_once_are_refused_but_for_those_that_fit(fixture):
    held = [fixture.hold(number, 10 * MIB) for number in range(8)]
    assert [each is not None for each in held] == [True] * 3 + [False] * 5
    assert fixture.given_up == [] and fixture.budget.held_bytes == 30 * MIB
    assert fixture.budget.refused == {"receiving": 5}
    fixture.budget.release(held[0])
    assert fixture.hold("next", 10 * MIB) is not None


def test_small_requests_find_room_beside_large_bodies(fixture):
    fixture.hold("large", 30 * MIB)
    assert all(fixture.hold(number, 60 * KIB) for number in range(170))
    assert fixture.given_up == []


def test_bodies_kept_short_of_their_end_yield_to_others(fixture):
    fixture.hold("stalled", 30 * MIB)
    assert fixture.hold("early", 20 * MIB) is None
    fixture.now += STALL_SECONDS
    assert fixture.hold("late", 20 * MIB) is not None
    assert fixture.given_up == ["stalled"]
    assert fixture.budget.given_up == {"receiving": 1}


def test_a_crowd_of_medium_bodies_yields_to_a_small_request(fixture):
    crowd = [fixture.hold(number, 500 * KIB) for number in range(62)]
    assert crowd[60] is not None and crowd[61] is None
    small = [fixture.hold(number, 64 * KIB) for number in range(200)]
    assert all(small) and fixture.given_up


def test_the_largest_of_bodies_of_unknown_length_is_refused_not_the_others(fixture):
    # Bodies in chunks declare no length; all grow together.
    holders = [fixture.holder(number) for number in range(6)]
    refused = set()
    for size in range(MIB, 30 * MIB, MIB):
        for number, holder in enumerate(holders):
            if number not in refused and not fixture.budget.hold(holder, size):
                fixture.budget.close(holder)
                refused.add(number)
    assert len(refused) == 5 and fixture.given_up == []


@pytest.mark.parametrize("kind", [HolderKind.RUNNING, HolderKind.ANSWER, HolderKind.UNSENT])
def test_a_request_that_has_run_is_not_given_up_for_one_that_has_not(fixture, kind):
    fixture.hold("run", 30 * MIB, kind)
    fixture.now += 10 * STALL_SECONDS
    assert fixture.hold("new", 20 * MIB) is None
    assert fixture.given_up == []


def test_large_requests_leave_room_for_the_answers_of_others():
    fixture = BudgetFixture(settings=BudgetSettings(reserve_share=0.2, answer_share=0.15))
    running = [fixture.hold(number, 5 * MIB, HolderKind.RUNNING) for number in range(8)]
    assert sum(each is not None for each in running) == 5
    assert fixture.hold("answer", 6 * MIB, HolderKind.ANSWER) is not None
    assert fixture.given_up == []


def test_an_answer_takes_the_room_of_requests_that_have_not_run(fixture):
    fixture.hold("upload", 30 * MIB)
    assert fixture.hold("answer", 20 * MIB, HolderKind.UNSENT) is not None
    assert fixture.given_up == ["upload"]


def test_the_reader_that_stands_still_is_given_up_before_a_larger_one_that_reads(fixture):
    fixture.hold("stalled", 5 * MIB, HolderKind.UNSENT)
    fixture.now += STALL_SECONDS
    fixture.hold("reads", 20 * MIB, HolderKind.UNSENT)
    assert fixture.hold("new", 8 * MIB, HolderKind.UNSENT) is not None
    assert fixture.given_up == ["stalled"]


def test_the_budget_names_the_largest_body():
    fixture = BudgetFixture(1000 * KIB)
    first = fixture.hold("a", 450 * KIB, HolderKind.ANSWER)
    second = fixture.hold("b", 300 * KIB, HolderKind.ANSWER)
    assert fixture.budget.hold(second, 305 * KIB) and fixture.given_up == ["a"]
    assert first.held_bytes == 0 and fixture.budget.held_bytes == 305 * KIB
    assert fixture.budget.hold(second, 355 * KIB) and fixture.given_up == ["a"]
    # The largest one gives up its own, not that of another.
    fixture.hold("c", 300 * KIB, HolderKind.ANSWER)
    assert not fixture.budget.hold(second, 500 * KIB) and fixture.given_up == ["a"]


def test_requests_sent_ahead_leave_room_for_those_of_other_callers(fixture):
    ahead = [fixture.hold(number, 128 * KIB, HolderKind.AHEAD) for number in range(400)]
    assert sum(each is not None for each in ahead) == 240
    assert fixture.hold("ordinary", 10 * KIB) is not None
    assert fixture.given_up == []


def test_a_holder_that_was_closed_by_what_was_given_up_counts_nothing(fixture):
    # A stream's caller and its endpoint's answer end together.
    answer = fixture.hold("answer", 10 * MIB, HolderKind.ANSWER)
    reader = MemoryHolder(HolderKind.UNSENT, lambda: fixture.budget.close(answer))
    fixture.budget.record_movement(reader)
    assert fixture.budget.hold(reader, 20 * MIB)
    assert not fixture.budget.hold(answer, 15 * MIB)
    assert fixture.budget.held_bytes == 0


def test_what_is_held_is_shown_by_kind(fixture):
    fixture.hold("body", 3 * MIB)
    fixture.hold("call", 2 * MIB, HolderKind.RUNNING)
    held = fixture.budget.held_by_kind
    assert held["receiving"] == 3 * MIB and held["running"] == 2 * MIB
    assert sum(held.values()) == fixture.budget.held_bytes
