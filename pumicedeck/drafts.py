"""Data types of draws, groups and drafts, and the actions that the draw coordinator requests.

A draw requests groups of samples for one step of a trainer; a draft is one sample.
"""

import hashlib
import json
from dataclasses import dataclass

from pumicedeck.actions import CallerAnswer, CallerRequest
from pumicedeck.catalogue_entries import CatalogueEntry
from pumicedeck.messages import DraftId
from pumicedeck.results import Failure

SEED_BITS = 31


@dataclass(frozen=True, slots=True)
class GroupRequest:
    """A group of samples of one prompt; `expected_tokens` is per sample, 0 if unknown."""

    group: int
    path: str
    body: bytes
    samples: int
    expected_tokens: int = 0
    prefix: str = ""


@dataclass(frozen=True, slots=True)
class DrawRequest:
    """A draw of groups of one step.

    `handle` identifies the draw on its entry VM.
    `held` are the groups of the step that the trainer already holds; `newest_version` is the
    newest weight version that the trainer announces, -1 if it announces none; `budget` is in
    seconds. `scorer` is the catalogue entry of the scoring service, None without scoring.
    """

    handle: str
    entry: CatalogueEntry
    trainer: str
    step: int
    groups: tuple[GroupRequest, ...]
    held: tuple[int, ...] = ()
    newest_version: int = -1
    budget: float = 960.0
    scorer: CatalogueEntry | None = None


@dataclass(frozen=True, slots=True)
class GroupKey:
    """Identifies a group by name of the catalogue entry, trainer, step and group number."""

    entry_name: str
    trainer: str
    step: int
    group: int

    def draft_id(self, index: int) -> DraftId:
        """Return the id of the draft at `index` in the group."""
        return DraftId(self.entry_name, self.trainer, self.step, self.group, index)


@dataclass(frozen=True, slots=True)
class Score:
    """The scoring service's answer for one draft."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Draft:
    """A finished draft; its answer carries the weight versions that produced it.

    `score` is the scorer's answer or the failure of the scoring call; None before scoring and for
    draws without a scorer.
    """

    draft_id: DraftId
    answer: CallerAnswer
    score: Score | Failure | None = None

    @property
    def oldest_version(self) -> int:
        """Return the oldest weight version that may have produced a token."""
        return min(self.answer.versions)


@dataclass(frozen=True, slots=True)
class SubmitDraft:
    """Submit a request for one draft, or for the score of one, to the entry daemon."""

    request: CallerRequest


@dataclass(frozen=True, slots=True)
class CancelDraft:
    """Cancel the request for a draft whose result is no longer needed."""

    handle: str


@dataclass(frozen=True, slots=True)
class DeliverGroup:
    """Send a complete group to the trainer.

    `newest` is the newest weight version, against which the staleness of the drafts was checked.
    """

    handle: str
    group: int
    drafts: tuple[Draft, ...]
    newest: int


@dataclass(frozen=True, slots=True)
class EndDraw:
    """End a draw; without a failure every requested group was delivered."""

    handle: str
    failure: Failure | None = None


DrawAction = SubmitDraft | CancelDraft | DeliverGroup | EndDraw


def draft_seed(draft_id: DraftId) -> int:
    """Return the sampling seed of a draft, the same on every entry VM and for every copy."""
    text = json.dumps(
        [
            draft_id.entry_name,
            draft_id.trainer,
            draft_id.step,
            draft_id.group,
            draft_id.index,
        ]
    )
    digest = hashlib.sha256(text.encode()).digest()
    return int.from_bytes(digest[:8], "big") >> (64 - SEED_BITS)


def seeded_body(body: bytes, draft_id: DraftId) -> bytes | None:
    """Return the JSON body with the draft's seed added; None if the body is not a JSON object."""
    try:
        document = json.loads(body)
    except ValueError:
        return None
    if not isinstance(document, dict):
        return None
    document["seed"] = draft_seed(draft_id)
    return json.dumps(document).encode()
