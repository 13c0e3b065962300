"""Executes orders of the stand-in engine: fencing, weight fetches, installs and their faults."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.faults import Fault, FaultDecision
from pumicedeck.platform_interfaces import EngineOrder, OrderKind, ResultCallback
from pumicedeck.results import Failure, ResultCode
from pumicedeck.standin_ledgers import EngineSettings, ExecutedOrder

WeightSource = Callable[[str, int, ResultCallback[None]], None]

ORDER_REPLY_LOST = Failure(ResultCode.ORDER_UNKNOWN, "the reply to an order was lost")
UNKNOWN_VERSION = -1
_NOT_FETCHED = Failure(ResultCode.SWAP_FAILED, "the weights could not be fetched")
_PARTIAL_SWAP = Failure(ResultCode.SWAP_FAILED, "the swap failed partway")


@dataclass(frozen=True, slots=True)
class OrderHooks:
    """Callbacks through which an order acts on the rest of the engine."""

    pause: Callable[[], None]
    resume: Callable[[], None]
    on_swapped: Callable[[EngineOrder], None]
    crash: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _RunningOrder:
    """An order in execution."""

    order: EngineOrder
    fault: Fault | None
    done: ResultCallback[None]


class OrderExecutor:
    """Executes orders in one incarnation of the engine and holds the state that they change."""

    def __init__(
        self,
        timers: TimerQueue,
        settings: EngineSettings,
        weights: WeightSource | None,
        hooks: OrderHooks,
        ledger: deque[ExecutedOrder],
    ) -> None:
        """Start from `settings`; orders that take effect are recorded in `ledger`."""
        self._timers = timers
        self._settings = settings
        self._fetch_weights = weights
        self._hooks = hooks
        self._ledger = ledger
        self._versions = {loaded.model: loaded.version for loaded in settings.models}
        self._role = settings.role
        self._highest_fencing = 0
        self._executed_ids: set[str] = set()
        self._last_order = ""
        self._closed = False

    @property
    def versions(self) -> dict[str, int]:
        """Return the loaded models and their versions."""
        return self._versions

    @property
    def role(self) -> str:
        """Return the engine's role."""
        return self._role

    @property
    def highest_fencing(self) -> int:
        """Return the highest fencing number of all orders received."""
        return self._highest_fencing

    @property
    def last_order(self) -> str:
        """Return the id of the order that took effect last."""
        return self._last_order

    def close(self) -> None:
        """Make all orders in execution end with an unknown outcome."""
        self._closed = True

    def execute(
        self, order: EngineOrder, decision: FaultDecision, done: ResultCallback[None]
    ) -> None:
        """Execute an order, unless its id was executed before or its fencing number is too low."""
        if order.order_id in self._executed_ids:
            done(Ok(None))
            return
        if self._is_fenced(order):
            done(Err(self._fenced_failure()))
            return
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        running_order = _RunningOrder(order, decision.fault, done)
        if order.kind is OrderKind.CHANGE_ROLE:
            self._complete_order(running_order)
        else:
            self._start_fetch(order, lambda outcome: self._on_fetched(running_order, outcome))

    def _is_fenced(self, order: EngineOrder) -> bool:
        return self._settings.checks_fencing and order.fencing < self._highest_fencing

    def _fenced_failure(self) -> Failure:
        return Failure(ResultCode.FENCED, f"highest fencing number is {self._highest_fencing}")

    def _start_fetch(self, order: EngineOrder, done: ResultCallback[None]) -> None:
        if self._fetch_weights is not None:
            self._fetch_weights(order.model, order.version, done)
            return
        self._timers.call_later(self._settings.fetch_seconds, lambda: done(Ok(None)))

    def _on_fetched(self, running_order: _RunningOrder, outcome: Result[None, Failure]) -> None:
        if self._closed:
            running_order.done(Err(ORDER_REPLY_LOST))
        elif outcome.is_err():
            running_order.done(Err(_NOT_FETCHED))
        elif self._is_fenced(running_order.order):
            running_order.done(Err(self._fenced_failure()))
        else:
            self._hooks.pause()
            self._timers.call_later(
                self._settings.install_seconds, lambda: self._on_installed(running_order)
            )

    def _on_installed(self, running_order: _RunningOrder) -> None:
        if self._closed:
            running_order.done(Err(ORDER_REPLY_LOST))
            return
        self._hooks.resume()
        self._complete_order(running_order)

    def _complete_order(self, running_order: _RunningOrder) -> None:
        if running_order.fault is Fault.CRASH:
            self._hooks.crash()
            running_order.done(Err(ORDER_REPLY_LOST))
        elif (
            running_order.fault is Fault.PARTIAL_SWAP
            and running_order.order.kind is not OrderKind.CHANGE_ROLE
        ):
            self._versions[running_order.order.model] = UNKNOWN_VERSION
            self._ledger.append(ExecutedOrder(running_order.order, self._timers.now(), True))
            running_order.done(Err(_PARTIAL_SWAP))
        else:
            self._apply_order(running_order.order)
            running_order.done(Ok(None))

    def _apply_order(self, order: EngineOrder) -> None:
        if order.kind is OrderKind.CHANGE_ROLE:
            self._role = order.role
        else:
            self._versions[order.model] = order.version
        self._executed_ids.add(order.order_id)
        self._last_order = order.order_id
        self._ledger.append(ExecutedOrder(order, self._timers.now(), False))
        if order.kind is OrderKind.SWAP_VERSION:
            self._hooks.on_swapped(order)
