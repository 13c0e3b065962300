"""Selects the agents that an entry keeps sessions to; deterministic and free of I/O."""

from collections import Counter
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from pumicedeck.world import Vm, VmRole, VmState

_MASK = (1 << 64) - 1
_MULTIPLIERS = (0xBF58476D1CE4E5B9, 0x94D049BB133111EB)
MIN_PICKS = 2
FIRST_PICKS = 6


@dataclass(frozen=True, slots=True)
class SelectionSettings:
    """Bounds of the sessions of one entry and of one agent.

    Every agent is covered by `cover_entries` entries of each region. Each entry picks up to
    `local_picks` agents of a pool in its own region and `remote_picks` elsewhere.
    """

    cover_entries: int = 3
    local_picks: int = 12
    remote_picks: int = 4
    max_entry_sessions: int = 45
    max_agent_sessions: int = 60


@dataclass(frozen=True, slots=True)
class Fleet:
    """The VMs that a selection goes by; `unreachable` are agents that do not answer now."""

    entries: tuple[Vm, ...]
    agents: tuple[Vm, ...]
    unreachable: frozenset[str] = frozenset()


def fleet_of(
    vms: tuple[Vm, ...], pools: frozenset[str], unreachable: frozenset[str] = frozenset()
) -> Fleet:
    """Return the live entries and the live agents of `pools`."""
    live = [vm for vm in vms if vm.state is VmState.LIVE]
    entries = tuple(vm for vm in live if vm.role is VmRole.ENTRY)
    agents = tuple(vm for vm in live if vm.endpoint is not None and vm.endpoint.pool in pools)
    return Fleet(entries, agents, unreachable)


def covered_agents(entry: Vm, fleet: Fleet, settings: SelectionSettings) -> frozenset[str]:
    """Return the agents that `entry` has to cover, whether or not they are reachable."""
    return frozenset(vm.name for vm in fleet.agents if _covers(entry, vm, fleet, settings))


def select_agents(
    entry: Vm, fleet: Fleet, settings: SelectionSettings, covered: frozenset[str]
) -> frozenset[str]:
    """Return the names of the agents that `entry` keeps sessions to."""
    by_pool: dict[str, list[Vm]] = {}
    for vm in fleet.agents:
        by_pool.setdefault(vm.endpoint.pool, []).append(vm)
    room = max(0, settings.max_entry_sessions - len(covered)) // max(1, len(by_pool))
    chosen = set(covered)
    for agents in by_pool.values():
        chosen |= _pick_pool(entry, agents, fleet, covered, room, settings)
    return frozenset(chosen)


def select_any(entry: Vm, vms: tuple[Vm, ...], unreachable: frozenset[str]) -> frozenset[str]:
    """Return agents from which an entry without a catalogue can fetch one."""
    live = [vm for vm in vms if vm.state is VmState.LIVE and vm.role is VmRole.AGENT]
    ranked = sorted(
        live,
        key=lambda vm: (vm.name in unreachable, rendezvous_weight(entry.name, vm.name)),
    )
    return frozenset(vm.name for vm in ranked[:FIRST_PICKS])


def rendezvous_weight(first: str, second: str) -> int:
    """Return a pseudo-random weight of a pair of names, the same in every process."""
    value = (_digest(first) + 3 * _digest(second)) & _MASK
    value = ((value ^ (value >> 30)) * _MULTIPLIERS[0]) & _MASK
    value = ((value ^ (value >> 27)) * _MULTIPLIERS[1]) & _MASK
    return value ^ (value >> 31)


@lru_cache(maxsize=8192)
def _digest(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def _covers(entry: Vm, agent: Vm, fleet: Fleet, settings: SelectionSettings) -> bool:
    own = rendezvous_weight(agent.name, entry.name)
    above = 0
    for other in fleet.entries:
        if other.failure_domain.region != entry.failure_domain.region:
            continue
        above += rendezvous_weight(agent.name, other.name) > own
        if above >= settings.cover_entries:
            return False
    return True


def _pick_pool(
    entry: Vm,
    agents: list[Vm],
    fleet: Fleet,
    covered: frozenset[str],
    room: int,
    settings: SelectionSettings,
) -> set[str]:
    region = entry.failure_domain.region
    local = [vm for vm in agents if vm.failure_domain.region == region]
    remote = [vm for vm in agents if vm.failure_domain.region != region]
    share = settings.max_agent_sessions * len(agents) // max(1, len(fleet.entries))
    total = max(MIN_PICKS, min(settings.local_picks + settings.remote_picks, room, share))
    remote_picks = min(settings.remote_picks, total // 3) if local else total
    chosen = _pick_spread(entry, remote, remote_picks, fleet, covered)
    chosen |= _pick_spread(entry, local, total - remote_picks, fleet, covered)
    return chosen


def _pick_spread(
    entry: Vm, agents: list[Vm], picks: int, fleet: Fleet, covered: frozenset[str]
) -> set[str]:
    """Pick agents by weight, each from the failure domain with the fewest so far."""
    ranked = sorted(
        (vm for vm in agents if vm.name not in covered),
        key=lambda vm: rendezvous_weight(entry.name, vm.name),
    )
    # Behind a broken link all of them look unreachable; trying one after the other is no help.
    preferred = ranked[: 2 * picks + MIN_PICKS]
    ranked = sorted(preferred, key=lambda vm: vm.name in fleet.unreachable)
    held = [vm for vm in agents if vm.name in covered and vm.name not in fleet.unreachable]
    per_domain = Counter(vm.failure_domain.name for vm in held)
    chosen: set[str] = set()
    for _ in range(min(picks - len(held), len(ranked))):
        best = min(
            (vm for vm in ranked if vm.name not in chosen),
            key=lambda vm: (
                vm.name in fleet.unreachable,
                per_domain[vm.failure_domain.name],
            ),
        )
        chosen.add(best.name)
        per_domain[best.failure_domain.name] += 1
    return chosen
