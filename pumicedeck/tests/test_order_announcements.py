"""Orders of two lease holders stay 3 s apart, though a successor usually need not wait.

Guards against a successor that orders while an order of a holder that was paused, cut off from the
store, or whose lease commit was lost or late may still be on its way. Replays all combinations of
these faults around the first order, and checks that it sees each condition of the protocol missing.
"""

from dataclasses import dataclass, field
from itertools import product

import pytest
from result import Err, Ok

from pumicedeck.clocks import VirtualTime
from pumicedeck.engine_orders import EngineOrders
from pumicedeck.lease_keepers import LeaseKeeper
from pumicedeck.leases import LeaseHolder, LeaseSettings
from pumicedeck.order_announcements import OrderAnnouncement, earliest_order
from pumicedeck.platform_interfaces import Committed, Row, TableStore
from pumicedeck.results import Failure, ResultCode
from pumicedeck.scheduler_parts import SchedulerSettings
from pumicedeck.tasks import spawn
from pumicedeck.tests.scheduler_simulations import FakeCaller, SchedulerSimulation
from pumicedeck.weight_plans import LoadVersion

LEASE = LeaseSettings(duration=1.1, margin=0.2, renew_after=0.3, retry=0.12, observe_every=0.2)
TAKEOVER_SECONDS = SchedulerSettings().takeover_seconds
MIN_GAP_SECONDS = 3.0
ROUND_TRIP_SECONDS = 0.01
# An order waits for a connection at most this long; the successor's orders leave at once.
SEND_DELAY_SECONDS = 0.8
FIRST_ORDER_AT = 2.0
ORDER_INTERVAL_SECONDS = 0.05
RUN_SECONDS = 9.0

COMMIT_FATES = ("ok", "lost", "refused", "late 0.5", "late 1.5")
CUTS = (None, 1.95, 2.0, 2.003, 2.008, 2.05, 2.4)
PAUSES = (None, *product((1.999, 2.004, 2.012, 2.3), (0.5, 1.4, 4.0)))
OFFSETS = (0.0, 0.11)
LAGS = ((0.0, 0.06), (0.06, 0.0))
SECOND_LOSS = (False, True)


class PausableTimers(VirtualTime):
    """The timers of a process on the common clock; while it is paused, none of them runs."""

    def __init__(self, time):
        super().__init__()
        self.time = time
        self.paused_until = 0.0

    def now(self):
        return self.time.now()

    def call_at(self, due, callback):
        def run():
            if self.paused_until > self.now():
                self.time.call_at(self.paused_until, run)
            elif not timer.cancelled:
                callback()

        timer = self.time.call_at(due, run)
        return timer


class OneRowStore(TableStore):
    """The lease row as one process reaches it; `fates` are those of its next commits."""

    def __init__(self, world, timers):
        self.world = world
        self.timers = timers
        self.cut = False
        self.fates = []

    def read(self, keys, done):
        if not self.cut:
            self._reply(done, lambda: Ok((Row(keys[0].table, keys[0].key, *self.world.row),)))

    def scan(self, table, prefix, limit, done):
        raise NotImplementedError("a lease reads one row")

    def commit(self, transaction, done):
        if self.cut:
            return
        fate = self.fates.pop(0) if self.fates else "ok"
        if fate == "ok":
            self._reply(done, lambda: self.world.apply(transaction))
        elif fate == "lost":
            self.world.apply(transaction)
        elif fate == "refused":
            self._reply(done, lambda: Err(Failure(ResultCode.STORE_UNAVAILABLE, "refused")))
        else:
            delay = float(fate.split()[1])
            self.world.time.call_later(delay, lambda: self.world.apply(transaction))

    def _reply(self, done, outcome):
        """Act on the row half a round trip later and answer after the other half."""

        def act():
            found = outcome()
            self.timers.call_later(ROUND_TRIP_SECONDS / 2, lambda: self.cut or done(found))

        self.world.time.call_later(ROUND_TRIP_SECONDS / 2, act)


class OrderingProcess:
    """A process that wants to send orders whenever the protocol allows it."""

    def __init__(self, world, name, lag, send_delay):
        self.world = world
        self.name = name
        self.timers = PausableTimers(world.time)
        self.store = OneRowStore(world, self.timers)
        self.holder = LeaseHolder(
            "scheduler", name, LEASE, store_now=lambda: world.time.now() - lag
        )
        self.keeper = LeaseKeeper(self.holder, self.timers, self.store, self._acquired, 0.8)
        self.lag = lag
        self.send_delay = send_delay
        self.acquired_at = None
        self.orders_from = None

    def start(self, acquire_at, order_at):
        self.timers.call_at(acquire_at, self.keeper.acquire)
        self.timers.call_at(order_at, self._order)

    def _acquired(self, lease):
        self.acquired_at = self.world.time.now()
        until = lease.orders_until + self.lag
        self.orders_from = earliest_order(lease.predecessor, until, TAKEOVER_SECONDS)

    def _order(self):
        now = self.timers.now()
        self.timers.call_later(ORDER_INTERVAL_SECONDS, self._order)
        if self.orders_from is None or now < self.orders_from or not self.holder.holds(now):
            return
        if self.holder.may_order(now):
            self.world.orders.append((now + self.send_delay, self.name, self.holder.fencing))
            self.world.first_orders.setdefault(self.name, now)
        else:
            self.keeper.announce_orders()


