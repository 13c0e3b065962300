"""Orders to one engine under a lease with fencing numbers; free of I/O.

Some engines ignore the number. A new holder then waits out the longest flight of an order of its
predecessor and reads the engine's state back before it believes it.
"""

from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from pumicedeck.leases import LeaseHolder
from pumicedeck.platform_interfaces import EngineOrder, EngineState, OrderKind
from pumicedeck.results import Failure, ResultCode

_PROVEN_WITHOUT_EFFECT = (ResultCode.FENCED, ResultCode.ENDPOINT_UNREACHABLE)


@dataclass(frozen=True, slots=True)
class OrderSettings:
    """Times in seconds; `longest_flight` bounds an order between its check and its effect."""

    max_in_flight_seconds: float = 10.0
    retry: float = 1.0
    tries: int = 4


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to the engine now; the lease was checked at this second."""

    order: EngineOrder


@dataclass(frozen=True, slots=True)
class ReadState:
    """Read the engine's state."""


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """An order was carried out, with the state that shows it, or failed for good."""

    order: EngineOrder
    outcome: Result[EngineState, Failure]


@dataclass(frozen=True, slots=True)
class OrderOutcomeUnknown:
    """The reply to an order was lost; its effect is not known until the state is read back."""

    order: EngineOrder


@dataclass(frozen=True, slots=True)
class StateConfirmed:
    """The engine's state was read and no order of ours is in flight."""

    state: EngineState


OrderAction = SendOrder | ReadState | OrderEnded | OrderOutcomeUnknown | StateConfirmed


@dataclass(slots=True)
class _Wanted:
    order: EngineOrder
    tries: int = 0
    not_before: float = 0.0


@dataclass(slots=True)
class _Sent:
    wanted: _Wanted
    at: float
    engine: str
    lost: bool = False


@dataclass(slots=True)
class _Reading:
    active: bool = False
    sent_at: float = 0.0
    due: float | None = field(default=None)


