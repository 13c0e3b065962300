"""Acquires permits for engines that name a request limit, ahead of the items that use them."""

from collections.abc import Callable

from result import Ok

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.request_limiters import RequestLimiter
from pumicedeck.tasks import spawn

# A permit that no item has used by then expires, so that permits do not add up to a burst.
PERMIT_LIFETIME_SECONDS = 0.5


class EnginePermits:
    """Holds at most one permit for each engine with a request limit."""

    def __init__(
        self,
        timers: TimerQueue,
        directory: EndpointDirectory,
        limiter: RequestLimiter,
        on_acquired: Callable[[], None],
    ) -> None:
        """Call `on_acquired` whenever a requested permit was acquired."""
        self._timers = timers
        self._directory = directory
        self._limiter = limiter
        self._on_acquired = on_acquired
        self._acquired_at: dict[str, float] = {}
        self._requested: set[str] = set()

    def free_slots(self, engine: str, free_slots: int) -> int:
        """Return how many of its free slots an engine's request limit lets items use now."""
        if self._directory.request_limit(engine) is None:
            return free_slots
        acquired_at = self._acquired_at.get(engine)
        if acquired_at is not None and self._timers.now() - acquired_at > PERMIT_LIFETIME_SECONDS:
            del self._acquired_at[engine]
            acquired_at = None
        return min(free_slots, 0 if acquired_at is None else 1)

    def use(self, engine: str) -> None:
        """Give up the permit that an item uses."""
        self._acquired_at.pop(engine, None)

    def request(self, endpoint: DirectEndpoint) -> None:
        """Acquire a permit for an engine unless it has no limit or one is held or requested."""
        name = endpoint.name
        if self._directory.request_limit(name) is None:
            self._limiter.release_row(name)
            return
        if name in self._acquired_at or name in self._requested:
            return
        if self._limiter.expected_wait(name) > 0:
            return
        self._requested.add(name)
        spawn(self._acquire(endpoint), f"permit at {name}")

    async def _acquire(self, endpoint: DirectEndpoint) -> None:
        acquired = await self._limiter.acquire(endpoint, 0.0)
        self._requested.discard(endpoint.name)
        if isinstance(acquired, Ok):
            self._acquired_at[endpoint.name] = self._timers.now()
            self._on_acquired()
