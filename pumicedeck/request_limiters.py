"""Rate limiter for endpoints that name a request limit; gateways share it through the store."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.partitioned_stores import Change, Expectation, PartitionedStore, Put, RowKey
from pumicedeck.request_permits import (
    Permit,
    choose_local_permit,
    choose_permit,
    decode_next_permit,
    encode_next_permit,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.store_clocks import StoreClock
from pumicedeck.tasks import Promise, sleep, spawn, within

PERMITS_TABLE = "permits"
PERMIT_KEY = "next"
# Callers wait for this call; local permits are the alternative to it.
STORE_CALL_SECONDS = 0.4
STORE_RETRY_SECONDS = 1.0
MAX_CONFLICTS = 4

_log = logger.bind(module="request_limiters")

_STORE_SILENT = Failure(ResultCode.STORE_OUTCOME_UNKNOWN, "the store did not answer in time")


@dataclass(frozen=True, slots=True)
class _KnownRow:
    """The row of an endpoint as this process last wrote or read it."""

    next_at: float = 0.0
    revision: int = 0


class RequestLimiter:
    """Issues permits for the requests of one gateway.

    At most one call to the store is open for each endpoint; further requests of this process wait
    for it or, if they cannot wait, are denied a permit.
    """

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        clock: StoreClock,
        directory: EndpointDirectory,
        vm: str,
        members: Callable[[], Iterable[str]],
    ) -> None:
        """Issue permits to the gateway `vm`; `members` returns the names of all gateways."""
        self._timers = timers
        self._store = store
        self._clock = clock
        self._directory = directory
        self._vm = vm
        self._get_members = members
        self._rows: dict[str, _KnownRow] = {}
        self._open_calls: dict[str, Promise[Permit | None]] = {}
        self._local_permits_until: dict[str, float] = {}
        self._store_retry_at = 0.0

    def expected_wait(self, endpoint: str) -> float:
        """Return the seconds until the next permit for an endpoint, 0 without a limit."""
        limit = self._directory.request_limit(endpoint)
        if limit is None:
            return 0.0
        now = self._clock.now()
        if self._uses_local_permits:
            return self._next_local_permit(endpoint, limit, now).at - now
        return choose_permit(self._known_row(endpoint).next_at, now, limit).at - now

    async def acquire(self, endpoint: DirectEndpoint, longest_wait: float) -> Result[None, Failure]:
        """Wait for a permit for an endpoint; return Ok when the request may be sent.

        Fails with OVERLOADED, and the seconds until the next permit, if there is none within
        `longest_wait` seconds. A permit that is not used expires.
        """
        name = endpoint.name
        until = self._timers.now() + longest_wait
        while name in self._open_calls:
            if longest_wait <= 0:
                return self._deny(name)
            await self._open_calls[name]
        limit = self._directory.request_limit(name)
        if limit is None:
            self.release_row(name)
            return Ok(None)
        reserved: Promise[Permit | None] = Promise()
        self._open_calls[name] = reserved
        # In a task of its own, so that the call ends in order when this request is cancelled.
        spawn(self._resolve_reservation(name, limit, until, reserved), f"permit at {name}")
        permit = await reserved
        if permit is None:
            return self._deny(name)
        wait = permit.at - self._clock.now()
        if wait > 0:
            await sleep(self._timers, wait)
        return Ok(None)

    def release_row(self, endpoint: str) -> None:
        """Remove the row of an endpoint whose limit has ended, unless another gateway did so.

        A row that stays has no effect, since its time is in the past.
        """
        row = self._rows.pop(endpoint, None)
        if row is not None and row.revision:
            key = permit_row(endpoint)
            self._store.commit(Change((Expectation(key, row.revision),), (Put(key, None),)))

    @property
    def _uses_local_permits(self) -> bool:
        """Return whether a call to the store failed a short time ago."""
        return self._timers.now() < self._store_retry_at

    def _known_row(self, endpoint: str) -> _KnownRow:
        return self._rows.get(endpoint, _KnownRow())

    def _deny(self, endpoint: str) -> Result[None, Failure]:
        return Err(
            Failure(
                ResultCode.OVERLOADED,
                f"{endpoint} has no permit left within its request limit",
                self.expected_wait(endpoint),
                proven_not_run=True,
            )
        )

    async def _resolve_reservation(
        self, endpoint: str, limit: float, until: float, reserved: Promise[Permit | None]
    ) -> None:
        permit = await self._reserve(endpoint, limit, until)
        del self._open_calls[endpoint]
        reserved.resolve(permit)

    async def _reserve(self, endpoint: str, limit: float, until: float) -> Permit | None:
        """Reserve a permit valid by `until`, on the process's clock; None if there is none."""
        for _ in range(MAX_CONFLICTS):
            if self._uses_local_permits:
                return self._reserve_local_permit(endpoint, limit, until)
            row = self._known_row(endpoint)
            now = self._clock.now()
            permit = choose_permit(row.next_at, now, limit)
            if permit.at - now > self._seconds_until(until):
                return None
            committed = await self._commit(endpoint, row, permit)
            if isinstance(committed, Ok):
                self._rows[endpoint] = _KnownRow(permit.next_at, committed.ok_value)
                return permit
            if committed.err_value.code is ResultCode.STORE_CONFLICT:
                await self._read_row(endpoint)
            else:
                self._record_store_failure(committed.err_value)
        return None

    async def _commit(self, endpoint: str, row: _KnownRow, permit: Permit) -> Result[int, Failure]:
        key = permit_row(endpoint)
        change = Change(
            (Expectation(key, row.revision),), (Put(key, encode_next_permit(permit.next_at)),)
        )
        return await within(
            self._timers, STORE_CALL_SECONDS, self._store.commit(change), Err(_STORE_SILENT)
        )

    async def _read_row(self, endpoint: str) -> None:
        """Read the row of an endpoint after another gateway has changed it."""
        read = self._store.read(PERMITS_TABLE, endpoint)
        outcome = await within(self._timers, STORE_CALL_SECONDS, read, Err(_STORE_SILENT))
        if isinstance(outcome, Err):
            self._record_store_failure(outcome.err_value)
            return
        self._rows.pop(endpoint, None)
        for stored in outcome.ok_value.rows:
            if stored.value is not None:
                self._rows[endpoint] = _KnownRow(decode_next_permit(stored.value), stored.revision)

    def _record_store_failure(self, failure: Failure) -> None:
        self._store_retry_at = self._timers.now() + STORE_RETRY_SECONDS
        _log.warning("using local permits at limited endpoints", detail=failure.detail)

    def _seconds_until(self, until: float) -> float:
        return max(0.0, until - self._timers.now())

    def _next_local_permit(self, endpoint: str, limit: float, now: float) -> Permit:
        """Return the next permit of this gateway; `now` is on the store's clock."""
        after = max(now, self._local_permits_until.get(endpoint, 0.0))
        return choose_local_permit(after, limit, endpoint, self._vm, frozenset(self._get_members()))

    def _reserve_local_permit(self, endpoint: str, limit: float, until: float) -> Permit | None:
        now = self._clock.now()
        permit = self._next_local_permit(endpoint, limit, now)
        if permit.at - now > self._seconds_until(until):
            return None
        self._local_permits_until[endpoint] = permit.next_at
        return permit


def permit_row(endpoint: str) -> RowKey:
    """Return the key of the row with the time of the next permit for an endpoint."""
    return RowKey(PERMITS_TABLE, endpoint, PERMIT_KEY)
