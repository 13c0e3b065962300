"""Interface and registry of the routers, which choose an agent for a request; free of I/O."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from pumicedeck.catalogue_entries import CatalogueEntry
from pumicedeck.messages import LoadReport
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import Endpoint, FailureDomain

ROUTERS: dict[str, type["Router"]] = {}


def router(name: str) -> Callable[[type["Router"]], type["Router"]]:
    """Register a router class under the name by which settings select it."""

    def register(cls: type["Router"]) -> type["Router"]:
        ROUTERS[name] = cls
        return cls

    return register


@dataclass(frozen=True, slots=True)
class Candidate:
    """An agent with a live session; `agent` is its incarnation, `vm/number`."""

    agent: str
    endpoint: Endpoint
    failure_domain: FailureDomain
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """The properties of a request by which a router chooses; `excluded` are agents already tried.

    `payload_bytes` counts the request and its expected answer; if 0, the router estimates it.
    """

    entry: CatalogueEntry
    expected_tokens: int
    prefix: str = ""
    excluded: tuple[str, ...] = ()
    payload_bytes: int = 0


class Router(ABC):
    """Tracks the candidates and their load, and chooses one for each request."""

    def __init__(self, home: FailureDomain, seed: int = 0) -> None:
        """Create a router without candidates for a process in failure domain `home`."""
        self._home = home
        self._seed = seed
        self._candidates: dict[str, Candidate] = {}

    @property
    def paid_bytes(self) -> dict[str, int]:
        """Return the bytes sent over paid links, by firm; empty if the router counts none."""
        return {}

    def add(self, now: float, candidate: Candidate) -> None:
        """Add an agent to the candidates."""
        self._candidates[candidate.agent] = candidate

    def remove(self, now: float, agent: str) -> None:
        """Remove an agent whose session was lost or which is leaving from the candidates."""
        self._candidates.pop(agent, None)

    @abstractmethod
    def choose(self, now: float, query: RouteQuery) -> Result[str, Failure]:
        """Return the incarnation of the agent to try; fails with NO_ENDPOINT or OVERLOADED."""

    def dispatched(self, now: float, agent: str, query: RouteQuery) -> None:
        """Record a dispatch, which the agent's next load report may not include yet."""

    def finished(self, now: float, agent: str, query: RouteQuery, code: ResultCode) -> None:
        """Record the end of a dispatch; its result code reflects the agent's health."""

    def reported(self, now: float, agent: str, load: LoadReport) -> None:
        """Record a load report."""

    def _eligible(self, query: RouteQuery) -> list[Candidate]:
        return [
            each
            for each in self._candidates.values()
            if each.endpoint.pool in query.entry.pools and each.agent not in query.excluded
        ]


@router("round_robin")
class RoundRobinRouter(Router):
    """Chooses eligible agents in turn; a baseline."""

    def __init__(self, home: FailureDomain, seed: int = 0) -> None:
        """Create a router whose first position in the turn is derived from `seed`."""
        super().__init__(home, seed)
        self._counter = seed

    def choose(self, now: float, query: RouteQuery) -> Result[str, Failure]:
        """Return the next eligible agent; fails with NO_ENDPOINT if there is none."""
        eligible = self._eligible(query)
        if not eligible:
            return Err(Failure(ResultCode.NO_ENDPOINT, query.entry.name, 1.0))
        self._counter += 1
        return Ok(eligible[self._counter % len(eligible)].agent)
