"""Routers that compare agents by load: two baselines and the choice by expected wait."""

import random

from result import Err, Ok, Result

from pumicedeck.agent_loads import AgentLoad
from pumicedeck.messages import LoadReport
from pumicedeck.network_costs import NetworkCosts
from pumicedeck.outliers import OutlierDetector
from pumicedeck.prefix_affinities import LOAD_BOUND, PrefixAffinity
from pumicedeck.results import Failure, ResultCode
from pumicedeck.routers import ROUTERS, Candidate, RouteQuery, Router, router
from pumicedeck.world import FailureDomain, Link

RANDOM_CHOICES = 2
PREFIX_GAIN_SECONDS = 0.25
LEAST_PAUSE_SECONDS = 0.25
LONGEST_PAUSE_SECONDS = 2.0
PAUSE_FRACTION = 1 / 16
NO_ENDPOINT_RETRY_SECONDS = 1.0
LEAVING_SECONDS = 30.0
PAUSES_KEPT = 4096
REFUSALS = frozenset({ResultCode.OVERLOADED, ResultCode.QUEUE_TIMEOUT, ResultCode.RATE_LIMITED})


class LoadRouter(Router):
    """Keeps an estimate of each agent's load."""

    def __init__(self, home: FailureDomain, seed: int = 0, links: tuple[Link, ...] = ()) -> None:
        """Route from `home` over `links`."""
        super().__init__(home, seed)
        self._random = random.Random(seed)
        self._loads: dict[str, AgentLoad] = {}
        self._costs = NetworkCosts(home, links)

    @property
    def paid_bytes(self) -> dict[str, int]:
        """Return the estimated paid bytes by firm."""
        return self._costs.paid_bytes

    def add(self, now: float, candidate: Candidate) -> None:
        """Take an agent into the choice."""
        super().add(now, candidate)
        self._loads[candidate.agent] = AgentLoad(candidate)

    def remove(self, now: float, agent: str) -> None:
        """Take an agent out of the choice."""
        super().remove(now, agent)
        self._loads.pop(agent, None)

    def dispatched(self, now: float, agent: str, query: RouteQuery) -> None:
        """Count a dispatch that the next load report may not show yet."""
        load = self._loads.get(agent)
        if load is None:
            return
        load.add(query, 1)
        self._costs.count(load.candidate.failure_domain, query)

    def finished(self, now: float, agent: str, query: RouteQuery, code: ResultCode) -> None:
        """Count the end of a dispatch."""
        load = self._loads.get(agent)
        if load is not None and load.own_work.requests:
            load.add(query, -1)

    def reported(self, now: float, agent: str, load: LoadReport) -> None:
        """Take in a load report."""
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
    """Takes the agent with the fewest outstanding requests of this process; a baseline."""

    def choose(self, now: float, query: RouteQuery) -> Result[str, Failure]:
        """Return an agent with the fewest own outstanding requests."""
        loads = self._eligible_loads(query)
        if not loads:
            return _no_endpoint(query)
        least = min(each.own_work.requests for each in loads)
        tied = [each for each in loads if each.own_work.requests == least]
        return Ok(self._random.choice(tied).candidate.agent)


@router("two_choices")
class TwoChoicesRouter(LoadRouter):
    """Takes the less loaded of two random agents by report and own dispatches; a baseline."""

    def choose(self, now: float, query: RouteQuery) -> Result[str, Failure]:
        """Return the less loaded of two agents drawn at random."""
        loads = self._eligible_loads(query)
        if not loads:
            return _no_endpoint(query)
        pair = self._sample(loads, RANDOM_CHOICES)
        return Ok(min(pair, key=lambda each: each.tokens / each.slots).candidate.agent)


