"""Endpoints that are called without an agent: what is known of each, and which one to use.

Free of I/O. Answers a steady load on endpoints of unlike speed in several failure domains, some of
which slow down, fill up, crash or go silent: a call goes to the endpoint with the least expected
wait, near ones first, and one that failed lately is tried last.
"""

from dataclasses import dataclass, field
from random import Random

from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.world import Address, FailureDomain

FAILURE_COOL_SECONDS = 2.0
REFUSAL_COOL_SECONDS = 0.15
SLOWEST_COOL_SECONDS = 8.0
DOMAIN_PENALTY = 0.35
REGION_PENALTY = 1.5
LATENCY_WEIGHT = 0.2
LOAD_FRESH_SECONDS = 1.0


def version_in(models: tuple[LoadedModel, ...], model: str) -> int:
    """Return the weight version of a model among `models`, 0 if it is not there."""
    return next((each.version for each in models if each.model == model), 0)


@dataclass(frozen=True, slots=True)
class DirectEndpoint:
    """An endpoint as it registered itself; `born` tells one run of it from the next."""

    name: str
    pool: str
    address: Address
    failure_domain: FailureDomain
    slots: int
    draining: bool = False
    incarnation: int = 0
    models: tuple[LoadedModel, ...] = ()

    def version_of(self, model: str) -> int:
        """Return the weight version of a model, 0 if it is not there."""
        return version_in(self.models, model)


@dataclass(slots=True)
class EndpointState:
    """What calls have shown of an endpoint; times in seconds of the injected clock."""

    endpoint: DirectEndpoint
    in_flight: int = 0
    reported_waiting: int = 0
    reported_running: int = 0
    reported_at: float = -1e9
    latency: float = 0.0
    failures: int = 0
    avoid_until: float = 0.0

    def load(self, now: float) -> float:
        """Return the work per slot: own calls, and those of others while the report is fresh."""
        busy = float(self.in_flight)
        if now - self.reported_at < LOAD_FRESH_SECONDS:
            busy = max(busy, self.reported_running + self.reported_waiting)
        return busy / max(1, self.endpoint.slots)


@dataclass(slots=True)
class EndpointDirectory:
    """All endpoints that may be called now."""

    home: FailureDomain
    random: Random
    _states: dict[str, EndpointState] = field(default_factory=dict)

    @property
    def endpoints(self) -> tuple[DirectEndpoint, ...]:
        """Return every endpoint, draining ones too."""
        return tuple(state.endpoint for state in self._states.values())

    def state(self, name: str) -> EndpointState | None:
        """Return what is known of an endpoint."""
        return self._states.get(name)

    def update(self, endpoint: DirectEndpoint) -> None:
        """Take in an entry; a new run of the same endpoint starts with a clean record."""
        state = self._states.get(endpoint.name)
        known = state.endpoint if state is not None else None
        if (
            known is None
            or known.incarnation != endpoint.incarnation
            or known.address != endpoint.address
        ):
            self._states[endpoint.name] = EndpointState(endpoint)
        else:
            state.endpoint = endpoint

    def remove(self, name: str) -> None:
        """Forget an endpoint that is gone."""
        self._states.pop(name, None)

    def usable(self, pool: str) -> list[EndpointState]:
        """Return the endpoints of a pool that take new work."""
        return [
            state
            for state in self._states.values()
            if state.endpoint.pool == pool and not state.endpoint.draining
        ]

    def choose(self, pool: str, tried: tuple[str, ...], now: float) -> EndpointState | None:
        """Return the best endpoint that was not tried yet."""
        candidates = [s for s in self.usable(pool) if s.endpoint.name not in tried]
        if not candidates:
            return None
        return min(candidates, key=lambda state: self._cost(state, now))

    def call_started(self, name: str) -> None:
        """Count a call."""
        state = self._states.get(name)
        if state is not None:
            state.in_flight += 1

    def call_ended(self, endpoint: DirectEndpoint) -> None:
        """Uncount a call of this run of the endpoint."""
        state = self._states.get(endpoint.name)
        if state is not None and state.endpoint.incarnation == endpoint.incarnation:
            state.in_flight = max(0, state.in_flight - 1)

    def record_load(self, name: str, running: int, waiting: int, now: float) -> None:
        """Take in the load that an endpoint told with an answer."""
        state = self._states.get(name)
        if state is not None:
            state.reported_running = running
            state.reported_waiting = waiting
            state.reported_at = now

    def succeeded(self, name: str, seconds: float) -> None:
        """Take in how long an answer took."""
        state = self._states.get(name)
        if state is None:
            return
        state.failures = 0
        state.avoid_until = 0.0
        weight = LATENCY_WEIGHT if state.latency else 1.0
        state.latency += weight * (seconds - state.latency)

    def record_failure(self, name: str, now: float) -> None:
        """Avoid an endpoint for a while, longer each time."""
        state = self._states.get(name)
        if state is not None:
            cool = min(SLOWEST_COOL_SECONDS, FAILURE_COOL_SECONDS * 2**state.failures)
            state.failures += 1
            state.avoid_until = now + cool

    def record_refusal(self, name: str, now: float) -> None:
        """Avoid an endpoint that was full for a moment."""
        state = self._states.get(name)
        if state is not None:
            state.avoid_until = max(state.avoid_until, now + REFUSAL_COOL_SECONDS)

    def _cost(self, state: EndpointState, now: float) -> tuple[bool, float]:
        domain = state.endpoint.failure_domain
        distance = 0.0
        if domain.region != self.home.region:
            distance = REGION_PENALTY
        elif domain.name != self.home.name:
            distance = DOMAIN_PENALTY
        # Twice the usual latency weighs as much as a slot's worth of work.
        slow = state.latency * 4.0
        return (
            now < state.avoid_until,
            distance + state.load(now) + slow + self.random.random() * 0.1,
        )
