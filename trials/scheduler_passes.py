"""Prints what the parts of a scheduler's pass and of a gateway's work for endpoints cost.

Use: python trials/scheduler_passes.py [ENGINES ...] [--long] [--profile] [--no-gc]
Everything runs in this process: real decisions, stand-ins for store and engines, virtual time.
"""

import cProfile
import gc
import json
import pstats
import sys
from random import Random
from time import perf_counter, thread_time

from loguru import logger

from pumicedeck.clocks import VirtualTime
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.endpoint_lists import EndpointList
from pumicedeck.partitioned_stores import RowKey, StoredRow
from pumicedeck.platform.registrations import EndpointDecoder
from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.scheduling.item_placements import assign_items
from pumicedeck.scheduling.item_queues import EngineView, QueuedItem
from pumicedeck.scheduling.item_runs import ItemRun
from pumicedeck.tests.reference_placements import assign_items as reference_assign_items
from pumicedeck.tests.scheduler_simulations import SchedulerSimulation
from pumicedeck.topology import Address, FailureDomain

SLOTS = 8
# A simulated step has this many groups of as many items as an engine has slots.
GROUPS = 100
# The reference takes 15 s at 3,000 engines.
MAX_REFERENCE_ENGINES = 1000


def placement(engines, free_slots, assign):
    """Return the seconds that `assign` takes for as many items as the engines have slots."""
    random = Random(engines)
    views = [
        EngineView(
            f"e{n}",
            "p",
            free_slots,
            SLOTS,
            {"m": 5, "n": 4},
            event_seconds=random.uniform(0.035, 0.055),
            distance_seconds=random.choice((0.0, 0.05, 0.3)),
            assigned_model=random.choice("mn"),
        )
        for n in range(engines)
    ]
    items = [
        QueuedItem(
            f"i{n}",
            f"s{n % 4}",
            random.choice("mn"),
            "p",
            f"g{n // SLOTS}",
            4,
            9.0,
            expected_events_left=random.uniform(1.0, 200.0),
        )
        for n in range(SLOTS * engines)
    ]
    start = perf_counter()
    assign(items, views, 0.0)
    return perf_counter() - start


class Figures:
    """The number, total and longest processor time of calls of a method, in seconds."""

    def __init__(self, owner, name):
        """Measure the method `name` of the object `owner` from now on."""
        self.reset()
        method = getattr(owner, name)

        def timed(*arguments, **options):
            start = thread_time()
            try:
                return method(*arguments, **options)
            finally:
                seconds = thread_time() - start
                self.count += 1
                self.total += seconds
                self.longest = max(self.longest, seconds)

        setattr(owner, name, timed)
        self.restore = lambda: setattr(owner, name, method)

    def reset(self):
        """Begin anew."""
        self.count = 0
        self.total = self.longest = 0.0

    def __str__(self):
        """Return the figures as text."""
        each = 1e6 * self.total / max(1, self.count)
        longest = 1000 * self.longest
        return f"{self.count} in {self.total:.2f} s, {each:.0f} µs each, longest {longest:.1f} ms"


def scheduler(engines, profiled, events):
    """Print the processor time of a step that fills all slots, with as many items again waiting."""
    simulation = SchedulerSimulation(engines=engines, slots=SLOTS, processes=1)
    process = simulation.processes[0]
    own = process.scheduler
    own_work = {
        "passes": Figures(own, "_schedule"),
        "of these, weight plans": Figures(own, "_plan_weights"),
        "choices for an item": Figures(own._fleet, "choose"),
        "starts of an item": Figures(own, "_start"),
        "views of an engine": Figures(own._fleet, "_view"),
        "looks at the runs of a part": Figures(own, "_end_stalled"),
        "events of a run": Figures(ItemRun, "_on_bytes"),
    }
    profile = cProfile.Profile() if profiled else None
    random = Random(1)
    for number in range(2 * engines // GROUPS):
        lengths = [[random.randint(*events) for _ in range(SLOTS)] for _ in range(GROUPS)]
        simulation.submit(process, lengths, f"s{number}")
    if profile is not None:
        profile.enable()
    print(f"  while {2 * engines // GROUPS} steps of {GROUPS * SLOTS} items came, 0.1 s apart:")
    for second in range(3):
        print(f"  {process.scheduler.running_items} items run")
        for name, figures in own_work.items():
            print(f"    {name}: {figures}")
            figures.reset()
        if second < 2:
            simulation.run(1.0)
            print(f"  second {second + 1}:")
    own_work["events of a run"].restore()
    if profile is not None:
        profile.disable()
        pstats.Stats(profile).sort_stats("tottime").print_stats(25)


def registration_row(number, sequence):
    """Return an endpoint's registration as it is stored."""
    return json.dumps(
        {
            "service": "engines",
            "address": f"10.0.{number // 250}.{number % 250}:8000",
            "zone": "a",
            "state": "ready",
            "slots": SLOTS,
            "born": 17,
            "seq": sequence,
            "version": "v1",
            "models": [{"name": "m", "version": 5}, {"name": "n", "version": 4}],
        }
    ).encode()


def directory(engines):
    """Print the cost of a registration that changes only its sequence, and of a choice."""
    own = EndpointDirectory(FailureDomain("a", "r"), Random(1))
    names = [f"e{n}" for n in range(engines)]
    for n, name in enumerate(names):
        domain = FailureDomain("abc"[n % 3], "r")
        own.update(
            DirectEndpoint(
                name, "engines", Address("h", n + 1), domain, SLOTS, models=(LoadedModel("m", 5),)
            )
        )
    rounds = 200
    start = perf_counter()
    for _ in range(rounds):
        own.call_started(own.choose("engines", (), 1.0).endpoint.name)
    choice = (perf_counter() - start) / rounds
    registrations = EndpointList(VirtualTime(), own, EndpointDecoder({"a": "r"}).decode)
    rows = [registration_row(n, 1) for n in range(engines)]
    for n, name in enumerate(names):
        registrations.apply((StoredRow(RowKey("t", "p", name), rows[n], 1),), False)
    rows = [registration_row(n, 2) for n in range(engines)]
    start = perf_counter()
    for n, name in enumerate(names):
        registrations.apply((StoredRow(RowKey("t", "p", name), rows[n], 1),), False)
    registration = (perf_counter() - start) / engines
    print(f"  a choice {1e6 * choice:.1f} µs, a registration {1e6 * registration:.1f} µs")


def main():
    """Print the figures of each number of engines."""
    logger.remove()
    if "--no-gc" in sys.argv:
        gc.disable()
    sizes = [int(each) for each in sys.argv[1:] if each.isdigit()] or [100, 300, 1000, 3000]
    for engines in sizes:
        print(f"{engines} engines of {SLOTS} slots, {2 * SLOTS * engines} items")
        for free_slots in (SLOTS, 0):
            times = [f"index {1000 * placement(engines, free_slots, assign_items):.1f} ms"]
            if engines <= MAX_REFERENCE_ENGINES:
                seconds = placement(engines, free_slots, reference_assign_items)
                times.append(f"every engine {1000 * seconds:.1f} ms")
            print(f"  placing {SLOTS * engines} items, {free_slots} free slots: {', '.join(times)}")
        directory(engines)
        # Long items keep all slots busy while as many items again wait.
        events = (180, 220) if "--long" in sys.argv else (20, 60)
        scheduler(engines, "--profile" in sys.argv, events)


if __name__ == "__main__":
    main()
