"""Keeps the catalogue of one process up to date from the table service, the object store and peers.

`CataloguePropagation` is the state machine that decides when to read, request, install and send
catalogues. The follower performs its actions and passes store results, peer messages and timer
events back to it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from loguru import logger
from result import Result

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.catalogue_loaders import CatalogueLoader
from pumicedeck.catalogue_propagations import CataloguePropagation
from pumicedeck.catalogue_rows import decode_copy, encode_copy
from pumicedeck.catalogue_stores import CatalogueStore, Head
from pumicedeck.clocks import TimerQueue
from pumicedeck.messages import CatalogueCopy, CatalogueRequest, Message
from pumicedeck.platform_interfaces import ObjectStore, TableStore
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
from pumicedeck.wakeups import Wakeup

_log = logger.bind(module=__name__)


def _ignore(*arguments: object) -> None:
    return None


@dataclass(frozen=True, slots=True)
class FollowerHooks:
    """Callbacks of a follower into its process.

    `send` sends a message to a peer. `install` makes a catalogue the current one of the process.
    `announce` immediately sends a heartbeat with the revision on every session. `report_ready` is
    called once, when the process may serve requests.
    """

    send: Callable[[str, Message], None]
    install: Callable[[Catalogue], None]
    announce: Callable[[int], None] = field(default=_ignore)
    report_ready: Callable[[], None] = field(default=_ignore)


class CatalogueFollower:
    """Keeps the installed catalogue at the newest revision that a store or a peer reports."""

    def __init__(
        self,
        table: TableStore,
        objects: ObjectStore,
        timers: TimerQueue,
        rng: Random,
        hooks: FollowerHooks,
        settings: PropagationSettings | None = None,
    ) -> None:
        """Create a follower of the catalogue in `table` and its snapshot in `objects`.

        Call `start` to begin following.
        """
        self._store = CatalogueStore(table)
        self._loader = CatalogueLoader(self._store, objects)
        self._timers = timers
        self._hooks = hooks
        self._propagation = CataloguePropagation(rng, settings)
        self._wakeup = Wakeup(timers, self._propagation.next_wakeup, self._on_timer)
        self._cached_copy: CatalogueCopy | None = None
        self._running = False

    @property
    def catalogue(self) -> Catalogue | None:
        """Return the installed catalogue, None before the first one."""
        return self._propagation.catalogue

    @property
    def revision(self) -> int:
        """Return the installed revision, -1 if none."""
        return self._propagation.revision

    @property
    def target_revision(self) -> int:
        """Return the newest revision that a store or a peer has reported."""
        return self._propagation.target_revision

    @property
    def ready(self) -> bool:
        """Return whether the process may serve requests."""
        return self._propagation.ready

    def start(self) -> None:
        """Start to read the stores and to request copies from peers."""
        self._running = True
        self._run(self._propagation.start(self._timers.now()))

    def close(self) -> None:
        """Stop; results of store calls that are still running are ignored."""
        self._running = False
        self._wakeup.close()

    def peer_connected(self, peer: str) -> None:
        """Add a peer whose session opened."""
        self._run(self._propagation.peer_connected(self._timers.now(), peer))

    def peer_disconnected(self, peer: str) -> None:
        """Remove a peer whose session ended."""
        self._run(self._propagation.peer_disconnected(self._timers.now(), peer))

    def revision_announced(self, peer: str, revision: int) -> None:
        """Record the catalogue revision in a heartbeat of a peer."""
        self._run(self._propagation.revision_announced(self._timers.now(), peer, revision))

    def message(self, peer: str, message: CatalogueRequest | CatalogueCopy) -> None:
        """Handle a request for a copy, or a copy, from a peer."""
        now = self._timers.now()
        if isinstance(message, CatalogueRequest):
            self._run(self._propagation.copy_requested(now, peer, message.revision))
        elif message.revision > self.revision or not self.ready:
            copy = decode_copy(message.document)
            self._run(self._propagation.copy_received(now, peer, copy))

    def _on_timer(self, now: float) -> None:
        self._run(self._propagation.on_timer(now))

    def _run(self, actions: list[PropagationAction]) -> None:
        if not self._running:
            return
        for action in actions:
            self._perform(action)
        self._wakeup.refresh()

    def _perform(self, action: PropagationAction) -> None:
        match action:
            case ReadHead(call):
                self._store.read_head(lambda read_result: self._head_read(call, read_result))
            case ReadChanges(call, since, up_to):
                self._store.read_changes(
                    since,
                    up_to,
                    lambda read_result: self._store_call_ended(
                        self._propagation.changes_read, call, read_result
                    ),
                )
            case LoadCatalogue(call):
                self._loader.load(
                    lambda read_result: self._store_call_ended(
                        self._propagation.catalogue_loaded, call, read_result
                    )
                )
            case RequestCopy(peer, revision):
                self._hooks.send(peer, CatalogueRequest(revision))
            case SendCopy(peer, catalogue):
                self._hooks.send(peer, self._encoded_copy(catalogue))
            case InstallCatalogue(catalogue):
                _log.info("catalogue revision {} installed", catalogue.revision)
                self._hooks.install(catalogue)
            case AnnounceRevision(revision):
                self._hooks.announce(revision)
            case ReportReady():
                self._hooks.report_ready()

    def _head_read(self, call: int, read_result: Result[Head, Failure]) -> None:
        revision_result = read_result.map(lambda head: head.revision)
        self._store_call_ended(self._propagation.head_read, call, revision_result)

    def _store_call_ended(
        self,
        handler: Callable[..., list[PropagationAction]],
        call: int,
        read_result: Result[object, Failure],
    ) -> None:
        if not self._running:
            return
        if read_result.is_err() and read_result.unwrap_err().code is ResultCode.BAD_CATALOGUE:
            _log.error(
                "stored catalogue invalid; revision {} stays installed: {}",
                self.revision,
                read_result.unwrap_err().detail,
            )
        self._run(handler(self._timers.now(), call, read_result))

    def _encoded_copy(self, catalogue: Catalogue) -> CatalogueCopy:
        if self._cached_copy is None or self._cached_copy.revision != catalogue.revision:
            self._cached_copy = CatalogueCopy(catalogue.revision, encode_copy(catalogue))
        return self._cached_copy
