"""Orders of two lease holders stay 3 s apart, though a successor usually need not wait.

Guards against a successor that orders while an order of a holder that was paused, cut off from the
store, or whose lease commit was lost or late may still be on its way. Replays all combinations of
these faults around the first order, and checks that it sees each condition of the protocol missing.
"""

import json
from dataclasses import dataclass, field
from itertools import product
from random import Random

import pytest
from result import Err, Ok

from pumicedeck.clocks import VirtualTime
from pumicedeck.direct_endpoints import EndpointDirectory
from pumicedeck.lease_keepers import LeaseKeeper
from pumicedeck.leases import LeaseHolder, LeaseRow, LeaseSettings, decode_lease
from pumicedeck.order_announcements import (
    ANY_ENDPOINT,
    KEEP_SECONDS,
    AnnouncedOrders,
    FormerHolder,
    OrderAnnouncement,
    earliest_order,
    merge_latest,
)
from pumicedeck.platform_interfaces import Committed, Row, TableStore
from pumicedeck.request_limiters import RequestLimiter
from pumicedeck.results import Failure, ResultCode
from pumicedeck.scheduling.engine_orders import EngineOrders
from pumicedeck.scheduling.scheduler_parts import SchedulerSettings
from pumicedeck.scheduling.weight_plans import LoadVersion
from pumicedeck.tasks import spawn
from pumicedeck.tests.scheduler_simulations import HOME, FakeCaller, SchedulerSimulation

LEASE = LeaseSettings(duration=1.1, margin=0.2, renew_after=0.3, retry=0.12, observe_every=0.2)
TAKEOVER_SECONDS = SchedulerSettings().takeover_seconds
MIN_GAP_SECONDS = 3.0
ROUND_TRIP_SECONDS = 0.01
# An order waits for a connection at most this long; the successor's orders leave at once.
SEND_DELAY_SECONDS = 0.8
FIRST_ORDER_AT = 2.0
ORDER_INTERVAL_SECONDS = 0.05
RUN_SECONDS = 9.0
ENGINES = ("e1", "e2")

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
        raise AssertionError("a lease reads its one row; got a scan of a range")

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
        self.lease = None

    def start(self, acquire_at, order_at, engines=ENGINES):
        """Acquire the lease; send orders to the first engine from `order_at` on, others later."""
        self.timers.call_at(acquire_at, self.keeper.acquire)
        self.timers.call_at(order_at, lambda: self._order(engines[:1], engines))

    def _acquired(self, lease):
        self.acquired_at = self.world.time.now()
        self.lease = lease

    def _orders_from(self, engine):
        until = {name: time + self.lag for name, time in self.lease.orders_until.items()}
        return earliest_order(until, engine, TAKEOVER_SECONDS)

    def _order(self, engines, later):
        """Send orders to `engines` as far as the protocol allows, and to `later` from then on."""
        self.timers.call_later(ORDER_INTERVAL_SECONDS, lambda: self._order(later, later))
        now = self.timers.now()
        if self.lease is None or not self.holder.holds(now):
            return
        for engine in engines:
            if now >= self._orders_from(engine):
                self._send(engine, now)

    def _send(self, engine, now):
        if self.holder.may_order(now, engine):
            order = (now + self.send_delay, self.name, self.holder.fencing, engine)
            self.world.orders.append(order)
            self.world.first_orders.setdefault((self.name, engine), now)
        else:
            self.keeper.announce_orders(engine)


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
    """Return pairs of orders to one engine that are too close or out of order of fencing.

    Two orders are too close if they come from two holders within `MIN_GAP_SECONDS`.
    """
    found = []
    for engine in ENGINES:
        ordered = sorted(order for order in world.orders if order[3] == engine)
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
    assert world.first_orders["b", "e1"] - second.acquired_at <= 0.2


def test_a_successor_waits_only_with_engines_to_which_orders_were_announced():
    """After a power cut all engines waited 3.7 s with their loads because one had had an order."""
    world = World()
    first = OrderingProcess(world, "a", 0.0, 0.0)
    second = OrderingProcess(world, "b", 0.0, 0.0)
    first.start(0.0, FIRST_ORDER_AT, engines=("e1",))
    second.start(0.5, 0.6)
    world.time.run_until(4.0)
    first.store.cut = True
    world.time.run_until(12.0)
    lost_at = max(order[0] for order in world.orders if order[1] == "a")
    assert world.first_orders["b", "e2"] - second.acquired_at <= 0.2
    assert world.first_orders["b", "e1"] - lost_at >= MIN_GAP_SECONDS
    assert violations(world) == []


