"""Tests of the swap schedule and of the policy for drafts that run during a swap."""

from dataclasses import replace

import pytest

from pumicedeck.catalogue_entries import SwapPolicy
from pumicedeck.platform_interfaces import WeightVersion
from pumicedeck.swaps import (
    BeginSwap,
    RunningDraft,
    SwapPosition,
    SwapSchedule,
    SwapSettings,
    SwapSlots,
    choose_policy,
    swap_position,
)
from pumicedeck.tests.draw_fixtures import ENTRY

SETTINGS = SwapSettings(store_rate=10e9, rate_share=1.0)
V2 = WeightVersion("m", 2, 10**9)


@pytest.mark.parametrize("agents", [1, 6, 600])
def test_slots_keep_the_store_rate_and_rotate_with_the_version(agents) -> None:
    slots = SwapSlots(SETTINGS)
    positions = [SwapPosition(rank, agents) for rank in range(agents)]
    delays = sorted(slots.first(V2, position) for position in positions)
    assert delays == [pytest.approx(rank * 0.1) for rank in range(agents)]
    firsts = {
        next(p.rank for p in positions if slots.first(replace(V2, version=v), p) == 0.0)
        for v in range(40)
    }
    assert len(firsts) > 1 or agents == 1


def test_retries_use_slots_after_the_first_tries() -> None:
    slots = SwapSlots(SETTINGS)
    position = SwapPosition(3, 100)
    first = slots.retry(V2, position, "e3", 1)
    second = slots.retry(V2, position, "e3", 2)
    assert 10.0 <= first < 11.0 <= second < 12.0


def test_ranks_are_those_of_the_sorted_names() -> None:
    assert swap_position("b", ["c", "a"]) == SwapPosition(1, 3)


def test_the_schedule_swaps_once_for_each_version_and_skips_older_ones() -> None:
    schedule, position = SwapSchedule("e", SETTINGS), SwapPosition(0, 1)
    schedule.plan_swap(0.0, V2, position)
    schedule.plan_swap(1.0, replace(V2, version=1), position)
    assert schedule.on_timer(1.0) == [BeginSwap(V2)]
    assert schedule.on_timer(2.0) == []
    schedule.failed(3.0, "m", 2, position)
    due = schedule.next_wakeup()
    assert schedule.on_timer(due) == [BeginSwap(V2)]
    schedule.reported("m", 2)
    assert not schedule.pending
    schedule.plan_swap(9.0, V2, position)
    assert not schedule.pending
    schedule.reported("m", -1)
    schedule.plan_swap(10.0, V2, position)
    assert schedule.pending


TAINAN = replace(ENTRY, idle_time_weight=3.0, staleness_weight=1.0)
QUINTELA = replace(ENTRY, idle_time_weight=1.0, staleness_weight=3.0)


@pytest.mark.parametrize(
    ("entry", "elapsed", "remaining", "oldest", "policy"),
    [
        (TAINAN, 30.0, 60.0, 4, SwapPolicy.SPAN),
        (QUINTELA, 30.0, 60.0, 4, SwapPolicy.RESTART),
        (QUINTELA, 30.0, 2.0, 4, SwapPolicy.RESTART),
        (QUINTELA, 200.0, 2.0, 4, SwapPolicy.FINISH),
        (TAINAN, 300.0, 60.0, 3, SwapPolicy.RESTART),
        (TAINAN, 300.0, 4.0, 4, SwapPolicy.FINISH),
    ],
)
def test_the_cost_weights_of_the_entry_choose_the_swap_policy(
    entry, elapsed, remaining, oldest, policy
) -> None:
    drafts = [RunningDraft(entry, elapsed, remaining, oldest) for _ in range(8)]
    assert choose_policy(drafts, 5, SETTINGS) is policy


def test_an_idle_engine_swaps_at_once() -> None:
    assert choose_policy([], 5, SETTINGS) is SwapPolicy.SPAN
