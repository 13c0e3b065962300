"""Asks an endpoint at short intervals whether it is leaving."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from result import Ok, Result

from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.platform_interfaces import EngineState, ModelEngine, PlainService
from pumicedeck.results import Failure

WATCH_SECONDS = 1.0
SILENCE_SECONDS = 3.0


class EndpointWatch(ABC):
    """Base of the watches; `leaving` is called once, when the endpoint first says so."""

    def __init__(self, timers: TimerQueue, leaving: Callable[[], None]) -> None:
        """Report to `leaving`."""
        self._timers = timers
        self._leaving = leaving
        self._timer: Timer | None = None
        self._round = 0
        self._has_left = False

    def start(self) -> None:
        """Ask now and then regularly."""
        self._ask_again()

    def close(self) -> None:
        """Stop asking."""
        self._round += 1
        if self._timer is not None:
            self._timer.cancel()

    @abstractmethod
    def _ask(self, number: int) -> None:
        """Ask the endpoint and call `_answered` with the number of this round."""

    def _ask_again(self) -> None:
        self._round += 1
        # An answer that never comes must not end the watch.
        self._timer = self._timers.call_later(SILENCE_SECONDS, self._ask_again)
        self._ask(self._round)

    def _answered(self, number: int, is_leaving: bool) -> None:
        if number != self._round or self._has_left:
            return
        if is_leaving:
            self._has_left = True
            self.close()
            self._leaving()
            return
        self._timer.cancel()
        self._timer = self._timers.call_later(WATCH_SECONDS, self._ask_again)


class EngineWatch(EndpointWatch):
    """Watches a model engine."""

    def __init__(
        self,
        timers: TimerQueue,
        leaving: Callable[[], None],
        engine: ModelEngine,
    ) -> None:
        """Ask `engine` for its state."""
        super().__init__(timers, leaving)
        self._engine = engine

    def _ask(self, number: int) -> None:
        def answered(state: Result[EngineState, Failure]) -> None:
            self._answered(number, isinstance(state, Ok) and state.ok_value.leaving)

        self._engine.state(answered)


class ServiceWatch(EndpointWatch):
    """Watches a plain service."""

    def __init__(
        self, timers: TimerQueue, leaving: Callable[[], None], service: PlainService
    ) -> None:
        """Ask `service` for its health."""
        super().__init__(timers, leaving)
        self._service = service

    def _ask(self, number: int) -> None:
        def answered(healthy: Result[bool, Failure]) -> None:
            self._answered(number, isinstance(healthy, Ok) and not healthy.ok_value)

        self._service.healthy(answered)
