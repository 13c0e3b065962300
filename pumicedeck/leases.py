"""The state machine of a lease: one row of the table service with a fencing number; free of I/O.

The holder counts the duration from the time at which it sent the commit. Another process takes the
lease over only after the row has stayed the same for the full duration on that process's monotonic
clock. If the row has the store's time at which it was sent, the time that has passed since then
counts too: processes that all start at once, none of which has read the row before, then need not
wait the full duration for a lease that has expired.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from result import Result

from pumicedeck.json_documents import decode_document, read_integer, read_number, read_text
from pumicedeck.order_announcements import (
    ANY_ENDPOINT,
    AnnouncedOrders,
    AnnouncementSettings,
    FormerHolder,
    OrderAnnouncement,
)
from pumicedeck.platform_interfaces import Committed, Condition, Row, StoreKey, Transaction, Write
from pumicedeck.results import Failure, ResultCode

LEASE_TABLE = "leases"
UNREADABLE_HOLDER = "unreadable lease row"


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Timing of a lease, in seconds.

    `margin` is how long before the end of the lease the holder stops sending orders. The lease is
    renewed `renew_after` seconds after its last commit was sent. A failed store call is repeated
    after `retry`. Another holder's row is read every `observe_every`.
    """

    duration: float = 15.0
    margin: float = 2.0
    renew_after: float = 5.0
    retry: float = 1.0
    observe_every: float = 2.0


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """The value of a lease row; an empty `holder` means that the lease was released.

    `duration` is in seconds. `sent` is the holder's estimate of the store's time, in seconds, at
    which it sent the row, or None. `orders` is what the holder and those before it announce, None
    if they do not announce orders.
    """

    holder: str
    fencing: int
    duration: float
    sent: float | None = None
    orders: AnnouncedOrders | None = None

    def encode(self) -> bytes:
        """Return the row's value as JSON."""
        document = {"holder": self.holder, "fencing": self.fencing, "duration": self.duration}
        if self.sent is not None:
            document["sent"] = self.sent
        if self.orders is not None:
            document["orders"] = dict(self.orders.own)
            document["earlier_orders"] = dict(self.orders.earlier)
            # Read by programs that know no announcements by endpoint.
            times = (*self.orders.own.values(), *self.orders.earlier.values())
            document["orders_until"] = max(times, default=0.0)
        return json.dumps(document, sort_keys=True).encode()


def decode_lease(value: bytes, revision: int, duration: float) -> LeaseRow:
    """Decode the value of a lease row; an absent row is a free lease with fencing number 0.

    An unreadable row is a lease of an unknown holder that expires after `duration` seconds. Its
    fencing number is the row's `revision`: each new lease takes a write, so that no earlier holder
    had a higher one.
    """
    if not value:
        return LeaseRow("", 0, 0.0)
    unreadable = LeaseRow(UNREADABLE_HOLDER, revision, duration)
    return decode_document(value, _build_lease).unwrap_or(unreadable)


def _build_lease(document) -> LeaseRow:
    return LeaseRow(
        read_text(document, "holder"),
        read_integer(document, "fencing"),
        read_number(document, "duration"),
        read_number(document, "sent") if document.get("sent") is not None else None,
        _decode_orders(document),
    )


def _decode_orders(document: dict) -> AnnouncedOrders | None:
    """Return what a row announces; one of a program that names no endpoints stands for all."""
    if "orders" in document:
        own, earlier = document["orders"], document["earlier_orders"]
        return AnnouncedOrders(
            {endpoint: read_number(own, endpoint) for endpoint in own},
            {endpoint: read_number(earlier, endpoint) for endpoint in earlier},
        )
    if document.get("orders_until") is None:
        return None
    return AnnouncedOrders({ANY_ENDPOINT: read_number(document, "orders_until")})


@dataclass(frozen=True, slots=True)
class ReadLease:
    """A request to read the lease row."""

    key: StoreKey


