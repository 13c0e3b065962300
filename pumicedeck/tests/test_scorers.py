"""Tests of scoring: a group is delivered only after the scoring of each draft has ended."""

import json
from dataclasses import replace

import pytest

from pumicedeck.catalogue_entries import CatalogueEntry, RequestClass
from pumicedeck.drafts import Score
from pumicedeck.draw_documents import draft_document
from pumicedeck.draws import DrawCoordinator, DrawSettings
from pumicedeck.results import Failure, ResultCode
from pumicedeck.scorers import ScoreFailurePolicy, ScorerSettings
from pumicedeck.tests.draw_fixtures import answer, delivered, draw, ended, groups, submitted

SCORER = CatalogueEntry("rater", "tainan", RequestClass.BATCH, ("rater",))
NON_IDEMPOTENT_SCORER = replace(SCORER, idempotent=False)


def _start_scoring(scorer=SCORER, **settings):
    coordinator = DrawCoordinator(DrawSettings(scorers=ScorerSettings(**settings)))
    request = draw(groups=groups(1, samples=1), scorer=scorer)
    (sample,) = submitted(coordinator.start(0.0, request))
    (call,) = submitted(coordinator.draft_finished(1.0, sample.handle, answer((5,))))
    return coordinator, call


def test_a_group_is_delivered_once_its_drafts_are_scored() -> None:
    coordinator, call = _start_scoring()
    assert call.entry is SCORER
    assert json.loads(call.body)["versions"] == [5]
    scored = replace(answer(()), body=b"0.75")
    (group,) = delivered(coordinator.draft_finished(2.0, call.handle, scored))
    assert group.drafts[0].score == Score(200, "text/plain", b"0.75")
    assert draft_document(group.drafts[0])["score"]["text"] == "0.75"


@pytest.mark.parametrize(
    ("scorer", "code", "repeated"),
    [
        (SCORER, ResultCode.OUTCOME_UNKNOWN, True),
        (NON_IDEMPOTENT_SCORER, ResultCode.OUTCOME_UNKNOWN, False),
        (NON_IDEMPOTENT_SCORER, ResultCode.OVERLOADED, True),
        (SCORER, ResultCode.FORBIDDEN, False),
    ],
)
def test_a_failed_call_is_repeated_only_where_it_may_be(scorer, code, repeated) -> None:
    coordinator, call = _start_scoring(scorer)
    actions = coordinator.draft_failed(2.0, call.handle, Failure(code))
    if repeated:
        assert actions == []
        (again,) = submitted(coordinator.on_timer(coordinator.next_wakeup()))
        assert again.body == call.body
        return
    (group,) = delivered(actions)
    assert group.drafts[0].score.code == code
    assert draft_document(group.drafts[0])["score_error"]["code"] == code


def test_the_policy_may_end_the_draw_instead_of_delivering_without_a_score() -> None:
    coordinator, call = _start_scoring(on_failure=ScoreFailurePolicy.END_DRAW, max_tries=1)
    refused = Failure(ResultCode.ENDPOINT_FAILED)
    (end,) = ended(coordinator.draft_failed(2.0, call.handle, refused))
    assert end.failure == refused


def test_a_draft_that_became_stale_while_it_was_scored_is_drawn_and_scored_again() -> None:
    coordinator, call = _start_scoring()
    (again,) = submitted(coordinator.newest_version_confirmed(2.0, "tuner", 7))
    late = coordinator.draft_finished(3.0, call.handle, answer(()))
    assert not delivered(late)
    (second,) = submitted(coordinator.draft_finished(4.0, again.handle, answer((7,))))
    assert len(delivered(coordinator.draft_finished(5.0, second.handle, answer(())))) == 1
