"""Orders of the stand-in engine: fencing, fetches, installs and their faults."""

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
_NOT_FETCHED = Failure(ResultCode.SWAP_FAILED, "the weights did not arrive")
_PARTIAL = Failure(ResultCode.SWAP_FAILED, "the swap failed partway")


@dataclass(frozen=True, slots=True)
class OrderHooks:
    """What an order does to the rest of the engine."""

    pause: Callable[[], None]
    resume: Callable[[], None]
    swapped: Callable[[EngineOrder], None]
    crash: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _Run:
    """An order that is being carried out."""

    order: EngineOrder
    fault: Fault | None
    done: ResultCallback[None]


class EngineOrders:
    """Carries out orders in one run of the engine and holds what they change."""

    def __init__(
        self,
        timers: TimerQueue,
        settings: EngineSettings,
        weights: WeightSource | None,
        hooks: OrderHooks,
        ledger: deque[ExecutedOrder],
    ) -> None:
        """Note what took effect in `ledger`."""
        self._timers = timers
        self._settings = settings
        self._weights = weights
        self._hooks = hooks
        self._ledger = ledger
        self._versions = {loaded.model: loaded.version for loaded in settings.models}
        self._role = settings.role
        self._highest_fencing = 0
        self._finished: set[str] = set()
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
        """Return the highest fencing number seen."""
        return self._highest_fencing

    @property
    def last_order(self) -> str:
        """Return the id of the order that took effect last."""
        return self._last_order

    def close(self) -> None:
        """Let the orders that are being carried out end as lost."""
        self._closed = True

    def execute(self, order: EngineOrder, plan: FaultDecision, done: ResultCallback[None]) -> None:
        """Carry out an order unless it was carried out before or is fenced off."""
        if order.order_id in self._finished:
            done(Ok(None))
            return
        if self._is_fenced(order):
            done(Err(self._fenced()))
            return
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        run = _Run(order, plan.fault, done)
        if order.kind is OrderKind.CHANGE_ROLE:
            self._complete(run)
        else:
            self._fetch(order, lambda outcome: self._on_fetched(run, outcome))

    def _is_fenced(self, order: EngineOrder) -> bool:
        return self._settings.checks_fencing and order.fencing < self._highest_fencing

    def _fenced(self) -> Failure:
        return Failure(ResultCode.FENCED, f"highest is {self._highest_fencing}")

    def _fetch(self, order: EngineOrder, done: ResultCallback[None]) -> None:
        if self._weights is not None:
            self._weights(order.model, order.version, done)
            return
        self._timers.call_later(self._settings.fetch_seconds, lambda: done(Ok(None)))

    def _on_fetched(self, run: _Run, outcome: Result[None, Failure]) -> None:
        if self._closed:
            run.done(Err(ORDER_REPLY_LOST))
        elif outcome.is_err():
            run.done(Err(_NOT_FETCHED))
        elif self._is_fenced(run.order):
            run.done(Err(self._fenced()))
        else:
            self._hooks.pause()
            self._timers.call_later(self._settings.install_seconds, lambda: self._on_installed(run))

    def _on_installed(self, run: _Run) -> None:
        if self._closed:
            run.done(Err(ORDER_REPLY_LOST))
            return
        self._hooks.resume()
        self._complete(run)

    def _complete(self, run: _Run) -> None:
        if run.fault is Fault.CRASH:
            self._hooks.crash()
            run.done(Err(ORDER_REPLY_LOST))
        elif run.fault is Fault.PARTIAL_SWAP and run.order.kind is not OrderKind.CHANGE_ROLE:
            self._versions[run.order.model] = UNKNOWN_VERSION
            self._ledger.append(ExecutedOrder(run.order, self._timers.now(), True))
            run.done(Err(_PARTIAL))
        else:
            self._apply(run.order)
            run.done(Ok(None))

    def _apply(self, order: EngineOrder) -> None:
        if order.kind is OrderKind.CHANGE_ROLE:
            self._role = order.role
        else:
            self._versions[order.model] = order.version
        self._finished.add(order.order_id)
        self._last_order = order.order_id
        self._ledger.append(ExecutedOrder(order, self._timers.now(), False))
        if order.kind is OrderKind.SWAP_VERSION:
            self._hooks.swapped(order)
