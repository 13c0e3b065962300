"""Decides how a gateway that is asked to stop goes on to its end; free of I/O.

The load is callers with kept connections and a balancer that sends new ones for some seconds after
the gateway has become unready. A whole request that the gateway has read must be answered before
the process exits, and one that arrives too late must not reach an endpoint. Requests go on to come
while a long one keeps the gateway from its end; one that might outlast the drain is refused while
it has not run, since other gateways serve at once.
"""

from dataclasses import dataclass
from enum import Enum


class DrainPhase(Enum):
    """The phases of a drain.

    SERVING: requests are served, and each response closes its connection. CLOSING_IDLE: idle
    connections are closed; open calls are served, and so are requests that end before the drain
    does. REFUSING: no connection is accepted, and a request that still arrives is refused as not
    run. ENDED: nothing is read.
    """

    SERVING = "serving"
    CLOSING_IDLE = "closing idle connections"
    REFUSING = "refusing"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """Times in seconds.

    After a signal to stop, the balancer takes up to `balancer_notice_seconds` to send new
    connections elsewhere; the drain ends at most `max_seconds` after the signal. Requests that are
    on their way when the gateway stops taking them arrive within `last_requests_seconds`.
    """

    balancer_notice_seconds: float = 2.3
    max_seconds: float = 7.4
    last_requests_seconds: float = 0.3


def next_drain_phase(
    phase: DrainPhase,
    elapsed: float,
    phase_elapsed: float,
    open_calls: int,
    connections: int,
    times: DrainTimes,
) -> DrainPhase:
    """Return the phase that follows now, which may be the same.

    `elapsed` and `phase_elapsed` are the seconds since the signal and since the phase began,
    `open_calls` the requests that are incomplete or unanswered, `connections` those still open.
    """
    if phase is DrainPhase.SERVING and elapsed >= times.balancer_notice_seconds:
        return DrainPhase.CLOSING_IDLE
    if phase is DrainPhase.CLOSING_IDLE and (
        not open_calls or elapsed >= times.max_seconds - times.last_requests_seconds
    ):
        return DrainPhase.REFUSING
    if phase is DrainPhase.REFUSING and (
        not connections
        or elapsed >= times.max_seconds
        or (not open_calls and phase_elapsed >= times.last_requests_seconds)
    ):
        return DrainPhase.ENDED
    return phase


def may_begin_call(
    phase: DrainPhase, elapsed: float, longest_seconds: float, times: DrainTimes
) -> bool:
    """Return whether a request that may take up to `longest_seconds` is still served.

    `elapsed` is the seconds since the signal to stop. Until the balancer has noticed it, a refused
    caller may come back to this gateway, so all requests are served.
    """
    if phase is DrainPhase.SERVING:
        return True
    return phase is DrainPhase.CLOSING_IDLE and elapsed + longest_seconds <= times.max_seconds
