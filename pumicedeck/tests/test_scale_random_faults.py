"""Tests that a simulated deployment recovers from overlapping random faults."""

import pytest

from pumicedeck.scale_deployments import DeploymentSize
from pumicedeck.scale_random_faults import run_random_faults


@pytest.mark.parametrize("seed", range(6))
def test_every_process_recovers_and_no_process_steps_back(seed: int) -> None:
    report = run_random_faults(DeploymentSize(9, 12), seed, seconds=600.0)
    assert report.action_count > 10
    assert report.commits > 1
    assert (report.reverts, report.behind, report.unready, report.isolated) == (0, 0, 0, 0)
