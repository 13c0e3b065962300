"""Judges a soak by what callers, trainers and endpoints saw; free of I/O."""

from collections import Counter
from dataclasses import dataclass, field

NOT_RUN_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken, with the facts that show it."""

    promise: str
    detail: str


@dataclass(frozen=True, slots=True)
class SentItem:
    """An item as its trainer sent it."""

    item_id: str
    reward_id: str
    text: str
    min_version: int


@dataclass(frozen=True, slots=True)
class ReadResult:
    """A result as a trainer read it; without `completed` it was given up."""

    item_id: str
    completed: bool
    text: str
    versions: tuple[int, ...]
    score: str


@dataclass(slots=True)
class _SeenSubmission:
    items: dict[str, SentItem]
    positions: dict[int, ReadResult] = field(default_factory=dict)


class SoakOracle:
    """Collects what was seen; `violations` says what was broken so far."""

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self._violations: list[Violation] = []
        self._runs: Counter[str] = Counter()
        self._ended: set[str] = set()
        self._generated: dict[str, set[int]] = {}
        self._submissions: dict[str, _SeenSubmission] = {}
        self._routes: dict[int, int] = {}
        self._refused: set[str] = set()
        self.counts: Counter[str] = Counter()

    def service_ran(self, request_id: str) -> None:
        """Note that a service ran a request that must run once at most."""
        self._runs[request_id] += 1
        if self._runs[request_id] > 1:
            self._break("at most once", f"{request_id} ran {self._runs[request_id]} times")
        if request_id in self._refused:
            self._break("not run is true", f"{request_id} ran after it was refused as not run")

    def engine_generated(self, item_id: str, version: int) -> None:
        """Note that an engine made an event of an item."""
        self._generated.setdefault(item_id, set()).add(version)

    def engine_ended(self, item_id: str) -> None:
        """Note that an engine sent the last event of an item."""
        self._ended.add(item_id)

    def scored(self, item_id: str, at: float) -> None:
        """Note that the reward of an item was asked for."""
        if item_id not in self._ended:
            self._break("score after text", f"{item_id} was scored at {at:.2f} before its end")

    def call_answered(self, request_id: str, once: bool, status: int, right: bool) -> None:
        """Note what a caller got; `right` tells whether the body is the request's own and whole."""
        self.counts[f"status {status}"] += 1
        if status == 200 and not right:
            self._break("own and whole answers", f"{request_id} got another body")
        if once and status == 200 and self._runs[request_id] != 1:
            self._break("at most once", f"{request_id} was answered, {self._runs[request_id]} runs")
        if once and status in NOT_RUN_STATUSES:
            self._refused.add(request_id)
            if self._runs[request_id]:
                self._break("not run is true", f"{request_id} was refused as not run but ran")

    def route_probed(self, gateway: int, version: int, known: bool) -> None:
        """Note whether a gateway knew a route that came with a version of the routes.

        Questions to one gateway have to come one after the other.
        """
        newest = self._routes.get(gateway, 0)
        if known:
            self._routes[gateway] = max(newest, version)
        elif version <= newest:
            self._break("routes never go back", f"gateway {gateway} lost version {version}")

    def submission_accepted(self, submission_id: str, items: tuple[SentItem, ...]) -> None:
        """Note that a submission was accepted."""
        self.counts["submissions"] += 1
        self.counts["items"] += len(items)
        by_id = {item.item_id: item for item in items}
        self._submissions.setdefault(submission_id, _SeenSubmission(by_id))

    def read(self, submission_id: str, after: int, results: tuple[ReadResult, ...]) -> None:
        """Note a page of results."""
        seen = self._submissions[submission_id]
        for position, result in enumerate(results, after):
            known = seen.positions.setdefault(position, result)
            if known != result:
                self._break("positions are fixed", f"{submission_id} {position} has changed")
            self._check_result(seen, submission_id, result)

    def contiguous_results(self, submission_id: str) -> int:
        """Return how many results of a submission were read without a gap."""
        positions = self._submissions[submission_id].positions
        return next(number for number in range(len(positions) + 1) if number not in positions)

    def is_complete(self, submission_id: str) -> bool:
        """Return whether every item was read once."""
        seen = self._submissions[submission_id]
        return {each.item_id for each in seen.positions.values()} == set(seen.items)

    def gateway_stopped(
        self, gateway: int, broken_requests: int, seconds: float, longest: float
    ) -> None:
        """Note that a gateway asked to end has ended; `cut` requests lost their connection."""
        if broken_requests:
            self._break("a drain cuts nothing", f"gateway {gateway} cut {broken_requests} requests")
        if seconds > longest:
            self._break("a drain ends in time", f"gateway {gateway} took {seconds:.1f} s")

    def finish(self) -> tuple[Violation, ...]:
        """Return what was broken, now that everything has had time to settle."""
        for submission_id, seen in self._submissions.items():
            names = [each.item_id for each in seen.positions.values()]
            if len(set(names)) < len(names):
                self._break("an item has one result", f"{submission_id} lists an item twice")
            if not self.is_complete(submission_id):
                missing = len(seen.items) - len(set(names))
                self._break("nothing accepted is lost", f"{submission_id} lacks {missing} results")
        return tuple(self._violations)

    def _check_result(self, seen: _SeenSubmission, name: str, result: ReadResult) -> None:
        item = seen.items.get(result.item_id)
        if item is None:
            self._break("own and whole answers", f"{name} lists {result.item_id}, never sent")
        elif not result.completed:
            self.counts["items given up"] += 1
        elif result.text != item.text:
            self._break("own and whole answers", f"{result.item_id} has a wrong text")
        elif not set(result.versions) <= self._generated.get(result.item_id, set()):
            self._break("versions are true", f"{result.item_id} names {result.versions}")
        elif min(result.versions, default=0) < item.min_version:
            self._break("versions are recent", f"{result.item_id} names {result.versions}")
        elif result.score != f"mac-{item.reward_id}":
            self._break("own and whole answers", f"{result.item_id} has a wrong score")

    def _break(self, promise: str, detail: str) -> None:
        violation = Violation(promise, detail)
        if violation not in self._violations:
            self._violations.append(violation)
