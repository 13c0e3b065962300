"""Queues that order the dispatches waiting at an agent; free of I/O."""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable

from result import Err, Ok, Result

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.messages import AttemptId, Dispatch
from pumicedeck.results import Failure, ResultCode

QUEUES: dict[str, type["DispatchQueue"]] = {}


def queue(name: str) -> Callable[[type["DispatchQueue"]], type["DispatchQueue"]]:
    """Return a decorator that registers a queue class under its name in settings."""

    def register(cls: type["DispatchQueue"]) -> type["DispatchQueue"]:
        QUEUES[name] = cls
        return cls

    return register


class DispatchQueue(ABC):
    """Holds dispatches from their arrival until they start at the endpoint.

    `now` is in monotonic seconds.
    """

    @abstractmethod
    def push(self, now: float, dispatch: Dispatch) -> Result[None, Failure]:
        """Queue a dispatch, or return a "not run" failure with a retry time."""

    @abstractmethod
    def pop(self, now: float) -> Dispatch | None:
        """Remove and return the dispatch to run next; None if none may run."""

    @abstractmethod
    def remove(self, now: float, attempt: AttemptId) -> Dispatch | None:
        """Remove and return a dispatch; None if it is not queued."""

    @abstractmethod
    def expire(self, now: float) -> list[Dispatch]:
        """Remove and return the dispatches whose queue time has expired."""

    def finished(self, now: float, dispatch: Dispatch, tokens: int) -> None:
        """Replace the expected cost of an ended dispatch by its actual number of tokens."""

    def configure(self, now: float, catalogue: Catalogue) -> list[Dispatch]:
        """Apply new shares and limits; remove and return the dispatches that exceed them."""
        return []

    @property
    @abstractmethod
    def queued_tokens(self) -> int:
        """Return the expected tokens of all queued dispatches."""

    @property
    def express_slots(self) -> int:
        """Return how many dispatches may run beyond the slots of the endpoint."""
        return 0

    @property
    def interactive_tokens(self) -> int:
        """Return the expected tokens of queued and running interactive dispatches; 0 if unknown."""
        return 0

    @property
    def service_rate(self) -> float:
        """Return the endpoint's tokens per second with all slots busy; 0 if unknown."""
        return 0.0

    @abstractmethod
    def __len__(self) -> int:
        """Return how many dispatches are queued."""


@queue("fifo")
class FirstInFirstOutQueue(DispatchQueue):
    """Serves in order of arrival up to a bounded length; a baseline for comparisons."""

    def __init__(self, capacity: int = 1024) -> None:
        """Create an empty queue for at most `capacity` dispatches."""
        self._capacity = capacity
        self._waiting: OrderedDict[AttemptId, tuple[float, Dispatch]] = OrderedDict()
        self._tokens = 0

    @property
    def queued_tokens(self) -> int:
        """Return the expected tokens of all queued dispatches."""
        return self._tokens

    def push(self, now: float, dispatch: Dispatch) -> Result[None, Failure]:
        """Append a dispatch, or refuse it if the queue is full."""
        if len(self._waiting) >= self._capacity:
            return Err(Failure(ResultCode.OVERLOADED, "queue full", 1.0))  # retry after 1 s
        self._waiting[dispatch.attempt] = (now + dispatch.queue_budget, dispatch)
        self._tokens += dispatch.expected_tokens
        return Ok(None)

    def pop(self, now: float) -> Dispatch | None:
        """Remove and return the oldest dispatch."""
        if not self._waiting:
            return None
        return self.remove(now, next(iter(self._waiting)))

    def remove(self, now: float, attempt: AttemptId) -> Dispatch | None:
        """Remove and return a dispatch; None if it is not queued."""
        queued = self._waiting.pop(attempt, None)
        if queued is None:
            return None
        self._tokens -= queued[1].expected_tokens
        return queued[1]

    def expire(self, now: float) -> list[Dispatch]:
        """Remove and return the dispatches whose queue time has expired."""
        expired = [
            attempt for attempt, (expires_at, _) in self._waiting.items() if expires_at <= now
        ]
        return [found for attempt in expired if (found := self.remove(now, attempt))]

    def __len__(self) -> int:
        """Return how many dispatches are queued."""
        return len(self._waiting)
