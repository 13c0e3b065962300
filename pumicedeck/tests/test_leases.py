"""Tests of leases: at most one holder at a time under store faults and paused processes."""

import random

import pytest
from result import Err, Ok

from pumicedeck.clocks import VirtualTime
from pumicedeck.faults import Fault, FaultRate
from pumicedeck.lease_keepers import LeaseKeeper
from pumicedeck.leases import (
    LEASE_TABLE,
    CommitLease,
    LeaseAcquired,
    LeaseHolder,
    LeaseLost,
    LeaseRow,
    LeaseSettings,
    ReadLease,
    decode_lease,
)
from pumicedeck.platform_interfaces import Committed, Row, StoreKey
from pumicedeck.results import Failure, ResultCode
from pumicedeck.standin_tables import StandinTableStore, TableData

UNKNOWN = Err(Failure(ResultCode.STORE_OUTCOME_UNKNOWN))
DOWN = Err(Failure(ResultCode.STORE_UNAVAILABLE))


def _row(holder: str, fencing: int = 1, revision: int = 1, duration: float = 15.0) -> Row:
    return Row(LEASE_TABLE, "e", LeaseRow(holder, fencing, duration).encode(), revision)


def _held(now: float = 0.0) -> LeaseHolder:
    holder = LeaseHolder("e", "me")
    holder.acquire(now)
    holder.lease_read(now, Ok(Row(LEASE_TABLE, "e", b"", 0)))
    assert holder.lease_committed(now, Ok(Committed((1,)))) == [LeaseAcquired(1, "")]
    return holder


def test_the_holder_counts_the_duration_from_the_time_at_which_it_sent_the_commit() -> None:
    holder = LeaseHolder("e", "me")
    assert holder.acquire(0.0) == [ReadLease(StoreKey(LEASE_TABLE, "e"))]
    holder.lease_read(5.0, Ok(Row(LEASE_TABLE, "e", b"", 0)))
    holder.lease_committed(9.0, Ok(Committed((1,))))
    assert holder.holds(17.9)
    assert not holder.holds(18.0)


def test_an_abandoned_lease_is_read_and_acquired_anew_with_a_new_fencing_number() -> None:
    """A renewal of a lease whose work had been stopped did not report the lease again."""
    holder = _held()
    assert holder.abandon(1.0) == [LeaseLost()]
    assert not holder.holds(1.0)
    assert holder.on_timer(1.0) == [ReadLease(StoreKey(LEASE_TABLE, "e"))]
    commit = holder.lease_read(1.0, Ok(_row("me")))[0]
    assert isinstance(commit, CommitLease)
    assert holder.lease_committed(1.1, Ok(Committed((2,)))) == [LeaseAcquired(2, "")]


def test_a_renewal_under_way_when_its_lease_is_abandoned_reports_the_lease_again() -> None:
    holder = _held()
    assert isinstance(holder.on_timer(5.0)[0], CommitLease)
    assert holder.abandon(5.1) == [LeaseLost()]
    assert holder.lease_committed(5.2, Ok(Committed((2,)))) == [LeaseAcquired(1, "")]
    assert holder.holds(5.2)


def test_takeover_waits_for_the_full_duration_observed() -> None:
    holder = LeaseHolder("e", "me")
    holder.acquire(100.0)
    assert holder.lease_read(100.0, Ok(_row("other"))) == []
    for second in range(102, 115, 2):
        assert holder.on_timer(float(second)) == [ReadLease(StoreKey(LEASE_TABLE, "e"))]
        assert holder.lease_read(float(second), Ok(_row("other"))) == []
    holder.on_timer(115.0)
    commit = holder.lease_read(115.0, Ok(_row("other")))[0]
    assert isinstance(commit, CommitLease)
    assert decode_lease(commit.transaction.writes[0].value, 1, 1.0).fencing == 2
    assert holder.lease_committed(115.1, Ok(Committed((2,)))) == [LeaseAcquired(2, "other")]


