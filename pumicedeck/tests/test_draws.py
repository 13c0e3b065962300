"""Tests of the draw coordinator: drafts arrive exactly once, in complete groups, never stale."""

import json
import random
from dataclasses import replace

import pytest

from pumicedeck.clocks import VirtualTime
from pumicedeck.drafts import DeliverGroup, EndDraw, draft_seed
from pumicedeck.draws import DrawCoordinator, DrawSettings
from pumicedeck.messages import DraftId
from pumicedeck.results import Failure, ResultCode
from pumicedeck.stragglers import StragglerSettings
from pumicedeck.tests.draw_fixtures import (
    FakeEntry,
    answer,
    cancelled,
    delivered,
    draw,
    ended,
    groups,
    submitted,
)
from pumicedeck.trainer_steps import ReceivedDraft, TrainerStep, split_groups


def test_groups_are_delivered_as_they_complete_and_the_draw_ends_once() -> None:
    coordinator = DrawCoordinator()
    requests = submitted(coordinator.start(0.0, draw(count=2)))
    last = [request for request in requests if request.draft.group == 1]
    first = [request for request in requests if request.draft.group == 0]
    actions = []
    for request in last + first:
        actions += coordinator.draft_finished(1.0, request.handle, answer((5,)))
    assert [group.group for group in delivered(actions)] == [1, 0]
    assert [draft.draft_id.index for draft in delivered(actions)[0].drafts] == [0, 1, 2, 3]
    assert ended(actions) == [EndDraw("d1")]
    assert coordinator.open_draws == 0


def test_held_groups_are_not_drawn_again() -> None:
    coordinator = DrawCoordinator()
    requests = submitted(coordinator.start(0.0, draw(count=3, held=(0, 2))))
    assert {request.draft.group for request in requests} == {1}
    assert ended(coordinator.start(0.0, draw("d2", count=1, held=(0,)))) == [EndDraw("d2")]


def test_the_first_completed_copy_of_a_draft_wins() -> None:
    settings = DrawSettings(stragglers=StragglerSettings(hedge_observations=2, hedge_share=0.5))
    coordinator = DrawCoordinator(settings)
    requests = submitted(coordinator.start(0.0, draw(count=1)))
    for request in requests[:3]:
        coordinator.draft_finished(1.0, request.handle, answer((5,)))
    assert coordinator.next_wakeup() == 3.0
    copies = submitted(coordinator.on_timer(3.0))
    assert [request.draft for request in copies] == [requests[3].draft]
    assert json.loads(copies[0].body)["seed"] == draft_seed(requests[3].draft)
    assert copies[0].body == requests[3].body
    actions = coordinator.draft_finished(4.0, copies[0].handle, answer((5,), 11))
    assert delivered(actions)[0].drafts[3].answer.tokens == 11
    assert cancelled(actions) == [requests[3].handle]
    assert coordinator.draft_finished(5.0, requests[3].handle, answer((5,))) == []
    assert coordinator.counts.duplicates == 1


def test_drafts_whose_body_takes_no_seed_are_not_hedged() -> None:
    settings = DrawSettings(stragglers=StragglerSettings(hedge_observations=2, hedge_share=0.5))
    coordinator = DrawCoordinator(settings)
    plain = tuple(replace(group, body=b"plain text") for group in groups(1))
    requests = submitted(coordinator.start(0.0, draw(groups=plain)))
    for request in requests[:3]:
        coordinator.draft_finished(1.0, request.handle, answer((5,)))
    assert submitted(coordinator.on_timer(100.0)) == []


def test_a_later_draw_takes_over_groups_with_their_finished_drafts() -> None:
    coordinator = DrawCoordinator()
    requests = submitted(coordinator.start(0.0, draw("early", count=1)))
    coordinator.draft_finished(1.0, requests[0].handle, answer((5,)))
    actions = coordinator.start(2.0, draw("late", count=1))
    assert [(end.handle, end.failure.code) for end in ended(actions)] == [
        ("early", ResultCode.DRAW_TAKEN_OVER)
    ]
    assert submitted(actions) == []
    for request in requests[1:]:
        actions = coordinator.draft_finished(3.0, request.handle, answer((5,)))
    assert [group.handle for group in delivered(actions)] == ["late"]


def test_workers_draw_disjoint_groups_side_by_side() -> None:
    shares = split_groups((0, 1, 2, 3, 4), 2)
    assert sorted(shares[0] + shares[1]) == [0, 1, 2, 3, 4]
    coordinator = DrawCoordinator()
    all_groups = groups(5)
    for worker, share in enumerate(shares):
        requested_groups = tuple(all_groups[number] for number in share)
        assert not ended(coordinator.start(0.0, draw(f"w{worker}", groups=requested_groups)))
    assert coordinator.open_draws == 2


