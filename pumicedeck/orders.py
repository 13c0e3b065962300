"""Sends orders to the engine of an agent under a lease with fencing numbers; performs no I/O.

Some engines ignore fencing numbers. With these, a new lease holder waits until an order of its
predecessor can no longer take effect and reads the engine's state before it sends an order.
"""

from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from pumicedeck.leases import LeaseHolder
from pumicedeck.platform_interfaces import EngineOrder, EngineState, OrderKind
from pumicedeck.results import Failure, ResultCode

_CODES_PROVING_NO_EFFECT = (ResultCode.FENCED, ResultCode.ENDPOINT_UNREACHABLE)


@dataclass(frozen=True, slots=True)
class OrderSettings:
    """Times in seconds.

    `max_in_flight_seconds` bounds the time from the lease check of an order to its effect.
    `max_tries` counts the first attempt.
    """

    max_in_flight_seconds: float = 10.0
    retry_seconds: float = 1.0
    max_tries: int = 4


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to the engine now; the lease has just been checked."""

    order: EngineOrder


@dataclass(frozen=True, slots=True)
class ReadState:
    """Read the engine's state."""


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """An order took effect, as the engine state in `outcome` shows, or failed permanently."""

    order: EngineOrder
    outcome: Result[EngineState, Failure]


@dataclass(frozen=True, slots=True)
class OrderOutcomeUnknown:
    """The reply to an order was lost; its effect is unknown until the state is read back."""

    order: EngineOrder


@dataclass(frozen=True, slots=True)
class StateConfirmed:
    """The engine's state was read while no order of this sender was in flight."""

    state: EngineState


OrderAction = SendOrder | ReadState | OrderEnded | OrderOutcomeUnknown | StateConfirmed


@dataclass(slots=True)
class _QueuedOrder:
    order: EngineOrder
    tries: int = 0
    not_before: float = 0.0


@dataclass(slots=True)
class _SentOrder:
    queued_order: _QueuedOrder
    order_sent_at: float
    engine_incarnation: str
    reply_lost: bool = False


@dataclass(slots=True)
class _PendingRead:
    active: bool = False
    sent_at: float = 0.0
    scheduled_at: float | None = field(default=None)