def test_a_renewal_observed_meanwhile_restarts_the_wait() -> None:
    holder = LeaseHolder("e", "me")
    holder.acquire(0.0)
    holder.lease_read(0.0, Ok(_row("other", revision=1)))
    holder.on_timer(14.0)
    holder.lease_read(14.0, Ok(_row("other", revision=2)))
    holder.on_timer(28.0)
    assert holder.lease_read(28.0, Ok(_row("other", revision=2))) == []
    holder.on_timer(29.0)
    assert isinstance(holder.lease_read(29.0, Ok(_row("other", revision=2)))[0], CommitLease)


@pytest.mark.parametrize("took_effect", [True, False])
def test_a_lost_reply_is_resolved_by_reading_back(took_effect) -> None:
    holder = LeaseHolder("e", "me")
    holder.acquire(0.0)
    holder.lease_read(0.0, Ok(Row(LEASE_TABLE, "e", b"", 0)))
    assert holder.lease_committed(1.0, UNKNOWN) == [ReadLease(StoreKey(LEASE_TABLE, "e"))]
    row = _row("me") if took_effect else Row(LEASE_TABLE, "e", b"", 0)
    actions = holder.lease_read(2.0, Ok(row))
    assert isinstance(actions[0], LeaseAcquired if took_effect else CommitLease)
    assert holder.holds(2.0) is took_effect
    assert not holder.holds(13.0)


def test_a_renewal_with_unknown_outcome_that_took_no_effect_does_not_extend_the_lease() -> None:
    holder = _held()
    holder.on_timer(5.0)
    holder.lease_committed(6.0, UNKNOWN)
    holder.lease_read(7.0, Ok(_row("me", fencing=1, revision=1)))
    assert not holder.holds(13.0)


def test_a_store_outage_ends_the_lease_and_a_released_one_is_free_at_once() -> None:
    holder = _held()
    holder.on_timer(5.0)
    holder.lease_committed(5.0, DOWN)
    assert LeaseLost() in holder.on_timer(15.0)
    held = _held()
    held.release(3.0)
    assert not held.holds(3.0)
    held.lease_committed(3.1, Ok(Committed((2,))))
    other = LeaseHolder("e", "other")
    other.acquire(3.2)
    assert isinstance(other.lease_read(3.2, Ok(_row("", 1, 2)))[0], CommitLease)


class _Process:
    """A process that acquires the lease and can be paused; its timers then run when it resumes."""

    def __init__(self, time: VirtualTime, data: TableData, name: str, rng: random.Random) -> None:
        self.time = time
        self.store = StandinTableStore(time, data=data)
        self.store.faults._random = rng
        self.paused_until = 0.0
        self.acquired: list[int] = []
        self.holder = LeaseHolder("e", name, LeaseSettings())
        timers = _PausedTimers(self)
        self.keeper = LeaseKeeper(
            self.holder, timers, self.store, lambda got: self.acquired.append(got.fencing)
        )


class _PausedTimers(VirtualTime):
    def __init__(self, process: _Process) -> None:
        super().__init__()
        self._process = process

    def now(self) -> float:
        return self._process.time.now()

    def call_at(self, due, callback):
        def run() -> None:
            if self._process.paused_until > self.now():
                self._process.time.call_at(self._process.paused_until, run)
            elif not timer.cancelled:
                callback()

        timer = self._process.time.call_at(due, run)
        return timer


