"""Swaps an engine to the newest weights under a lease and records the active versions."""

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

_NEWEST_TIMED_OUT = Failure(ResultCode.STORE_UNAVAILABLE, "the weight store did not answer in time")
_STATE_TIMED_OUT = Failure(
    ResultCode.ENDPOINT_FAILED, "the engine did not report its state in time"
)
_ORDER_TIMED_OUT = Failure(
    ResultCode.ORDER_UNKNOWN, "the engine did not reply to the order in time"
)
_CODES_PROVING_NO_EFFECT = (ResultCode.FENCED, ResultCode.ENDPOINT_UNREACHABLE)


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """Times in seconds.

    The weight store is polled every `poll_seconds` with a jitter of a quarter, the engine's state
    every `state_poll_seconds`; `call_timeout_seconds` limits each of these calls and each
    call of the lease table.
    """

    poll_seconds: float = 4.0
    state_poll_seconds: float = 1.0
    call_timeout_seconds: float = 3.0
    leases: LeaseSettings = field(default_factory=LeaseSettings)
    orders: OrderSettings = field(default_factory=OrderSettings)
    swaps: SwapSettings = field(default_factory=SwapSettings)


@dataclass(frozen=True, slots=True)
class FollowerPorts:
    """The timers, stores and engine that a follower uses."""

    timers: TimerQueue
    table: TableStore
    weights: WeightStore
    engine: ModelEngine


@dataclass(slots=True)
class SwapCounts:
    """Counters of the orders sent to the engine."""

    ordered: int = 0
    done: int = 0
    failed: int = 0
    outcome_unknown: int = 0


class GenerationVersionTracker:
    """Attributes generations to weight versions by engine reports and the version record."""

    def __init__(self, timers: TimerQueue, attributions: Attributions) -> None:
        """Track generations in `attributions` with the clock of `timers`."""
        self._timers = timers
        self._attributions = attributions

    def started(self, handle: str, model: str) -> None:
        """Record that a generation starts."""
        self._attributions.started(self._timers.now(), handle, model)

    def reported(self, handle: str, chunk: TokenChunk) -> None:
        """Record the versions that the engine reports with a chunk."""
        self._attributions.chunk(handle, chunk)

    def ended(self, handle: str) -> tuple[tuple[int, ...], bool]:
        """Return the versions, empty if unknown, and whether some may have produced no token."""
        outcome = self._attributions.finished(self._timers.now(), handle)
        if outcome.is_err():
            return (), False
        return outcome.unwrap().versions, outcome.unwrap().bracketed


