"""Routers choose an agent for a request; free of I/O."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from pumicedeck.catalogue_entries import CatalogueEntry
from pumicedeck.messages import LoadReport
from pumicedeck.results import Failure, ResultCode
from pumicedeck.world import Endpoint, FailureDomain

ROUTERS: dict[str, type["Router"]] = {}


def router(name: str) -> Callable[[type["Router"]], type["Router"]]:
    """Register a router class under the name that settings use."""

    def register(cls: type["Router"]) -> type["Router"]:
        ROUTERS[name] = cls
        return cls

    return register


@dataclass(frozen=True, slots=True)
class Candidate:
    """An agent with a live session; `agent` is its incarnation as `vm/number`."""

    agent: str
    endpoint: Endpoint
    failure_domain: FailureDomain
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """What a router knows of the request it places; `excluded` are agents already tried.

    `payload_bytes` counts request and expected answer; 0 lets the router estimate it.
    """

    entry: CatalogueEntry
    expected_tokens: int
    prefix: str = ""
    excluded: tuple[str, ...] = ()
    payload_bytes: int = 0


class Router(ABC):
    """Keeps the candidates and their load, and chooses among them."""

    def __init__(self, home: FailureDomain, seed: int = 0) -> None:
        """Route on behalf of a process in failure domain `home`."""
        self._home = home
        self._seed = seed
        self._candidates: dict[str, Candidate] = {}

    @property
    def paid_bytes(self) -> dict[str, int]:
        """Return the bytes sent over paid links, by firm; none where they are not counted."""
        return {}

    def add(self, now: float, candidate: Candidate) -> None:
        """Take an agent into the choice."""
        self._candidates[candidate.agent] = candidate

    def remove(self, now: float, agent: str) -> None:
        """Take an agent out of the choice: session lost or leaving."""
        self._candidates.pop(agent, None)

    @abstractmethod
    def choose(self, now: float, query: RouteQuery) -> Result[str, Failure]:
        """Return the incarnation of the agent to try; NO_ENDPOINT or OVERLOADED on failure."""

    def dispatched(self, now: float, agent: str, query: RouteQuery) -> None:
        """Count a dispatch that the next load report may not show yet."""

    def finished(self, now: float, agent: str, query: RouteQuery, code: ResultCode) -> None:
        """Count the end of a dispatch and what it says about the agent's health."""

    def reported(self, now: float, agent: str, load: LoadReport) -> None:
        """Take in a load report."""

    def _eligible(self, query: RouteQuery) -> list[Candidate]:
        return [
            each
            for each in self._candidates.values()
            if each.endpoint.pool in query.entry.pools and each.agent not in query.excluded
        ]


@router("round_robin")
class RoundRobinRouter(Router):
    """Takes eligible agents in turn; a baseline."""

    def __init__(self, home: FailureDomain, seed: int = 0) -> None:
        """Start with the first candidate."""
        super().__init__(home, seed)
        self._turn = seed

    def choose(self, now: float, query: RouteQuery) -> Result[str, Failure]:
        """Return the next eligible agent."""
        eligible = self._eligible(query)
        if not eligible:
            return Err(Failure(ResultCode.NO_ENDPOINT, query.entry.name, 1.0))
        self._turn += 1
        return Ok(eligible[self._turn % len(eligible)].agent)
