"""In-process stand-in for the platform's rate-limited weight store."""

import heapq
from dataclasses import dataclass

from result import Err, Ok, Result

from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.faults import Fault, FaultSwitches, StandIn
from pumicedeck.platform_interfaces import ResultCallback, WeightStore, WeightVersion, adapter
from pumicedeck.results import Failure, ResultCode

_DOWN = Failure(ResultCode.STORE_UNAVAILABLE, "the weight store is down")
_NEWEST_LOST = Failure(ResultCode.STORE_UNAVAILABLE, "the reply of the weight store was lost")
_PUBLISH_LOST = Failure(ResultCode.STORE_OUTCOME_UNKNOWN, "the reply to a publish was lost")
_FETCH_BROKEN = Failure(ResultCode.STORE_UNAVAILABLE, "the transfer of weights broke off")
_VIRTUAL_BYTES_TOLERANCE = 1e-3


@dataclass(order=True, slots=True)
class _Transfer:
    """A transfer that ends when the shared progress reaches `ends`."""

    ends: float
    order: int
    done: ResultCallback[None]


class SharedBandwidth:
    """Divides a rate in bytes per second equally among all transfers that run."""

    def __init__(self, timers: TimerQueue, bytes_per_second: float) -> None:
        """Share `bytes_per_second`; 0 means unlimited."""
        self._timers = timers
        self._rate = bytes_per_second
        self._heap: list[_Transfer] = []
        self._progress = 0.0
        self._seen_at = timers.now()
        self._count = 0
        self._timer: Timer | None = None

    @property
    def running(self) -> int:
        """Return how many transfers run."""
        return len(self._heap)

    def transfer(self, size: int, done: ResultCallback[None]) -> None:
        """Report to `done` when `size` bytes have passed."""
        if self._rate <= 0:
            self._timers.call_later(0.0, lambda: done(Ok(None)))
            return
        self._advance()
        self._count += 1
        heapq.heappush(self._heap, _Transfer(self._progress + size, self._count, done))
        self._schedule()

    def _advance(self) -> None:
        now = self._timers.now()
        if self._heap:
            self._progress += (now - self._seen_at) * self._rate / len(self._heap)
        self._seen_at = now

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._heap:
            return
        left = max(0.0, self._heap[0].ends - self._progress)
        self._timer = self._timers.call_later(left * len(self._heap) / self._rate, self._on_due)

    def _on_due(self) -> None:
        self._advance()
        finished = []
        while self._heap and self._heap[0].ends <= self._progress + _VIRTUAL_BYTES_TOLERANCE:
            finished.append(heapq.heappop(self._heap))
        self._schedule()
        for transfer in finished:
            transfer.done(Ok(None))


@adapter("WeightStore", "standin")
class StandinWeightStore(StandIn, WeightStore):
    """A weight store in memory whose readers share one rate."""

    def __init__(
        self,
        timers: TimerQueue,
        faults: FaultSwitches | None = None,
        bytes_per_second: float = 0.0,
    ) -> None:
        """Let all fetches together pass `bytes_per_second`; 0 means unlimited."""
        super().__init__(timers, faults)
        self._versions: dict[str, list[WeightVersion]] = {}
        self._shared = SharedBandwidth(timers, bytes_per_second)
        self.fetches = 0
        self.bytes_fetched = 0
        self.peak_transfers = 0

    def publish(self, weights: WeightVersion, done: ResultCallback[None]) -> None:
        """Publish a version; a version that is not newer is refused, a repeated one is not."""
        self._serve("publish", lambda: self._publish(weights), done, _DOWN, _PUBLISH_LOST)

    def newest(self, model: str, done: ResultCallback[WeightVersion]) -> None:
        """Read the newest published version; NOT_FOUND if none."""
        self._serve("newest", lambda: self._newest(model), done, _DOWN, _NEWEST_LOST)

    def fetch(self, model: str, version: int, done: ResultCallback[None]) -> None:
        """Transfer a version to an engine at the shared rate."""
        weights = next((w for w in self._versions.get(model, []) if w.version == version), None)
        plan = self.faults.plan("fetch")
        if plan.fault is Fault.DOWN:
            self._timers.call_later(plan.delay, lambda: done(Err(_DOWN)))
            return
        if weights is None:
            missing = Failure(ResultCode.NOT_FOUND, f"{model} {version}")
            self._timers.call_later(plan.delay, lambda: done(Err(missing)))
            return

        def finish(outcome: Result[None, Failure]) -> None:
            if plan.fault is not None and plan.fault is not Fault.SILENT:
                outcome = Err(_FETCH_BROKEN)
            self._reply(plan, done, outcome)

        self.fetches += 1
        self.bytes_fetched += weights.size
        self._shared.transfer(weights.size, finish)
        self.peak_transfers = max(self.peak_transfers, self._shared.running)

    def _publish(self, weights: WeightVersion) -> Result[None, Failure]:
        known = self._versions.setdefault(weights.model, [])
        if weights in known:
            return Ok(None)
        if known and weights.version <= known[-1].version:
            detail = f"{weights.model}: {weights.version} is not newer"
            return Err(Failure(ResultCode.BAD_REQUEST, detail))
        known.append(weights)
        return Ok(None)

    def _newest(self, model: str) -> Result[WeightVersion, Failure]:
        known = self._versions.get(model)
        if not known:
            return Err(Failure(ResultCode.NOT_FOUND, model))
        return Ok(known[-1])
