"""Decides whether a lease holder may send orders now, and from when its successor may; free of I/O.

The load is schedulers that are lost or cut off while an order of theirs may still be on its way.
Orders of two holders must stay apart by some seconds, but few losses come soon after an order. A
holder therefore announces in its lease row, before it sends orders, until when it may send some. A
successor waits only as long as the row in which it found the lease asks for.
"""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AnnouncementSettings:
    """Times in seconds.

    An announcement allows orders for `window_seconds`. The last `margin_seconds` of it are not
    used, since the estimate of the store's clock may be behind. With `trusts_rows` a successor
    waits only for orders that a row announces, otherwise as if every holder had sent some.
    """

    window_seconds: float = 0.6
    margin_seconds: float = 0.2
    trusts_rows: bool = True


class OrderAnnouncement:
    """Until when orders of this lease's holders may be sent, in seconds of the store's clock.

    The value in the row never decreases while the lease changes hands, so a holder that was lost
    before it sent an order passes on what its predecessor announced.
    """

    def __init__(
        self, store_now: Callable[[], float], settings: AnnouncementSettings | None = None
    ) -> None:
        """Announce by `store_now`, an estimate of the store's clock that is never ahead of it."""
        self._store_now = store_now
        self._settings = settings or AnnouncementSettings()
        self._inherited_until = 0.0
        self._requested_until = 0.0
        self._committed_until = 0.0

    @property
    def row_value(self) -> float:
        """Return what the next lease row must announce."""
        return max(self._inherited_until, self._requested_until, self._committed_until)

    @property
    def inherited_until(self) -> float:
        """Return until when earlier holders may have sent orders."""
        return self._inherited_until

    @property
    def is_open(self) -> bool:
        """Return whether orders may be sent now as far as the committed row allows."""
        return self._store_now() + self._settings.margin_seconds <= self._committed_until

    def request(self) -> None:
        """Have the next row allow orders for the length of a window from now on."""
        self._requested_until = self._store_now() + self._settings.window_seconds

    def inherit(self, orders_until: float | None, was_held: bool) -> None:
        """Take over what the row says that this process replaces.

        A holder whose row announces nothing may have sent an order until now.
        """
        if orders_until is None or not self._settings.trusts_rows:
            orders_until = self._store_now() if was_held else 0.0
        self._inherited_until = max(self._inherited_until, orders_until)

    def confirm(self, orders_until: float | None) -> None:
        """Record what a committed row of this process announces."""
        self._committed_until = orders_until or 0.0


def earliest_order(predecessor: str, earlier_orders_until: float, takeover_seconds: float) -> float:
    """Return from when a new holder may send orders, on the clock of `earlier_orders_until`.

    Without a `predecessor`, which released the lease or ran on the same VM, there is no wait.
    """
    return earlier_orders_until + takeover_seconds if predecessor else 0.0
