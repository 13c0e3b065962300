"""A fast fake of a sampler for experiments: continuous batching without single token steps."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from pumicedeck.clocks import Timer, TimerQueue


@dataclass(frozen=True, slots=True)
class SamplerSpeed:
    """`token_seconds` for one sequence alone; each further one slows all by `slowdown`."""

    slots: int = 8
    token_seconds: float = 0.02
    slowdown: float = 0.05
    install_seconds: float = 1.0

    def token_rate(self, running: int) -> float:
        """Return the tokens per second of each of `running` sequences."""
        return 1.0 / (self.token_seconds * (1.0 + self.slowdown * max(0, running - 1)))

    @property
    def capacity(self) -> float:
        """Return the tokens per second of a full batch."""
        return self.slots * self.token_rate(self.slots)


@dataclass(frozen=True, slots=True)
class SampleEnd:
    """The end of one sequence."""

    versions: tuple[int, ...]
    queue_wait: float


@dataclass(slots=True, eq=False)
class SamplerSequence:
    """A sequence that waits or runs; `ends` is in tokens of the batch's progress."""

    handle: str
    tokens: float
    done: Callable[[SampleEnd], None]
    arrived_at: float
    started_at: float = -1.0
    ends: float = 0.0
    versions: set[int] = field(default_factory=set)
    interactive: bool = False
    gone: bool = False


class FakeSampler:
    """One engine with its agent's queue; interactive work goes first in the queue."""

    def __init__(self, timers: TimerQueue, speed: SamplerSpeed, version: int = 0) -> None:
        """Start idle with `version` in force."""
        self._timers = timers
        self._speed = speed
        self._version = version
        self._waiting: list[tuple[int, int, SamplerSequence]] = []
        self._running: dict[str, SamplerSequence] = {}
        self._ends: list[tuple[float, int, SamplerSequence]] = []
        self._known: dict[str, SamplerSequence] = {}
        self._progress = 0.0
        self._seen_at = timers.now()
        self._paused = False
        self._timer: Timer | None = None
        self._count = 0

    @property
    def outstanding(self) -> int:
        """Return how many sequences wait or run."""
        return len(self._known)

    @property
    def running(self) -> tuple[SamplerSequence, ...]:
        """Return the sequences in the batch."""
        return tuple(self._running.values())

    def remaining_tokens(self, sequence: SamplerSequence) -> float:
        """Return the tokens that a running sequence still has to make."""
        self._advance()
        return max(0.0, sequence.ends - self._progress)

    def submit(self, sequence: SamplerSequence) -> None:
        """Queue a sequence."""
        self._advance()
        self._count += 1
        self._known[sequence.handle] = sequence
        order = (0 if sequence.interactive else 1, self._count, sequence)
        heapq.heappush(self._waiting, order)
        self._admit()

    def cancel(self, handle: str) -> SamplerSequence | None:
        """Take a sequence out."""
        sequence = self._known.pop(handle, None)
        if sequence is None:
            return None
        self._advance()
        sequence.gone = True
        self._running.pop(handle, None)
        self._admit()
        return sequence

    def swap(self, version: int, restart: bool = False) -> None:
        """Pause to install a version and go on, from the start if `restart`."""
        self._advance()
        self._paused = True
        self._schedule()
        self._timers.call_later(
            self._speed.install_seconds, lambda: self._installed(version, restart)
        )

    def _installed(self, version: int, restart: bool) -> None:
        self._seen_at = self._timers.now()
        self._version = version
        self._paused = False
        for sequence in self._running.values():
            if restart and not sequence.interactive:
                sequence.versions.clear()
                sequence.ends = self._progress + sequence.tokens
                self._push_end(sequence)
            sequence.versions.add(version)
        self._admit()

    def _advance(self) -> None:
        now = self._timers.now()
        if self._running and not self._paused:
            rate = self._speed.token_rate(len(self._running))
            self._progress += (now - self._seen_at) * rate
        self._seen_at = now

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._speed.slots:
            sequence = heapq.heappop(self._waiting)[2]
            if sequence.gone:
                continue
            sequence.started_at = self._timers.now()
            sequence.versions.add(self._version)
            sequence.ends = self._progress + sequence.tokens
            self._running[sequence.handle] = sequence
            self._push_end(sequence)
        self._schedule()

    def _push_end(self, sequence: SamplerSequence) -> None:
        self._count += 1
        heapq.heappush(self._ends, (sequence.ends, self._count, sequence))

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._ends and (self._ends[0][2].gone or self._ends[0][0] < self._ends[0][2].ends):
            heapq.heappop(self._ends)
        if self._paused or not self._ends:
            return
        rate = self._speed.token_rate(len(self._running))
        delay = max(0.0, self._ends[0][0] - self._progress) / rate
        self._timer = self._timers.call_later(delay, self._on_end)

    def _on_end(self) -> None:
        self._timer = None
        self._advance()
        sequence = heapq.heappop(self._ends)[2]
        self._progress = max(self._progress, sequence.ends)
        sequence.gone = True
        self._running.pop(sequence.handle, None)
        self._known.pop(sequence.handle, None)
        self._admit()
        wait = sequence.started_at - sequence.arrived_at
        sequence.done(SampleEnd(tuple(sorted(sequence.versions)), wait))
