"""The index of engines decides as a look at every engine does, on random states.

Guards against an index that overlooks an engine or resolves equal costs in another order, and
against a pass that again takes time in proportion to items times engines.
"""

from copy import deepcopy
from random import Random

import pytest

from pumicedeck.scheduling import item_placements
from pumicedeck.scheduling.item_placements import EngineIndex, assign_items
from pumicedeck.scheduling.item_queues import EngineView, QueuedItem, QueueSettings
from pumicedeck.tests import reference_placements

MODELS = ("m0", "m1", "m2")


def random_engine(random, number):
    even = random.random() < 0.5
    return EngineView(
        f"e{number}",
        random.choice(("engines", "engines", "others")),
        random.randint(0, 4),
        4 if even else random.randint(1, 8),
        {model: random.randint(0, 3) for model in MODELS if random.random() < 0.8},
        event_seconds=0.04 if even else random.choice((0.04, 0.05, random.uniform(0.03, 0.4))),
        distance_seconds=random.choice((0.0, 0.0, 0.05, 0.3)),
        assigned_model=random.choice(("", *MODELS)),
        groups={f"g{random.randint(0, 9)}" for _ in range(random.randint(0, 2))},
        software=random.choice(("v1", "v1", "v2")),
    )


def random_item(random, number):
    done = random.choice((0, 0, random.randint(1, 40)))
    return QueuedItem(
        f"i{number}",
        f"s{number % 3}",
        random.choice(MODELS),
        random.choice(("engines", "engines", "others")),
        f"g{random.randint(0, 9)}",
        random.randint(0, 3),
        random.choice((1.0, 5.0, 9.0)),
        expected_events_left=random.choice((0.0, 20.0, random.uniform(1.0, 200.0))),
        carried_over=random.random() < 0.2,
        single_version=random.random() < 0.2,
        versions=(random.randint(1, 3),) if done else (),
        software=random.choice(("v1", "v2", "v3")) if done else "",
        events_done=done,
        waited_seconds=random.choice((0.0, 0.5, 3.0)),
        avoided_engines=frozenset(
            f"e{random.randint(0, 30)}" for _ in range(random.choice((0, 0, 1, 4)))
        ),
    )


@pytest.mark.parametrize("seed", range(60))
def test_the_index_decides_as_a_look_at_every_engine_does(seed):
    random = Random(seed)
    settings = QueueSettings(random.random() < 0.8, random.random() < 0.8)
    for _ in range(10):
        engines = [random_engine(random, n) for n in range(random.randint(0, 30))]
        items = [random_item(random, n) for n in range(random.randint(0, 80))]
        copies = deepcopy(engines)
        expected = reference_placements.assign_items(items, copies, 4.0, settings)
        assert assign_items(items, engines, 4.0, settings) == expected
        assert engines == copies


@pytest.mark.parametrize("seed", range(30))
def test_an_index_that_follows_changes_decides_as_a_new_one(seed):
    """Guards against remembered matches or slots of engines that changed, came or left."""
    random = Random(seed)
    index = EngineIndex([random_engine(random, n) for n in range(12)])
    for _ in range(60):
        number = random.randint(0, 15)
        if random.random() < 0.3:
            index.remove(f"e{number}")
        else:
            index.add(random_engine(random, number), number)
        item = random_item(random, 0)
        engines = index.engines
        assert index.can_continue(item) == any(e.may_run(item, False) for e in engines)
        assert index.has_room(item) == any(
            e.may_run(item, True) and e.free_slots > 0 for e in engines
        )
        assigned = reference_placements.assign_items([item], deepcopy(engines), 4.0)
        chosen = index.choose(item)
        assert [each.engine for each in assigned] == ([chosen.name] if chosen else [])
        if chosen is not None:
            index.take_slot(chosen, item.group)


def test_an_item_looks_at_few_of_many_engines(monkeypatch):
    """Guards against a pass that takes items times engines: 1,600 items on 400 engines."""
    looked_at = []
    cost = item_placements.assignment_cost

    def count(item, engine, settings):
        looked_at.append(engine.name)
        return cost(item, engine, settings)

    monkeypatch.setattr(item_placements, "assignment_cost", count)
    random = Random(1)
    engines = [
        EngineView(f"e{n}", "p", 4, 4, {"m": 1}, event_seconds=random.uniform(0.03, 0.05))
        for n in range(400)
    ]
    items = [QueuedItem(f"i{n}", "s", "m", "p", f"g{n // 8}", 1, 9.0) for n in range(1700)]
    assert len(assign_items(items, engines, 0.0)) == 1600
    assert len(looked_at) < 10 * len(items)
