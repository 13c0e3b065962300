"""Decides how many engines each model gets, by the work of its steps; free of I/O.

The load is trainers whose steps differ in items and in their lengths. With equal shares the trainer
with the largest steps falls behind while engines of another one are idle. Shares follow the work
slowly, since an engine that changes its model must load weights.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class EngineShareSettings:
    """How shares follow the work of steps.

    With `by_work` off all models get equal shares. A new step counts with `smoothing`. Shares stay
    until one of them is `min_change_engines` off.
    """

    by_work: bool = True
    smoothing: float = 0.3
    min_change_engines: float = 1.5


@dataclass(slots=True)
class EngineShares:
    """The number of engines of each model."""

    settings: EngineShareSettings = EngineShareSettings()
    _work: dict[str, float] = field(default_factory=dict)
    _chosen: dict[str, int] = field(default_factory=dict)

    def record_step(self, model: str, work: float) -> None:
        """Record the work of a new step of a model, such as its expected events; 0 if unknown."""
        if not work:
            return
        known = self._work.get(model, work)
        self._work[model] = known + self.settings.smoothing * (work - known)

    def choose(self, models: Sequence[str], engine_count: int) -> dict[str, int]:
        """Return how many of `engine_count` engines each model gets, at least one if possible.

        A model without recorded steps counts as having the mean work of the others.
        """
        names = sorted(models)
        ideal = self._ideal_shares(names, engine_count)
        is_same_fleet = set(names) == set(self._chosen) and engine_count == sum(
            self._chosen.values()
        )
        limit = self.settings.min_change_engines
        if is_same_fleet and all(abs(self._chosen[m] - ideal[m]) < limit for m in names):
            return self._chosen
        self._chosen = _round_shares(ideal, engine_count)
        return self._chosen

    def _ideal_shares(self, names: list[str], engine_count: int) -> dict[str, float]:
        known = [self._work[name] for name in names if self._work.get(name)]
        if not self.settings.by_work or not known:
            return {name: engine_count / len(names) for name in names}
        mean_work = sum(known) / len(known)
        work = {name: self._work.get(name) or mean_work for name in names}
        total = sum(work.values())
        return {name: engine_count * work[name] / total for name in names}


def _round_shares(ideal: dict[str, float], engine_count: int) -> dict[str, int]:
    """Round shares to whole engines with the given sum, each at least 1 if there are enough."""
    least = min(1, engine_count // len(ideal))
    shares = dict.fromkeys(ideal, least)
    for _ in range(engine_count - sum(shares.values())):
        shares[min(shares, key=lambda name: (shares[name] - ideal[name], name))] += 1
    return shares
