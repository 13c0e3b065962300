"""Finds the agents likely to cache a prefix, by rendezvous hashing and cache events; no I/O.

A bound on load keeps a frequent prefix from overloading its agent.
"""

from collections import OrderedDict
from collections.abc import Sequence
from hashlib import blake2b

from pumicedeck.agent_loads import AgentLoad

LOAD_BOUND = 1.25
MAX_HINTED_PREFIXES = 4096
MAX_CACHED_HASHES = 8192
_MASK = (1 << 64) - 1


def _digest(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def _mix(value: int) -> int:
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


class RendezvousHash:
    """Ranks endpoints for a prefix in the same order in every process."""

    def __init__(self) -> None:
        """Start with an empty cache of hashes."""
        self._cache: OrderedDict[str, int] = OrderedDict()

    def score(self, prefix: str, endpoint: str) -> int:
        """Return the score of an endpoint for a prefix; the highest score ranks first."""
        return _mix(self._hash(prefix) ^ self._hash(endpoint))

    def _hash(self, text: str) -> int:
        found = self._cache.get(text)
        if found is None:
            found = self._cache[text] = _digest(text)
            if len(self._cache) > MAX_CACHED_HASHES:
                self._cache.popitem(last=False)
        return found


class PrefixAffinity:
    """Selects agents that probably have a prefix in their cache."""

    def __init__(self) -> None:
        """Create an affinity without recorded cache events."""
        self._rendezvous = RendezvousHash()
        self._hints: OrderedDict[str, set[str]] = OrderedDict()

    def record_cache_event(self, agent: str, prefix: str, cached: bool) -> None:
        """Record that an agent cached or evicted a prefix; the event may be late or wrong."""
        agents = self._hints.setdefault(prefix, set())
        self._hints.move_to_end(prefix)
        (agents.add if cached else agents.discard)(agent)
        if len(self._hints) > MAX_HINTED_PREFIXES:
            self._hints.popitem(last=False)

    def remove_agent(self, agent: str) -> None:
        """Drop the cache events of an agent that was removed."""
        for agents in self._hints.values():
            agents.discard(agent)

    def hinted_agents(self, prefix: str) -> set[str]:
        """Return the agents that reported the prefix as cached."""
        return self._hints.get(prefix, set())

    def preferred(self, prefix: str, loads: Sequence[AgentLoad]) -> AgentLoad | None:
        """Return the first agent in rendezvous order whose load is within the bound.

        The bound is LOAD_BOUND times the mean number of requests per slot. If no agent is within
        it, all are considered; None without a prefix or agents.
        """
        if not prefix or not loads:
            return None
        total = sum(each.requests for each in loads) + 1
        slots = sum(each.slots for each in loads)
        bound = LOAD_BOUND * total / slots
        within_bound = [each for each in loads if each.requests <= max(1.0, bound * each.slots)]
        return max(
            within_bound or loads,
            key=lambda each: self._rendezvous.score(prefix, each.candidate.endpoint.name),
        )
