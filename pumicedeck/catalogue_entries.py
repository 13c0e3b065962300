"""Data classes of the catalogue: entries with their limits, pools, and all rows at one revision.

An entry of the catalogue is something that a firm may call, unlike the entry that runs on a VM.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from pumicedeck.topology import EndpointKind


class RequestClass(StrEnum):
    """Class of service of a catalogue entry, which sets how its requests are scheduled."""

    INTERACTIVE = "interactive"
    BATCH = "batch"
    ROLLOUT = "rollout"


class SwapPolicy(StrEnum):
    """How an endpoint treats running drafts when it swaps to new weights."""

    FINISH = "finish"
    SPAN = "span"
    RESTART = "restart"


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one catalogue entry, enforced over all entry VMs together.

    `concurrency` counts requests running at once. `queue_seconds` bounds the wait in the queue and
    `deadline_seconds` the complete request.
    """

    concurrency: int = 256
    requests_per_second: float = 1000.0
    tokens_per_second: float = 1_000_000.0
    queue_seconds: float = 30.0
    deadline_seconds: float = 120.0


@dataclass(frozen=True, slots=True)
class CatalogueEntry:
    """A route for the requests of one firm: the pools that serve it, its limits and its share.

    `staleness_bound` counts weight versions behind the newest one. `share` is the firm's weight in
    fair queueing. `idle_time_weight` and `staleness_weight` weigh a trainer's idle time against the
    staleness of its drafts. `scorer` names the entry that scores the drafts.
    """

    name: str
    firm: str
    request_class: RequestClass
    pools: tuple[str, ...]
    limits: Limits = field(default_factory=Limits)
    share: float = 1.0
    idempotent: bool = True
    model: str = ""
    staleness_bound: int = 1
    idle_time_weight: float = 1.0
    staleness_weight: float = 1.0
    scorer: str = ""


@dataclass(frozen=True, slots=True)
class Pool:
    """A named set of interchangeable endpoints.

    `checks_fencing` says whether the endpoints refuse orders with an outdated fencing number.
    """

    name: str
    kind: EndpointKind
    checks_fencing: bool = False
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Catalogue:
    """All entries and pools of the catalogue at one revision."""

    revision: int = 0
    entries: tuple[CatalogueEntry, ...] = ()
    pools: tuple[Pool, ...] = ()

    def entry(self, name: str) -> CatalogueEntry | None:
        """Return the entry called `name`, None if there is none."""
        return next((each for each in self.entries if each.name == name), None)

    def pool(self, name: str) -> Pool | None:
        """Return the pool called `name`, None if there is none."""
        return next((each for each in self.pools if each.name == name), None)
