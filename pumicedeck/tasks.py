"""Coroutines on a single loop: promises, tasks, time-outs and signals, driven by a timer queue."""

from collections.abc import Callable, Coroutine, Generator
from typing import Any, Generic, TypeVar

from loguru import logger

from pumicedeck.clocks import TimerQueue

T = TypeVar("T")

_log = logger.bind(module="tasks")


class Cancelled(BaseException):
    """Thrown into a cancelled coroutine; a BaseException, so no `except Exception` catches it."""


class Promise(Generic[T]):
    """A value that becomes available later; only the first `resolve` has an effect."""

    __slots__ = ("_callbacks", "_done", "_value")

    def __init__(self) -> None:
        """Create a promise without a value."""
        self._callbacks: list[Callable[[T], None]] = []
        self._done = False
        self._value: T | None = None

    @property
    def is_done(self) -> bool:
        """Return whether the value is available."""
        return self._done

    def resolve(self, value: T) -> None:
        """Set the value and call the waiting callbacks; later values are ignored."""
        if self._done:
            return
        self._done = True
        self._value = value
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback(value)

    def then(self, callback: Callable[[T], None]) -> None:
        """Call `callback` with the value once it is available, at once if it already is."""
        if self._done:
            callback(self._value)
        else:
            self._callbacks.append(callback)

    def __await__(self) -> Generator["Promise[T]", None, T]:
        """Suspend the awaiting task until the value is available."""
        if not self._done:
            yield self
        return self._value


class Task:
    """A running coroutine; `ended` resolves once it has returned, failed or been cancelled."""

    def __init__(
        self,
        coroutine: Coroutine[Any, Any, Any],
        name: str,
        on_failure: Callable[[], None] | None = None,
    ) -> None:
        """Start the coroutine and run it up to its first wait; `name` is for the log.

        `on_failure` is called if the coroutine raises an exception, so that what waits for it gets
        an end all the same.
        """
        self._coroutine = coroutine
        self._name = name
        self._on_failure = on_failure
        self._running = False
        self._cancelled = False
        self._awaited_promise: Promise | None = None
        self.ended: Promise[None] = Promise()
        self._step(None, None)

    @property
    def is_done(self) -> bool:
        """Return whether the coroutine has ended."""
        return self.ended.is_done

    def cancel(self) -> None:
        """Throw `Cancelled` into the coroutine; if it is running now, it ends at its next wait."""
        if self.is_done or self._cancelled:
            return
        self._cancelled = True
        if not self._running:
            self._awaited_promise = None
            self._step(None, Cancelled())

    def _step(self, value: Any, error: BaseException | None) -> None:
        """Run the coroutine to its next wait, with the awaited value or an exception."""
        self._running = True
        try:
            promise = (
                self._coroutine.throw(error) if error is not None else self._coroutine.send(value)
            )
        except StopIteration:
            self._finish()
        except Cancelled:
            self._finish()
        except Exception:
            _log.opt(exception=True).error("task ended by unhandled exception", task=self._name)
            on_failure = self._on_failure
            self._finish()
            if on_failure is not None:
                on_failure()
        else:
            self._running = False
            self._await_promise(promise)

    def _await_promise(self, promise: Promise) -> None:
        """Resume the coroutine when the promise that it awaits has a value."""
        if self._cancelled:
            self._step(None, Cancelled())
            return
        self._awaited_promise = promise
        promise.then(lambda value: self._resume(promise, value))

    def _resume(self, promise: Promise, value: Any) -> None:
        """Continue after a promise, unless the task no longer waits for it."""
        if self._awaited_promise is promise:
            self._awaited_promise = None
            self._step(value, None)

    def _finish(self) -> None:
        self._running = False
        # It may refer to what refers to this task.
        self._on_failure = None
        self.ended.resolve(None)


def spawn(
    coroutine: Coroutine[Any, Any, Any],
    name: str,
    on_failure: Callable[[], None] | None = None,
) -> Task:
    """Start a coroutine as a task; an exception that it raises is logged, see `Task`."""
    return Task(coroutine, name, on_failure)


def sleep(timers: TimerQueue, seconds: float) -> Promise[None]:
    """Return a promise that resolves after `seconds`."""
    promise: Promise[None] = Promise()
    timers.call_later(seconds, lambda: promise.resolve(None))
    return promise


def within(timers: TimerQueue, seconds: float, promise: Promise[T], late: T) -> Promise[T]:
    """Return a promise of the value of `promise`, or of `late` if it has none after `seconds`."""
    bounded: Promise[T] = Promise()
    timer = timers.call_later(max(0.0, seconds), lambda: bounded.resolve(late))

    def settle(value: T) -> None:
        timer.cancel()
        bounded.resolve(value)

    promise.then(settle)
    return bounded


class Signal:
    """Wakes all waiting tasks at each `notify`; can be used any number of times."""

    def __init__(self) -> None:
        """Create a signal without waiting tasks."""
        self._next: Promise[bool] = Promise()

    def wait(self) -> Promise[bool]:
        """Return a promise that the next `notify` resolves."""
        return self._next

    def notify(self) -> None:
        """Resolve the promises that `wait` has returned since the last `notify`."""
        promise, self._next = self._next, Promise()
        promise.resolve(True)
