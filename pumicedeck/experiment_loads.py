"""Generates the arrivals of an experiment from the seed only, so that all policies get the same."""

import heapq
import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from pumicedeck.experiment_files import Experiment, LoadSpec

MAX_TOKENS_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a load, made at second `time`.

    `tokens` is the length of its answer; `entry_pick`, from 0 to 1, selects the entry it goes to.
    """

    time: float
    load: LoadSpec
    tokens: int
    prefix: str
    entry_pick: float

    @property
    def work(self) -> float:
        """Return the tokens of the answer, which goodput counts."""
        return self.tokens


def arrivals(experiment: Experiment, seed: int) -> Iterator[Arrival]:
    """Generate the arrivals of all loads in order of time."""
    streams = (_load_arrivals(experiment, load, seed) for load in experiment.loads)
    return heapq.merge(*streams, key=lambda each: each.time)


def _load_arrivals(experiment: Experiment, load: LoadSpec, seed: int) -> Iterator[Arrival]:
    random_source = random.Random(f"{seed}/{load.entry}")
    max_surge_factor = max([1.0, *(each.factor for each in load.surges)])
    weights = _prefix_weights(load)
    now = 0.0
    while (
        now := now + random_source.expovariate(load.rate * max_surge_factor)
    ) < experiment.seconds:
        if random_source.random() * max_surge_factor >= _surge_factor(load, now):
            continue
        prefix = ""
        if weights:
            number = random_source.choices(range(load.prefixes), cum_weights=weights)[0]
            prefix = f"{load.entry}/{number}"
        yield Arrival(now, load, _tokens(load, random_source), prefix, random_source.random())


def _surge_factor(load: LoadSpec, now: float) -> float:
    return math.prod(each.factor for each in load.surges if each.start <= now < each.end)


def _tokens(load: LoadSpec, random_source: random.Random) -> int:
    factor = random_source.lognormvariate(-load.sigma**2 / 2, load.sigma)
    return max(1, round(load.tokens * min(factor, MAX_TOKENS_FACTOR)))


def _prefix_weights(load: LoadSpec) -> list[float]:
    weights = (1 / rank**load.prefix_skew for rank in range(1, load.prefixes + 1))
    return list(itertools.accumulate(weights))
