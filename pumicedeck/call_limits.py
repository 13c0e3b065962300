"""Retry rules for forwarded requests and limits on an endpoint's silence; performs no I/O.

Handles endpoints that are full, hang or crash: an idempotent request gives up a silent endpoint
early enough to be served by another one within its latency objective; any other request is retried
only when the endpoint has proven that it did not run.
"""

from dataclasses import dataclass
from enum import StrEnum

from pumicedeck.route_tables import Route


class Outcome(StrEnum):
    """How an attempt at an endpoint ended."""

    SERVED = "served"
    ENDPOINT_ERROR = "endpoint error"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Step:
    """What to do after an attempt: retry it, relay its answer, or neither (refuse the request)."""

    retry: bool = False
    relay: bool = False


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits on attempts; times are in seconds. Without `retries` each call has one attempt.

    While another attempt is left, an endpoint may be silent for `silence_limit_factor` times the
    latency objective, but at least for `min_silence_limit_seconds`. No attempt is started with
    `min_attempt_seconds` or less left. `retry_after_seconds` is sent to callers that no endpoint
    could serve. A resumable stream is given up at an endpoint that sends nothing for
    `stream_silence_seconds`. A stream that goes on waits up to `resume_wait_seconds` for a free
    slot at its software version, and asks again every `resume_retry_seconds`. An endpoint that may
    have restarted with other software is asked first, for up to `restart_question_seconds`.
    """

    silence_limit_factor: float = 1.2
    min_silence_limit_seconds: float = 0.3
    min_attempt_seconds: float = 0.01
    retry_after_seconds: float = 0.3
    stream_silence_seconds: float = 1.0
    resume_wait_seconds: float = 1.0
    resume_retry_seconds: float = 0.1
    restart_question_seconds: float = 0.4
    retries: bool = True

    def silence_limit(self, route: Route, seconds_left: float, more_attempts: bool) -> float:
        """Return how many seconds an endpoint may be silent with `seconds_left` for the request."""
        if not (route.may_repeat and more_attempts):
            return seconds_left
        limit = max(
            self.min_silence_limit_seconds, self.silence_limit_factor * route.latency_objective
        )
        return min(seconds_left, limit)


def next_step(outcome: Outcome, attempts: int, route: Route, may_have_run: bool) -> Step:
    """Return what to do after `attempts` attempts, the last of which ended with `outcome`.

    `may_have_run` says that one of the attempts may have run the request.
    """
    attempts_left = attempts < route.max_attempts
    if outcome is Outcome.SERVED:
        return Step(relay=True)
    if outcome is Outcome.ENDPOINT_ERROR:
        retry = attempts_left and route.may_repeat
        return Step(retry=retry, relay=not retry)
    if outcome is Outcome.NOT_RUN:
        return Step(retry=attempts_left and (route.may_repeat or not may_have_run))
    return Step(retry=attempts_left and route.may_repeat)
