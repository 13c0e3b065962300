"""Directory of the endpoints that are called without an agent; chooses one for each call.

Performs no I/O. Handles a steady load on endpoints of different speed in several failure domains,
some of which slow down, fill up, crash or go silent: a call goes to the endpoint with the lowest
expected wait, nearby endpoints first, and endpoints that failed recently are chosen last. One whose
connections were all lost soon gets a single trial call, as a circuit breaker does, and others once
it has answered.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from math import inf
from random import Random

from pumicedeck.backoffs import doubled_seconds
from pumicedeck.endpoint_pools import EndpointPool, call_cost
from pumicedeck.endpoint_states import (
    LIMIT_RECHECK_SECONDS,
    LOAD_REPORT_MAX_AGE_SECONDS,
    DirectEndpoint,
    EndpointState,
    SharedLimit,
    version_in,
)
from pumicedeck.topology import FailureDomain

__all__ = [
    "LIMIT_RECHECK_SECONDS",
    "LOAD_REPORT_MAX_AGE_SECONDS",
    "DirectEndpoint",
    "EndpointDirectory",
    "EndpointState",
    "SharedLimit",
    "version_in",
]

FIRST_FAILURE_BACKOFF_SECONDS = 2.0
REFUSAL_BACKOFF_SECONDS = 0.15
# A lost connection alone does not show that the endpoint is down; the next call soon will.
LOST_CONNECTIONS_BACKOFF_SECONDS = 0.3
MAX_FAILURE_BACKOFF_SECONDS = 8.0
LATENCY_SMOOTHING = 0.2
# The oldest are forgotten first; a fleet replaces far fewer endpoints at a time.
MAX_LEAVING_ENDPOINTS = 1000


@dataclass(slots=True)
class EndpointDirectory:
    """All registered endpoints with their states; `home` is this process's failure domain.

    With `avoids_failed` endpoints that failed or refused a call a short time ago are chosen last.
    Without `observes_limits` no endpoint counts as having a request limit, without
    `observes_software` all count as running the same software version.
    """

    home: FailureDomain
    random: Random
    avoids_failed: bool = True
    observes_limits: bool = True
    observes_software: bool = True
    _states: dict[str, EndpointState] = field(default_factory=dict)
    _leaving_incarnations: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _shared_limits: dict[str, SharedLimit] = field(default_factory=dict)
    _pools: dict[str, EndpointPool] = field(default_factory=dict)
    _listeners: list[Callable[[str], None]] = field(default_factory=list)
    _added: int = 0

    def watch(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the name of each endpoint that changes, other than in its load."""
        self._listeners.append(listener)

    def _announce(self, name: str) -> None:
        for listener in self._listeners:
            listener(name)

    @property
    def endpoints(self) -> tuple[DirectEndpoint, ...]:
        """Return all endpoints, including draining ones."""
        return tuple(state.endpoint for state in self._states.values())

    def state(self, name: str) -> EndpointState | None:
        """Return the state of an endpoint, None if it is not registered."""
        return self._states.get(name)

    def update(self, endpoint: DirectEndpoint) -> None:
        """Add or update an endpoint; a new incarnation or address starts with a fresh state.

        An incarnation that has said that it leaves stays draining, whatever its registration says.
        """
        if not self.observes_software:
            endpoint = replace(endpoint, software_version="")
        if self.is_leaving(endpoint):
            endpoint = replace(endpoint, draining=True)
        state = self._states.get(endpoint.name)
        known = state.endpoint if state is not None else None
        if (
            known is None
            or known.incarnation != endpoint.incarnation
            or known.address != endpoint.address
        ):
            if state is None:
                self._added += 1
            order = self._added if state is None else state.order
            if state is not None:
                self._pools[state.endpoint.pool].remove(state)
            state = self._states[endpoint.name] = EndpointState(endpoint, order=order)
            self._pool(endpoint.pool).add(state)
            self._apply_shared_limit(endpoint.name, -inf)
            self._announce(endpoint.name)
        elif known is not endpoint and known != endpoint:
            stays = known.pool == endpoint.pool and known.failure_domain == endpoint.failure_domain
            if not stays:
                self._pools[known.pool].remove(state)
            state.endpoint = endpoint
            if not stays:
                self._pool(endpoint.pool).add(state)
            self._announce(endpoint.name)

    def is_leaving(self, endpoint: DirectEndpoint) -> bool:
        """Return whether this incarnation of an endpoint has said in an answer that it leaves."""
        return self._leaving_incarnations.get(endpoint.name) == endpoint.incarnation

    def record_leaving(self, endpoint: DirectEndpoint) -> bool:
        """Drain an incarnation that says that it leaves; return False if that was known."""
        if self.is_leaving(endpoint):
            return False
        self._leaving_incarnations[endpoint.name] = endpoint.incarnation
        self._leaving_incarnations.move_to_end(endpoint.name)
        while len(self._leaving_incarnations) > MAX_LEAVING_ENDPOINTS:
            self._leaving_incarnations.popitem(last=False)
        state = self._states.get(endpoint.name)
        if state is not None and state.endpoint.incarnation == endpoint.incarnation:
            state.endpoint = replace(state.endpoint, draining=True)
            self._announce(endpoint.name)
        return True

    def request_limit(self, name: str) -> float | None:
        """Return the request limit that an endpoint named last, None if it has none."""
        state = self._states.get(name)
        return state.request_limit if state is not None else None

    def record_request_limit(
        self, endpoint: DirectEndpoint, limit: float | None, sent_at: float, now: float
    ) -> bool:
        """Record the request limit in an answer of an endpoint; return whether it is a change.

        An answer that names none ends the limit only if its request was sent, at `sent_at`, after
        the limit was named last: answers on different connections overtake one another.
        """
        state = self._states.get(endpoint.name)
        if state is None or state.endpoint.incarnation != endpoint.incarnation:
            return False
        if not self.observes_limits:
            return False
        if limit is None and sent_at < state.limit_named_at:
            return False
        if limit is not None:
            state.limit_named_at = now
        changed = state.request_limit != limit
        state.request_limit = limit
        if changed:
            self._announce(endpoint.name)
        return changed

    def share_limit(self, name: str, shared: SharedLimit | None, now: float) -> None:
        """Apply the limit that a gateway reported, or with None that the endpoint has none.

        A limit that this process has heard itself is kept, as it may be newer.
        """
        if not self.observes_limits:
            return
        state = self._states.get(name)
        if shared is not None:
            self._shared_limits[name] = shared
            self._apply_shared_limit(name, now)
        elif self._shared_limits.pop(name, None) is not None and state is not None:
            state.request_limit = None
            self._announce(name)

    def _apply_shared_limit(self, name: str, now: float) -> None:
        state, shared = self._states.get(name), self._shared_limits.get(name)
        if state is None or shared is None or shared.incarnation != state.endpoint.incarnation:
            return
        if state.request_limit is None:
            state.request_limit = shared.limit
            state.limit_named_at = now
            self._announce(name)

    def is_incarnation(self, name: str, incarnation: int) -> bool:
        """Return whether an endpoint is registered with this incarnation."""
        state = self._states.get(name)
        return state is not None and state.endpoint.incarnation == incarnation

    def remove(self, name: str) -> None:
        """Remove an endpoint."""
        state = self._states.pop(name, None)
        if state is not None:
            self._pools[state.endpoint.pool].remove(state)
            self._announce(name)

    def _pool(self, name: str) -> EndpointPool:
        return self._pools.setdefault(name, EndpointPool(self.home))

    def software_versions(self, pool: str) -> list[str]:
        """Return the software version of each endpoint of a pool, including draining ones."""
        return [state.endpoint.software_version for state in self._pool(pool).states]

    def may_have_restarted(self, name: str) -> bool:
        """Return whether an incarnation is unconfirmed, or has lost connections since it was."""
        state = self._states.get(name)
        return state is not None and (state.may_have_restarted or state.confirmed_at == -inf)

    def confirm_incarnation(self, endpoint: DirectEndpoint, at: float) -> None:
        """Record that at a time an endpoint had not restarted since it registered."""
        if self.is_incarnation(endpoint.name, endpoint.incarnation):
            state = self._states[endpoint.name]
            state.may_have_restarted = False
            state.confirmed_at = max(state.confirmed_at, at)

    def record_unconfirmed(self, name: str) -> None:
        """Record that an endpoint may have restarted since it registered."""
        if name in self._states:
            self._states[name].may_have_restarted = True

    def is_confirmed(self, endpoint: DirectEndpoint, opened_at: float) -> bool:
        """Return whether a connection opened at a time leads to the registered incarnation."""
        is_registered = self.is_incarnation(endpoint.name, endpoint.incarnation)
        return is_registered and opened_at <= self._states[endpoint.name].confirmed_at

    def accepting_endpoints(
        self, pool: str, may_use: Callable[[DirectEndpoint], bool] = lambda endpoint: True
    ) -> list[EndpointState]:
        """Return the endpoints of a pool that are not draining and that `may_use` allows."""
        return [
            state
            for state in self._pool(pool).states
            if not state.endpoint.draining and may_use(state.endpoint)
        ]

    def has_accepting(self, pool: str, may_use: Callable[[EndpointState], bool]) -> bool:
        """Return whether a pool has an endpoint that is not draining and that `may_use` allows."""
        states = self._pool(pool).states
        return any(not state.endpoint.draining and may_use(state) for state in states)

    def choose(
        self,
        pool: str,
        tried: tuple[str, ...],
        now: float,
        expected_wait: Callable[[str], float] = lambda name: 0.0,
        may_use: Callable[[DirectEndpoint], bool] = lambda endpoint: True,
    ) -> EndpointState | None:
        """Return the endpoint of lowest cost that is not in `tried`, None if there is none.

        In a large pool the endpoints of a sample are compared, or all if that has none to use.

        `expected_wait` returns for how many seconds a request to an endpoint with a request limit
        has to wait for a permit. Only endpoints that `may_use` allows are considered.
        """
        sample = self._pool(pool).sample(self.random)
        if sample is not None:
            chosen = self._cheapest(sample, tried, now, expected_wait, may_use)
            if chosen is not None and not chosen.is_avoided(now):
                return chosen
        return self._cheapest(self._pool(pool).states, tried, now, expected_wait, may_use)

    def _cheapest(
        self,
        states: Iterable[EndpointState],
        tried: tuple[str, ...],
        now: float,
        expected_wait: Callable[[str], float],
        may_use: Callable[[DirectEndpoint], bool],
    ) -> EndpointState | None:
        candidates = [
            state
            for state in states
            if not state.endpoint.draining
            and may_use(state.endpoint)
            and state.endpoint.name not in tried
        ]
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda state: call_cost(state, self.home, now, expected_wait, self.random),
        )

    def call_started(self, name: str) -> None:
        """Count a call in flight."""
        state = self._states.get(name)
        if state is not None:
            state.in_flight += 1
            if state.has_trial != state.needs_trial:
                state.has_trial = state.needs_trial
                self._announce(name)

    def call_ended(self, endpoint: DirectEndpoint) -> None:
        """Stop counting a call, unless the endpoint has restarted since."""
        state = self._states.get(endpoint.name)
        if state is not None and state.endpoint.incarnation == endpoint.incarnation:
            state.in_flight = max(0, state.in_flight - 1)
            if state.has_trial:
                state.has_trial = False
                self._announce(endpoint.name)

    def record_answer(self, name: str) -> None:
        """Record that the head of an answer has arrived, which ends the need for a trial."""
        state = self._states.get(name)
        if state is not None and state.needs_trial:
            state.needs_trial = False
            self._announce(name)

    def record_load(self, name: str, running: int, waiting: int, now: float) -> None:
        """Record the load that an endpoint reported with an answer."""
        state = self._states.get(name)
        if state is not None:
            state.reported_running = running
            state.reported_waiting = waiting
            state.reported_at = now

    def record_success(self, name: str, seconds: float) -> None:
        """Record that an endpoint answered within `seconds`."""
        state = self._states.get(name)
        if state is None:
            return
        state.failures = 0
        if state.avoid_until:
            state.avoid_until = 0.0
            self._announce(name)
        smoothing = LATENCY_SMOOTHING if state.latency else 1.0
        state.latency += smoothing * (seconds - state.latency)

    def record_failure(self, name: str, now: float) -> None:
        """Avoid an endpoint; the backoff doubles with each failure in a row."""
        state = self._states.get(name)
        if state is not None and self.avoids_failed:
            backoff_seconds = doubled_seconds(
                FIRST_FAILURE_BACKOFF_SECONDS, state.failures, MAX_FAILURE_BACKOFF_SECONDS
            )
            state.failures += 1
            state.failed_at = now
            state.avoid_until = now + backoff_seconds
            self._announce(name)

    def record_lost_connection(self, name: str, sent_at: float, now: float) -> None:
        """Briefly avoid an endpoint that closed the connection on a call, sent at `sent_at`.

        The calls that were open at the last failure count as one: a reset of all connections does
        not say more than that of one. The next call is a trial.
        """
        state = self._states.get(name)
        if state is None:
            return
        state.may_have_restarted = True
        if not self.avoids_failed or sent_at <= state.failed_at:
            return
        state.needs_trial = True
        if state.failures:
            self.record_failure(name, now)
            return
        state.failures = 1
        state.failed_at = now
        state.avoid_until = now + LOST_CONNECTIONS_BACKOFF_SECONDS
        self._announce(name)

    def record_refusal(self, name: str, now: float) -> None:
        """Briefly avoid an endpoint that refused a call because it was full."""
        state = self._states.get(name)
        if state is not None and self.avoids_failed:
            state.avoid_until = max(state.avoid_until, now + REFUSAL_BACKOFF_SECONDS)
            self._announce(name)
