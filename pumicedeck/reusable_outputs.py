"""Texts of ended submissions that later submissions may go on from; free of I/O.

Answers steps whose slowest groups come again in the next step under the same ids: what an engine
made of them is not made twice, as long as the weights that made it are recent enough.
"""

from collections import OrderedDict

from pumicedeck.submissions import ItemResult, Progress

MOST_TEXTS = 600


class ReusableOutputs:
    """The newest texts by item."""

    def __init__(self, most: int = MOST_TEXTS) -> None:
        """Keep up to `most` texts."""
        self._most = most
        self._texts: OrderedDict[str, Progress] = OrderedDict()

    def __len__(self) -> int:
        """Return how many texts there are."""
        return len(self._texts)

    def contains(self, item_id: str) -> bool:
        """Return whether an earlier step has begun an item."""
        return item_id in self._texts

    def add_progress(self, item_id: str, progress: Progress) -> None:
        """Keep a text that has begun; a longer one of the same item replaces it."""
        known = self._texts.get(item_id)
        if not progress.last_event or (known is not None and _exceeds(known, progress)):
            return
        self._texts[item_id] = progress.copy()
        self._texts.move_to_end(item_id)
        while len(self._texts) > self._most:
            self._texts.popitem(last=False)

    def add_result(self, result: ItemResult) -> None:
        """Keep a whole text."""
        if result.completed and result.versions:
            events = result.text.count("\n") + 1
            self.add_progress(
                result.item_id, Progress(events, True, [result.text], list(result.versions))
            )

    def find(self, item_id: str, min_version: int, single_version: bool) -> Progress | None:
        """Return a text that may be used under the versions allowed."""
        progress = self._texts.get(item_id)
        if progress is None or min(progress.versions, default=0) < min_version:
            return None
        if single_version and len(progress.versions) > 1:
            return None
        return progress.copy()


def _exceeds(known: Progress, other: Progress) -> bool:
    if min(known.versions) != min(other.versions):
        return min(known.versions) > min(other.versions)
    return (known.whole, known.last_event) > (other.whole, other.last_event)
