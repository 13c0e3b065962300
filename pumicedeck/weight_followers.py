"""Keeps an engine at the newest weights: polls, swaps under the lease, keeps the record."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from result import Err, Ok, Result

from pumicedeck.attributions import Attributions
from pumicedeck.catalogue_entries import SwapPolicy
from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.lease_keepers import LeaseKeeper
from pumicedeck.leases import LeaseAcquired, LeaseHolder, LeaseSettings
from pumicedeck.orders import (
    OrderAction,
    OrderEnded,
    OrderOutcomeUnknown,
    OrderSender,
    OrderSettings,
    ReadState,
    SendOrder,
    StateConfirmed,
)
from pumicedeck.platform_interfaces import (
    EngineOrder,
    EngineState,
    ModelEngine,
    OrderKind,
    TableStore,
    TokenChunk,
    WeightStore,
    WeightVersion,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.swaps import RunningDraft, SwapPosition, SwapSchedule, SwapSettings, choose_policy
from pumicedeck.timeouts import with_timeout
from pumicedeck.wakeups import Wakeup

_NEWEST_TIMED_OUT = Failure(ResultCode.STORE_UNAVAILABLE, "the weight store timed out")
_STATE_TIMED_OUT = Failure(ResultCode.ENDPOINT_FAILED, "the engine's state timed out")
_ORDER_TIMED_OUT = Failure(ResultCode.ORDER_UNKNOWN, "the order timed out")
_WITHOUT_EFFECT = (ResultCode.FENCED, ResultCode.ENDPOINT_UNREACHABLE)


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """Times in seconds; each poll comes after `poll` with a jitter of a quarter of it."""

    poll: float = 4.0
    state: float = 1.0
    call: float = 3.0
    leases: LeaseSettings = field(default_factory=LeaseSettings)
    orders: OrderSettings = field(default_factory=OrderSettings)
    swaps: SwapSettings = field(default_factory=SwapSettings)


@dataclass(frozen=True, slots=True)
class FollowerPorts:
    """What a follower uses: timers, the platform and the engine."""

    timers: TimerQueue
    table: TableStore
    weights: WeightStore
    engine: ModelEngine


@dataclass(slots=True)
class SwapCounts:
    """Counters that the process reports."""

    ordered: int = 0
    done: int = 0
    failed: int = 0
    unsettled: int = 0


class GenerationVersionTracker:
    """Attributes generations by the engine's reports and the follower's record."""

    def __init__(self, timers: TimerQueue, attributions: Attributions) -> None:
        """Use the clock of `timers`."""
        self._timers = timers
        self._attributions = attributions

    def started(self, handle: str, model: str) -> None:
        """Take note that a generation starts."""
        self._attributions.started(self._timers.now(), handle, model)

    def reported(self, handle: str, chunk: TokenChunk) -> None:
        """Take the versions that the engine reports with a chunk."""
        self._attributions.chunk(handle, chunk)

    def ended(self, handle: str) -> tuple[tuple[int, ...], bool]:
        """Return the versions, none if nobody can say, and whether they are a bracket."""
        outcome = self._attributions.finished(self._timers.now(), handle)
        if outcome.is_err():
            return (), False
        return outcome.unwrap().versions, outcome.unwrap().bracketed


class WeightFollower:
    """Owned by the agent of one engine; `start` begins to poll, `close` gives the lease up."""

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        ports: FollowerPorts,
        checks_fencing: bool,
        random: Random,
        settings: FollowerSettings | None = None,
        running: Callable[[], Iterable[RunningDraft]] = tuple,
        heard: Callable[[str, int], None] = lambda model, version: None,
    ) -> None:
        """Ask `running` for the drafts at the engine; tell `heard` of newest versions."""
        self._settings = settings or FollowerSettings()
        self._endpoint = endpoint
        self._ports = ports
        self._random = random
        self._running = running
        self._heard = heard
        self._models: tuple[str, ...] = ()
        self._place = SwapPosition(0, 1)
        self._attributions = Attributions()
        self._schedule = SwapSchedule(endpoint, self._settings.swaps)
        lease = LeaseHolder(endpoint, incarnation, self._settings.leases)
        self._keeper = LeaseKeeper(
            lease, ports.timers, ports.table, self._lease_acquired, self._settings.call
        )
        self._desk = OrderSender(lease, checks_fencing, self._settings.orders)
        self._wakeups = (
            Wakeup(ports.timers, self._schedule.next_wakeup, self._swaps_due),
            Wakeup(ports.timers, self._desk.next_wakeup, self._orders_due),
        )
        self._polls: dict[str, Timer] = {}
        self._holding_until: float | None = None
        self._counts = SwapCounts()
        self._orders = 0
        self._closed = False

    @property
    def attributions(self) -> Attributions:
        """Return the attributions of what runs at the engine."""
        return self._attributions

    @property
    def version_tracker(self) -> GenerationVersionTracker:
        """Return what the agent's executions report to."""
        return GenerationVersionTracker(self._ports.timers, self._attributions)

    @property
    def counts(self) -> SwapCounts:
        """Return the counters."""
        return self._counts

    def version(self, model: str) -> int:
        """Return the version in force, -1 if it is not known now."""
        return self._attributions.record(self._ports.timers.now(), model).version

    def start(self, models: Iterable[str]) -> None:
        """Read the engine's state and begin to follow the newest versions of `models`."""
        self._poll_state()
        self.follow(models)

    def follow(self, models: Iterable[str]) -> None:
        """Follow these models from now on."""
        self._models = tuple(dict.fromkeys(models))
        for model in self._models:
            if model not in self._polls:
                first = self._random.uniform(0.0, self._settings.poll)
                self._set_poll(model, first)

    def set_swap_position(self, set_swap_position: SwapPosition) -> None:
        """Take in this agent's rank among those of its region that swap the same models."""
        self._place = set_swap_position

    def set_checks_fencing(self, checks_fencing: bool) -> None:
        """Take in from the catalogue whether the engine refuses old numbers."""
        self._desk.set_checks_fencing(checks_fencing)

    def close(self) -> None:
        """Stop polling and give the lease up."""
        self._closed = True
        for timer in self._polls.values():
            timer.cancel()
        for wakeup in self._wakeups:
            wakeup.close()
        self._keeper.close()

    def poll_soon(self, model: str) -> None:
        """Poll soon, since a peer knows a newer version."""
        if model in self._models:
            self._set_poll(model, self._random.uniform(0.0, 0.5))

    def admit(self, model: str) -> Result[None, Failure]:
        """Refuse a draft, which then did not run, while its version could not be named."""
        now = self._ports.timers.now()
        if self._holding_until is not None and now < self._holding_until:
            wait = self._holding_until - now
            detail = "running drafts finish before a swap"
            return Err(Failure(ResultCode.VERSION_UNKNOWN, detail, wait, proven_not_run=True))
        return self._attributions.admit(now, model)

    def engine_failed(self) -> None:
        """Refuse drafts until the engine's state is read, since it may have been restarted."""
        self._contact_lost()
        self._carry_out(self._desk.refresh(self._ports.timers.now()))

    def change_role(self, role: str) -> None:
        """Order the engine to change its role."""
        self._submit(OrderKind.CHANGE_ROLE, "", role=role)

    def load(self, kind: OrderKind, weights: WeightVersion) -> None:
        """Order the engine to load a model or an adapter."""
        self._submit(kind, weights.model, weights.version)

    def _set_poll(self, model: str, delay: float) -> None:
        earlier = self._polls.get(model)
        if earlier is not None:
            earlier.cancel()
        if not self._closed:
            self._polls[model] = self._ports.timers.call_later(delay, lambda: self._poll(model))

    def _poll(self, model: str) -> None:
        if model not in self._models:
            del self._polls[model]
            return
        self._set_poll(model, self._settings.poll * self._random.uniform(0.75, 1.25))
        done = with_timeout(
            self._ports.timers, self._settings.call, _NEWEST_TIMED_OUT, self._newest_read
        )
        self._ports.weights.newest(model, done)

    def _newest_read(self, outcome: Result[WeightVersion, Failure]) -> None:
        if self._closed or outcome.is_err():
            return
        weights = outcome.unwrap()
        self._schedule.newest(self._ports.timers.now(), weights, self._place)
        self._heard(weights.model, weights.version)
        self._wakeups[0].refresh()

    def _poll_state(self) -> None:
        if self._closed:
            return
        self._ports.timers.call_later(self._settings.state, self._poll_state)
        self._carry_out(self._desk.refresh(self._ports.timers.now()))

    def _swaps_due(self, now: float) -> None:
        for begin in self._schedule.on_timer(now):
            self._begin_swap(begin.weights)

    def _begin_swap(self, weights: WeightVersion) -> None:
        drafts = [each for each in self._running() if each.entry.model == weights.model]
        policy = choose_policy(drafts, weights.version, self._settings.swaps)
        if policy is SwapPolicy.FINISH:
            wait = max(each.remaining for each in drafts)
            self._holding_until = self._ports.timers.now() + wait
            self._ports.timers.call_later(wait, lambda: self._swap(weights, SwapPolicy.SPAN))
            return
        self._swap(weights, policy)

    def _swap(self, weights: WeightVersion, policy: SwapPolicy) -> None:
        restart = policy is SwapPolicy.RESTART
        self._submit(OrderKind.SWAP_VERSION, weights.model, weights.version, restart=restart)

    def _submit(
        self, kind: OrderKind, model: str, version: int = -1, role: str = "", restart: bool = False
    ) -> None:
        if self._closed:
            return
        self._orders += 1
        order_id = f"{self._endpoint}/{model or role}/{version}/{self._orders}"
        order = EngineOrder(order_id, 0, kind, model, version, role, restart)
        self._carry_out(self._desk.submit(self._ports.timers.now(), order))

    def _lease_acquired(self, lease: LeaseAcquired) -> None:
        now = self._ports.timers.now()
        self._carry_out(self._desk.lease_acquired(now, lease.predecessor))

    def _orders_due(self, now: float) -> None:
        self._carry_out(self._desk.on_timer(now))

    def _carry_out(self, actions: list[OrderAction]) -> None:
        for action in actions:
            match action:
                case SendOrder(order):
                    self._send(order)
                case ReadState():
                    self._read_state()
                case StateConfirmed(state):
                    self._believe(state)
                case OrderOutcomeUnknown(order):
                    self._counts.unsettled += 1
                    self._record(order.model).reply_lost(self._ports.timers.now())
                case OrderEnded(order, outcome):
                    self._ended(order, outcome)
        if self._desk.idle:
            self._keeper.release()
        else:
            self._keeper.acquire()
        for wakeup in self._wakeups:
            wakeup.refresh()

    def _send(self, order: EngineOrder) -> None:
        timers = self._ports.timers
        self._counts.ordered += 1
        if order.model:
            self._record(order.model).swap_began(timers.now(), order.version)

        def replied(outcome: Result[EngineState, Failure]) -> None:
            now = timers.now()
            self._carry_out(self._desk.order_replied(now, order.order_id, outcome))

        flight = self._settings.orders.max_in_flight_seconds
        self._ports.engine.order(order, with_timeout(timers, flight, _ORDER_TIMED_OUT, replied))

    def _read_state(self) -> None:
        done = with_timeout(
            self._ports.timers, self._settings.call, _STATE_TIMED_OUT, self._state_read
        )
        self._ports.engine.state(done)

    def _state_read(self, outcome: Result[EngineState, Failure]) -> None:
        if outcome.is_err():
            self._contact_lost()
        self._carry_out(self._desk.state_read(self._ports.timers.now(), outcome))

    def _contact_lost(self) -> None:
        for model in self._attributions.models:
            self._record(model).contact_lost(self._ports.timers.now())

    def _believe(self, state: EngineState) -> None:
        now = self._ports.timers.now()
        for loaded in state.models:
            self._record(loaded.model).reported(now, loaded.version)
            self._schedule.reported(loaded.model, loaded.version)

    def _ended(self, order: EngineOrder, outcome: Result[EngineState, Failure]) -> None:
        if not order.model:
            return
        now = self._ports.timers.now()
        record = self._record(order.model)
        match outcome:
            case Ok(_):
                self._counts.done += 1
                record.swap_ended(now, order.version)
                self._schedule.reported(order.model, order.version)
            case Err(failure):
                self._counts.failed += 1
                if failure.code is ResultCode.SWAP_FAILED:
                    record.swap_failed(now)
                elif failure.code in _WITHOUT_EFFECT:
                    record.swap_refused(now)
                self._schedule.failed(now, order.model, order.version, self._place)

    def _record(self, model: str):
        return self._attributions.record(self._ports.timers.now(), model)
