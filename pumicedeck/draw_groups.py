"""Progress of one group of a step: what waits, what is in flight, what is done; free of I/O."""

from dataclasses import dataclass, field, replace

from pumicedeck.catalogue_entries import CatalogueEntry
from pumicedeck.drafts import Draft, DrawRequest, GroupKey, GroupRequest, Score
from pumicedeck.results import Failure
from pumicedeck.staleness import KnownVersion
from pumicedeck.stragglers import GroupPriority, critical_path_key


@dataclass(frozen=True, slots=True)
class InFlightRequest:
    """One request for a draft that is in flight."""

    handle: str
    key: GroupKey
    index: int
    started: float
    hedge: bool = False


@dataclass(slots=True)
class OpenDraw:
    """A draw that has not ended; `named` is the newest version that its trainer named."""

    request: DrawRequest
    announced: KnownVersion | None
    deadline: float
    open_groups: set[GroupKey] = field(default_factory=set)
    samples: int = 0
    hedges: int = 0
    blocked_since: float | None = None


@dataclass(slots=True)
class WaitingSample:
    """A sample to be submitted, not before `not_before`; `tries` counts failed requests."""

    index: int
    not_before: float = 0.0
    tries: int = 0


@dataclass(slots=True)
class GroupProgress:
    """A group that a draw owns or left behind; `owner` is the draw's handle, empty if none."""

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
        """Tell whether every sample is done and scored."""
        return len(self.done) == self.request.samples and not self.scoring

    @property
    def size(self) -> int:
        """Return the bytes that the finished drafts take."""
        return sum(len(each.answer.body) for each in self.done.values())

    @property
    def order(self) -> tuple[int, bool, float, bool, int]:
        """Return the sort key of the group among those that have waiting samples."""
        if self._order is None:
            self._order = critical_path_key(self._outlook())
        return self._order

    def _outlook(self) -> GroupPriority:
        total = sum(each.answer.tokens for each in self.done.values())
        mean = total / len(self.done) if self.done else 0.0
        tokens = max(float(self.request.expected_tokens), mean)
        started = bool(self.done or self.in_flight_requests)
        return GroupPriority(self.key.step, self.redrawn, tokens, started, self.position)

    def finish(self, index: int, draft: Draft) -> None:
        """Keep a finished draft."""
        self.done[index] = draft
        self._order = None

    def record_score(self, index: int, outcome: Score | Failure) -> None:
        """Keep the score of a finished draft, or why there is none."""
        del self.scoring[index]
        self.done[index] = replace(self.done[index], score=outcome)

    def claim(self, draw: DrawRequest, position: int) -> None:
        """Let a draw own the group, with every sample waiting that is not done or in flight."""
        self.owner = draw.handle
        self.entry = draw.entry
        self.scorer = draw.scorer
        self.position = position
        self.delivered = False
        self._order = None
        self._fill()

    def _fill(self) -> None:
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

    def request_started(self, flight: InFlightRequest) -> None:
        """Count a request as in flight."""
        self._order = None
        self.waiting = [each for each in self.waiting if each.index != flight.index]
        self.in_flight_requests.setdefault(flight.index, []).append(flight)

    def request_ended(self, flight: InFlightRequest) -> None:
        """Count a request as ended."""
        self._order = None
        left = [
            each for each in self.in_flight_requests.get(flight.index, []) if each is not flight
        ]
        if left:
            self.in_flight_requests[flight.index] = left
        else:
            self.in_flight_requests.pop(flight.index, None)

    def retry(self, index: int, not_before: float) -> None:
        """Let a sample wait again unless a copy of it is done, waiting or in flight."""
        if index in self.done or index in self.in_flight_requests:
            return
        if any(each.index == index for each in self.waiting):
            return
        self.waiting.insert(0, WaitingSample(index, not_before, self.tries.get(index, 0)))

    def discard(self, index: int) -> None:
        """Forget a finished draft and draw it again."""
        self._order = None
        del self.done[index]
        self.scoring.pop(index, None)
        self.redrawn = True
        self.retry(index, 0.0)

    def all_in_flight_requests(self) -> list[InFlightRequest]:
        """Return every request in flight."""
        return [
            each
            for in_flight_requests in self.in_flight_requests.values()
            for each in in_flight_requests
        ]

    def ordered_drafts(self) -> tuple[Draft, ...]:
        """Return the finished drafts in the order of their index."""
        return tuple(self.done[index] for index in sorted(self.done))
