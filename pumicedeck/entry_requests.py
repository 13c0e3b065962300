"""State machine of the requests at an entry, free of I/O: events in, actions out.

A request gets exactly one final answer, at the latest when its time budget expires.
"""

from collections import OrderedDict
from dataclasses import replace

from result import Err

from pumicedeck.actions import (
    Action,
    CallerAnswer,
    CallerRequest,
    DeliverAnswer,
    DeliverChunk,
    DeliverFailure,
    Drained,
    RecordOutcome,
    WriteClaim,
)
from pumicedeck.claim_outcomes import ClaimOutcome, RecordedAnswer
from pumicedeck.messages import (
    Answer,
    Chunk,
    Heartbeat,
    Leaving,
    Message,
    Refused,
    Revoked,
    Started,
)
from pumicedeck.pending_requests import PendingRequest, PendingRequests, RequestPhase
from pumicedeck.request_attempts import RequestAttempts, claim_digest
from pumicedeck.request_counters import EntryRequestCounters
from pumicedeck.request_settings import EntryRequestSettings
from pumicedeck.results import Failure, ResultCode
from pumicedeck.routers import Candidate, RouteQuery, Router
from pumicedeck.topology import Incarnation


class EntryRequests:
    """Requests of one entry; event methods take monotonic time in seconds and return actions."""

    def __init__(
        self,
        incarnation: Incarnation | str,
        router: Router,
        settings: EntryRequestSettings | None = None,
    ) -> None:
        """Create an entry without requests; `router` chooses the agent of each attempt."""
        self._router = router
        self._settings = settings or EntryRequestSettings()
        self._counters = EntryRequestCounters()
        self._pending = PendingRequests(str(incarnation))
        self._attempts = RequestAttempts(self._pending, router, self._settings, self._counters)
        self._abandoned_claims: OrderedDict[str, CallerRequest] = OrderedDict()
        self._leaving_agents: set[str] = set()
        self._agent_by_vm: dict[str, str] = {}
        self._refuse_from: float | None = None
        self._drained = False

    @property
    def counters(self) -> EntryRequestCounters:
        """Return a copy of the counters."""
        return replace(self._counters)

    @property
    def pending(self) -> int:
        """Return how many requests have no final answer."""
        return len(self._pending)

    @property
    def floor(self) -> int:
        """Return the lowest sequence of an open attempt, or the next one; heartbeats send it."""
        return self._pending.floor

    def outstanding(self, agent: str) -> int:
        """Return how many attempts at an agent incarnation are open."""
        return len(self._pending.at_agent(agent))

    def next_wakeup(self) -> float | None:
        """Return the monotonic time in seconds at which to call `on_timer`; None if no need."""
        phase_end = self._pending.next_deadline()
        if self._refuse_from is None or self._drained:
            return phase_end
        if not self._pending:
            return self._refuse_from
        return phase_end

    def submit(self, now: float, request: CallerRequest) -> list[Action]:
        """Accept a validated request; claim a non-idempotent one that has a caller's id first."""
        self._counters.submitted += 1
        refusal = self._refusal(now)
        if refusal:
            return [DeliverFailure(request.handle, refusal)]
        self._attempts.earn_retry()
        pending = self._admit(now, request)
        if request.idempotent or not request.has_caller_request_id:
            return self._attempts.route(now, pending)
        self._counters.claims += 1
        self._pending.enter_phase(
            pending, RequestPhase.CLAIMING, now + self._settings.claim_seconds
        )
        firm, digest = request.entry.firm, claim_digest(request)
        return [WriteClaim(request.handle, firm, request.request_id, digest)]

    def caller_disconnected(self, now: float, handle: str) -> list[Action]:
        """Stop work for a disconnected caller; the outcome of a claimed request is recorded."""
        pending = self._pending.find(handle)
        if pending is None or pending.abandoned:
            return []
        self._counters.callers_gone += 1
        pending.abandoned = True
        failure = Failure(ResultCode.CANCELLED, "the caller disconnected")
        if pending.attempt is None:
            return self._fail_unsent(now, pending, failure)
        if pending.claimed:
            wait_for_outcome = pending.started or pending.phase is RequestPhase.DETACHED
            return [] if wait_for_outcome else self._attempts.revoke(pending)
        actions = self._attempts.abandon_attempt(now, pending)
        return actions + self._attempts.fail(now, pending, failure) + self._check_drained(now)

    def claim_answered(self, now: float, handle: str, outcome: ClaimOutcome) -> list[Action]:
        """Dispatch a claimed request, or answer it with the outcome in its claim row."""
        abandoned_request = self._abandoned_claims.pop(handle, None)
        if abandoned_request:
            return _release_claim(abandoned_request, outcome)
        pending = self._pending.find(handle)
        if pending is None or pending.phase is not RequestPhase.CLAIMING:
            return []
        if isinstance(outcome, Err):
            actions = self._attempts.fail(now, pending, outcome.err_value)
        elif isinstance(outcome.ok_value, RecordedAnswer):
            self._pending.remove(pending)
            self._counters.answered += 1
            actions = _deliver_recorded(pending.request, outcome.ok_value.answer)
        else:
            pending.claimed = True
            actions = self._attempts.route(now, pending)
        return actions + self._check_drained(now)

    def session_opened(
        self, now: float, agent: str, candidate: Candidate | None = None
    ) -> list[Action]:
        """Resume the open attempts at an agent; add it to the router if `candidate` is given.

        Without `candidate` the router does not choose the agent. A VM has one agent, so an older
        incarnation on the same VM has ended.
        """
        vm = agent.partition("/")[0]
        previous = self._agent_by_vm.get(vm, agent)
        self._agent_by_vm[vm] = agent
        actions = self.agent_replaced(now, previous) if previous != agent else []
        if candidate and agent not in self._leaving_agents:
            self._router.add(now, candidate)
        for pending in self._pending.at_agent(agent):
            actions += self._attempts.resume(now, pending)
        return actions + self._attempts.cancel_ended_attempts(agent)

    def session_closed(self, now: float, agent: str) -> list[Action]:
        """Remove an agent from the router; its open attempts wait for a new session."""
        self._router.remove(now, agent)
        for pending in self._pending.at_agent(agent):
            self._attempts.detach(now, pending)
        return []

    def agent_replaced(self, now: float, agent: str) -> list[Action]:
        """End the open attempts at an agent incarnation that has ended; they may have run."""
        self._router.remove(now, agent)
        self._leaving_agents.discard(agent)
        vm = agent.partition("/")[0]
        if self._agent_by_vm.get(vm) == agent:
            del self._agent_by_vm[vm]
        actions: list[Action] = []
        for pending in self._pending.at_agent(agent):
            actions += self._attempts.end_with_unknown_outcome(
                now, pending, "the agent incarnation ended"
            )
        self._attempts.drop_ended_attempts(agent)
        return actions + self._check_drained(now)

    def message(self, now: float, agent: str, message: Message) -> list[Action]:
        """Handle a message from an agent incarnation."""
        match message:
            case Heartbeat():
                self._on_heartbeat(now, agent, message)
            case Leaving():
                self._stop_routing(now, agent)
            case Refused() | Started() | Chunk() | Answer() | Revoked():
                return self._attempts.receive(now, agent, message) + self._check_drained(now)
        return []

    def begin_drain(self, now: float) -> list[Action]:
        """Finish pending requests; refuse new ones after `balancer_notice_seconds`.

        Until then the balancer may still send new connections here.
        """
        if self._refuse_from is None:
            self._refuse_from = now + self._settings.balancer_notice_seconds
        return self._check_drained(now)

    def on_timer(self, now: float) -> list[Action]:
        """Handle the requests whose phase or time budget has expired."""
        actions: list[Action] = []
        for pending in self._pending.pop_expired(now):
            actions += self._on_phase_end(now, pending)
        return actions + self._check_drained(now)

    def _refusal(self, now: float) -> Failure | None:
        if self._refuse_from is not None and now >= self._refuse_from:
            # The caller may retry at once.
            return Failure(ResultCode.NOT_READY, "the entry is draining", 0.0)
        if len(self._pending) >= self._settings.max_pending:
            retry_after = self._settings.overload_retry_seconds
            return Failure(ResultCode.OVERLOADED, "too many pending requests", retry_after)
        return None

    def _admit(self, now: float, request: CallerRequest) -> PendingRequest:
        limits = request.entry.limits
        pending = PendingRequest(
            request=request,
            query=RouteQuery(request.entry, request.expected_tokens, request.prefix),
            deadline=now + min(request.budget, limits.deadline_seconds),
            queue_deadline=now + limits.queue_seconds,
        )
        self._pending.add(pending)
        return pending

    def _fail_unsent(self, now: float, pending: PendingRequest, failure: Failure) -> list[Action]:
        """Fail a request without an open attempt; a claim granted later is released."""
        if pending.phase is RequestPhase.CLAIMING:
            self._abandoned_claims[pending.request.handle] = pending.request
        return self._attempts.fail(now, pending, failure) + self._check_drained(now)

    def _on_heartbeat(self, now: float, agent: str, heartbeat: Heartbeat) -> None:
        if heartbeat.load is None:
            return
        self._router.reported(now, agent, heartbeat.load)
        if not heartbeat.load.accepting:
            self._stop_routing(now, agent)

    def _stop_routing(self, now: float, agent: str) -> None:
        self._leaving_agents.add(agent)
        self._router.remove(now, agent)

    def _on_phase_end(self, now: float, pending: PendingRequest) -> list[Action]:
        """Handle a request whose deadline passed or whose phase ended without an event."""
        if now >= pending.deadline:
            return self._on_request_deadline(now, pending)
        match pending.phase:
            case RequestPhase.CLAIMING:
                failure = Failure(
                    ResultCode.STORE_UNAVAILABLE,
                    "the claim was not answered in time",
                    1.0,  # retry after 1 s
                )
                return self._fail_unsent(now, pending, failure)
            case RequestPhase.WAITING:
                return self._attempts.route(now, pending)
            case RequestPhase.SENT:
                return self._attempts.revoke(pending)
            case RequestPhase.DETACHED:
                detail = "no new session to the agent in time"
                return self._attempts.end_with_unknown_outcome(now, pending, detail)
            case RequestPhase.REVOKING:
                return []

    def _on_request_deadline(self, now: float, pending: PendingRequest) -> list[Action]:
        failure = Failure(ResultCode.DEADLINE_EXCEEDED, "the time budget of the request expired")
        if pending.attempt is None:
            proven = not pending.may_have_run
            return self._fail_unsent(now, pending, replace(failure, proven_not_run=proven))
        actions = self._attempts.abandon_attempt(now, pending)
        return actions + self._attempts.fail(now, pending, failure)

    def _check_drained(self, now: float) -> list[Action]:
        """Return `Drained` once, when new requests are refused and none is pending."""
        if self._drained or self._refuse_from is None or now < self._refuse_from or self._pending:
            return []
        self._drained = True
        return [Drained()]


def _deliver_recorded(request: CallerRequest, answer: CallerAnswer) -> list[Action]:
    if not request.streamed or not answer.body:
        return [DeliverAnswer(request.handle, answer)]
    chunk = DeliverChunk(request.handle, answer.body)
    return [chunk, DeliverAnswer(request.handle, replace(answer, body=b""))]


def _release_claim(request: CallerRequest, outcome: ClaimOutcome) -> list[Action]:
    """Record "not run" for a claim that was granted after its request had failed."""
    if isinstance(outcome, Err) or isinstance(outcome.ok_value, RecordedAnswer):
        return []
    code = int(ResultCode.CANCELLED)
    return [RecordOutcome(request.entry.firm, request.request_id, code, None)]
