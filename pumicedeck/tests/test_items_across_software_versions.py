"""Engines of two software versions in one pool, and items whose output goes on elsewhere.

Guards against output that goes on at an engine of another software version than the one that began
it: half of the outputs that went on at another engine did so during a release, since engines were
chosen by free slots and weights only.
"""

from dataclasses import replace

import pytest

from pumicedeck.route_tables import RouteTable
from pumicedeck.tests.scheduler_simulations import ROUTES, SchedulerSimulation

LENGTH = 80


def software_of(result):
    """Return the software versions that generated the events of a result."""
    return {line.partition("@")[2] for line in result.text.split("\n")}


def check_one_version_each(simulation, count=1, name="s0"):
    """Check that there are `count` complete results, none with events of two versions."""
    results = [
        result for result in simulation.results(simulation.processes[-1], name) if result.completed
    ]
    assert len(results) == count
    for result in results:
        assert len(software_of(result)) == 1, result.item_id
        numbers = [
            int(line.partition("@")[0].rpartition(".")[2]) for line in result.text.split("\n")
        ]
        assert numbers == list(range(1, len(numbers) + 1))
    return results


def start_one_item(simulation, **options):
    """Submit an item and return the name of the engine that runs it after a second."""
    simulation.submit(simulation.processes[0], [[LENGTH]], **options)
    simulation.run(1.0)
    ((_, _, _, name),) = simulation.starts("0-0")
    return name


def other_version(simulation, name):
    """Return the names of the engines that run another software version than `name`."""
    software = simulation.engines[name].endpoint.software_version
    return [
        engine.endpoint.name
        for engine in simulation.engines.values()
        if engine.endpoint.software_version != software
    ]


def test_an_item_whose_engine_is_lost_does_not_go_on_at_another_software_version():
    simulation = SchedulerSimulation(software=("v1", "v2", "v1", "v2"), engines=4)
    name = start_one_item(simulation)
    for each in simulation.engines.values():
        same = each.endpoint.name not in other_version(simulation, name)
        each.event_seconds = 0.05 if same else 0.03
    simulation.remove_engine(name)
    simulation.run(6.0)
    check_one_version_each(simulation)


def test_an_item_without_an_engine_of_its_software_version_begins_anew():
    simulation = SchedulerSimulation(software=("v1", "v2"), engines=2)
    name = start_one_item(simulation)
    simulation.remove_engine(name)
    simulation.run(6.0)
    (result,) = check_one_version_each(simulation)
    assert software_of(result) != {simulation.engines[name].endpoint.software_version}


def test_a_moved_item_does_not_go_on_at_another_software_version():
    simulation = SchedulerSimulation(software=("v1", "v2", "v2"), engines=3)
    name = start_one_item(simulation)
    for each in simulation.engines.values():
        each.event_seconds = 0.03
    simulation.engines[name].event_seconds = 0.2
    simulation.run(20.0)
    check_one_version_each(simulation)


def test_an_item_cut_by_a_weight_order_does_not_go_on_at_another_software_version():
    simulation = SchedulerSimulation(software=("v1", "v2"), engines=2)
    drafts, scores = ROUTES.routes
    single = replace(drafts, single_version=True)
    simulation.routes = RouteTable(1, (single, scores), {})
    name = start_one_item(simulation)
    simulation.engines[name].version = 2
    simulation.run(8.0)
    check_one_version_each(simulation)


def test_a_successor_does_not_let_stored_output_go_on_at_another_software_version():
    simulation = SchedulerSimulation(software=("v1", "v2"), engines=2)
    name = start_one_item(simulation)
    simulation.run(1.0)
    simulation.processes[0].kill()
    simulation.remove_engine(name)
    simulation.run(8.0)
    check_one_version_each(simulation)


def test_output_of_an_earlier_step_does_not_go_on_at_another_software_version():
    simulation = SchedulerSimulation(software=("v1", "v2"), engines=2)
    name = start_one_item(simulation)
    simulation.run(1.0)
    simulation.end(simulation.processes[0])
    simulation.remove_engine(name)
    simulation.submit(simulation.processes[0], [[LENGTH]], "s1", step=1)
    simulation.run(6.0)
    check_one_version_each(simulation, name="s1")


@pytest.mark.parametrize("registered_after", [0.0, 0.6, 1.2])
def test_an_engine_that_returns_with_another_software_version_does_not_go_on(registered_after):
    simulation = SchedulerSimulation(software=("v1",), engines=1)
    start_one_item(simulation)
    simulation.replace_software("e0", "v2", registered_after)
    simulation.run(12.0)
    check_one_version_each(simulation)


def test_many_items_under_a_release_keep_to_their_software_version():
    software = ("v1", "v2", "v1", "v2")
    simulation = SchedulerSimulation(software=software, engines=4, slots=8)
    simulation.submit(simulation.processes[0], [[40, 60, 50, 70]] * 10)
    for name in ("e0", "e1", "e2"):
        simulation.run(1.0)
        simulation.engines[name].ends += 1
    simulation.processes[0].kill()
    simulation.run(14.0)
    check_one_version_each(simulation, 40)


def test_output_of_a_restarted_engine_is_not_left_in_the_store_under_the_earlier_version():
    simulation = SchedulerSimulation(software=("v1",), engines=1)
    start_one_item(simulation)
    simulation.replace_software("e0", "v2", 0.9)
    simulation.run(1.4)
    simulation.processes[0].kill()
    simulation.run(14.0)
    check_one_version_each(simulation)
