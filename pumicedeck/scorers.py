"""Calls a service to score finished samples before their group is delivered; performs no I/O."""

import base64
import heapq
import json
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

from pumicedeck.actions import CallerAnswer, CallerRequest
from pumicedeck.backoffs import doubled_seconds
from pumicedeck.catalogue_entries import CatalogueEntry
from pumicedeck.drafts import Draft, DrawAction, GroupKey, Score, SubmitDraft
from pumicedeck.draw_groups import DrawGroup
from pumicedeck.results import Execution, Failure, ResultCode


class ScoreFailurePolicy(StrEnum):
    """What happens when a draft could not be scored: deliver it without a score or end the draw."""

    DELIVER_UNSCORED = "deliver_unscored"
    END_DRAW = "end_draw"


@dataclass(frozen=True, slots=True)
class ScorerSettings:
    """Limits of scoring calls; times in seconds. `max_tries` counts the first attempt."""

    path: str = "/v1/score"
    max_tries: int = 4
    retry_seconds: float = 0.5
    budget_seconds: float = 30.0
    on_failure: ScoreFailurePolicy = ScoreFailurePolicy.DELIVER_UNSCORED


@dataclass(frozen=True, slots=True)
class ScoringFinished:
    """A draft was scored or stays without a score; `failure` is set if the draw must end."""

    key: GroupKey
    failure: Failure | None = None


@dataclass(frozen=True, slots=True, order=True)
class _ScoreCall:
    retry_at: float
    handle: str
    key: GroupKey
    index: int
    tries: int


class Scoring:
    """Scores each finished draft once and retries failed scoring calls.

    A call to a scorer that is not idempotent is retried only if the call did not run.
    """

    def __init__(
        self, groups: dict[GroupKey, DrawGroup], settings: ScorerSettings | None = None
    ) -> None:
        """Store scores in the drafts of `groups`."""
        self._groups = groups
        self._settings = settings or ScorerSettings()
        self._open_calls: dict[str, _ScoreCall] = {}
        self._waiting_calls: list[_ScoreCall] = []
        self._call_count = 0

    def next_wakeup(self) -> float | None:
        """Return the time, in seconds, of the next `on_timer` call; None if none is needed."""
        return self._waiting_calls[0].retry_at if self._waiting_calls else None

    def is_open(self, handle: str) -> bool:
        """Return whether `handle` identifies an open scoring call."""
        return handle in self._open_calls

    def start_scoring(self, now: float, group: DrawGroup, index: int) -> list[DrawAction]:
        """Start scoring a finished draft if its group has a scorer."""
        if group.scorer is None:
            return []
        return self._start_call(group, index, 1)

    def answered(self, now: float, handle: str, answer: CallerAnswer) -> ScoringFinished | None:
        """Handle the scorer's answer; an error status is handled as a failure."""
        if answer.status < HTTPStatus.BAD_REQUEST:
            call = self._open_calls.pop(handle)
            return self._finish(call, Score(answer.status, answer.content_type, answer.body))
        code = ResultCode.ENDPOINT_FAILED
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            code = ResultCode.BAD_REQUEST
        return self.failed(
            now, handle, Failure(code, f"the scorer answered with status {answer.status}")
        )

    def failed(self, now: float, handle: str, failure: Failure) -> ScoringFinished | None:
        """Handle a failed call: schedule a retry, or finish as the score failure policy says.

        Returns None if the call is retried or its draft was discarded.
        """
        call = self._open_calls.pop(handle)
        group = self._find_group(call)
        if group is None or group.scorer is None:
            return None
        if call.tries < self._settings.max_tries and _may_be_retried(group.scorer, failure):
            delay = doubled_seconds(self._settings.retry_seconds, call.tries - 1)
            retry_at = now + max(delay, failure.retry_after or 0.0)
            heapq.heappush(
                self._waiting_calls,
                _ScoreCall(retry_at, handle, call.key, call.index, call.tries + 1),
            )
            return None
        finished = self._finish(call, failure)
        if finished is not None and self._settings.on_failure is ScoreFailurePolicy.END_DRAW:
            return ScoringFinished(call.key, failure)
        return finished

    def on_timer(self, now: float) -> list[DrawAction]:
        """Repeat the calls whose retry time has come."""
        actions: list[DrawAction] = []
        while self._waiting_calls and self._waiting_calls[0].retry_at <= now:
            call = heapq.heappop(self._waiting_calls)
            group = self._find_group(call)
            if group is not None:
                actions += self._start_call(group, call.index, call.tries)
        return actions

    def _start_call(self, group: DrawGroup, index: int, tries: int) -> list[DrawAction]:
        assert group.scorer is not None
        self._call_count += 1
        handle = f"score/{self._call_count}"
        self._open_calls[handle] = _ScoreCall(0.0, handle, group.key, index, tries)
        group.scoring[index] = handle
        request = CallerRequest(
            handle=handle,
            request_id=f"{group.key.trainer}/{handle}",
            entry=group.scorer,
            path=self._settings.path,
            body=_build_score_body(group.finished_drafts[index]),
            idempotent=group.scorer.idempotent,
            streamed=False,
            budget=self._settings.budget_seconds,
            has_caller_request_id=False,
        )
        return [SubmitDraft(request)]

    def _find_group(self, call: _ScoreCall) -> DrawGroup | None:
        # A draft that was discarded in the meantime is scored again after it is drawn again.
        group = self._groups.get(call.key)
        if group is None or group.scoring.get(call.index) != call.handle:
            return None
        return group

    def _finish(self, call: _ScoreCall, outcome: Score | Failure) -> ScoringFinished | None:
        group = self._find_group(call)
        if group is None:
            return None
        group.record_score(call.index, outcome)
        return ScoringFinished(call.key)


def _may_be_retried(scorer: CatalogueEntry, failure: Failure) -> bool:
    if ResultCode.BAD_REQUEST <= failure.code < ResultCode.BAD_CATALOGUE:
        return False
    return scorer.idempotent or failure.execution is Execution.NOT_RUN


def _build_score_body(draft: Draft) -> bytes:
    draft_id = draft.draft_id
    document = {
        "entry": draft_id.entry_name,
        "trainer": draft_id.trainer,
        "step": draft_id.step,
        "group": draft_id.group,
        "index": draft_id.index,
        "versions": list(draft.answer.versions),
        "sample": base64.b64encode(draft.answer.body).decode(),
    }
    return json.dumps(document).encode()
