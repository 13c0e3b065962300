"""Runs every policy of an experiment file with every seed, in virtual time."""

from pathlib import Path

from result import Err, Ok, Result

from pumicedeck.experiment_files import Experiment, read_experiment
from pumicedeck.experiment_reports import ExperimentReport
from pumicedeck.experiment_runs import run_policy
from pumicedeck.queues import QUEUES
from pumicedeck.results import Failure, ResultCode
from pumicedeck.routers import ROUTERS
from pumicedeck.virtual_count_routers import VirtualCountRouter

# Importing the module of a router registers it under its name.
EXPERIMENTAL_ROUTERS = (VirtualCountRouter,)


def run_experiment(path: Path) -> Result[ExperimentReport, Failure]:
    """Read and run an experiment file; an invalid file fails with BAD_SETTINGS."""
    read = read_experiment(path)
    if read.is_err():
        return Err(read.unwrap_err())
    return measure(read.unwrap())


def measure(experiment: Experiment) -> Result[ExperimentReport, Failure]:
    """Run every policy of an experiment with every seed and return the report."""
    for policy in experiment.policies:
        if policy.router not in ROUTERS or policy.queue not in QUEUES:
            return Err(
                Failure(ResultCode.BAD_SETTINGS, f"unknown router or queue in policy {policy.name}")
            )
    runs = tuple(
        run_policy(experiment, policy, seed)
        for policy in experiment.policies
        for seed in experiment.seeds
    )
    return Ok(ExperimentReport(experiment.name, runs))