@pytest.mark.parametrize(("versions", "redrawn"), [((3,), True), ((3, 5), True), ((4, 5), False)])
def test_a_draft_over_its_bound_is_discarded_and_drawn_again(versions, redrawn) -> None:
    coordinator = DrawCoordinator()
    requests = submitted(coordinator.start(0.0, draw(count=1)))
    for request in requests[1:]:
        coordinator.draft_finished(1.0, request.handle, answer((5,)))
    actions = coordinator.draft_finished(1.0, requests[0].handle, answer(versions))
    assert bool(delivered(actions)) is not redrawn
    assert [request.draft for request in submitted(actions)] == (
        [requests[0].draft] if redrawn else []
    )
    assert coordinator.counts.stale == int(redrawn)


def test_a_newer_version_discards_a_finished_draft_that_waits_for_its_group() -> None:
    coordinator = DrawCoordinator()
    requests = submitted(coordinator.start(0.0, draw(count=1)))
    coordinator.draft_finished(1.0, requests[0].handle, answer((5,)))
    assert submitted(coordinator.newest_version_confirmed(2.0, "tuner", 6)) == []
    redrawn = submitted(coordinator.newest_version_confirmed(3.0, "tuner", 7))
    assert [request.draft for request in redrawn] == [requests[0].draft]


def test_the_version_that_the_trainer_announces_counts_if_it_is_newer() -> None:
    coordinator = DrawCoordinator()
    coordinator.newest_version_confirmed(0.0, "tuner", 5)
    requests = submitted(coordinator.start(0.0, draw(count=1, newest_version=9)))
    actions = []
    for request in requests:
        actions += coordinator.draft_finished(1.0, request.handle, answer((5,)))
    assert not delivered(actions)
    assert coordinator.counts.stale == 4


def test_nothing_is_delivered_while_the_newest_version_is_unknown() -> None:
    coordinator = DrawCoordinator()
    requests = submitted(coordinator.start(0.0, draw(count=1, newest_version=-1)))
    actions = []
    for request in requests:
        actions += coordinator.draft_finished(1.0, request.handle, answer((5,)))
    assert actions == []
    due = coordinator.next_wakeup()
    assert [end.failure.code for end in ended(coordinator.on_timer(due))] == [
        ResultCode.NEWEST_UNKNOWN
    ]
    repeated = coordinator.start(due, draw("d2", count=1, newest_version=5))
    assert len(delivered(repeated)) == 1
    assert submitted(repeated) == []


def test_an_old_confirmation_is_not_trusted() -> None:
    coordinator = DrawCoordinator(DrawSettings(newest_version_trust_seconds=30.0))
    requests = submitted(coordinator.start(0.0, draw(count=1)))
    actions = []
    for request in requests:
        actions += coordinator.draft_finished(31.0, request.handle, answer((5,)))
    assert not delivered(actions)
    assert len(delivered(coordinator.newest_version_confirmed(32.0, "tuner", 5))) == 1


def test_a_draft_without_versions_is_not_delivered() -> None:
    coordinator = DrawCoordinator()
    request = submitted(coordinator.start(0.0, draw(count=1)))[0]
    coordinator.draft_finished(1.0, request.handle, answer(()))
    assert coordinator.counts.unattributed == 1
    redrawn = submitted(coordinator.on_timer(coordinator.next_wakeup()))
    assert [request.draft for request in redrawn] == [request.draft]


def test_permanent_failures_end_the_draw_and_others_are_tried_again() -> None:
    coordinator = DrawCoordinator()
    requests = submitted(coordinator.start(0.0, draw(count=1)))
    refused = Failure(ResultCode.OVERLOADED, retry_after=3.0)
    assert coordinator.draft_failed(1.0, requests[0].handle, refused) == []
    assert coordinator.next_wakeup() == 4.0
    assert [request.draft for request in submitted(coordinator.on_timer(4.0))] == [
        requests[0].draft
    ]
    actions = coordinator.draft_failed(5.0, requests[1].handle, Failure(ResultCode.FORBIDDEN))
    assert ended(actions)[0].failure.code == ResultCode.FORBIDDEN


def test_a_draw_ends_at_its_budget_and_its_groups_expire() -> None:
    coordinator = DrawCoordinator()
    requests = submitted(coordinator.start(0.0, draw(count=1, budget=60.0)))
    assert ended(coordinator.on_timer(60.0))[0].failure.code == ResultCode.DRAW_INCOMPLETE
    cancelled_handles = cancelled(coordinator.on_timer(coordinator.next_wakeup()))
    assert set(cancelled_handles) == {request.handle for request in requests}
    assert coordinator.next_wakeup() is None


