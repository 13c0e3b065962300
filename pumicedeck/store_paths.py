"""Decides whether a process calls the store directly or through a peer; free of I/O.

The load is single processes that lose the store for seconds while all others reach it. Without
another way the scheduler's lease expires and all of its runs start again elsewhere, and callers of
that process are refused. Peers in contact with the store can pass calls on.
"""

from dataclasses import dataclass

DIRECT = ""


@dataclass(frozen=True, slots=True)
class StorePathSettings:
    """Times in seconds.

    A commit sent directly must be answered within `answer_seconds`, or within `answer_factor` times
    the usual time if that is longer; else the direct path counts as lost. It is then tried again
    every `probe_seconds`. A peer that could not pass a call on is left out for
    `peer_pause_seconds`. `smoothing` is the weight of a new answer time in the usual one.
    """

    answer_seconds: float = 0.25
    answer_factor: float = 3.0
    probe_seconds: float = 1.0
    peer_pause_seconds: float = 1.0
    smoothing: float = 0.2


class StorePath:
    """The path of one process's calls to the store, from how earlier calls have ended."""

    def __init__(self, settings: StorePathSettings | None = None) -> None:
        """Start with the direct path."""
        self._settings = settings or StorePathSettings()
        self._is_direct = True
        self._next_probe_at = 0.0
        self._usual_seconds = 0.0
        self._paused_until: dict[str, float] = {}
        self._peer = DIRECT

    @property
    def is_direct(self) -> bool:
        """Return whether the direct path answers, as far as is known."""
        return self._is_direct

    @property
    def answer_limit_seconds(self) -> float:
        """Return after how long a commit without an answer shows that the path is lost."""
        settings = self._settings
        return max(settings.answer_seconds, settings.answer_factor * self._usual_seconds)

    def choose(self, now: float, peers: list[str]) -> str:
        """Return the peer that is to pass a call on, DIRECT for none.

        `peers` are in order of preference.
        """
        if self._is_direct:
            return DIRECT
        usable = [peer for peer in peers if self._paused_until.get(peer, 0.0) <= now]
        if self._peer not in usable:
            self._peer = usable[0] if usable else DIRECT
        return self._peer

    def take_probe(self, now: float) -> bool:
        """Return whether to send a copy of a repeatable call directly, to try the path again."""
        if self._is_direct or now < self._next_probe_at:
            return False
        self._next_probe_at = now + self._settings.probe_seconds
        return True

    def direct_answered(self, seconds: float | None) -> None:
        """Record an answer on the direct path; `seconds` is how long a commit took, else None."""
        self._is_direct = True
        if seconds is not None:
            change = self._settings.smoothing * (seconds - self._usual_seconds)
            self._usual_seconds += change

    def direct_failed(self, now: float) -> None:
        """Record a call on the direct path that was not answered, or was turned away."""
        if self._is_direct:
            self._next_probe_at = now + self._settings.probe_seconds
        self._is_direct = False

    def peer_failed(self, now: float, peer: str) -> None:
        """Record that a peer could not pass a call on."""
        self._paused_until[peer] = now + self._settings.peer_pause_seconds
