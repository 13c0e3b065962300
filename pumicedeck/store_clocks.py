"""The store's steady clock as seen from this process."""

from pumicedeck.clocks import TimerQueue

# By how much two steady clocks may differ, and the longest way of an answer.
DRIFT = 0.001
MAX_ANSWER_DELAY_SECONDS = 5.0


class StoreClock:
    """Estimates the store's clock from the answers that named it; it is never ahead of the store.

    An answer that was long on its way shows an old time, so the best of the last ones counts.
    """

    def __init__(self, timers: TimerQueue) -> None:
        """Know nothing until the first answer."""
        self._timers = timers
        self._offset: float | None = None
        self._seen_at = 0.0

    @property
    def is_set(self) -> bool:
        """Return whether the store has told its time."""
        return self._offset is not None

    def record_store_seconds(self, store_seconds: float) -> None:
        """Take in the time that an answer named."""
        now = self._timers.now()
        offset = store_seconds - now
        if self._offset is not None and 0 < self._offset - offset < MAX_ANSWER_DELAY_SECONDS:
            passed = max(0.0, now - self._seen_at)
            offset = max(offset, self._offset - DRIFT * passed)
        self._offset = offset
        self._seen_at = now

    def now(self) -> float:
        """Return the store's seconds; before the first answer, 0."""
        return 0.0 if self._offset is None else self._timers.now() + self._offset

    def to_local_seconds(self, store_seconds: float) -> float:
        """Return the second of our own clock at which the store shows `store_seconds`."""
        return store_seconds - (self._offset or 0.0)
