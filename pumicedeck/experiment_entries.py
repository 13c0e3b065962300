"""A fake entry process: the real limiter, request state machine and router."""

from dataclasses import dataclass

from pumicedeck.actions import (
    Action,
    CallerRequest,
    DeliverAnswer,
    DeliverFailure,
    SendMessage,
)
from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.clocks import VirtualTime
from pumicedeck.entry_requests import EntryRequests
from pumicedeck.experiment_agents import FakeAgent
from pumicedeck.experiment_figures import Recorder
from pumicedeck.experiment_loads import Arrival
from pumicedeck.experiment_networks import FakeNetwork
from pumicedeck.limiters import EntryLimiter
from pumicedeck.messages import Heartbeat, Message
from pumicedeck.results import Failure, ResultCode
from pumicedeck.routers import Candidate, Router
from pumicedeck.topology import Endpoint, EndpointKind, FailureDomain
from pumicedeck.wakeups import Wakeup

LEAST_RETRY_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class _Call:
    arrival: Arrival
    tries: int


class FakeEntry:
    """Carries arrivals and messages to the state machine and its actions out."""

    def __init__(
        self,
        time: VirtualTime,
        network: FakeNetwork,
        recorder: Recorder,
        catalogue: Catalogue,
        domain: FailureDomain,
        vm: str,
        router: Router,
    ) -> None:
        """Stand in a failure domain."""
        self.vm = vm
        self.name = f"{vm}/1"
        self.domain = domain
        self.alive = True
        self.router = router
        self.limiter = EntryLimiter(vm)
        self.limiter.configure(0.0, catalogue)
        self._time = time
        self._network = network
        self._recorder = recorder
        self._entries = {each.name: each for each in catalogue.entries}
        self._requests = EntryRequests(self.name, router)
        self._wakeup = Wakeup(time, self._requests.next_wakeup, self._on_time)
        self._calls: dict[str, _Call] = {}
        self._count = 0
        self._beats = 0
        network.add_peer(self)

    @property
    def attempts(self) -> int:
        """Return how many dispatches were sent."""
        return self._requests.counters.attempts

    def connect(self, agent: FakeAgent) -> None:
        """Open a session to an agent."""
        endpoint = Endpoint(agent.vm, agent.pool.name, EndpointKind.MODEL, agent.pool.slots)
        candidate = Candidate(agent.name, endpoint, agent.domain)
        agent.connect(self.name)
        self._perform(self._requests.session_opened(self._time.now(), agent.name, candidate))

    def close_session(self, agent: str) -> None:
        """Give a session up after missed heartbeats."""
        self._perform(self._requests.session_closed(self._time.now(), agent))

    def receive(self, source: str, message: Message) -> None:
        """Take in a message of an agent."""
        self._perform(self._requests.message(self._time.now(), source, message))

    def send_heartbeat(self, agent: str) -> None:
        """Send a heartbeat to an agent."""
        self._beats += 1
        self._network.send(self, agent, Heartbeat(self._beats, 1, self._requests.floor))

    def submit(self, arrival: Arrival, tries: int = 0) -> None:
        """Take a request from a caller."""
        now = self._time.now()
        load = arrival.load
        entry = self._entries[load.entry]
        admitted = self.limiter.admit(now, entry, load.tokens)
        if admitted.is_err():
            self._refused(_Call(arrival, tries), admitted.unwrap_err())
            return
        self._count += 1
        handle = str(self._count)
        self._calls[handle] = _Call(arrival, tries)
        request = CallerRequest(
            handle=handle,
            request_id=handle,
            entry=entry,
            path="/",
            body=str(arrival.tokens).encode(),
            idempotent=True,
            streamed=False,
            budget=arrival.time + load.deadline_seconds - now,
            expected_tokens=load.tokens,
            prefix=arrival.prefix,
        )
        self._perform(self._requests.submit(now, request))

    def _on_time(self, now: float) -> None:
        self._perform(self._requests.on_timer(now))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(peer, message):
                    self._network.send(self, peer, message)
                case DeliverAnswer(handle):
                    call = self._close(handle, True)
                    self._recorder.request_ended(self._time.now(), call.arrival, ResultCode.OK)
                case DeliverFailure(handle, failure):
                    self._refused(self._close(handle, False), failure)
        self._wakeup.refresh()

    def _close(self, handle: str, whole: bool) -> _Call:
        call = self._calls.pop(handle)
        load = call.arrival.load
        tokens = call.arrival.tokens if whole else 0
        self.limiter.finished(self._time.now(), self._entries[load.entry], load.tokens, tokens)
        return call

    def _refused(self, call: _Call, failure: Failure) -> None:
        now = self._time.now()
        arrival = call.arrival
        left = arrival.time + arrival.load.deadline_seconds - now
        after = max(failure.retry_after or 0.0, LEAST_RETRY_SECONDS)
        if call.tries >= arrival.load.caller_retries or after >= left:
            self._recorder.request_ended(now, arrival, failure.code)
            return
        self._time.call_later(after, lambda: self.submit(arrival, call.tries + 1))
