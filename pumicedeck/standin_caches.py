"""Prefix cache of the stand-in engine; its events are delayed and some are lost."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random

from pumicedeck.platform_interfaces import CacheEvent

_MAX_EVENTS = 4096


@dataclass(frozen=True, slots=True)
class CacheSettings:
    """Capacity in tokens, delay of the events in seconds, and probability that one is lost."""

    capacity_tokens: int = 100_000
    event_lag: float = 0.0
    gap_probability: float = 0.0


class PrefixCache:
    """An LRU cache of prompt prefixes with a capacity in tokens."""

    def __init__(self, settings: CacheSettings, random: Random) -> None:
        """Create an empty cache; `random` decides which events are lost."""
        self._settings = settings
        self._random = random
        self._prefixes: OrderedDict[str, int] = OrderedDict()
        self._used_tokens = 0
        self._sequence = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=_MAX_EVENTS)
        self.hits = 0
        self.misses = 0

    @property
    def prefixes(self) -> tuple[str, ...]:
        """Return the cached prefixes, whatever the events say, least recently used first."""
        return tuple(self._prefixes)

    def use(self, now: float, prefix: str, tokens: int) -> bool:
        """Mark a prefix as used, add it if it is absent, and return whether it was cached."""
        if not prefix:
            return False
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            self.hits += 1
            return True
        self.misses += 1
        if tokens > self._settings.capacity_tokens:
            return False
        self._prefixes[prefix] = tokens
        self._used_tokens += tokens
        self._record_event(now, prefix, True, tokens)
        self._evict_over_capacity(now)
        return False

    def clear(self, now: float) -> None:
        """Evict every prefix, because new weights invalidate them."""
        while self._prefixes:
            self._evict_oldest(now)

    def events(self, now: float, since: int) -> tuple[CacheEvent, ...]:
        """Return the events with a sequence number above `since` that are visible at `now`."""
        visible_until = now - self._settings.event_lag
        return tuple(
            event for at, event in self._events if at <= visible_until and event.sequence > since
        )

    def _evict_over_capacity(self, now: float) -> None:
        while self._used_tokens > self._settings.capacity_tokens:
            self._evict_oldest(now)

    def _evict_oldest(self, now: float) -> None:
        prefix, tokens = self._prefixes.popitem(last=False)
        self._used_tokens -= tokens
        self._record_event(now, prefix, False, tokens)

    def _record_event(self, now: float, prefix: str, cached: bool, tokens: int) -> None:
        self._sequence += 1
        if self._random.random() < self._settings.gap_probability:
            return
        self._events.append((now, CacheEvent(self._sequence, prefix, cached, tokens)))
