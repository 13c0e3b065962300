"""In-process stand-in for the platform's VM list, which shows changes with a lag."""

from collections import deque

from result import Ok

from pumicedeck.clocks import TimerQueue
from pumicedeck.faults import FaultSwitches, StandIn
from pumicedeck.platform_interfaces import ResultCallback, VmList, adapter
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import Vm

_DOWN = Failure(ResultCode.STORE_UNAVAILABLE, "the VM list is down")
_LIST_LOST = Failure(ResultCode.STORE_UNAVAILABLE, "the reply of the VM list was lost")


@adapter("VmList", "standin")
class StandinVmList(StandIn, VmList):
    """A list of VMs that shows every change `lag` seconds late."""

    def __init__(
        self,
        timers: TimerQueue,
        faults: FaultSwitches | None = None,
        vms: tuple[Vm, ...] = (),
        lag: float = 0.0,
    ) -> None:
        """Create a list that shows `vms` from the start."""
        super().__init__(timers, faults)
        self.lag = lag
        self._vms = {vm.name: vm for vm in vms}
        self._history: deque[tuple[float, tuple[Vm, ...]]] = deque()
        self._history.append((float("-inf"), tuple(vms)))

    @property
    def current(self) -> tuple[Vm, ...]:
        """Return the current VMs, without the lag."""
        return tuple(self._vms.values())

    def put(self, vm: Vm) -> None:
        """Add a VM or replace the one of the same name."""
        self._vms[vm.name] = vm
        self._record_history()

    def remove(self, name: str) -> None:
        """Remove a VM if it is in the list."""
        self._vms.pop(name, None)
        self._record_history()

    def replace_all(self, vms: tuple[Vm, ...]) -> None:
        """Replace the whole list."""
        self._vms = {vm.name: vm for vm in vms}
        self._record_history()

    def list(self, done: ResultCallback[tuple[Vm, ...]]) -> None:
        """Read the list as it was `lag` seconds ago."""
        self._serve("list", lambda: Ok(self._visible()), done, _DOWN, _LIST_LOST)

    def _record_history(self) -> None:
        self._history.append((self._timers.now(), self.current))

    def _visible(self) -> tuple[Vm, ...]:
        visible_until = self._timers.now() - self.lag
        while len(self._history) > 1 and self._history[1][0] <= visible_until:
            self._history.popleft()
        return self._history[0][1]
