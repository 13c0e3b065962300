"""Tests of the selection of agents and of the sessions that an entry opens and closes."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest
from result import Err, Ok

from pumicedeck.agent_selections import (
    BOOTSTRAP_AGENTS,
    MIN_AGENTS_PER_POOL,
    AgentRanking,
    SelectionSettings,
)
from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, RequestClass
from pumicedeck.memberships import (
    CloseSession,
    ListVms,
    Membership,
    MembershipSettings,
    NotifyLeaving,
    OpenSession,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import (
    Address,
    Endpoint,
    EndpointKind,
    FailureDomain,
    Vm,
    VmRole,
    VmState,
)

SETTINGS = SelectionSettings()


def _vms(entries: int, agents: int, pools: int) -> tuple[Vm, ...]:
    domains = [FailureDomain(f"d{index}", f"r{index % 2}") for index in range(6)]
    address = Address("127.0.0.1", 1)
    found = [
        Vm(f"entry-{index}", VmRole.ENTRY, domains[index % 6], address) for index in range(entries)
    ]
    for index in range(agents):
        endpoint = Endpoint(f"e{index}", f"p{index % pools}", EndpointKind.MODEL)
        domain = domains[index // pools % 6]
        vm = Vm(f"agent-{index}", VmRole.AGENT, domain, address, endpoint=endpoint)
        found.append(vm)
    return tuple(found)


def _catalogue(pools: int) -> Catalogue:
    names = tuple(f"p{index}" for index in range(pools))
    return Catalogue(1, (CatalogueEntry("all", "firm", RequestClass.BATCH, names),))


def _selections(vms: tuple[Vm, ...]) -> dict[str, frozenset[str]]:
    pools = frozenset(vm.endpoint.pool for vm in vms if vm.endpoint)
    return {
        vm.name: AgentRanking(vm, vms, pools, SETTINGS).select() for vm in vms if not vm.endpoint
    }


@pytest.mark.parametrize(
    ("entries", "agents", "pools"), [(6, 21, 4), (95, 150, 10), (30, 6, 6), (95, 12, 4)]
)
def test_agents_are_covered_pools_are_reachable_and_sessions_bounded(
    entries: int, agents: int, pools: int
) -> None:
    vms = {vm.name: vm for vm in _vms(entries, agents, pools)}
    selections = _selections(tuple(vms.values()))
    cover: Counter[tuple[str, str]] = Counter()
    for entry, selected in selections.items():
        region = vms[entry].failure_domain.region
        cover.update((agent, region) for agent in selected)
        reached = Counter(vms[agent].endpoint.pool for agent in selected)
        per_pool = agents // pools
        assert len(reached) == pools
        assert min(reached.values()) >= min(MIN_AGENTS_PER_POOL, per_pool)
        assert len(selected) <= max(
            SETTINGS.max_entry_sessions, MIN_AGENTS_PER_POOL * pools + agents // 2
        )
    for agent in (vm for vm in vms.values() if vm.endpoint):
        for region in ("r0", "r1"):
            assert cover[(agent.name, region)] >= min(SETTINGS.cover_entries, entries // 2)


@pytest.mark.parametrize("removed", ["agent-7", "entry-7"])
def test_a_vm_that_goes_moves_few_sessions_of_others(removed: str) -> None:
    vms = _vms(95, 150, 10)
    before = _selections(vms)
    after = _selections(tuple(vm for vm in vms if vm.name != removed))
    holders = sum(removed in selected for selected in before.values()) + len(
        before.get(removed, ())
    )
    moved = sum(len(before[entry] ^ after[entry]) for entry in after)
    assert 0 < moved <= 4 * holders


@pytest.mark.parametrize("pools", [4, 30])
def test_a_pool_whose_near_agents_are_lost_is_reached_elsewhere(pools: int) -> None:
    vms = _vms(95, 90, pools)
    names = frozenset(f"p{index}" for index in range(pools))
    own = vms[0]
    disconnected = frozenset(
        vm.name for vm in vms if vm.endpoint and vm.failure_domain.region == "r0"
    )
    selected = AgentRanking(own, vms, names, SETTINGS).select(unreachable=disconnected)
    reached = {vm.endpoint.pool for vm in vms if vm.name in selected - disconnected}
    assert reached == names


def test_selection_does_not_depend_on_the_order_of_the_list() -> None:
    vms = _vms(12, 40, 3)
    assert _selections(vms) == _selections(tuple(reversed(vms)))


class EntryHarness:
    """Performs the actions of one entry's membership.

    Sessions open at once; those to agents in `failing` cannot be opened. If `vms` is None, reads of
    the VM list fail.
    """

    def __init__(self, vms: tuple[Vm, ...], pools: int) -> None:
        self.membership = Membership(vms[0], Random(1))
        self.vms: tuple[Vm, ...] | None = vms
        self.failing: set[str] = set()
        self.open: set[str] = set()
        self.now = 0.0
        self.log: list[tuple[float, object]] = []
        self.apply(self.membership.catalogue_installed, _catalogue(pools))
        self.apply(self.membership.start)

    def apply(self, event: Callable, *arguments: object) -> None:
        actions = event(self.now, *arguments)
        for action in actions:
            self.log.append((self.now, action))
            self._perform(action)
        wakeup_at = self.membership.next_wakeup()
        assert wakeup_at is None or wakeup_at > self.now

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while (wakeup_at := self.membership.next_wakeup()) is not None and wakeup_at <= end:
            self.now = wakeup_at
            self.apply(self.membership.on_timer)
        self.now = end

    def actions_of(self, kind: type) -> list:
        return [action for _, action in self.log if isinstance(action, kind)]

    def close_sessions(self, agents: set[str]) -> None:
        for agent in sorted(agents & self.open):
            self.open.discard(agent)
            self.apply(self.membership.session_closed, agent)

    def _perform(self, action: object) -> None:
        match action:
            case ListVms(call):
                failed = Err(Failure(ResultCode.STORE_UNAVAILABLE))
                read = failed if self.vms is None else Ok(self.vms)
                self.apply(self.membership.vms_listed, call, read)
            case OpenSession(vm) if vm.name in self.failing:
                self.apply(self.membership.session_closed, vm.name)
            case OpenSession(vm):
                self.open.add(vm.name)
                self.apply(self.membership.session_opened, vm.name)
            case CloseSession(vm):
                self.open.discard(vm)


def test_sessions_open_at_a_bounded_rate_and_the_list_is_polled_within_its_budget() -> None:
    entry = EntryHarness(_vms(95, 150, 10), 10)
    entry.run(600.0)
    assert entry.open == entry.membership.selected_agents
    polls = len(entry.actions_of(ListVms))
    assert 600.0 / (1.25 * 0.06 * 245) <= polls <= 2 + 600.0 / (0.75 * 0.06 * 245)
    first = entry.log[0][0]
    opened = [when for when, action in entry.log if isinstance(action, OpenSession)]
    settings = MembershipSettings()
    for when in opened:
        earlier = sum(other <= when for other in opened)
        assert earlier <= settings.open_burst + settings.opens_per_second * (when - first) + 1e-6


def test_a_leaving_agent_is_replaced_at_once_told_once_and_left_to_drain() -> None:
    entry = EntryHarness(_vms(6, 60, 1), 1)
    entry.run(30.0)
    agent = sorted(entry.membership.selected_agents)[0]
    entry.apply(entry.membership.agent_leaving, agent)
    assert agent not in entry.membership.selected_agents
    other = sorted(entry.membership.selected_agents)[0]
    entry.vms = tuple(
        replace(vm, state=VmState.LEAVING) if vm.name == other else vm for vm in entry.vms
    )
    entry.run(60.0)
    assert other not in entry.membership.selected_agents
    assert entry.actions_of(NotifyLeaving) == [NotifyLeaving(other)]
    assert entry.actions_of(CloseSession) == []
    assert entry.membership.selected_agents <= entry.open


def test_a_vm_of_the_same_name_is_dialed_again_after_it_left() -> None:
    entry = EntryHarness(_vms(6, 6, 1), 1)
    entry.run(30.0)
    agent = sorted(entry.membership.selected_agents)[0]
    entry.apply(entry.membership.agent_leaving, agent)
    entry.close_sessions({agent})
    entry.run(30.0)
    assert agent not in entry.open
    entry.run(60.0)
    assert agent in entry.open


def test_a_lost_domain_is_replaced_and_comes_back_without_a_storm() -> None:
    vms = _vms(12, 120, 4)
    entry = EntryHarness(vms, 4)
    entry.run(30.0)
    initial = entry.membership.selected_agents
    disconnected = {vm.name for vm in vms if vm.failure_domain.name == "d2"}
    entry.failing = disconnected
    entry.close_sessions(disconnected)
    before = len(entry.actions_of(OpenSession))
    entry.run(3600.0)
    dials = len(entry.actions_of(OpenSession)) - before
    assert dials <= len(disconnected & initial) * 3600.0 / 15.0 + 2 * len(disconnected)
    pools = {vm.name: vm.endpoint.pool for vm in vms if vm.endpoint}
    assert {pools[agent] for agent in entry.open} == {"p0", "p1", "p2", "p3"}
    entry.failing = set()
    entry.run(60.0)
    assert entry.open == initial


@pytest.mark.parametrize("kept", [0, 3])
def test_a_list_that_lost_most_vms_is_distrusted_for_a_while(kept: int) -> None:
    entry = EntryHarness(_vms(6, 60, 2), 2)
    entry.run(30.0)
    initial = entry.membership.selected_agents
    entry.vms = entry.vms[:kept]
    entry.run(6.0)
    assert entry.membership.selected_agents == initial
    entry.run(120.0)
    assert entry.open == set()


def test_an_agent_that_accepts_nothing_is_replaced_until_it_does() -> None:
    entry = EntryHarness(_vms(95, 150, 10), 10)
    entry.run(60.0)
    initial = entry.membership.selected_agents
    pools = frozenset(f"p{index}" for index in range(10))
    covered = AgentRanking(entry.vms[0], entry.vms, pools, SETTINGS).covered
    agent = sorted(initial - covered)[0]
    entry.apply(entry.membership.agent_reported, agent, False)
    assert agent not in entry.membership.selected_agents
    entry.apply(entry.membership.agent_reported, agent, True)
    assert entry.membership.selected_agents == initial
    assert entry.actions_of(CloseSession) == []


def test_an_entry_without_a_catalogue_opens_sessions_to_fetch_one() -> None:
    entry = EntryHarness(_vms(6, 60, 2), 0)
    entry.membership = Membership(entry.vms[0], Random(1))
    entry.apply(entry.membership.start)
    entry.run(30.0)
    assert len(entry.open) == BOOTSTRAP_AGENTS
    entry.apply(entry.membership.catalogue_installed, _catalogue(2))
    entry.run(30.0)
    assert entry.open == entry.membership.selected_agents
    assert len(entry.open) > BOOTSTRAP_AGENTS


def test_an_agent_that_was_replaced_is_taken_back_once_it_answers() -> None:
    entry = EntryHarness(_vms(95, 150, 10), 10)
    entry.run(60.0)
    initial = entry.membership.selected_agents
    pools = frozenset(f"p{index}" for index in range(10))
    covered = AgentRanking(entry.vms[0], entry.vms, pools, SETTINGS).covered
    agent = sorted(initial - covered)[0]
    entry.failing = {agent}
    entry.close_sessions({agent})
    assert agent not in entry.membership.selected_agents
    entry.run(600.0)
    assert entry.open >= initial - {agent}
    entry.failing = set()
    entry.run(60.0)
    assert entry.open == initial


def test_a_list_that_is_down_is_asked_with_backoff_and_nothing_is_dropped() -> None:
    entry = EntryHarness(_vms(6, 60, 2), 2)
    entry.run(30.0)
    initial = set(entry.open)
    entry.vms = None
    before = len(entry.actions_of(ListVms))
    entry.run(3600.0)
    assert entry.open == initial
    assert len(entry.actions_of(ListVms)) - before <= 3600.0 / 15.0 + 10
