"""Prefix cache of the stand-in engine, with events that come late and with gaps."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random

from pumicedeck.platform_interfaces import CacheEvent

_KEPT_EVENTS = 4096


@dataclass(frozen=True, slots=True)
class CacheSettings:
    """Memory in tokens, lag of the events in seconds and the share of events that get lost."""

    capacity_tokens: int = 100_000
    event_lag: float = 0.0
    gap_probability: float = 0.0


class PrefixCache:
    """Keeps the prefixes used last within a bound of tokens."""

    def __init__(self, settings: CacheSettings, random: Random) -> None:
        """Begin empty."""
        self._settings = settings
        self._random = random
        self._prefixes: OrderedDict[str, int] = OrderedDict()
        self._used = 0
        self._sequence = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=_KEPT_EVENTS)
        self.hits = 0
        self.misses = 0

    @property
    def prefixes(self) -> tuple[str, ...]:
        """Return the prefixes that are truly cached, least recently used first."""
        return tuple(self._prefixes)

    def use(self, now: float, prefix: str, tokens: int) -> bool:
        """Touch a prefix, caching it if it is absent, and tell whether it was cached."""
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
        self._used += tokens
        self._publish(now, prefix, True, tokens)
        self._evict(now)
        return False

    def clear(self, now: float) -> None:
        """Drop every prefix, as new weights do."""
        while self._prefixes:
            self._drop_oldest(now)

    def events(self, now: float, since: int) -> tuple[CacheEvent, ...]:
        """Return the events after `since` that are visible by now."""
        moment = now - self._settings.event_lag
        return tuple(event for at, event in self._events if at <= moment and event.sequence > since)

    def _evict(self, now: float) -> None:
        while self._used > self._settings.capacity_tokens:
            self._drop_oldest(now)

    def _drop_oldest(self, now: float) -> None:
        prefix, tokens = self._prefixes.popitem(last=False)
        self._used -= tokens
        self._publish(now, prefix, False, tokens)

    def _publish(self, now: float, prefix: str, cached: bool, tokens: int) -> None:
        self._sequence += 1
        if self._random.random() < self._settings.gap_probability:
            return
        self._events.append((now, CacheEvent(self._sequence, prefix, cached, tokens)))
