"""A fake entry VM for experiments: the real router, limiter and retry budget."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry
from pumicedeck.clocks import Timer, VirtualTime
from pumicedeck.experiment_agents import FakeAgent
from pumicedeck.experiment_figures import Recorder
from pumicedeck.experiment_loads import Arrival
from pumicedeck.limiters import EntryLimiter
from pumicedeck.messages import AttemptId, Dispatch
from pumicedeck.overloads import RetryBudget
from pumicedeck.results import ResultCode
from pumicedeck.routers import Candidate, RouteQuery, Router
from pumicedeck.world import Endpoint, EndpointKind, FailureDomain

MOST_ATTEMPTS = 3
Delay = Callable[[FailureDomain, FailureDomain], float]


@dataclass(slots=True)
class _Pending:
    arrival: Arrival
    query: RouteQuery
    deadline: Timer
    agent: str = ""
    sequence: int = 0
    attempts: int = 0


class FakeEntry:
    """Admits, routes, retries within a budget and records how requests end."""

    def __init__(
        self,
        time: VirtualTime,
        name: str,
        domain: FailureDomain,
        router: Router,
        catalogue: Catalogue,
        recorder: Recorder,
        delay: Delay,
    ) -> None:
        """Stand in a failure domain."""
        self.name = name
        self.domain = domain
        self.router = router
        self.limiter = EntryLimiter(name)
        self.limiter.configure(0.0, catalogue)
        self._time = time
        self._entries = {each.name: each for each in catalogue.entries}
        self._recorder = recorder
        self._delay = delay
        self._agents: dict[str, FakeAgent] = {}
        self._pending: dict[int, _Pending] = {}
        self._budget = RetryBudget()
        self._sequence = 0

    def connect(self, agent: FakeAgent) -> None:
        """Open a session to an agent."""
        self._agents[agent.name] = agent
        endpoint = Endpoint(agent.name, agent.pool.name, EndpointKind.MODEL, agent.pool.slots)
        self.router.add(self._time.now(), Candidate(agent.name, endpoint, agent.domain))

    def disconnect(self, agent: str) -> None:
        """Give a session up: what was sent there is tried elsewhere within the budget."""
        if self._agents.pop(agent, None) is None:
            return
        self.router.remove(self._time.now(), agent)
        for sequence, pending in list(self._pending.items()):
            if pending.agent == agent:
                self._ended(sequence, ResultCode.SESSION_LOST, 1.0)

    def receive_load(self, agent: FakeAgent, lag: float) -> None:
        """Take in the agent's load report after its delay and a further lag."""
        report = agent.load()
        delay = self._delay(agent.domain, self.domain) + lag
        now = self._time.now
        self._time.call_later(delay, lambda: self.router.reported(now(), agent.name, report))

    def submit(self, arrival: Arrival, tries: int = 0) -> None:
        """Take a request from a caller."""
        now = self._time.now()
        entry = self._entries[arrival.load.entry]
        admitted = self.limiter.admit(now, entry, arrival.load.tokens)
        if admitted.is_err():
            failure = admitted.unwrap_err()
            self._refuse(arrival, failure.code, failure.retry_after or 1.0, tries)
            return
        query = RouteQuery(entry, arrival.load.tokens, arrival.prefix)
        left = arrival.time + arrival.load.deadline_seconds - now
        self._sequence += 1
        sequence = self._sequence
        deadline = self._time.call_later(left, lambda: self._expire(sequence))
        self._pending[sequence] = _Pending(arrival, query, deadline)
        self._budget.first_attempt()
        self._dispatch(sequence, tries)

    def _dispatch(self, sequence: int, tries: int) -> None:
        pending = self._pending[sequence]
        chosen = self.router.choose(self._time.now(), pending.query)
        if chosen.is_err():
            failure = chosen.unwrap_err()
            self._close(sequence)
            self._refuse(pending.arrival, failure.code, failure.retry_after or 1.0, tries)
            return
        agent = self._agents[chosen.unwrap()]
        pending.agent = agent.name
        pending.attempts += 1
        self._sequence += 1
        pending.sequence = self._sequence
        self._recorder.attempts += 1
        self.router.dispatched(self._time.now(), agent.name, pending.query)
        self._send(agent, sequence, pending, tries)

    def _send(self, agent: FakeAgent, sequence: int, pending: _Pending, tries: int) -> None:
        dispatch = self._message(agent, pending)
        delay = self._delay(self.domain, agent.domain)
        attempt = pending.sequence

        def ended(code: ResultCode, after: float) -> None:
            self._time.call_later(delay, lambda: answered(code, after))

        def answered(code: ResultCode, after: float) -> None:
            held = self._pending.get(sequence)
            if held is not None and held.sequence == attempt:
                self._ended(sequence, code, after, tries)

        self._time.call_later(delay, lambda: agent.offer(dispatch, pending.arrival, ended))

    def _message(self, agent: FakeAgent, pending: _Pending) -> Dispatch:
        load = pending.arrival.load
        return Dispatch(
            attempt=AttemptId(self.name, pending.sequence),
            agent=agent.name,
            request_id="",
            entry_name=load.entry,
            firm=load.firm,
            request_class=load.request_class,
            idempotent=True,
            streamed=False,
            path="",
            body=b"",
            budget=load.deadline_seconds,
            queue_budget=load.queue_seconds,
            expected_tokens=load.tokens,
            prefix=pending.arrival.prefix,
        )

    def _ended(self, sequence: int, code: ResultCode, after: float, tries: int = 0) -> None:
        now = self._time.now()
        pending = self._pending[sequence]
        self.router.finished(now, pending.agent, pending.query, code)
        if code is ResultCode.OK:
            self._close(sequence, pending.arrival.tokens)
            self._recorder.ended(now, pending.arrival, code)
            return
        pending.query = replace(pending.query, excluded=(*pending.query.excluded, pending.agent))
        if pending.attempts < MOST_ATTEMPTS and self._budget.may_retry():
            self._dispatch(sequence, tries)
            return
        self._close(sequence)
        self._refuse(pending.arrival, code, after, tries)

    def _refuse(self, arrival: Arrival, code: ResultCode, after: float, tries: int) -> None:
        now = self._time.now()
        left = arrival.time + arrival.load.deadline_seconds - now
        if tries >= arrival.load.caller_retries or after >= left:
            self._recorder.ended(now, arrival, code)
            return
        self._time.call_later(after, lambda: self.submit(arrival, tries + 1))

    def _expire(self, sequence: int) -> None:
        pending = self._pending[sequence]
        agent = self._agents.get(pending.agent)
        if agent is not None:
            agent.cancel(AttemptId(self.name, pending.sequence))
        now = self._time.now()
        self.router.finished(now, pending.agent, pending.query, ResultCode.DEADLINE_EXCEEDED)
        self._close(sequence)
        self._recorder.ended(now, pending.arrival, ResultCode.DEADLINE_EXCEEDED)

    def _close(self, sequence: int, tokens: int = 0) -> None:
        pending = self._pending.pop(sequence)
        pending.deadline.cancel()
        entry: CatalogueEntry = pending.query.entry
        self.limiter.finished(self._time.now(), entry, pending.query.expected_tokens, tokens)
