"""Cache of the pages of item results that this process has read from the store; free of I/O.

Serves readers that repeat a request because its response was lost, also while the store is
unreachable. A result never changes its position, so a cached page stays correct.
"""

from collections import OrderedDict

from pumicedeck.submissions import ItemResult

DEFAULT_MAX_BYTES = 2_000_000


class PageCache:
    """Pages by submission and start position; the least recently used page is evicted first."""

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        """Create an empty cache of `max_bytes`; the newest page is cached even if it is larger."""
        self._max_bytes = max_bytes
        self._pages: OrderedDict[tuple[str, int], tuple[list[ItemResult], int]] = OrderedDict()
        self._total_bytes = 0

    def find(self, submission_id: str, after: int) -> list[ItemResult] | None:
        """Return the cached page that starts at position `after`, or None."""
        cached = self._pages.get((submission_id, after))
        if cached is None:
            return None
        self._pages.move_to_end((submission_id, after))
        return cached[0]

    def put(self, submission_id: str, after: int, page: list[ItemResult], size: int) -> None:
        """Cache a page of `size` bytes, in place of a shorter one with the same start."""
        _, replaced_bytes = self._pages.pop((submission_id, after), ([], 0))
        self._pages[(submission_id, after)] = (page, size)
        self._total_bytes += size - replaced_bytes
        while self._total_bytes > self._max_bytes and len(self._pages) > 1:
            _, (_, evicted_bytes) = self._pages.popitem(last=False)
            self._total_bytes -= evicted_bytes
