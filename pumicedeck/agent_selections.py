"""Selects the agents to which an entry VM keeps sessions; deterministic and free of I/O.

Rendezvous hashing keeps most selections unchanged when a VM is added or removed.
"""

from collections import Counter
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from pumicedeck.topology import Vm, VmRole, VmState

_MASK = (1 << 64) - 1
_MULTIPLIERS = (0xBF58476D1CE4E5B9, 0x94D049BB133111EB)
MIN_AGENTS_PER_POOL = 2
BOOTSTRAP_AGENTS = 6


@dataclass(frozen=True, slots=True)
class SelectionSettings:
    """Bounds on the number of sessions of one entry VM and of one agent.

    Every agent is covered by `cover_entries` entry VMs of each region, which keep sessions to it.
    From each pool an entry VM selects up to `local_picks` agents in the same region and
    `remote_picks` in others, the covered ones included.
    """

    cover_entries: int = 3
    local_picks: int = 12
    remote_picks: int = 4
    max_entry_sessions: int = 45
    max_agent_sessions: int = 60


class AgentRanking:
    """The order in which one entry VM prefers agents, computed once for each set of VMs."""

    def __init__(
        self, entry: Vm, vms: tuple[Vm, ...], pools: frozenset[str], settings: SelectionSettings
    ) -> None:
        """Rank the live agents of `pools` for the entry VM `entry`."""
        live = [vm for vm in vms if vm.state is VmState.LIVE]
        agents = [vm for vm in live if vm.endpoint is not None and vm.endpoint.pool in pools]
        entries = [vm for vm in live if vm.role is VmRole.ENTRY]
        region = entry.failure_domain.region
        region_entries = [vm.name for vm in entries if vm.failure_domain.region == region]
        self._settings = settings
        self._entries = max(1, len(entries))
        self._covered = frozenset(
            vm.name for vm in agents if _covers(entry, vm, region_entries, settings.cover_entries)
        )
        agents.sort(key=lambda vm: rendezvous_weight(entry.name, vm.name))
        self._groups: dict[str, _Group] = {}
        for vm in agents:
            group = self._groups.setdefault(vm.endpoint.pool, _Group([], []))
            region_group = group.local if vm.failure_domain.region == region else group.remote
            region_group.append(vm)

    @property
    def covered(self) -> frozenset[str]:
        """Return the names of the agents that the entry VM covers, whether or not reachable."""
        return self._covered

    def select(
        self, unreachable: frozenset[str] = frozenset(), leaving: frozenset[str] = frozenset()
    ) -> frozenset[str]:
        """Return the names of the agents to which the entry VM keeps sessions.

        Leaving agents are excluded. Covered agents stay selected while they are unreachable, with
        another agent selected in addition; any other unreachable agent is selected last.
        """
        free_sessions = max(0, self._settings.max_entry_sessions - len(self._covered))
        pool_budget = free_sessions // max(1, len(self._groups))
        chosen = set(self._covered - leaving)
        for group in self._groups.values():
            chosen |= self._pick(group, pool_budget, unreachable, leaving)
        return frozenset(chosen)

    def _pick(
        self,
        group: "_Group",
        pool_budget: int,
        unreachable: frozenset[str],
        leaving: frozenset[str],
    ) -> set[str]:
        """Return the agents of one pool to select beside the covered ones.

        Remote agents replace the local ones that are missing or unreachable.
        """
        settings = self._settings
        share = settings.max_agent_sessions * group.size // self._entries
        total = max(
            MIN_AGENTS_PER_POOL,
            min(settings.local_picks + settings.remote_picks, pool_budget, share),
        )
        local = [vm for vm in group.local if vm.name not in leaving]
        remote = [vm for vm in group.remote if vm.name not in leaving]
        remote_picks = min(settings.remote_picks, max(1, total // 3), len(remote))
        local_picks = total - remote_picks
        chosen = _pick_across_domains(local, local_picks, self._covered, unreachable)
        reachable_local = sum(
            vm.name not in unreachable and (vm.name in chosen or vm.name in self._covered)
            for vm in local
        )
        remote_picks = total - min(reachable_local, local_picks)
        return chosen | _pick_across_domains(remote, remote_picks, self._covered, unreachable)


@dataclass(frozen=True, slots=True)
class _Group:
    """The agents of one pool in order of preference, in the entry VM's region and elsewhere."""

    local: list[Vm]
    remote: list[Vm]

    @property
    def size(self) -> int:
        return len(self.local) + len(self.remote)


def select_bootstrap_agents(
    entry: Vm, vms: tuple[Vm, ...], unreachable: frozenset[str]
) -> frozenset[str]:
    """Return the names of agents from which an entry VM without a catalogue can fetch one."""
    live = [vm for vm in vms if vm.state is VmState.LIVE and vm.role is VmRole.AGENT]
    ranked = sorted(
        live,
        key=lambda vm: (vm.name in unreachable, rendezvous_weight(entry.name, vm.name)),
    )
    return frozenset(vm.name for vm in ranked[:BOOTSTRAP_AGENTS])


def rendezvous_weight(first: str, second: str) -> int:
    """Return a pseudo-random weight for an ordered pair of names, the same in every process."""
    value = (_digest(first) + 3 * _digest(second)) & _MASK
    value = ((value ^ (value >> 30)) * _MULTIPLIERS[0]) & _MASK
    value = ((value ^ (value >> 27)) * _MULTIPLIERS[1]) & _MASK
    return value ^ (value >> 31)


@lru_cache(maxsize=8192)
def _digest(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def _covers(entry: Vm, agent: Vm, region_entries: list[str], cover_entries: int) -> bool:
    """Return whether the entry VM is one of the `cover_entries` of its region that cover the agent.

    These are the entry VMs with the highest weight for the agent.
    """
    own_weight = rendezvous_weight(agent.name, entry.name)
    higher_ranked = 0
    for other in region_entries:
        higher_ranked += rendezvous_weight(agent.name, other) > own_weight
        if higher_ranked >= cover_entries:
            return False
    return True


def _pick_across_domains(
    agents: list[Vm], picks: int, covered: frozenset[str], unreachable: frozenset[str]
) -> set[str]:
    """Return further agents so that, with the covered reachable ones, `picks` are selected.

    Each is the first in order of preference from the failure domain with the fewest so far.
    """
    reachable_covered = [vm for vm in agents if vm.name in covered and vm.name not in unreachable]
    if picks <= len(reachable_covered):
        return set()
    ranked = [vm for vm in agents if vm.name not in covered]
    # Bounds the attempts when a broken link makes all agents of a region unreachable.
    ranked = ranked[: 2 * picks + MIN_AGENTS_PER_POOL]
    per_domain = Counter(vm.failure_domain.name for vm in reachable_covered)
    chosen: set[str] = set()
    for _ in range(min(picks - len(reachable_covered), len(ranked))):
        best = min(
            ranked,
            key=lambda vm: (vm.name in unreachable, per_domain[vm.failure_domain.name]),
        )
        ranked.remove(best)
        chosen.add(best.name)
        per_domain[best.failure_domain.name] += 1
    return chosen
