"""Tests of the store's clock as estimated from answers with different delays."""

import pytest

from pumicedeck.clocks import VirtualTime
from pumicedeck.store_clocks import MAX_ANSWER_DELAY_SECONDS, StoreClock

STORE_AHEAD_SECONDS = 1000.0


def test_a_slow_answer_does_not_turn_the_clock_back():
    timers = VirtualTime()
    clock = StoreClock(timers)
    assert not clock.is_set and clock.now() == 0.0
    clock.record_store_time(STORE_AHEAD_SECONDS + timers.now() - 0.01)
    timers.run_until(1.0)
    clock.record_store_time(STORE_AHEAD_SECONDS + timers.now() - 0.8)
    assert STORE_AHEAD_SECONDS + 1.0 - 0.02 <= clock.now() <= STORE_AHEAD_SECONDS + 1.0
    assert clock.to_local_seconds(clock.now()) == pytest.approx(1.0)


def test_the_estimate_is_never_ahead_and_a_quicker_answer_improves_it():
    timers = VirtualTime()
    clock = StoreClock(timers)
    for delay in (0.5, 0.2, 0.4, 0.03, 0.9):
        timers.run_until(timers.now() + 1.0)
        clock.record_store_time(STORE_AHEAD_SECONDS + timers.now() - delay)
        assert clock.now() <= STORE_AHEAD_SECONDS + timers.now()
    assert clock.now() >= STORE_AHEAD_SECONDS + timers.now() - 0.04


def test_a_store_clock_that_was_set_back_is_accepted():
    timers = VirtualTime()
    clock = StoreClock(timers)
    clock.record_store_time(STORE_AHEAD_SECONDS)
    timers.run_until(1.0)
    clock.record_store_time(STORE_AHEAD_SECONDS - MAX_ANSWER_DELAY_SECONDS - 1.0)
    assert clock.now() == STORE_AHEAD_SECONDS - MAX_ANSWER_DELAY_SECONDS - 1.0
