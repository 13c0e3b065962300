"""Fault switches that every stand-in consults before it answers a call."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Any

from result import Err, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.results import Failure

ANY_OPERATION = ""


class Fault(StrEnum):
    """What can go wrong with one call."""

    DOWN = "down"
    LOSE_REQUEST = "lose_request"
    LOSE_REPLY = "lose_reply"
    SILENT = "silent"
    CRASH = "crash"
    PARTIAL_SWAP = "partial_swap"


@dataclass(frozen=True, slots=True)
class FaultRate:
    """A fault that strikes calls of an operation at random; no operation means all."""

    fault: Fault
    probability: float
    operation: str = ANY_OPERATION


@dataclass(frozen=True, slots=True)
class ScriptedFault:
    """A fault for the `nth` call of an operation from now on, counted from 1."""

    fault: Fault
    nth: int
    operation: str = ANY_OPERATION


@dataclass(frozen=True, slots=True)
class FaultSettings:
    """A whole setting of the switches, as the stand-in server receives it."""

    down: bool = False
    delay: float = 0.0
    lose_reply: bool = False
    silent: bool = False
    silence_open: bool = False
    crash: bool = False
    restart: bool = False
    rates: tuple[FaultRate, ...] = ()
    script: tuple[ScriptedFault, ...] = ()


@dataclass(frozen=True, slots=True)
class FaultDecision:
    """What one call meets; `epoch` tells whether its connection went silent since."""

    fault: Fault | None
    delay: float
    epoch: int


class FaultSwitches:
    """Mutable switches of one stand-in; `delay` is in seconds and is added to every call."""

    def __init__(self, random: Random | None = None) -> None:
        """Draw random faults from `random`."""
        self.delay = 0.0
        self.lose_reply = False
        self.silent = False
        self._down = False
        self._watchers: list[Callable[[bool], None]] = []
        self._random = random or Random(0)
        self._rates: tuple[FaultRate, ...] = ()
        self._script: list[tuple[str, int, Fault]] = []
        self._calls: dict[str, int] = {}
        self._epoch = 0

    @property
    def down(self) -> bool:
        """Return whether calls are refused."""
        return self._down

    @down.setter
    def down(self, down: bool) -> None:
        changed = down != self._down
        self._down = down
        for watcher in self._watchers if changed else ():
            watcher(down)

    def on_down_changed(self, watcher: Callable[[bool], None]) -> None:
        """Call `watcher` whenever `down` changes."""
        self._watchers.append(watcher)

    def script(self, fault: Fault, nth: int = 1, operation: str = ANY_OPERATION) -> None:
        """Let the `nth` call of `operation` from now on meet `fault`."""
        self._script.append((operation, self._calls.get(operation, 0) + nth, fault))

    def set_rates(self, *rates: FaultRate) -> None:
        """Replace the random faults."""
        self._rates = rates

    def silence_open(self) -> None:
        """Never answer the calls that are open now; later calls are answered."""
        self._epoch += 1

    def apply(self, settings: FaultSettings) -> None:
        """Set all switches; crash and restart are left to the stand-in."""
        self.down = settings.down
        self.delay = settings.delay
        self.lose_reply = settings.lose_reply
        self.silent = settings.silent
        self._rates = settings.rates
        if settings.silence_open:
            self.silence_open()
        for scripted in settings.script:
            self.script(scripted.fault, scripted.nth, scripted.operation)

    def plan(self, operation: str) -> FaultDecision:
        """Count a call and decide what it meets."""
        fault = self._scripted(operation) or self._switched() or self._drawn(operation)
        return FaultDecision(fault, self.delay, self._epoch)

    def is_silenced(self, plan: FaultDecision) -> bool:
        """Tell whether the connection of a call went silent."""
        return plan.epoch != self._epoch or plan.fault is Fault.SILENT

    def _scripted(self, operation: str) -> Fault | None:
        hit = None
        for name in {operation, ANY_OPERATION}:
            count = self._calls.get(name, 0) + 1
            self._calls[name] = count
            for item in self._script:
                if item[:2] == (name, count):
                    hit = item
        if hit is None:
            return None
        self._script.remove(hit)
        return hit[2]

    def _switched(self) -> Fault | None:
        if self.down:
            return Fault.DOWN
        if self.silent:
            return Fault.SILENT
        if self.lose_reply:
            return Fault.LOSE_REPLY
        return None

    def _drawn(self, operation: str) -> Fault | None:
        for rate in self._rates:
            if rate.operation not in (ANY_OPERATION, operation):
                continue
            if self._random.random() < rate.probability:
                return rate.fault
        return None


class StandIn:
    """Base of the stand-ins: carries calls through their faults on an injected timer queue."""

    def __init__(self, timers: TimerQueue, faults: FaultSwitches | None = None) -> None:
        """Run on `timers` and consult `faults`."""
        self.faults = faults or FaultSwitches()
        self._timers = timers
        self._crashes = 0

    def crash(self) -> None:
        """Drop all calls in flight and refuse others until `restart`."""
        self._crashes += 1
        self.faults.down = True

    def restart(self) -> None:
        """Answer again."""
        self.faults.down = False

    def apply_faults(self, settings: FaultSettings) -> None:
        """Set all switches and crash or restart when told to."""
        self.faults.apply(settings)
        if settings.crash:
            self.crash()
        if settings.restart:
            self.restart()

    def _serve(
        self,
        operation: str,
        work: Callable[[], Result[Any, Failure]],
        done: Callable[[Result[Any, Failure]], None],
        down: Failure,
        lost: Failure,
        cost: float = 0.0,
    ) -> None:
        """Run `work` after the delay and answer, unless a fault comes between."""
        plan = self.faults.plan(operation)
        crashes = self._crashes

        def finish() -> None:
            if plan.fault is Fault.LOSE_REQUEST or crashes != self._crashes:
                self._reply(plan, done, Err(lost))
                return
            outcome = work()
            if plan.fault is Fault.CRASH:
                self.crash()
            if plan.fault in (Fault.LOSE_REPLY, Fault.CRASH):
                outcome = Err(lost)
            self._reply(plan, done, outcome)

        if plan.fault is Fault.DOWN:
            self._timers.call_later(plan.delay, lambda: done(Err(down)))
            return
        self._timers.call_later(plan.delay + cost, finish)

    def _reply(
        self,
        plan: FaultDecision,
        done: Callable[[Result[Any, Failure]], None],
        outcome: Result[Any, Failure],
    ) -> None:
        if not self.faults.is_silenced(plan):
            done(outcome)
