"""The lease on an endpoint, one row of the table service, with a fencing number; free of I/O.

The holder counts its lease from the second at which it sent the commit. Another process takes
over only after it has seen the same row for the full duration on its own monotonic clock, or, where
rows name the store's second at which they were sent, once the store's clock shows that it has
passed. That answers a start of all processes at once, when nobody has seen the row before.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from result import Result

from pumicedeck.platform_interfaces import Committed, Condition, Row, StoreKey, Transaction, Write
from pumicedeck.results import Failure, ResultCode

LEASE_TABLE = "leases"


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Times in seconds; `margin` is taken off the end before every order."""

    duration: float = 15.0
    margin: float = 2.0
    renew_after: float = 5.0
    retry: float = 1.0
    observe_every: float = 2.0


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """The value of a lease row; no holder means that it was released.

    `sent` is the store's second at which the holder sent it, as far as the holder knew, or None.
    """

    holder: str
    fencing: int
    duration: float
    sent: float | None = None

    def encode(self) -> bytes:
        """Return the bytes of the row."""
        document = {"holder": self.holder, "fencing": self.fencing, "duration": self.duration}
        if self.sent is not None:
            document["sent"] = self.sent
        return json.dumps(document, sort_keys=True).encode()


def decode_lease(value: bytes) -> LeaseRow:
    """Return the lease of a row; an absent one is free and has fencing number 0."""
    if not value:
        return LeaseRow("", 0, 0.0)
    document = json.loads(value)
    return LeaseRow(
        document["holder"], document["fencing"], document["duration"], document.get("sent")
    )


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease row."""

    key: StoreKey


@dataclass(frozen=True, slots=True)
class CommitLease:
    """Commit a change of the lease row."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease is held; `predecessor` is the former holder's incarnation, if it did not end it."""

    fencing: int
    predecessor: str


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Another process holds the lease, or it lapsed before it could be renewed."""


LeaseAction = ReadLease | CommitLease | LeaseAcquired | LeaseLost


class LeasePhase(StrEnum):
    """What the holder is doing."""

    IDLE = "idle"
    READING = "reading"
    OBSERVING = "observing"
    COMMITTING = "committing"
    HELD = "held"
    RELEASING = "releasing"


class LeaseHolder:
    """Acquires, renews and releases the lease on one endpoint for one incarnation.

    `handicap` is how many seconds longer than others it waits before it takes a lapsed lease over.
    """

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        settings: LeaseSettings | None = None,
        incarnation_prefix: str = "",
        store_now: Callable[[], float] | None = None,
    ) -> None:
        """Start without the lease and without wanting it.

        `place` begins the incarnation of every process that can only have run before this one,
        such as its VM's name where a VM runs one process; their leases are free. `store_now`
        returns the store's second, never one that is yet to come.
        """
        self._key = StoreKey(LEASE_TABLE, endpoint)
        self._incarnation = incarnation
        self._settings = settings or LeaseSettings()
        self._place = incarnation_prefix
        self._store_now = store_now
        self._phase = LeasePhase.IDLE
        self._wanted = False
        self._row: Row | None = None
        self._seen_since = 0.0
        self._blind = False
        self._heard_at = -1e9
        self._pending: LeaseRow | None = None
        self._base_revision = 0
        self._predecessor = ""
        self._sent_at = 0.0
        self._valid_until = 0.0
        self._fencing = 0
        self._next: float | None = None
        self.extra_acquisition_delay_seconds = 0.0

    @property
    def fencing(self) -> int:
        """Return the fencing number of the lease that is or was held last."""
        return self._fencing

    @property
    def should_hold(self) -> bool:
        """Tell whether the lease is to be held."""
        return self._wanted

    @property
    def last_contact_at(self) -> float:
        """Return the second at which the row was last read or written."""
        return self._heard_at

    @property
    def observed_holder(self) -> str:
        """Return the holder that the row named last."""
        return decode_lease(self._row.value).holder if self._row is not None else ""

    @property
    def other_holder(self) -> str:
        """Return the holder that the row named last, if it is another one."""
        found = decode_lease(self._row.value) if self._row is not None else None
        if found is None or self._is_same_process(found.holder):
            return ""
        return found.holder

    def holds(self, now: float) -> bool:
        """Tell whether an order may be sent now."""
        return self._fencing > 0 and now < self._valid_until - self._settings.margin

    def next_wakeup(self) -> float | None:
        """Return the second at which `on_time` is wanted."""
        times = [self._next] if self._next is not None else []
        if self._fencing and self._valid_until:
            times.append(self._valid_until)
        return min(times, default=None)

    def acquire(self, now: float) -> list[LeaseAction]:
        """Begin to acquire the lease."""
        self._wanted = True
        if self._phase is not LeasePhase.IDLE:
            return []
        return self._read()

    def release(self, now: float) -> list[LeaseAction]:
        """Give the lease up, so that nobody has to wait for its end."""
        self._wanted = False
        held = self._phase is LeasePhase.HELD and now < self._valid_until
        self._drop_validity()
        if not held:
            if self._phase in (LeasePhase.HELD, LeasePhase.OBSERVING):
                self._rest()
            return []
        self._phase = LeasePhase.RELEASING
        return [self._commit(now, LeaseRow("", self._fencing, 0.0))]

    def lease_read(self, now: float, outcome: Result[Row, Failure]) -> list[LeaseAction]:
        """Take in the row, or that it could not be read."""
        if self._phase not in (LeasePhase.READING, LeasePhase.OBSERVING):
            return []
        if not self._wanted:
            self._rest()
            return []
        if outcome.is_err():
            # The holder cannot have renewed either while the store was away.
            self._blind = True
            self._next = now + self._settings.retry
            return []
        self._heard_at = now
        self._see(now, outcome.unwrap())
        if self._blind:
            self._blind = False
            self._seen_since = now
        return self._settle_pending(now) or self._try_acquire(now)

    def lease_committed(self, now: float, outcome: Result[Committed, Failure]) -> list[LeaseAction]:
        """Take in the end of a commit; a lost reply is resolved by reading back."""
        if self._phase not in (LeasePhase.COMMITTING, LeasePhase.RELEASING):
            return []
        if outcome.is_ok() and self._pending is not None:
            self._heard_at = now
            revision = outcome.unwrap().revisions[0]
            row = Row(self._key.table, self._key.key, self._pending.encode(), revision)
            self._see(now, row)
            return self._settle_pending(now)
        if outcome.is_err() and outcome.unwrap_err().code == ResultCode.STORE_UNAVAILABLE:
            self._pending = None
            return self._retry_commit(now)
        return self._read()

    def on_timer(self, now: float) -> list[LeaseAction]:
        """Renew, observe again, retry, or notice that the lease lapsed."""
        actions = self._lapse(now)
        if self._next is None or now < self._next:
            return actions
        self._next = None
        if self._phase is LeasePhase.HELD and self._wanted:
            lease = self._lease(self._fencing)
            self._phase = LeasePhase.COMMITTING
            return [*actions, self._commit(now, lease)]
        if self._wanted:
            return [*actions, *self._read()]
        self._rest()
        return actions

    def _read(self) -> list[LeaseAction]:
        self._phase = LeasePhase.READING
        self._next = None
        return [ReadLease(self._key)]

    def _see(self, now: float, row: Row) -> None:
        if self._row is None or self._row.revision != row.revision:
            self._seen_since = now - self._age(row)
        self._row = row

    def _age(self, row: Row) -> float:
        """Return how many seconds ago a row was sent, 0 if nobody says."""
        sent = decode_lease(row.value).sent
        if sent is None or self._store_now is None:
            return 0.0
        return max(0.0, self._store_now() - sent)

    def _lease(self, fencing: int) -> LeaseRow:
        sent = self._store_now() if self._store_now is not None else None
        return LeaseRow(self._incarnation, fencing, self._settings.duration, sent)

    def _settle_pending(self, now: float) -> list[LeaseAction]:
        pending, self._pending = self._pending, None
        if pending is None or self._row is None or self._row.value != pending.encode():
            return []
        # A renewal writes what stood there before; only a new revision shows that it took effect.
        if self._row.revision <= self._base_revision:
            return []
        if not pending.holder:
            self._rest()
            return self.acquire(now) if self._wanted else []
        return self._acquired(now, pending)

    def _acquired(self, now: float, lease: LeaseRow) -> list[LeaseAction]:
        fresh = lease.fencing != self._fencing or not self._valid_until
        self._fencing = lease.fencing
        self._valid_until = self._sent_at + lease.duration
        self._phase = LeasePhase.HELD
        self._next = self._sent_at + self._settings.renew_after
        if not self._wanted:
            return self.release(now)
        if now >= self._valid_until:
            return self._lapse(now)
        return [LeaseAcquired(lease.fencing, self._predecessor)] if fresh else []

    def _try_acquire(self, now: float) -> list[LeaseAction]:
        assert self._row is not None
        found = decode_lease(self._row.value)
        if found.holder and not self._is_same_process(found.holder):
            lost = self._lose()
            due = self._seen_since + found.duration + self.extra_acquisition_delay_seconds
            if now < due:
                self._phase = LeasePhase.OBSERVING
                self._next = min(due, now + self._settings.observe_every)
                return lost
            self._predecessor = found.holder
        else:
            lost = []
            self._predecessor = ""
        self._phase = LeasePhase.COMMITTING
        lease = self._lease(found.fencing + 1)
        return [*lost, self._commit(now, lease)]

    def _is_same_process(self, holder: str) -> bool:
        """Tell whether a holder is this process or one that ran in its place before it."""
        if holder == self._incarnation:
            return True
        return bool(self._place) and holder.startswith(self._place)

    def _commit(self, now: float, lease: LeaseRow) -> CommitLease:
        revision = self._row.revision if self._row is not None else 0
        condition = Condition(self._key.table, self._key.key, revision)
        write = Write(self._key.table, self._key.key, lease.encode())
        self._pending = lease
        self._base_revision = revision
        self._sent_at = now
        self._next = None
        return CommitLease(Transaction((condition,), (write,)))

    def _retry_commit(self, now: float) -> list[LeaseAction]:
        if self._phase is LeasePhase.RELEASING:
            self._rest()
            return self.acquire(now) if self._wanted else []
        self._phase = LeasePhase.HELD if self._valid_until else LeasePhase.READING
        self._next = now + self._settings.retry
        return []

    def _lapse(self, now: float) -> list[LeaseAction]:
        if not self._valid_until or now < self._valid_until:
            return []
        self._drop_validity()
        if self._phase is LeasePhase.HELD:
            self._phase = LeasePhase.READING
            self._next = now
        return [LeaseLost()]

    def _lose(self) -> list[LeaseAction]:
        if not self._valid_until:
            return []
        self._drop_validity()
        return [LeaseLost()]

    def _drop_validity(self) -> None:
        self._valid_until = 0.0

    def _rest(self) -> None:
        self._phase = LeasePhase.IDLE
        self._next = None
        self._pending = None
