"""Tests of the weight follower with stand-ins: swaps and attribution under faults."""

import json
import random
from dataclasses import replace

import pytest

from pumicedeck.catalogue_entries import SwapPolicy
from pumicedeck.clocks import VirtualTime
from pumicedeck.faults import Fault, FaultRate, FaultSwitches
from pumicedeck.platform_interfaces import Generation, LoadedModel, OrderKind, WeightVersion
from pumicedeck.standin_engines import StandinEngine
from pumicedeck.standin_ledgers import EngineSettings
from pumicedeck.standin_tables import StandinTableStore, TableData
from pumicedeck.standin_weights import StandinWeightStore
from pumicedeck.swaps import RunningDraft, SwapPosition
from pumicedeck.tests.draw_fixtures import ENTRY
from pumicedeck.weight_followers import FollowerPorts, WeightFollower

SIZE = 10**9


class _Agent:
    """A follower with its engine; `attributed` maps drafts to their versions and `bracketed`."""

    def __init__(self, time, weights, data, number, rng, engine=None, **settings) -> None:
        self.time, self.rng = time, rng
        options = {"models": (LoadedModel("m", 1),), "install_seconds": 1.0} | settings
        faults = FaultSwitches(rng)
        self.engine = engine or StandinEngine(
            time, faults, EngineSettings(**options), weights.fetch, f"e{number}", rng
        )
        self.table = StandinTableStore(time, FaultSwitches(rng), data)
        self.drafts: list[RunningDraft] = []
        self.follower = WeightFollower(
            f"e{number}",
            f"vm{number}/{rng.random()}",
            FollowerPorts(time, self.table, weights, self.engine),
            options.get("checks_fencing", True),
            rng,
            running=lambda: self.drafts,
        )
        self.attributed: dict[str, tuple[tuple[int, ...], bool]] = {}
        self.follower.start(["m"])

    def draft(self, handle: str, tokens: int) -> bool:
        if self.follower.admit("m").is_err():
            return False
        version_tracker = self.follower.version_tracker
        version_tracker.started(handle, "m")
        body = json.dumps({"prompt": handle, "max_tokens": tokens}).encode()

        def done(outcome) -> None:
            attributed = version_tracker.ended(handle)
            if outcome.is_ok():
                self.attributed[handle] = attributed

        generation = Generation(handle, "m", "/v1", body, streamed=True)
        self.engine.generate(
            generation, lambda chunk: version_tracker.reported(handle, chunk), done
        )
        return True

    def versions_used(self) -> dict[str, set[int]]:
        return {
            entry.handle: set(entry.versions)
            for entry in self.engine.ledger
            if entry.outcome == "finished"
        }


def _publish(weights: StandinWeightStore, version: int) -> None:
    weights.publish(WeightVersion("m", version, SIZE), lambda outcome: None)


def _start_simulation(count: int = 1, seed: int = 0, **settings):
    time, rng, data = VirtualTime(), random.Random(seed), TableData()
    weights = StandinWeightStore(time, FaultSwitches(rng), 10e9)
    agents = [_Agent(time, weights, data, number, rng, **settings) for number in range(count)]
    for number, agent in enumerate(agents):
        agent.follower.set_swap_position(SwapPosition(number, count))
    return time, weights, agents


def test_every_engine_swaps_to_new_weights_one_after_the_other() -> None:
    time, weights, agents = _start_simulation(6)
    time.run_until(10.0)
    _publish(weights, 2)
    time.run_until(30.0)
    assert [agent.follower.version("m") for agent in agents] == [2] * 6
    assert weights.fetches == 6
    assert sum(agent.table.usage.transactions for agent in agents) == 12


@pytest.mark.parametrize(
    "fault", [Fault.PARTIAL_SWAP, Fault.LOSE_REPLY, Fault.LOSE_REQUEST, Fault.SILENT, Fault.CRASH]
)
def test_a_failed_swap_is_repeated_until_the_version_is_active(fault) -> None:
    time, weights, (agent,) = _start_simulation()
    time.run_until(10.0)
    agent.engine.faults.script(fault, 1, "order")
    _publish(weights, 2)
    time.run_until(20.0)
    if fault is Fault.CRASH:
        assert agent.follower.admit("m").is_err()
        agent.engine.restart()
    time.run_until(60.0)
    assert agent.follower.version("m") == 2
    assert agent.follower.admit("m").is_ok()


