"""What the spreading of the catalogue asks its process to do, and its settings."""

from dataclasses import dataclass

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.store_budgets import BudgetSettings


@dataclass(frozen=True, slots=True)
class PropagationSettings:
    """Times in seconds.

    `poll` is jittered by a quarter either way. `fetch_jitter` spreads the fetches of processes
    that hear of a revision together, `start_jitter` those of processes that start together.
    `hedge` is how long a call to the store may take before a peer is asked as well. `peer_pause`
    keeps a peer that did not answer from being asked again.
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
    """Read the newest revision from the store."""

    call: int


@dataclass(frozen=True, slots=True)
class ReadChanges:
    """Read the changes after `since`, up to `upto`, from the store."""

    call: int
    since: int
    upto: int


@dataclass(frozen=True, slots=True)
class LoadCatalogue:
    """Load the newest catalogue from the snapshot and the store."""

    call: int


@dataclass(frozen=True, slots=True)
class RequestCopy:
    """Ask a peer for its catalogue if it is at least at `revision`."""

    peer: str
    revision: int


@dataclass(frozen=True, slots=True)
class SendCopy:
    """Send the installed catalogue to a peer."""

    peer: str
    catalogue: Catalogue


@dataclass(frozen=True, slots=True)
class InstallCatalogue:
    """Put a catalogue in force in this process."""

    catalogue: Catalogue


@dataclass(frozen=True, slots=True)
class AnnounceRevision:
    """Send a heartbeat with the new revision on every session at once."""

    revision: int


@dataclass(frozen=True, slots=True)
class ReportReady:
    """The process holds a catalogue that it may serve with."""


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
