"""Limits per catalogue entry that span many entry VMs; free of I/O.

Only entries near their equal part are exchanged: a VM publishes one row per such entry, and the
others, who poll the rows, answer with their own demand. Without fresh rows of all members every
VM keeps to the equal part, whose sum never exceeds the limit. A rollout entry is not split: a
trainer draws a step through one VM, which would starve on an equal part.
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
    is_near_limit,
    part_by_demand,
)
from pumicedeck.results import Failure, ResultCode

BURST_SECONDS = 1.0
DEMAND_MEMORY_SECONDS = 3.0
CONCURRENCY_RETRY_SECONDS = 0.5


class TokenBucket:
    """Admits a rate with a burst; charges may put it into debt."""

    def __init__(self, rate: float) -> None:
        """Start full."""
        self._rate = rate
        self._level = self.burst
        self._updated: float | None = None

    @property
    def burst(self) -> float:
        """Return the most that can be taken at once; at least one."""
        return max(1.0, self._rate * BURST_SECONDS)

    def set_rate(self, now: float, rate: float) -> None:
        """Change the rate; what is over the new burst is lost."""
        self._refill(now)
        self._rate = rate
        self._level = min(self._level, self.burst)

    def wait(self, now: float, amount: float) -> float:
        """Return the seconds until `amount`, or a full burst if less, is there."""
        self._refill(now)
        missing = min(amount, self.burst) - self._level
        if missing <= 1e-9:
            return 0.0
        return missing / self._rate if self._rate > 0 else math.inf

    def take(self, amount: float) -> None:
        """Take an amount."""
        self._level -= amount

    def _refill(self, now: float) -> None:
        before = now if self._updated is None else self._updated
        self._level = min(self.burst, self._level + self._rate * (now - before))
        self._updated = now


class _FadingRate:
    """Amount per second over a fading memory."""

    def __init__(self) -> None:
        self._value = 0.0
        self._updated = 0.0

    def add(self, now: float, amount: float) -> None:
        self._value = self.read(now) + amount / DEMAND_MEMORY_SECONDS
        self._updated = now

    def read(self, now: float) -> float:
        return self._value * math.exp((self._updated - now) / DEMAND_MEMORY_SECONDS)


@dataclass(slots=True)
class _EntryState:
    limits: Limits
    part: LimitPart
    requests: TokenBucket
    tokens: TokenBucket
    is_split: bool = True
    running: int = 0
    request_rate: _FadingRate = field(default_factory=_FadingRate)
    token_rate: _FadingRate = field(default_factory=_FadingRate)
    refused_rate: _FadingRate = field(default_factory=_FadingRate)
    demands: dict[str, Demand] = field(default_factory=dict)
    heard: dict[str, float] = field(default_factory=dict)


def _is_split(entry: CatalogueEntry) -> bool:
    return entry.request_class is not RequestClass.ROLLOUT


class EntryLimiter:
    """Admits requests on one entry VM under its part of each catalogue entry's limits."""

    def __init__(self, vm: str) -> None:
        """Limit on behalf of `vm`."""
        self._vm = vm
        self._members: frozenset[str] = frozenset({vm})
        self._states: dict[str, _EntryState] = {}

    @property
    def members(self) -> frozenset[str]:
        """Return the names of the live entry VMs."""
        return self._members

    def configure(self, now: float, catalogue: Catalogue) -> None:
        """Install the limits of a catalogue revision at once."""
        names = {each.name for each in catalogue.entries}
        self._states = {name: state for name, state in self._states.items() if name in names}
        for entry in catalogue.entries:
            state = self._state(entry)
            state.limits = entry.limits
            state.is_split = _is_split(entry)
        self._resplit(now)

    def set_members(self, now: float, vms: Iterable[str]) -> None:
        """Take in the names of the live entry VMs, this one included."""
        self._members = frozenset(vms) | {self._vm}
        self._resplit(now)

    def part(self, entry_name: str) -> LimitPart | None:
        """Return the part that binds here now."""
        state = self._states.get(entry_name)
        return state.part if state else None

    def admit(self, now: float, entry: CatalogueEntry, tokens: int) -> Result[None, Failure]:
        """Count a request in, or refuse it with the time after which to try again."""
        state = self._state(entry)
        state.request_rate.add(now, 1)
        state.token_rate.add(now, tokens)
        if state.running >= max(1, round(state.part.concurrency)):
            state.refused_rate.add(now, 1)
            return self._refusal("concurrency", CONCURRENCY_RETRY_SECONDS)
        wait = max(state.requests.wait(now, 1), state.tokens.wait(now, tokens))
        if wait > 0:
            return self._refusal("rate", wait)
        state.requests.take(1)
        state.tokens.take(tokens)
        state.running += 1
        return Ok(None)

    def finished(self, now: float, entry: CatalogueEntry, expected: int, tokens: int) -> None:
        """Count an admitted request out and correct its expected tokens by the true ones."""
        state = self._states.get(entry.name)
        if state is None:
            return
        state.running = max(0, state.running - 1)
        state.tokens.take(tokens - expected)

    def publish(self, now: float) -> tuple[Demand, ...]:
        """Return the rows to write now: own demand for entries that are hot here or elsewhere."""
        rows = []
        for name, state in self._states.items():
            demand = self._demand(now, name, state)
            hot = state.is_split and is_near_limit(demand, self._equal_part(state))
            if hot or self._is_hot_elsewhere(now, state):
                state.demands[self._vm] = demand
                state.heard[self._vm] = now
                rows.append(demand)
        self._resplit(now)
        return tuple(rows)

    def apply_demands(self, now: float, demands: Iterable[Demand]) -> None:
        """Take in rows of other VMs that were written since the last poll."""
        for demand in demands:
            state = self._states.get(demand.entry_name)
            if state is not None and demand.vm != self._vm:
                state.demands[demand.vm] = demand
                state.heard[demand.vm] = now
        self._resplit(now)

    def on_timer(self, now: float) -> None:
        """Fall back to the equal part where rows have grown old."""
        self._resplit(now)

    def _state(self, entry: CatalogueEntry) -> _EntryState:
        if entry.name not in self._states:
            is_split = _is_split(entry)
            part = equal_part(entry.limits, len(self._members) if is_split else 1)
            self._states[entry.name] = _EntryState(
                entry.limits,
                part,
                TokenBucket(part.requests_per_second),
                TokenBucket(part.tokens_per_second),
                is_split,
            )
        return self._states[entry.name]

    def _is_hot_elsewhere(self, now: float, state: _EntryState) -> bool:
        """Tell whether a VM asks for more; mere answers must not keep each other alive."""
        part = self._equal_part(state)
        others = self._fresh(now, state) - {self._vm}
        return any(is_near_limit(state.demands[vm], part) for vm in others)

    def _equal_part(self, state: _EntryState) -> LimitPart:
        return equal_part(state.limits, len(self._members) if state.is_split else 1)

    def _demand(self, now: float, name: str, state: _EntryState) -> Demand:
        refused = state.refused_rate.read(now)
        return Demand(
            name,
            self._vm,
            state.running + refused,
            state.request_rate.read(now),
            state.token_rate.read(now),
        )

    def _fresh(self, now: float, state: _EntryState) -> set[str]:
        return {
            vm for vm, heard in state.heard.items() if now - heard < DEMAND_LIFETIME_SECONDS
        } & self._members

    def _resplit(self, now: float) -> None:
        for state in self._states.values():
            part = self._equal_part(state)
            if len(self._members) > 1 and self._fresh(now, state) == self._members:
                known = {vm: state.demands[vm] for vm in self._members}
                part = part_by_demand(state.limits, self._vm, known)
            if part != state.part:
                state.part = part
                state.requests.set_rate(now, part.requests_per_second)
                state.tokens.set_rate(now, part.tokens_per_second)

    @staticmethod
    def _refusal(which: str, after: float) -> Result[None, Failure]:
        return Err(Failure(ResultCode.RATE_LIMITED, f"{which} limit of the entry", after))
