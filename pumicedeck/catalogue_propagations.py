"""Decides when a process polls, fetches, installs and relays the catalogue; free of I/O."""

from random import Random

from result import Err, Ok, Result

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.catalogue_rows import apply_changes
from pumicedeck.catalogue_stores import ChangesRead
from pumicedeck.propagation_actions import (
    AnnounceRevision,
    InstallCatalogue,
    LoadCatalogue,
    PropagationAction,
    PropagationSettings,
    ReadChanges,
    ReadHead,
    ReportReady,
    RequestCopy,
    SendCopy,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.store_budgets import StoreBudget, TokenBucket

LOAD_COST = 3.0
POLL_JITTER = 0.25
MIN_WAIT_SECONDS = 0.01
NEVER = float("inf")
NO_REVISION = -1


class CataloguePropagation:
    """The state of one process; every method returns what is to be done.

    Each `_..._at` is a second at which something is due; none of them lies in the past after
    `_advance`.
    """

    def __init__(self, rng: Random, settings: PropagationSettings | None = None) -> None:
        """Begin without a catalogue."""
        self._rng = rng
        self._settings = settings or PropagationSettings()
        self._budget = StoreBudget(self._settings.reads, rng)
        self._copies = TokenBucket(self._settings.copies_per_second, self._settings.copy_burst)
        self._catalogue: Catalogue | None = None
        self._target = 0
        self._ready = False
        self._calls = 0
        self._store_call: int | None = None
        self._store_head: int | None = None
        self._store_lags = False
        self._load_whole = False
        self._peers: dict[str, int] = {}
        self._asked: str | None = None
        self._avoided: dict[str, float] = {}
        self._answered: set[str] = set()
        self._fetch_at = NEVER
        self._poll_at = NEVER
        self._store_deadline_at = NEVER
        self._hedge_at = NEVER
        self._peer_deadline_at = NEVER
        self._peer_retry_at = NEVER
        self._ready_at = NEVER
        self._hedging = False
        self._waited = False

    @property
    def catalogue(self) -> Catalogue | None:
        """Return the installed catalogue."""
        return self._catalogue

    @property
    def revision(self) -> int:
        """Return the installed revision, -1 if none."""
        return NO_REVISION if self._catalogue is None else self._catalogue.revision

    @property
    def target_revision(self) -> int:
        """Return the newest revision heard of."""
        return self._target

    @property
    def ready(self) -> bool:
        """Say whether the process may serve with what is installed."""
        return self._ready

    def start(self, now: float) -> list[PropagationAction]:
        """Begin to look for a catalogue."""
        self._fetch_at = now + self._rng.uniform(0.0, self._settings.start_jitter)
        return self._advance(now)

    def on_timer(self, now: float) -> list[PropagationAction]:
        """Do what is due."""
        return self._advance(now)

    def next_wakeup(self) -> float | None:
        """Return the second at which `on_time` is wanted."""
        due = min(self._peer_deadline_at, self._peer_retry_at, self._ready_at)
        if self._store_call is not None:
            due = min(due, self._store_deadline_at, self._hedge_at)
        elif self._wants_catalogue():
            due = min(due, self._fetch_at)
        else:
            due = min(due, self._poll_at)
        return None if due == NEVER else due

    def peer_up(self, now: float, peer: str) -> list[PropagationAction]:
        """Count a peer whose session opened."""
        self._peers.setdefault(peer, NO_REVISION)
        return self._advance(now)

    def peer_lost(self, now: float, peer: str) -> list[PropagationAction]:
        """Forget a peer whose session ended."""
        self._peers.pop(peer, None)
        self._avoided.pop(peer, None)
        if self._asked == peer:
            self._end_peer_call()
        return self._advance(now)

    def peer_revision(self, now: float, peer: str, revision: int) -> list[PropagationAction]:
        """Take the revision that a peer named on a heartbeat."""
        self._peers[peer] = revision
        if revision <= self._target:
            return []
        if not self._wants_catalogue():
            self._fetch_at = now + self._rng.uniform(0.0, self._settings.fetch_jitter)
        self._target = revision
        return self._advance(now)

    def copy_requested(self, now: float, peer: str, revision: int) -> list[PropagationAction]:
        """Answer a peer that asks for a copy."""
        if self._catalogue is None or self._catalogue.revision < revision:
            return []
        if not self._copies.try_acquire(now):
            return []
        return [SendCopy(peer, self._catalogue)]

    def copy_received(
        self, now: float, peer: str, copy: Result[Catalogue, Failure]
    ) -> list[PropagationAction]:
        """Take a peer's copy."""
        if self._asked == peer:
            self._end_peer_call()
        if isinstance(copy, Err):
            self._avoid(now, peer)
            return self._advance(now)
        self._answered.add(peer)
        if copy.ok_value.revision < self._peers.get(peer, NO_REVISION):
            self._avoid(now, peer)
        if not self._ready and not self._waited and self._ready_at == NEVER:
            self._ready_at = now + self._settings.start_wait
        return self._install(copy.ok_value) + self._advance(now)

    def head_read(
        self, now: float, call: int, read: Result[int, Failure]
    ) -> list[PropagationAction]:
        """Take the head revision from the store."""
        if not self._end_store_call(now, call, read.is_ok()):
            return []
        if isinstance(read, Ok):
            self._learn_head(now, read.ok_value)
        return self._advance(now)

    def changes_read(
        self, now: float, call: int, read: Result[ChangesRead, Failure]
    ) -> list[PropagationAction]:
        """Take the changes after the installed revision from the store."""
        missing = isinstance(read, Err) and read.err_value.code is ResultCode.NOT_FOUND
        if not self._end_store_call(now, call, read.is_ok() or missing):
            return []
        actions: list[PropagationAction] = []
        if missing:
            self._load_whole = True
            self._fetch_at = now
        elif isinstance(read, Ok) and self._catalogue is not None:
            following = tuple(
                change for change in read.ok_value.changes if change.revision > self.revision
            )
            applied = apply_changes(self._catalogue, following)
            self._load_whole = applied.is_err()
            actions = self._install(applied.unwrap_or(self._catalogue))
            self._learn_head(now, read.ok_value.head_revision)
        return actions + self._advance(now)

    def catalogue_loaded(
        self, now: float, call: int, read: Result[Catalogue, Failure]
    ) -> list[PropagationAction]:
        """Take the whole catalogue from the store."""
        if not self._end_store_call(now, call, read.is_ok()):
            return []
        actions: list[PropagationAction] = []
        if isinstance(read, Ok):
            self._load_whole = False
            actions = self._install(read.ok_value)
            self._learn_head(now, read.ok_value.revision)
        return actions + self._advance(now)

    def _is_behind(self) -> bool:
        return self._catalogue is None or self._catalogue.revision < self._target

    def _wants_catalogue(self) -> bool:
        return self._is_behind() or not self._ready

    def _install(self, catalogue: Catalogue) -> list[PropagationAction]:
        if catalogue.revision <= self.revision:
            return []
        self._catalogue = catalogue
        self._target = max(self._target, catalogue.revision)
        return [InstallCatalogue(catalogue), AnnounceRevision(catalogue.revision)]

    def _learn_head(self, now: float, revision: int) -> None:
        self._store_head = max(revision, self._store_head or 0)
        self._target = max(self._target, revision)
        # A store that shows less than peers have named lags; asking it at once would not help.
        self._store_lags = revision < self._target
        jitter = self._rng.uniform(1.0 - POLL_JITTER, 1.0 + POLL_JITTER)
        self._poll_at = now + self._settings.poll * jitter
        self._fetch_at = self._poll_at if self._store_lags else now

    def _advance(self, now: float) -> list[PropagationAction]:
        if self._store_deadline_at <= now and self._store_call is not None:
            self._end_store_call(now, self._store_call, False)
        if self._hedge_at <= now:
            self._hedge_at = NEVER
            self._hedging = True
        if self._peer_deadline_at <= now and self._asked is not None:
            self._avoid(now, self._asked)
            self._end_peer_call()
        if self._ready_at <= now:
            self._ready_at = NEVER
            self._waited = True
        return self._use_store(now) + self._use_peer(now) + self._check_ready(now)

    def _use_store(self, now: float) -> list[PropagationAction]:
        wanted = self._wants_catalogue()
        due = self._fetch_at if wanted else self._poll_at
        if self._store_call is not None or due > now:
            return []
        whole = self._catalogue is None or (self._load_whole and self._is_behind())
        cost = LOAD_COST if whole else 1.0
        if not self._budget.admit(now, cost):
            self._postpone(max(self._budget.admits_at(now, cost), now + MIN_WAIT_SECONDS))
            return []
        self._calls += 1
        self._store_call = self._calls
        self._store_deadline_at = now + self._settings.store_timeout
        self._hedge_at = now + self._settings.hedge
        if whole:
            return [LoadCatalogue(self._calls)]
        if self._is_behind():
            return [ReadChanges(self._calls, self.revision, self._target)]
        return [ReadHead(self._calls)]

    def _postpone(self, due: float) -> None:
        self._fetch_at = due
        self._poll_at = due

    def _end_store_call(self, now: float, call: int, succeeded: bool) -> bool:
        if call != self._store_call:
            return False
        self._store_call = None
        self._store_deadline_at = NEVER
        self._hedge_at = NEVER
        self._hedging = False
        if succeeded:
            self._budget.succeeded()
        else:
            self._budget.failed(now)
            self._postpone(self._budget.admits_at(now))
        return True

    def _use_peer(self, now: float) -> list[PropagationAction]:
        self._peer_retry_at = NEVER
        troubled = self._hedging or self._store_lags or self._budget.failures > 0
        if self._asked is not None or not troubled or not self._wants_catalogue():
            return []
        useful = [peer for peer in self._peers if self._is_useful(peer)]
        if not useful:
            return []
        free = [peer for peer in useful if self._avoided.get(peer, 0.0) <= now]
        if not free:
            self._peer_retry_at = min(self._avoided[peer] for peer in useful)
            return []
        return [self._ask(now, free)]

    def _is_useful(self, peer: str) -> bool:
        if self._peers[peer] > self.revision:
            return True
        return not self._ready and peer not in self._answered

    def _ask(self, now: float, peers: list[str]) -> RequestCopy:
        newest = max(self._peers[peer] for peer in peers)
        self._asked = self._rng.choice([each for each in peers if self._peers[each] == newest])
        self._peer_deadline_at = now + self._settings.peer_timeout
        return RequestCopy(self._asked, max(0, newest))

    def _end_peer_call(self) -> None:
        self._asked = None
        self._peer_deadline_at = NEVER

    def _avoid(self, now: float, peer: str) -> None:
        if peer in self._peers:
            self._avoided[peer] = now + self._settings.peer_pause

    def _check_ready(self, now: float) -> list[PropagationAction]:
        if self._ready or self._is_behind():
            return []
        confirmed = self._store_head is not None
        several = self._waited or len(self._answered) >= self._settings.start_peers
        if not confirmed and not several:
            return []
        self._ready = True
        self._ready_at = NEVER
        return [ReportReady()]
