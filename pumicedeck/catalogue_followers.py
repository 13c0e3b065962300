"""Binds the spreading of the catalogue to the stores, the timers and the sessions."""

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
    """What the process does for the follower.

    `send` passes a message to a peer; `installed` puts a catalogue in force; `announce` sends a
    heartbeat on every session at once; `ready` is called once when the process may serve.
    """

    send: Callable[[str, Message], None]
    installed: Callable[[Catalogue], None]
    announce: Callable[[int], None] = field(default=_ignore)
    ready: Callable[[], None] = field(default=_ignore)


class CatalogueFollower:
    """Keeps the process's catalogue at the newest revision that it can learn of."""

    def __init__(
        self,
        table: TableStore,
        objects: ObjectStore,
        timers: TimerQueue,
        rng: Random,
        hooks: FollowerHooks,
        settings: PropagationSettings | None = None,
    ) -> None:
        """Follow the catalogue in `table`."""
        self._store = CatalogueStore(table)
        self._loader = CatalogueLoader(self._store, objects)
        self._timers = timers
        self._hooks = hooks
        self._spread = CataloguePropagation(rng, settings)
        self._wakeup = Wakeup(timers, self._spread.next_wakeup, self._on_time)
        self._copy: CatalogueCopy | None = None
        self._running = False

    @property
    def catalogue(self) -> Catalogue | None:
        """Return the installed catalogue."""
        return self._spread.catalogue

    @property
    def revision(self) -> int:
        """Return the installed revision, -1 if none."""
        return self._spread.revision

    @property
    def target_revision(self) -> int:
        """Return the newest revision heard of."""
        return self._spread.target_revision

    @property
    def ready(self) -> bool:
        """Say whether the process may serve."""
        return self._spread.ready

    def start(self) -> None:
        """Begin to follow."""
        self._running = True
        self._run(self._spread.start(self._timers.now()))

    def close(self) -> None:
        """Stop; answers that are still on their way are dropped."""
        self._running = False
        self._wakeup.close()

    def peer_connected(self, peer: str) -> None:
        """Count a peer whose session opened."""
        self._run(self._spread.peer_connected(self._timers.now(), peer))

    def peer_disconnected(self, peer: str) -> None:
        """Forget a peer whose session ended."""
        self._run(self._spread.peer_disconnected(self._timers.now(), peer))

    def revision_announced(self, peer: str, revision: int) -> None:
        """Take the revision on a peer's heartbeat."""
        self._run(self._spread.revision_announced(self._timers.now(), peer, revision))

    def message(self, peer: str, message: CatalogueRequest | CatalogueCopy) -> None:
        """Take a catalogue message from a peer."""
        now = self._timers.now()
        if isinstance(message, CatalogueRequest):
            self._run(self._spread.copy_requested(now, peer, message.revision))
        elif message.revision > self.revision or not self.ready:
            copy = decode_copy(message.document)
            self._run(self._spread.copy_received(now, peer, copy))

    def _on_time(self, now: float) -> None:
        self._run(self._spread.on_timer(now))

    def _run(self, actions: list[PropagationAction]) -> None:
        if not self._running:
            return
        for action in actions:
            self._perform(action)
        self._wakeup.refresh()

    def _perform(self, action: PropagationAction) -> None:
        match action:
            case ReadHead(call):
                self._store.read_head(lambda read: self._head_read(call, read))
            case ReadChanges(call, since, up_to):
                self._store.read_changes(
                    since, up_to, lambda read: self._answered(self._spread.changes_read, call, read)
                )
            case LoadCatalogue(call):
                self._loader.load(
                    lambda read: self._answered(self._spread.catalogue_loaded, call, read)
                )
            case RequestCopy(peer, revision):
                self._hooks.send(peer, CatalogueRequest(revision))
            case SendCopy(peer, catalogue):
                self._hooks.send(peer, self._copy_of(catalogue))
            case InstallCatalogue(catalogue):
                _log.info("catalogue revision {} installed", catalogue.revision)
                self._hooks.installed(catalogue)
            case AnnounceRevision(revision):
                self._hooks.announce(revision)
            case ReportReady():
                self._hooks.ready()

    def _head_read(self, call: int, read: Result[Head, Failure]) -> None:
        revision = read.map(lambda head: head.revision)
        self._answered(self._spread.head_read, call, revision)

    def _answered(
        self,
        event: Callable[..., list[PropagationAction]],
        call: int,
        read: Result[object, Failure],
    ) -> None:
        if not self._running:
            return
        if read.is_err() and read.unwrap_err().code is ResultCode.BAD_CATALOGUE:
            _log.error(
                "stored catalogue invalid; revision {} stays installed: {}",
                self.revision,
                read.unwrap_err().detail,
            )
        self._run(event(self._timers.now(), call, read))

    def _copy_of(self, catalogue: Catalogue) -> CatalogueCopy:
        if self._copy is None or self._copy.revision != catalogue.revision:
            self._copy = CatalogueCopy(catalogue.revision, encode_copy(catalogue))
        return self._copy
