"""Decides whether the known routes may end the work on a submission's items; free of I/O.

The load is operators who change routes while trainers submit at every process. Submissions and
routes come by separate feeds, either of which may be late. The route of an accepted submission may
therefore be unknown here, or known as an older configuration has it. A listed result is final, so
an item is given up on account of its route only by routes that were read after the submission.
"""

from collections.abc import Callable

from loguru import logger

from pumicedeck.route_tables import RouteTable

_log = logger.bind(module="route_freshness")


class RouteFreshness:
    """Compares when the routes were last read with when each submission became known."""

    def __init__(
        self,
        now: Callable[[], float],
        routes: Callable[[], RouteTable | None],
        complete_as_of: Callable[[], float],
        read_routes: Callable[[], None],
    ) -> None:
        """Compare times of the monotonic clock `now`, in seconds.

        `routes` returns the routes with all changes that the store had accepted by
        `complete_as_of`; `read_routes` starts a read of newer ones and returns at once.
        """
        self._now = now
        self._routes = routes
        self._complete_as_of = complete_as_of
        self._read_routes = read_routes
        self._known_since: dict[str, float] = {}
        self._reported: set[str] = set()

    @property
    def log_fields(self) -> dict[str, int | float | None]:
        """Return the version and the age in seconds of the routes that a decision is based on."""
        routes = self._routes()
        return {
            "routes_version": routes.version if routes is not None else None,
            "routes_age": round(self._now() - self._complete_as_of(), 3),
        }

    def record_submission(self, submission_id: str) -> None:
        """Note that a submission is known from now on, unless that was noted before."""
        self._known_since.setdefault(submission_id, self._now())

    def forget(self, submission_id: str) -> None:
        """Forget a submission whose work has ended."""
        self._known_since.pop(submission_id, None)
        self._reported.discard(submission_id)

    def clear(self) -> None:
        """Forget all submissions."""
        self._known_since.clear()
        self._reported.clear()

    def covers(self, submission_id: str) -> bool:
        """Return whether the routes are at least as new as those a submission was accepted under.

        If they may be older, a read of newer ones is started.
        """
        self.record_submission(submission_id)
        if self._complete_as_of() >= self._known_since[submission_id]:
            return True
        if submission_id not in self._reported:
            self._reported.add(submission_id)
            _log.info(
                "routes may be older than submission; reading them",
                submission=submission_id,
                **self.log_fields,
            )
        self._read_routes()
        return False
