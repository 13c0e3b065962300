"""Arrivals of an experiment, drawn from a seed alone so that all policies see the same ones."""

import heapq
import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from pumicedeck.experiment_files import Experiment, LoadSpec

LONGEST_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a load; `tokens` are those that the answer will have."""

    time: float
    load: LoadSpec
    tokens: int
    prefix: str
    entry_pick: float

    @property
    def work(self) -> float:
        """Return the answer's tokens, the unit in which goodput is counted."""
        return self.tokens


def arrivals(experiment: Experiment, seed: int) -> Iterator[Arrival]:
    """Return all arrivals in order of time."""
    streams = (_of_load(experiment, load, seed) for load in experiment.loads)
    return heapq.merge(*streams, key=lambda each: each.time)


def _of_load(experiment: Experiment, load: LoadSpec, seed: int) -> Iterator[Arrival]:
    generator = random.Random(f"{seed}/{load.entry}")
    highest = max([1.0, *(each.factor for each in load.surges)])
    weights = _prefix_weights(load)
    now = 0.0
    while (now := now + generator.expovariate(load.rate * highest)) < experiment.seconds:
        if generator.random() * highest >= _factor(load, now):
            continue
        prefix = ""
        if weights:
            number = generator.choices(range(load.prefixes), cum_weights=weights)[0]
            prefix = f"{load.entry}/{number}"
        yield Arrival(now, load, _tokens(load, generator), prefix, generator.random())


def _factor(load: LoadSpec, now: float) -> float:
    return math.prod(each.factor for each in load.surges if each.start <= now < each.end)


def _tokens(load: LoadSpec, generator: random.Random) -> int:
    factor = generator.lognormvariate(-load.sigma**2 / 2, load.sigma)
    return max(1, round(load.tokens * min(factor, LONGEST_FACTOR)))


def _prefix_weights(load: LoadSpec) -> list[float]:
    weights = (1 / rank**load.prefix_skew for rank in range(1, load.prefixes + 1))
    return list(itertools.accumulate(weights))
