"""Calls to the service that scores samples, made before a group is handed over; free of I/O."""

import base64
import heapq
import json
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

from pumicedeck.actions import CallerAnswer, CallerRequest
from pumicedeck.catalogue_entries import CatalogueEntry
from pumicedeck.drafts import Draft, DrawAction, GroupKey, Score, SubmitDraft
from pumicedeck.draw_groups import GroupProgress
from pumicedeck.results import Execution, Failure, ResultCode


class ScoreFailurePolicy(StrEnum):
    """What happens to a draft that could not be scored."""

    DELIVER_UNSCORED = "deliver_unscored"
    END_DRAW = "end_draw"


@dataclass(frozen=True, slots=True)
class ScorerSettings:
    """Bounds of score calls; times in seconds."""

    path: str = "/v1/score"
    tries: int = 4
    retry_seconds: float = 0.5
    budget_seconds: float = 30.0
    on_failure: ScoreFailurePolicy = ScoreFailurePolicy.DELIVER_UNSCORED


@dataclass(frozen=True, slots=True)
class ScoringFinished:
    """A draft was scored or stays without a score; `failure` is set if the draw is to end."""

    key: GroupKey
    failure: Failure | None = None


@dataclass(frozen=True, slots=True, order=True)
class _Call:
    due: float
    handle: str
    key: GroupKey
    index: int
    tries: int


class Scoring:
    """Scores each finished draft once and keeps the calls that wait for another try.

    A call to a scorer whose calls may not be repeated is tried again only if it did not run.
    """

    def __init__(
        self, groups: dict[GroupKey, GroupProgress], settings: ScorerSettings | None = None
    ) -> None:
        """Write scores into the drafts of `groups`."""
        self._groups = groups
        self._settings = settings or ScorerSettings()
        self._open: dict[str, _Call] = {}
        self._retries: list[_Call] = []
        self._calls = 0

    def next_wakeup(self) -> float | None:
        """Return the second at which `on_time` is wanted."""
        return self._retries[0].due if self._retries else None

    def is_open(self, handle: str) -> bool:
        """Tell whether `handle` names an open call."""
        return handle in self._open

    def start_scoring(self, now: float, progress: GroupProgress, index: int) -> list[DrawAction]:
        """Score a finished draft if the group has a scorer."""
        if progress.scorer is None:
            return []
        return self._call(progress, index, 1)

    def answered(self, now: float, handle: str, answer: CallerAnswer) -> ScoringFinished | None:
        """Take in the scorer's answer."""
        if answer.status < HTTPStatus.BAD_REQUEST:
            call = self._open.pop(handle)
            return self._settle(call, Score(answer.status, answer.content_type, answer.body))
        code = ResultCode.ENDPOINT_FAILED
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            code = ResultCode.BAD_REQUEST
        return self.failed(now, handle, Failure(code, f"the scorer answered {answer.status}"))

    def failed(self, now: float, handle: str, failure: Failure) -> ScoringFinished | None:
        """Take in the failure of a call: try again, or settle by the policy."""
        call = self._open.pop(handle)
        progress = self._progress(call)
        if progress is None or progress.scorer is None:
            return None
        if call.tries < self._settings.tries and _is_repeatable(progress.scorer, failure):
            delay = self._settings.retry_seconds * 2.0 ** (call.tries - 1)
            due = now + max(delay, failure.retry_after or 0.0)
            heapq.heappush(self._retries, _Call(due, handle, call.key, call.index, call.tries + 1))
            return None
        settled = self._settle(call, failure)
        if settled is not None and self._settings.on_failure is ScoreFailurePolicy.END_DRAW:
            return ScoringFinished(call.key, failure)
        return settled

    def on_timer(self, now: float) -> list[DrawAction]:
        """Make the calls that are due again."""
        actions: list[DrawAction] = []
        while self._retries and self._retries[0].due <= now:
            call = heapq.heappop(self._retries)
            progress = self._progress(call)
            if progress is not None:
                actions += self._call(progress, call.index, call.tries)
        return actions

    def _call(self, progress: GroupProgress, index: int, tries: int) -> list[DrawAction]:
        assert progress.scorer is not None
        self._calls += 1
        handle = f"score/{self._calls}"
        self._open[handle] = _Call(0.0, handle, progress.key, index, tries)
        progress.scoring[index] = handle
        request = CallerRequest(
            handle=handle,
            request_id=f"{progress.key.trainer}/{handle}",
            entry=progress.scorer,
            path=self._settings.path,
            body=_score_body(progress.done[index]),
            idempotent=progress.scorer.idempotent,
            streamed=False,
            budget=self._settings.budget_seconds,
            has_caller_request_id=False,
        )
        return [SubmitDraft(request)]

    def _progress(self, call: _Call) -> GroupProgress | None:
        # A draft that was discarded meanwhile is scored anew once it is drawn again.
        progress = self._groups.get(call.key)
        if progress is None or progress.scoring.get(call.index) != call.handle:
            return None
        return progress

    def _settle(self, call: _Call, outcome: Score | Failure) -> ScoringFinished | None:
        progress = self._progress(call)
        if progress is None:
            return None
        progress.record_score(call.index, outcome)
        return ScoringFinished(call.key)


def _is_repeatable(scorer: CatalogueEntry, failure: Failure) -> bool:
    if ResultCode.BAD_REQUEST <= failure.code < ResultCode.BAD_CATALOGUE:
        return False
    return scorer.idempotent or failure.execution is Execution.NOT_RUN


def _score_body(draft: Draft) -> bytes:
    place = draft.draft_id
    document = {
        "entry": place.entry_name,
        "trainer": place.trainer,
        "step": place.step,
        "group": place.group,
        "index": place.index,
        "versions": list(draft.answer.versions),
        "sample": base64.b64encode(draft.answer.body).decode(),
    }
    return json.dumps(document).encode()
