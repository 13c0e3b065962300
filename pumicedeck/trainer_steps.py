"""Tracks on the trainer's side which groups of a step have arrived; performs no I/O."""

from dataclasses import dataclass

from pumicedeck.messages import DraftId

DRAW_AHEAD_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class ReceivedDraft:
    """A draft that the trainer received, with the weight versions that produced it.

    `bracketed` means that some of the versions may have produced no token.
    """

    draft_id: DraftId
    versions: tuple[int, ...]
    body: bytes
    bracketed: bool = False


class TrainerStep:
    """Collects the groups of one step; a group that arrives again is dropped."""

    def __init__(self, entry_name: str, trainer: str, step: int, samples: dict[int, int]) -> None:
        """Create an empty step; `samples` maps each group number to its number of drafts."""
        self._step_key = (entry_name, trainer, step)
        self._samples = dict(samples)
        self._groups: dict[int, tuple[ReceivedDraft, ...]] = {}
        self._duplicates = 0

    @property
    def held(self) -> tuple[int, ...]:
        """Return the groups that have arrived, which a repeated draw lists as held."""
        return tuple(sorted(self._groups))

    @property
    def missing(self) -> tuple[int, ...]:
        """Return the groups that have not arrived."""
        return tuple(sorted(set(self._samples) - set(self._groups)))

    @property
    def complete(self) -> bool:
        """Return whether every group has arrived."""
        return not self.missing

    def may_draw_ahead(self, share: float = DRAW_AHEAD_SHARE) -> bool:
        """Return whether the next step may be drawn: at most `share` of the groups are missing."""
        return len(self.missing) <= share * len(self._samples)

    @property
    def duplicates(self) -> int:
        """Return how many groups were dropped because they had arrived before."""
        return self._duplicates

    def accept(self, group: int, drafts: tuple[ReceivedDraft, ...]) -> bool:
        """Store a group; return False if it arrived before, is incomplete or is of another step."""
        if group in self._groups:
            self._duplicates += 1
            return False
        expected_ids = [
            DraftId(*self._step_key, group, index) for index in range(self._samples.get(group, 0))
        ]
        if not expected_ids or [draft.draft_id for draft in drafts] != expected_ids:
            return False
        self._groups[group] = drafts
        return True


def split_groups(groups: tuple[int, ...], workers: int) -> tuple[tuple[int, ...], ...]:
    """Split a step's groups into disjoint shares, one for each worker of a trainer."""
    return tuple(groups[worker::workers] for worker in range(workers))
