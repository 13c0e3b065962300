"""Queues order the dispatches that wait at an agent; free of I/O."""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable

from result import Err, Ok, Result

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.messages import AttemptId, Dispatch
from pumicedeck.results import Failure, ResultCode

QUEUES: dict[str, type["DispatchQueue"]] = {}


def queue(name: str) -> Callable[[type["DispatchQueue"]], type["DispatchQueue"]]:
    """Register a queue class under the name that settings use."""

    def register(cls: type["DispatchQueue"]) -> type["DispatchQueue"]:
        QUEUES[name] = cls
        return cls

    return register


class DispatchQueue(ABC):
    """Holds dispatches between arrival and hand-over to the endpoint."""

    @abstractmethod
    def push(self, now: float, dispatch: Dispatch) -> Result[None, Failure]:
        """Queue a dispatch, or refuse it with a "not run" failure and a retry time."""

    @abstractmethod
    def pop(self, now: float) -> Dispatch | None:
        """Take the dispatch to run next."""

    @abstractmethod
    def remove(self, now: float, attempt: AttemptId) -> Dispatch | None:
        """Take one dispatch out; None if it is not queued."""

    @abstractmethod
    def expire(self, now: float) -> list[Dispatch]:
        """Take out every dispatch whose queue time has run out."""

    def finished(self, now: float, dispatch: Dispatch, tokens: int) -> None:
        """Correct the expected cost of a dispatch by its true tokens."""

    def configure(self, now: float, catalogue: Catalogue) -> list[Dispatch]:
        """Apply new shares and limits to what is queued; return what they now refuse."""
        return []

    @property
    @abstractmethod
    def queued_tokens(self) -> int:
        """Return the sum of expected tokens that wait."""

    @property
    def express_slots(self) -> int:
        """Return how many dispatches may be handed over beyond the slots of the endpoint."""
        return 0

    @property
    def interactive_tokens(self) -> int:
        """Return the expected tokens of interactive work that waits or runs, if known."""
        return 0

    @property
    def service_rate(self) -> float:
        """Return the tokens a second of the endpoint with all slots busy; 0 if unknown."""
        return 0.0

    @abstractmethod
    def __len__(self) -> int:
        """Return how many dispatches wait."""


@queue("fifo")
class FirstInFirstOutQueue(DispatchQueue):
    """Serves in order of arrival up to a bounded length; a baseline."""

    def __init__(self, capacity: int = 1024) -> None:
        """Hold at most `capacity` dispatches."""
        self._capacity = capacity
        self._waiting: OrderedDict[AttemptId, tuple[float, Dispatch]] = OrderedDict()
        self._tokens = 0

    @property
    def queued_tokens(self) -> int:
        """Return the sum of expected tokens that wait."""
        return self._tokens

    def push(self, now: float, dispatch: Dispatch) -> Result[None, Failure]:
        """Append a dispatch."""
        if len(self._waiting) >= self._capacity:
            return Err(Failure(ResultCode.OVERLOADED, "queue full", 1.0))
        self._waiting[dispatch.attempt] = (now + dispatch.queue_budget, dispatch)
        self._tokens += dispatch.expected_tokens
        return Ok(None)

    def pop(self, now: float) -> Dispatch | None:
        """Take the oldest dispatch."""
        if not self._waiting:
            return None
        return self.remove(now, next(iter(self._waiting)))

    def remove(self, now: float, attempt: AttemptId) -> Dispatch | None:
        """Take one dispatch out."""
        queued = self._waiting.pop(attempt, None)
        if queued is None:
            return None
        self._tokens -= queued[1].expected_tokens
        return queued[1]

    def expire(self, now: float) -> list[Dispatch]:
        """Take out every dispatch whose queue time has run out."""
        expired = [
            attempt for attempt, (expires_at, _) in self._waiting.items() if expires_at <= now
        ]
        return [found for attempt in expired if (found := self.remove(now, attempt))]

    def __len__(self) -> int:
        """Return how many dispatches wait."""
        return len(self._waiting)
