"""Keeps the engine beside an agent at the weights that the catalogue's models call for."""

from collections.abc import Callable
from random import Random

from result import Ok, Result

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.platform_interfaces import VmList
from pumicedeck.results import Failure
from pumicedeck.swaps import swap_position
from pumicedeck.weight_followers import WeightFollower
from pumicedeck.world import Vm, VmState

LIST_SECONDS = 60.0
FIRST_LIST_SECONDS = 5.0


class EngineWeights:
    """Tells the weight follower its models, its place among its like, and whether numbers count."""

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
        """Follow on behalf of the engine of `pool` on `vm`."""
        self._vm = vm
        self._region = region
        self._pool = pool
        self._follower = follower
        self._list = vms
        self._timers = timers
        self._rng = rng
        self._models: tuple[str, ...] = ()
        self._timer: Timer | None = None

    @property
    def follower(self) -> WeightFollower:
        """Return the follower."""
        return self._follower

    @property
    def version(self) -> int:
        """Return the version in force of the engine's first model, -1 while unknown."""
        return self._follower.version(self._models[0]) if self._models else -1

    def start(self) -> None:
        """Begin to follow; the models come with the catalogue."""
        self._follower.start(())
        self._later(FIRST_LIST_SECONDS)

    def close(self) -> None:
        """Stop following and give the lease up."""
        if self._timer is not None:
            self._timer.cancel()
        self._follower.close()

    def configure(self, catalogue: Catalogue) -> None:
        """Follow the models that the pool serves."""
        pool = catalogue.pool(self._pool)
        if pool is None:
            return
        self._models = pool.models
        self._follower.set_checks_fencing(pool.checks_fencing)
        self._follower.follow(pool.models)

    def _later(self, seconds: float) -> None:
        delay = self._rng.uniform(seconds / 2, seconds)
        self._timer = self._timers.call_later(delay, self._read_list)

    def _read_list(self) -> None:
        self._later(LIST_SECONDS)
        self._list.list(self._listed)

    def _listed(self, read: Result[tuple[Vm, ...], Failure]) -> None:
        if isinstance(read, Ok):
            self._follower.set_swap_position(
                swap_position(self._vm, filter_names(read.ok_value, self._is_like))
            )

    def _is_like(self, vm: Vm) -> bool:
        if vm.endpoint is None or vm.state is not VmState.LIVE:
            return False
        return vm.endpoint.pool == self._pool and vm.failure_domain.region == self._region


def filter_names(vms: tuple[Vm, ...], wanted: Callable[[Vm], bool]) -> list[str]:
    """Return the names of the wanted VMs."""
    return [vm.name for vm in vms if wanted(vm)]
