"""The endpoints of one pool, with a sample of them for the choice of a call's endpoint.

Performs no I/O. The load is pools of thousands of endpoints and thousands of calls a second: a look
at each of 3,000 endpoints takes longer than the rest of a gateway's work for a call. Up to
`MAX_COMPARED_ENDPOINTS` endpoints are all compared.
"""

from collections.abc import Callable, Iterable
from random import Random

from pumicedeck.endpoint_states import LIMIT_RECHECK_SECONDS, EndpointState
from pumicedeck.topology import FailureDomain

MAX_COMPARED_ENDPOINTS = 64
# Of 16 endpoints of the own failure domain, one is nearly always among the least loaded; few others
# are compared, in case that domain is busy.
SAMPLED_BY_DISTANCE = (16, 8, 8)
# In calls per slot.
OTHER_DOMAIN_COST = 0.35
OTHER_REGION_COST = 1.5
# A latency of 0.25 s, twice the usual latency, costs as much as one call per slot.
COST_PER_SECOND = 4.0
# A permit for a limited endpoint costs a call to the store; others are chosen until they are busy.
LIMITED_COST = 1.0


class EndpointPool:
    """The endpoints of a pool by their order in the directory, and by their distance."""

    __slots__ = ("_by_distance", "_home", "_is_ordered", "_places", "_states")

    def __init__(self, home: FailureDomain) -> None:
        """Create an empty pool; `home` is the failure domain of this process."""
        self._home = home
        self._states: dict[str, EndpointState] = {}
        self._is_ordered = True
        self._by_distance: tuple[list[EndpointState], ...] = ([], [], [])
        self._places: dict[str, tuple[int, int]] = {}

    @property
    def states(self) -> Iterable[EndpointState]:
        """Return the states of the pool's endpoints in the order of the directory."""
        if not self._is_ordered:
            ordered = sorted(self._states.values(), key=lambda state: state.order)
            self._states = {state.endpoint.name: state for state in ordered}
            self._is_ordered = True
        return self._states.values()

    def add(self, state: EndpointState) -> None:
        """Add an endpoint that is not in the pool."""
        name = state.endpoint.name
        if self._states:
            last = next(reversed(self._states.values()))
            self._is_ordered = self._is_ordered and last.order < state.order
        self._states[name] = state
        distance = _distance(state, self._home)
        self._places[name] = (distance, len(self._by_distance[distance]))
        self._by_distance[distance].append(state)

    def remove(self, state: EndpointState) -> None:
        """Remove an endpoint of the pool."""
        name = state.endpoint.name
        del self._states[name]
        distance, place = self._places.pop(name)
        states = self._by_distance[distance]
        last = states.pop()
        if last is not state:
            states[place] = last
            self._places[last.endpoint.name] = (distance, place)

    def sample(self, random: Random) -> list[EndpointState] | None:
        """Return endpoints of each distance, drawn with `random`; None if the pool is small."""
        if len(self._states) <= MAX_COMPARED_ENDPOINTS:
            return None
        sample: dict[str, EndpointState] = {}
        for states, count in zip(self._by_distance, SAMPLED_BY_DISTANCE, strict=True):
            drawn = states
            if len(states) > count:
                drawn = [states[int(random.random() * len(states))] for _ in range(count)]
            sample.update((state.endpoint.name, state) for state in drawn)
        return list(sample.values())


def call_cost(
    state: EndpointState,
    home: FailureDomain,
    now: float,
    expected_wait: Callable[[str], float],
    random: Random,
) -> tuple[bool, float]:
    """Return a sort key of an endpoint for a call: avoided ones last, then in calls per slot."""
    distance_cost = (0.0, OTHER_DOMAIN_COST, OTHER_REGION_COST)[_distance(state, home)]
    latency_cost = state.latency * COST_PER_SECOND
    limit_cost = 0.0
    if state.request_limit is not None:
        limit_cost = expected_wait(state.endpoint.name) * COST_PER_SECOND
        if now - state.limit_named_at < LIMIT_RECHECK_SECONDS:
            limit_cost += LIMITED_COST
    return (
        state.is_avoided(now),
        distance_cost + state.load(now) + latency_cost + limit_cost + random.random() * 0.1,
    )


def _distance(state: EndpointState, home: FailureDomain) -> int:
    """Return 0 for the own failure domain, 1 for another one of the own region, otherwise 2."""
    domain = state.endpoint.failure_domain
    if domain.region != home.region:
        return 2
    return 0 if domain.name == home.name else 1
