"""When a request is retried, and how long an endpoint may be silent."""

import pytest

from pumicedeck.call_limits import Outcome, RetrySettings, Step, next_step
from pumicedeck.route_tables import PoolShare, Route, RouteKind

SAFE = Route("r", "h", "/", RouteKind.IDEMPOTENT, (PoolShare("s"),), 1.5, 0.25, max_attempts=2)
ONCE = Route("r", "h", "/", RouteKind.NON_IDEMPOTENT, (PoolShare("s"),), 1.5, max_attempts=2)


@pytest.mark.parametrize(
    ("route", "outcome", "attempts", "may_have_run", "step"),
    [
        (SAFE, Outcome.SERVED, 1, False, Step(relay=True)),
        (SAFE, Outcome.UNKNOWN, 1, True, Step(retry=True)),
        (SAFE, Outcome.UNKNOWN, 2, True, Step()),
        (SAFE, Outcome.ENDPOINT_ERROR, 1, True, Step(retry=True)),
        (SAFE, Outcome.ENDPOINT_ERROR, 2, True, Step(relay=True)),
        (SAFE, Outcome.NOT_RUN, 1, True, Step(retry=True)),
        (ONCE, Outcome.UNKNOWN, 1, True, Step()),
        (ONCE, Outcome.ENDPOINT_ERROR, 1, True, Step(relay=True)),
        (ONCE, Outcome.NOT_RUN, 1, False, Step(retry=True)),
        (ONCE, Outcome.NOT_RUN, 1, True, Step()),
        (ONCE, Outcome.NOT_RUN, 2, False, Step()),
    ],
)
def test_the_next_step(route, outcome, attempts, may_have_run, step):
    assert next_step(outcome, attempts, route, may_have_run) == step


def test_a_silent_endpoint_is_left_in_time_only_if_the_request_may_run_again():
    settings = RetrySettings()
    assert settings.silence_limit(SAFE, 1.5, True) == pytest.approx(0.3)
    assert settings.silence_limit(SAFE, 1.5, False) == 1.5
    assert settings.silence_limit(ONCE, 1.5, True) == 1.5
    assert settings.silence_limit(SAFE, 0.1, True) == 0.1
