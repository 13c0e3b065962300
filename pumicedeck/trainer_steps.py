"""A trainer's side of a step: what it holds, what is missing, each draft once; free of I/O."""

from dataclasses import dataclass

from pumicedeck.messages import DraftId

DRAW_AHEAD_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class ReceivedDraft:
    """A draft as it arrived at the trainer with the weight versions that produced it."""

    draft_id: DraftId
    versions: tuple[int, ...]
    body: bytes
    bracketed: bool = False


class TrainerStep:
    """Collects the groups of one step; a group counts once, however often it arrives."""

    def __init__(self, entry_name: str, trainer: str, step: int, samples: dict[int, int]) -> None:
        """Expect `samples` drafts for each group number."""
        self._place = (entry_name, trainer, step)
        self._samples = dict(samples)
        self._groups: dict[int, tuple[ReceivedDraft, ...]] = {}
        self._duplicates = 0

    @property
    def held(self) -> tuple[int, ...]:
        """Return the groups that a repeated draw names as held."""
        return tuple(sorted(self._groups))

    @property
    def missing(self) -> tuple[int, ...]:
        """Return the groups that are still to be drawn."""
        return tuple(sorted(set(self._samples) - set(self._groups)))

    @property
    def complete(self) -> bool:
        """Tell whether every group is held."""
        return not self.missing

    def may_draw_ahead(self, share: float = DRAW_AHEAD_SHARE) -> bool:
        """Tell whether so few groups are missing that the next step may be drawn ahead."""
        return len(self.missing) <= share * len(self._samples)

    @property
    def duplicates(self) -> int:
        """Return how many groups arrived again and were dropped."""
        return self._duplicates

    def accept(self, group: int, drafts: tuple[ReceivedDraft, ...]) -> bool:
        """Take in a group that arrived whole; False if it is held or not this step's."""
        if group in self._groups:
            self._duplicates += 1
            return False
        wanted = [
            DraftId(*self._place, group, index) for index in range(self._samples.get(group, 0))
        ]
        if not wanted or [each.draft_id for each in drafts] != wanted:
            return False
        self._groups[group] = drafts
        return True


def split_groups(groups: tuple[int, ...], workers: int) -> tuple[tuple[int, ...], ...]:
    """Return disjoint shares of a step's groups, one for each worker of a trainer."""
    return tuple(groups[worker::workers] for worker in range(workers))