def test_no_draft_work_between_a_partial_swap_and_the_next_report() -> None:
    time, weights, (agent,) = _start_simulation()
    time.run_until(10.0)
    agent.engine.faults.set_rates(FaultRate(Fault.PARTIAL_SWAP, 1.0, "order"))
    _publish(weights, 2)
    time.run_until(20.0)
    assert not agent.draft("d1", 8)
    assert agent.versions_used() == {}


def test_a_follower_without_its_lease_table_sends_no_order_but_its_successor_does() -> None:
    time, weights, (first,) = _start_simulation(checks_fencing=False)
    time.run_until(10.0)
    first.table.faults.down = True
    _publish(weights, 2)
    time.run_until(30.0)
    assert first.follower.counts.ordered == 0
    second = _Agent(
        time, weights, first.table.data, 0, random.Random(1), first.engine, checks_fencing=False
    )
    time.run_until(60.0)
    assert second.follower.version("m") == 2
    assert len(first.engine.orders) == 1


def test_running_drafts_are_restarted_or_waited_for_by_cost_weights() -> None:
    for elapsed, remaining, policy in (
        (1.0, 60.0, SwapPolicy.RESTART),
        (300.0, 2.0, SwapPolicy.FINISH),
    ):
        time, weights, (agent,) = _start_simulation()
        time.run_until(10.0)
        agent.drafts = [RunningDraft(replace(ENTRY, model="m"), elapsed, remaining, 1)]
        _publish(weights, 2)
        time.run_until(30.0)
        order = agent.engine.orders[0].order
        assert order.restart_running is (policy is SwapPolicy.RESTART)


def test_a_change_of_role_is_ordered_under_the_lease() -> None:
    time, _, (agent,) = _start_simulation()
    time.run_until(5.0)
    agent.follower.change_role("prefill")
    time.run_until(8.0)
    assert agent.engine.orders[0].order.kind is OrderKind.CHANGE_ROLE
    assert agent.engine.orders[0].order.fencing == 1


def test_a_closed_follower_sends_no_orders() -> None:
    time, weights, (agent,) = _start_simulation()
    time.run_until(10.0)
    _publish(weights, 2)
    time.run_until(14.5)
    agent.follower.close()
    time.run_until(40.0)
    ordered = agent.follower.counts.ordered
    _publish(weights, 3)
    time.run_until(60.0)
    assert agent.follower.counts.ordered == ordered


@pytest.mark.parametrize("reports", [True, False])
@pytest.mark.parametrize("seed", range(6))
def test_versions_equal_the_ledger_under_random_faults(seed, reports) -> None:
    time, weights, agents = _start_simulation(3, seed, reports_versions=reports)
    rng = random.Random(seed)
    for agent in agents:
        agent.engine.faults.set_rates(
            FaultRate(Fault.PARTIAL_SWAP, 0.15, "order"),
            FaultRate(Fault.LOSE_REPLY, 0.1, "order"),
            FaultRate(Fault.LOSE_REQUEST, 0.1, "order"),
            FaultRate(Fault.LOSE_REPLY, 0.03, "generate"),
            FaultRate(Fault.LOSE_REPLY, 0.05, "state"),
        )
        agent.table.faults.set_rates(FaultRate(Fault.LOSE_REPLY, 0.1))
    for tick in range(1, 800):
        time.run_until(tick * 0.25)
        chance = rng.random()
        agent = rng.choice(agents)
        if tick % 80 == 0:
            _publish(weights, 1 + tick // 80)
        if chance < 0.3:
            agent.draft(f"d{tick}", rng.choice((8, 100, 400)))
        elif chance < 0.303:
            agent.engine.crash()
            time.call_later(3.0, agent.engine.restart)
    time.run_until(240.0)
    checked = 0
    for agent in agents:
        versions_used = agent.versions_used()
        for handle, (versions, bracketed) in agent.attributed.items():
            if not versions:
                continue
            checked += 1
            assert versions_used[handle] <= set(versions)
            assert bracketed or versions_used[handle] == set(versions)
    assert checked > 50


def test_after_a_failed_call_no_draft_starts_before_the_state_was_read() -> None:
    time, _, (agent,) = _start_simulation(reports_versions=False)
    time.run_until(5.0)
    agent.engine.crash()
    agent.engine.restart()
    agent.follower.engine_failed()
    assert not agent.draft("d1", 8)
    time.run_until(5.5)
    assert agent.draft("d2", 8)
