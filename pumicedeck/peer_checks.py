"""Decides whether a scheduler without contact to the store goes on; free of I/O.

If only this process is cut off, its runs can no longer be stored, yet they hold slots that its
successor needs, so it stops. If the store is down for all, no peer has contact and work goes on.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerReport:
    """A peer's report: seconds since its last contact with the store, and the lease holder it read.

    `holder` is empty if the peer knows of none.
    """

    heard_ago: float
    holder: str


@dataclass(frozen=True, slots=True)
class PeerCheckSettings:
    """Timing of the queries to peers, in seconds.

    Once the store has not answered for `disconnected_after_seconds`, up to `max_queried_peers`
    peers are queried every `query_interval_seconds`, each with a time-out of `answer_seconds`. A
    peer has contact with the store if its last contact was within `fresh_seconds`. If no peer
    answers for `isolated_after_seconds`, this process counts as cut off.
    """

    disconnected_after_seconds: float = 0.6
    query_interval_seconds: float = 0.3
    answer_seconds: float = 0.25
    fresh_seconds: float = 0.7
    isolated_after_seconds: float = 1.5
    max_queried_peers: int = 3


class PeerCheck:
    """Evaluates the reports of peers while this process has no contact with the store."""

    def __init__(self, incarnation_prefix: str, settings: PeerCheckSettings | None = None) -> None:
        """Create a check; lease holders that begin with `incarnation_prefix` are this process."""
        self._incarnation_prefix = incarnation_prefix
        self._settings = settings or PeerCheckSettings()
        self._isolated_since: float | None = None

    @property
    def settings(self) -> PeerCheckSettings:
        """Return the timing of the queries."""
        return self._settings

    def reset(self) -> None:
        """Discard earlier reports; called while the store answers or no scheduler is active."""
        self._isolated_since = None

    def is_disconnected(self, now: float, last_contact_at: float) -> bool:
        """Return whether the store, which last answered at `last_contact_at`, no longer does."""
        return now - last_contact_at > self._settings.disconnected_after_seconds

    def evaluate(self, now: float, last_contact_at: float, reports: list[PeerReport | None]) -> str:
        """Return why the scheduler must stop, empty if it may go on.

        `last_contact_at` is when the store last answered, also while the peers were queried.
        `reports` has None for each peer that did not answer.
        """
        if not self.is_disconnected(now, last_contact_at):
            self.reset()
            return ""
        answers = [report for report in reports if report is not None]
        if not answers:
            if self._isolated_since is None:
                self._isolated_since = now
            if now - self._isolated_since >= self._settings.isolated_after_seconds:
                return "neither the store nor a peer answers"
            return ""
        self._isolated_since = None
        for report in answers:
            in_contact = report.heard_ago <= self._settings.fresh_seconds
            if (
                in_contact
                and report.holder
                and not report.holder.startswith(self._incarnation_prefix)
            ):
                return f"a peer has contact with the store, where {report.holder} holds the lease"
        return ""
