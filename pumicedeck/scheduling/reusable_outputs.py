"""Outputs of ended submissions that later submissions may continue or reuse; free of I/O.

Trainers submit the slowest groups of a step again with the next step, under the same item ids.
Output that engines have generated for them is not generated again if its weight versions are still
recent enough. Two client accounts may choose the same item id; neither gets the other's output.
"""

from collections import OrderedDict

from pumicedeck.submissions import ItemResult, Progress

MAX_OUTPUTS = 600


class ReusableOutputs:
    """The partial or complete outputs of items; the oldest are dropped first.

    Each is kept by the client account of its submission, empty if there is none, and the item's id.
    """

    def __init__(self, max_outputs: int = MAX_OUTPUTS) -> None:
        """Create an empty collection of at most `max_outputs` outputs."""
        self._max_outputs = max_outputs
        self._outputs: OrderedDict[tuple[str, str], Progress] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of outputs."""
        return len(self._outputs)

    def contains(self, item_id: str, account: str = "") -> bool:
        """Return whether there is an output of an item from an earlier step."""
        return (account, item_id) in self._outputs

    def add_output(self, item_id: str, progress: Progress, account: str = "") -> None:
        """Store a copy of an item's output, unless a better one is stored or it has no events yet.

        The output with the higher minimum weight version is better. If these are equal, a complete
        output is better than a partial one, then a longer one than a shorter one.
        """
        key = (account, item_id)
        stored = self._outputs.get(key)
        if not progress.last_event or (stored is not None and _is_better(stored, progress)):
            return
        self._outputs[key] = progress.copy()
        self._outputs.move_to_end(key)
        while len(self._outputs) > self._max_outputs:
            self._outputs.popitem(last=False)

    def add_result(self, result: ItemResult, account: str = "") -> None:
        """Add the output of a completed item; other results are ignored."""
        if result.completed and result.versions:
            events = result.text.count("\n") + 1
            self.add_output(
                result.item_id,
                Progress(events, True, [result.text], list(result.versions)),
                account,
            )

    def find(
        self, item_id: str, min_version: int, single_version: bool, account: str = ""
    ) -> Progress | None:
        """Return a copy of an item's output if its weight versions are allowed, otherwise None.

        All versions must be at least `min_version`; with `single_version` there may be only one.
        """
        progress = self._outputs.get((account, item_id))
        if progress is None or min(progress.versions, default=0) < min_version:
            return None
        if single_version and len(progress.versions) > 1:
            return None
        return progress.copy()


def _is_better(stored: Progress, other: Progress) -> bool:
    """Return whether the stored output is better than the other one."""
    if min(stored.versions) != min(other.versions):
        return min(stored.versions) > min(other.versions)
    return (stored.whole, stored.last_event) > (other.whole, other.last_event)
