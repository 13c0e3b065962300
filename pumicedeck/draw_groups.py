"""Tracks the waiting, in-flight and finished samples of one group of a step; performs no I/O."""

from dataclasses import dataclass, field, replace

from pumicedeck.catalogue_entries import CatalogueEntry
from pumicedeck.drafts import Draft, DrawRequest, GroupKey, GroupRequest, Score
from pumicedeck.results import Failure
from pumicedeck.staleness import KnownVersion
from pumicedeck.stragglers import GroupPriority, critical_path_key


@dataclass(frozen=True, slots=True)
class InFlightRequest:
    """A submitted request for a draft; `started` is in seconds, `hedge` marks a second copy."""

    handle: str
    key: GroupKey
    index: int
    started: float
    hedge: bool = False


@dataclass(slots=True)
class OpenDraw:
    """A draw that has not ended.

    `announced` is the newest version that its trainer announced. `blocked_since` is the time since
    which a complete group waits for the newest version to become known.
    """

    request: DrawRequest
    announced: KnownVersion | None
    deadline: float
    open_groups: set[GroupKey] = field(default_factory=set)
    samples: int = 0
    hedge_count: int = 0
    blocked_since: float | None = None


@dataclass(slots=True)
class WaitingSample:
    """A sample to submit no earlier than `not_before`; `tries` counts its failed requests."""

    index: int
    not_before: float = 0.0
    tries: int = 0


@dataclass(slots=True)
class GroupProgress:
    """Progress of a group, which is retained after its draw ended so that another can resume it.

    `owner` is the handle of the owning draw, empty if there is none. `scoring` maps the index of a
    sample to the handle of its open scoring call. `reproducible` is False if the body takes no
    seed, so that its drafts are not hedged. `redrawn` is set once a stale draft was discarded.
    """

    key: GroupKey
    request: GroupRequest
    entry: CatalogueEntry
    position: int
    owner: str
    waiting: list[WaitingSample] = field(default_factory=list)
    in_flight_requests: dict[int, list[InFlightRequest]] = field(default_factory=dict)
    done: dict[int, Draft] = field(default_factory=dict)
    tries: dict[int, int] = field(default_factory=dict)
    scorer: CatalogueEntry | None = None
    scoring: dict[int, str] = field(default_factory=dict)
    reproducible: bool = True
    redrawn: bool = False
    delivered: bool = False
    released_at: float = 0.0
    _order: tuple[int, bool, float, bool, int] | None = None

    @property
    def complete(self) -> bool:
        """Return whether every sample is done and no scoring call is open."""
        return len(self.done) == self.request.samples and not self.scoring

    @property
    def size(self) -> int:
        """Return the size of the finished drafts in bytes."""
        return sum(len(each.answer.body) for each in self.done.values())

    @property
    def order(self) -> tuple[int, bool, float, bool, int]:
        """Return the sort key of the group among those with waiting samples; lower goes first."""
        if self._order is None:
            self._order = critical_path_key(self._priority())
        return self._order

    def _priority(self) -> GroupPriority:
        total = sum(each.answer.tokens for each in self.done.values())
        mean = total / len(self.done) if self.done else 0.0
        tokens = max(float(self.request.expected_tokens), mean)
        started = bool(self.done or self.in_flight_requests)
        return GroupPriority(self.key.step, self.redrawn, tokens, started, self.position)

    def finish(self, index: int, draft: Draft) -> None:
        """Store a finished draft."""
        self.done[index] = draft
        self._order = None

    def record_score(self, index: int, outcome: Score | Failure) -> None:
        """Store the score of a finished draft, or the failure of its scoring call."""
        del self.scoring[index]
        self.done[index] = replace(self.done[index], score=outcome)

    def claim(self, draw: DrawRequest, position: int) -> None:
        """Assign the group to a draw and queue every sample that is neither done nor in flight."""
        self.owner = draw.handle
        self.entry = draw.entry
        self.scorer = draw.scorer
        self.position = position
        self.delivered = False
        self._order = None
        self._queue_missing_samples()

    def _queue_missing_samples(self) -> None:
        waiting = {each.index for each in self.waiting}
        for index in range(self.request.samples):
            if (
                index not in self.done
                and index not in self.in_flight_requests
                and index not in waiting
            ):
                self.waiting.append(WaitingSample(index, tries=self.tries.get(index, 0)))

    def next_waiting(self, now: float) -> WaitingSample | None:
        """Return the first sample that may be submitted now."""
        return next((each for each in self.waiting if each.not_before <= now), None)

    def request_started(self, in_flight_request: InFlightRequest) -> None:
        """Record that a request is in flight."""
        self._order = None
        self.waiting = [each for each in self.waiting if each.index != in_flight_request.index]
        self.in_flight_requests.setdefault(in_flight_request.index, []).append(in_flight_request)

    def request_ended(self, in_flight_request: InFlightRequest) -> None:
        """Record that a request is no longer in flight."""
        self._order = None
        remaining = [
            each
            for each in self.in_flight_requests.get(in_flight_request.index, [])
            if each is not in_flight_request
        ]
        if remaining:
            self.in_flight_requests[in_flight_request.index] = remaining
        else:
            self.in_flight_requests.pop(in_flight_request.index, None)

    def retry(self, index: int, not_before: float) -> None:
        """Queue a sample again unless it is already done, waiting or in flight."""
        if index in self.done or index in self.in_flight_requests:
            return
        if any(each.index == index for each in self.waiting):
            return
        self.waiting.insert(0, WaitingSample(index, not_before, self.tries.get(index, 0)))

    def discard(self, index: int) -> None:
        """Drop a finished draft and queue its sample again."""
        self._order = None
        del self.done[index]
        self.scoring.pop(index, None)
        self.redrawn = True
        self.retry(index, 0.0)

    def all_in_flight_requests(self) -> list[InFlightRequest]:
        """Return all in-flight requests of the group."""
        return [
            each
            for in_flight_requests in self.in_flight_requests.values()
            for each in in_flight_requests
        ]

    def ordered_drafts(self) -> tuple[Draft, ...]:
        """Return the finished drafts ordered by index."""
        return tuple(self.done[index] for index in sorted(self.done))
