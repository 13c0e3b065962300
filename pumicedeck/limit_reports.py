"""Tells all gateways of the request limits that endpoints name, through rows of the store."""

import json
from collections.abc import Callable

from loguru import logger
from result import Err

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory, SharedLimit
from pumicedeck.json_documents import decode_document, read_integer, read_number
from pumicedeck.partitioned_stores import Change, PartitionedStore, Put, RowKey, StoredRow
from pumicedeck.request_limiters import permit_row
from pumicedeck.tasks import sleep, spawn
from pumicedeck.work_mirrors import LIMITS_PARTITION, WORK_TABLE

# Gateways that hear the same limit at once wait for the row of the first one.
REPORT_DELAY_SECONDS = 0.1
RETRY_SECONDS = 0.5
SWEEP_SECONDS = 30.0

_log = logger.bind(module="limit_reports")


class LimitReports:
    """Writes a row when an endpoint begins or ceases to name a limit, and applies those rows."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        directory: EndpointDirectory,
        sweeps: Callable[[], bool],
    ) -> None:
        """Share the limits of `directory`; old rows are removed while `sweeps` is True."""
        self._timers = timers
        self._store = store
        self._directory = directory
        self._sweeps = sweeps
        self._rows: dict[str, SharedLimit] = {}
        self._reporting: set[str] = set()

    def start(self) -> None:
        """Remove the rows of endpoints that have left or restarted at regular intervals."""
        spawn(self._sweep_periodically(), "limit sweep")

    def record_change(self, endpoint: DirectEndpoint) -> None:
        """Report that an answer of an endpoint has changed what is known of its limit."""
        if endpoint.name not in self._reporting:
            self._reporting.add(endpoint.name)
            spawn(self._report(endpoint), f"limit report {endpoint.name}")

    def apply(self, rows: tuple[StoredRow, ...], is_whole_table: bool) -> None:
        """Apply changed rows, or all rows, of the work table; skip those of other partitions."""
        listed = set()
        for stored in rows:
            if stored.row.partition_key != LIMITS_PARTITION:
                continue
            shared = _decode(stored.value) if stored.value is not None else None
            if shared is None:
                self._forget(stored.row.key)
                continue
            listed.add(stored.row.key)
            self._rows[stored.row.key] = shared
            self._directory.share_limit(stored.row.key, shared, self._timers.now())
        if is_whole_table:
            for name in set(self._rows) - listed:
                self._forget(name)

    def _forget(self, name: str) -> None:
        self._rows.pop(name, None)
        self._directory.share_limit(name, None, self._timers.now())

    async def _report(self, endpoint: DirectEndpoint) -> None:
        """Write or remove the row of an endpoint until it says whether the endpoint is limited."""
        await sleep(self._timers, REPORT_DELAY_SECONDS)
        while not self._is_reported(endpoint):
            limit = self._directory.request_limit(endpoint.name)
            shared = None if limit is None else SharedLimit(endpoint.incarnation, limit)
            value = None if shared is None else _encode(shared)
            outcome = await self._store.commit(Change((), (Put(_row(endpoint.name), value),)))
            if isinstance(outcome, Err):
                await sleep(self._timers, RETRY_SECONDS)
            elif shared is None:
                self._rows.pop(endpoint.name, None)
            else:
                self._rows[endpoint.name] = shared
        self._reporting.discard(endpoint.name)

    def _is_reported(self, endpoint: DirectEndpoint) -> bool:
        """Return whether the row agrees with this process on whether the endpoint has a limit.

        The number may differ: each gateway keeps to the one that it heard itself.
        """
        row = self._rows.get(endpoint.name)
        has_row = row is not None and row.incarnation == endpoint.incarnation
        state = self._directory.state(endpoint.name)
        if state is None or state.endpoint.incarnation != endpoint.incarnation:
            return True
        return has_row is (state.request_limit is not None)

    async def _sweep_periodically(self) -> None:
        while True:
            before = dict(self._rows)
            await sleep(self._timers, SWEEP_SECONDS)
            if not self._sweeps():
                continue
            for name, row in before.items():
                if self._rows.get(name) is row and not self._directory.is_incarnation(
                    name, row.incarnation
                ):
                    await self._remove(name)

    async def _remove(self, name: str) -> None:
        """Remove the rows of an endpoint that has left; the next sweep repeats what fails."""
        for row in (permit_row(name), _row(name)):
            removed = await self._store.commit(Change((), (Put(row, None),)))
            if isinstance(removed, Err):
                detail = removed.err_value.detail
                _log.warning("limit row not removed", endpoint=name, detail=detail)
                return
        self._forget(name)


def _row(name: str) -> RowKey:
    return RowKey(WORK_TABLE, LIMITS_PARTITION, name)


def _encode(shared: SharedLimit) -> bytes:
    return json.dumps({"incarnation": shared.incarnation, "limit": shared.limit}).encode()


def _decode(value: bytes) -> SharedLimit | None:
    """Decode a row's value; return None if it is invalid."""
    return decode_document(
        value,
        lambda document: SharedLimit(
            read_integer(document, "incarnation"), read_number(document, "limit")
        ),
    ).unwrap_or(None)