class OrderSender:
    """Sends the orders of one agent to its engine one at a time."""

    def __init__(
        self, lease: LeaseHolder, checks_fencing: bool, settings: OrderSettings | None = None
    ) -> None:
        """Order under `lease`; `checks_fencing` says whether the engine refuses old numbers."""
        self._lease = lease
        self._checks_fencing = checks_fencing
        self._settings = settings or OrderSettings()
        self._queue: list[_Wanted] = []
        self._sent: _Sent | None = None
        self._reading = _Reading()
        self._not_before = 0.0
        self._trusted_fencing = -1
        self._engine = ""
        self._advanced_at = float("-inf")

    @property
    def idle(self) -> bool:
        """Tell whether no order waits, is in flight or is unsettled."""
        return not self._queue and self._sent is None

    @property
    def outcome_unknown(self) -> bool:
        """Tell whether the effect of an order is not known."""
        return self._sent is not None and self._sent.lost

    def set_checks_fencing(self, checks_fencing: bool) -> None:
        """Take in from the catalogue whether the engine refuses old numbers."""
        self._checks_fencing = checks_fencing

    def submit(self, now: float, order: EngineOrder) -> list[OrderAction]:
        """Queue an order; a newer version of a model replaces a waiting older one."""
        self._queue = [each for each in self._queue if not _replaces(order, each.order)]
        self._queue.append(_Wanted(order))
        return self._advance(now)

    def lease_acquired(self, now: float, predecessor: str) -> list[OrderAction]:
        """Begin to order; after an unfinished predecessor only once its orders have landed."""
        self._trusted_fencing = -1
        if predecessor and not self._checks_fencing:
            self._not_before = now + self._settings.max_in_flight_seconds
        return self._advance(now)

    def order_replied(
        self, now: float, order_id: str, outcome: Result[EngineState, Failure]
    ) -> list[OrderAction]:
        """Take in the engine's reply to an order."""
        sent = self._sent
        if sent is None or sent.lost or sent.wanted.order.order_id != order_id:
            return []
        if outcome.is_ok():
            return self._settled(now, outcome)
        code = outcome.unwrap_err().code
        if code in _PROVEN_WITHOUT_EFFECT or code is ResultCode.SWAP_FAILED:
            return self._refused(now, sent, outcome)
        sent.lost = True
        self._reading.due = now
        return [OrderOutcomeUnknown(sent.wanted.order), *self._advance(now)]

    def state_read(self, now: float, outcome: Result[EngineState, Failure]) -> list[OrderAction]:
        """Take in the engine's state, or that it could not be read."""
        if not self._reading.active:
            return []
        self._reading.active = False
        if outcome.is_err():
            self._reading.due = now + self._settings.retry
            return []
        state = outcome.unwrap()
        self._engine = state.incarnation
        if self._sent is not None:
            return self._resolve(now, self._sent, state)
        if self._lease.holds(now) and self._reading.sent_at >= self._not_before:
            self._trusted_fencing = self._lease.fencing
        return [StateConfirmed(state), *self._advance(now)]

    def on_timer(self, now: float) -> list[OrderAction]:
        """Send what may be sent now and read back what is due."""
        return self._advance(now)

    def next_wakeup(self) -> float | None:
        """Return the second at which `on_time` is wanted."""
        times = []
        if self._reading.due is not None and not self._reading.active:
            times.append(self._reading.due)
        if self._queue and self._sent is None:
            due = max(self._not_before, self._queue[0].not_before)
            # What is due already waits for the lease or a reply, not for time.
            if due > self._advanced_at:
                times.append(due)
        return min(times, default=None)

    def refresh(self, now: float) -> list[OrderAction]:
        """Read the state now, unless an order is in flight."""
        if self._sent is None and not self._reading.active:
            return [self._read(now)]
        return []

    def _advance(self, now: float) -> list[OrderAction]:
        self._advanced_at = now
        if self._reading.active:
            return []
        if self._reading.due is not None and now >= self._reading.due:
            return [self._read(now)]
        if self._sent is not None or not self._queue or self._reading.due is not None:
            return []
        head = self._queue[0]
        if now < max(self._not_before, head.not_before) or not self._lease.holds(now):
            return []
        if self._trusted_fencing != self._lease.fencing:
            return [self._read(now)]
        return [self._send(now, head)]

    def _send(self, now: float, head: _Wanted) -> SendOrder:
        self._queue.pop(0)
        head.tries += 1
        base = head.order.order_id.split("#")[0]
        order_id = f"{base}#{self._lease.fencing}.{head.tries}"
        head.order = replace(head.order, order_id=order_id, fencing=self._lease.fencing)
        self._sent = _Sent(head, now, self._engine)
        return SendOrder(head.order)

    def _read(self, now: float) -> ReadState:
        self._reading = _Reading(active=True, sent_at=now)
        return ReadState()

    def _resolve(self, now: float, sent: _Sent, state: EngineState) -> list[OrderAction]:
        if not sent.lost:
            return []
        order = sent.wanted.order
        if state.last_order == order.order_id and _shows(order, state):
            return self._settled(now, Ok(state))
        restarted = state.incarnation != sent.engine
        if not restarted and self._reading.sent_at < sent.at + self._settings.max_in_flight_seconds:
            self._reading.due = max(now, sent.at + self._settings.max_in_flight_seconds)
            return []
        if _shows(order, state):
            return self._settled(now, Ok(state))
        failure = Failure(ResultCode.ORDER_UNKNOWN, "the state read back does not show the order")
        return [StateConfirmed(state), *self._refused(now, sent, Err(failure))]

    def _settled(self, now: float, outcome: Result[EngineState, Failure]) -> list[OrderAction]:
        assert self._sent is not None
        order = self._sent.wanted.order
        self._sent = None
        self._reading.due = None
        return [OrderEnded(order, outcome), *self._advance(now)]

    def _refused(
        self, now: float, sent: _Sent, outcome: Result[EngineState, Failure]
    ) -> list[OrderAction]:
        self._sent = None
        self._reading.due = None
        code = outcome.unwrap_err().code
        retried = code in _PROVEN_WITHOUT_EFFECT and sent.wanted.tries < self._settings.tries
        if code is ResultCode.FENCED:
            self._trusted_fencing = -1
        if retried:
            sent.wanted.not_before = now + self._settings.retry
            self._queue.insert(0, sent.wanted)
            return self._advance(now)
        return [OrderEnded(sent.wanted.order, outcome), *self._advance(now)]


def _replaces(order: EngineOrder, waiting: EngineOrder) -> bool:
    return (order.kind, order.model) == (waiting.kind, waiting.model)


def _shows(order: EngineOrder, state: EngineState) -> bool:
    if order.kind is OrderKind.CHANGE_ROLE:
        return state.role == order.role
    loaded = {each.model: each.version for each in state.models}
    return loaded.get(order.model, -1) == order.version
