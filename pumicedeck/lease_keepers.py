"""Connects the lease state machine to the table service and to timers."""

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

_READ_TIMED_OUT = Failure(ResultCode.STORE_UNAVAILABLE, "read of the lease row timed out")
_COMMIT_TIMED_OUT = Failure(ResultCode.STORE_OUTCOME_UNKNOWN, "commit of the lease row timed out")


class LeaseKeeper:
    """Sends the reads and commits of one `LeaseHolder` and passes it their outcomes."""

    def __init__(
        self,
        holder: LeaseHolder,
        timers: TimerQueue,
        store: TableStore,
        on_acquired: Callable[[LeaseAcquired], None],
        call_seconds: float = 3.0,
        on_other_holder: Callable[[str], None] = lambda holder: None,
    ) -> None:
        """Call `on_acquired` when the lease was acquired; store calls end after `call_seconds`.

        `on_other_holder` is called with the name of the other holder whenever a read shows one.
        """
        self._holder = holder
        self._timers = timers
        self._store = store
        self._on_acquired = on_acquired
        self._call_seconds = call_seconds
        self._on_other_holder = on_other_holder
        self._wakeup = Wakeup(
            timers, holder.next_wakeup, lambda now: self._carry_out(holder.on_timer(now))
        )

    def acquire(self) -> None:
        """Acquire the lease and renew it until `release`."""
        if not self._holder.should_hold:
            self._carry_out(self._holder.acquire(self._timers.now()))

    def release(self) -> None:
        """Release the lease and stop trying to acquire it."""
        if self._holder.should_hold:
            self._carry_out(self._holder.release(self._timers.now()))

    def abandon(self) -> None:
        """Drop the lease without releasing it; `on_acquired` is called once it is held anew."""
        self._carry_out(self._holder.abandon(self._timers.now()))

    def announce_orders(self, endpoint: str) -> None:
        """Have the lease row announce orders to an endpoint, unless it announces some for now."""
        self._carry_out(self._holder.announce_orders(self._timers.now(), endpoint))

    def close(self) -> None:
        """Release the lease and cancel the timers."""
        self.release()
        self._wakeup.close()

    def _carry_out(self, actions: list[LeaseAction]) -> None:
        """Send the reads and commits that the holder asks for, and report an acquired lease."""
        for action in actions:
            match action:
                case ReadLease(key):
                    done = self._guard(_READ_TIMED_OUT, self._read)
                    self._store.read((key,), done)
                case CommitLease(transaction):
                    done = self._guard(_COMMIT_TIMED_OUT, self._committed)
                    self._store.commit(transaction, done)
                case LeaseAcquired():
                    self._on_acquired(action)
                case LeaseLost():
                    pass
        self._wakeup.refresh()

    def _guard(self, failure: Failure, done: Callable) -> Callable:
        """Wrap a callback so that it gets `failure` if the store does not answer in time."""
        return with_timeout(self._timers, self._call_seconds, failure, done)

    def _read(self, outcome: Result[tuple[Row, ...], Failure]) -> None:
        """Pass the outcome of a read to the holder and report another holder in the row."""
        row = Ok(outcome.unwrap()[0]) if outcome.is_ok() else outcome
        self._carry_out(self._holder.lease_read(self._timers.now(), row))
        other = self._holder.other_holder
        if other:
            self._on_other_holder(other)

    def _committed(self, outcome: Result[Committed, Failure]) -> None:
        """Pass the outcome of a commit to the holder."""
        self._carry_out(self._holder.lease_committed(self._timers.now(), outcome))
