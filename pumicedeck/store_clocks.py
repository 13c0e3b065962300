"""The store's steady clock as seen from this process."""

from pumicedeck.clocks import TimerQueue


class StoreClock:
    """Estimates the store's clock from the last answer that named it."""

    def __init__(self, timers: TimerQueue) -> None:
        """Know nothing until the first answer."""
        self._timers = timers
        self._offset: float | None = None

    @property
    def is_set(self) -> bool:
        """Return whether the store has told its time."""
        return self._offset is not None

    def saw(self, store_seconds: float) -> None:
        """Take in the time that an answer named."""
        self._offset = store_seconds - self._timers.now()

    def now(self) -> float:
        """Return the store's seconds; before the first answer, 0."""
        return 0.0 if self._offset is None else self._timers.now() + self._offset

    def local(self, store_seconds: float) -> float:
        """Return the second of our own clock at which the store shows `store_seconds`."""
        return store_seconds - (self._offset or 0.0)
