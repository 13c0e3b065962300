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
_FETCH_BROKEN = Failure(ResultCode.STORE_UNAVAILABLE, "the transfer of weights was interrupted")
_PROGRESS_TOLERANCE_BYTES = 1e-3


@dataclass(order=True, slots=True)
class _Transfer:
    """A transfer that ends when the shared progress reaches `end_progress` bytes.

    Transfers that end at the same progress are completed in the order of `number`.
    """

    end_progress: float
    number: int
    done: ResultCallback[None]


class SharedBandwidth:
    """Divides a rate in bytes per second equally among the running transfers.

    The progress is the number of bytes that a transfer running from the start would have received.
    """

    def __init__(self, timers: TimerQueue, bytes_per_second: float) -> None:
        """Share `bytes_per_second`; 0 means unlimited."""
        self._timers = timers
        self._bytes_per_second = bytes_per_second
        self._transfers: list[_Transfer] = []
        self._progress = 0.0
        self._updated_at = timers.now()
        self._transfer_count = 0
        self._timer: Timer | None = None

    @property
    def running(self) -> int:
        """Return the number of running transfers."""
        return len(self._transfers)

    def transfer(self, size: int, done: ResultCallback[None]) -> None:
        """Call `done` once `size` bytes have been transferred."""
        if self._bytes_per_second <= 0:
            self._timers.call_later(0.0, lambda: done(Ok(None)))
            return
        self._advance()
        self._transfer_count += 1
        heapq.heappush(
            self._transfers, _Transfer(self._progress + size, self._transfer_count, done)
        )
        self._schedule_next_end()

    def _advance(self) -> None:
        now = self._timers.now()
        if self._transfers:
            self._progress += (
                (now - self._updated_at) * self._bytes_per_second / len(self._transfers)
            )
        self._updated_at = now

    def _schedule_next_end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._transfers:
            return
        remaining_bytes = max(0.0, self._transfers[0].end_progress - self._progress)
        self._timer = self._timers.call_later(
            remaining_bytes * len(self._transfers) / self._bytes_per_second, self._on_transfer_end
        )

    def _on_transfer_end(self) -> None:
        self._advance()
        finished = []
        while (
            self._transfers
            and self._transfers[0].end_progress <= self._progress + _PROGRESS_TOLERANCE_BYTES
        ):
            finished.append(heapq.heappop(self._transfers))
        self._schedule_next_end()
        for transfer in finished:
            transfer.done(Ok(None))


@adapter("WeightStore", "standin")
class StandinWeightStore(StandIn, WeightStore):
    """A weight store in memory whose readers share one transfer rate."""

    def __init__(
        self,
        timers: TimerQueue,
        faults: FaultSwitches | None = None,
        bytes_per_second: float = 0.0,
    ) -> None:
        """Limit all fetches together to `bytes_per_second`; 0 means unlimited."""
        super().__init__(timers, faults)
        self._published_versions: dict[str, list[WeightVersion]] = {}
        self._bandwidth = SharedBandwidth(timers, bytes_per_second)
        self.fetches = 0
        self.bytes_fetched = 0
        self.peak_transfers = 0

    def publish(self, weights: WeightVersion, done: ResultCallback[None]) -> None:
        """Publish a version; BAD_REQUEST unless it is newer than all others or repeats one."""
        self._serve("publish", lambda: self._store_version(weights), done, _DOWN, _PUBLISH_LOST)

    def newest(self, model: str, done: ResultCallback[WeightVersion]) -> None:
        """Read the newest published version; NOT_FOUND if none."""
        self._serve("newest", lambda: self._find_newest(model), done, _DOWN, _NEWEST_LOST)

    def fetch(self, model: str, version: int, done: ResultCallback[None]) -> None:
        """Transfer a version to an engine at the shared rate."""
        weights = next(
            (w for w in self._published_versions.get(model, []) if w.version == version), None
        )
        decision = self.faults.decide("fetch")
        if decision.fault is Fault.DOWN:
            self._timers.call_later(decision.delay, lambda: done(Err(_DOWN)))
            return
        if weights is None:
            missing = Failure(ResultCode.NOT_FOUND, f"{model} {version}")
            self._timers.call_later(decision.delay, lambda: done(Err(missing)))
            return

        def finish(outcome: Result[None, Failure]) -> None:
            if decision.fault is not None and decision.fault is not Fault.SILENT:
                outcome = Err(_FETCH_BROKEN)
            self._reply(decision, done, outcome)

        self.fetches += 1
        self.bytes_fetched += weights.size
        self._bandwidth.transfer(weights.size, finish)
        self.peak_transfers = max(self.peak_transfers, self._bandwidth.running)

    def _store_version(self, weights: WeightVersion) -> Result[None, Failure]:
        published = self._published_versions.setdefault(weights.model, [])
        if weights in published:
            return Ok(None)
        if published and weights.version <= published[-1].version:
            detail = f"{weights.model}: {weights.version} is not newer than the published versions"
            return Err(Failure(ResultCode.BAD_REQUEST, detail))
        published.append(weights)
        return Ok(None)

    def _find_newest(self, model: str) -> Result[WeightVersion, Failure]:
        published = self._published_versions.get(model)
        if not published:
            return Err(Failure(ResultCode.NOT_FOUND, model))
        return Ok(published[-1])
