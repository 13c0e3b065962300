"""Takes turns at endpoints that name a request limit, through rows of the store."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.partitioned_stores import Change, Expectation, PartitionedStore, Put, RowKey
from pumicedeck.request_turns import (
    Turn,
    choose_own_turn,
    choose_turn,
    decode_next_turn,
    encode_next_turn,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.store_clocks import StoreClock
from pumicedeck.tasks import Promise, sleep, spawn, within

TURNS_TABLE = "turns"
TURN_KEY = "next"
# Callers wait for this call, and own turns are the alternative to it.
STORE_CALL_SECONDS = 0.4
STORE_RETRY_SECONDS = 1.0
MAX_CONFLICTS = 4

_log = logger.bind(module="turn_takers")

_STORE_SILENT = Failure(ResultCode.STORE_OUTCOME_UNKNOWN, "the store did not answer in time")


@dataclass(frozen=True, slots=True)
class _KnownRow:
    """The row of an endpoint as this process last wrote or read it."""

    next_at: float = 0.0
    revision: int = 0


class TurnTaker:
    """Takes turns for the requests of one gateway.

    At most one call to the store is open for each endpoint; further requests of this process wait
    for it or, if they cannot wait, are denied a turn.
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
        """Take turns for the gateway `vm`; `members` returns the names of all gateways."""
        self._timers = timers
        self._store = store
        self._clock = clock
        self._directory = directory
        self._vm = vm
        self._get_members = members
        self._rows: dict[str, _KnownRow] = {}
        self._open_calls: dict[str, Promise[Turn | None]] = {}
        self._own_turns_until: dict[str, float] = {}
        self._store_retry_at = 0.0

    def expected_wait(self, endpoint: str) -> float:
        """Return the seconds until the next turn at an endpoint is free, 0 without a limit."""
        limit = self._directory.request_limit(endpoint)
        if limit is None:
            return 0.0
        now = self._clock.now()
        if self._uses_own_turns:
            return self._next_own_turn(endpoint, limit, now).at - now
        return choose_turn(self._known_row(endpoint).next_at, now, limit).at - now

    async def take(self, endpoint: DirectEndpoint, longest_wait: float) -> Result[None, Failure]:
        """Wait for a turn at an endpoint; return Ok when the request may be sent.

        Fails with OVERLOADED, and the seconds until a turn is free, if no turn is free within
        `longest_wait` seconds. A turn that is not used is lost.
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
        reserved: Promise[Turn | None] = Promise()
        self._open_calls[name] = reserved
        # In a task of its own, so that the call ends in order when this request is cancelled.
        spawn(self._resolve_reservation(name, limit, until, reserved), f"turn at {name}")
        turn = await reserved
        if turn is None:
            return self._deny(name)
        wait = turn.at - self._clock.now()
        if wait > 0:
            await sleep(self._timers, wait)
        return Ok(None)

    def release_row(self, endpoint: str) -> None:
        """Remove the row of an endpoint whose limit has ended, unless another gateway did so.

        A row that stays has no effect, since its turn is in the past.
        """
        row = self._rows.pop(endpoint, None)
        if row is not None and row.revision:
            key = turn_row(endpoint)
            self._store.commit(Change((Expectation(key, row.revision),), (Put(key, None),)))

    @property
    def _uses_own_turns(self) -> bool:
        """Return whether a call to the store failed a short time ago."""
        return self._timers.now() < self._store_retry_at

    def _known_row(self, endpoint: str) -> _KnownRow:
        return self._rows.get(endpoint, _KnownRow())

    def _deny(self, endpoint: str) -> Result[None, Failure]:
        return Err(
            Failure(
                ResultCode.OVERLOADED,
                f"{endpoint} has no free turn within its request limit",
                self.expected_wait(endpoint),
                proven_not_run=True,
            )
        )

    async def _resolve_reservation(
        self, endpoint: str, limit: float, until: float, reserved: Promise[Turn | None]
    ) -> None:
        turn = await self._reserve(endpoint, limit, until)
        del self._open_calls[endpoint]
        reserved.resolve(turn)

    async def _reserve(self, endpoint: str, limit: float, until: float) -> Turn | None:
        """Reserve a turn that begins by `until`, on the process's clock; None if there is none."""
        for _ in range(MAX_CONFLICTS):
            if self._uses_own_turns:
                return self._reserve_own_turn(endpoint, limit, until)
            row = self._known_row(endpoint)
            now = self._clock.now()
            turn = choose_turn(row.next_at, now, limit)
            if turn.at - now > self._seconds_until(until):
                return None
            committed = await self._commit(endpoint, row, turn)
            if isinstance(committed, Ok):
                self._rows[endpoint] = _KnownRow(turn.next_at, committed.ok_value)
                return turn
            if committed.err_value.code is ResultCode.STORE_CONFLICT:
                await self._read_row(endpoint)
            else:
                self._record_store_failure(committed.err_value)
        return None

    async def _commit(self, endpoint: str, row: _KnownRow, turn: Turn) -> Result[int, Failure]:
        key = turn_row(endpoint)
        change = Change(
            (Expectation(key, row.revision),), (Put(key, encode_next_turn(turn.next_at)),)
        )
        return await within(
            self._timers, STORE_CALL_SECONDS, self._store.commit(change), Err(_STORE_SILENT)
        )

    async def _read_row(self, endpoint: str) -> None:
        """Read the row of an endpoint after another gateway has changed it."""
        read = self._store.read(TURNS_TABLE, endpoint)
        outcome = await within(self._timers, STORE_CALL_SECONDS, read, Err(_STORE_SILENT))
        if isinstance(outcome, Err):
            self._record_store_failure(outcome.err_value)
            return
        self._rows.pop(endpoint, None)
        for stored in outcome.ok_value.rows:
            if stored.value is not None:
                self._rows[endpoint] = _KnownRow(decode_next_turn(stored.value), stored.revision)

    def _record_store_failure(self, failure: Failure) -> None:
        self._store_retry_at = self._timers.now() + STORE_RETRY_SECONDS
        _log.warning("taking own turns at limited endpoints", detail=failure.detail)

    def _seconds_until(self, until: float) -> float:
        return max(0.0, until - self._timers.now())

    def _next_own_turn(self, endpoint: str, limit: float, now: float) -> Turn:
        """Return the next turn of this gateway; `now` is on the store's clock."""
        after = max(now, self._own_turns_until.get(endpoint, 0.0))
        return choose_own_turn(after, limit, endpoint, self._vm, frozenset(self._get_members()))

    def _reserve_own_turn(self, endpoint: str, limit: float, until: float) -> Turn | None:
        now = self._clock.now()
        turn = self._next_own_turn(endpoint, limit, now)
        if turn.at - now > self._seconds_until(until):
            return None
        self._own_turns_until[endpoint] = turn.next_at
        return turn


def turn_row(endpoint: str) -> RowKey:
    """Return the key of the row with the next turn at an endpoint."""
    return RowKey(TURNS_TABLE, endpoint, TURN_KEY)
