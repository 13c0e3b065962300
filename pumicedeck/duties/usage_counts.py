"""Counts of one gateway's requests that began to run, by window and account; free of I/O.

The load is thousands of requests a second of about a hundred accounts, some of which begin before
the gateways agree on the time, or turn out later not to have begun.
"""

from collections import Counter
from collections.abc import Callable

MAX_WINDOWS = 8
MAX_PENDING = 20_000
# More accounts go into further rows, since the store limits the bytes of a row.
MAX_ACCOUNTS_PER_ROW = 500


class UsageCounts:
    """What was counted and is not yet in a row of the store."""

    def __init__(self, window_at: Callable[[float], int | None]) -> None:
        """Count by the windows of `window_at`.

        It gets a time of the process's clock and returns None while the true time is not agreed on.
        """
        self._window_at = window_at
        self._by_window: dict[int, Counter[str]] = {}
        self._pending: list[tuple[str, float, int]] = []
        self._dropped = 0

    @property
    def windows(self) -> list[int]:
        """Return the windows with counts that were not taken, the oldest first."""
        return sorted(window for window, counts in self._by_window.items() if any(counts.values()))

    @property
    def has_pending(self) -> bool:
        """Return whether there are requests whose window is not known."""
        return bool(self._pending)

    def record_begun(self, account: str, at: float, requests: int = 1) -> None:
        """Count requests that began at a time of the process's clock; -1 takes one back."""
        window = self._window_at(at)
        if window is None:
            self._pending.append((account, at, requests))
            return
        self._add(window, account, requests)

    def place_pending(self, window_at: Callable[[float], int | None], until: float) -> None:
        """Put the pending requests that began before `until` into the windows of `window_at`.

        If there are too many, all are.
        """
        pending, self._pending = self._pending, []
        places_all = len(pending) > MAX_PENDING
        for account, at, requests in pending:
            window = window_at(at) if at < until or places_all else None
            if window is None:
                self._pending.append((account, at, requests))
            else:
                self._add(window, account, requests)

    def take(self, window: int) -> dict[str, int]:
        """Return and forget counts of a window, those of at most MAX_ACCOUNTS_PER_ROW accounts."""
        counts = self._by_window.pop(window, Counter())
        items = [(account, number) for account, number in sorted(counts.items()) if number]
        if len(items) > MAX_ACCOUNTS_PER_ROW:
            self._by_window[window] = Counter(dict(items[MAX_ACCOUNTS_PER_ROW:]))
        return dict(items[:MAX_ACCOUNTS_PER_ROW])

    def take_dropped(self) -> int:
        """Return and forget how many requests were dropped because too many windows were held."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def _add(self, window: int, account: str, requests: int) -> None:
        self._by_window.setdefault(window, Counter())[account] += requests
        while len(self._by_window) > MAX_WINDOWS:
            self._dropped += sum(self._by_window.pop(min(self._by_window)).values())
