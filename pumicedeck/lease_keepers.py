"""Binds the lease state machine to the table service."""

from collections.abc import Callable

from result import Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.leases import (
    CommitLease,
    LeaseAcquired,
    LeaseAction,
    LeaseHolder,
    LeaseLost,
    ReadLease,
)
from pumicedeck.platform_interfaces import Committed, Row, TableStore
from pumicedeck.results import Failure, ResultCode
from pumicedeck.timeouts import with_timeout
from pumicedeck.wakeups import Wakeup

_READ_TIMED_OUT = Failure(ResultCode.STORE_UNAVAILABLE, "the read timed out")
_COMMIT_TIMED_OUT = Failure(ResultCode.STORE_OUTCOME_UNKNOWN, "the commit timed out")


class LeaseKeeper:
    """Carries the reads and commits of one `LeaseHolder`."""

    def __init__(
        self,
        holder: LeaseHolder,
        timers: TimerQueue,
        store: TableStore,
        acquired: Callable[[LeaseAcquired], None],
        call_seconds: float = 3.0,
        on_other_holder: Callable[[str], None] = lambda holder: None,
    ) -> None:
        """Report a lease to `acquired`; a store call is given up after `call_seconds`.

        `taken` is told whenever another holder's name is read.
        """
        self._holder = holder
        self._timers = timers
        self._store = store
        self._acquired = acquired
        self._call_seconds = call_seconds
        self._taken = on_other_holder
        self._wakeup = Wakeup(
            timers, holder.next_wakeup, lambda now: self._carry_out(holder.on_timer(now))
        )

    def acquire(self) -> None:
        """Acquire the lease and keep it until `release`."""
        if not self._holder.should_hold:
            self._carry_out(self._holder.acquire(self._timers.now()))

    def release(self) -> None:
        """Give the lease up."""
        if self._holder.should_hold:
            self._carry_out(self._holder.release(self._timers.now()))

    def close(self) -> None:
        """Give the lease up and set no more timers."""
        self.release()
        self._wakeup.close()

    def _carry_out(self, actions: list[LeaseAction]) -> None:
        for action in actions:
            match action:
                case ReadLease(key):
                    done = self._guard(_READ_TIMED_OUT, self._read)
                    self._store.read((key,), done)
                case CommitLease(transaction):
                    done = self._guard(_COMMIT_TIMED_OUT, self._committed)
                    self._store.commit(transaction, done)
                case LeaseAcquired():
                    self._acquired(action)
                case LeaseLost():
                    pass
        self._wakeup.refresh()

    def _guard(self, failure: Failure, done: Callable) -> Callable:
        return with_timeout(self._timers, self._call_seconds, failure, done)

    def _read(self, outcome: Result[tuple[Row, ...], Failure]) -> None:
        row = Ok(outcome.unwrap()[0]) if outcome.is_ok() else outcome
        self._carry_out(self._holder.lease_read(self._timers.now(), row))
        other = self._holder.other_holder
        if other:
            self._taken(other)

    def _committed(self, outcome: Result[Committed, Failure]) -> None:
        self._carry_out(self._holder.lease_committed(self._timers.now(), outcome))