class OrderSender:
    """Sends the orders of one agent to its engine, one at a time."""

    def __init__(
        self, lease: LeaseHolder, checks_fencing: bool, settings: OrderSettings | None = None
    ) -> None:
        """Send orders under `lease`.

        `checks_fencing` says whether the engine refuses orders with an old fencing number.
        """
        self._lease = lease
        self._checks_fencing = checks_fencing
        self._settings = settings or OrderSettings()
        self._queue: list[_QueuedOrder] = []
        self._sent_order: _SentOrder | None = None
        self._pending_read = _PendingRead()
        self._not_before = 0.0
        self._confirmed_fencing = -1
        self._engine_incarnation = ""
        self._last_advanced_at = float("-inf")

    @property
    def idle(self) -> bool:
        """Return whether no order is queued, in flight or of unknown outcome."""
        return not self._queue and self._sent_order is None

    @property
    def outcome_unknown(self) -> bool:
        """Return whether the effect of the last order sent is unknown."""
        return self._sent_order is not None and self._sent_order.reply_lost

    def set_checks_fencing(self, checks_fencing: bool) -> None:
        """Set whether the engine refuses old fencing numbers, as the catalogue states."""
        self._checks_fencing = checks_fencing

    def submit(self, now: float, order: EngineOrder) -> list[OrderAction]:
        """Queue an order; it replaces queued orders of the same kind for the same model."""
        self._queue = [
            queued_order for queued_order in self._queue if not _replaces(order, queued_order.order)
        ]
        self._queue.append(_QueuedOrder(order))
        return self._advance(now)

    def lease_acquired(self, now: float, predecessor: str) -> list[OrderAction]:
        """Allow orders; if a predecessor left the lease unreleased, wait for its last order.

        The wait is skipped when the engine refuses old fencing numbers itself.
        """
        self._confirmed_fencing = -1
        if predecessor and not self._checks_fencing:
            self._not_before = now + self._settings.max_in_flight_seconds
        return self._advance(now)

    def order_replied(
        self, now: float, order_id: str, outcome: Result[EngineState, Failure]
    ) -> list[OrderAction]:
        """Handle the engine's reply to an order."""
        sent_order = self._sent_order
        if (
            sent_order is None
            or sent_order.reply_lost
            or sent_order.queued_order.order.order_id != order_id
        ):
            return []
        if outcome.is_ok():
            return self._end_order(now, outcome)
        code = outcome.unwrap_err().code
        if code in _CODES_PROVING_NO_EFFECT or code is ResultCode.SWAP_FAILED:
            return self._retry_or_end(now, sent_order, outcome)
        sent_order.reply_lost = True
        self._pending_read.scheduled_at = now
        return [OrderOutcomeUnknown(sent_order.queued_order.order), *self._advance(now)]

    def state_read(self, now: float, outcome: Result[EngineState, Failure]) -> list[OrderAction]:
        """Handle the engine's state, or the failure to read it."""
        if not self._pending_read.active:
            return []
        self._pending_read.active = False
        if outcome.is_err():
            self._pending_read.scheduled_at = now + self._settings.retry_seconds
            return []
        state = outcome.unwrap()
        self._engine_incarnation = state.incarnation
        if self._sent_order is not None:
            return self._resolve_unknown_outcome(now, self._sent_order, state)
        if self._lease.holds(now) and self._pending_read.sent_at >= self._not_before:
            self._confirmed_fencing = self._lease.fencing
        return [StateConfirmed(state), *self._advance(now)]

    def on_timer(self, now: float) -> list[OrderAction]:
        """Send the next order or read the state if its time has come."""
        return self._advance(now)

    def next_wakeup(self) -> float | None:
        """Return the time, in seconds, of the next `on_timer` call; None if none is needed."""
        times = []
        if self._pending_read.scheduled_at is not None and not self._pending_read.active:
            times.append(self._pending_read.scheduled_at)
        if self._queue and self._sent_order is None:
            scheduled_at = max(self._not_before, self._queue[0].not_before)
            # An order whose time has already come waits for the lease or a reply, not for a timer.
            if scheduled_at > self._last_advanced_at:
                times.append(scheduled_at)
        return min(times, default=None)

    def refresh(self, now: float) -> list[OrderAction]:
        """Read the state now, unless an order is in flight or a read is in progress."""
        if self._sent_order is None and not self._pending_read.active:
            return [self._read(now)]
        return []

    def _advance(self, now: float) -> list[OrderAction]:
        self._last_advanced_at = now
        if self._pending_read.active:
            return []
        if self._pending_read.scheduled_at is not None and now >= self._pending_read.scheduled_at:
            return [self._read(now)]
        if (
            self._sent_order is not None
            or not self._queue
            or self._pending_read.scheduled_at is not None
        ):
            return []
        next_order = self._queue[0]
        if now < max(self._not_before, next_order.not_before) or not self._lease.holds(now):
            return []
        if self._confirmed_fencing != self._lease.fencing:
            return [self._read(now)]
        return [self._send(now, next_order)]

    def _send(self, now: float, next_order: _QueuedOrder) -> SendOrder:
        self._queue.pop(0)
        next_order.tries += 1
        base = next_order.order.order_id.split("#")[0]
        order_id = f"{base}#{self._lease.fencing}.{next_order.tries}"
        next_order.order = replace(next_order.order, order_id=order_id, fencing=self._lease.fencing)
        self._sent_order = _SentOrder(next_order, now, self._engine_incarnation)
        return SendOrder(next_order.order)

    def _read(self, now: float) -> ReadState:
        self._pending_read = _PendingRead(active=True, sent_at=now)
        return ReadState()

    def _resolve_unknown_outcome(
        self, now: float, sent_order: _SentOrder, state: EngineState
    ) -> list[OrderAction]:
        if not sent_order.reply_lost:
            return []
        order = sent_order.queued_order.order
        if state.last_order == order.order_id and _state_shows(order, state):
            return self._end_order(now, Ok(state))
        restarted = state.incarnation != sent_order.engine_incarnation
        if (
            not restarted
            and self._pending_read.sent_at
            < sent_order.order_sent_at + self._settings.max_in_flight_seconds
        ):
            self._pending_read.scheduled_at = max(
                now, sent_order.order_sent_at + self._settings.max_in_flight_seconds
            )
            return []
        if _state_shows(order, state):
            return self._end_order(now, Ok(state))
        failure = Failure(ResultCode.ORDER_UNKNOWN, "the state read back does not show the order")
        return [StateConfirmed(state), *self._retry_or_end(now, sent_order, Err(failure))]

    def _end_order(self, now: float, outcome: Result[EngineState, Failure]) -> list[OrderAction]:
        assert self._sent_order is not None
        order = self._sent_order.queued_order.order
        self._sent_order = None
        self._pending_read.scheduled_at = None
        return [OrderEnded(order, outcome), *self._advance(now)]

    def _retry_or_end(
        self, now: float, sent_order: _SentOrder, outcome: Result[EngineState, Failure]
    ) -> list[OrderAction]:
        self._sent_order = None
        self._pending_read.scheduled_at = None
        code = outcome.unwrap_err().code
        retried = (
            code in _CODES_PROVING_NO_EFFECT
            and sent_order.queued_order.tries < self._settings.max_tries
        )
        if code is ResultCode.FENCED:
            self._confirmed_fencing = -1
        if retried:
            sent_order.queued_order.not_before = now + self._settings.retry_seconds
            self._queue.insert(0, sent_order.queued_order)
            return self._advance(now)
        return [OrderEnded(sent_order.queued_order.order, outcome), *self._advance(now)]


def _replaces(order: EngineOrder, waiting: EngineOrder) -> bool:
    return (order.kind, order.model) == (waiting.kind, waiting.model)


def _state_shows(order: EngineOrder, state: EngineState) -> bool:
    if order.kind is OrderKind.CHANGE_ROLE:
        return state.role == order.role
    loaded = {loaded_model.model: loaded_model.version for loaded_model in state.models}
    return loaded.get(order.model, -1) == order.version
