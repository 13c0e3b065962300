"""Injects faults into stand-ins: outages, delays, lost requests and replies, silence, crashes."""

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
    """A fault of one call.

    LOSE_REQUEST fails a call before its work and LOSE_REPLY after it, CRASH also crashes the
    stand-in, SILENT leaves the call unanswered, PARTIAL_SWAP leaves a model at an unknown version.
    """

    DOWN = "down"
    LOSE_REQUEST = "lose_request"
    LOSE_REPLY = "lose_reply"
    SILENT = "silent"
    CRASH = "crash"
    PARTIAL_SWAP = "partial_swap"


@dataclass(frozen=True, slots=True)
class FaultRate:
    """A fault injected at random into calls of `operation`; an empty operation means all calls."""

    fault: Fault
    probability: float
    operation: str = ANY_OPERATION


@dataclass(frozen=True, slots=True)
class ScriptedFault:
    """A fault for the `nth` call of `operation` after the fault is set, counted from 1."""

    fault: Fault
    nth: int
    operation: str = ANY_OPERATION


@dataclass(frozen=True, slots=True)
class FaultSettings:
    """All fault switches of a stand-in, as received on the control port; `delay` is in seconds."""

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
    """The fault and the delay in seconds of one call.

    The call is silenced if the current epoch, which `silence_open` advances, is no longer `epoch`.
    """

    fault: Fault | None
    delay: float
    epoch: int


class FaultSwitches:
    """The fault switches of one stand-in; `delay`, in seconds, is added to every call."""

    def __init__(self, random: Random | None = None) -> None:
        """Create switches without faults; `random` decides which calls a `FaultRate` affects."""
        self.delay = 0.0
        self.lose_reply = False
        self.silent = False
        self._down = False
        self._watchers: list[Callable[[bool], None]] = []
        self._random = random or Random(0)
        self._rates: tuple[FaultRate, ...] = ()
        self._scripted_faults: list[tuple[str, int, Fault]] = []
        self._call_counts: dict[str, int] = {}
        self._silence_epoch = 0

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
        """Call `watcher` with the new value whenever `down` changes."""
        self._watchers.append(watcher)

    def script(self, fault: Fault, nth: int = 1, operation: str = ANY_OPERATION) -> None:
        """Inject `fault` into the `nth` call of `operation` from now on, counted from 1."""
        self._scripted_faults.append((operation, self._call_counts.get(operation, 0) + nth, fault))

    def set_rates(self, *rates: FaultRate) -> None:
        """Replace all random faults by `rates`."""
        self._rates = rates

    def silence_open(self) -> None:
        """Leave the calls that are open now unanswered; later calls are answered."""
        self._silence_epoch += 1

    def apply(self, settings: FaultSettings) -> None:
        """Set all switches except crash and restart, which the stand-in handles itself."""
        self.down = settings.down
        self.delay = settings.delay
        self.lose_reply = settings.lose_reply
        self.silent = settings.silent
        self._rates = settings.rates
        if settings.silence_open:
            self.silence_open()
        for scripted in settings.script:
            self.script(scripted.fault, scripted.nth, scripted.operation)

    def decide(self, operation: str) -> FaultDecision:
        """Count a call of `operation` and return the fault and the delay that apply to it."""
        fault = (
            self._scripted_fault(operation) or self._switch_fault() or self._random_fault(operation)
        )
        return FaultDecision(fault, self.delay, self._silence_epoch)

    def is_silenced(self, decision: FaultDecision) -> bool:
        """Return whether a call must stay unanswered because of its fault or a later silence."""
        return decision.epoch != self._silence_epoch or decision.fault is Fault.SILENT

    def _scripted_fault(self, operation: str) -> Fault | None:
        matched = None
        for name in {operation, ANY_OPERATION}:
            count = self._call_counts.get(name, 0) + 1
            self._call_counts[name] = count
            for item in self._scripted_faults:
                if item[:2] == (name, count):
                    matched = item
        if matched is None:
            return None
        self._scripted_faults.remove(matched)
        return matched[2]

    def _switch_fault(self) -> Fault | None:
        if self.down:
            return Fault.DOWN
        if self.silent:
            return Fault.SILENT
        if self.lose_reply:
            return Fault.LOSE_REPLY
        return None

    def _random_fault(self, operation: str) -> Fault | None:
        for rate in self._rates:
            if rate.operation not in (ANY_OPERATION, operation):
                continue
            if self._random.random() < rate.probability:
                return rate.fault
        return None


class StandIn:
    """Base class of the stand-ins: runs calls on a timer queue and injects faults into them."""

    def __init__(self, timers: TimerQueue, faults: FaultSwitches | None = None) -> None:
        """Run calls on `timers` with the faults of `faults`, by default none."""
        self.faults = faults or FaultSwitches()
        self._timers = timers
        self._crash_count = 0

    def crash(self) -> None:
        """Fail all calls in flight and refuse new ones until `restart`."""
        self._crash_count += 1
        self.faults.down = True

    def restart(self) -> None:
        """Accept calls again."""
        self.faults.down = False

    def apply_faults(self, settings: FaultSettings) -> None:
        """Set all switches and crash or restart as `settings` says."""
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
        refused_failure: Failure,
        lost_failure: Failure,
        work_seconds: float = 0.0,
    ) -> None:
        """Run `work` after the injected delay plus `work_seconds` and pass its outcome to `done`.

        A call that is refused ends with `refused_failure`. One that loses its request or reply, or
        that meets a crash, ends with `lost_failure`. A silenced call never ends.
        """
        decision = self.faults.decide(operation)
        crash_count_at_call = self._crash_count

        def finish() -> None:
            if decision.fault is Fault.LOSE_REQUEST or crash_count_at_call != self._crash_count:
                self._reply(decision, done, Err(lost_failure))
                return
            outcome = work()
            if decision.fault is Fault.CRASH:
                self.crash()
            if decision.fault in (Fault.LOSE_REPLY, Fault.CRASH):
                outcome = Err(lost_failure)
            self._reply(decision, done, outcome)

        if decision.fault is Fault.DOWN:
            self._timers.call_later(decision.delay, lambda: done(Err(refused_failure)))
            return
        self._timers.call_later(decision.delay + work_seconds, finish)

    def _reply(
        self,
        decision: FaultDecision,
        done: Callable[[Result[Any, Failure]], None],
        outcome: Result[Any, Failure],
    ) -> None:
        if not self.faults.is_silenced(decision):
            done(outcome)
