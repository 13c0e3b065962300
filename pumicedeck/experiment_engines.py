"""Simulates a model engine in virtual time: slots, priorities and a bounded prefix cache."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from pumicedeck.clocks import Timer, VirtualTime


@dataclass(frozen=True, slots=True)
class EngineJob:
    """One generation; an empty `prefix` means that the prompt shares no prefix."""

    handle: str
    priority: int
    tokens: int
    prompt_tokens: int
    prefix: str
    prefix_tokens: int


@dataclass(slots=True)
class _ActiveJob:
    """A running or paused job; `remaining_seconds` of work at the nominal speed."""

    job: EngineJob
    arrival_number: int
    done: Callable[[], None]
    remaining_seconds: float
    resumed_at: float = 0.0
    timer: Timer | None = None


@dataclass(slots=True)
class PrefixCache:
    """A cache of prompt prefixes with at most `capacity` tokens; evicts the least recently used."""

    capacity: int
    hits: int = 0
    misses: int = 0
    _tokens_by_prefix: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _tokens: int = 0

    def use(self, prefix: str, tokens: int) -> bool:
        """Return whether a prefix was cached, and cache it."""
        if prefix in self._tokens_by_prefix:
            self._tokens_by_prefix.move_to_end(prefix)
            self.hits += 1
            return True
        self.misses += 1
        self._tokens_by_prefix[prefix] = tokens
        self._tokens += tokens
        while self._tokens > self.capacity and self._tokens_by_prefix:
            _, evicted_tokens = self._tokens_by_prefix.popitem(last=False)
            self._tokens -= evicted_tokens
        return False


class FakeEngine:
    """Runs the jobs with the highest priorities in its slots and pauses the others."""

    def __init__(
        self,
        time: VirtualTime,
        slots: int,
        slot_rate: float,
        prefill_rate: float,
        cache_tokens: int,
    ) -> None:
        """Create an idle engine; rates are in tokens per second of a slot."""
        self._time = time
        self._slots = slots
        self._slot_rate = slot_rate
        self._prefill_rate = prefill_rate
        self._speed_factor = 1.0
        self._jobs: dict[str, _ActiveJob] = {}
        self._arrivals = 0
        self.cache = PrefixCache(cache_tokens)

    def set_speed_factor(self, speed_factor: float) -> None:
        """Set the factor by which all jobs run faster than at their nominal speed."""
        for each in self._jobs.values():
            self._pause(each)
        self._speed_factor = speed_factor
        self._assign_slots()

    def start(self, job: EngineJob, done: Callable[[], None]) -> None:
        """Add a generation, which may pause others of lower priority.

        `done` is called when it completes.
        """
        hit = not job.prefix or self.cache.use(job.prefix, job.prefix_tokens)
        prefill_tokens = job.prompt_tokens + (0 if hit else job.prefix_tokens)
        work_seconds = prefill_tokens / self._prefill_rate + job.tokens / self._slot_rate
        self._arrivals += 1
        self._jobs[job.handle] = _ActiveJob(job, self._arrivals, done, work_seconds)
        self._assign_slots()

    def cancel(self, handle: str) -> None:
        """Remove a generation without calling its `done`."""
        found = self._jobs.pop(handle, None)
        if found is not None:
            self._pause(found)
            self._assign_slots()

    def clear(self) -> None:
        """Remove all generations without calling their `done`."""
        for each in self._jobs.values():
            self._pause(each)
        self._jobs.clear()

    def _assign_slots(self) -> None:
        jobs = list(self._jobs.values())
        if len(jobs) > self._slots:
            jobs.sort(key=lambda each: (-each.job.priority, each.arrival_number))
            for each in jobs[self._slots :]:
                self._pause(each)
        for each in jobs[: self._slots]:
            self._resume(each)

    def _resume(self, active: _ActiveJob) -> None:
        if active.timer is None:
            active.resumed_at = self._time.now()
            delay = active.remaining_seconds / self._speed_factor
            active.timer = self._time.call_later(delay, lambda: self._finish(active))

    def _pause(self, active: _ActiveJob) -> None:
        if active.timer is not None:
            active.timer.cancel()
            active.timer = None
            elapsed = (self._time.now() - active.resumed_at) * self._speed_factor
            active.remaining_seconds = max(0.0, active.remaining_seconds - elapsed)

    def _finish(self, active: _ActiveJob) -> None:
        del self._jobs[active.job.handle]
        active.timer = None
        self._assign_slots()
        active.done()
