"""Tests that idle time, staleness and swap time meet their targets in the experiments."""

import pytest
from typer.testing import CliRunner

from pumicedeck.clocks import VirtualTime
from pumicedeck.draft_experiments import GROUP_SAMPLES, DraftRun
from pumicedeck.draft_policies import POLICIES, WORKLOADS
from pumicedeck.experiment_commands import experiment_app
from pumicedeck.experiment_pools import sample_tokens
from pumicedeck.experiment_samplers import FakeSampler, SamplerSequence, SamplerSpeed
from pumicedeck.messages import DraftId
from pumicedeck.swap_experiments import SWAP_TARGET_SECONDS, SwapScene, measure_swaps

STEPS = 2
MEASURED_STEPS = 8


@pytest.mark.parametrize("workload", WORKLOADS, ids=lambda each: each.entry.name)
def test_idle_time_is_at_most_half_of_the_better_baselines_and_nothing_is_stale(workload) -> None:
    figures_by_policy = {}
    for policy in (POLICIES[0], POLICIES[1], POLICIES[-1]):
        figures_by_policy[policy.name] = DraftRun(workload, policy, 0, MEASURED_STEPS).run()
    avoidable_idle_shares = {
        name: each.idle_share - each.unavoidable_share for name, each in figures_by_policy.items()
    }
    own_share = avoidable_idle_shares.pop("pumicedeck")
    assert own_share <= min(avoidable_idle_shares.values()) / 2
    assert figures_by_policy["pumicedeck"].stale_share == 0.0


def test_the_lengths_delivered_are_those_of_all_samples_that_were_started() -> None:
    run = DraftRun(WORKLOADS[1], POLICIES[-1], 5, STEPS)
    run.run()
    groups = WORKLOADS[1].groups
    for step in range(STEPS):
        expected_lengths = sorted(
            float(int(sample_tokens(5, DraftId("redator", "trainer", step, group, index))))
            for group in range(groups)
            for index in range(GROUP_SAMPLES)
        )
        assert sorted(run.tokens(step)) == expected_lengths


def test_the_fake_sampler_shares_its_speed_and_restarts_at_a_swap() -> None:
    time = VirtualTime()
    speed = SamplerSpeed(slots=2, token_seconds=0.1, slowdown=1.0, install_seconds=1.0)
    sampler, ends = FakeSampler(time, speed), {}
    for name in ("a", "b"):
        done = lambda end, name=name: ends.update({name: (time.now(), end.versions)})  # noqa: E731
        sampler.submit(SamplerSequence(name, 10.0, done, 0.0))
    time.run_until(1.0)
    sampler.swap(1, restart=True)
    time.run_until(10.0)
    assert ends == {"a": (pytest.approx(4.0), (1,)), "b": (pytest.approx(4.0), (1,))}


def test_new_weights_are_in_force_on_600_samplers_within_the_target() -> None:
    (figures,) = measure_swaps(SwapScene(), seeds=1)
    assert figures.failed_orders > 0
    assert figures.all_seconds <= SWAP_TARGET_SECONDS


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        (["swaps", "--samplers", "6", "--seeds", "1"], 0),
        (["drafts", "--scene", "unknown"], 2),
        (["drafts", "--steps", "1"], 2),
    ],
)
def test_the_commands_check_their_arguments_and_print_a_table(arguments, status) -> None:
    result = CliRunner().invoke(experiment_app, arguments)
    assert result.exit_code == status
    assert ("all_seconds" in result.output) is (status == 0)
