"""Simulates an agent: the real request state machine and queue in front of a fake engine."""

from result import Err, Ok

from pumicedeck.actions import Action, CancelExecution, SendMessage, StartExecution
from pumicedeck.agent_requests import AgentRequests
from pumicedeck.attempts import ExecutionEnd
from pumicedeck.clocks import VirtualTime
from pumicedeck.experiment_engines import EngineJob, FakeEngine
from pumicedeck.experiment_files import Experiment, Policy, PoolSpec
from pumicedeck.experiment_networks import FakeNetwork
from pumicedeck.fair_queues import FairQueue
from pumicedeck.messages import AttemptId, Dispatch, Heartbeat, Message
from pumicedeck.queues import QUEUES, DispatchQueue
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import FailureDomain
from pumicedeck.wakeups import Wakeup


class FakeAgent:
    """Passes messages and engine events to the state machine and performs its actions.

    The body of a dispatch is the number of tokens of its answer, in decimal.
    """

    def __init__(
        self,
        time: VirtualTime,
        network: FakeNetwork,
        experiment: Experiment,
        policy: Policy,
        pool: PoolSpec,
        domain: FailureDomain,
        vm: str,
    ) -> None:
        """Create the agent of one endpoint of `pool` and add it to the network."""
        self.vm = vm
        self.name = f"{vm}/1"
        self.domain = domain
        self.pool = pool
        self.alive = True
        self._time = time
        self._network = network
        self._policy = policy
        self._loads = {each.entry: each for each in experiment.loads}
        self.engine = FakeEngine(
            time, pool.slots, pool.slot_rate, pool.prefill_rate, pool.cache_tokens
        )
        self._requests = AgentRequests(self.name, _build_queue(policy, pool), pool.slots)
        self._requests.configure(0.0, experiment.catalogue())
        self._wakeup = Wakeup(time, self._requests.next_wakeup, self._on_timer)
        self._heartbeats_sent = 0
        network.add_peer(self)

    def connect(self, entry: str) -> None:
        """Open a session with an entry."""
        self._perform(self._requests.session_opened(self._time.now(), entry))

    def receive(self, source: str, message: Message) -> None:
        """Handle a message from an entry."""
        self._perform(self._requests.message(self._time.now(), source, message))

    def send_heartbeat(self, entry: str, lag: float) -> None:
        """Send the load to an entry, delayed by `lag` seconds beyond the network delay."""
        self._heartbeats_sent += 1
        self._network.send(
            self, entry, Heartbeat(self._heartbeats_sent, 1, 0, self._requests.load()), lag
        )

    def fail(self) -> None:
        """Stop without notice; all queued and running requests are dropped."""
        self.alive = False
        self._wakeup.close()
        self.engine.clear()

    def _on_timer(self, now: float) -> None:
        self._perform(self._requests.on_timer(now))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(peer, message):
                    self._network.send(self, peer, message)
                case StartExecution(dispatch):
                    self._start_job(dispatch)
                case CancelExecution(attempt):
                    self.engine.cancel(str(attempt))
                    self._time.call_later(
                        0.0, lambda attempt=attempt: self._report_cancellation(attempt)
                    )
        self._wakeup.refresh()

    def _start_job(self, dispatch: Dispatch) -> None:
        load = self._loads[dispatch.entry_name]
        tokens = int(dispatch.body)
        job = EngineJob(
            handle=str(dispatch.attempt),
            priority=dispatch.priority if self._policy.engine_priorities else 0,
            tokens=tokens,
            prompt_tokens=load.prompt_tokens,
            prefix=dispatch.prefix,
            prefix_tokens=load.prefix_tokens,
        )
        self.engine.start(job, lambda: self._finish_job(dispatch.attempt, tokens))

    def _finish_job(self, attempt: AttemptId, tokens: int) -> None:
        now = self._time.now()
        self._perform(self._requests.execution_chunk(now, attempt, b"whole", tokens))
        end = Ok(ExecutionEnd(200, "text/plain", tokens))
        self._perform(self._requests.execution_finished(now, attempt, end))

    def _report_cancellation(self, attempt: AttemptId) -> None:
        if self.alive:
            outcome = Err(Failure(ResultCode.CANCELLED))
            now = self._time.now()
            self._perform(self._requests.execution_finished(now, attempt, outcome))


def _build_queue(policy: Policy, pool: PoolSpec) -> DispatchQueue:
    if policy.queue == "fair":
        return FairQueue(pool.slots, policy.reserved, policy.express)
    return QUEUES[policy.queue]()
