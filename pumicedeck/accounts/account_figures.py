"""Counts requests by client account, within bounds; free of I/O."""

from collections import Counter

# Each account is one series in the system that reads the metrics.
MAX_NAMED_ACCOUNTS = 20
# Accounts come and go with configurations; the smallest counts are merged beyond this number.
MAX_COUNTED_ACCOUNTS = 1000


class AccountFigures:
    """Numbers of finished requests by account name."""

    def __init__(self) -> None:
        """Create empty counters."""
        self._counts: Counter[str] = Counter()
        self._merged = 0

    def record_end(self, account: str) -> None:
        """Count a request of an account; requests without one are not counted."""
        if not account:
            return
        self._counts[account] += 1
        if len(self._counts) > 2 * MAX_COUNTED_ACCOUNTS:
            kept = Counter(dict(self._counts.most_common(MAX_COUNTED_ACCOUNTS)))
            self._merged += self._counts.total() - kept.total()
            self._counts = kept

    @property
    def named(self) -> dict[str, int]:
        """Return the accounts with most requests, at most `MAX_NAMED_ACCOUNTS`."""
        ranked = sorted(self._counts.items(), key=lambda each: (-each[1], each[0]))
        return dict(ranked[:MAX_NAMED_ACCOUNTS])

    @property
    def others(self) -> int:
        """Return the sum of all requests of accounts that are not among `named`."""
        return self._counts.total() + self._merged - sum(self.named.values())
