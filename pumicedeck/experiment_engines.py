"""A fake model engine in virtual time: slots, priorities, a bounded prefix cache."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from pumicedeck.clocks import Timer, VirtualTime


@dataclass(frozen=True, slots=True)
class EngineJob:
    """One generation: what is asked of the engine; `prefix` may be empty."""

    handle: str
    priority: int
    tokens: int
    prompt_tokens: int
    prefix: str
    prefix_tokens: int


@dataclass(slots=True)
class _Running:
    job: EngineJob
    order: int
    done: Callable[[], None]
    remaining: float
    resumed: float = 0.0
    timer: Timer | None = None


@dataclass(slots=True)
class PrefixCache:
    """Least recently used prefixes, bounded in tokens."""

    capacity: int
    hits: int = 0
    misses: int = 0
    _held: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _tokens: int = 0

    def use(self, prefix: str, tokens: int) -> bool:
        """Look a prefix up, keep it from now on and tell whether it was there."""
        if prefix in self._held:
            self._held.move_to_end(prefix)
            self.hits += 1
            return True
        self.misses += 1
        self._held[prefix] = tokens
        self._tokens += tokens
        while self._tokens > self.capacity and self._held:
            _, dropped = self._held.popitem(last=False)
            self._tokens -= dropped
        return False


class FakeEngine:
    """Runs the highest priorities in its slots and pauses the rest."""

    def __init__(
        self,
        time: VirtualTime,
        slots: int,
        slot_rate: float,
        prefill_rate: float,
        cache_tokens: int,
    ) -> None:
        """Generate `slot_rate` tokens a second in each slot."""
        self._time = time
        self._slots = slots
        self._slot_rate = slot_rate
        self._prefill_rate = prefill_rate
        self._speed = 1.0
        self._jobs: dict[str, _Running] = {}
        self._order = 0
        self.cache = PrefixCache(cache_tokens)

    def set_speed(self, speed: float) -> None:
        """Change how fast everything runs; 1 is the nominal speed."""
        for each in self._jobs.values():
            self._pause(each)
        self._speed = speed
        self._schedule()

    def start(self, job: EngineJob, done: Callable[[], None]) -> None:
        """Take a generation in; `done` is called at its end."""
        hit = not job.prefix or self.cache.use(job.prefix, job.prefix_tokens)
        prefill = job.prompt_tokens + (0 if hit else job.prefix_tokens)
        work = prefill / self._prefill_rate + job.tokens / self._slot_rate
        self._order += 1
        self._jobs[job.handle] = _Running(job, self._order, done, work)
        self._schedule()

    def cancel(self, handle: str) -> None:
        """Drop a generation without calling its `done`."""
        found = self._jobs.pop(handle, None)
        if found is not None:
            self._pause(found)
            self._schedule()

    def clear(self) -> None:
        """Drop every generation without calling its `done`."""
        for each in self._jobs.values():
            self._pause(each)
        self._jobs.clear()

    def _schedule(self) -> None:
        jobs = list(self._jobs.values())
        if len(jobs) > self._slots:
            jobs.sort(key=lambda each: (-each.job.priority, each.order))
            for each in jobs[self._slots :]:
                self._pause(each)
        for each in jobs[: self._slots]:
            self._resume(each)

    def _resume(self, running: _Running) -> None:
        if running.timer is None:
            running.resumed = self._time.now()
            delay = running.remaining / self._speed
            running.timer = self._time.call_later(delay, lambda: self._finish(running))

    def _pause(self, running: _Running) -> None:
        if running.timer is not None:
            running.timer.cancel()
            running.timer = None
            elapsed = (self._time.now() - running.resumed) * self._speed
            running.remaining = max(0.0, running.remaining - elapsed)

    def _finish(self, running: _Running) -> None:
        del self._jobs[running.job.handle]
        running.timer = None
        self._schedule()
        running.done()
