"""Makes sure that the software version at which a stream begins is known before its first event."""

from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.results import Failure, ResultCode
from pumicedeck.stream_records import WRITE_RETRY_SECONDS, WRITE_SECONDS, StreamRecords
from pumicedeck.tasks import sleep


class StreamOrigin:
    """Where one stream begins: makes sure that its version is known before its first event."""

    def __init__(self, records: StreamRecords, timers: TimerQueue, stream_id: str, pool: str):
        """Create the origin of a stream that has not begun."""
        self._records = records
        self._timers = timers
        self._stream_id = stream_id
        self._pool = pool
        self._recorded = ""
        self._revision = 0
        self._is_uncertain = False

    @property
    def recorded_version(self) -> str:
        """Return the version in the record, empty if there is none."""
        return self._recorded

    @property
    def is_uncertain(self) -> bool:
        """Return whether a record may exist that this process could not confirm."""
        return self._is_uncertain

    async def record(self, version: str) -> Result[None, Failure]:
        """Make sure that the stream counts as begun at a version.

        The base version needs no record, any other one is announced first: a gateway that knows of
        one version only looks for no record. The record is written again until its outcome is
        known, since the store may have written a record whose answer was lost.
        """
        if self._recorded == version and not self._is_uncertain:
            return Ok(None)
        is_untouched = not self._recorded and not self._is_uncertain
        if is_untouched and self._records.is_base(self._pool, version):
            return Ok(None)
        announced = await self._records.ensure_announced(self._pool, version)
        if isinstance(announced, Err):
            return announced
        if is_untouched and self._records.is_base(self._pool, version):
            return Ok(None)
        if not self._stream_id:
            # Its caller cannot name it; a stream that is not named is not resumed.
            return Ok(None)
        until = self._timers.now() + WRITE_SECONDS
        while True:
            outcome = await self._records.write(self._stream_id, version, self._revision)
            if isinstance(outcome, Ok):
                self._confirm(version, outcome.ok_value)
                return Ok(None)
            failure = outcome.err_value
            if failure.code is ResultCode.STORE_CONFLICT:
                found = await self._records.read(self._stream_id)
                if isinstance(found, Err):
                    self._is_uncertain = True
                    return found
                stored_version, self._revision = found.ok_value or ("", 0)
                if stored_version == version:
                    self._confirm(version, self._revision)
                    return Ok(None)
            if failure.code is ResultCode.STORE_OUTCOME_UNKNOWN:
                self._is_uncertain = True
            may_repeat = self._is_uncertain or failure.code is ResultCode.STORE_CONFLICT
            if not may_repeat or self._timers.now() >= until:
                return Err(failure)
            await sleep(self._timers, WRITE_RETRY_SECONDS)

    def _confirm(self, version: str, revision: int) -> None:
        self._recorded = version
        self._revision = revision
        self._is_uncertain = False
