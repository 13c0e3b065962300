"""Simulates callers that repeat requests under the same id after failures and lost replies."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from pumicedeck.actions import CallerAnswer, CallerRequest
from pumicedeck.catalogue_entries import CatalogueEntry, Limits, RequestClass
from pumicedeck.messages import DraftId
from pumicedeck.oracles import ExpectedCall
from pumicedeck.results import Failure
from pumicedeck.simulated_endpoints import expected_answer
from pumicedeck.simulated_processes import POOL, EntryProcess

if TYPE_CHECKING:
    from pumicedeck.simulations import Simulation

FIRM = "firm"
REPEAT_DELAY_SECONDS = 0.5
MAX_REPEATS = 3


class RequestKind(StrEnum):
    """Kinds of target requests at whose steps faults are injected.

    `DRAIN` is a non-idempotent request whose agent drains in addition to the faults of the cell.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMED = "streamed"
    STREAMED_ONCE = "streamed, non-idempotent"
    DRAFT = "draft"
    DRAIN = "drain"


class Step(StrEnum):
    """Steps in the life of a request, in their order."""

    SUBMITTED = "submitted"
    CLAIM_SENT = "claim sent"
    CLAIM_WRITTEN = "claim written"
    DISPATCHED = "dispatched"
    QUEUED = "queued"
    STARTED = "started"
    EXECUTING = "executing"
    PARTIAL = "partial"
    FINISHED = "finished"
    ANSWER_SENT = "answer sent"
    ANSWERED = "answered"
    OUTCOME_WRITTEN = "outcome written"


@dataclass(frozen=True, slots=True)
class CallSpec:
    """A request that a caller makes, and repeats under one request id; `budget` in seconds."""

    request_id: str
    kind: RequestKind
    budget: float = 10.0

    @property
    def idempotent(self) -> bool:
        """Return whether the request may run twice."""
        return self.kind not in (RequestKind.NON_IDEMPOTENT, RequestKind.STREAMED_ONCE)

    @property
    def streamed(self) -> bool:
        """Return whether the answer comes in chunks."""
        return self.kind in (RequestKind.STREAMED, RequestKind.STREAMED_ONCE)

    @property
    def entry(self) -> CatalogueEntry:
        """Return the catalogue entry that the request calls."""
        is_draft = self.kind is RequestKind.DRAFT
        request_class = RequestClass.ROLLOUT if is_draft else RequestClass.INTERACTIVE
        return CatalogueEntry(self.kind, FIRM, request_class, (POOL,), Limits(queue_seconds=8.0))


@dataclass(slots=True)
class _Call:
    """One call through an entry; `repeats` counts earlier calls for the same request."""

    spec: CallSpec
    entry: EntryProcess
    repeats: int
    is_open: bool = True
    is_disconnected: bool = False


class Callers:
    """Callers behind a load balancer that repeat a request after a failure or a lost reply."""

    def __init__(self, simulation: Simulation) -> None:
        """Create callers without any calls."""
        self._simulation = simulation
        self._calls: dict[str, _Call] = {}
        self._scheduled_calls = 0

    @property
    def is_settled(self) -> bool:
        """Return whether no call is open and none is scheduled."""
        return not self._scheduled_calls and not any(call.is_open for call in self._calls.values())

    def call_later(self, seconds: float, spec: CallSpec, entry: int = 0, repeats: int = 0) -> None:
        """Schedule a call through one of the ready entries, selected by the number `entry`.

        `repeats` is the number of calls made for the request so far.
        """
        self._scheduled_calls += 1
        time = self._simulation.time
        time.call_later(seconds, lambda: self._make_call(spec, entry, repeats))

    def open_calls_at(self, entry: EntryProcess) -> list[str]:
        """Return the handles of the open calls at an entry."""
        return [key for key, call in self._calls.items() if call.is_open and call.entry is entry]

    def first_handle(self, request_id: str) -> str:
        """Return the handle of the first call for a request."""
        calls = self._calls.items()
        return next(handle for handle, call in calls if call.spec.request_id == request_id)

    def disconnect_callers(self, request_id: str) -> None:
        """Close the connections of the open calls for a request."""
        for handle, call in list(self._calls.items()):
            if call.is_open and call.spec.request_id == request_id:
                self._disconnect(handle)
                call.entry.caller_disconnected(handle)

    def repeat_call(self, request_id: str) -> None:
        """Repeat a request once through another entry while its first call is open."""
        calls = [each for each in self._calls.values() if each.spec.request_id == request_id]
        if calls:
            number = self._simulation.entries.index(calls[0].entry) + 1
            self.call_later(0.0, calls[0].spec, number, MAX_REPEATS)

    def entry_killed(self, entry: EntryProcess) -> None:
        """Close the calls at an entry and repeat their requests through another one."""
        for handle in self.open_calls_at(entry):
            self._disconnect(handle)
            self._schedule_repeat(self._calls[handle])

    def chunk_received(self, handle: str, data: bytes) -> None:
        """Record bytes of an answer unless the caller disconnected."""
        if not self._calls[handle].is_disconnected:
            self._simulation.oracle.chunk_received(handle, data)

    def final_answer_received(self, handle: str, final: CallerAnswer | Failure) -> None:
        """Record the end of a call; repeat the request after a failure.

        The first successful call of a non-idempotent request is repeated, too, as if its reply had
        been lost.
        """
        call = self._calls[handle]
        if call.is_disconnected:
            return
        now = self._simulation.time.now()
        self._simulation.oracle.final_answer_received(now, handle, final)
        call.is_open = False
        self._simulation.step_reached(Step.ANSWERED, call.spec.request_id)
        is_answered = isinstance(final, CallerAnswer)
        if not is_answered or (not call.spec.idempotent and call.repeats == 0):
            self._schedule_repeat(call)

    def _schedule_repeat(self, call: _Call) -> None:
        if call.repeats < MAX_REPEATS:
            number = self._simulation.entries.index(call.entry) + 1
            self.call_later(REPEAT_DELAY_SECONDS, call.spec, number, call.repeats + 1)

    def _disconnect(self, handle: str) -> None:
        self._calls[handle].is_open = False
        self._calls[handle].is_disconnected = True
        self._simulation.oracle.allow_no_answer(handle)

    def _make_call(self, spec: CallSpec, number: int, repeats: int) -> None:
        self._scheduled_calls -= 1
        entry = self._simulation.ready_entry(number)
        if entry is None:
            self.call_later(REPEAT_DELAY_SECONDS, spec, number, repeats)
            return
        handle = f"{spec.request_id}#{len(self._calls)}"
        body = b"body of " + spec.request_id.encode()
        self._calls[handle] = _Call(spec, entry, repeats)
        expected_call = ExpectedCall(
            handle,
            spec.request_id,
            spec.idempotent,
            spec.streamed,
            expected_answer(spec.request_id, body),
            self._simulation.time.now(),
            spec.budget,
            repeats > 0,
        )
        self._simulation.oracle.record_call(expected_call)
        if entry.is_paused:
            self._simulation.oracle.allow_late_answer(handle)
        draft = None
        if spec.kind is RequestKind.DRAFT:
            draft = DraftId(spec.kind, "trainer", 1, 1, len(self._calls))
        request = CallerRequest(
            handle,
            spec.request_id,
            spec.entry,
            "/run",
            body,
            spec.idempotent,
            spec.streamed,
            spec.budget,
            prefix=handle,
            draft=draft,
        )
        self._simulation.step_reached(Step.SUBMITTED, spec.request_id, entry)
        self._simulation.time.call_later(0.0, lambda: entry.submit(request))
