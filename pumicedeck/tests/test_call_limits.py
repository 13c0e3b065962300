"""When a request is retried, and how long an endpoint may be silent."""

import pytest

from pumicedeck.call_limits import Outcome, RetrySettings, Step, next_step
from pumicedeck.route_tables import PoolShare, Route, RouteKind

IDEMPOTENT_ROUTE = Route(
    "r", "h", "/", RouteKind.IDEMPOTENT, (PoolShare("s"),), 1.5, 0.25, max_attempts=2
)
NON_IDEMPOTENT_ROUTE = Route(
    "r", "h", "/", RouteKind.NON_IDEMPOTENT, (PoolShare("s"),), 1.5, max_attempts=2
)


@pytest.mark.parametrize(
    ("route", "outcome", "attempts", "may_have_run", "step"),
    [
        (IDEMPOTENT_ROUTE, Outcome.SERVED, 1, False, Step(relay=True)),
        (IDEMPOTENT_ROUTE, Outcome.UNKNOWN, 1, True, Step(retry=True)),
        (IDEMPOTENT_ROUTE, Outcome.UNKNOWN, 2, True, Step()),
        (IDEMPOTENT_ROUTE, Outcome.ENDPOINT_ERROR, 1, True, Step(retry=True)),
        (IDEMPOTENT_ROUTE, Outcome.ENDPOINT_ERROR, 2, True, Step(relay=True)),
        (IDEMPOTENT_ROUTE, Outcome.NOT_RUN, 1, True, Step(retry=True)),
        (NON_IDEMPOTENT_ROUTE, Outcome.UNKNOWN, 1, True, Step()),
        (NON_IDEMPOTENT_ROUTE, Outcome.ENDPOINT_ERROR, 1, True, Step(relay=True)),
        (NON_IDEMPOTENT_ROUTE, Outcome.NOT_RUN, 1, False, Step(retry=True)),
        (NON_IDEMPOTENT_ROUTE, Outcome.NOT_RUN, 1, True, Step()),
        (NON_IDEMPOTENT_ROUTE, Outcome.NOT_RUN, 2, False, Step()),
    ],
)
def test_the_next_step(route, outcome, attempts, may_have_run, step):
    assert next_step(outcome, attempts, route, may_have_run) == step


def test_a_silent_endpoint_is_given_up_early_only_if_the_request_may_run_again():
    settings = RetrySettings()
    assert settings.silence_limit(IDEMPOTENT_ROUTE, 1.5, True) == pytest.approx(0.3)
    assert settings.silence_limit(IDEMPOTENT_ROUTE, 1.5, False) == 1.5
    assert settings.silence_limit(NON_IDEMPOTENT_ROUTE, 1.5, True) == 1.5
    assert settings.silence_limit(IDEMPOTENT_ROUTE, 0.1, True) == 0.1
