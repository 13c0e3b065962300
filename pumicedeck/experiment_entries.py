"""Simulates an entry in virtual time with the real limiter, request state machine and router."""

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

MIN_RETRY_DELAY_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class _Call:
    arrival: Arrival
    retries: int


class FakeEntry:
    """Passes arrivals and messages to the state machine and performs its actions."""

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
        """Create the entry on `vm` in a failure domain and add it to the network."""
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
        self._wakeup = Wakeup(time, self._requests.next_wakeup, self._on_timer)
        self._calls: dict[str, _Call] = {}
        self._call_count = 0
        self._heartbeats_sent = 0
        network.add_peer(self)

    @property
    def attempts(self) -> int:
        """Return the number of dispatches sent."""
        return self._requests.counters.attempts

    def connect(self, agent: FakeAgent) -> None:
        """Open a session with an agent."""
        endpoint = Endpoint(agent.vm, agent.pool.name, EndpointKind.MODEL, agent.pool.slots)
        candidate = Candidate(agent.name, endpoint, agent.domain)
        agent.connect(self.name)
        self._perform(self._requests.session_opened(self._time.now(), agent.name, candidate))

    def close_session(self, agent: str) -> None:
        """Close the session with an agent whose heartbeats stopped."""
        self._perform(self._requests.session_closed(self._time.now(), agent))

    def receive(self, source: str, message: Message) -> None:
        """Handle a message from an agent."""
        self._perform(self._requests.message(self._time.now(), source, message))

    def send_heartbeat(self, agent: str) -> None:
        """Send a heartbeat to an agent."""
        self._heartbeats_sent += 1
        self._network.send(self, agent, Heartbeat(self._heartbeats_sent, 1, self._requests.floor))

    def submit(self, arrival: Arrival, retries: int = 0) -> None:
        """Submit the request of a caller, which was retried `retries` times before."""
        now = self._time.now()
        load = arrival.load
        entry = self._entries[load.entry]
        admitted = self.limiter.admit(now, entry, load.tokens)
        if admitted.is_err():
            self._retry_or_record(_Call(arrival, retries), admitted.unwrap_err())
            return
        self._call_count += 1
        handle = str(self._call_count)
        self._calls[handle] = _Call(arrival, retries)
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

    def _on_timer(self, now: float) -> None:
        self._perform(self._requests.on_timer(now))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(peer, message):
                    self._network.send(self, peer, message)
                case DeliverAnswer(handle):
                    call = self._end_call(handle, True)
                    self._recorder.request_ended(self._time.now(), call.arrival, ResultCode.OK)
                case DeliverFailure(handle, failure):
                    self._retry_or_record(self._end_call(handle, False), failure)
        self._wakeup.refresh()

    def _end_call(self, handle: str, succeeded: bool) -> _Call:
        call = self._calls.pop(handle)
        load = call.arrival.load
        tokens = call.arrival.tokens if succeeded else 0
        self.limiter.finished(self._time.now(), self._entries[load.entry], load.tokens, tokens)
        return call

    def _retry_or_record(self, call: _Call, failure: Failure) -> None:
        now = self._time.now()
        arrival = call.arrival
        remaining_seconds = arrival.time + arrival.load.deadline_seconds - now
        retry_seconds = max(failure.retry_after or 0.0, MIN_RETRY_DELAY_SECONDS)
        if call.retries >= arrival.load.caller_retries or retry_seconds >= remaining_seconds:
            self._recorder.request_ended(now, arrival, failure.code)
            return
        self._time.call_later(retry_seconds, lambda: self.submit(arrival, call.retries + 1))
