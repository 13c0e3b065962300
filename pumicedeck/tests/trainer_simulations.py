"""Steps of several trainers with models of their own that share the engines, in virtual time.

Run as a module it prints, with engines in equal shares and by need, the share of the items of each
trainer that are complete in time, the loads for each announced version and how often engines
changed their model.
"""

import sys
from random import Random

from pumicedeck.scheduling.engine_shares import ShareSettings
from pumicedeck.scheduling.submission_adoptions import AdoptionSettings
from pumicedeck.tests.scheduler_simulations import SchedulerSimulation

STEP_SECONDS = 7.5
EVENT_SECONDS = 0.15
# At this interval unequal steps take more than all engines can do in time.
TIGHT_EVENT_SECONDS = 0.2
PROMPT_SECONDS = 0.25
# Items and mean events of the steps of each trainer.
UNEQUAL = ((112, 19), (120, 19), (96, 10))
EVEN = ((104, 16), (104, 16), (104, 16))


class Trainers:
    """Trainers that announce a version and submit a step each 7.5 s, one after the other."""

    def __init__(self, steps, by_need, seed=1, engines=25, event_seconds=EVENT_SECONDS):
        self.steps = {f"m{number}": step for number, step in enumerate(steps)}
        self.random = Random(seed)
        self.simulation = SchedulerSimulation(
            engines=engines,
            slots=8,
            processes=1,
            # Steps repeat the ids of their items; each is to be generated.
            adoption=AdoptionSettings(reuses_outputs=False),
            shares=ShareSettings(by_need=by_need),
            models=tuple(self.steps),
        )
        for engine in self.simulation.engines.values():
            engine.event_seconds = event_seconds
            engine.prompt_seconds = PROMPT_SECONDS
        self.played = dict.fromkeys(self.steps, 0)
        self.on_time = {model: [] for model in self.steps}
        self.open = {}
        self.versions = 0

    @property
    def scheduler(self):
        return self.simulation.active()[0].scheduler

    def play(self, rounds=1):
        """Play rounds in which each trainer with a step ends its former one and begins another."""
        for _ in range(rounds):
            for model in self.steps:
                self.begin_step(model)
                self.simulation.run(STEP_SECONDS / len(self.steps) - 0.2)

    def begin_step(self, model):
        """End the trainer's step, then announce a version and submit a step that may use it."""
        self.end_step(model)
        items, events = self.steps[model]
        if not items:
            self.simulation.run(0.2)
            return
        number = self.played[model] = self.played[model] + 1
        self.simulation.announced[model] = number
        self.versions += 1
        lengths = [
            [max(2, round(events * self.random.uniform(0.6, 1.4))) for _ in range(8)]
            for _ in range(items // 8)
        ]
        name = f"{model}s{number}"
        self.simulation.submit(
            self.simulation.active()[0],
            lengths,
            name=name,
            step=number,
            min_version=max(1, number - 1),
            model=model,
        )
        self.open[model] = name, items

    def end_step(self, model):
        """End a trainer's step, and record the share of its items that are complete."""
        if model in self.open:
            name, items = self.open.pop(model)
            process = self.simulation.active()[0]
            self.on_time[model].append(len(self.simulation.results(process, name)) / items)
            self.simulation.end(process, name)
        else:
            self.simulation.run(0.1)

    def engines_by_model(self):
        """Return how many engines each model has."""
        counts = dict.fromkeys(self.steps, 0)
        for engine in self.simulation.engines:
            model = self.scheduler._weights.assigned_model(engine)
            if model:
                counts[model] += 1
        return counts

    def mean_on_time(self, last=4):
        """Return the share of items on time in the last steps of each trainer."""
        return {
            model: round(sum(each[-last:]) / max(1, len(each[-last:])), 3)
            for model, each in self.on_time.items()
        }

    def loads_per_version(self):
        """Return the number of loads for each announced version."""
        loads = sum(engine.loads for engine in self.simulation.engines.values())
        return loads / self.versions


if __name__ == "__main__":
    for kind, steps, event_seconds in (
        ("unequal", UNEQUAL, EVENT_SECONDS),
        ("tight", UNEQUAL, TIGHT_EVENT_SECONDS),
        ("even", EVEN, EVENT_SECONDS),
    ):
        for by_need in (False, True):
            for seed in map(int, sys.argv[1:] or (1, 2)):
                trainers = Trainers(steps, by_need, seed, event_seconds=event_seconds)
                trainers.play(10)
                print(
                    f"{kind:8} engines_by_need={by_need!s:5} seed {seed}",
                    f"on time {trainers.mean_on_time(6)} engines {trainers.engines_by_model()}",
                    f"loads per version {trainers.loads_per_version():.2f}",
                    f"dealt {trainers.scheduler.changes_by_reason['dealt_engines']}",
                    flush=True,
                )
