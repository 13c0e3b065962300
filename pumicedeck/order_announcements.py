"""Decides whether a lease holder may send orders now, and from when its successor may; free of I/O.

The load is schedulers that are lost or cut off while an order of theirs may still be on its way.
Orders of two holders to one endpoint must stay apart by some seconds, but few losses come soon
after an order, and then only some endpoints had one. A holder therefore announces in its lease row,
before it sends orders, to which endpoints it may send some and until when. A successor waits only
as long as the row in which it found the lease asks for, and only with orders to these endpoints.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

# Stands for all endpoints, in rows that name none.
ANY_ENDPOINT = ""
# Older announcements ask for no wait any more and are left out of the row.
KEEP_SECONDS = 10.0


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


@dataclass(frozen=True, slots=True)
class AnnouncedOrders:
    """What a lease row says of orders: by endpoint until when they may be sent.

    Times are in seconds of the store's clock. `own` are those of the row's holder, `earlier` those
    of the holders before it.
    """

    own: Mapping[str, float] = field(default_factory=dict)
    earlier: Mapping[str, float] = field(default_factory=dict)


class FormerHolder(StrEnum):
    """Whose row a process replaces when it acquires the lease.

    NOBODY: the lease was never held. ITSELF: the process, or an earlier one on the same VM.
    """

    NOBODY = "nobody"
    ITSELF = "itself"
    RELEASED = "released"
    LOST = "lost"


class OrderAnnouncement:
    """Until when orders of this lease's holders may be sent, by endpoint.

    What earlier holders announced stays in the row while the lease changes hands, so a holder that
    was lost before it sent an order passes it on.
    """

    def __init__(
        self, store_now: Callable[[], float], settings: AnnouncementSettings | None = None
    ) -> None:
        """Announce by `store_now`, an estimate of the store's clock that is never ahead of it."""
        self._store_now = store_now
        self._settings = settings or AnnouncementSettings()
        self._earlier: dict[str, float] = {}
        self._waits_for: dict[str, float] = {}
        self._requested: dict[str, float] = {}
        self._committed: dict[str, float] = {}

    @property
    def row_value(self) -> AnnouncedOrders:
        """Return what the next lease row must announce."""
        own = merge_latest(self._requested, self._committed)
        return AnnouncedOrders(self._without_old(own), self._without_old(self._earlier))

    @property
    def waits_for(self) -> dict[str, float]:
        """Return until when those earlier holders may send orders that this one must wait for.

        A holder that released the lease sends no more, and the orders of one VM are those of one
        holder.
        """
        return dict(self._waits_for)

    def is_open(self, endpoint: str) -> bool:
        """Return whether an order may be sent now as far as the committed row allows."""
        until = self._committed.get(endpoint, 0.0)
        return self._store_now() + self._settings.margin_seconds <= until

    def request(self, endpoint: str) -> None:
        """Have the next row allow orders to an endpoint for the length of a window from now on."""
        self._requested[endpoint] = self._store_now() + self._settings.window_seconds

    def inherit(self, announced: AnnouncedOrders | None, former: FormerHolder) -> None:
        """Take over what the row says that this process replaces.

        A holder whose row announces nothing may have sent an order to any endpoint until now.
        """
        if announced is None or not self._settings.trusts_rows:
            own = {} if former is FormerHolder.NOBODY else {ANY_ENDPOINT: self._store_now()}
            announced = AnnouncedOrders(own, announced.earlier if announced is not None else {})
        self._waits_for = dict(announced.earlier)
        if former is FormerHolder.LOST:
            self._waits_for = merge_latest(announced.earlier, announced.own)
        if former is FormerHolder.ITSELF:
            self._requested = merge_latest(self._requested, announced.own)
            self._earlier = merge_latest(self._earlier, announced.earlier)
        else:
            self._earlier = merge_latest(self._earlier, announced.earlier, announced.own)

    def confirm(self, announced: AnnouncedOrders | None) -> None:
        """Record what a committed row of this process announces."""
        self._committed = dict(announced.own) if announced is not None else {}

    def _without_old(self, times: Mapping[str, float]) -> dict[str, float]:
        oldest = self._store_now() - KEEP_SECONDS
        return {endpoint: until for endpoint, until in times.items() if until > oldest}


def merge_latest(*announced: Mapping[str, float]) -> dict[str, float]:
    """Return the latest time of each endpoint."""
    merged: dict[str, float] = {}
    for times in announced:
        for endpoint, until in times.items():
            merged[endpoint] = max(until, merged.get(endpoint, until))
    return merged


def earliest_order(
    orders_until: Mapping[str, float], endpoint: str, takeover_seconds: float
) -> float:
    """Return from when a new holder may send orders to an endpoint.

    `orders_until` has by endpoint until when earlier holders may send some; the result is on the
    same clock. There is no wait after holders that announced nothing.
    """
    times = [orders_until.get(name) for name in (endpoint, ANY_ENDPOINT)]
    announced = [until for until in times if until is not None]
    return max(announced) + takeover_seconds if announced else 0.0
