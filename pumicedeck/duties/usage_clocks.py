"""Follows and, at the holder of the duty, agrees on the true time, through rows of the store."""

from collections.abc import Callable

from loguru import logger
from result import Err, Ok

from pumicedeck.clocks import TimerQueue
from pumicedeck.duties.true_times import (
    AgreedTime,
    OffsetReport,
    TimeAgreement,
    decode_agreed_time,
    decode_offset_report,
    window_of,
)
from pumicedeck.duties.usage_rows import (
    AGREED_KEY,
    CLOCK_PARTITION,
    OFFSET_PREFIX,
    USAGE_TABLE,
    agreed_row,
    offset_row,
)
from pumicedeck.partitioned_stores import (
    Change,
    Expectation,
    PartitionedStore,
    Put,
    StoredRow,
    read_partition,
)
from pumicedeck.store_clocks import StoreClock
from pumicedeck.tasks import Task, sleep, spawn

# A changed agreement is in force 12 s after it is written.
READ_SECONDS = 5.0
READ_SECONDS_BEFORE_AGREEMENT = 0.5
# A step shorter than this does not matter to the windows.
OFFSET_CHANGE_SECONDS = 0.25
CHECK_OFFSET_SECONDS = 2.0
RETRY_SECONDS = 0.3

_log = logger.bind(module="usage_clocks")


class UsageClock:
    """True time at one gateway: the store's time plus the agreed offset."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        clock: StoreClock,
        vm: str,
        time_of_day: Callable[[], float],
        window_seconds: float,
        members: Callable[[], int],
        decides: Callable[[], bool],
    ) -> None:
        """Report this VM's `time_of_day`, in seconds since the start of 1970.

        `members` returns how many gateways are known; while `decides` is True, this process agrees
        on the offset.
        """
        self._timers = timers
        self._store = store
        self._clock = clock
        self._vm = vm
        self._time_of_day = time_of_day
        self._window_seconds = window_seconds
        self._members = members
        self._decides = decides
        self._agreement = TimeAgreement(window_seconds)
        self._agreed: AgreedTime | None = None
        self._revision = 0
        self._tasks: list[Task] = []

    @property
    def agreed(self) -> AgreedTime | None:
        """Return what the gateways agree on, None before this one knows of it."""
        return self._agreed

    @property
    def true_now(self) -> float | None:
        """Return the seconds since the start of 1970, None before there is an agreement."""
        if self._agreed is None or not self._clock.is_set:
            return None
        return self._agreed.true_seconds(self._clock.now())

    def start(self) -> None:
        """Report this VM's offset, and read the agreement at regular intervals."""
        self._tasks = [
            spawn(self._report_offset(), "offset of the time of day"),
            spawn(self._follow_agreement(), "agreed time"),
        ]

    def close(self) -> None:
        """Stop reading and writing."""
        for task in self._tasks:
            task.cancel()

    def window_at(self, at: float) -> int | None:
        """Return the window of a time of the process's clock, None before there is an agreement."""
        if self._agreed is None or not self._clock.is_set:
            return None
        true_seconds = self._agreed.true_seconds(self._store_seconds(at))
        return window_of(true_seconds, self._window_seconds)

    def own_window_at(self, at: float) -> int | None:
        """Return the window of a time of the process's clock by this VM's own time of day."""
        if not self._clock.is_set:
            return None
        return window_of(self._store_seconds(at) + self._own_offset(), self._window_seconds)

    def window_end(self, window: int) -> float:
        """Return when a window ends, on the process's clock."""
        true_end = (window + 1) * self._window_seconds
        store_now = self._clock.now()
        offset = self._own_offset()
        if self._agreed is not None:
            offset = self._agreed.true_seconds(store_now) - store_now
        return self._timers.now() + true_end - offset - store_now

    def _store_seconds(self, at: float) -> float:
        return self._clock.now() - (self._timers.now() - at)

    def _own_offset(self) -> float:
        return self._time_of_day() - self._clock.now()

    async def _report_offset(self) -> None:
        """Write this VM's offset when the process starts and after each step of its clock."""
        started: float | None = None
        written: float | None = None
        while True:
            if self._clock.is_set:
                started = self._clock.now() if started is None else started
                offset = self._own_offset()
                if written is None or abs(offset - written) > OFFSET_CHANGE_SECONDS:
                    report = OffsetReport(round(offset, 4), round(started, 4))
                    put = Put(offset_row(self._vm), report.encode())
                    if isinstance(await self._store.commit(Change((), (put,))), Ok):
                        written = offset
                    else:
                        await sleep(self._timers, RETRY_SECONDS)
                        continue
            await sleep(self._timers, RETRY_SECONDS if written is None else CHECK_OFFSET_SECONDS)

    async def _follow_agreement(self) -> None:
        while True:
            if self._decides():
                await self._decide()
            else:
                await self._read_agreement()
            is_early = self._agreed is None
            await sleep(self._timers, READ_SECONDS_BEFORE_AGREEMENT if is_early else READ_SECONDS)

    async def _read_agreement(self) -> None:
        page = await self._store.read(USAGE_TABLE, CLOCK_PARTITION, AGREED_KEY, 1)
        if isinstance(page, Ok):
            self._apply(page.ok_value.rows)

    async def _decide(self) -> None:
        """Agree on an offset if there is none, or if the one in force has been wrong for long."""
        read = await read_partition(self._store, USAGE_TABLE, CLOCK_PARTITION)
        if isinstance(read, Err):
            return
        rows = read.ok_value
        self._apply(rows)
        reports = [
            decode_offset_report(stored.value)
            for stored in rows
            if stored.row.key.startswith(OFFSET_PREFIX) and stored.value
        ]
        reports = [report for report in reports if report is not None]
        now = self._clock.now()
        decided = self._agreement.decide(now, reports, self._members(), self._agreed)
        if decided is None or not self._decides():
            return
        change = Change(
            (Expectation(agreed_row(), self._revision),), (Put(agreed_row(), decided.encode()),)
        )
        written = await self._store.commit(change)
        _log.info(
            "true time agreed",
            offset=round(decided.offset, 3),
            former=round(decided.former, 3),
            since=round(decided.since, 3),
            first_window=decided.first_window,
            reports=len(reports),
            written=isinstance(written, Ok),
        )
        if isinstance(written, Ok):
            self._revision = written.ok_value
            self._agreed = decided

    def _apply(self, rows: list[StoredRow] | tuple[StoredRow, ...]) -> None:
        """Apply the row of the agreement, if it is among `rows`."""
        for stored in rows:
            if stored.row == agreed_row() and stored.value and stored.revision > self._revision:
                self._revision = stored.revision
                self._agreed = decode_agreed_time(stored.value) or self._agreed
