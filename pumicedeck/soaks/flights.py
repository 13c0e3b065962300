"""Requests under way by gateway, so that a drain answers for those that it had; free of I/O."""

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Flight:
    """One request; a `spoiled` one may be lost by another fault, `drain` is set by its drain."""

    gateway: int
    spoiled: bool = False
    drain: "Drain | None" = None


@dataclass(slots=True, eq=False)
class Drain:
    """A gateway that was asked to end at second `began`."""

    gateway: int
    began: float
    cut: int = 0
    spoiled: bool = False


class Flights:
    """Knows which requests a fault can have touched."""

    def __init__(self) -> None:
        """Begin with none."""
        self._open: set[Flight] = set()
        self._spoiling: dict[int, int] = {}
        self._drains: dict[int, Drain] = {}

    def begin(self, gateway: int) -> Flight:
        """Note a request that is sent now."""
        flight = Flight(gateway, spoiled=self._spoiling.get(gateway, 0) > 0)
        self._open.add(flight)
        return flight

    def end(self, flight: Flight, lost: bool) -> None:
        """Note the end of a request; `lost` if its connection broke before the answer."""
        self._open.discard(flight)
        if lost and flight.drain is not None and not flight.spoiled:
            flight.drain.cut += 1

    def begin_fault(self, gateway: int) -> None:
        """Excuse all requests of a gateway until `end_fault`, and a drain under way."""
        self._spoiling[gateway] = self._spoiling.get(gateway, 0) + 1
        for flight in self._open:
            if flight.gateway == gateway:
                flight.spoiled = True
        if gateway in self._drains:
            self._drains[gateway].spoiled = True

    def end_fault(self, gateway: int) -> None:
        """Excuse new requests no more, unless another fault goes on."""
        self._spoiling[gateway] -= 1

    def begin_drain(self, gateway: int, now: float) -> Drain:
        """Make a drain answer for the requests that the gateway has."""
        drain = Drain(gateway, now, spoiled=self._spoiling.get(gateway, 0) > 0)
        self._drains[gateway] = drain
        for flight in self._open:
            if flight.gateway == gateway:
                flight.drain = drain
        return drain

    def end_drain(self, gateway: int) -> Drain | None:
        """Return the drain of a gateway that has ended."""
        return self._drains.pop(gateway, None)
