"""A trial: routing by virtual request counts per prefix, after the VIP framework."""

from collections import OrderedDict

from result import Ok, Result

from pumicedeck.agent_loads import AgentLoad
from pumicedeck.load_routers import ExpectedWaitRouter
from pumicedeck.results import Failure
from pumicedeck.routers import RouteQuery, router
from pumicedeck.world import FailureDomain, Link

COUNTED_PREFIXES = 4096
SLOT_SECONDS = 1.0
CACHED_PREFIXES = 16
DRAIN_PER_SECOND = 0.5


class VirtualCounts:
    """Virtual requests that each agent holds per prefix; the caches and services drain them.

    A prefix counts as cached at the agents where its count is among the highest, and is drained
    faster there. Requests follow the largest difference to the count of the process itself.
    """

    def __init__(self) -> None:
        """Start with no counts."""
        self._own: OrderedDict[str, float] = OrderedDict()
        self._at: dict[str, dict[str, float]] = {}
        self._updated = 0.0

    def arrived(self, now: float, prefix: str) -> None:
        """Count a request for a prefix."""
        self._own[prefix] = self._own.get(prefix, 0.0) + 1.0
        self._own.move_to_end(prefix)
        if len(self._own) > COUNTED_PREFIXES:
            gone, _ = self._own.popitem(last=False)
            for counts in self._at.values():
                counts.pop(gone, None)
        if now - self._updated >= SLOT_SECONDS:
            self._drain(now - self._updated)
            self._updated = now

    def forwarded(self, prefix: str, agent: str) -> None:
        """Move one virtual request to an agent."""
        counts = self._at.setdefault(agent, {})
        counts[prefix] = counts.get(prefix, 0.0) + 1.0
        self._own[prefix] = max(0.0, self._own.get(prefix, 0.0) - 1.0)

    def remove_agent(self, agent: str) -> None:
        """Drop the counts of an agent that is gone."""
        self._at.pop(agent, None)

    def caches(self, prefix: str, agent: str) -> bool:
        """Tell whether the prefix is among the most wanted of an agent."""
        counts = self._at.get(agent, {})
        count = counts.get(prefix, 0.0)
        if count <= 0.0:
            return False
        return sum(each > count for each in counts.values()) < CACHED_PREFIXES

    def _drain(self, seconds: float) -> None:
        keep = max(0.0, 1.0 - DRAIN_PER_SECOND * seconds / CACHED_PREFIXES)
        for agent, counts in self._at.items():
            kept = {prefix: count * keep for prefix, count in counts.items()}
            self._at[agent] = {prefix: count for prefix, count in kept.items() if count > 0.05}


@router("virtual_counts")
class VirtualCountRouter(ExpectedWaitRouter):
    """Prefers the agent that keeps the prefix by virtual counts in place of rendezvous order."""

    def __init__(self, home: FailureDomain, seed: int = 0, links: tuple[Link, ...] = ()) -> None:
        """Route from `home` over `links`."""
        super().__init__(home, seed, links)
        self._counts = VirtualCounts()

    def remove(self, now: float, agent: str) -> None:
        """Take an agent out of the choice."""
        super().remove(now, agent)
        self._counts.remove_agent(agent)

    def choose(self, now: float, query: RouteQuery) -> Result[str, Failure]:
        """Return the agent with the least expected cost; its cache is judged by the counts."""
        if query.prefix:
            self._counts.arrived(now, query.prefix)
        chosen = super().choose(now, query)
        if query.prefix and isinstance(chosen, Ok):
            self._counts.forwarded(query.prefix, chosen.ok_value)
        return chosen

    def _preferred(self, query: RouteQuery, loads: list[AgentLoad]) -> AgentLoad | None:
        holding = [
            each for each in loads if self._counts.caches(query.prefix, each.candidate.agent)
        ]
        if not query.prefix or not holding:
            return None
        return min(holding, key=lambda each: each.requests / each.slots)
