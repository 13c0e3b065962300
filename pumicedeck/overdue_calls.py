"""Finds pending calls that a service will not answer because it was silent; performs no I/O.

Handles a service that is silent for several seconds: time-outs grow meanwhile, and when the service
answers again, each call that is still pending would wait for the rest of its time-out. Once a later
call has been answered, an earlier call that has waited longer than usual will not be answered.
"""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _PendingCall:
    sent: float
    usual_seconds: float
    give_up: Callable[[], None]


class OverdueCalls:
    """Tracks pending calls by number, in the order in which they were sent."""

    def __init__(self) -> None:
        """Create an empty record of calls."""
        self._pending: dict[int, _PendingCall] = {}
        self._last_number = 0

    def begin(self, sent: float, usual_seconds: float, give_up: Callable[[], None]) -> int:
        """Record a call sent at time `sent` and return its number.

        An answer usually takes up to `usual_seconds`; `give_up` ends the call without an answer.
        """
        self._last_number += 1
        self._pending[self._last_number] = _PendingCall(sent, usual_seconds, give_up)
        return self._last_number

    def end(self, number: int) -> None:
        """Remove a call that was answered or given up."""
        self._pending.pop(number, None)

    def overdue(self, answered: int, now: float) -> list[Callable[[], None]]:
        """Return the `give_up` callbacks of the overdue calls sent before the call `answered`."""
        return [
            call.give_up
            for number, call in self._pending.items()
            if number < answered and now - call.sent > call.usual_seconds
        ]
