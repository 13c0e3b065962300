"""Takes turns at engines that name a request limit, ahead of the items that use them."""

from collections.abc import Callable

from result import Ok

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.tasks import spawn
from pumicedeck.turn_takers import TurnTaker

# A turn that no item has used by then is lost, so that turns do not add up to a burst.
TURN_LIFETIME_SECONDS = 0.5


class EngineTurns:
    """Holds at most one turn for each engine with a request limit."""

    def __init__(
        self,
        timers: TimerQueue,
        directory: EndpointDirectory,
        turns: TurnTaker,
        on_taken: Callable[[], None],
    ) -> None:
        """Call `on_taken` whenever a turn that was requested has come."""
        self._timers = timers
        self._directory = directory
        self._turns = turns
        self._on_taken = on_taken
        self._taken_at: dict[str, float] = {}
        self._requested: set[str] = set()

    def free_slots(self, engine: str, free_slots: int) -> int:
        """Return how many of its free slots an engine's request limit lets items use now."""
        if self._directory.request_limit(engine) is None:
            return free_slots
        taken_at = self._taken_at.get(engine)
        if taken_at is not None and self._timers.now() - taken_at > TURN_LIFETIME_SECONDS:
            del self._taken_at[engine]
            taken_at = None
        return min(free_slots, 0 if taken_at is None else 1)

    def use(self, engine: str) -> None:
        """Give up the turn that an item uses."""
        self._taken_at.pop(engine, None)

    def request(self, endpoint: DirectEndpoint) -> None:
        """Take a turn at an engine unless it has no limit or a turn is held or requested."""
        name = endpoint.name
        if self._directory.request_limit(name) is None:
            self._turns.release_row(name)
            return
        if name in self._taken_at or name in self._requested:
            return
        if self._turns.expected_wait(name) > 0:
            return
        self._requested.add(name)
        spawn(self._take(endpoint), f"turn at {name}")

    async def _take(self, endpoint: DirectEndpoint) -> None:
        taken = await self._turns.take(endpoint, 0.0)
        self._requested.discard(endpoint.name)
        if isinstance(taken, Ok):
            self._taken_at[endpoint.name] = self._timers.now()
            self._on_taken()
