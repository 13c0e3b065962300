"""Whether a scheduler that does not hear the store goes on; free of I/O.

Answers a machine that is cut off alone while its successor needs the same engines: runs that can no
longer be stored hold slots. With the store down for all, every peer is as deaf and work goes on.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerReport:
    """What a peer says: how many seconds ago it heard the store, and who holds the lease there."""

    heard_ago: float
    holder: str


@dataclass(frozen=True, slots=True)
class PeerCheckSettings:
    """Times in seconds.

    Peers are asked each `ask_seconds` once the store was silent for `deaf_seconds`. A peer hears
    the store if it did within `fresh_seconds`. Without a word of any peer for `alone_seconds` the
    process counts as cut off.
    """

    disconnected_after_seconds: float = 0.6
    query_interval_seconds: float = 0.3
    answer_seconds: float = 0.25
    fresh_seconds: float = 0.7
    alone_seconds: float = 1.5
    max_queried_peers: int = 3


class PeerCheck:
    """Judges the words of peers while the store is not heard."""

    def __init__(self, incarnation_prefix: str, settings: PeerCheckSettings | None = None) -> None:
        """Belong to the holder whose name begins with `place`."""
        self._place = incarnation_prefix
        self._settings = settings or PeerCheckSettings()
        self._alone_since: float | None = None

    @property
    def settings(self) -> PeerCheckSettings:
        """Return the times."""
        return self._settings

    def reset(self) -> None:
        """Forget what peers said before."""
        self._alone_since = None

    def evaluate(self, now: float, words: list[PeerReport | None]) -> str:
        """Take in the answers, None for a peer without one; return why to stop, or nothing."""
        answers = [word for word in words if word is not None]
        if not answers:
            if self._alone_since is None:
                self._alone_since = now
            if now - self._alone_since >= self._settings.alone_seconds:
                return "neither the store nor a peer is heard"
            return ""
        self._alone_since = None
        for word in answers:
            hears = word.heard_ago <= self._settings.fresh_seconds
            if hears and word.holder and not word.holder.startswith(self._place):
                return f"a peer hears the store, where {word.holder} holds the lease"
        return ""