@router("expected_wait")
class ExpectedWaitRouter(LoadRouter):
    """Compares a few agents by expected time, network cost and prefix-cache gain."""

    def __init__(self, home: FailureDomain, seed: int = 0, links: tuple[Link, ...] = ()) -> None:
        """Route from `home` over `links`."""
        super().__init__(home, seed, links)
        self._outliers = OutlierDetector()
        self._affinity = PrefixAffinity()
        self._pauses: dict[tuple[str, str], float] = {}

    def add(self, now: float, candidate: Candidate) -> None:
        """Take an agent into the choice."""
        super().add(now, candidate)
        self._outliers.add(candidate.agent)

    def remove(self, now: float, agent: str) -> None:
        """Take an agent out of the choice."""
        super().remove(now, agent)
        self._outliers.remove(agent)
        self._affinity.remove_agent(agent)

    def cache_reported(self, now: float, agent: str, prefix: str, held: bool) -> None:
        """Take in a cache event as a hint."""
        if agent in self._loads:
            self._affinity.record_cache_event(agent, prefix, held)

    def choose(self, now: float, query: RouteQuery) -> Result[str, Failure]:
        """Return the agent with the least expected cost among a few."""
        eligible = self._eligible_loads(query)
        if not eligible:
            return _no_endpoint(query)
        open_loads = [each for each in eligible if not self._paused(now, each, query)]
        if not open_loads:
            return self._overloaded(now, eligible, query)
        loads = [each for each in open_loads if self._admitted(now, each)] or open_loads
        local = [each for each in loads if self._costs.local(each.candidate.failure_domain)]
        remote = [each for each in loads if not self._costs.local(each.candidate.failure_domain)]
        best = self._best(local, query)
        if best is None or self._worth_leaving(best, remote, query):
            best = self._cheaper(best, self._best(remote, query), query)
        return Ok(best.candidate.agent)

    def finished(self, now: float, agent: str, query: RouteQuery, code: ResultCode) -> None:
        """Count the end of a dispatch and what it says about the agent's health."""
        super().finished(now, agent, query, code)
        self._outliers.attempt_ended(now, agent, code)
        if code in REFUSALS:
            self._pause(now, agent, query, self._refusal_pause(query))
        elif code is ResultCode.ENDPOINT_LEAVING:
            self._pause(now, agent, query, LEAVING_SECONDS)

    def reported(self, now: float, agent: str, load: LoadReport) -> None:
        """Take in a load report."""
        super().reported(now, agent, load)
        if agent in self._loads:
            self._outliers.rate_reported(now, agent, load.service_rate / self._loads[agent].slots)

    def _admitted(self, now: float, load: AgentLoad) -> bool:
        weight = self._outliers.weight(now, load.candidate.agent)
        return weight >= 1.0 or self._random.random() < weight

    def _best(self, loads: list[AgentLoad], query: RouteQuery) -> AgentLoad | None:
        if not loads:
            return None
        compared = self._sample(loads, RANDOM_CHOICES)
        preferred = self._preferred(query, loads)
        if preferred is not None and preferred not in compared:
            compared = [*compared, preferred]
        return min(compared, key=lambda each: self._cost(each, query, each is preferred))

    def _preferred(self, query: RouteQuery, loads: list[AgentLoad]) -> AgentLoad | None:
        return self._affinity.preferred(query.prefix, loads)

    def _cost(self, load: AgentLoad, query: RouteQuery, preferred: bool) -> float:
        network = self._costs.cost(load.candidate.failure_domain, query)
        cost = load.expected_time(query) + network.delay + network.paid
        hinted = query.prefix and load.candidate.agent in self._affinity.hinted(query.prefix)
        return cost / LOAD_BOUND - PREFIX_GAIN_SECONDS if preferred or hinted else cost

    def _worth_leaving(self, best: AgentLoad, remote: list[AgentLoad], query: RouteQuery) -> bool:
        if not remote:
            return False
        network = self._costs.cost(remote[0].candidate.failure_domain, query)
        return best.expected_wait(query) > network.delay + network.paid

    def _cheaper(
        self, first: AgentLoad | None, second: AgentLoad | None, query: RouteQuery
    ) -> AgentLoad:
        found = [each for each in (first, second) if each is not None]
        return min(found, key=lambda each: self._cost(each, query, False))

    def _key(self, agent: str, query: RouteQuery) -> tuple[str, str]:
        return agent, query.entry.name

    def _pause(self, now: float, agent: str, query: RouteQuery, seconds: float) -> None:
        if len(self._pauses) >= PAUSES_KEPT:
            self._pauses = {key: until for key, until in self._pauses.items() if until > now}
        self._pauses[self._key(agent, query)] = now + seconds

    def _refusal_pause(self, query: RouteQuery) -> float:
        seconds = query.entry.limits.queue_seconds * PAUSE_FRACTION
        bounded = min(max(seconds, LEAST_PAUSE_SECONDS), LONGEST_PAUSE_SECONDS)
        return bounded * self._random.uniform(0.5, 1.5)

    def _paused(self, now: float, load: AgentLoad, query: RouteQuery) -> bool:
        return self._pauses.get(self._key(load.candidate.agent, query), now) > now

    def _overloaded(
        self, now: float, loads: list[AgentLoad], query: RouteQuery
    ) -> Result[str, Failure]:
        first = min(self._pauses[self._key(each.candidate.agent, query)] for each in loads)
        return Err(Failure(ResultCode.OVERLOADED, "all agents refused lately", first - now))


def build_router(
    name: str, home: FailureDomain, seed: int = 0, links: tuple[Link, ...] = ()
) -> Router:
    """Build the router called `name`."""
    cls = ROUTERS[name]
    return cls(home, seed, links) if issubclass(cls, LoadRouter) else cls(home, seed)