def test_a_lapsed_lease_that_is_acquired_again_keeps_its_wait():
    """A holder that lost contact for 1.1 s acquired its own lease again and sent orders 2.6 s after
    those of the holder before it, since its own row asks for no wait."""
    announcement = OrderAnnouncement(lambda: 5.0)
    announcement.inherit(AnnouncedOrders({"e1": 4.5}), FormerHolder.LOST)
    announcement.inherit(announcement.row_value, FormerHolder.ITSELF)
    assert announcement.waits_for == {"e1": 4.5}
    restarted = OrderAnnouncement(lambda: 6.0)
    restarted.inherit(announcement.row_value, FormerHolder.ITSELF)
    assert restarted.waits_for == {"e1": 4.5}


def test_a_released_lease_asks_for_no_wait_but_hands_its_announcements_on():
    released = OrderAnnouncement(lambda: 5.0)
    released.request("e1")
    successor = OrderAnnouncement(lambda: 5.0)
    successor.inherit(released.row_value, FormerHolder.RELEASED)
    assert successor.waits_for == {}
    third = OrderAnnouncement(lambda: 5.0)
    third.inherit(successor.row_value, FormerHolder.LOST)
    assert third.waits_for == {"e1": 5.6}


def test_a_row_that_names_no_endpoints_stands_for_all():
    """Programs of the version before announce no endpoints; during an upgrade both are at work."""
    value = b'{"holder": "a", "fencing": 3, "duration": 1.1, "orders_until": 20.0}'
    assert decode_lease(value, 1, 1.0).orders == AnnouncedOrders({ANY_ENDPOINT: 20.0})
    assert earliest_order({ANY_ENDPOINT: 20.0}, "e1", 3.7) == 23.7
    row = LeaseRow("b", 4, 1.1, None, AnnouncedOrders({"e1": 20.0}, {"e2": 21.0}))
    assert decode_lease(row.encode(), 1, 1.0) == row
    assert json.loads(row.encode())["orders_until"] == 21.0


def test_old_announcements_leave_the_row():
    now = 5.0
    announcement = OrderAnnouncement(lambda: now)
    announcement.inherit(AnnouncedOrders({"e1": 5.6}), FormerHolder.LOST)
    assert announcement.row_value == AnnouncedOrders(earlier={"e1": 5.6})
    now = 5.6 + KEEP_SECONDS
    assert announcement.row_value == AnnouncedOrders()
    assert KEEP_SECONDS > TAKEOVER_SECONDS + 1.0


class LeaseAcquiredAgain:
    """A lease that is lost and acquired again while an order waits for its announcement."""

    def __init__(self, timers):
        self.timers = timers

    @property
    def fencing(self):
        return 1 if self.timers.now() < 0.05 else 2

    def holds(self, now):
        return True

    def may_order(self, now, endpoint):
        return now >= 0.1


@pytest.mark.parametrize("fencing, sent", [(1, 0), (2, 1)])
def test_no_order_bears_the_fencing_number_of_a_lease_that_was_acquired_again(fencing, sent):
    """It would follow orders with the new number, which engines may see as a second holder."""
    simulation = SchedulerSimulation(engines=1, processes=1)
    engine = simulation.engines["e0"]
    timers = VirtualTime()
    simulation.timers = timers
    directory = EndpointDirectory(HOME, Random(1))
    orders = EngineOrders(
        timers,
        FakeCaller(simulation, directory),
        RequestLimiter(timers, None, None, directory, "p", lambda: ()),
        LeaseAcquiredAgain(timers),
        lambda engine: None,
        "p",
    )
    spawn(orders.load(engine.endpoint, LoadVersion("e0", "m0", 2), fencing, True), "load")
    timers.run_until(2.0)
    assert len(engine.orders) == sent


inherit = OrderAnnouncement.inherit

MUTATIONS = {
    "orders without an announcement": {"is_open": lambda self, endpoint: True},
    "an announcement that counts before it is committed": {
        "is_open": lambda self, endpoint: self._store_now() <= self._requested.get(endpoint, 0.0)
    },
    "a successor that ignores what was announced": {"inherit": lambda self, orders, former: None},
    "a successor that forgets what it inherited": {
        "row_value": property(
            lambda self: AnnouncedOrders(merge_latest(self._requested, self._committed))
        ),
    },
    "a holder that forgets its wait when it acquires its lapsed lease again": {
        "inherit": lambda self, orders, former: inherit(
            self, AnnouncedOrders(orders.own) if former is FormerHolder.ITSELF else orders, former
        )
    },
    "an announcement that counts for other engines": {
        "is_open": lambda self, endpoint: (
            self._store_now() + 0.2 <= max(self._committed.values(), default=0.0)
        )
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
