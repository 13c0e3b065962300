"""Enforces the limits of each catalogue entry across entry VMs; free of I/O.

The equal part of an entry VM is the limit divided by the number of live entry VMs, so that the sum
of the equal parts never exceeds the limit. Demand is exchanged only for catalogue entries for which
the demand on a VM is near the equal part: that VM publishes one row for the entry, and the other
VMs, which poll the rows, then publish their demand for it as well. Without fresh rows of all live
entry VMs, every VM uses the equal part. The limits of a rollout entry are not divided: a trainer
requests all samples of a training step through one VM, for which an equal part would be too small.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, Limits, RequestClass
from pumicedeck.limit_shares import (
    DEMAND_LIFETIME_SECONDS,
    Demand,
    LimitPart,
    equal_part,
    is_near_equal_part,
    part_by_demand,
)
from pumicedeck.results import Failure, ResultCode

BURST_SECONDS = 1.0
DEMAND_TIME_CONSTANT_SECONDS = 3.0
CONCURRENCY_RETRY_SECONDS = 0.5


class TokenBucket:
    """A token bucket whose level may become negative when more is charged than was expected."""

    def __init__(self, rate: float) -> None:
        """Create a full bucket that refills at `rate` per second."""
        self._rate = rate
        self._level = self.capacity
        self._updated_at: float | None = None

    @property
    def capacity(self) -> float:
        """Return the capacity: what refills in BURST_SECONDS, at least one."""
        return max(1.0, self._rate * BURST_SECONDS)

    def set_rate(self, now: float, rate: float) -> None:
        """Change the rate; a level above the new capacity is reduced to it."""
        self._refill(now)
        self._rate = rate
        self._level = min(self._level, self.capacity)

    def seconds_until(self, now: float, amount: float) -> float:
        """Return the seconds until `amount`, or a full bucket if that is less, is available."""
        self._refill(now)
        missing = min(amount, self.capacity) - self._level
        if missing <= 1e-9:
            return 0.0
        return missing / self._rate if self._rate > 0 else math.inf

    def charge(self, amount: float) -> None:
        """Subtract `amount`, which may be negative, from the level."""
        self._level -= amount

    def _refill(self, now: float) -> None:
        before = now if self._updated_at is None else self._updated_at
        self._level = min(self.capacity, self._level + self._rate * (now - before))
        self._updated_at = now


class _DecayingRate:
    """Amount per second, averaged with exponential decay."""

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, now: float, amount: float) -> None:
        self._value = self.read(now) + amount / DEMAND_TIME_CONSTANT_SECONDS
        self._updated_at = now

    def read(self, now: float) -> float:
        return self._value * math.exp((self._updated_at - now) / DEMAND_TIME_CONSTANT_SECONDS)


@dataclass(slots=True)
class _EntryState:
    limits: Limits
    part: LimitPart
    requests: TokenBucket
    tokens: TokenBucket
    is_divided: bool = True
    running: int = 0
    request_rate: _DecayingRate = field(default_factory=_DecayingRate)
    token_rate: _DecayingRate = field(default_factory=_DecayingRate)
    refused_rate: _DecayingRate = field(default_factory=_DecayingRate)
    demands: dict[str, Demand] = field(default_factory=dict)
    received_at: dict[str, float] = field(default_factory=dict)


def _is_divided(entry: CatalogueEntry) -> bool:
    return entry.request_class is not RequestClass.ROLLOUT


class EntryLimiter:
    """Admits requests on one entry VM under its part of each catalogue entry's limits."""

    def __init__(self, vm: str) -> None:
        """Create a limiter without catalogue entries for the entry VM `vm`, its only member."""
        self._vm = vm
        self._members: frozenset[str] = frozenset({vm})
        self._states: dict[str, _EntryState] = {}

    @property
    def members(self) -> frozenset[str]:
        """Return the names of the live entry VMs."""
        return self._members

    def configure(self, now: float, catalogue: Catalogue) -> None:
        """Apply the limits of a catalogue revision at once."""
        names = {each.name for each in catalogue.entries}
        self._states = {name: state for name, state in self._states.items() if name in names}
        for entry in catalogue.entries:
            state = self._state(entry)
            state.limits = entry.limits
            state.is_divided = _is_divided(entry)
        self._update_parts(now)

    def set_members(self, now: float, vms: Iterable[str]) -> None:
        """Set the live entry VMs that share the limits (the members); this VM is always one."""
        self._members = frozenset(vms) | {self._vm}
        self._update_parts(now)

    def part(self, entry_name: str) -> LimitPart | None:
        """Return the part of the limits that this VM enforces now; None for an unknown entry."""
        state = self._states.get(entry_name)
        return state.part if state else None

    def admit(self, now: float, entry: CatalogueEntry, tokens: int) -> Result[None, Failure]:
        """Admit a request of `tokens` expected tokens.

        Fails with RATE_LIMITED and the seconds after which to retry.
        """
        state = self._state(entry)
        state.request_rate.add(now, 1)
        state.token_rate.add(now, tokens)
        if state.running >= max(1, round(state.part.concurrency)):
            state.refused_rate.add(now, 1)
            return self._refusal("concurrency", CONCURRENCY_RETRY_SECONDS)
        wait = max(state.requests.seconds_until(now, 1), state.tokens.seconds_until(now, tokens))
        if wait > 0:
            return self._refusal("rate", wait)
        state.requests.charge(1)
        state.tokens.charge(tokens)
        state.running += 1
        return Ok(None)

    def finished(self, now: float, entry: CatalogueEntry, expected: int, tokens: int) -> None:
        """Record the end of an admitted request and charge `tokens`, not `expected`, for it."""
        state = self._states.get(entry.name)
        if state is None:
            return
        state.running = max(0, state.running - 1)
        state.tokens.charge(tokens - expected)

    def publish(self, now: float) -> tuple[Demand, ...]:
        """Return the demand rows that this VM has to write now, and update the parts.

        There is one row for each catalogue entry for which the demand on this or another VM is near
        the equal part.
        """
        rows = []
        for name, state in self._states.items():
            demand = self._demand(now, name, state)
            near_equal_part = state.is_divided and is_near_equal_part(
                demand, self._equal_part(state)
            )
            if near_equal_part or self._is_near_equal_part_elsewhere(now, state):
                state.demands[self._vm] = demand
                state.received_at[self._vm] = now
                rows.append(demand)
        self._update_parts(now)
        return tuple(rows)

    def apply_demands(self, now: float, demands: Iterable[Demand]) -> None:
        """Apply the rows that other VMs have written since the last poll."""
        for demand in demands:
            state = self._states.get(demand.entry_name)
            if state is not None and demand.vm != self._vm:
                state.demands[demand.vm] = demand
                state.received_at[demand.vm] = now
        self._update_parts(now)

    def on_timer(self, now: float) -> None:
        """Return to the equal part for catalogue entries whose rows have expired."""
        self._update_parts(now)

    def _state(self, entry: CatalogueEntry) -> _EntryState:
        if entry.name not in self._states:
            is_divided = _is_divided(entry)
            part = equal_part(entry.limits, len(self._members) if is_divided else 1)
            self._states[entry.name] = _EntryState(
                entry.limits,
                part,
                TokenBucket(part.requests_per_second),
                TokenBucket(part.tokens_per_second),
                is_divided,
            )
        return self._states[entry.name]

    def _is_near_equal_part_elsewhere(self, now: float, state: _EntryState) -> bool:
        """Return whether another VM's demand is near its equal part.

        Rows that are published only in reply do not count; otherwise the VMs would keep replying
        to each other's rows after demand has dropped.
        """
        part = self._equal_part(state)
        others = self._members_with_fresh_demand(now, state) - {self._vm}
        return any(is_near_equal_part(state.demands[vm], part) for vm in others)

    def _equal_part(self, state: _EntryState) -> LimitPart:
        return equal_part(state.limits, len(self._members) if state.is_divided else 1)

    def _demand(self, now: float, name: str, state: _EntryState) -> Demand:
        refused = state.refused_rate.read(now)
        return Demand(
            name,
            self._vm,
            state.running + refused,
            state.request_rate.read(now),
            state.token_rate.read(now),
        )

    def _members_with_fresh_demand(self, now: float, state: _EntryState) -> set[str]:
        return {
            vm
            for vm, received_at in state.received_at.items()
            if now - received_at < DEMAND_LIFETIME_SECONDS
        } & self._members

    def _update_parts(self, now: float) -> None:
        for state in self._states.values():
            part = self._equal_part(state)
            if (
                len(self._members) > 1
                and self._members_with_fresh_demand(now, state) == self._members
            ):
                demands = {vm: state.demands[vm] for vm in self._members}
                part = part_by_demand(state.limits, self._vm, demands)
            if part != state.part:
                state.part = part
                state.requests.set_rate(now, part.requests_per_second)
                state.tokens.set_rate(now, part.tokens_per_second)

    @staticmethod
    def _refusal(limit: str, retry_seconds: float) -> Result[None, Failure]:
        return Err(
            Failure(ResultCode.RATE_LIMITED, f"{limit} limit of the entry reached", retry_seconds)
        )
