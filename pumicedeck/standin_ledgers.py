"""Settings of the stand-in engine, records of its executions, and its delayed load report."""

from collections import deque
from dataclasses import dataclass, field

from pumicedeck.platform_interfaces import EngineOrder, LoadedModel
from pumicedeck.standin_batches import BatchSettings
from pumicedeck.standin_caches import CacheSettings


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Behaviour of a stand-in engine; times are in seconds."""

    models: tuple[LoadedModel, ...] = (LoadedModel("base", 0),)
    role: str = "sampler"
    batch: BatchSettings = field(default_factory=BatchSettings)
    cache: CacheSettings = field(default_factory=CacheSettings)
    checks_fencing: bool = True
    reports_versions: bool = True
    report_lag: float = 0.0
    fetch_seconds: float = 0.0
    install_seconds: float = 0.0
    kv_bytes_per_token: int = 0
    kv_bytes_per_second: float = 1e9
    max_retained_outputs: int = 1024


@dataclass(frozen=True, slots=True)
class ExecutedGeneration:
    """A generation that the engine executed; `outcome` says how it ended.

    An outcome is finished, cancelled, exported or crashed.
    """

    handle: str
    body: bytes
    incarnation: str
    started_at: float
    ended_at: float
    versions: tuple[int, ...]
    outcome: str


@dataclass(frozen=True, slots=True)
class ExecutedOrder:
    """An order that took effect at second `at`, completely or, if `partial`, in part."""

    order: EngineOrder
    at: float
    partial: bool


class LaggedLoad:
    """Reports running and queued counts as they were `lag` seconds ago."""

    def __init__(self, lag: float) -> None:
        """Create a report of no load."""
        self._lag = lag
        self._load_changes: deque[tuple[float, int, int]] = deque([(float("-inf"), 0, 0)])

    def record(self, now: float, running: int, queued: int) -> None:
        """Record the running and queued counts at `now`."""
        self._load_changes.append((now, running, queued))
        self._trim(now)

    def report(self, now: float) -> tuple[int, int]:
        """Return the running and queued counts that the engine reports at `now`."""
        self._trim(now)
        return self._load_changes[0][1:]

    def _trim(self, now: float) -> None:
        while len(self._load_changes) > 1 and self._load_changes[1][0] <= now - self._lag:
            self._load_changes.popleft()
