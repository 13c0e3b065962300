"""Items of a single-version route whose engine is lost while the others have other weights.

Guards against items that stay at no engine: output that began under weights which no engine had
any longer could neither go on nor be discarded, so the step ran out of time with free engines.
"""

from dataclasses import replace

import pytest

from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.route_tables import RouteTable
from pumicedeck.tests.scheduler_simulations import (
    MODEL,
    ROUTES,
    SchedulerSimulation,
    complete_text,
)

LENGTH = 80


def simulate(single_version=True, **options):
    simulation = SchedulerSimulation(**options)
    set_single_version(simulation, single_version)
    return simulation


def set_single_version(simulation, single_version):
    drafts, scores = ROUTES.routes
    route = replace(drafts, single_version=single_version)
    simulation.routes = RouteTable(1, (route, scores), {})


def load(simulation, names, version):
    """Have engines hold a weight version, as they register it after a load."""
    for name in names:
        engine = simulation.engines[name]
        engine.version = version
        engine.endpoint = replace(engine.endpoint, models=(LoadedModel(MODEL, version),))
        for process in simulation.processes:
            process.directory.update(engine.endpoint)


def start_one_item(simulation):
    """Submit an item and return the name of the engine that runs it after a second."""
    simulation.submit(simulation.processes[0], [[LENGTH]])
    simulation.run(1.0)
    ((_, _, _, name),) = simulation.starts("0-0")
    return name


def others(simulation, name):
    return [each for each in simulation.engines if each != name]


def check_whole(simulation, versions):
    (result,) = simulation.results(simulation.processes[-1])
    assert result.completed and result.text == complete_text("0-0", LENGTH)
    assert result.versions == versions


def test_an_item_whose_weight_version_no_engine_has_any_longer_begins_anew():
    simulation = simulate()
    name = start_one_item(simulation)
    load(simulation, others(simulation, name), 2)
    simulation.remove_engine(name)
    simulation.run(5.0)
    check_whole(simulation, (2,))


def test_an_item_goes_on_at_the_engine_that_still_has_its_weight_version():
    simulation = simulate()
    name = start_one_item(simulation)
    kept, *changed = others(simulation, name)
    load(simulation, changed, 2)
    simulation.remove_engine(name)
    simulation.run(5.0)
    check_whole(simulation, (1,))
    assert simulation.starts("0-0")[1][3] == kept and simulation.starts("0-0")[1][2] > 10


def test_a_successor_begins_an_item_anew_whose_stored_output_has_weights_that_are_gone():
    simulation = simulate()
    name = start_one_item(simulation)
    simulation.run(1.0)
    simulation.processes[0].kill()
    load(simulation, others(simulation, name), 2)
    simulation.remove_engine(name)
    simulation.run(8.0)
    check_whole(simulation, (2,))


def test_output_of_two_weight_versions_is_discarded_once_its_route_asks_for_one():
    simulation = simulate(single_version=False)
    name = start_one_item(simulation)
    simulation.engines[name].version = 2
    simulation.run(0.5)
    set_single_version(simulation, True)
    simulation.remove_engine(name)
    load(simulation, others(simulation, name), 2)
    simulation.run(5.0)
    check_whole(simulation, (2,))


@pytest.mark.parametrize("seed", range(6))
def test_all_items_are_whole_and_of_one_version_whatever_engines_load_and_are_lost(seed):
    simulation = simulate(engines=4, slots=4)
    lengths = [[40, 20, 60, 30]] * 4
    simulation.submit(simulation.processes[0], lengths)
    names = list(simulation.engines)
    lost = names[seed % 4]
    for number in range(3):
        simulation.run(0.3 + 0.2 * (seed % 3))
        load(simulation, [names[(seed + number + 1) % 4]], 2)
    simulation.remove_engine(lost)
    simulation.run(16.0)
    results = simulation.results(simulation.processes[-1])
    assert sum(result.completed for result in results) == 16
    assert all(len(result.versions) == 1 for result in results)


def test_an_engine_that_refuses_an_item_again_and_again_does_not_keep_it_waiting():
    # Each refusal began the wait for a slot anew, so the item never began anew elsewhere.
    simulation = simulate()
    name = start_one_item(simulation)
    load(simulation, others(simulation, name), 2)
    engine = simulation.engines[name]
    engine.ends += 1
    engine.busy = True
    simulation.run(9.0)
    check_whole(simulation, (2,))
    refused = [start for start in simulation.starts("0-0")[1:] if start[3] == name]
    assert len(refused) >= 2
