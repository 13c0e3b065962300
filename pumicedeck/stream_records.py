"""Keeps in the store which software version began a stream, and which versions a pool has."""

import json
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from hashlib import sha256
from math import inf
from random import Random

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import EndpointDirectory
from pumicedeck.json_documents import decode_document, read_number, read_text
from pumicedeck.partitioned_stores import (
    Change,
    Expectation,
    PartitionedStore,
    Put,
    RowKey,
    StoredRow,
    read_partition,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.store_clocks import StoreClock
from pumicedeck.stream_versions import (
    PoolKnowledge,
    PoolVersions,
    StreamVersionSettings,
    announce_versions,
    decode_pool_versions,
    leave_versions,
    may_omit_record,
    settle_versions,
)
from pumicedeck.tasks import Promise, sleep, spawn, within
from pumicedeck.work_mirrors import SOFTWARE_PARTITION, WORK_TABLE

STREAMS_TABLE = "streams"
# The store writes one transaction of a partition at a time.
STREAM_PARTITIONS = 16
CHECK_SECONDS = 0.25
# Gateways that see a version at once wait for the row of the first one.
MAX_ANNOUNCEMENT_DELAY_SECONDS = 0.5
SWEEP_SECONDS = 60.0
ROWS_PER_CHANGE = 80
# Callers wait for these calls: they abandon a stream after a gap of two seconds.
READ_SECONDS = 0.8
WRITE_SECONDS = 0.8
WRITE_RETRY_SECONDS = 0.02
MAX_KNOWN_STREAMS = 5000

_log = logger.bind(module="stream_records")

_NOBODY_KNOWS = Failure(
    ResultCode.STREAM_VERSION_GONE,
    "no record names the version that began the stream, and the pool has no base version",
    retry_after=0.0,
    proven_not_run=True,
)
_READ_TIMED_OUT = Failure(ResultCode.STORE_UNAVAILABLE, "the store did not answer in time")


class StreamRecords:
    """The software versions of the streams of one gateway and, through the store, of all others."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        clock: StoreClock,
        directory: EndpointDirectory,
        random: Random,
        settings: StreamVersionSettings,
        pools: Callable[[], Iterable[str]],
        complete_as_of: Callable[[], float],
        sweeps: Callable[[], bool],
        endpoints_known_at: Callable[[], float] = lambda: inf,
    ) -> None:
        """Announce the versions of `pools`, whose streams callers may resume.

        `complete_as_of` returns as of when the rows given to `apply` are complete, on the process's
        clock, `endpoints_known_at` the same for `directory`. Old rows are removed while `sweeps`
        is True.
        """
        self._timers = timers
        self._store = store
        self._clock = clock
        self._directory = directory
        self._random = random
        self._settings = settings
        self._get_pools = pools
        self._complete_as_of = complete_as_of
        self._sweeps = sweeps
        self._endpoints_known_at = endpoints_known_at
        self._known: dict[str, PoolKnowledge] = {}
        self._revisions: dict[str, int] = {}
        # Records outlive the time in which a pool has several versions.
        self._has_records = False
        self._own_streams: OrderedDict[str, str] = OrderedDict()

    @property
    def _is_fresh(self) -> bool:
        """Return whether this process knows of all versions at which streams may have begun."""
        staleness = self._timers.now() - self._complete_as_of()
        return staleness <= self._settings.max_staleness_seconds

    @property
    def _knows_base(self) -> bool:
        """Return whether streams that begin at the known base end before another one holds."""
        staleness = self._timers.now() - self._complete_as_of()
        return staleness <= self._settings.max_base_age_seconds

    def start(self) -> None:
        """Announce versions as they register, and remove old rows at regular intervals."""
        spawn(self._announce_periodically(), "software versions")
        spawn(self._sweep_periodically(), "stream record sweep")

    def apply(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply changed rows of the work table; skip those of other partitions."""
        for stored in rows:
            if stored.row.partition_key != SOFTWARE_PARTITION or stored.value is None:
                continue
            versions = decode_pool_versions(stored.value)
            if versions is None:
                continue
            pool = stored.row.key
            # A row that was read by itself may be newer than what the feed brings next.
            if stored.revision < self._revisions.get(pool, 0):
                continue
            self._revisions[pool] = stored.revision
            known = self._known.setdefault(pool, PoolKnowledge(versions))
            known.update(versions, self._timers.now())

    def may_begin(self, pool: str, version: str) -> bool:
        """Return whether a stream may begin at a version while others have endpoints.

        Only at the base version while the store is away, since others need a record.
        """
        known = self._known.get(pool)
        if known is None or version == known.versions.base:
            return True
        return self._is_fresh and known.may_begin(version, self._timers.now(), self._settings)

    def has_several(self, pool: str) -> bool:
        """Return whether streams of a pool may have begun at several versions."""
        known = self._known.get(pool)
        return known is None or not known.versions.has_one

    def is_base(self, pool: str, version: str) -> bool:
        """Return whether a stream without a record counts as begun at a version."""
        known = self._known.get(pool)
        return known is not None and self._knows_base and known.versions.base == version

    @property
    def knows_endpoints(self) -> bool:
        """Return whether the list of endpoints is up to date, so that a missing version is gone."""
        staleness = self._timers.now() - self._endpoints_known_at()
        return staleness <= self._settings.max_staleness_seconds

    def may_omit_record(self, pool: str) -> bool:
        """Return whether a stream may begin although its record cannot be written."""
        known = self._known.get(pool)
        if known is None or not self._knows_base:
            return False
        return may_omit_record(known.versions, self._clock.now(), self._settings)

    def remember(self, stream_id: str, version: str) -> None:
        """Remember the version of a stream of which a caller of this gateway got something."""
        if not stream_id:
            return
        self._own_streams[stream_id] = version
        self._own_streams.move_to_end(stream_id)
        while len(self._own_streams) > MAX_KNOWN_STREAMS:
            self._own_streams.popitem(last=False)

    async def find(self, stream_id: str, pool: str) -> Result[str, Failure]:
        """Return the version that began a stream.

        Fails with STREAM_VERSION_UNKNOWN if it cannot be read now, STREAM_VERSION_GONE if nobody
        will ever know it.
        """
        own = self._own_streams.get(stream_id)
        if own is not None:
            return Ok(own)
        known = self._known.get(pool)
        if known is not None and self._is_fresh and self._has_only(pool, known.versions):
            return Ok(known.versions.base)
        if not stream_id:
            return _unknown("the caller does not name the stream")
        read = await self.read(stream_id)
        if isinstance(read, Err):
            return _unknown(read.err_value.detail)
        if read.ok_value is not None:
            return Ok(read.ok_value[0])
        if not self._is_fresh:
            versions_read = await self._read_versions(pool)
            if isinstance(versions_read, Err):
                return _unknown(versions_read.err_value.detail)
        known = self._known.get(pool)
        if known is None:
            return _unknown("the versions of the pool have not been read yet")
        if not known.versions.base:
            return Err(_NOBODY_KNOWS)
        return Ok(known.versions.base)

    def _has_only(self, pool: str, versions: PoolVersions) -> bool:
        """Return whether streams can neither have begun nor go on at another version."""
        return versions.has_one and set(self._directory.software_versions(pool)) == {versions.base}

    async def ensure_announced(self, pool: str, version: str) -> Result[None, Failure]:
        """Make sure that the pool's row names a version, so that its records are looked for.

        A pool without a row gets one. Fails as the store does, with STORE_CONFLICT if others write
        the row all the time.
        """
        until = self._timers.now() + WRITE_SECONDS
        while True:
            known = self._known.get(pool)
            if known is None or not self._is_fresh:
                read = await self._read_versions(pool)
                if isinstance(read, Err):
                    return read
                known = self._known.get(pool)
            if known is not None and version in known.versions.announced:
                return Ok(None)
            registered = Counter(self._directory.software_versions(pool)) + Counter((version,))
            versions = announce_versions(known.versions if known is not None else None, registered)
            written = await self._write_versions(pool, versions)
            if isinstance(written, Ok):
                return Ok(None)
            if self._timers.now() >= until:
                return written
            await sleep(self._timers, WRITE_RETRY_SECONDS)
            read = await self._read_versions(pool)
            if isinstance(read, Err):
                return read

    async def _read_versions(self, pool: str) -> Result[None, Failure]:
        """Read the row of a pool's versions, for a gateway that cannot wait for the feed."""
        row = RowKey(WORK_TABLE, SOFTWARE_PARTITION, pool)
        promise = self._store.read(row.table, row.partition_key, row.key, 1)
        page = await within(self._timers, READ_SECONDS, promise, Err(_READ_TIMED_OUT))
        if isinstance(page, Err):
            return page
        self.apply(tuple(stored for stored in page.ok_value.rows if stored.row == row))
        return Ok(None)

    async def _write_versions(self, pool: str, versions: PoolVersions) -> Result[int, Failure]:
        """Write the row of a pool's versions if it is at the revision that is known."""
        row = RowKey(WORK_TABLE, SOFTWARE_PARTITION, pool)
        change = Change(
            (Expectation(row, self._revisions.get(pool, 0)),), (Put(row, versions.encode()),)
        )
        timed_out = Err(Failure(ResultCode.STORE_OUTCOME_UNKNOWN, "the store did not answer"))
        written = await within(self._timers, WRITE_SECONDS, self._store.commit(change), timed_out)
        if isinstance(written, Ok):
            self.apply((StoredRow(row, versions.encode(), written.ok_value),))
            _log.info(
                "software versions announced",
                pool=pool,
                base=versions.base,
                versions=sorted(versions.announced),
            )
        return written

    async def read(self, stream_id: str) -> Result[tuple[str, int] | None, Failure]:
        """Read the record of a stream: version and revision, None if there is none."""
        row = stream_row(stream_id)
        promise = self._store.read(row.table, row.partition_key, row.key, 1)
        page = await within(self._timers, READ_SECONDS, promise, Err(_READ_TIMED_OUT))
        if isinstance(page, Err):
            return page
        for stored in page.ok_value.rows:
            if stored.row == row and stored.value:
                version = decode_document(stored.value, lambda each: read_text(each, "version"))
                if isinstance(version, Err):
                    detail = f"the record of the stream cannot be decoded: {version.err_value}"
                    _log.error("stream record unreadable", key=row.key, reason=version.err_value)
                    return Err(Failure(ResultCode.INTERNAL_ERROR, detail))
                return Ok((version.ok_value, stored.revision))
        return Ok(None)

    def write(self, stream_id: str, version: str, revision: int) -> Promise[Result[int, Failure]]:
        """Write the record of a stream if its row is at `revision`."""
        row = stream_row(stream_id)
        value = json.dumps({"version": version, "at": round(self._clock.now(), 3)}).encode()
        change = Change((Expectation(row, revision),), (Put(row, value),))
        timed_out = Err(Failure(ResultCode.STORE_OUTCOME_UNKNOWN, "the store did not answer"))
        return within(self._timers, WRITE_SECONDS, self._store.commit(change), timed_out)

    async def _announce_periodically(self) -> None:
        while True:
            await sleep(self._timers, CHECK_SECONDS)
            for pool in self._get_pools():
                if self._next_versions(pool) is not None:
                    await self._announce(pool)

    def _next_versions(self, pool: str) -> PoolVersions | None:
        """Return what the row of a pool should say, None if it says so or nobody can tell."""
        registered = Counter(self._directory.software_versions(pool))
        known = self._known.get(pool)
        if known is None:
            return announce_versions(None, registered) if registered else None
        versions = announce_versions(known.versions, registered)
        seen_ago = self._timers.now() - self._endpoints_known_at()
        if seen_ago > self._settings.max_staleness_seconds or not self._clock.is_set:
            registered = Counter()
        left = known.observe(registered, self._timers.now(), self._settings)
        versions = leave_versions(versions, left, self._clock.now())
        versions = settle_versions(versions, registered, self._clock.now(), self._settings)
        return versions if versions != known.versions else None

    async def _announce(self, pool: str) -> None:
        """Change the row of a pool to what it should say, unless another gateway does."""
        delay = self._random.random() * MAX_ANNOUNCEMENT_DELAY_SECONDS
        await sleep(self._timers, delay)
        versions = self._next_versions(pool)
        if versions is not None:
            # A conflict means that another gateway was first; its row arrives by the feed.
            await self._write_versions(pool, versions)

    async def _sweep_periodically(self) -> None:
        while True:
            await sleep(self._timers, SWEEP_SECONDS)
            has_several = any(not known.versions.has_one for known in self._known.values())
            if self._sweeps() and (has_several or self._has_records):
                await self._sweep_records()

    async def _sweep_records(self) -> None:
        """Remove the records of streams that have ended long ago."""
        self._has_records = False
        oldest = self._clock.now() - self._settings.retired_seconds
        for number in range(STREAM_PARTITIONS):
            found = await read_partition(self._store, STREAMS_TABLE, _partition(number))
            if isinstance(found, Err):
                return
            self._has_records = self._has_records or bool(found.ok_value)
            old = [row for row in found.ok_value if row.value and written_at(row.value) < oldest]
            for at in range(0, len(old), ROWS_PER_CHANGE):
                puts = tuple(Put(each.row, None) for each in old[at : at + ROWS_PER_CHANGE])
                if isinstance(await self._store.commit(Change((), puts)), Err):
                    return


def stream_row(stream_id: str) -> RowKey:
    """Return the key of a stream's record; ids of any length and content have one."""
    digest = sha256(stream_id.encode()).hexdigest()
    number = int(digest[:8], 16) % STREAM_PARTITIONS
    return RowKey(STREAMS_TABLE, _partition(number), digest[:32])


def written_at(value: bytes) -> float:
    """Return when a record was written, on the store's clock; never for an unreadable one."""
    return decode_document(value, lambda document: read_number(document, "at")).unwrap_or(inf)


def _partition(number: int) -> str:
    return f"{number:x}"


def _unknown(detail: str) -> Result[str, Failure]:
    failure = Failure(
        ResultCode.STREAM_VERSION_UNKNOWN,
        f"the software version that began the stream cannot be read: {detail}",
        proven_not_run=True,
    )
    return Err(failure)
