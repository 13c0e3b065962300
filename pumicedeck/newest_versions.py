"""Learns the newest published weight versions from the weight store."""

from collections.abc import Callable, Iterable
from random import Random

from result import Ok, Result

from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.platform_interfaces import WeightStore, WeightVersion
from pumicedeck.results import Failure

POLL_SECONDS = 2.0
JITTER_SECONDS = 0.5


class NewestVersionPoll:
    """Asks for the models that are in use, so that an idle process costs the store nothing."""

    def __init__(
        self,
        timers: TimerQueue,
        store: WeightStore,
        models: Callable[[], Iterable[str]],
        confirmed: Callable[[str, int], None],
        rng: Random,
    ) -> None:
        """Ask for `models()` and report each answer to `confirmed`."""
        self._timers = timers
        self._store = store
        self._models = models
        self._confirmed = confirmed
        self._rng = rng
        self._timer: Timer | None = None

    def start(self) -> None:
        """Begin to ask."""
        self.poll_now()

    def close(self) -> None:
        """Stop asking."""
        if self._timer is not None:
            self._timer.cancel()

    def poll_now(self) -> None:
        """Ask now and set the time of the next question."""
        if self._timer is not None:
            self._timer.cancel()
        delay = POLL_SECONDS + self._rng.uniform(0.0, JITTER_SECONDS)
        self._timer = self._timers.call_later(delay, self.poll_now)
        for model in self._models():
            self._store.newest(model, self._answered)

    def _answered(self, newest: Result[WeightVersion, Failure]) -> None:
        if isinstance(newest, Ok):
            self._confirmed(newest.ok_value.model, newest.ok_value.version)
