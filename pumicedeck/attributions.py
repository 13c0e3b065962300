"""Weight versions of drafts, from the engine's report and the agent's record; free of I/O."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from pumicedeck.platform_interfaces import TokenChunk
from pumicedeck.results import Failure, ResultCode
from pumicedeck.version_records import VersionRecord


@dataclass(frozen=True, slots=True)
class Attribution:
    """The versions of a draft, oldest first; `bracketed` if some may have produced nothing."""

    versions: tuple[int, ...]
    bracketed: bool = False


@dataclass(slots=True)
class _Running:
    model: str
    started: float
    migrated_versions: frozenset[int]
    reports: dict[int, TokenChunk] = field(default_factory=dict)


class Attributions:
    """Follows the drafts that run at one engine and names their versions at the end."""

    def __init__(self) -> None:
        """Start without a model: no draft is admitted until the engine reported."""
        self._records: dict[str, VersionRecord] = {}
        self._running: dict[str, _Running] = {}
        self._mismatches = 0

    @property
    def mismatches(self) -> int:
        """Return how many reports of the engine contradicted the record."""
        return self._mismatches

    @property
    def models(self) -> tuple[str, ...]:
        """Return the models that have a record."""
        return tuple(self._records)

    def record(self, now: float, model: str) -> VersionRecord:
        """Return the record of a model, a new one without a version if there is none."""
        found = self._records.get(model)
        if found is None:
            found = VersionRecord(now)
            self._records[model] = found
        return found

    def admit(self, now: float, model: str) -> Result[None, Failure]:
        """Refuse draft work, which then did not run, while the version is not known."""
        if self.record(now, model).accepts_drafts:
            return Ok(None)
        return Err(Failure(ResultCode.VERSION_UNKNOWN, model, 1.0, proven_not_run=True))

    def started(
        self, now: float, handle: str, model: str, migrated_versions: Iterable[int] = ()
    ) -> None:
        """Follow a draft; `carried` are the versions of tokens that were moved here with it."""
        self._running[handle] = _Running(model, now, frozenset(migrated_versions))

    def chunk(self, handle: str, chunk: TokenChunk) -> None:
        """Take in the report that comes with tokens; it replaces what came from its offset on."""
        running = self._running.get(handle)
        if running is None:
            return
        while running.reports and next(reversed(running.reports)) >= chunk.offset:
            running.reports.popitem()
        running.reports[chunk.offset] = chunk

    def dropped(self, handle: str) -> None:
        """Stop following a draft that failed or was cancelled."""
        self._running.pop(handle, None)

    def finished(
        self, now: float, handle: str, tokens: int | None = None
    ) -> Result[Attribution, Failure]:
        """Name the versions of a whole draft of `tokens`; a failure if nobody can say."""
        running = self._running.pop(handle, None)
        if running is None:
            return Err(_unattributed("not followed"))
        record = self.record(now, running.model)
        possible_versions = record.possible_versions(running.started, now)
        self._forget(now, running.model)
        if possible_versions is None:
            return Err(_unattributed("the version was unknown while it ran"))
        return self._compare(running, possible_versions, tokens, record.settled)

    def _compare(
        self,
        running: _Running,
        possible_versions: frozenset[int],
        tokens: int | None,
        settled: bool,
    ) -> Result[Attribution, Failure]:
        reported = _reported_versions(running)
        if any(version < 0 for version in reported):
            return Err(_unattributed("the engine reported a token without a version"))
        complete = bool(reported) and _is_complete(running, tokens)
        if complete and reported <= possible_versions:
            return Ok(Attribution(tuple(sorted(reported | running.migrated_versions))))
        if not settled:
            # The order under way may have failed partway already.
            return Err(_unattributed("an order is not settled and the report is not whole"))
        if not reported <= possible_versions:
            self._mismatches += 1
        versions = tuple(sorted(possible_versions | reported | running.migrated_versions))
        return Ok(Attribution(versions, bracketed=len(versions) > 1))

    def _forget(self, now: float, model: str) -> None:
        starts = [each.started for each in self._running.values() if each.model == model]
        self.record(now, model).forget_before(min(starts, default=now))


def _reported_versions(running: _Running) -> frozenset[int]:
    return frozenset(version for chunk in running.reports.values() for version in chunk.versions)


def _is_complete(running: _Running, tokens: int | None) -> bool:
    end = 0
    count = 0
    for chunk in running.reports.values():
        if chunk.offset > end or len(chunk.versions) < chunk.tokens:
            return False
        end = chunk.offset + len(chunk.data)
        count += chunk.tokens
    return tokens is None or count >= tokens


def _unattributed(detail: str) -> Failure:
    return Failure(ResultCode.ENDPOINT_FAILED, f"draft not attributed: {detail}")
