"""Tracks the waiting, in-flight and finished samples of one group of a step; performs no I/O."""

from dataclasses import dataclass, field, replace

from pumicedeck.catalogue_entries import CatalogueEntry
from pumicedeck.drafts import Draft, DrawRequest, GroupKey, GroupRequest, Score
from pumicedeck.results import Failure
from pumicedeck.staleness import KnownVersion
from pumicedeck.stragglers import GroupPriority, critical_path_key


@dataclass(frozen=True, slots=True)
class InFlightRequest:
    """A submitted request for a draft.

    `handle` identifies the request on its entry VM. `started` is in seconds. `hedge` marks the
    second copy of a late request.
    """

    handle: str
    key: GroupKey
    index: int
    started: float
    hedge: bool = False


@dataclass(slots=True)
class OpenDraw:
    """A draw that has not ended.

    `announced` is the newest version that its trainer announced. `samples` counts the samples of
    its groups, `hedge_count` the hedges started. `blocked_since` is the time since which a
    complete group waits for the newest version to become known.
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
    """A sample to submit no earlier than `not_before`, in seconds."""

    index: int
    not_before: float = 0.0
    failed_requests: int = 0


@dataclass(slots=True)
class DrawGroup:
    """A group and its progress, retained after its draw ended so that another draw can resume it.

    `owner` is the handle of the owning draw, empty if there is none. `scoring` maps the index of a
    sample to the handle of its open scoring call. `reproducible` is False if the body takes no
    seed, so that its drafts are not hedged. `redrawn` is set once a stale draft was discarded.
    `failed_requests` maps the index of a sample to its number of failed requests.
    `unowned_since` is the time at which the last owning draw delivered the group or ended.
    """

    key: GroupKey
    request: GroupRequest
    entry: CatalogueEntry
    position: int
    owner: str
    waiting_samples: list[WaitingSample] = field(default_factory=list)
    in_flight_requests: dict[int, list[InFlightRequest]] = field(default_factory=dict)
    finished_drafts: dict[int, Draft] = field(default_factory=dict)
    failed_requests: dict[int, int] = field(default_factory=dict)
    scorer: CatalogueEntry | None = None
    scoring: dict[int, str] = field(default_factory=dict)
    reproducible: bool = True
    redrawn: bool = False
    delivered: bool = False
    unowned_since: float = 0.0
    _order: tuple[int, bool, float, bool, int] | None = None

    @property
    def complete(self) -> bool:
        """Return whether every sample is finished and no scoring call is open."""
        return len(self.finished_drafts) == self.request.samples and not self.scoring

    @property
    def size(self) -> int:
        """Return the size of the finished drafts in bytes."""
        return sum(len(draft.answer.body) for draft in self.finished_drafts.values())

    @property
    def order(self) -> tuple[int, bool, float, bool, int]:
        """Return the sort key of the group among those with waiting samples; lower goes first."""
        if self._order is None:
            self._order = critical_path_key(self._build_priority())
        return self._order

    def _build_priority(self) -> GroupPriority:
        total = sum(draft.answer.tokens for draft in self.finished_drafts.values())
        mean = total / len(self.finished_drafts) if self.finished_drafts else 0.0
        tokens = max(float(self.request.expected_tokens), mean)
        started = bool(self.finished_drafts or self.in_flight_requests)
        return GroupPriority(self.key.step, self.redrawn, tokens, started, self.position)

    def finish(self, index: int, draft: Draft) -> None:
        """Store a finished draft."""
        self.finished_drafts[index] = draft
        self._order = None

    def record_score(self, index: int, outcome: Score | Failure) -> None:
        """Store the score of a finished draft, or the failure of its scoring call."""
        del self.scoring[index]
        self.finished_drafts[index] = replace(self.finished_drafts[index], score=outcome)

    def claim(self, draw: DrawRequest, position: int) -> None:
        """Assign the group to a draw and queue samples neither finished nor in flight."""
        self.owner = draw.handle
        self.entry = draw.entry
        self.scorer = draw.scorer
        self.position = position
        self.delivered = False
        self._order = None
        self._queue_missing_samples()

    def _queue_missing_samples(self) -> None:
        waiting_samples = {sample.index for sample in self.waiting_samples}
        for index in range(self.request.samples):
            if (
                index not in self.finished_drafts
                and index not in self.in_flight_requests
                and index not in waiting_samples
            ):
                self.waiting_samples.append(
                    WaitingSample(index, failed_requests=self.failed_requests.get(index, 0))
                )

    def next_waiting(self, now: float) -> WaitingSample | None:
        """Return the first sample that may be submitted now."""
        return next((sample for sample in self.waiting_samples if sample.not_before <= now), None)

    def request_started(self, in_flight_request: InFlightRequest) -> None:
        """Record that a request is in flight."""
        self._order = None
        self.waiting_samples = [
            sample for sample in self.waiting_samples if sample.index != in_flight_request.index
        ]
        self.in_flight_requests.setdefault(in_flight_request.index, []).append(in_flight_request)

    def request_ended(self, in_flight_request: InFlightRequest) -> None:
        """Record that a request is no longer in flight."""
        self._order = None
        remaining_requests = [
            request
            for request in self.in_flight_requests.get(in_flight_request.index, [])
            if request is not in_flight_request
        ]
        if remaining_requests:
            self.in_flight_requests[in_flight_request.index] = remaining_requests
        else:
            self.in_flight_requests.pop(in_flight_request.index, None)

    def retry(self, index: int, not_before: float) -> None:
        """Queue a sample again unless it is already finished, waiting or in flight."""
        if index in self.finished_drafts or index in self.in_flight_requests:
            return
        if any(sample.index == index for sample in self.waiting_samples):
            return
        self.waiting_samples.insert(
            0, WaitingSample(index, not_before, self.failed_requests.get(index, 0))
        )

    def discard(self, index: int) -> None:
        """Drop a finished draft and queue its sample again."""
        self._order = None
        del self.finished_drafts[index]
        self.scoring.pop(index, None)
        self.redrawn = True
        self.retry(index, 0.0)

    def all_in_flight_requests(self) -> list[InFlightRequest]:
        """Return all in-flight requests of the group."""
        return [request for requests in self.in_flight_requests.values() for request in requests]

    def ordered_drafts(self) -> tuple[Draft, ...]:
        """Return the finished drafts ordered by index."""
        return tuple(self.finished_drafts[index] for index in sorted(self.finished_drafts))
