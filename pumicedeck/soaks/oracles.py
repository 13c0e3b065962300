"""Checks the observations of a soak's callers, trainers and endpoints; free of I/O."""

from collections import Counter
from dataclasses import dataclass, field

from pumicedeck.soaks.account_checks import AccountChecks

NOT_RUN_STATUSES = (401, 429, 503)


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee, named in `promise`, and the observation that shows it."""

    promise: str
    detail: str


@dataclass(frozen=True, slots=True)
class SentItem:
    """A submitted item with the output expected for it and the oldest model version allowed."""

    item_id: str
    reward_id: str
    text: str
    min_version: int


@dataclass(frozen=True, slots=True)
class ReadResult:
    """A result as a trainer read it; `completed` is False if the gateway gave the item up."""

    item_id: str
    completed: bool
    text: str
    versions: tuple[int, ...]
    score: str


@dataclass(slots=True)
class _ObservedSubmission:
    """A submission's items by id and the results that were read, by position."""

    items: dict[str, SentItem]
    results_by_position: dict[int, ReadResult] = field(default_factory=dict)


class SoakOracle:
    """Records observations and checks them against the guarantees; `finish` returns violations."""

    def __init__(self) -> None:
        """Create an oracle without observations; `counts` holds totals for the verdict.

        `accounts` checks the client accounts of requests.
        """
        self.accounts = AccountChecks()
        self._violations: list[Violation] = []
        self._run_counts: Counter[str] = Counter()
        self._ended_items: set[str] = set()
        self._generating_versions: dict[str, set[int]] = {}
        self._submissions: dict[str, _ObservedSubmission] = {}
        self._newest_routes: dict[int, int] = {}
        self._refused_requests: set[str] = set()
        self.counts: Counter[str] = Counter()

    def service_ran(self, request_id: str) -> None:
        """Record that a service ran a request that must run at most once."""
        self._run_counts[request_id] += 1
        if self._run_counts[request_id] > 1:
            self._add_violation(
                "at most once", f"{request_id} ran {self._run_counts[request_id]} times"
            )
        if request_id in self._refused_requests:
            self._add_violation(
                "not run is true", f"{request_id} ran after it was refused as not run"
            )

    def engine_generated_event(self, item_id: str, version: int) -> None:
        """Record that an engine generated an event of an item with a model version."""
        self._generating_versions.setdefault(item_id, set()).add(version)

    def engine_finished_item(self, item_id: str) -> None:
        """Record that an engine sent the last event of an item."""
        self._ended_items.add(item_id)

    def score_requested(self, item_id: str, at: float) -> None:
        """Record that the reward of an item was requested at second `at`."""
        if item_id not in self._ended_items:
            self._add_violation(
                "score after text", f"{item_id} was scored at {at:.2f} before its last event"
            )

    def call_answered(
        self, request_id: str, at_most_once: bool, status: int, body_matches: bool
    ) -> None:
        """Record an answer and whether its body is complete and belongs to the request."""
        self.counts[f"status {status}"] += 1
        if status == 200 and not body_matches:
            self._add_violation(
                "own and whole answers",
                f"{request_id} got an incomplete body or one of another request",
            )
        if at_most_once and status == 200 and self._run_counts[request_id] != 1:
            self._add_violation(
                "at most once", f"{request_id} was answered, {self._run_counts[request_id]} runs"
            )
        if at_most_once and status in NOT_RUN_STATUSES:
            self._refused_requests.add(request_id)
            if self._run_counts[request_id]:
                self._add_violation(
                    "not run is true", f"{request_id} was refused as not run but ran"
                )

    def route_probed(self, gateway_index: int, version: int, has_route: bool) -> None:
        """Record whether a gateway has the route that a version of the routes added.

        Probes of one gateway must not overlap: an older answer that arrives late looks like a loss.
        """
        newest_version = self._newest_routes.get(gateway_index, 0)
        if has_route:
            self._newest_routes[gateway_index] = max(newest_version, version)
        elif version <= newest_version:
            self._add_violation(
                "routes never go back", f"gateway {gateway_index} no longer has version {version}"
            )

    def submission_accepted(self, submission_id: str, items: tuple[SentItem, ...]) -> None:
        """Record that a submission was accepted."""
        self.counts["submissions"] += 1
        self.counts["items"] += len(items)
        items_by_id = {item.item_id: item for item in items}
        self._submissions.setdefault(submission_id, _ObservedSubmission(items_by_id))

    def results_read(self, submission_id: str, after: int, results: tuple[ReadResult, ...]) -> None:
        """Record a page of results that starts at position `after`."""
        submission = self._submissions[submission_id]
        for position, result in enumerate(results, after):
            first_read = submission.results_by_position.setdefault(position, result)
            if first_read != result:
                self._add_violation(
                    "positions are fixed", f"{submission_id} result {position} has changed"
                )
            self._check_result(submission, submission_id, result)

    def contiguous_results(self, submission_id: str) -> int:
        """Return how many results of a submission were read without a gap, from position 0."""
        results_by_position = self._submissions[submission_id].results_by_position
        return next(
            position
            for position in range(len(results_by_position) + 1)
            if position not in results_by_position
        )

    def is_complete(self, submission_id: str) -> bool:
        """Return whether a result of every item of a submission was read."""
        submission = self._submissions[submission_id]
        return {result.item_id for result in submission.results_by_position.values()} == set(
            submission.items
        )

    def gateway_stopped(
        self, gateway_index: int, broken_requests: int, seconds: float, max_seconds: float
    ) -> None:
        """Record that a drained gateway exited after `seconds`, with a limit of `max_seconds`.

        `broken_requests` requests got no answer because of the drain.
        """
        if broken_requests:
            self._add_violation(
                "a drain cuts nothing", f"gateway {gateway_index} broke {broken_requests} requests"
            )
        if seconds > max_seconds:
            self._add_violation(
                "a drain ends in time", f"gateway {gateway_index} took {seconds:.1f} s"
            )

    def finish(self) -> tuple[Violation, ...]:
        """Return all violations; call this once the load has settled or run out of time."""
        for submission_id, submission in self._submissions.items():
            item_ids = [result.item_id for result in submission.results_by_position.values()]
            if len(set(item_ids)) < len(item_ids):
                self._add_violation(
                    "an item has one result", f"{submission_id} lists an item twice"
                )
            if not self.is_complete(submission_id):
                missing = len(submission.items) - len(set(item_ids))
                self._add_violation(
                    "nothing accepted is lost", f"{submission_id} lacks {missing} results"
                )
        for promise, detail in self.accounts.violations:
            self._add_violation(promise, detail)
        self.counts.update(self.accounts.counts)
        return tuple(self._violations)

    def _check_result(
        self, submission: _ObservedSubmission, submission_id: str, result: ReadResult
    ) -> None:
        item = submission.items.get(result.item_id)
        if item is None:
            self._add_violation(
                "own and whole answers",
                f"{submission_id} lists {result.item_id}, which was never sent",
            )
        elif not result.completed:
            self.counts["items given up"] += 1
        elif result.text != item.text:
            self._add_violation(
                "own and whole answers", f"{result.item_id} has an unexpected output"
            )
        elif not set(result.versions) <= self._generating_versions.get(result.item_id, set()):
            self._add_violation(
                "versions are true", f"{result.item_id} has unknown versions {result.versions}"
            )
        elif min(result.versions, default=0) < item.min_version:
            self._add_violation(
                "versions are recent", f"{result.item_id} has outdated versions {result.versions}"
            )
        elif result.score != f"mac-{item.reward_id}":
            self._add_violation(
                "own and whole answers", f"{result.item_id} has an unexpected score"
            )

    def _add_violation(self, promise: str, detail: str) -> None:
        violation = Violation(promise, detail)
        if violation not in self._violations:
            self._violations.append(violation)
