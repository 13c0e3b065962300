"""Polls the weight store for the newest published weight versions."""

from collections.abc import Callable, Iterable
from random import Random

from result import Ok, Result

from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.platform_interfaces import WeightStore, WeightVersion
from pumicedeck.results import Failure

POLL_SECONDS = 2.0
JITTER_SECONDS = 0.5


class NewestVersionPoll:
    """Polls only for the models in use, so that an idle process causes no load on the store."""

    def __init__(
        self,
        timers: TimerQueue,
        store: WeightStore,
        models: Callable[[], Iterable[str]],
        on_confirmed: Callable[[str, int], None],
        rng: Random,
    ) -> None:
        """Poll for `models()`; call `on_confirmed` with each model and the version read for it."""
        self._timers = timers
        self._store = store
        self._get_models = models
        self._on_confirmed = on_confirmed
        self._rng = rng
        self._timer: Timer | None = None

    def start(self) -> None:
        """Start polling."""
        self.poll_now()

    def close(self) -> None:
        """Stop polling."""
        if self._timer is not None:
            self._timer.cancel()

    def poll_now(self) -> None:
        """Poll now and schedule the next poll."""
        if self._timer is not None:
            self._timer.cancel()
        delay = POLL_SECONDS + self._rng.uniform(0.0, JITTER_SECONDS)
        self._timer = self._timers.call_later(delay, self.poll_now)
        for model in self._get_models():
            self._store.newest(model, self._on_newest)

    def _on_newest(self, read: Result[WeightVersion, Failure]) -> None:
        if isinstance(read, Ok):
            self._on_confirmed(read.ok_value.model, read.ok_value.version)