@dataclass
class World:
    time: VirtualTime = field(default_factory=VirtualTime)
    row: tuple = (b"", 0)
    orders: list = field(default_factory=list)
    first_orders: dict = field(default_factory=dict)

    def apply(self, transaction):
        (condition,), (write,) = transaction.conditions, transaction.writes
        if condition.revision != self.row[1]:
            return Err(Failure(ResultCode.STORE_CONFLICT, "the row has changed"))
        self.row = (write.value, self.row[1] + 1)
        return Ok(Committed((self.row[1],)))


def play(fate, cut, pause, offset, lags, second_loss):
    """Play one combination; the first holder's faults come around its first announcement."""
    world = World()
    first = OrderingProcess(world, "a", lags[0], SEND_DELAY_SECONDS)
    others = [OrderingProcess(world, name, lags[1], 0.0) for name in "bc"]
    first.start(0.0, FIRST_ORDER_AT)
    # The third process starts too late to see the row of the first one.
    for process, started in zip(others, (0.5, 4.2), strict=True):
        process.start(started + offset, started + offset)
    world.time.run_until(FIRST_ORDER_AT - 0.06)
    first.store.fates = [] if fate == "ok" else ["ok", fate]
    if cut is not None:
        world.time.call_at(cut, lambda: setattr(first.store, "cut", True))
    if pause is not None:
        world.time.call_at(
            pause[0], lambda: setattr(first.timers, "paused_until", pause[0] + pause[1])
        )
    while world.time.now() < RUN_SECONDS:
        world.time.run_until(world.time.now() + 0.1)
        for process in others:
            lost = process.acquired_at is not None and second_loss
            if lost and world.time.now() - process.acquired_at >= 0.1 and process is others[0]:
                process.store.cut = True
    return world


def violations(world):
    """Return pairs of orders of two holders that are too close, or out of order of fencing."""
    found = []
    ordered = sorted(world.orders)
    for earlier, later in zip(ordered, ordered[1:], strict=False):
        too_close = earlier[1] != later[1] and later[0] - earlier[0] < MIN_GAP_SECONDS
        if too_close or later[2] < earlier[2]:
            found.append((earlier, later))
    return found


def combinations(fates=COMMIT_FATES):
    return product(fates, CUTS, PAUSES, OFFSETS, LAGS, SECOND_LOSS)


@pytest.mark.parametrize("fate", COMMIT_FATES)
def test_orders_of_two_holders_stay_apart_in_every_interleaving(fate):
    played = 0
    for combination in combinations((fate,)):
        world = play(*combination)
        assert violations(world) == [], combination
        played += 1
    assert played == len(CUTS) * len(PAUSES) * len(OFFSETS) * len(LAGS) * len(SECOND_LOSS)


def test_a_successor_orders_at_once_if_no_order_was_announced():
    """A step that waits for new weights lost 3.3 s with each scheduler."""
    world = World()
    first = OrderingProcess(world, "a", 0.0, 0.0)
    second = OrderingProcess(world, "b", 0.0, 0.0)
    first.start(0.0, 100.0)
    second.start(0.5, 0.6)
    world.time.run_until(6.0)
    first.store.cut = True
    world.time.run_until(8.0)
    assert second.acquired_at is not None
    assert world.first_orders["b"] - second.acquired_at <= 0.2


class LeaseAcquiredAgain:
    """A lease that is lost and acquired again while an order waits for its announcement."""

    def __init__(self, timers):
        self.timers = timers

    @property
    def fencing(self):
        return 1 if self.timers.now() < 0.05 else 2

    def holds(self, now):
        return True

    def may_order(self, now):
        return now >= 0.1


@pytest.mark.parametrize("fencing, sent", [(1, 0), (2, 1)])
def test_no_order_bears_the_fencing_number_of_a_lease_that_was_acquired_again(fencing, sent):
    """It would follow orders with the new number, which engines may see as a second holder."""
    simulation = SchedulerSimulation(engines=1, processes=1)
    engine = simulation.engines["e0"]
    timers = VirtualTime()
    simulation.timers = timers
    orders = EngineOrders(
        timers, FakeCaller(simulation), LeaseAcquiredAgain(timers), lambda: None, "p"
    )
    spawn(orders.load(engine.endpoint, LoadVersion("e0", "m0", 2), fencing, True), "load")
    timers.run_until(2.0)
    assert len(engine.orders) == sent


MUTATIONS = {
    "orders without an announcement": {"is_open": property(lambda self: True)},
    "an announcement that counts before it is committed": {
        "is_open": property(lambda self: self._store_now() <= self._requested_until)
    },
    "a successor that ignores what was announced": {"inherit": lambda self, until, held: None},
    "a successor that forgets what it inherited": {
        "row_value": property(lambda self: max(self._requested_until, self._committed_until)),
    },
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_the_check_sees_each_condition_missing(monkeypatch, name):
    for attribute, value in MUTATIONS[name].items():
        monkeypatch.setattr(OrderAnnouncement, attribute, value)
    assert any(violations(play(*each)) for each in combinations())


def test_the_check_sees_a_successor_that_does_not_wait(monkeypatch):
    monkeypatch.setattr("pumicedeck.tests.test_order_announcements.TAKEOVER_SECONDS", 1.0)
    assert any(violations(play(*each)) for each in combinations())
