"""The store's clock as estimated from answers that were on their way for different times."""

import pytest

from pumicedeck.clocks import VirtualTime
from pumicedeck.store_clocks import MAX_ANSWER_DELAY_SECONDS, StoreClock

AHEAD = 1000.0


def test_a_slow_answer_does_not_turn_the_clock_back():
    timers = VirtualTime()
    clock = StoreClock(timers)
    assert not clock.is_set and clock.now() == 0.0
    clock.record_store_seconds(AHEAD + timers.now() - 0.01)
    timers.run_until(1.0)
    clock.record_store_seconds(AHEAD + timers.now() - 0.8)
    assert AHEAD + 1.0 - 0.02 <= clock.now() <= AHEAD + 1.0
    assert clock.to_local_seconds(clock.now()) == pytest.approx(1.0)


def test_the_estimate_is_never_ahead_and_a_quicker_answer_improves_it():
    timers = VirtualTime()
    clock = StoreClock(timers)
    for delay in (0.5, 0.2, 0.4, 0.03, 0.9):
        timers.run_until(timers.now() + 1.0)
        clock.record_store_seconds(AHEAD + timers.now() - delay)
        assert clock.now() <= AHEAD + timers.now()
    assert clock.now() >= AHEAD + timers.now() - 0.04


def test_a_clock_that_was_set_back_is_believed():
    timers = VirtualTime()
    clock = StoreClock(timers)
    clock.record_store_seconds(AHEAD)
    timers.run_until(1.0)
    clock.record_store_seconds(AHEAD - MAX_ANSWER_DELAY_SECONDS - 1.0)
    assert clock.now() == AHEAD - MAX_ANSWER_DELAY_SECONDS - 1.0
