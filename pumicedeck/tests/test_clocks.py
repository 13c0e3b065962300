"""Tests of the timer queue in virtual time."""

from pumicedeck.clocks import COMPACT_SLACK_TIMERS, TimerQueue, VirtualTime


def test_timers_run_in_order_of_time_and_a_cancelled_one_does_not_run() -> None:
    time = VirtualTime()
    ran: list[tuple[str, float]] = []
    time.call_later(2.0, lambda: ran.append(("late", time.now())))
    time.call_later(1.0, lambda: ran.append(("early", time.now())))
    cancelled = time.call_later(1.5, lambda: ran.append(("cancelled", time.now())))
    cancelled.cancel()
    time.run_until(3.0)
    assert ran == [("early", 1.0), ("late", 2.0)]
    assert time.now() == 3.0


def test_a_timer_set_by_a_timer_runs_in_the_same_pass() -> None:
    time = VirtualTime()
    ran: list[float] = []
    time.call_later(1.0, lambda: time.call_later(1.0, lambda: ran.append(time.now())))
    time.run_until(2.0)
    assert ran == [2.0]


def test_cancelled_timers_do_not_pile_up() -> None:
    time = VirtualTime()
    ran: list[int] = []
    time.call_later(5.0, lambda: ran.append(1))
    for _ in range(10_000):
        time.call_later(100.0, lambda: ran.append(2)).cancel()
    assert len(time._heap) <= COMPACT_SLACK_TIMERS + 2
    time.run_until(200.0)
    assert ran == [1]


def test_a_callback_that_schedules_itself_at_once_gives_way_to_the_loop():
    """Guards against a pass in parts that keeps the loop from reading its sockets to its end."""
    seconds = iter(range(1000))
    timers = TimerQueue(lambda: float(next(seconds)))
    runs = []

    def run():
        runs.append(True)
        timers.call_later(0.0, run)

    timers.call_later(0.0, run)
    assert timers.run_due() == 1 and len(runs) == 1
    assert timers.run_due() == 1 and len(runs) == 2
