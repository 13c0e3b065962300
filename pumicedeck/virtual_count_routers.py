"""An experimental router that uses virtual request counts per prefix.

It follows the VIP (virtual interest packet) framework of named data networking.
"""

from collections import OrderedDict

from result import Ok, Result

from pumicedeck.agent_loads import AgentLoad
from pumicedeck.load_routers import ExpectedWaitRouter
from pumicedeck.results import Failure
from pumicedeck.routers import RouteQuery, router
from pumicedeck.topology import FailureDomain, Link

MAX_COUNTED_PREFIXES = 4096
DECAY_INTERVAL_SECONDS = 1.0
CACHED_PREFIXES_PER_AGENT = 16
DECAY_PER_SECOND = 0.5


class VirtualCounts:
    """Virtual request counts of each prefix, in this process and at each agent.

    A request adds to the process's count and moves to the chosen agent's count, which decays over
    time. A prefix is considered cached at an agent if its count is among the agent's highest.
    """

    def __init__(self) -> None:
        """Create empty counts."""
        self._local_counts: OrderedDict[str, float] = OrderedDict()
        self._agent_counts: dict[str, dict[str, float]] = {}
        self._updated_at = 0.0

    def record_request(self, now: float, prefix: str) -> None:
        """Count a request for a prefix and let the agents' counts decay."""
        self._local_counts[prefix] = self._local_counts.get(prefix, 0.0) + 1.0
        self._local_counts.move_to_end(prefix)
        if len(self._local_counts) > MAX_COUNTED_PREFIXES:
            evicted, _ = self._local_counts.popitem(last=False)
            for counts in self._agent_counts.values():
                counts.pop(evicted, None)
        if now - self._updated_at >= DECAY_INTERVAL_SECONDS:
            self._decay(now - self._updated_at)
            self._updated_at = now

    def record_dispatch(self, prefix: str, agent: str) -> None:
        """Move one virtual request from this process to an agent."""
        counts = self._agent_counts.setdefault(agent, {})
        counts[prefix] = counts.get(prefix, 0.0) + 1.0
        self._local_counts[prefix] = max(0.0, self._local_counts.get(prefix, 0.0) - 1.0)

    def remove_agent(self, agent: str) -> None:
        """Drop the counts of an agent that was removed."""
        self._agent_counts.pop(agent, None)

    def is_probably_cached(self, prefix: str, agent: str) -> bool:
        """Return whether the prefix's count is among the highest of an agent."""
        counts = self._agent_counts.get(agent, {})
        count = counts.get(prefix, 0.0)
        if count <= 0.0:
            return False
        return sum(each > count for each in counts.values()) < CACHED_PREFIXES_PER_AGENT

    def _decay(self, seconds: float) -> None:
        remaining_fraction = max(0.0, 1.0 - DECAY_PER_SECOND * seconds / CACHED_PREFIXES_PER_AGENT)
        for agent, counts in self._agent_counts.items():
            decayed = {prefix: count * remaining_fraction for prefix, count in counts.items()}
            self._agent_counts[agent] = {
                prefix: count for prefix, count in decayed.items() if count > 0.05
            }


@router("virtual_counts")
class VirtualCountRouter(ExpectedWaitRouter):
    """An ExpectedWaitRouter that prefers agents by virtual counts instead of rendezvous order."""

    def __init__(self, home: FailureDomain, seed: int = 0, links: tuple[Link, ...] = ()) -> None:
        """Create a router without candidates in failure domain `home`; see `LoadRouter`."""
        super().__init__(home, seed, links)
        self._counts = VirtualCounts()

    def remove(self, now: float, agent: str) -> None:
        """Remove an agent from the candidates and drop its counts."""
        super().remove(now, agent)
        self._counts.remove_agent(agent)

    def choose(self, now: float, query: RouteQuery) -> Result[str, Failure]:
        """Return the agent with the least expected cost, with caches estimated by the counts."""
        if query.prefix:
            self._counts.record_request(now, query.prefix)
        chosen = super().choose(now, query)
        if query.prefix and isinstance(chosen, Ok):
            self._counts.record_dispatch(query.prefix, chosen.ok_value)
        return chosen

    def _preferred(self, query: RouteQuery, loads: list[AgentLoad]) -> AgentLoad | None:
        caching = [
            each
            for each in loads
            if self._counts.is_probably_cached(query.prefix, each.candidate.agent)
        ]
        if not query.prefix or not caching:
            return None
        return min(caching, key=lambda each: each.requests / each.slots)
