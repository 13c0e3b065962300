"""Prefix affinity: rendezvous hashing with bounded load, and cache events as hints; no I/O."""

from collections import OrderedDict
from collections.abc import Sequence
from hashlib import blake2b

from pumicedeck.agent_loads import AgentLoad

LOAD_BOUND = 1.25
HINTED_PREFIXES = 4096
HASH_CACHE = 8192
_MASK = (1 << 64) - 1


def _digest(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def _mixed(value: int) -> int:
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


class RendezvousHash:
    """Ranks endpoints for a prefix so that every process ranks them alike."""

    def __init__(self) -> None:
        """Start with an empty cache of hashes."""
        self._cache: OrderedDict[str, int] = OrderedDict()

    def score(self, prefix: str, endpoint: str) -> int:
        """Return the rank of an endpoint for a prefix; the highest is first."""
        return _mixed(self._hash(prefix) ^ self._hash(endpoint))

    def _hash(self, text: str) -> int:
        found = self._cache.get(text)
        if found is None:
            found = self._cache[text] = _digest(text)
            if len(self._cache) > HASH_CACHE:
                self._cache.popitem(last=False)
        return found


class PrefixAffinity:
    """Names the agents that probably hold a prefix."""

    def __init__(self) -> None:
        """Start without hints."""
        self._rendezvous = RendezvousHash()
        self._hints: OrderedDict[str, set[str]] = OrderedDict()

    def record_cache_event(self, agent: str, prefix: str, cached: bool) -> None:
        """Take in a cache event, which may be late or wrong."""
        agents = self._hints.setdefault(prefix, set())
        self._hints.move_to_end(prefix)
        (agents.add if cached else agents.discard)(agent)
        if len(self._hints) > HINTED_PREFIXES:
            self._hints.popitem(last=False)

    def remove_agent(self, agent: str) -> None:
        """Drop the hints about an agent that is gone."""
        for agents in self._hints.values():
            agents.discard(agent)

    def hinted(self, prefix: str) -> set[str]:
        """Return the agents that said they hold the prefix."""
        return self._hints.get(prefix, set())

    def preferred(self, prefix: str, loads: Sequence[AgentLoad]) -> AgentLoad | None:
        """Return the first agent in rendezvous order whose load is within the bound."""
        if not prefix or not loads:
            return None
        total = sum(each.requests for each in loads) + 1
        slots = sum(each.slots for each in loads)
        bound = LOAD_BOUND * total / slots
        within = [each for each in loads if each.requests <= max(1.0, bound * each.slots)]
        return max(
            within or loads,
            key=lambda each: self._rendezvous.score(prefix, each.candidate.endpoint.name),
        )
