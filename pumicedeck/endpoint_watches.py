"""Polls an endpoint and notifies its agent, which then drains, when the endpoint is leaving."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from result import Ok, Result

from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.platform_interfaces import EngineState, ModelEngine, PlainService
from pumicedeck.results import Failure

POLL_INTERVAL_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 3.0


class EndpointWatch(ABC):
    """Polls an endpoint; `on_leaving` is called once, at the first answer that reports leaving."""

    def __init__(self, timers: TimerQueue, on_leaving: Callable[[], None]) -> None:
        """Call `on_leaving` when the endpoint is leaving; polling begins with `start`."""
        self._timers = timers
        self._on_leaving = on_leaving
        self._timer: Timer | None = None
        self._poll_number = 0
        self._has_reported_leaving = False

    def start(self) -> None:
        """Poll the endpoint now, and again POLL_INTERVAL_SECONDS after each answer."""
        self._start_poll()

    def close(self) -> None:
        """Stop polling."""
        self._poll_number += 1
        if self._timer is not None:
            self._timer.cancel()

    @abstractmethod
    def _poll_endpoint(self, poll_number: int) -> None:
        """Ask the endpoint and call `_on_answer` with the number of this poll."""

    def _start_poll(self) -> None:
        self._poll_number += 1
        # The next poll starts even if no answer comes, so that a lost answer does not end polling.
        self._timer = self._timers.call_later(ANSWER_TIMEOUT_SECONDS, self._start_poll)
        self._poll_endpoint(self._poll_number)

    def _on_answer(self, poll_number: int, is_leaving: bool) -> None:
        if poll_number != self._poll_number or self._has_reported_leaving:
            return
        if is_leaving:
            self._has_reported_leaving = True
            self.close()
            self._on_leaving()
            return
        self._timer.cancel()
        self._timer = self._timers.call_later(POLL_INTERVAL_SECONDS, self._start_poll)


class EngineWatch(EndpointWatch):
    """Polls the state of a model engine."""

    def __init__(
        self,
        timers: TimerQueue,
        on_leaving: Callable[[], None],
        engine: ModelEngine,
    ) -> None:
        """Poll the state of `engine`."""
        super().__init__(timers, on_leaving)
        self._engine = engine

    def _poll_endpoint(self, poll_number: int) -> None:
        def on_state(state: Result[EngineState, Failure]) -> None:
            self._on_answer(poll_number, isinstance(state, Ok) and state.ok_value.leaving)

        self._engine.state(on_state)


class ServiceWatch(EndpointWatch):
    """Polls the health of a plain service; an unhealthy one is leaving."""

    def __init__(
        self, timers: TimerQueue, on_leaving: Callable[[], None], service: PlainService
    ) -> None:
        """Poll the health of `service`."""
        super().__init__(timers, on_leaving)
        self._service = service

    def _poll_endpoint(self, poll_number: int) -> None:
        def on_health(healthy: Result[bool, Failure]) -> None:
            self._on_answer(poll_number, isinstance(healthy, Ok) and not healthy.ok_value)

        self._service.healthy(on_health)