@dataclass(frozen=True, slots=True)
class CommitLease:
    """A request to commit a change of the lease row."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease is held now.

    `predecessor` is the incarnation of the former holder if its lease expired, empty if the lease
    was free or last held by this process or an earlier one with the same prefix. `orders_until` has
    by endpoint the store's time, in seconds, until which those earlier holders may have sent orders
    that this one must keep a distance from.
    """

    fencing: int
    predecessor: str
    orders_until: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease is held no longer: another process has it, or it expired before its renewal."""


LeaseAction = ReadLease | CommitLease | LeaseAcquired | LeaseLost


class LeasePhase(StrEnum):
    """The states of a lease holder.

    OBSERVING: another process holds the lease, and the row is read again until the lease expires.
    """

    IDLE = "idle"
    READING = "reading"
    OBSERVING = "observing"
    COMMITTING = "committing"
    HELD = "held"
    RELEASING = "releasing"


class LeaseHolder:
    """Acquires, renews and releases one lease for one incarnation of a process.

    Before this process takes over another one's lease, it waits the lease's duration and then
    `extra_acquisition_delay_seconds` more, so that processes with a shorter delay acquire it first.
    """

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        settings: LeaseSettings | None = None,
        incarnation_prefix: str = "",
        store_now: Callable[[], float] | None = None,
        announcement: AnnouncementSettings | None = None,
    ) -> None:
        """Create an idle state machine; `acquire` starts it.

        `endpoint` is the key of the lease row. Incarnations that begin with `incarnation_prefix`
        belong to this process or to earlier ones that have ended, such as those on the same VM
        where a VM runs one process; a lease that they did not release counts as free. `store_now`
        returns an estimate of the store's time, in seconds, that is never ahead of it.
        """
        self._key = StoreKey(LEASE_TABLE, endpoint)
        self._incarnation = incarnation
        self._settings = settings or LeaseSettings()
        self._incarnation_prefix = incarnation_prefix
        self._store_now = store_now
        self._announcement = OrderAnnouncement(store_now, announcement) if store_now else None
        self._phase = LeasePhase.IDLE
        self._should_hold = False
        self._row: Row | None = None
        self._row_unchanged_since = 0.0
        self._store_unreachable = False
        # Earlier than any time of the clock: the store has not answered yet.
        self._last_contact_at = -1e9
        self._pending_row: LeaseRow | None = None
        self._revision_before_commit = 0
        self._predecessor = ""
        self._commit_sent_at = 0.0
        self._valid_until = 0.0
        self._fencing = 0
        self._wakeup_at: float | None = None
        self.extra_acquisition_delay_seconds = 0.0

    @property
    def fencing(self) -> int:
        """Return the fencing number of the lease that is held or was held last, 0 if none was."""
        return self._fencing

    @property
    def should_hold(self) -> bool:
        """Return whether `acquire` was called after the last `release`."""
        return self._should_hold

    @property
    def last_contact_at(self) -> float:
        """Return the time, as passed in `now`, of the last answer from the store."""
        return self._last_contact_at

    @property
    def observed_holder(self) -> str:
        """Return the holder in the row as last read or written, empty if there is none."""
        return self._decode_row().holder if self._row is not None else ""

    @property
    def other_holder(self) -> str:
        """Return the holder in the row as last read or written, if it is another process.

        Empty if there is none, or if it is this process or an earlier one with the same prefix.
        """
        current = self._decode_row() if self._row is not None else None
        if current is None or self._is_same_process(current.holder):
            return ""
        return current.holder

    def holds(self, now: float) -> bool:
        """Return whether the lease is held and an order may be sent now."""
        return self._fencing > 0 and now < self._valid_until - self._settings.margin

    def may_order(self, now: float, endpoint: str) -> bool:
        """Return whether the lease is held and the stored row announces orders to an endpoint."""
        announced = self._announcement is None or self._announcement.is_open(endpoint)
        return announced and self.holds(now)

    def announce_orders(self, now: float, endpoint: str) -> list[LeaseAction]:
        """Have the row announce orders to an endpoint; `may_order` is true once it is committed."""
        if self._announcement is None or self._announcement.is_open(endpoint):
            return []
        self._announcement.request(endpoint)
        if self._phase is not LeasePhase.HELD or not self._should_hold or not self.holds(now):
            return []
        return [self._renew(now)]

    def next_wakeup(self) -> float | None:
        """Return when `on_timer` must be called next, None if it need not be called."""
        times = [self._wakeup_at] if self._wakeup_at is not None else []
        if self._fencing and self._valid_until:
            times.append(self._valid_until)
        return min(times, default=None)

    def acquire(self, now: float) -> list[LeaseAction]:
        """Start to acquire the lease; once acquired, it is renewed until `release`."""
        self._should_hold = True
        if self._phase is not LeasePhase.IDLE:
            return []
        return self._read()

    def release(self, now: float) -> list[LeaseAction]:
        """Release the lease, so that other processes need not wait until it expires."""
        self._should_hold = False
        held = self._phase is LeasePhase.HELD and now < self._valid_until
        self._invalidate()
        if not held:
            if self._phase in (LeasePhase.HELD, LeasePhase.OBSERVING):
                self._become_idle()
            return []
        self._phase = LeasePhase.RELEASING
        return [self._commit(now, LeaseRow("", self._fencing, 0.0, None, self._announced()))]

    def abandon(self, now: float) -> list[LeaseAction]:
        """Drop the lease without releasing it, and acquire it anew if no other process has it.

        Used when this process stops the work that the lease covers: a renewal would not report the
        lease again.
        """
        if not self._valid_until:
            return []
        self._invalidate()
        self._predecessor = ""
        if self._phase is LeasePhase.HELD:
            self._phase = LeasePhase.READING
            self._wakeup_at = now
        return [LeaseLost()]

    def lease_read(self, now: float, outcome: Result[Row, Failure]) -> list[LeaseAction]:
        """Handle the outcome of a read of the lease row."""
        if self._phase not in (LeasePhase.READING, LeasePhase.OBSERVING):
            return []
        if not self._should_hold:
            self._become_idle()
            return []
        if outcome.is_err():
            # The other holder could not renew either while the store was unreachable, so it gets
            # the full duration again after the next successful read.
            self._store_unreachable = True
            self._wakeup_at = now + self._settings.retry
            return []
        self._last_contact_at = now
        self._observe_row(now, outcome.unwrap())
        if self._store_unreachable:
            self._store_unreachable = False
            self._row_unchanged_since = now
        return self._resolve_commit(now) or self._try_acquire(now)

    def lease_committed(self, now: float, outcome: Result[Committed, Failure]) -> list[LeaseAction]:
        """Handle the outcome of a commit; an unknown outcome is resolved by reading the row."""
        if self._phase not in (LeasePhase.COMMITTING, LeasePhase.RELEASING):
            return []
        if outcome.is_ok() and self._pending_row is not None:
            self._last_contact_at = now
            revision = outcome.unwrap().revisions[0]
            row = Row(self._key.table, self._key.key, self._pending_row.encode(), revision)
            self._observe_row(now, row)
            return self._resolve_commit(now)
        if outcome.is_err() and outcome.unwrap_err().code == ResultCode.STORE_UNAVAILABLE:
            self._pending_row = None
            return self._retry_commit(now)
        return self._read()

    def on_timer(self, now: float) -> list[LeaseAction]:
        """Renew the lease, read the row again, repeat a failed call, or expire the lease."""
        actions = self._expire(now)
        if self._wakeup_at is None or now < self._wakeup_at:
            return actions
        self._wakeup_at = None
        if self._phase is LeasePhase.HELD and self._should_hold:
            return [*actions, self._renew(now)]
        if self._should_hold:
            return [*actions, *self._read()]
        self._become_idle()
        return actions

    def _renew(self, now: float) -> CommitLease:
        """Return the commit that renews the lease."""
        self._phase = LeasePhase.COMMITTING
        return self._commit(now, self._build_row(self._fencing))

    def _read(self) -> list[LeaseAction]:
        """Start to read the row."""
        self._phase = LeasePhase.READING
        self._wakeup_at = None
        return [ReadLease(self._key)]

    def _decode_row(self) -> LeaseRow:
        """Return the row as last read or written, which there must be."""
        return self._decode(self._row)

    def _decode(self, row: Row) -> LeaseRow:
        return decode_lease(row.value, row.revision, self._settings.duration)

    def _observe_row(self, now: float, row: Row) -> None:
        """Store a row; a new revision restarts the time for which the row has not changed."""
        if self._row is None or self._row.revision != row.revision:
            self._row_unchanged_since = now - self._row_age_seconds(row)
        self._row = row

    def _row_age_seconds(self, row: Row) -> float:
        """Return how many seconds ago a row was sent, 0 if that is unknown."""
        sent = self._decode(row).sent
        if sent is None or self._store_now is None:
            return 0.0
        return max(0.0, self._store_now() - sent)

    def _build_row(self, fencing: int) -> LeaseRow:
        """Return this process's lease row with the given fencing number, sent now."""
        sent = self._store_now() if self._store_now is not None else None
        return LeaseRow(
            self._incarnation, fencing, self._settings.duration, sent, self._announced()
        )

    def _announced(self) -> AnnouncedOrders | None:
        """Return what this process's next row announces about orders."""
        return self._announcement.row_value if self._announcement is not None else None

    def _resolve_commit(self, now: float) -> list[LeaseAction]:
        """Return the actions that follow if the pending commit took effect, otherwise none."""
        pending, self._pending_row = self._pending_row, None
        if pending is None or self._row is None or self._row.value != pending.encode():
            return []
        # A renewal may write the same value again; only a new revision shows that it took effect.
        if self._row.revision <= self._revision_before_commit:
            return []
        if not pending.holder:
            self._become_idle()
            return self.acquire(now) if self._should_hold else []
        return self._acquired(now, pending)

    def _acquired(self, now: float, lease: LeaseRow) -> list[LeaseAction]:
        """Handle a commit that took effect: hold the lease and plan its renewal."""
        newly_acquired = lease.fencing != self._fencing or not self._valid_until
        self._fencing = lease.fencing
        if self._announcement is not None:
            self._announcement.confirm(lease.orders)
        self._valid_until = self._commit_sent_at + lease.duration
        self._phase = LeasePhase.HELD
        self._wakeup_at = self._commit_sent_at + self._settings.renew_after
        if not self._should_hold:
            return self.release(now)
        if now >= self._valid_until:
            return self._expire(now)
        if not newly_acquired:
            return []
        orders_until = self._announcement.waits_for if self._announcement else {}
        return [LeaseAcquired(lease.fencing, self._predecessor, orders_until)]

    def _try_acquire(self, now: float) -> list[LeaseAction]:
        """Commit this process as the holder, or wait until another one's lease has expired."""
        assert self._row is not None
        current = self._decode_row()
        if current.holder and not self._is_same_process(current.holder):
            actions = self._drop_lost_lease()
            takeover_at = (
                self._row_unchanged_since + current.duration + self.extra_acquisition_delay_seconds
            )
            if now < takeover_at:
                self._phase = LeasePhase.OBSERVING
                self._wakeup_at = min(takeover_at, now + self._settings.observe_every)
                return actions
            self._predecessor = current.holder
        else:
            actions = []
            self._predecessor = ""
        if self._announcement is not None:
            self._announcement.inherit(current.orders, self._former_holder(current))
        self._phase = LeasePhase.COMMITTING
        lease = self._build_row(current.fencing + 1)
        return [*actions, self._commit(now, lease)]

    def _former_holder(self, current: LeaseRow) -> FormerHolder:
        """Return whose row this process replaces."""
        if not current.fencing:
            return FormerHolder.NOBODY
        if not current.holder:
            return FormerHolder.RELEASED
        is_same = self._is_same_process(current.holder)
        return FormerHolder.ITSELF if is_same else FormerHolder.LOST

    def _is_same_process(self, holder: str) -> bool:
        """Return whether a holder is this process or an earlier one with the same prefix."""
        if holder == self._incarnation:
            return True
        return bool(self._incarnation_prefix) and holder.startswith(self._incarnation_prefix)

    def _commit(self, now: float, lease: LeaseRow) -> CommitLease:
        """Return the commit of a row on condition that the stored row has not changed."""
        revision = self._row.revision if self._row is not None else 0
        condition = Condition(self._key.table, self._key.key, revision)
        write = Write(self._key.table, self._key.key, lease.encode())
        self._pending_row = lease
        self._revision_before_commit = revision
        self._commit_sent_at = now
        self._wakeup_at = None
        return CommitLease(Transaction((condition,), (write,)))

    def _retry_commit(self, now: float) -> list[LeaseAction]:
        """Handle a commit that the store did not carry out; a release is not repeated."""
        if self._phase is LeasePhase.RELEASING:
            self._become_idle()
            return self.acquire(now) if self._should_hold else []
        self._phase = LeasePhase.HELD if self._valid_until else LeasePhase.READING
        self._wakeup_at = now + self._settings.retry
        return []

    def _expire(self, now: float) -> list[LeaseAction]:
        """Drop the lease if its duration has passed."""
        if not self._valid_until or now < self._valid_until:
            return []
        return self.abandon(now)

    def _drop_lost_lease(self) -> list[LeaseAction]:
        """Drop the lease if it still counts as valid, because another process holds it."""
        if not self._valid_until:
            return []
        self._invalidate()
        return [LeaseLost()]

    def _invalidate(self) -> None:
        self._valid_until = 0.0

    def _become_idle(self) -> None:
        self._phase = LeasePhase.IDLE
        self._wakeup_at = None
        self._pending_row = None
