"""Simulates a sampler with continuous batching, without an event for each token."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from pumicedeck.clocks import Timer, TimerQueue


@dataclass(frozen=True, slots=True)
class SamplerSpeed:
    """Speed of a sampler.

    `token_seconds` is the time per token of a single sequence; each further sequence in the batch
    adds the fraction `slowdown` of it.
    """

    slots: int = 8
    token_seconds: float = 0.02
    slowdown: float = 0.05
    install_seconds: float = 1.0

    def token_rate(self, running: int) -> float:
        """Return the tokens per second of each sequence when `running` sequences run."""
        return 1.0 / (self.token_seconds * (1.0 + self.slowdown * max(0, running - 1)))

    @property
    def capacity(self) -> float:
        """Return the tokens per second of a full batch."""
        return self.slots * self.token_rate(self.slots)


@dataclass(frozen=True, slots=True)
class SampleEnd:
    """Result of a completed sequence; `queue_wait` in seconds."""

    versions: tuple[int, ...]
    queue_wait: float


@dataclass(slots=True, eq=False)
class SamplerSequence:
    """A queued or running sequence.

    `end_progress` is the progress of the batch, in tokens per sequence, at which it completes.
    """

    handle: str
    tokens: float
    done: Callable[[SampleEnd], None]
    arrived_at: float
    started_at: float = -1.0
    end_progress: float = 0.0
    versions: set[int] = field(default_factory=set)
    interactive: bool = False
    is_removed: bool = False


class FakeSampler:
    """One engine with the queue of its agent, in which interactive sequences come first."""

    def __init__(self, timers: TimerQueue, speed: SamplerSpeed, version: int = 0) -> None:
        """Create an idle sampler with the weights of `version`."""
        self._timers = timers
        self._speed = speed
        self._version = version
        self._waiting: list[tuple[int, int, SamplerSequence]] = []
        self._running: dict[str, SamplerSequence] = {}
        self._end_queue: list[tuple[float, int, SamplerSequence]] = []
        self._sequences: dict[str, SamplerSequence] = {}
        self._progress = 0.0
        self._progress_at = timers.now()
        self._paused = False
        self._timer: Timer | None = None
        self._count = 0

    @property
    def outstanding(self) -> int:
        """Return the number of queued and running sequences."""
        return len(self._sequences)

    @property
    def running(self) -> tuple[SamplerSequence, ...]:
        """Return the running sequences."""
        return tuple(self._running.values())

    def remaining_tokens(self, sequence: SamplerSequence) -> float:
        """Return the tokens that a running sequence has yet to generate."""
        self._update_progress()
        return max(0.0, sequence.end_progress - self._progress)

    def submit(self, sequence: SamplerSequence) -> None:
        """Queue a sequence; it starts once a slot is free."""
        self._update_progress()
        self._count += 1
        self._sequences[sequence.handle] = sequence
        order = (0 if sequence.interactive else 1, self._count, sequence)
        heapq.heappush(self._waiting, order)
        self._start_waiting()

    def cancel(self, handle: str) -> SamplerSequence | None:
        """Remove a sequence and return it, or None if it is not queued or running."""
        sequence = self._sequences.pop(handle, None)
        if sequence is None:
            return None
        self._update_progress()
        sequence.is_removed = True
        self._running.pop(handle, None)
        self._start_waiting()
        return sequence

    def swap(self, version: int, restart: bool = False) -> None:
        """Pause to install a version, then resume; `restart` starts drafts from the beginning."""
        self._update_progress()
        self._paused = True
        self._schedule_next_end()
        self._timers.call_later(
            self._speed.install_seconds, lambda: self._finish_install(version, restart)
        )

    def _finish_install(self, version: int, restart: bool) -> None:
        self._progress_at = self._timers.now()
        self._version = version
        self._paused = False
        for sequence in self._running.values():
            if restart and not sequence.interactive:
                sequence.versions.clear()
                sequence.end_progress = self._progress + sequence.tokens
                self._push_end(sequence)
            sequence.versions.add(version)
        self._start_waiting()

    def _update_progress(self) -> None:
        now = self._timers.now()
        if self._running and not self._paused:
            rate = self._speed.token_rate(len(self._running))
            self._progress += (now - self._progress_at) * rate
        self._progress_at = now

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self._speed.slots:
            sequence = heapq.heappop(self._waiting)[2]
            if sequence.is_removed:
                continue
            sequence.started_at = self._timers.now()
            sequence.versions.add(self._version)
            sequence.end_progress = self._progress + sequence.tokens
            self._running[sequence.handle] = sequence
            self._push_end(sequence)
        self._schedule_next_end()

    def _push_end(self, sequence: SamplerSequence) -> None:
        self._count += 1
        heapq.heappush(self._end_queue, (sequence.end_progress, self._count, sequence))

    def _schedule_next_end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._end_queue and (
            self._end_queue[0][2].is_removed
            or self._end_queue[0][0] < self._end_queue[0][2].end_progress
        ):
            heapq.heappop(self._end_queue)
        if self._paused or not self._end_queue:
            return
        rate = self._speed.token_rate(len(self._running))
        delay = max(0.0, self._end_queue[0][0] - self._progress) / rate
        self._timer = self._timers.call_later(delay, self._complete_next)

    def _complete_next(self) -> None:
        self._timer = None
        self._update_progress()
        sequence = heapq.heappop(self._end_queue)[2]
        self._progress = max(self._progress, sequence.end_progress)
        sequence.is_removed = True
        self._running.pop(sequence.handle, None)
        self._sequences.pop(sequence.handle, None)
        self._start_waiting()
        wait = sequence.started_at - sequence.arrived_at
        sequence.done(SampleEnd(tuple(sorted(sequence.versions)), wait))
