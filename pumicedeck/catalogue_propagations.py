"""Decides when a process polls, fetches, installs and relays the catalogue; free of I/O.

While the store is slow or unreachable, the catalogue is fetched from peers.
"""

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

FULL_LOAD_COST = 3.0
POLL_JITTER = 0.25
MIN_WAIT_SECONDS = 0.01
NEVER = float("inf")
NO_REVISION = -1


class CataloguePropagation:
    """Catalogue state of one process; the methods for events return the actions to perform.

    Each `_..._at` is the time, in seconds on the clock of `now`, at which an action is scheduled;
    after `_advance` none is in the past.
    """

    def __init__(self, rng: Random, settings: PropagationSettings | None = None) -> None:
        """Create a propagation without a catalogue."""
        self._rng = rng
        self._settings = settings or PropagationSettings()
        self._budget = StoreBudget(self._settings.reads, rng)
        self._copy_budget = TokenBucket(self._settings.copies_per_second, self._settings.copy_burst)
        self._catalogue: Catalogue | None = None
        self._target_revision = 0
        self._ready = False
        self._last_call_id = 0
        self._store_call_id: int | None = None
        self._store_head: int | None = None
        self._store_lags = False
        self._needs_full_load = False
        self._peers: dict[str, int] = {}
        self._asked_peer: str | None = None
        self._paused_until: dict[str, float] = {}
        self._answered_peers: set[str] = set()
        self._fetch_at = NEVER
        self._poll_at = NEVER
        self._store_deadline_at = NEVER
        self._hedge_at = NEVER
        self._peer_deadline_at = NEVER
        self._peer_retry_at = NEVER
        self._ready_at = NEVER
        self._hedging = False
        self._start_wait_over = False

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
        """Return the newest revision that the store or a peer has reported."""
        return self._target_revision

    @property
    def ready(self) -> bool:
        """Return whether the process may serve with the installed catalogue."""
        return self._ready

    def start(self, now: float) -> list[PropagationAction]:
        """Schedule the first fetch of the catalogue after a random delay."""
        self._fetch_at = now + self._rng.uniform(0.0, self._settings.start_jitter)
        return self._advance(now)

    def on_timer(self, now: float) -> list[PropagationAction]:
        """Return the actions that are scheduled up to `now`."""
        return self._advance(now)

    def next_wakeup(self) -> float | None:
        """Return the time at which `on_timer` must be called; None if nothing is scheduled."""
        wakeup_at = min(self._peer_deadline_at, self._peer_retry_at, self._ready_at)
        if self._store_call_id is not None:
            wakeup_at = min(wakeup_at, self._store_deadline_at, self._hedge_at)
        elif self._needs_catalogue():
            wakeup_at = min(wakeup_at, self._fetch_at)
        else:
            wakeup_at = min(wakeup_at, self._poll_at)
        return None if wakeup_at == NEVER else wakeup_at

    def peer_connected(self, now: float, peer: str) -> list[PropagationAction]:
        """Add a peer whose session opened."""
        self._peers.setdefault(peer, NO_REVISION)
        return self._advance(now)

    def peer_disconnected(self, now: float, peer: str) -> list[PropagationAction]:
        """Remove a peer whose session ended."""
        self._peers.pop(peer, None)
        self._paused_until.pop(peer, None)
        if self._asked_peer == peer:
            self._end_peer_call()
        return self._advance(now)

    def revision_announced(self, now: float, peer: str, revision: int) -> list[PropagationAction]:
        """Record the revision that a peer announced in a heartbeat."""
        self._peers[peer] = revision
        if revision <= self._target_revision:
            return []
        if not self._needs_catalogue():
            self._fetch_at = now + self._rng.uniform(0.0, self._settings.fetch_jitter)
        self._target_revision = revision
        return self._advance(now)

    def copy_requested(self, now: float, peer: str, revision: int) -> list[PropagationAction]:
        """Send a copy to a peer that requests at least `revision`, within the rate of copies."""
        if self._catalogue is None or self._catalogue.revision < revision:
            return []
        if not self._copy_budget.try_acquire(now):
            return []
        return [SendCopy(peer, self._catalogue)]

    def copy_received(
        self, now: float, peer: str, copy: Result[Catalogue, Failure]
    ) -> list[PropagationAction]:
        """Install a peer's copy if it is newer; a peer without a usable copy is paused."""
        if self._asked_peer == peer:
            self._end_peer_call()
        if isinstance(copy, Err):
            self._pause_peer(now, peer)
            return self._advance(now)
        self._answered_peers.add(peer)
        if copy.ok_value.revision < self._peers.get(peer, NO_REVISION):
            self._pause_peer(now, peer)
        if not self._ready and not self._start_wait_over and self._ready_at == NEVER:
            self._ready_at = now + self._settings.start_wait
        return self._install(copy.ok_value) + self._advance(now)

    def head_read(
        self, now: float, call: int, read: Result[int, Failure]
    ) -> list[PropagationAction]:
        """Apply the head revision read from the store."""
        if not self._end_store_call(now, call, read.is_ok()):
            return []
        if isinstance(read, Ok):
            self._apply_head(now, read.ok_value)
        return self._advance(now)

    def changes_read(
        self, now: float, call: int, read: Result[ChangesRead, Failure]
    ) -> list[PropagationAction]:
        """Apply the changes after the installed revision, read from the store.

        If the store no longer has them, the complete catalogue is loaded.
        """
        missing = isinstance(read, Err) and read.err_value.code is ResultCode.NOT_FOUND
        if not self._end_store_call(now, call, read.is_ok() or missing):
            return []
        actions: list[PropagationAction] = []
        if missing:
            self._needs_full_load = True
            self._fetch_at = now
        elif isinstance(read, Ok) and self._catalogue is not None:
            following = tuple(
                change for change in read.ok_value.changes if change.revision > self.revision
            )
            applied = apply_changes(self._catalogue, following)
            self._needs_full_load = applied.is_err()
            actions = self._install(applied.unwrap_or(self._catalogue))
            self._apply_head(now, read.ok_value.head_revision)
        return actions + self._advance(now)

    def catalogue_loaded(
        self, now: float, call: int, read: Result[Catalogue, Failure]
    ) -> list[PropagationAction]:
        """Install the complete catalogue, loaded from the store."""
        if not self._end_store_call(now, call, read.is_ok()):
            return []
        actions: list[PropagationAction] = []
        if isinstance(read, Ok):
            self._needs_full_load = False
            actions = self._install(read.ok_value)
            self._apply_head(now, read.ok_value.revision)
        return actions + self._advance(now)

    def _is_behind(self) -> bool:
        return self._catalogue is None or self._catalogue.revision < self._target_revision

    def _needs_catalogue(self) -> bool:
        return self._is_behind() or not self._ready

    def _install(self, catalogue: Catalogue) -> list[PropagationAction]:
        if catalogue.revision <= self.revision:
            return []
        self._catalogue = catalogue
        self._target_revision = max(self._target_revision, catalogue.revision)
        return [InstallCatalogue(catalogue), AnnounceRevision(catalogue.revision)]

    def _apply_head(self, now: float, revision: int) -> None:
        self._store_head = max(revision, self._store_head or 0)
        self._target_revision = max(self._target_revision, revision)
        # A store behind the revision that peers announced lags; an immediate read would not help.
        self._store_lags = revision < self._target_revision
        jitter = self._rng.uniform(1.0 - POLL_JITTER, 1.0 + POLL_JITTER)
        self._poll_at = now + self._settings.poll * jitter
        self._fetch_at = self._poll_at if self._store_lags else now

    def _advance(self, now: float) -> list[PropagationAction]:
        if self._store_deadline_at <= now and self._store_call_id is not None:
            self._end_store_call(now, self._store_call_id, False)
        if self._hedge_at <= now:
            self._hedge_at = NEVER
            self._hedging = True
        if self._peer_deadline_at <= now and self._asked_peer is not None:
            self._pause_peer(now, self._asked_peer)
            self._end_peer_call()
        if self._ready_at <= now:
            self._ready_at = NEVER
            self._start_wait_over = True
        return self._call_store(now) + self._call_peer(now) + self._check_ready(now)

    def _call_store(self, now: float) -> list[PropagationAction]:
        needed = self._needs_catalogue()
        scheduled_at = self._fetch_at if needed else self._poll_at
        if self._store_call_id is not None or scheduled_at > now:
            return []
        full_load = self._catalogue is None or (self._needs_full_load and self._is_behind())
        cost = FULL_LOAD_COST if full_load else 1.0
        if not self._budget.admit(now, cost):
            self._postpone(max(self._budget.admits_at(now, cost), now + MIN_WAIT_SECONDS))
            return []
        self._last_call_id += 1
        self._store_call_id = self._last_call_id
        self._store_deadline_at = now + self._settings.store_timeout
        self._hedge_at = now + self._settings.hedge
        if full_load:
            return [LoadCatalogue(self._last_call_id)]
        if self._is_behind():
            return [ReadChanges(self._last_call_id, self.revision, self._target_revision)]
        return [ReadHead(self._last_call_id)]

    def _postpone(self, scheduled_at: float) -> None:
        self._fetch_at = scheduled_at
        self._poll_at = scheduled_at

    def _end_store_call(self, now: float, call: int, succeeded: bool) -> bool:
        if call != self._store_call_id:
            return False
        self._store_call_id = None
        self._store_deadline_at = NEVER
        self._hedge_at = NEVER
        self._hedging = False
        if succeeded:
            self._budget.succeeded()
        else:
            self._budget.failed(now)
            self._postpone(self._budget.admits_at(now))
        return True

    def _call_peer(self, now: float) -> list[PropagationAction]:
        self._peer_retry_at = NEVER
        store_impaired = self._hedging or self._store_lags or self._budget.failures > 0
        if self._asked_peer is not None or not store_impaired or not self._needs_catalogue():
            return []
        sources = [peer for peer in self._peers if self._is_copy_source(peer)]
        if not sources:
            return []
        available = [peer for peer in sources if self._paused_until.get(peer, 0.0) <= now]
        if not available:
            self._peer_retry_at = min(self._paused_until[peer] for peer in sources)
            return []
        return [self._request_copy(now, available)]

    def _is_copy_source(self, peer: str) -> bool:
        """Return whether a peer announced a newer revision or, until ready, sent no copy yet."""
        if self._peers[peer] > self.revision:
            return True
        return not self._ready and peer not in self._answered_peers

    def _request_copy(self, now: float, peers: list[str]) -> RequestCopy:
        newest = max(self._peers[peer] for peer in peers)
        self._asked_peer = self._rng.choice([each for each in peers if self._peers[each] == newest])
        self._peer_deadline_at = now + self._settings.peer_timeout
        return RequestCopy(self._asked_peer, max(0, newest))

    def _end_peer_call(self) -> None:
        self._asked_peer = None
        self._peer_deadline_at = NEVER

    def _pause_peer(self, now: float, peer: str) -> None:
        if peer in self._peers:
            self._paused_until[peer] = now + self._settings.peer_pause

    def _check_ready(self, now: float) -> list[PropagationAction]:
        """Report readiness once the catalogue is current by the store or by enough peers."""
        if self._ready or self._is_behind():
            return []
        confirmed = self._store_head is not None
        peers_suffice = (
            self._start_wait_over or len(self._answered_peers) >= self._settings.start_peers
        )
        if not confirmed and not peers_suffice:
            return []
        self._ready = True
        self._ready_at = NEVER
        return [ReportReady()]