class WeightFollower:
    """Keeps the engine of one agent at the newest weights of its models.

    `start` begins polling; `close` stops it and releases the lease.
    """

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        ports: FollowerPorts,
        checks_fencing: bool,
        random: Random,
        settings: FollowerSettings | None = None,
        running: Callable[[], Iterable[RunningDraft]] = tuple,
        on_newest_version: Callable[[str, int], None] = lambda model, version: None,
    ) -> None:
        """Create a follower without models.

        `running` returns the drafts at the engine. `on_newest_version` is called with the model
        and the version of each poll.
        """
        self._settings = settings or FollowerSettings()
        self._endpoint = endpoint
        self._ports = ports
        self._random = random
        self._get_running_drafts = running
        self._on_newest_version = on_newest_version
        self._models: tuple[str, ...] = ()
        self._swap_position = SwapPosition(0, 1)
        self._attributions = Attributions()
        self._schedule = SwapSchedule(endpoint, self._settings.swaps)
        lease = LeaseHolder(endpoint, incarnation, self._settings.leases)
        self._lease_keeper = LeaseKeeper(
            lease,
            ports.timers,
            ports.table,
            self._lease_acquired,
            self._settings.call_timeout_seconds,
        )
        self._order_sender = OrderSender(lease, checks_fencing, self._settings.orders)
        self._wakeups = (
            Wakeup(ports.timers, self._schedule.next_wakeup, self._swaps_due),
            Wakeup(ports.timers, self._order_sender.next_wakeup, self._orders_due),
        )
        self._polls: dict[str, Timer] = {}
        self._admission_paused_until: float | None = None
        self._counts = SwapCounts()
        self._order_count = 0
        self._closed = False

    @property
    def attributions(self) -> Attributions:
        """Return the attributions of the drafts that run at the engine."""
        return self._attributions

    @property
    def version_tracker(self) -> GenerationVersionTracker:
        """Return a tracker to which the agent's executions report."""
        return GenerationVersionTracker(self._ports.timers, self._attributions)

    @property
    def counts(self) -> SwapCounts:
        """Return the order counters."""
        return self._counts

    def version(self, model: str) -> int:
        """Return the active weight version, -1 while it is unknown."""
        return self._attributions.record(self._ports.timers.now(), model).version

    def start(self, models: Iterable[str]) -> None:
        """Start polling the engine's state and the newest versions of `models`."""
        self._poll_state()
        self.follow(models)

    def follow(self, models: Iterable[str]) -> None:
        """Replace the followed models by `models`."""
        self._models = tuple(dict.fromkeys(models))
        for model in self._models:
            if model not in self._polls:
                first_delay = self._random.uniform(0.0, self._settings.poll_seconds)
                self._set_poll(model, first_delay)

    def set_swap_position(self, position: SwapPosition) -> None:
        """Set this agent's rank among the agents of its region that swap the same models."""
        self._swap_position = position

    def set_checks_fencing(self, checks_fencing: bool) -> None:
        """Set whether the engine refuses old fencing numbers, as the catalogue states."""
        self._order_sender.set_checks_fencing(checks_fencing)

    def close(self) -> None:
        """Stop polling and release the lease."""
        self._closed = True
        for timer in self._polls.values():
            timer.cancel()
        for wakeup in self._wakeups:
            wakeup.close()
        self._lease_keeper.close()

    def poll_soon(self, model: str) -> None:
        """Poll a model within half a second, since a peer reported a newer version."""
        if model in self._models:
            self._set_poll(model, self._random.uniform(0.0, 0.5))

    def admit(self, model: str) -> Result[None, Failure]:
        """Return an error while a new draft could not be attributed or must wait for a swap.

        The failure states that the draft did not run.
        """
        now = self._ports.timers.now()
        if self._admission_paused_until is not None and now < self._admission_paused_until:
            wait = self._admission_paused_until - now
            detail = "the endpoint finishes its running drafts before a weight swap"
            return Err(Failure(ResultCode.VERSION_UNKNOWN, detail, wait, proven_not_run=True))
        return self._attributions.admit(now, model)

    def engine_failed(self) -> None:
        """Refuse drafts until the engine's state is read, since the engine may have restarted."""
        self._contact_lost()
        self._carry_out(self._order_sender.refresh(self._ports.timers.now()))

    def change_role(self, role: str) -> None:
        """Order the engine to change its role."""
        self._submit(OrderKind.CHANGE_ROLE, "", role=role)

    def load(self, kind: OrderKind, weights: WeightVersion) -> None:
        """Order the engine to load a model or an adapter."""
        self._submit(kind, weights.model, weights.version)

    def _set_poll(self, model: str, delay: float) -> None:
        earlier_timer = self._polls.get(model)
        if earlier_timer is not None:
            earlier_timer.cancel()
        if not self._closed:
            self._polls[model] = self._ports.timers.call_later(delay, lambda: self._poll(model))

    def _poll(self, model: str) -> None:
        if model not in self._models:
            del self._polls[model]
            return
        self._set_poll(model, self._settings.poll_seconds * self._random.uniform(0.75, 1.25))
        done = with_timeout(
            self._ports.timers,
            self._settings.call_timeout_seconds,
            _NEWEST_TIMED_OUT,
            self._newest_read,
        )
        self._ports.weights.newest(model, done)

    def _newest_read(self, outcome: Result[WeightVersion, Failure]) -> None:
        if self._closed or outcome.is_err():
            return
        weights = outcome.unwrap()
        self._schedule.plan_swap(self._ports.timers.now(), weights, self._swap_position)
        self._on_newest_version(weights.model, weights.version)
        self._wakeups[0].refresh()

    def _poll_state(self) -> None:
        if self._closed:
            return
        self._ports.timers.call_later(self._settings.state_poll_seconds, self._poll_state)
        self._carry_out(self._order_sender.refresh(self._ports.timers.now()))

    def _swaps_due(self, now: float) -> None:
        for swap in self._schedule.on_timer(now):
            self._begin_swap(swap.weights)

    def _begin_swap(self, weights: WeightVersion) -> None:
        drafts = [
            draft for draft in self._get_running_drafts() if draft.entry.model == weights.model
        ]
        policy = choose_policy(drafts, weights.version, self._settings.swaps)
        if policy is SwapPolicy.FINISH:
            wait = max(draft.remaining for draft in drafts)
            self._admission_paused_until = self._ports.timers.now() + wait
            # Drafts that still run after the wait continue with the new weights.
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
        self._order_count += 1
        order_id = f"{self._endpoint}/{model or role}/{version}/{self._order_count}"
        order = EngineOrder(order_id, 0, kind, model, version, role, restart)
        self._carry_out(self._order_sender.submit(self._ports.timers.now(), order))

    def _lease_acquired(self, lease: LeaseAcquired) -> None:
        now = self._ports.timers.now()
        self._carry_out(self._order_sender.lease_acquired(now, lease.predecessor))

    def _orders_due(self, now: float) -> None:
        self._carry_out(self._order_sender.on_timer(now))

    def _carry_out(self, actions: list[OrderAction]) -> None:
        for action in actions:
            match action:
                case SendOrder(order):
                    self._send(order)
                case ReadState():
                    self._read_state()
                case StateConfirmed(state):
                    self._apply_state(state)
                case OrderOutcomeUnknown(order):
                    self._counts.outcome_unknown += 1
                    self._get_version_record(order.model).reply_lost(self._ports.timers.now())
                case OrderEnded(order, outcome):
                    self._order_ended(order, outcome)
        if self._order_sender.idle:
            self._lease_keeper.release()
        else:
            self._lease_keeper.acquire()
        for wakeup in self._wakeups:
            wakeup.refresh()

    def _send(self, order: EngineOrder) -> None:
        timers = self._ports.timers
        self._counts.ordered += 1
        if order.model:
            self._get_version_record(order.model).swap_began(timers.now(), order.version)

        def replied(outcome: Result[EngineState, Failure]) -> None:
            now = timers.now()
            self._carry_out(self._order_sender.order_replied(now, order.order_id, outcome))

        timeout = self._settings.orders.max_in_flight_seconds
        self._ports.engine.order(order, with_timeout(timers, timeout, _ORDER_TIMED_OUT, replied))

    def _read_state(self) -> None:
        done = with_timeout(
            self._ports.timers,
            self._settings.call_timeout_seconds,
            _STATE_TIMED_OUT,
            self._state_read,
        )
        self._ports.engine.state(done)

    def _state_read(self, outcome: Result[EngineState, Failure]) -> None:
        if outcome.is_err():
            self._contact_lost()
        self._carry_out(self._order_sender.state_read(self._ports.timers.now(), outcome))

    def _contact_lost(self) -> None:
        for model in self._attributions.models:
            self._get_version_record(model).contact_lost(self._ports.timers.now())

    def _apply_state(self, state: EngineState) -> None:
        now = self._ports.timers.now()
        for loaded in state.models:
            self._get_version_record(loaded.model).reported(now, loaded.version)
            self._schedule.reported(loaded.model, loaded.version)

    def _order_ended(self, order: EngineOrder, outcome: Result[EngineState, Failure]) -> None:
        if not order.model:
            return
        now = self._ports.timers.now()
        record = self._get_version_record(order.model)
        match outcome:
            case Ok(_):
                self._counts.done += 1
                record.swap_ended(now, order.version)
                self._schedule.reported(order.model, order.version)
            case Err(failure):
                self._counts.failed += 1
                if failure.code is ResultCode.SWAP_FAILED:
                    record.swap_failed(now)
                elif failure.code in _CODES_PROVING_NO_EFFECT:
                    record.swap_refused(now)
                self._schedule.failed(now, order.model, order.version, self._swap_position)

    def _get_version_record(self, model: str):
        return self._attributions.record(self._ports.timers.now(), model)
