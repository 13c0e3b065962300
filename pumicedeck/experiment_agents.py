"""A fake agent for experiments: the real queue in front of a fake engine."""

from collections.abc import Callable
from dataclasses import dataclass

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.clocks import VirtualTime
from pumicedeck.experiment_engines import EngineJob, FakeEngine
from pumicedeck.experiment_files import Policy, PoolSpec
from pumicedeck.experiment_loads import Arrival
from pumicedeck.fair_queues import FairQueue
from pumicedeck.messages import AttemptId, Dispatch, LoadReport
from pumicedeck.queues import QUEUES, DispatchQueue
from pumicedeck.results import ResultCode
from pumicedeck.world import FailureDomain

EXPIRY_SECONDS = 0.25
Ended = Callable[[ResultCode, float], None]


@dataclass(slots=True)
class _Held:
    dispatch: Dispatch
    arrival: Arrival
    ended: Ended


class FakeAgent:
    """Queues dispatches, hands them to the engine and reports load."""

    def __init__(
        self,
        time: VirtualTime,
        name: str,
        domain: FailureDomain,
        pool: PoolSpec,
        policy: Policy,
        catalogue: Catalogue,
    ) -> None:
        """Stand before one endpoint of a pool."""
        self.name = name
        self.domain = domain
        self.pool = pool
        self.alive = True
        self._time = time
        self._policy = policy
        self.engine = FakeEngine(
            time, pool.slots, pool.slot_rate, pool.prefill_rate, pool.cache_tokens
        )
        self._queue = _build_queue(policy, pool)
        self._queue.configure(0.0, catalogue)
        self._held: dict[AttemptId, _Held] = {}
        self._running: dict[AttemptId, Dispatch] = {}
        self._capacity = pool.slots + policy.express
        time.call_later(EXPIRY_SECONDS, self._expire)

    def offer(self, dispatch: Dispatch, arrival: Arrival, ended: Ended) -> None:
        """Take a dispatch from an entry VM; `ended` gets the code and the retry time."""
        if not self.alive:
            return
        pushed = self._queue.push(self._time.now(), dispatch)
        if pushed.is_err():
            failure = pushed.unwrap_err()
            ended(failure.code, failure.retry_after or 0.0)
            return
        self._held[dispatch.attempt] = _Held(dispatch, arrival, ended)
        self._pump()

    def cancel(self, attempt: AttemptId) -> None:
        """Drop an attempt that nobody waits for."""
        if self._held.pop(attempt, None) is None:
            return
        now = self._time.now()
        if attempt in self._running:
            self.engine.cancel(str(attempt))
            self._queue.finished(now, self._running.pop(attempt), 0)
        else:
            self._queue.remove(now, attempt)
        self._pump()

    def fail(self) -> None:
        """Vanish with everything that is queued or running."""
        self.alive = False
        for attempt in list(self._running):
            self.engine.cancel(str(attempt))

    def load(self) -> LoadReport:
        """Return the load as an agent would report it."""
        running = sum(each.expected_tokens for each in self._running.values())
        fair = isinstance(self._queue, FairQueue)
        nominal = self.pool.slots * self.pool.slot_rate
        return LoadReport(
            queued=len(self._queue),
            running=len(self._running),
            slots=self.pool.slots,
            queued_tokens=self._queue.queued_tokens,
            running_tokens=running,
            service_rate=self._queue.current_rate(self._time.now()) if fair else nominal,
            interactive_tokens=self._queue.interactive_tokens if fair else 0,
        )

    def _pump(self) -> None:
        while self.alive and len(self._running) < self._capacity:
            found = self._queue.pop(self._time.now())
            if found is None:
                return
            self._start(found)

    def _start(self, dispatch: Dispatch) -> None:
        self._running[dispatch.attempt] = dispatch
        arrival = self._held[dispatch.attempt].arrival
        job = EngineJob(
            handle=str(dispatch.attempt),
            priority=dispatch.priority if self._policy.engine_priorities else 0,
            tokens=arrival.tokens,
            prompt_tokens=arrival.load.prompt_tokens,
            prefix=arrival.prefix,
            prefix_tokens=arrival.load.prefix_tokens,
        )
        self.engine.start(job, lambda: self._finish(dispatch))

    def _finish(self, dispatch: Dispatch) -> None:
        del self._running[dispatch.attempt]
        held = self._held.pop(dispatch.attempt)
        self._queue.finished(self._time.now(), dispatch, held.arrival.tokens)
        held.ended(ResultCode.OK, 0.0)
        self._pump()

    def _expire(self) -> None:
        if not self.alive:
            return
        for dispatch in self._queue.expire(self._time.now()):
            self._held.pop(dispatch.attempt).ended(ResultCode.QUEUE_TIMEOUT, 1.0)
        self._time.call_later(EXPIRY_SECONDS, self._expire)


def _build_queue(policy: Policy, pool: PoolSpec) -> DispatchQueue:
    if policy.queue == "fair":
        return FairQueue(pool.slots, policy.reserved, policy.express)
    return QUEUES[policy.queue]()
