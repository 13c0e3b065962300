"""Routers that choose an agent by load: two baselines and one that compares expected time."""

import random

from result import Err, Ok, Result

from pumicedeck.agent_loads import AgentLoad
from pumicedeck.messages import LoadReport
from pumicedeck.network_costs import NetworkCosts
from pumicedeck.outliers import OutlierDetector
from pumicedeck.prefix_affinities import LOAD_BOUND, PrefixAffinity
from pumicedeck.results import Failure, ResultCode
from pumicedeck.routers import ROUTERS, Candidate, RouteQuery, Router, router
from pumicedeck.topology import FailureDomain, Link

COMPARED_AGENTS = 2
PREFIX_GAIN_SECONDS = 0.25
MIN_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 2.0
PAUSE_QUEUE_TIME_FRACTION = 1 / 16
NO_ENDPOINT_RETRY_SECONDS = 1.0
LEAVING_PAUSE_SECONDS = 30.0
MAX_PAUSES = 4096
REFUSAL_CODES = frozenset(
    {ResultCode.OVERLOADED, ResultCode.QUEUE_TIMEOUT, ResultCode.RATE_LIMITED}
)


class LoadRouter(Router):
    """Base class of routers that estimate each agent's load."""

    def __init__(self, home: FailureDomain, seed: int = 0, links: tuple[Link, ...] = ()) -> None:
        """Create a router without candidates in failure domain `home`.

        `links` are the network links between regions; `seed` seeds the random choices.
        """
        super().__init__(home, seed)
        self._random = random.Random(seed)
        self._loads: dict[str, AgentLoad] = {}
        self._costs = NetworkCosts(home, links)

    @property
    def paid_bytes(self) -> dict[str, int]:
        """Return the estimated bytes sent over paid links, by firm."""
        return self._costs.paid_bytes

    def add(self, now: float, candidate: Candidate) -> None:
        """Add an agent to the candidates."""
        super().add(now, candidate)
        self._loads[candidate.agent] = AgentLoad(candidate)

    def remove(self, now: float, agent: str) -> None:
        """Remove an agent from the candidates and drop its load."""
        super().remove(now, agent)
        self._loads.pop(agent, None)

    def dispatched(self, now: float, agent: str, query: RouteQuery) -> None:
        """Add a dispatch to the agent's estimated load and count its paid bytes."""
        load = self._loads.get(agent)
        if load is None:
            return
        load.add(query, 1)
        self._costs.count_paid_bytes(load.candidate.failure_domain, query)

    def finished(self, now: float, agent: str, query: RouteQuery, code: ResultCode) -> None:
        """Subtract an ended dispatch from the agent's estimated load."""
        load = self._loads.get(agent)
        if load is not None and load.own_work.requests:
            load.add(query, -1)

    def reported(self, now: float, agent: str, load: LoadReport) -> None:
        """Apply a load report to the agent's estimated load."""
        if agent in self._loads:
            self._loads[agent].apply_report(load)

    def _eligible_loads(self, query: RouteQuery) -> list[AgentLoad]:
        loads = (self._loads[each.agent] for each in self._eligible(query))
        return [each for each in loads if each.report.accepting]

    def _sample(self, loads: list[AgentLoad], count: int) -> list[AgentLoad]:
        return self._random.sample(loads, min(count, len(loads)))


def _no_endpoint(query: RouteQuery) -> Result[str, Failure]:
    return Err(Failure(ResultCode.NO_ENDPOINT, query.entry.name, NO_ENDPOINT_RETRY_SECONDS))


@router("least_outstanding")
class LeastOutstandingRouter(LoadRouter):
    """Chooses the agent with the fewest outstanding requests of this process; a baseline."""

    def choose(self, now: float, query: RouteQuery) -> Result[str, Failure]:
        """Return an agent with the fewest outstanding requests of this process."""
        loads = self._eligible_loads(query)
        if not loads:
            return _no_endpoint(query)
        least = min(each.own_work.requests for each in loads)
        tied = [each for each in loads if each.own_work.requests == least]
        return Ok(self._random.choice(tied).candidate.agent)


@router("two_choices")
class TwoChoicesRouter(LoadRouter):
    """A baseline: chooses the less loaded of two random agents, by reports and dispatches."""

    def choose(self, now: float, query: RouteQuery) -> Result[str, Failure]:
        """Return the agent with fewer tokens per slot of two drawn at random."""
        loads = self._eligible_loads(query)
        if not loads:
            return _no_endpoint(query)
        pair = self._sample(loads, COMPARED_AGENTS)
        return Ok(min(pair, key=lambda each: each.tokens / each.slots).candidate.agent)


