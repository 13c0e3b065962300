"""Coroutines on the one loop: promises, tasks and time-outs, driven by a timer queue."""

from collections.abc import Callable, Coroutine, Generator
from typing import Any, Generic, TypeVar

from loguru import logger

from pumicedeck.clocks import TimerQueue

T = TypeVar("T")

_log = logger.bind(module="tasks")


class Cancelled(BaseException):
    """Thrown into a coroutine that is cancelled; derived so that no `except Exception` eats it."""


class Promise(Generic[T]):
    """A value that comes later; the first `resolve` wins."""

    __slots__ = ("_callbacks", "_done", "_value")

    def __init__(self) -> None:
        """Begin without a value."""
        self._callbacks: list[Callable[[T], None]] = []
        self._done = False
        self._value: T | None = None

    @property
    def is_done(self) -> bool:
        """Return whether there is a value."""
        return self._done

    def resolve(self, value: T) -> None:
        """Set the value and tell who waits; a second value is ignored."""
        if self._done:
            return
        self._done = True
        self._value = value
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback(value)

    def then(self, callback: Callable[[T], None]) -> None:
        """Call `callback` with the value, at once if there is one."""
        if self._done:
            callback(self._value)
        else:
            self._callbacks.append(callback)

    def __await__(self) -> Generator["Promise[T]", None, T]:
        """Suspend a task until the value is there."""
        if not self._done:
            yield self
        return self._value


class Task:
    """A running coroutine."""

    def __init__(self, coroutine: Coroutine[Any, Any, Any], name: str) -> None:
        """Run it up to its first wait."""
        self._coroutine = coroutine
        self._name = name
        self._running = False
        self._cancelled = False
        self._waits_for: Promise | None = None
        self.ended: Promise[None] = Promise()
        self._step(None, None)

    @property
    def is_done(self) -> bool:
        """Return whether the coroutine has ended."""
        return self.ended.is_done

    def cancel(self) -> None:
        """Throw `Cancelled` into the coroutine; one that runs now ends at its next wait."""
        if self.is_done or self._cancelled:
            return
        self._cancelled = True
        if not self._running:
            self._waits_for = None
            self._step(None, Cancelled())

    def _step(self, value: Any, error: BaseException | None) -> None:
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
            self._finish()
        else:
            self._running = False
            self._wait(promise)

    def _wait(self, promise: Promise) -> None:
        if self._cancelled:
            self._step(None, Cancelled())
            return
        self._waits_for = promise
        promise.then(lambda value: self._resume(promise, value))

    def _resume(self, promise: Promise, value: Any) -> None:
        if self._waits_for is promise:
            self._waits_for = None
            self._step(value, None)

    def _finish(self) -> None:
        self._running = False
        self.ended.resolve(None)


def spawn(coroutine: Coroutine[Any, Any, Any], name: str) -> Task:
    """Start a coroutine; an exception in it is logged."""
    return Task(coroutine, name)


def sleep(timers: TimerQueue, seconds: float) -> Promise[None]:
    """Return a promise that resolves after `seconds`."""
    promise: Promise[None] = Promise()
    timers.call_later(seconds, lambda: promise.resolve(None))
    return promise


def within(timers: TimerQueue, seconds: float, promise: Promise[T], late: T) -> Promise[T]:
    """Return a promise of the same value, or of `late` after `seconds`."""
    bounded: Promise[T] = Promise()
    timer = timers.call_later(max(0.0, seconds), lambda: bounded.resolve(late))

    def settle(value: T) -> None:
        timer.cancel()
        bounded.resolve(value)

    promise.then(settle)
    return bounded


class Signal:
    """Wakes every waiter at once; used again and again."""

    def __init__(self) -> None:
        """Begin with nobody waiting."""
        self._next: Promise[bool] = Promise()

    def wait(self) -> Promise[bool]:
        """Return a promise of the next `notify`."""
        return self._next

    def notify(self) -> None:
        """Resolve what was waited for until now."""
        promise, self._next = self._next, Promise()
        promise.resolve(True)