@pytest.mark.parametrize("seed", range(40))
def test_never_two_holders_under_faults_and_pauses(seed) -> None:
    rng, time, data = random.Random(seed), VirtualTime(), TableData()
    processes = [_Process(time, data, f"p{number}", rng) for number in range(3)]
    for process in processes:
        process.store.faults.set_rates(
            FaultRate(Fault.LOSE_REPLY, 0.1),
            FaultRate(Fault.LOSE_REQUEST, 0.1),
            FaultRate(Fault.SILENT, 0.05),
        )
        process.keeper.acquire()
    for tick in range(1, 2000):
        time.run_until(tick * 0.25)
        holding = [each for each in processes if each.holder.holds(time.now())]
        assert len(holding) <= 1
        chosen = rng.choice(processes)
        chance = rng.random()
        if chance < 0.01:
            chosen.paused_until = time.now() + rng.uniform(1.0, 40.0)
        elif chance < 0.02:
            chosen.store.faults.down = not chosen.store.faults.down
        elif chance < 0.04 and chosen.paused_until <= time.now():
            chosen.keeper.release()
        elif chance < 0.10 and chosen.paused_until <= time.now():
            chosen.keeper.acquire()
    numbers = [number for process in processes for number in process.acquired]
    assert len(set(numbers)) > 1
    for process in processes:
        assert process.acquired == sorted(process.acquired)
    owners = {number: each for each in processes for number in each.acquired}
    assert sum(len(set(each.acquired)) for each in processes) == len(owners)


def _sent_row(holder: str, sent: float, revision: int = 1) -> Row:
    return Row(LEASE_TABLE, "e", LeaseRow(holder, 1, 15.0, sent).encode(), revision)


def test_the_wait_for_a_row_with_its_sending_time_is_only_the_rest_of_its_duration() -> None:
    lag = 1000.0
    seconds = [100.0]
    holder = LeaseHolder("e", "me", store_now=lambda: seconds[0] + lag)
    holder.acquire(100.0)
    assert holder.lease_read(100.0, Ok(_sent_row("other", sent=lag + 90.0))) == []
    assert holder.next_wakeup() <= 105.0
    seconds[0] = 104.9
    holder.on_timer(104.9)
    assert holder.lease_read(104.9, Ok(_sent_row("other", sent=lag + 90.0))) == []
    seconds[0] = 105.0
    holder.on_timer(105.0)
    (commit,) = holder.lease_read(105.0, Ok(_sent_row("other", sent=lag + 90.0)))
    assert isinstance(commit, CommitLease)
    written = decode_lease(commit.transaction.writes[0].value, 1, 1.0)
    assert (written.holder, written.fencing, written.sent) == ("me", 2, lag + 105.0)


def test_an_expired_row_is_taken_over_at_the_first_read_and_a_future_one_waits_in_full() -> None:
    holder = LeaseHolder("e", "me", store_now=lambda: 500.0)
    holder.acquire(0.0)
    (commit,) = holder.lease_read(0.0, Ok(_sent_row("other", sent=480.0)))
    assert isinstance(commit, CommitLease)
    holder = LeaseHolder("e", "me", store_now=lambda: 500.0)
    holder.acquire(0.0)
    assert holder.lease_read(0.0, Ok(_sent_row("other", sent=900.0))) == []
    assert holder.lease_read(14.9, Ok(_sent_row("other", sent=900.0))) == []


@pytest.mark.parametrize("renewed_unseen", [False, True])
def test_after_a_store_outage_the_old_holder_gets_a_full_duration_again(
    renewed_unseen,
) -> None:
    seconds = [0.0]
    holder = LeaseHolder("e", "me", store_now=lambda: seconds[0])
    holder.acquire(0.0)
    holder.lease_read(0.0, Ok(_sent_row("other", sent=0.0)))
    holder.on_timer(2.0)
    holder.lease_read(2.0, DOWN)
    seconds[0] = 60.0
    holder.on_timer(60.0)
    row = _sent_row("other", sent=1.9, revision=2) if renewed_unseen else _sent_row("other", 0.0)
    assert holder.lease_read(60.0, Ok(row)) == []
    assert holder.lease_read(74.9, Ok(row)) == []
    (commit,) = holder.lease_read(75.0, Ok(row))
    assert isinstance(commit, CommitLease)
