"""Steps of three trainers on engines that are slow in several ways, in virtual time.

Sizes and speeds are those of docs/design/client-accounts-and-scale.md, part 5: 25 engines of 8
slots, steps of 112 and 120 items of 19 events and 96 of 10, each due in 7.5 s. Run as a module it
prints the share of runs that began again and the ages of the steps' last items.
"""

import sys
from collections import Counter
from random import Random
from statistics import median

from pumicedeck.scheduling.event_intervals import IntervalSettings
from pumicedeck.scheduling.submission_adoptions import AdoptionSettings
from pumicedeck.tests.scheduler_simulations import SchedulerSimulation

STEP_SECONDS = 7.5
EVENT_SECONDS = 0.2
PROMPT_SECONDS = 0.25
STEPS = ((112, 19), (120, 19), (96, 10))


class NoisyEngines:
    """A simulation whose engines turn slow as `kind` says, and its trainers' steps."""

    def __init__(self, kind, aware, seed=1, event_seconds=EVENT_SECONDS, steps=STEPS):
        self.simulation = SchedulerSimulation(
            engines=25,
            slots=8,
            processes=1,
            # Steps repeat the ids of their items; each is to be generated.
            adoption=AdoptionSettings(reuses_outputs=False),
            intervals=IntervalSettings(separates_noise=aware),
        )
        self.random = Random(seed)
        self.event_seconds = event_seconds
        self.steps = steps
        self.factors = Counter()
        for engine in self.simulation.engines.values():
            engine.event_seconds = event_seconds
            engine.prompt_seconds = PROMPT_SECONDS
        for name in list(self.simulation.engines):
            self.change(name, 1.0)
            if kind == "short":
                self.plan_slowdown(name, 0.15, 2.5, 0.6)
        if kind == "lasting":
            for name in ("e3", "e11"):
                self.change(name, 1.3)
        if kind == "mixed":
            for name in list(self.simulation.engines):
                if name in ("e3", "e11"):
                    self.change(name, 1.3)
                self.plan_slowdown(name, 0.14, 2.5, 0.6)

    def change(self, name, factor):
        self.factors[name] = factor
        self.simulation.engines[name].event_seconds = self.event_seconds * factor

    def plan_slowdown(self, name, share, factor, seconds):
        """Slow an engine for `seconds` at a time, for `share` of the time in all."""
        before = self.factors[name]

        def begin():
            self.change(name, before * factor)
            self.simulation.timers.call_later(seconds, end)

        def end():
            self.change(name, before)
            pause = self.random.uniform(0.5, 1.5) * seconds * (1.0 - share) / share
            self.simulation.timers.call_later(pause, begin)

        self.simulation.timers.call_later(self.random.uniform(0.0, seconds / share), begin)

    def play(self, steps=8):
        """Play steps of each trainer; return the share of items on time by trainer."""
        process = self.simulation.processes[0]
        on_time = [[] for _ in self.steps]
        for step in range(steps):
            names = []
            for trainer, (items, events) in enumerate(self.steps):
                names.append(f"t{trainer}s{step}")
                lengths = [[self.length(events) for _ in range(8)] for _ in range(items // 8)]
                self.simulation.submit(process, lengths, name=names[-1], step=step)
            self.simulation.run(STEP_SECONDS - 0.1 * len(self.steps))
            for trainer, (name, (items, _)) in enumerate(zip(names, self.steps, strict=True)):
                on_time[trainer].append(len(self.simulation.results(process, name)) / items)
                self.simulation.end(process, name)
        return [sum(shares) / len(shares) for shares in on_time]

    def length(self, events):
        return max(2, round(events * self.random.uniform(0.6, 1.4)))

    def count_runs(self):
        """Return how many runs there were, and how many of them began again."""
        starts = [start for e in self.simulation.engines.values() for start in e.starts]
        again = sum(1 for _, _, resumed_after in starts if resumed_after)
        return len(starts), again


if __name__ == "__main__":
    for kind in sys.argv[1:] or ("even", "short", "lasting", "mixed"):
        for aware in (False, True):
            totals, shares = [], []
            for seed in (1, 2, 3):
                engines = NoisyEngines(kind, aware, seed)
                shares.append(engines.play())
                totals.append(engines.count_runs())
            runs = sum(total for total, _ in totals)
            again = sum(count for _, count in totals)
            on_time = [round(median(each), 3) for each in zip(*shares, strict=True)]
            print(
                f"{kind:8} noise_aware_moves={aware!s:5} runs {runs}",
                f"begun again {again} ({again / runs:.3f}) share on time {on_time}",
            )
