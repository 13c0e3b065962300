"""Calls to one service that were sent into its silence; free of I/O.

Answers a service that falls silent for seconds: time-outs grow meanwhile, and on its return each
call that is still waited for would cost the rest of its time-out. Once a later call is answered, an
earlier one that has waited longer than usual will not be.
"""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _OpenCall:
    sent: float
    usual_seconds: float
    give_up: Callable[[], None]


class OverdueCalls:
    """The calls that are waited for, by number in the order of sending."""

    def __init__(self) -> None:
        """Begin without calls."""
        self._open: dict[int, _OpenCall] = {}
        self._last = 0

    def begin(self, sent: float, usual_seconds: float, give_up: Callable[[], None]) -> int:
        """Note a call, which usually takes up to `usual_seconds`; return its number."""
        self._last += 1
        self._open[self._last] = _OpenCall(sent, usual_seconds, give_up)
        return self._last

    def end(self, number: int) -> None:
        """Forget a call that was answered or given up."""
        self._open.pop(number, None)

    def overdue(self, answered: int, now: float) -> list[Callable[[], None]]:
        """Return how to give up what was sent before call `answered` and is overdue."""
        return [
            call.give_up
            for number, call in self._open.items()
            if number < answered and now - call.sent > call.usual_seconds
        ]
