"""Whether a request is tried again, and how long an endpoint may be silent; free of I/O.

Answers endpoints that are full, hang or crash: what may be repeated leaves a silent one in time
to be served elsewhere within its objective; what may not is repeated only after a proven "not run".
"""

from dataclasses import dataclass
from enum import StrEnum

from pumicedeck.route_tables import Route


class Outcome(StrEnum):
    """How an attempt ended."""

    SERVED = "served"
    ENDPOINT_ERROR = "endpoint error"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Step:
    """What to do after an attempt."""

    retry: bool = False
    relay: bool = False


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Times in seconds.

    An endpoint may be silent for `patience_share` of the objective, at least for
    `least_patience_seconds`, while another attempt is left. `return_seconds` is told to callers
    that no endpoint could take.
    """

    silence_limit_factor: float = 1.2
    min_silence_limit_seconds: float = 0.3
    min_attempt_seconds: float = 0.01
    retry_after_seconds: float = 0.3
    stream_silence_seconds: float = 1.0

    def silence_limit(self, route: Route, left: float, more_attempts: bool) -> float:
        """Return how long an endpoint may be silent."""
        if not (route.may_repeat and more_attempts):
            return left
        wanted = max(
            self.min_silence_limit_seconds, self.silence_limit_factor * route.latency_objective
        )
        return min(left, wanted)


def next_step(outcome: Outcome, attempts: int, route: Route, may_have_run: bool) -> Step:
    """Return what to do after `attempts` attempts, the last of which ended with `outcome`."""
    more = attempts < route.max_attempts
    if outcome is Outcome.SERVED:
        return Step(relay=True)
    if outcome is Outcome.ENDPOINT_ERROR:
        retry = more and route.may_repeat
        return Step(retry=retry, relay=not retry)
    if outcome is Outcome.NOT_RUN:
        return Step(retry=more and (route.may_repeat or not may_have_run))
    return Step(retry=more and route.may_repeat)
