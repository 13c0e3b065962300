"""Divides the limits of catalogue entries among entry VMs by reported demand; free of I/O.

A VM's part is computed only from published demands, its own included, so that VMs that read the
same rows compute parts whose sum is the limit.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from pumicedeck.catalogue_entries import Limits

DEMAND_LIFETIME_SECONDS = 12.0
DEMAND_HEADROOM = 1.25
NEAR_EQUAL_PART_FRACTION = 0.8


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand for one catalogue entry on one entry VM: requests in flight and rates per second."""

    entry_name: str
    vm: str
    concurrency: float
    requests_per_second: float
    tokens_per_second: float


@dataclass(frozen=True, slots=True)
class LimitPart:
    """The part of a catalogue entry's limits that one VM may use."""

    concurrency: float
    requests_per_second: float
    tokens_per_second: float


def equal_part(limits: Limits, members: int) -> LimitPart:
    """Return the part of each VM when no demands are known; `members` is the number of VMs.

    The sum of the equal parts never exceeds the limit.
    """
    count = max(1, members)
    return LimitPart(
        limits.concurrency / count,
        limits.requests_per_second / count,
        limits.tokens_per_second / count,
    )


def fair_parts(limit: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Return a part of the limit for each VM by max-min fairness.

    Small demands are met with some headroom, larger ones share the rest equally, and what remains
    is divided equally among all.
    """
    parts: dict[str, float] = {}
    remaining = limit
    unassigned = sorted(demands, key=lambda each: (demands[each], each))
    while unassigned:
        vm = unassigned.pop(0)
        parts[vm] = min(demands[vm] * DEMAND_HEADROOM, remaining / (len(unassigned) + 1))
        remaining -= parts[vm]
    spare = max(0.0, remaining) / max(1, len(parts))
    return {vm: part + spare for vm, part in parts.items()}


def part_by_demand(limits: Limits, vm: str, demands: Mapping[str, Demand]) -> LimitPart:
    """Return the part of `vm`, given the demands of all live entry VMs by name."""

    def divided(limit: float, name: str) -> float:
        return fair_parts(limit, {each: getattr(demands[each], name) for each in demands})[vm]

    return LimitPart(
        divided(limits.concurrency, "concurrency"),
        divided(limits.requests_per_second, "requests_per_second"),
        divided(limits.tokens_per_second, "tokens_per_second"),
    )


def is_near_equal_part(demand: Demand, part: LimitPart) -> bool:
    """Return whether a VM's demand is near its equal part, so that demands must be exchanged."""
    return (
        demand.concurrency > NEAR_EQUAL_PART_FRACTION * part.concurrency
        or demand.requests_per_second > NEAR_EQUAL_PART_FRACTION * part.requests_per_second
        or demand.tokens_per_second > NEAR_EQUAL_PART_FRACTION * part.tokens_per_second
    )
