"""Time-outs for calls of the platform and endpoints that may never report."""

from result import Err, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.platforms import Done, T
from pumicedeck.results import Failure


def guarded(timers: TimerQueue, seconds: float, failure: Failure, done: Done[T]) -> Done[T]:
    """Return a callback that reports once: the outcome, or `failure` after `seconds`."""
    open_calls = [done]

    def report(outcome: Result[T, Failure]) -> None:
        if open_calls:
            timer.cancel()
            open_calls.pop()(outcome)

    timer = timers.call_later(seconds, lambda: report(Err(failure)))
    return report
