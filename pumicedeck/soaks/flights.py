"""Requests under way by gateway, so that a drain answers for those that it had; free of I/O."""

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """One request; a `spoiled` one may be lost by another fault, `drain` is set by its drain."""

    gateway: int
    fault_affected: bool = False
    drain: "Drain | None" = None


@dataclass(slots=True, eq=False)
class Drain:
    """A gateway that was asked to end at second `began`."""

    gateway: int
    began: float
    broken_requests: int = 0
    fault_affected: bool = False


class InFlightRequests:
    """Knows which requests a fault can have touched."""

    def __init__(self) -> None:
        """Begin with none."""
        self._open: set[InFlightRequest] = set()
        self._spoiling: dict[int, int] = {}
        self._drains: dict[int, Drain] = {}

    def request_started(self, gateway: int) -> InFlightRequest:
        """Note a request that is sent now."""
        flight = InFlightRequest(gateway, fault_affected=self._spoiling.get(gateway, 0) > 0)
        self._open.add(flight)
        return flight

    def request_ended(self, flight: InFlightRequest, lost: bool) -> None:
        """Note the end of a request; `lost` if its connection broke before the answer."""
        self._open.discard(flight)
        if lost and flight.drain is not None and not flight.fault_affected:
            flight.drain.broken_requests += 1

    def begin_fault(self, gateway: int) -> None:
        """Excuse all requests of a gateway until `end_fault`, and a drain under way."""
        self._spoiling[gateway] = self._spoiling.get(gateway, 0) + 1
        for flight in self._open:
            if flight.gateway == gateway:
                flight.fault_affected = True
        if gateway in self._drains:
            self._drains[gateway].fault_affected = True

    def end_fault(self, gateway: int) -> None:
        """Excuse new requests no more, unless another fault goes on."""
        self._spoiling[gateway] -= 1

    def begin_drain(self, gateway: int, now: float) -> Drain:
        """Make a drain answer for the requests that the gateway has."""
        drain = Drain(gateway, now, fault_affected=self._spoiling.get(gateway, 0) > 0)
        self._drains[gateway] = drain
        for flight in self._open:
            if flight.gateway == gateway:
                flight.drain = drain
        return drain

    def end_drain(self, gateway: int) -> Drain | None:
        """Return the drain of a gateway that has ended."""
        return self._drains.pop(gateway, None)
