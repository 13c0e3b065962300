"""Reports requests under which endpoints ended to the other gateways, through rows of the store."""

from collections.abc import Callable

from loguru import logger
from result import Ok

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.partitioned_stores import Change, PartitionedStore, Put, RowKey, StoredRow
from pumicedeck.request_quarantines import Crash, RequestQuarantine, decode_crash, encode_crash
from pumicedeck.store_clocks import StoreClock
from pumicedeck.tasks import sleep, spawn
from pumicedeck.work_mirrors import CRASHES_PARTITION, WORK_TABLE

# An endpoint that only broke a connection answers another request within this time, mostly.
REPORT_DELAY_SECONDS = 0.25
RETRY_SECONDS = 0.5
MAX_REMOVAL_ATTEMPTS = 6
SWEEP_SECONDS = 30.0

_log = logger.bind(module="crash_reports")


class CrashReports:
    """Records crashes of endpoints under callers' requests and tells all gateways of them."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        clock: StoreClock,
        quarantine: RequestQuarantine,
        sweeps: Callable[[], bool],
    ) -> None:
        """Add to `quarantine`; rows that no longer count are removed while `sweeps` is True."""
        self._timers = timers
        self._store = store
        self._clock = clock
        self._quarantine = quarantine
        self._sweeps = sweeps
        self._stored_keys: set[str] = set()

    def start(self) -> None:
        """Remove rows that no longer count at regular intervals."""
        spawn(self._sweep_periodically(), "crash sweep")

    def quarantine_seconds(self, fingerprint: str) -> float:
        """Return for how many seconds no endpoint may get a request, 0 if one may."""
        return self._quarantine.seconds_left(fingerprint, self._clock.now())

    def record_lost(self, fingerprint: str, endpoint: DirectEndpoint, began_at: float) -> None:
        """Record that an endpoint closed the connection on a request.

        `began_at` is when the request was sent, on the process's clock. An endpoint that drains
        ends anyway, so nothing is recorded.
        """
        if endpoint.draining:
            return
        now = self._clock.now()
        began_at = now - (self._timers.now() - began_at)
        crash = Crash(fingerprint, endpoint.name, endpoint.incarnation, began_at, now)
        if self._quarantine.knows(crash):
            return
        self._quarantine.add(crash)
        _log.info(
            "endpoint lost under a request",
            fingerprint=fingerprint,
            endpoint=endpoint.name,
            lost=len(self._quarantine.under(fingerprint)),
        )
        self._log_quarantine(fingerprint)
        spawn(self._report(crash), f"crash report {crash.key}")

    def record_served(self, fingerprint: str) -> None:
        """Withdraw all crashes under a request that an endpoint has served."""
        for crash in self._quarantine.under(fingerprint):
            self._withdraw(crash, "the request was served")

    def record_answer(self, endpoint: DirectEndpoint, sent_at: float) -> None:
        """Withdraw the crashes of an endpoint that answers a request which was sent after them.

        `sent_at` is when the request was sent, on the process's clock.
        """
        sent_at = self._clock.now() - (self._timers.now() - sent_at)
        refuted = self._quarantine.refuted_by(endpoint.name, endpoint.incarnation, sent_at)
        for crash in refuted:
            self._withdraw(crash, "the endpoint answers")

    def apply(self, rows: tuple[StoredRow, ...], is_whole_table: bool) -> None:
        """Apply changed rows, or all rows, of the work table; skip those of other partitions."""
        listed = set()
        for stored in rows:
            if stored.row.partition_key != CRASHES_PARTITION:
                continue
            key = stored.row.key
            crash = decode_crash(stored.value) if stored.value is not None else None
            if crash is None:
                self._quarantine.remove(key)
                self._stored_keys.discard(key)
                continue
            listed.add(key)
            self._stored_keys.add(key)
            if not self._quarantine.knows(crash):
                self._quarantine.add(crash)
                self._log_quarantine(crash.fingerprint)
        if is_whole_table:
            for key in self._stored_keys - listed:
                self._quarantine.remove(key)
            self._stored_keys = listed

    def _log_quarantine(self, fingerprint: str) -> None:
        seconds = self.quarantine_seconds(fingerprint)
        if seconds > 0:
            endpoints = [crash.endpoint for crash in self._quarantine.under(fingerprint)]
            _log.warning(
                "request quarantined",
                fingerprint=fingerprint,
                endpoints=endpoints,
                seconds=round(seconds),
            )

    async def _report(self, crash: Crash) -> None:
        """Write the row of a crash unless it is withdrawn first."""
        await sleep(self._timers, REPORT_DELAY_SECONDS)
        while self._quarantine.knows(crash):
            written = await self._store.commit(Change((), (Put(_row(crash), encode_crash(crash)),)))
            if isinstance(written, Ok):
                self._stored_keys.add(crash.key)
                break
            await sleep(self._timers, RETRY_SECONDS)
        else:
            return
        if not self._quarantine.knows(crash):
            await self._remove_row(crash)

    def _withdraw(self, crash: Crash, reason: str) -> None:
        self._quarantine.remove(crash.key)
        _log.info(
            "crash report withdrawn",
            fingerprint=crash.fingerprint,
            endpoint=crash.endpoint,
            reason=reason,
        )
        if crash.key in self._stored_keys:
            spawn(self._remove_row(crash), f"crash withdrawal {crash.key}")

    async def _remove_row(self, crash: Crash) -> None:
        for _ in range(MAX_REMOVAL_ATTEMPTS):
            removed = await self._store.commit(Change((), (Put(_row(crash), None),)))
            if isinstance(removed, Ok):
                self._stored_keys.discard(crash.key)
                return
            await sleep(self._timers, RETRY_SECONDS)
        _log.warning("crash report not removed", key=crash.key, detail=removed.err_value.detail)

    async def _sweep_periodically(self) -> None:
        while True:
            await sleep(self._timers, SWEEP_SECONDS)
            if not self._sweeps():
                continue
            for crash in self._quarantine.expired(self._clock.now()):
                self._quarantine.remove(crash.key)
                await self._remove_row(crash)


def _row(crash: Crash) -> RowKey:
    return RowKey(WORK_TABLE, CRASHES_PARTITION, crash.key)
