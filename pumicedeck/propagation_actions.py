"""Actions that the propagation of the catalogue requests from its process, and its settings."""

from dataclasses import dataclass

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.store_budgets import BudgetSettings


@dataclass(frozen=True, slots=True)
class PropagationSettings:
    """Times in seconds and rates per second.

    `poll`, the interval between reads of the head revision, is jittered by up to a quarter either
    way. `fetch_jitter` distributes over time the fetches of processes that learn of a revision
    together, `start_jitter` those of processes that start together. `hedge` is how long a call to
    the store may take before a peer is asked as well. `peer_pause` is how long a peer that sent no
    usable copy is not asked again. A process that starts while the store does not answer becomes
    ready after copies from `start_peers` peers, or `start_wait` after the first copy.
    """

    poll: float = 8.0
    fetch_jitter: float = 2.0
    start_jitter: float = 4.0
    store_timeout: float = 2.5
    hedge: float = 1.0
    peer_timeout: float = 2.0
    peer_pause: float = 5.0
    start_peers: int = 3
    start_wait: float = 6.0
    copies_per_second: float = 5.0
    copy_burst: float = 30.0
    reads: BudgetSettings = BudgetSettings()


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the newest revision from the store; `call` identifies the call in its result."""

    call: int


@dataclass(frozen=True, slots=True)
class ReadChanges:
    """Read the changes after `since`, up to `upto`, from the store."""

    call: int
    since: int
    up_to: int


@dataclass(frozen=True, slots=True)
class LoadCatalogue:
    """Load the newest catalogue from the snapshot and the store."""

    call: int


@dataclass(frozen=True, slots=True)
class RequestCopy:
    """Ask a peer for its catalogue if its revision is at least `revision`."""

    peer: str
    revision: int


@dataclass(frozen=True, slots=True)
class SendCopy:
    """Send the installed catalogue to a peer."""

    peer: str
    catalogue: Catalogue


@dataclass(frozen=True, slots=True)
class InstallCatalogue:
    """Make a catalogue the one that this process uses."""

    catalogue: Catalogue


@dataclass(frozen=True, slots=True)
class AnnounceRevision:
    """Send a heartbeat with the new revision on every session at once."""

    revision: int


@dataclass(frozen=True, slots=True)
class ReportReady:
    """Report that the process has a catalogue with which it may serve."""


PropagationAction = (
    ReadHead
    | ReadChanges
    | LoadCatalogue
    | RequestCopy
    | SendCopy
    | InstallCatalogue
    | AnnounceRevision
    | ReportReady
)
