"""Estimate of the store's monotonic clock from the timestamps in its answers."""

from pumicedeck.clocks import TimerQueue

# Assumed maximum difference between the rates of the store's clock and the local clock, as a
# fraction.
MAX_DRIFT = 0.001
# Assumed maximum transmission delay of an answer. A timestamp that is further behind the estimate
# shows that the store's clock was set back.
MAX_ANSWER_DELAY_SECONDS = 5.0


class StoreClock:
    """Estimates the store's clock as the local monotonic time plus an offset.

    The estimate is never ahead of the store's clock by more than the possible drift since the last
    answer. A timestamp is older than the store's clock by the transmission delay of its answer, so
    the largest offset is the most accurate one. A smaller offset lowers the estimate only by the
    drift that is possible since the last answer.
    """

    def __init__(self, timers: TimerQueue) -> None:
        """Create a clock without an estimate; `timers` provides the local monotonic time."""
        self._timers = timers
        self._offset_seconds: float | None = None
        self._updated_at = 0.0

    @property
    def is_set(self) -> bool:
        """Return whether a timestamp of the store was recorded."""
        return self._offset_seconds is not None

    def record_store_time(self, store_time_seconds: float) -> None:
        """Update the estimate with the store's timestamp in an answer that has just arrived."""
        now = self._timers.now()
        offset_seconds = store_time_seconds - now
        if (
            self._offset_seconds is not None
            and 0 < self._offset_seconds - offset_seconds < MAX_ANSWER_DELAY_SECONDS
        ):
            elapsed_seconds = max(0.0, now - self._updated_at)
            offset_seconds = max(offset_seconds, self._offset_seconds - MAX_DRIFT * elapsed_seconds)
        self._offset_seconds = offset_seconds
        self._updated_at = now

    def now(self) -> float:
        """Return the estimated store time in seconds, or 0 before the first answer."""
        return 0.0 if self._offset_seconds is None else self._timers.now() + self._offset_seconds

    def to_local_seconds(self, store_time_seconds: float) -> float:
        """Return the local monotonic time at which the store's clock shows `store_time_seconds`."""
        return store_time_seconds - (self._offset_seconds or 0.0)
