"""Checks bearer tokens of callers and operators against their hashes in the table service."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256

from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.json_documents import decode_document, read_text
from pumicedeck.platform_interfaces import Row, StoreKey, TableStore, Write
from pumicedeck.results import Failure, ResultCode

TOKEN_TABLE = "tokens"
OPERATOR_FIRM = "*"
VALID_TOKEN_CACHE_SECONDS = 60.0
# Time until the next lookup of an unknown token, and of a valid one while the store is unavailable.
TOKEN_RECHECK_SECONDS = 5.0
MAX_CACHED_TOKENS = 10_000
MAX_PENDING_LOOKUPS = 1_000


@dataclass(frozen=True, slots=True)
class Principal:
    """The caller or operator that a token belongs to; `firm` is `*` for operators."""

    name: str
    firm: str

    @property
    def is_operator(self) -> bool:
        """Return whether the principal is an operator, who may edit the catalogue."""
        return self.firm == OPERATOR_FIRM


@dataclass(frozen=True, slots=True)
class _CachedOutcome:
    outcome: Result[Principal, Failure]
    expires_at: float


def hash_token(token: str) -> str:
    """Return the key of a token's row: the SHA-256 digest of the token in hexadecimal."""
    return sha256(token.encode()).hexdigest()


def token_write(token: str, principal: Principal) -> Write:
    """Return the write that stores a token, which makes it valid."""
    value = json.dumps({"name": principal.name, "firm": principal.firm}).encode()
    return Write(TOKEN_TABLE, hash_token(token), value)


class TokenChecker:
    """Looks tokens up in the table service and caches the outcomes.

    While the store is unavailable, a token that was found valid before stays valid, because the
    service promised to its caller does not depend on the store.
    """

    def __init__(self, store: TableStore, timers: TimerQueue) -> None:
        """Create a checker with an empty cache that reads token rows from `store`."""
        self._store = store
        self._timers = timers
        self._cached_outcomes: dict[str, _CachedOutcome] = {}
        self._pending_lookups: dict[str, list[Callable[[Result[Principal, Failure]], None]]] = {}

    def check(self, authorization: str, done: Callable[[Result[Principal, Failure]], None]) -> None:
        """Pass the principal of an Authorization header to `done`.

        Failures: UNAUTHENTICATED, OVERLOADED (too many lookups in progress), STORE_UNAVAILABLE.
        """
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != "bearer" or not token:
            done(Err(Failure(ResultCode.UNAUTHENTICATED, "expected a bearer token")))
            return
        key = hash_token(token)
        cached = self._cached_outcomes.get(key)
        if cached is not None and cached.expires_at > self._timers.now():
            done(cached.outcome)
            return
        self._look_up(key, done)

    def _look_up(self, key: str, done: Callable[[Result[Principal, Failure]], None]) -> None:
        if key in self._pending_lookups:
            self._pending_lookups[key].append(done)
            return
        if len(self._pending_lookups) >= MAX_PENDING_LOOKUPS:
            done(Err(Failure(ResultCode.OVERLOADED, "too many token lookups in progress", 1.0)))
            return
        self._pending_lookups[key] = [done]
        self._store.read((StoreKey(TOKEN_TABLE, key),), lambda rows: self._on_row_read(key, rows))

    def _on_row_read(self, key: str, rows: Result[tuple[Row, ...], Failure]) -> None:
        match rows:
            case Ok((row,)) if row.revision:
                outcome = decode_document(row.value, _build_principal).map_err(
                    lambda reason: Failure(
                        ResultCode.UNAUTHENTICATED, f"the token's row cannot be decoded: {reason}"
                    )
                )
                seconds = VALID_TOKEN_CACHE_SECONDS if outcome.is_ok() else TOKEN_RECHECK_SECONDS
                self._cache_outcome(key, outcome, seconds)
            case Ok(_):
                outcome = Err(Failure(ResultCode.UNAUTHENTICATED, "unknown token"))
                self._cache_outcome(key, outcome, TOKEN_RECHECK_SECONDS)
            case Err(failure):
                outcome = self._outcome_without_store(key, failure)
        for done in self._pending_lookups.pop(key, []):
            done(outcome)

    def _outcome_without_store(self, key: str, failure: Failure) -> Result[Principal, Failure]:
        cached = self._cached_outcomes.get(key)
        if cached is not None and cached.outcome.is_ok():
            self._cache_outcome(key, cached.outcome, TOKEN_RECHECK_SECONDS)
            return cached.outcome
        return Err(Failure(ResultCode.STORE_UNAVAILABLE, failure.detail, 1.0))

    def _cache_outcome(self, key: str, outcome: Result[Principal, Failure], seconds: float) -> None:
        if len(self._cached_outcomes) >= MAX_CACHED_TOKENS:
            self._cached_outcomes.pop(next(iter(self._cached_outcomes)))
        self._cached_outcomes[key] = _CachedOutcome(outcome, self._timers.now() + seconds)


def _build_principal(document) -> Principal:
    return Principal(read_text(document, "name"), read_text(document, "firm"))
