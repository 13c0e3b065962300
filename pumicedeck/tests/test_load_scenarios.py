"""Targets under load and faults, checked in the example experiments with one seed.

The experiments run in virtual time.
"""

from functools import cache
from pathlib import Path

import pytest

from pumicedeck.experiment_figures import pooled_percentile
from pumicedeck.experiment_files import read_experiment
from pumicedeck.experiment_runs import run_policy

EXAMPLES = Path(__file__).parents[2] / "examples" / "experiments"
MAX_INTERACTIVE_P99_RATIO = 1.3
MIN_PREFIX_HIT_RATIO = 1.5
MAX_NEIGHBOUR_P99_RATIO = 1.1
MIN_NEIGHBOUR_SERVED_FRACTION = 0.95
HALF_SHARE_DEMAND = 0.5
NEAR_SHARE_DEMAND = 0.9
MIN_GOODPUT_FRACTION = 0.9
MAX_RECOVERY_SECONDS = 30.0
MAX_ATTEMPTS_PER_REQUEST = 1.1


def read(name, **changes):
    experiment = read_experiment(EXAMPLES / f"{name}.yaml").unwrap()
    return experiment.model_copy(update=changes)


def run(experiment, policy="fair"):
    found = next(each for each in experiment.policies if each.name == policy)
    return run_policy(experiment, found, experiment.seeds[0])


@cache
def run_trainers(policy, with_trainers=True):
    experiment = read("trainers")
    if not with_trainers:
        loads = [each for each in experiment.loads if each.request_class != "rollout"]
        experiment = experiment.model_copy(update={"loads": tuple(loads)})
    return run(experiment, policy)


def test_interactive_work_does_not_wait_for_trainers():
    without_trainers, with_all = run_trainers("express", False), run_trainers("express")
    for entry in ("booking", "preview", "tax-check"):
        assert (
            with_all.load(entry).p99 < MAX_INTERACTIVE_P99_RATIO * without_trainers.load(entry).p99
        )
        assert with_all.load(entry).whole == with_all.load(entry).offered
    offered = sum(each.offered_tokens_per_second for each in with_all.loads)
    assert offered >= 1.9 * with_all.capacity[0]


def test_prefix_hits_beat_two_random_choices():
    express, two_choices = run_trainers("express"), run_trainers("two-choices")
    assert express.prefix_hit_rate >= MIN_PREFIX_HIT_RATIO * two_choices.prefix_hit_rate
    assert express.attempts_per_request <= MAX_ATTEMPTS_PER_REQUEST


def with_more_demand(experiment, factor):
    """Return the experiment with the request rate of every firm but "flood" times `factor`."""
    loads = [
        each if each.firm == "flood" else each.model_copy(update={"rate": each.rate * factor})
        for each in experiment.loads
    ]
    return experiment.model_copy(update={"loads": tuple(loads)})


@pytest.mark.parametrize(
    ("firms", "demand"),
    [
        (2, HALF_SHARE_DEMAND),
        (20, HALF_SHARE_DEMAND),
        (2, NEAR_SHARE_DEMAND),
        (20, NEAR_SHARE_DEMAND),
    ],
)
def test_a_firm_at_ten_times_its_share_harms_no_other(firms, demand):
    changes = {"seconds": 90.0, "warmup": 20.0}
    factor = demand / HALF_SHARE_DEMAND
    base = run(with_more_demand(read(f"starvation-{firms}-base", **changes), factor))
    flood = run(with_more_demand(read(f"starvation-{firms}", **changes), factor))
    for kind in ("calls", "drafts"):
        before, after = (
            [each for each in figures.loads if each.entry.startswith(kind)]
            for figures in (base, flood)
        )
        assert len(after) == firms - 1
        ninety_ninth = pooled_percentile(before, 99)
        assert pooled_percentile(after, 99) <= MAX_NEIGHBOUR_P99_RATIO * ninety_ninth
    for number in range(firms - 1):
        firm = "firm" if firms == 2 else f"firm-{number}"
        own = [each for each in flood.loads if each.firm == firm]
        expected = sum(each.offered_tokens_per_second for each in own)
        assert (
            sum(each.tokens_per_second for each in own) >= MIN_NEIGHBOUR_SERVED_FRACTION * expected
        )


@pytest.mark.parametrize(
    ("name", "start", "end"),
    [
        ("surge", 65.0, 120.0),
        ("domain-loss", 65.0, 100.0),
        ("slow-endpoint", 65.0, 100.0),
        ("late-reports", 65.0, 100.0),
    ],
)
def test_goodput_returns_by_itself(name, start, end):
    figures = run(read(name, seconds=end + 30.0 if name == "surge" else end + 5.0))
    offered = sum(each.offered_tokens_per_second for each in figures.loads)
    capacity_left = figures.capacity[int(start // 5)]
    fraction = figures.goodput_fraction(start, end)
    expected = 1.0 if name == "surge" else min(1.0, offered / capacity_left)
    assert fraction >= MIN_GOODPUT_FRACTION * expected
    assert figures.recovery_seconds <= MAX_RECOVERY_SECONDS
    assert figures.attempts_per_request <= MAX_ATTEMPTS_PER_REQUEST


def test_interactive_work_recovers_from_a_slow_endpoint():
    changes = {"warmup": 60.0 + MAX_RECOVERY_SECONDS, "seconds": 135.0}
    slow = run(read("slow-endpoint", **changes))
    healthy = run(read("slow-endpoint", faults=(), **changes))
    for entry in ("booking", "preview"):
        assert slow.load(entry).p99 < MAX_INTERACTIVE_P99_RATIO * healthy.load(entry).p99
