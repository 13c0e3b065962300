"""Tests of the fault matrix; faulty state machines show that its oracle detects violations."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import pytest
from result import Ok

from pumicedeck import request_attempts
from pumicedeck.actions import DeliverAnswer, DeliverFailure, Drained, WriteClaim
from pumicedeck.agent_requests import AgentRequests
from pumicedeck.claim_outcomes import Claimed
from pumicedeck.claims import Claims
from pumicedeck.entry_requests import EntryRequests
from pumicedeck.fault_matrices import Cell, CellResult, pair_cells, run_cell, single_cells
from pumicedeck.matrix_faults import FAULTS
from pumicedeck.oracles import Promise
from pumicedeck.pending_requests import PendingRequest, PendingRequests
from pumicedeck.request_settings import AgentRequestSettings
from pumicedeck.simulations import RequestKind, Simulation, StateMachineFactories, Step
from pumicedeck.tombstones import Tombstones

PAIRS = 200
SEED = 20


def describe_violations(results: list[CellResult]) -> list[str]:
    return [f"{each.cell}: {each.violations}" for each in results if each.violations]


def test_without_a_fault_every_call_succeeds() -> None:
    for kind in (RequestKind.NON_IDEMPOTENT, RequestKind.STREAMED, RequestKind.DRAFT):
        simulation = Simulation(kind)
        simulation.expect_success()
        assert simulation.run().violations == []


@pytest.mark.parametrize("kind", RequestKind)
def test_no_single_fault_breaks_a_promise(kind: RequestKind) -> None:
    results = [run_cell(cell) for cell in single_cells() if cell.kind is kind]
    assert describe_violations(results) == []
    steps = {each.cell.injected_faults[0].step for each in results if each.reached}
    assert {Step.SUBMITTED, Step.EXECUTING, Step.ANSWERED} <= steps
    assert {each.cell.injected_faults[0].fault for each in results if each.reached} == set(FAULTS)


def test_no_pair_of_faults_of_a_seeded_sample_breaks_a_promise() -> None:
    results = [run_cell(cell) for cell in pair_cells(SEED, PAIRS)]
    assert describe_violations(results) == []
    assert sum(each.reached for each in results) > PAIRS / 4


class WithoutTombstones(AgentRequests):
    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self._tombstones = TombstonesWithoutFloor(600.0, 0, 100)


class TombstonesWithoutFloor(Tombstones):
    def is_below_floor(self, attempt: object) -> bool:
        return False


class WithoutDeduplication(AgentRequests):
    def _is_known(self, attempt: object) -> bool:
        return False


class WithoutDrain(AgentRequests):
    def begin_drain(self, now: float, grace: float) -> list:
        return []


class WithoutTimeLimits(AgentRequests):
    def _on_attempt_deadline(self, now: float, attempt: object) -> list:
        return []


class WithImmediateDrain(AgentRequests):
    def begin_drain(self, now: float, grace: float) -> list:
        return [*super().begin_drain(now, grace), Drained()]


class WithWrongVersions(AgentRequests):
    def execution_finished(self, now: float, attempt: object, outcome: object) -> list:
        if isinstance(outcome, Ok):
            outcome = Ok(replace(outcome.ok_value, versions=(99,)))
        return super().execution_finished(now, attempt, outcome)


class WithoutClaims(Claims):
    def claim(self, write: WriteClaim) -> None:
        self._answered(write.handle, Ok(Claimed()))


class ClaimsIgnoringRows(Claims):
    def _outcome_of_row(self, row: object, digest: str) -> object:
        return Ok(Claimed())


class AlwaysRetryableRequest(PendingRequest):
    is_retryable = property(lambda self: True)


class RequestWithoutDigestCheck(PendingRequest):
    def is_complete(self, answer: object) -> bool:
        return True


class RequestReportingNotRun(PendingRequest):
    def final_failure(self, failure: object) -> object:
        return replace(failure, proven_not_run=True)


class RequestsOfOtherAttempts(PendingRequests):
    def find_attempt(self, attempt: object, agent: str) -> PendingRequest | None:
        found = super().find_attempt(attempt, agent)
        others = [each for each in self._by_sequence.values() if each is not found]
        return others[0] if others else found


def entry_with(request: type, pending: type = PendingRequests) -> type:
    class MutatedEntry(EntryRequests):
        def __init__(self, incarnation: str, router: object) -> None:
            super().__init__(incarnation, router)
            self._pending = pending(incarnation)
            self._attempts._pending = self._pending

        def _admit(self, now: float, caller_request: object) -> PendingRequest:
            admitted = super()._admit(now, caller_request)
            mutated = request(
                admitted.request, admitted.query, admitted.deadline, admitted.queue_deadline
            )
            self._pending.add(mutated)
            return mutated

    return MutatedEntry


class WithoutDeadline(EntryRequests):
    def _on_request_deadline(self, now: float, pending: object) -> list:
        return []


class WithEveryAnswerTwice(EntryRequests):
    def message(self, now: float, agent: str, message: object) -> list:
        actions = super().message(now, agent, message)
        finals = [each for each in actions if isinstance(each, DeliverAnswer | DeliverFailure)]
        return actions + finals


class WithTruncatedStreams(EntryRequests):
    def message(self, now: float, agent: str, message: object) -> list:
        pending = None
        if isinstance(message, request_attempts.Answer):
            pending = self._pending.find_attempt(message.attempt, agent)
        if pending and pending.request.streamed:
            digest = pending.digest.hexdigest()
            message = replace(message, code=100, length=pending.delivered, digest=digest)
        return super().message(now, agent, message)


@dataclass(frozen=True)
class Mutation:
    promise: Promise
    factories: StateMachineFactories
    faults: tuple[str, ...]


def agent_with_short_retention(tombstones: type) -> Callable[..., AgentRequests]:
    def make(incarnation: str, queue: object, slots: int) -> AgentRequests:
        settings = AgentRequestSettings(tombstone_seconds=0.1)
        state_machine = AgentRequests(incarnation, queue, slots, settings)
        state_machine._tombstones = tombstones(0.1, 0, 100)
        return state_machine

    return make


LATE_DELIVERY_FAULTS = ("session delivers 8 s late",)
LOST_CONNECTION_FAULTS = ("agent killed", "session goes silent", "entry and agent cut off for 60 s")

MUTATIONS = {
    "tombstones dropped": Mutation(
        Promise.AT_MOST_ONCE, StateMachineFactories(agent=WithoutTombstones), LATE_DELIVERY_FAULTS
    ),
    "attempts below the floor accepted": Mutation(
        Promise.AT_MOST_ONCE,
        StateMachineFactories(agent=agent_with_short_retention(TombstonesWithoutFloor)),
        LATE_DELIVERY_FAULTS,
    ),
    "repeated dispatches run": Mutation(
        Promise.AT_MOST_ONCE,
        StateMachineFactories(agent=WithoutDeduplication),
        ("dispatch delivered twice",),
    ),
    "drain ignored": Mutation(
        Promise.NO_NEW_WORK, StateMachineFactories(agent=WithoutDrain), ("agent drains",)
    ),
    "slots kept by silent endpoints": Mutation(
        Promise.NOTHING_LEFT,
        StateMachineFactories(agent=WithoutTimeLimits),
        ("endpoint connections go silent",),
    ),
    "drain too hasty": Mutation(
        Promise.NOTHING_CUT_OFF, StateMachineFactories(agent=WithImmediateDrain), ("agent drains",)
    ),
    "versions made up": Mutation(
        Promise.TRUE_VERSIONS, StateMachineFactories(agent=WithWrongVersions), ("caller goes away",)
    ),
    "claims forgotten": Mutation(
        Promise.AT_MOST_ONCE,
        StateMachineFactories(claims=WithoutClaims),
        ("caller repeats through another entry",),
    ),
    "found claims granted": Mutation(
        Promise.AT_MOST_ONCE,
        StateMachineFactories(claims=ClaimsIgnoringRows),
        ("caller repeats through another entry",),
    ),
    "requests that may have run retried": Mutation(
        Promise.AT_MOST_ONCE,
        StateMachineFactories(entry=entry_with(AlwaysRetryableRequest)),
        LOST_CONNECTION_FAULTS,
    ),
    "digest not checked": Mutation(
        Promise.WHOLE_AND_OWN,
        StateMachineFactories(entry=entry_with(RequestWithoutDigestCheck)),
        ("answer damaged in flight",),
    ),
    "answers mixed up": Mutation(
        Promise.WHOLE_AND_OWN,
        StateMachineFactories(entry=entry_with(RequestWithoutDigestCheck, RequestsOfOtherAttempts)),
        ("caller goes away",),
    ),
    "not run said without proof": Mutation(
        Promise.NOT_RUN_IS_TRUE,
        StateMachineFactories(entry=entry_with(RequestReportingNotRun)),
        LOST_CONNECTION_FAULTS,
    ),
    "deadline ignored": Mutation(
        Promise.IN_TIME,
        StateMachineFactories(entry=WithoutDeadline),
        ("endpoint connections go silent",),
    ),
    "answers given twice": Mutation(
        Promise.ONE_FINAL_ANSWER,
        StateMachineFactories(entry=WithEveryAnswerTwice),
        ("session reset",),
    ),
    "partial streams ended cleanly": Mutation(
        Promise.CLEAN_END, StateMachineFactories(entry=WithTruncatedStreams), ("endpoint crashes",)
    ),
}


def cells_with_faults_of(mutation: Mutation) -> list[Cell]:
    return [cell for cell in single_cells() if cell.injected_faults[0].fault in mutation.faults]


@pytest.mark.parametrize("name", MUTATIONS)
def test_the_oracle_catches_a_broken_promise(name: str) -> None:
    mutation = MUTATIONS[name]
    for cell in cells_with_faults_of(mutation):
        found = {each.promise for each in run_cell(cell, mutation.factories).violations}
        if mutation.promise in found:
            return
    pytest.fail(f"no cell shows: {mutation.promise}")


def test_forgetting_tombstones_soon_breaks_no_promise_as_long_as_the_floor_is_kept() -> None:
    factories = StateMachineFactories(agent=agent_with_short_retention(Tombstones))
    cells = [
        cell for cell in single_cells() if cell.injected_faults[0].fault in LATE_DELIVERY_FAULTS
    ]
    assert describe_violations([run_cell(cell, factories) for cell in cells]) == []


def test_dropping_kept_answers_at_once_breaks_no_promise() -> None:
    settings = AgentRequestSettings(answer_retention_bytes=1, answer_retention_seconds=0.0)
    factories = StateMachineFactories(agent=lambda *args: AgentRequests(*args, settings))
    faults = (*LOST_CONNECTION_FAULTS, "session reset", "agent stopped for 20 s")
    kinds = (RequestKind.NON_IDEMPOTENT, RequestKind.STREAMED)
    cells = [each for each in single_cells() if each.injected_faults[0].fault in faults]
    cells = [each for each in cells if each.kind in kinds]
    assert describe_violations([run_cell(cell, factories) for cell in cells]) == []


def test_the_page_has_a_row_a_fault_and_a_column_a_step(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    from pumicedeck import fault_matrices

    first_faults = dict(list(FAULTS.items())[:2])
    monkeypatch.setattr(fault_matrices, "FAULTS", first_faults)
    page = tmp_path / "matrix.md"
    assert fault_matrices.write_matrix(page, SEED, 2) == 0
    text = page.read_text(encoding="utf-8")
    for step in Step:
        assert f" {step} |" in text
    for name in first_faults:
        assert text.count(f"| {name} |") == len(RequestKind)
