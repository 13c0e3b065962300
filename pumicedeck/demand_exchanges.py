"""Exchanges the demands of entry VMs through the table service to divide limits by demand."""

import json
from random import Random

from result import Err, Ok, Result

from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.json_documents import decode_document, guard_decoding
from pumicedeck.limit_shares import Demand
from pumicedeck.limiters import EntryLimiter
from pumicedeck.platform_interfaces import Committed, Row, TableStore, Transaction, Write
from pumicedeck.results import Failure
from pumicedeck.timeouts import TimedTableStore

DEMAND_TABLE = "demands"
EXCHANGE_SECONDS = 4.0
JITTER_SECONDS = 1.0
CALL_SECONDS = 2.0
MAX_ROWS = 10_000
MAX_BACKOFF_DOUBLINGS = 3
ABANDONED_ROW_SECONDS = 60.0


class DemandExchange:
    """Writes the demand rows of one entry VM and reads those of all VMs every few seconds.

    After failed calls the interval doubles, up to three times.
    """

    def __init__(
        self, vm: str, limiter: EntryLimiter, table: TableStore, timers: TimerQueue, rng: Random
    ) -> None:
        """Create a stopped exchange for the entry VM `vm`."""
        self._vm = vm
        self._limiter = limiter
        self._table = TimedTableStore(table, timers, CALL_SECONDS)
        self._timers = timers
        self._rng = rng
        self._timer: Timer | None = None
        self._failures = 0
        self._published_keys: set[str] = set()
        self._revisions: dict[str, int] = {}
        self._changed_at: dict[str, float] = {}

    def start(self) -> None:
        """Schedule the first exchange after a random part of the interval."""
        delay = self._rng.uniform(0.0, EXCHANGE_SECONDS)
        self._timer = self._timers.call_later(delay, self._exchange)

    def close(self) -> None:
        """Cancel the next exchange."""
        if self._timer is not None:
            self._timer.cancel()

    def _exchange(self) -> None:
        interval = EXCHANGE_SECONDS * 2 ** min(self._failures, MAX_BACKOFF_DOUBLINGS)
        delay = interval + self._rng.uniform(0.0, JITTER_SECONDS)
        self._timer = self._timers.call_later(delay, self._exchange)
        writes = self._writes()
        if writes:
            self._table.commit(Transaction((), writes), self._committed)
        self._table.scan(DEMAND_TABLE, "", MAX_ROWS, self._scanned)

    def _writes(self) -> tuple[Write, ...]:
        now = self._timers.now()
        demands = self._limiter.publish(now)
        current = {_key(each): each for each in demands}
        withdrawn = self._published_keys - current.keys()
        self._published_keys = set(current)
        puts = [Write(DEMAND_TABLE, key, _encode(each)) for key, each in current.items()]
        deletes = [
            Write(DEMAND_TABLE, key, None) for key in (*withdrawn, *self._abandoned_keys(now))
        ]
        return tuple(puts + deletes)

    def _abandoned_keys(self, now: float) -> list[str]:
        """Return the keys of rows that are unchanged for long and whose VM is not live any more.

        Only the live entry VM with the lowest name deletes such rows; on the others the list is
        empty.
        """
        members = self._limiter.members
        if self._vm != min(members):
            return []
        return [
            key
            for key, changed_at in self._changed_at.items()
            if now - changed_at > ABANDONED_ROW_SECONDS and key.rpartition("/")[2] not in members
        ]

    def _committed(self, outcome: Result[Committed, Failure]) -> None:
        self._record_outcome(outcome.is_ok())

    def _scanned(self, read: Result[tuple[Row, ...], Failure]) -> None:
        self._record_outcome(read.is_ok())
        if isinstance(read, Err):
            self._limiter.on_timer(self._timers.now())
            return
        now = self._timers.now()
        rows = {row.key: row for row in read.ok_value}
        # An unchanged row does not report the current demand.
        fresh = [row for row in rows.values() if self._revisions.get(row.key) != row.revision]
        for row in fresh:
            self._changed_at[row.key] = now
        self._revisions = {key: row.revision for key, row in rows.items()}
        self._changed_at = {
            key: changed_at for key, changed_at in self._changed_at.items() if key in rows
        }
        decoded = [_decode(row) for row in fresh]
        self._limiter.apply_demands(
            now, [each.ok_value for each in decoded if isinstance(each, Ok)]
        )

    def _record_outcome(self, succeeded: bool) -> None:
        self._failures = 0 if succeeded else self._failures + 1


def _key(demand: Demand) -> str:
    return f"{demand.entry_name}/{demand.vm}"


def _encode(demand: Demand) -> bytes:
    numbers = (demand.concurrency, demand.requests_per_second, demand.tokens_per_second)
    return json.dumps([round(each, 2) for each in numbers]).encode()


def _decode(row: Row) -> Result[Demand, str]:
    name, _, vm = row.key.rpartition("/")
    decoded = decode_document(row.value, lambda numbers: tuple(float(each) for each in numbers))
    return decoded.and_then(
        lambda numbers: guard_decoding(lambda: Demand(name, vm, *numbers))
    ).map_err(lambda reason: row.key)