def test_the_seed_depends_on_the_draft_id_alone() -> None:
    ids = [
        request.draft
        for name in ("a", "b")
        for request in submitted(DrawCoordinator().start(0.0, draw(name)))
    ]
    assert len({draft_seed(draft_id) for draft_id in ids}) == 8
    assert [draft_seed(draft_id) for draft_id in ids[:8]] == [
        draft_seed(draft_id) for draft_id in ids[8:]
    ]


def test_a_trainer_step_accepts_each_group_once_and_only_complete() -> None:
    step = TrainerStep("tuner-gen", "t", 7, {0: 2, 1: 2})
    complete = tuple(
        ReceivedDraft(DraftId("tuner-gen", "t", 7, 0, index), (5,), b"") for index in range(2)
    )
    assert not step.accept(0, complete[:1])
    assert not step.accept(1, complete)
    assert step.accept(0, complete)
    assert not step.accept(0, complete)
    assert (step.held, step.missing, step.duplicates) == ((0,), (1,), 1)
    assert not step.may_draw_ahead(0.25)
    assert step.may_draw_ahead(0.5)


class _Trainer:
    """A trainer that draws a step from random entry VMs until it is complete.

    It records the ids of accepted drafts and how many versions the oldest one was behind.
    """

    def __init__(self, time: VirtualTime, rng: random.Random, entries, newest) -> None:
        self.time, self.rng, self.entries, self.newest = time, rng, entries, newest
        self.max_versions_behind = 0
        self.draws = 0
        self.restart()

    def restart(self) -> None:
        self.step = TrainerStep("tuner-gen", "trainer-1", 7, {number: 4 for number in range(6)})
        self.accepted_ids: list = []

    def draw(self) -> None:
        self.draws += 1
        self.entry = self.rng.choice(self.entries)
        request = draw(
            f"d{self.draws}", 6, held=self.step.held, newest_version=self.newest[0], budget=300.0
        )
        self.entry.received.clear()
        self.entry.apply(self.entry.coordinator.start(self.time.now(), request))
        self.handle = request.handle

    def read(self, lose_reply: bool) -> None:
        pending, self.entry.received[:] = list(self.entry.received), []
        for action in pending:
            if action.handle != self.handle or lose_reply:
                continue
            if isinstance(action, DeliverGroup):
                self._accept(action)
            elif action.failure is not None and not self.step.complete:
                self.draw()

    def _accept(self, group: DeliverGroup) -> None:
        drafts = tuple(
            ReceivedDraft(draft.draft_id, draft.answer.versions, b"") for draft in group.drafts
        )
        if self.step.accept(group.group, drafts):
            self.accepted_ids += [draft.draft_id for draft in drafts]
            versions_behind = group.newest - min(min(draft.versions) for draft in drafts)
            self.max_versions_behind = max(self.max_versions_behind, versions_behind)


FAULTS = ("trainer", "entry", "agent", "engine", "store", "reply")
PAIRS = [(one, two) for one in FAULTS for two in FAULTS if one <= two]


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("pair", PAIRS)
def test_each_draft_arrives_exactly_once_under_pairs_of_faults(pair, seed) -> None:
    time, rng, newest = VirtualTime(), random.Random(f"{pair}{seed}"), [5]
    entries = [FakeEntry(time, rng, newest) for _ in range(3)]
    trainer = _Trainer(time, rng, entries, newest)
    trainer.draw()
    for entry in entries:
        entry.failure_share = 0.2 if "engine" in pair else 0.0
        entry.repeat_share = 0.2 if "agent" in pair else 0.0
    faults = {rng.randrange(1, 60): fault for fault in pair}
    for second in range(1, 900):
        time.run_until(float(second))
        fault = faults.get(second)
        if second % 100 == 0:
            newest[0] += 1
        for entry in entries:
            entry.store_up = not ("store" in pair and 20 < second < 200)
            entry.poll()
        if fault == "entry":
            trainer.entry.alive = False
            entries[entries.index(trainer.entry)] = FakeEntry(time, rng, newest)
        trainer.read(lose_reply=fault == "reply")
        if fault == "trainer":
            trainer.restart()
        if fault in ("entry", "trainer", "reply") or second % 50 == 0:
            actions = trainer.entry.coordinator.caller_disconnected(float(second), trainer.handle)
            trainer.entry.apply(actions)
            trainer.draw()
        if trainer.step.complete:
            break
    expected_ids = {(group, index) for group in range(6) for index in range(4)}
    assert len(trainer.accepted_ids) == len(expected_ids)
    assert {(draft_id.group, draft_id.index) for draft_id in trainer.accepted_ids} == expected_ids
    assert trainer.max_versions_behind <= 1
