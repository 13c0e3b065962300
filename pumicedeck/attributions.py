"""Determines which weight versions produced a draft; performs no I/O.

It combines the versions that the engine reports with each token and the agent's own record of
the active versions.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from pumicedeck.platform_interfaces import TokenChunk
from pumicedeck.results import Failure, ResultCode
from pumicedeck.version_records import VersionRecord


@dataclass(frozen=True, slots=True)
class Attribution:
    """The weight versions of a draft, oldest first.

    `bracketed` means that the versions are an upper bound: some may have produced no token.
    """

    versions: tuple[int, ...]
    bracketed: bool = False


@dataclass(slots=True)
class _RunningDraft:
    model: str
    started: float
    migrated_versions: frozenset[int]
    reports: dict[int, TokenChunk] = field(default_factory=dict)


class Attributions:
    """Tracks the drafts that run at one engine and determines their versions when they end."""

    def __init__(self) -> None:
        """Create an empty tracker, which admits no draft until the engine reports a version."""
        self._records: dict[str, VersionRecord] = {}
        self._running_drafts: dict[str, _RunningDraft] = {}
        self._mismatches = 0

    @property
    def mismatches(self) -> int:
        """Return how many drafts had reported versions that contradict the record."""
        return self._mismatches

    @property
    def models(self) -> tuple[str, ...]:
        """Return the models that have a version record."""
        return tuple(self._records)

    def record(self, now: float, model: str) -> VersionRecord:
        """Return the version record of a model; create one with an unknown version if missing."""
        version_record = self._records.get(model)
        if version_record is None:
            version_record = VersionRecord(now)
            self._records[model] = version_record
        return version_record

    def admit(self, now: float, model: str) -> Result[None, Failure]:
        """Return an error while a new draft of the model could not be attributed to a version.

        The failure states that the draft did not run.
        """
        if self.record(now, model).accepts_drafts:
            return Ok(None)
        return Err(Failure(ResultCode.VERSION_UNKNOWN, model, 1.0, proven_not_run=True))

    def started(
        self, now: float, handle: str, model: str, migrated_versions: Iterable[int] = ()
    ) -> None:
        """Start tracking a draft.

        `migrated_versions` are the versions of tokens that another engine produced before the
        draft was moved here.
        """
        self._running_drafts[handle] = _RunningDraft(model, now, frozenset(migrated_versions))

    def chunk(self, handle: str, chunk: TokenChunk) -> None:
        """Record the versions reported with a chunk, replacing reports from its offset onwards."""
        running_draft = self._running_drafts.get(handle)
        if running_draft is None:
            return
        while running_draft.reports and next(reversed(running_draft.reports)) >= chunk.offset:
            running_draft.reports.popitem()
        running_draft.reports[chunk.offset] = chunk

    def dropped(self, handle: str) -> None:
        """Stop tracking a draft that failed or was cancelled."""
        self._running_drafts.pop(handle, None)

    def finished(
        self, now: float, handle: str, tokens: int | None = None
    ) -> Result[Attribution, Failure]:
        """Return the versions of a complete draft of `tokens` tokens.

        Returns an error if the draft is not tracked or its versions cannot be determined.
        """
        running_draft = self._running_drafts.pop(handle, None)
        if running_draft is None:
            return Err(_build_failure("its start was not recorded"))
        record = self.record(now, running_draft.model)
        possible_versions = record.possible_versions(running_draft.started, now)
        self._drop_old_spans(now, running_draft.model)
        if possible_versions is None:
            return Err(_build_failure("the weight version was unknown while it ran"))
        return self._attribute(running_draft, possible_versions, tokens, record.is_version_known)

    def _attribute(
        self,
        running_draft: _RunningDraft,
        possible_versions: frozenset[int],
        tokens: int | None,
        is_version_known: bool,
    ) -> Result[Attribution, Failure]:
        reported = _collect_reported_versions(running_draft)
        if any(version < 0 for version in reported):
            return Err(_build_failure("the engine reported a token without a version"))
        complete = bool(reported) and _reports_are_complete(running_draft, tokens)
        if complete and reported <= possible_versions:
            return Ok(Attribution(tuple(sorted(reported | running_draft.migrated_versions))))
        if not is_version_known:
            # The swap order in progress may already have failed partway.
            return Err(
                _build_failure(
                    "the active version is not confirmed and the engine's report is incomplete"
                )
            )
        if not reported <= possible_versions:
            self._mismatches += 1
        versions = tuple(sorted(possible_versions | reported | running_draft.migrated_versions))
        return Ok(Attribution(versions, bracketed=len(versions) > 1))

    def _drop_old_spans(self, now: float, model: str) -> None:
        starts = [draft.started for draft in self._running_drafts.values() if draft.model == model]
        self.record(now, model).drop_spans_before(min(starts, default=now))


def _collect_reported_versions(running_draft: _RunningDraft) -> frozenset[int]:
    return frozenset(
        version for chunk in running_draft.reports.values() for version in chunk.versions
    )


def _reports_are_complete(running_draft: _RunningDraft, tokens: int | None) -> bool:
    end = 0
    count = 0
    for chunk in running_draft.reports.values():
        if chunk.offset > end or len(chunk.versions) < chunk.tokens:
            return False
        end = chunk.offset + len(chunk.data)
        count += chunk.tokens
    return tokens is None or count >= tokens


def _build_failure(detail: str) -> Failure:
    return Failure(ResultCode.ENDPOINT_FAILED, f"draft not attributed: {detail}")
