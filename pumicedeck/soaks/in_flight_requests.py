"""Tracks the requests in flight at each gateway, to find those that a drain broke; free of I/O."""

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """One request; if `fault_affected`, its loss may be due to a fault other than `drain`."""

    gateway_index: int
    fault_affected: bool = False
    drain: "Drain | None" = None


@dataclass(slots=True, eq=False)
class Drain:
    """A drain of a gateway, requested at second `started_at`, and how many requests it broke."""

    gateway_index: int
    started_at: float
    broken_requests: int = 0
    fault_affected: bool = False


class InFlightRequests:
    """Records for each request in flight which fault or drain of its gateway may break it.

    Gateways are identified by their index.
    """

    def __init__(self) -> None:
        """Create a tracker without requests."""
        self._in_flight: set[InFlightRequest] = set()
        self._active_faults: dict[int, int] = {}
        self._drains: dict[int, Drain] = {}

    def request_started(self, gateway_index: int) -> InFlightRequest:
        """Record a request that is sent to `gateway` now."""
        request = InFlightRequest(
            gateway_index, fault_affected=self._active_faults.get(gateway_index, 0) > 0
        )
        self._in_flight.add(request)
        return request

    def request_ended(self, request: InFlightRequest, answer_lost: bool) -> None:
        """Record the end of a request; `answer_lost` if it may have run but got no answer."""
        self._in_flight.discard(request)
        if answer_lost and request.drain is not None and not request.fault_affected:
            request.drain.broken_requests += 1

    def begin_fault(self, gateway_index: int) -> None:
        """Mark the gateway's drain and its requests until `end_fault` as affected by a fault."""
        self._active_faults[gateway_index] = self._active_faults.get(gateway_index, 0) + 1
        for request in self._in_flight:
            if request.gateway_index == gateway_index:
                request.fault_affected = True
        if gateway_index in self._drains:
            self._drains[gateway_index].fault_affected = True

    def end_fault(self, gateway_index: int) -> None:
        """Stop marking new requests of a gateway, unless another of its faults is still active."""
        self._active_faults[gateway_index] -= 1

    def begin_drain(self, gateway_index: int, now: float) -> Drain:
        """Record a drain, to which losses of the gateway's current requests are attributed."""
        drain = Drain(
            gateway_index, now, fault_affected=self._active_faults.get(gateway_index, 0) > 0
        )
        self._drains[gateway_index] = drain
        for request in self._in_flight:
            if request.gateway_index == gateway_index:
                request.drain = drain
        return drain

    def end_drain(self, gateway_index: int) -> Drain | None:
        """Remove and return the drain of a gateway that has exited, or None."""
        return self._drains.pop(gateway_index, None)
