"""Reads the platform's list of VMs at jittered intervals."""

from collections.abc import Callable
from random import Random

from loguru import logger
from result import Ok, Result

from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.platforms import VmList
from pumicedeck.results import Failure
from pumicedeck.world import Vm, VmState

_log = logger.bind(module="vm_watches")

POLL_SECONDS = 1.5
JITTER_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 15.0
MAX_DOUBLINGS = 4


class VmWatch:
    """Keeps the last list; while the list cannot be read, the last one stays in force."""

    def __init__(self, vms: VmList, timers: TimerQueue, rng: Random) -> None:
        """Read `vms`."""
        self._list = vms
        self._timers = timers
        self._rng = rng
        self._vms: tuple[Vm, ...] = ()
        self._failures = 0
        self._timer: Timer | None = None
        self._changed: list[Callable[[tuple[Vm, ...]], None]] = []
        self._leaving: list[tuple[str, Callable[[], None]]] = []

    @property
    def vms(self) -> tuple[Vm, ...]:
        """Return the VMs as last read."""
        return self._vms

    def on_change(self, changed: Callable[[tuple[Vm, ...]], None]) -> None:
        """Call `changed` with every list that differs from the one before."""
        self._changed.append(changed)

    def on_leaving(self, name: str, leaving: Callable[[], None]) -> None:
        """Call `leaving` whenever the list shows the VM as leaving."""
        self._leaving.append((name, leaving))

    def is_live(self, incarnation: str) -> bool:
        """Tell whether the VM of an incarnation is still listed; unread lists count as yes."""
        name = incarnation.partition("/")[0]
        return not self._vms or any(each.name == name for each in self._vms)

    def start(self) -> None:
        """Read now and then regularly."""
        self._read()

    def close(self) -> None:
        """Stop reading."""
        if self._timer is not None:
            self._timer.cancel()

    def _read(self) -> None:
        delay = min(MAX_BACKOFF_SECONDS, POLL_SECONDS * 2**self._failures)
        delay += self._rng.uniform(0.0, JITTER_SECONDS * 2**self._failures)
        self._timer = self._timers.call_later(delay, self._read)
        self._list.list(self._answered)

    def _answered(self, read: Result[tuple[Vm, ...], Failure]) -> None:
        if not isinstance(read, Ok):
            self._failures = min(self._failures + 1, MAX_DOUBLINGS)
            return
        self._failures = 0
        vms, before = read.ok_value, self._vms
        self._vms = vms
        if vms != before:
            _log.debug("VM list changed", count=len(vms))
            for changed in self._changed:
                changed(vms)
        self._report_leaving(vms)

    def _report_leaving(self, vms: tuple[Vm, ...]) -> None:
        names = {each.name for each in vms if each.state is VmState.LEAVING}
        for name, leaving in self._leaving:
            if name in names:
                leaving()
