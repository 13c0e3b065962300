"""Finds the route of a request by host and longest path prefix, and its pool; performs no I/O.

Handles operators who move, split, add and remove routes in quick succession, up to many thousands
of routes: a look-up takes one step for each segment of the path.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from pumicedeck.accounts.identities import AccountTable


class RouteKind(StrEnum):
    """The kind of requests on a route, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    SUBMISSION = "submission"


@dataclass(frozen=True, slots=True)
class PoolShare:
    """A pool of endpoints and its weight among the pools of a route."""

    pool: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """One route; times are in seconds.

    `longest_wait` is how long a caller may be kept waiting; `latency_objective` is the time within
    which an answer counts fully. For submissions, `results_due_seconds` is the time in
    which all results are needed, `give_up_seconds` the time after which an item may be dropped. A
    request on a route that `is_public` needs no key of a client account.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    pools: tuple[PoolShare, ...]
    longest_wait: float = 30.0
    latency_objective: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    results_due_seconds: float = 0.0
    give_up_seconds: float = 0.0
    single_version: bool = False
    is_public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once; only idempotent ones may."""
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Pool:
    """Settings of a pool of endpoints; `max_connections` limits the connections of all callers."""

    name: str
    max_connections: int
    slots: int = 0
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests and connections; times are in seconds."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(frozen=True)
class RouteTable:
    """One version of the operators' configuration: routes, pools, limits and client accounts.

    `accounts` is None if the configuration has none: then no request needs a key.
    `resumable_pools` are the pools of the routes whose streams callers may resume.
    """

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    limits: CallerLimits | None = None
    accounts: AccountTable | None = None
    resumable_pools: frozenset[str] = field(init=False, repr=False, compare=False)
    _by_host: dict[str, dict[str, Route]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the routes by host and path prefix."""
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        object.__setattr__(self, "_by_host", by_host)
        resumable = [route for route in self.routes if route.resumable]
        pools = frozenset(share.pool for route in resumable for share in route.pools)
        object.__setattr__(self, "resumable_pools", pools)

    @property
    def key_conflicts(self) -> tuple[tuple[str, str], ...]:
        """Return the names of accounts that list the same key, as in `AccountTable`."""
        return () if self.accounts is None else self.accounts.key_conflicts

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if no prefix matches.

        Prefixes begin and end with a slash.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_named(self, name: str) -> Route | None:
        """Return the route with a name, None if there is none."""
        return next((route for route in self.routes if route.name == name), None)


def choose_pool(
    route: Route, random: Random, is_available: Callable[[str], bool] = lambda pool: True
) -> str:
    """Choose a pool of a route at random by weight; the first pool if no weight is positive.

    If the chosen pool is not available, one of the available others with a positive weight is
    chosen in its place. An unavailable pool is returned only if there are none.
    """
    if len(route.pools) == 1:
        return route.pools[0].pool
    chosen = _draw(route.pools, random)
    if is_available(chosen):
        return chosen
    others = [
        share
        for share in route.pools
        if share.pool != chosen and share.weight > 0 and is_available(share.pool)
    ]
    return _draw(others, random) if others else chosen


def _draw(shares: Sequence[PoolShare], random: Random) -> str:
    weights = [share.weight for share in shares]
    if sum(weights) <= 0:
        return shares[0].pool
    return random.choices(shares, weights)[0].pool
