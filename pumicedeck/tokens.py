"""Bearer tokens of callers and operators, kept in the table service as hashes."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256

from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.platform_interfaces import Row, StoreKey, TableStore, Write
from pumicedeck.results import Failure, ResultCode

TOKEN_TABLE = "tokens"
OPERATOR_FIRM = "*"
VALID_TOKEN_CACHE_SECONDS = 60.0
TOKEN_RECHECK_SECONDS = 5.0
MAX_CACHED_TOKENS = 10_000
MAX_PENDING_LOOKUPS = 1_000


@dataclass(frozen=True, slots=True)
class Principal:
    """Who presented a token; `firm` is `*` for operators."""

    name: str
    firm: str

    @property
    def is_operator(self) -> bool:
        """Return whether the catalogue may be edited."""
        return self.firm == OPERATOR_FIRM


@dataclass(frozen=True, slots=True)
class _Remembered:
    outcome: Result[Principal, Failure]
    expires: float


def hash_token(token: str) -> str:
    """Return the key under which a token's row is kept."""
    return sha256(token.encode()).hexdigest()


def token_write(token: str, principal: Principal) -> Write:
    """Return the write that makes a token valid."""
    value = json.dumps({"name": principal.name, "firm": principal.firm}).encode()
    return Write(TOKEN_TABLE, hash_token(token), value)


class TokenChecker:
    """Looks tokens up in the table service and remembers the outcome for a while.

    While the store is down, a token that was valid before stays valid: the promise towards its
    caller does not depend on the store.
    """

    def __init__(self, store: TableStore, timers: TimerQueue) -> None:
        """Read rows from `store`."""
        self._store = store
        self._timers = timers
        self._remembered: dict[str, _Remembered] = {}
        self._waiting: dict[str, list[Callable[[Result[Principal, Failure]], None]]] = {}

    def check(self, authorization: str, done: Callable[[Result[Principal, Failure]], None]) -> None:
        """Find who sent an Authorization header."""
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != "bearer" or not token:
            done(Err(Failure(ResultCode.UNAUTHENTICATED, "expected a bearer token")))
            return
        key = hash_token(token)
        found = self._remembered.get(key)
        if found is not None and found.expires > self._timers.now():
            done(found.outcome)
            return
        self._look_up(key, done)

    def _look_up(self, key: str, done: Callable[[Result[Principal, Failure]], None]) -> None:
        if key in self._waiting:
            self._waiting[key].append(done)
            return
        if len(self._waiting) >= MAX_PENDING_LOOKUPS:
            done(Err(Failure(ResultCode.OVERLOADED, "too many unknown tokens", 1.0)))
            return
        self._waiting[key] = [done]
        self._store.read((StoreKey(TOKEN_TABLE, key),), lambda rows: self._read(key, rows))

    def _read(self, key: str, rows: Result[tuple[Row, ...], Failure]) -> None:
        match rows:
            case Ok((row,)) if row.revision:
                document = json.loads(row.value)
                outcome = Ok(Principal(document["name"], document["firm"]))
                self._remember(key, outcome, VALID_TOKEN_CACHE_SECONDS)
            case Ok(_):
                outcome = Err(Failure(ResultCode.UNAUTHENTICATED, "unknown token"))
                self._remember(key, outcome, TOKEN_RECHECK_SECONDS)
            case Err(failure):
                outcome = self._while_store_is_down(key, failure)
        for done in self._waiting.pop(key, []):
            done(outcome)

    def _while_store_is_down(self, key: str, failure: Failure) -> Result[Principal, Failure]:
        known = self._remembered.get(key)
        if known is not None and known.outcome.is_ok():
            self._remember(key, known.outcome, TOKEN_RECHECK_SECONDS)
            return known.outcome
        return Err(Failure(ResultCode.STORE_UNAVAILABLE, failure.detail, 1.0))

    def _remember(self, key: str, outcome: Result[Principal, Failure], seconds: float) -> None:
        if len(self._remembered) >= MAX_CACHED_TOKENS:
            self._remembered.pop(next(iter(self._remembered)))
        self._remembered[key] = _Remembered(outcome, self._timers.now() + seconds)