@router("expected_wait")
class ExpectedWaitRouter(LoadRouter):
    """Compares a few agents by expected time, network cost and expected gain from prefix caches.

    Agents that fail or are slow are ejected for a while, and an agent that refused a request of an
    entry is skipped for that entry during a pause.
    """

    def __init__(self, home: FailureDomain, seed: int = 0, links: tuple[Link, ...] = ()) -> None:
        """Create a router without candidates in failure domain `home`; see `LoadRouter`."""
        super().__init__(home, seed, links)
        self._outliers = OutlierDetector()
        self._affinity = PrefixAffinity()
        self._pauses: dict[tuple[str, str], float] = {}

    def add(self, now: float, candidate: Candidate) -> None:
        """Add an agent to the candidates and track its health."""
        super().add(now, candidate)
        self._outliers.add(candidate.agent)

    def remove(self, now: float, agent: str) -> None:
        """Remove an agent from the candidates; drop its health and its prefix hints."""
        super().remove(now, agent)
        self._outliers.remove(agent)
        self._affinity.remove_agent(agent)

    def cache_reported(self, now: float, agent: str, prefix: str, is_cached: bool) -> None:
        """Record as a hint that an agent's cache gained or evicted a prefix."""
        if agent in self._loads:
            self._affinity.record_cache_event(agent, prefix, is_cached)

    def choose(self, now: float, query: RouteQuery) -> Result[str, Failure]:
        """Return the agent with the least expected cost among a few.

        Fails with NO_ENDPOINT if no agent is eligible, with OVERLOADED if all of them are paused.
        """
        eligible = self._eligible_loads(query)
        if not eligible:
            return _no_endpoint(query)
        unpaused = [each for each in eligible if not self._is_paused(now, each, query)]
        if not unpaused:
            return self._all_paused_failure(now, eligible, query)
        loads = [each for each in unpaused if self._passes_ejection(now, each)] or unpaused
        local = [
            each for each in loads if self._costs.is_in_home_region(each.candidate.failure_domain)
        ]
        remote = [
            each
            for each in loads
            if not self._costs.is_in_home_region(each.candidate.failure_domain)
        ]
        best = self._best(local, query)
        if best is None or self._wait_exceeds_network_cost(best, remote, query):
            best = self._cheaper(best, self._best(remote, query), query)
        return Ok(best.candidate.agent)

    def finished(self, now: float, agent: str, query: RouteQuery, code: ResultCode) -> None:
        """Update load and health from an ended dispatch; a refusal pauses the agent."""
        super().finished(now, agent, query, code)
        self._outliers.attempt_ended(now, agent, code)
        if code in REFUSAL_CODES:
            self._pause(now, agent, query, self._refusal_pause(query))
        elif code is ResultCode.ENDPOINT_LEAVING:
            self._pause(now, agent, query, LEAVING_PAUSE_SECONDS)

    def reported(self, now: float, agent: str, load: LoadReport) -> None:
        """Apply a load report to the agent's estimated load and to its health."""
        super().reported(now, agent, load)
        if agent in self._loads:
            self._outliers.rate_reported(now, agent, load.service_rate / self._loads[agent].slots)

    def _passes_ejection(self, now: float, load: AgentLoad) -> bool:
        """Return whether the agent takes part in this choice, drawn by its outlier weight."""
        weight = self._outliers.weight(now, load.candidate.agent)
        return weight >= 1.0 or self._random.random() < weight

    def _best(self, loads: list[AgentLoad], query: RouteQuery) -> AgentLoad | None:
        if not loads:
            return None
        compared = self._sample(loads, COMPARED_AGENTS)
        preferred = self._preferred(query, loads)
        if preferred is not None and preferred not in compared:
            compared = [*compared, preferred]
        return min(compared, key=lambda each: self._cost(each, query, each is preferred))

    def _preferred(self, query: RouteQuery, loads: list[AgentLoad]) -> AgentLoad | None:
        return self._affinity.preferred(query.prefix, loads)

    def _cost(self, load: AgentLoad, query: RouteQuery, preferred: bool) -> float:
        """Return the expected cost in seconds, lowered if the agent probably caches the prefix."""
        network = self._costs.cost(load.candidate.failure_domain, query)
        cost = load.expected_time(query) + network.delay_seconds + network.paid_seconds
        hinted = query.prefix and load.candidate.agent in self._affinity.hinted_agents(query.prefix)
        return cost / LOAD_BOUND - PREFIX_GAIN_SECONDS if preferred or hinted else cost

    def _wait_exceeds_network_cost(
        self, best: AgentLoad, remote: list[AgentLoad], query: RouteQuery
    ) -> bool:
        if not remote:
            return False
        network = self._costs.cost(remote[0].candidate.failure_domain, query)
        return best.expected_wait(query) > network.delay_seconds + network.paid_seconds

    def _cheaper(
        self, first: AgentLoad | None, second: AgentLoad | None, query: RouteQuery
    ) -> AgentLoad:
        found = [each for each in (first, second) if each is not None]
        return min(found, key=lambda each: self._cost(each, query, False))

    def _pause_key(self, agent: str, query: RouteQuery) -> tuple[str, str]:
        return agent, query.entry.name

    def _pause(self, now: float, agent: str, query: RouteQuery, seconds: float) -> None:
        if len(self._pauses) >= MAX_PAUSES:
            self._pauses = {key: until for key, until in self._pauses.items() if until > now}
        self._pauses[self._pause_key(agent, query)] = now + seconds

    def _refusal_pause(self, query: RouteQuery) -> float:
        seconds = query.entry.limits.queue_seconds * PAUSE_QUEUE_TIME_FRACTION
        bounded = min(max(seconds, MIN_PAUSE_SECONDS), MAX_PAUSE_SECONDS)
        return bounded * self._random.uniform(0.5, 1.5)

    def _is_paused(self, now: float, load: AgentLoad, query: RouteQuery) -> bool:
        return self._pauses.get(self._pause_key(load.candidate.agent, query), now) > now

    def _all_paused_failure(
        self, now: float, loads: list[AgentLoad], query: RouteQuery
    ) -> Result[str, Failure]:
        earliest = min(self._pauses[self._pause_key(each.candidate.agent, query)] for each in loads)
        return Err(
            Failure(
                ResultCode.OVERLOADED,
                "all eligible agents refused recently and are paused",
                earliest - now,
            )
        )


def build_router(
    name: str, home: FailureDomain, seed: int = 0, links: tuple[Link, ...] = ()
) -> Router:
    """Build the router registered under `name`; only load routers use `links`."""
    cls = ROUTERS[name]
    return cls(home, seed, links) if issubclass(cls, LoadRouter) else cls(home, seed)
