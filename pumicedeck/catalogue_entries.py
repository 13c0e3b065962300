"""The catalogue's data classes: entries, pools, limits and the whole catalogue."""

from dataclasses import dataclass, field
from enum import StrEnum

from pumicedeck.topology import EndpointKind


class RequestClass(StrEnum):
    """Class of service of a catalogue entry."""

    INTERACTIVE = "interactive"
    BATCH = "batch"
    ROLLOUT = "rollout"


class SwapPolicy(StrEnum):
    """What happens to running drafts when new weights arrive."""

    FINISH = "finish"
    SPAN = "span"
    RESTART = "restart"


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds over all entry VMs: requests, requests per second, tokens per second, seconds."""

    concurrency: int = 256
    requests_per_second: float = 1000.0
    tokens_per_second: float = 1_000_000.0
    queue_seconds: float = 30.0
    deadline_seconds: float = 120.0


@dataclass(frozen=True, slots=True)
class CatalogueEntry:
    """What a firm may call, where it runs and what binds it.

    `staleness_bound` counts weight versions behind the newest one. `share` is the firm's weight in
    fair queueing. `idle_time_weight` and `staleness_weight` rank the two aims of a trainer.
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
    """A named set of like endpoints; `checks_fencing` says whether they refuse old orders."""

    name: str
    kind: EndpointKind
    checks_fencing: bool = False
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Catalogue:
    """All rows at one revision."""

    revision: int = 0
    entries: tuple[CatalogueEntry, ...] = ()
    pools: tuple[Pool, ...] = ()

    def entry(self, name: str) -> CatalogueEntry | None:
        """Return the entry called `name`."""
        return next((each for each in self.entries if each.name == name), None)

    def pool(self, name: str) -> Pool | None:
        """Return the pool called `name`."""
        return next((each for each in self.pools if each.name == name), None)
