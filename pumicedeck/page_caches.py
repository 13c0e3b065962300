"""Pages of results that this process has read lately; free of I/O.

Answers readers whose reply was lost, also while the store cannot be asked: a result never changes
its position, so a page once read stays true.
"""

from collections import OrderedDict

from pumicedeck.submissions import ItemResult

DEFAULT_MAX_BYTES = 2_000_000


class PageCache:
    """Pages by submission and first position; the longest unused ones go first."""

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        """Keep up to `most_bytes`, and at least the newest page."""
        self._most_bytes = max_bytes
        self._pages: OrderedDict[tuple[str, int], tuple[list[ItemResult], int]] = OrderedDict()
        self._bytes = 0

    def find(self, submission_id: str, after: int) -> list[ItemResult] | None:
        """Return the page that was read from a position on."""
        entry = self._pages.get((submission_id, after))
        if entry is None:
            return None
        self._pages.move_to_end((submission_id, after))
        return entry[0]

    def put(self, submission_id: str, after: int, page: list[ItemResult], size: int) -> None:
        """Keep a page of `size` bytes in place of a shorter one."""
        _, known = self._pages.pop((submission_id, after), ([], 0))
        self._pages[(submission_id, after)] = (page, size)
        self._bytes += size - known
        while self._bytes > self._most_bytes and len(self._pages) > 1:
            _, (_, gone) = self._pages.popitem(last=False)
            self._bytes -= gone
