"""Keeps sessions to a wanted set of agent VMs, dialing again after a jittered delay."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from loguru import logger

from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.world import Address, Vm

_log = logger.bind(module="agent_dialers")

MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0


@dataclass(slots=True)
class _Wanted:
    vm: Vm
    connection: int | None = None
    failures: int = 0
    timer: Timer | None = None
    released: bool = False


class AgentDialer:
    """Dials what is wanted; a VM with a new address is a new VM."""

    def __init__(
        self,
        timers: TimerQueue,
        dial: Callable[[Address], int],
        hang_up: Callable[[int], None],
        rng: Random,
    ) -> None:
        """Open connections with `dial`, which returns the number that `ended` reports."""
        self._timers = timers
        self._dial = dial
        self._hang_up = hang_up
        self._rng = rng
        self._wanted: dict[str, _Wanted] = {}
        self._by_connection: dict[int, str] = {}

    @property
    def wanted(self) -> tuple[str, ...]:
        """Return the names of the wanted VMs."""
        return tuple(self._wanted)

    def vm(self, name: str) -> Vm | None:
        """Return a wanted VM."""
        held = self._wanted.get(name)
        return held.vm if held is not None else None

    def want_only(self, vms: Iterable[Vm]) -> None:
        """Replace the wanted set; an open session to any other VM ends by itself."""
        wanted = {vm.name: vm for vm in vms}
        for name in [each for each in self._wanted if each not in wanted]:
            self.release(name)
        for vm in wanted.values():
            self.want(vm)

    def release(self, name: str) -> None:
        """Keep an open session, on which work may be in flight, but dial no more."""
        held = self._wanted.get(name)
        if held is None:
            return
        if held.connection is None:
            self.unwant(name)
        else:
            held.released = True

    def want(self, vm: Vm) -> None:
        """Keep a session to a VM."""
        held = self._wanted.get(vm.name)
        if held is not None and held.vm.address == vm.address:
            held.vm = vm
            held.released = False
            return
        if held is not None:
            self.unwant(vm.name)
        self._wanted[vm.name] = _Wanted(vm)
        self._connect(vm.name)

    def unwant(self, name: str) -> None:
        """Close the session to a VM and do not dial it again."""
        held = self._wanted.pop(name, None)
        if held is None:
            return
        if held.timer is not None:
            held.timer.cancel()
        if held.connection is not None:
            self._by_connection.pop(held.connection, None)
            self._hang_up(held.connection)

    def opened(self, name: str) -> None:
        """Take note that a session to a VM opened."""
        held = self._wanted.get(name)
        if held is not None:
            held.failures = 0

    def ended(self, connection: int) -> None:
        """Take note that a connection ended; dial again after a delay."""
        name = self._by_connection.pop(connection, None)
        held = self._wanted.get(name) if name is not None else None
        if held is None:
            return
        held.connection = None
        if held.released:
            del self._wanted[name]
            return
        limit = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2**held.failures)
        held.failures += 1
        delay = self._rng.uniform(limit / 2, limit)
        held.timer = self._timers.call_later(delay, lambda: self._connect(name))

    def close(self) -> None:
        """Close every session and dial no more."""
        for name in self.wanted:
            self.unwant(name)

    def _connect(self, name: str) -> None:
        held = self._wanted.get(name)
        if held is None or held.connection is not None:
            return
        held.timer = None
        held.connection = self._dial(held.vm.address)
        self._by_connection[held.connection] = name
        _log.debug("dialing", peer=name, address=str(held.vm.address))
