"""Configures the weight follower of an agent's engine from the catalogue and the VM list."""

from collections.abc import Callable
from random import Random

from result import Ok, Result

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.platform_interfaces import VmList
from pumicedeck.results import Failure
from pumicedeck.swaps import swap_position
from pumicedeck.topology import Vm, VmState
from pumicedeck.weight_followers import WeightFollower

VM_LIST_INTERVAL_SECONDS = 60.0
FIRST_VM_LIST_DELAY_SECONDS = 5.0


class EngineWeights:
    """Sets the weight follower's models, swap position and fencing check.

    The swap position is the rank of this VM among the live VMs of its pool and region.
    """

    def __init__(
        self,
        vm: str,
        region: str,
        pool: str,
        follower: WeightFollower,
        vms: VmList,
        timers: TimerQueue,
        rng: Random,
    ) -> None:
        """Configure `follower` for the engine of `pool` on `vm` in `region`."""
        self._vm = vm
        self._region = region
        self._pool = pool
        self._follower = follower
        self._vm_list = vms
        self._timers = timers
        self._rng = rng
        self._models: tuple[str, ...] = ()
        self._timer: Timer | None = None

    @property
    def follower(self) -> WeightFollower:
        """Return the weight follower."""
        return self._follower

    @property
    def version(self) -> int:
        """Return the active weight version of the engine's first model, -1 while unknown."""
        return self._follower.version(self._models[0]) if self._models else -1

    def start(self) -> None:
        """Start following without models; `configure` adds them with the catalogue."""
        self._follower.start(())
        self._schedule_list_read(FIRST_VM_LIST_DELAY_SECONDS)

    def close(self) -> None:
        """Stop following and release the lease."""
        if self._timer is not None:
            self._timer.cancel()
        self._follower.close()

    def configure(self, catalogue: Catalogue) -> None:
        """Follow the models that the pool serves according to the catalogue."""
        pool = catalogue.pool(self._pool)
        if pool is None:
            return
        self._models = pool.models
        self._follower.set_checks_fencing(pool.checks_fencing)
        self._follower.follow(pool.models)

    def _schedule_list_read(self, seconds: float) -> None:
        delay = self._rng.uniform(seconds / 2, seconds)
        self._timer = self._timers.call_later(delay, self._read_list)

    def _read_list(self) -> None:
        self._schedule_list_read(VM_LIST_INTERVAL_SECONDS)
        self._vm_list.list(self._on_vm_list)

    def _on_vm_list(self, read: Result[tuple[Vm, ...], Failure]) -> None:
        if isinstance(read, Ok):
            self._follower.set_swap_position(
                swap_position(self._vm, filter_names(read.ok_value, self._serves_same_pool))
            )

    def _serves_same_pool(self, vm: Vm) -> bool:
        if vm.endpoint is None or vm.state is not VmState.LIVE:
            return False
        return vm.endpoint.pool == self._pool and vm.failure_domain.region == self._region


def filter_names(vms: tuple[Vm, ...], predicate: Callable[[Vm], bool]) -> list[str]:
    """Return the names of the VMs that match the predicate."""
    return [vm.name for vm in vms if predicate(vm)]
