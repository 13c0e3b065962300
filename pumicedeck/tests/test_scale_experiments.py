"""Tests of catalogue propagation and membership with many processes in virtual time."""

import pytest
from typer.testing import CliRunner

from pumicedeck.experiment_commands import experiment_app
from pumicedeck.scale_deployments import DeploymentSize, SimulatedDeployment
from pumicedeck.scale_experiments import (
    PROPAGATION_TARGET_SECONDS,
    ScaleDurations,
    ScaleFigures,
    count_reverts,
    render_scale,
    run_scale,
)
from pumicedeck.scale_memories import membership_memory
from pumicedeck.scale_processes import Installation

STORE_READS_PER_SECOND = 2000
STORE_WRITES_PER_SECOND = 300
NODE_BYTES_PER_SECOND = 18_000
NODE_MEMORY_BYTES = 256_000_000
TARGET_PROCESSES = 980
SIZE = DeploymentSize(18, 30)


@pytest.fixture(scope="module")
def figures() -> tuple[ScaleFigures, ...]:
    return run_scale((SIZE,), seed=3, durations=ScaleDurations(100.0, 600.0, 600.0))


def test_every_change_is_in_force_in_every_process_within_the_target(
    figures: tuple[ScaleFigures, ...],
) -> None:
    assert sum(each.changes for each in figures) > 10
    for each in figures:
        assert each.missed == 0, each.scenario
        assert each.slowest <= PROPAGATION_TARGET_SECONDS, each.scenario
        assert each.reverts == 0, each.scenario


def test_store_and_nodes_stay_within_their_budgets(figures: tuple[ScaleFigures, ...]) -> None:
    factor = TARGET_PROCESSES / SIZE.processes
    for each in figures:
        assert each.reads_peak * factor <= STORE_READS_PER_SECOND, each.scenario
        assert each.writes_peak <= STORE_WRITES_PER_SECOND, each.scenario
        assert max(each.entry_bytes, each.agent_bytes) <= NODE_BYTES_PER_SECOND, each.scenario


def test_the_table_has_a_line_for_each_scenario(figures: tuple[ScaleFigures, ...]) -> None:
    lines = render_scale(figures).splitlines()
    assert len(lines) == 2 + len(figures)
    assert len({line.count("|") for line in lines}) == 1


def test_a_revert_would_be_counted() -> None:
    deployment = SimulatedDeployment(DeploymentSize(1, 1), 1)
    process = next(iter(deployment.cluster.processes.values()))
    process.installations += [Installation(1.0, 5), Installation(2.0, 4), Installation(3.0, 6)]
    assert count_reverts(deployment.processes()) == 1


def test_the_membership_takes_a_small_part_of_the_memory_of_a_node() -> None:
    assert 0 < membership_memory(DeploymentSize(95, 150)) < NODE_MEMORY_BYTES / 4


def test_the_commands_print_their_tables() -> None:
    runner = CliRunner()
    scale_result = runner.invoke(experiment_app, ["scale", "--size", "2x3", "--hour", "60"])
    assert (scale_result.exit_code, scale_result.output.count("\n| 2 | 3 |")) == (0, 6)
    races_result = runner.invoke(experiment_app, ["races", "--schedules", "1"])
    assert (races_result.exit_code, bool(races_result.output)) == (0, True)
