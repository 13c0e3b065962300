"""Scores a complete output with the reward call that its submission specifies for the item."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from loguru import logger
from result import Err, Ok

from pumicedeck.call_limits import Outcome, RetrySettings
from pumicedeck.clocks import TimerQueue
from pumicedeck.dialects import ForwardedCall
from pumicedeck.endpoint_callers import EndpointCaller
from pumicedeck.endpoint_selections import EndpointSelector
from pumicedeck.results import Failure
from pumicedeck.route_tables import RouteTable, choose_pool
from pumicedeck.scheduling.item_runs import FAILED_STATUS
from pumicedeck.submissions import RewardCall
from pumicedeck.tasks import sleep

_log = logger.bind(module="reward_calls")

_MAX_CALL_SECONDS = 3.0
_RETRY_PAUSE_SECONDS = 0.1
_MAX_RETRY_PAUSE_SECONDS = 0.5
# Thousands of complete outputs may wait for a route at a time.
_ROUTE_CHECK_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class ScoreLimits:
    """How long an output's reward calls may go on.

    They end without a score when `until` has passed, in seconds on the process's clock, or after
    `max_errors` answers with status 500, or as many as the route's own `max_attempts` if that is
    more. `are_final` returns False while a newer configuration may raise the limits.
    """

    max_errors: int
    until: float
    are_final: Callable[[], bool] = lambda: True


class RewardCaller:
    """Sends reward calls; a failed call is repeated at other endpoints of the route's pool."""

    def __init__(
        self,
        timers: TimerQueue,
        caller: EndpointCaller,
        selector: EndpointSelector,
        random: Random,
        settings: RetrySettings | None = None,
    ) -> None:
        """Create a caller; `settings` determine how long an endpoint may stay silent."""
        self._timers = timers
        self._caller = caller
        self._selector = selector
        self._random = random
        self._settings = settings or RetrySettings()

    async def score(
        self,
        reward: RewardCall,
        routes: Callable[[], RouteTable | None],
        find_limits: Callable[[], ScoreLimits],
    ) -> str | None:
        """Return the signature of the scorer's answer, None if no call succeeded.

        `find_limits` returns the limits of the newest known configuration. Calls without an answer,
        or with another status than 500, are not counted. While no route matches, the call waits for
        one: operators remove a route and add it again.
        """
        errors = 0
        has_route = True
        tried: tuple[str, ...] = ()
        while True:
            limits = find_limits()
            if self._timers.now() >= limits.until:
                if limits.are_final():
                    return None
                await sleep(self._timers, _ROUTE_CHECK_SECONDS)
                continue
            table = routes()
            route = table and table.find(reward.host.lower(), reward.path.partition("?")[0])
            if route is None:
                if has_route:
                    _log.warning("no route matches reward call", request=reward.request_id)
                has_route = False
                await sleep(self._timers, _ROUTE_CHECK_SECONDS)
                continue
            if not has_route:
                has_route = True
                _log.info("a route matches reward call again", request=reward.request_id)
            if errors and errors >= max(limits.max_errors, route.max_attempts):
                if limits.are_final():
                    _log.info("reward call failed", request=reward.request_id, errors=errors)
                    return None
                await sleep(self._timers, _ROUTE_CHECK_SECONDS)
                continue
            pool = choose_pool(route, self._random, self._selector.has_endpoint)
            # Callers may reserve later permits, so at limited endpoints they go before this.
            selected = await self._selector.select(pool, tried, longest_wait=0.0)
            if isinstance(selected, Err):
                tried = ()
                await sleep(self._timers, _retry_pause_seconds(selected.err_value))
                continue
            endpoint = selected.ok_value
            call = ForwardedCall(
                reward.request_id, "POST", reward.path, reward.host, (), reward.body
            )
            seconds = min(_MAX_CALL_SECONDS, route.longest_wait)
            silence = self._settings.silence_limit(route, seconds, more_attempts=True)
            result = await self._caller.call(call, endpoint, seconds, silence)
            # Once all endpoints were tried, the next round over them begins.
            tried = (endpoint.name,) if endpoint.name in tried else (*tried, endpoint.name)
            if isinstance(result, Ok) and result.ok_value.answer.succeeded:
                return result.ok_value.answer.signature
            status = result.ok_value.answer.status if isinstance(result, Ok) else None
            if status == FAILED_STATUS:
                errors += 1
                continue
            detail = f"status {status}" if status is not None else result.err_value.detail
            _log.info(
                "attempt failed",
                request=reward.request_id,
                endpoint=endpoint.name,
                attempt=len(tried),
                outcome=Outcome.UNKNOWN.value,
                detail=detail,
            )
            # An answer comes at once, and the next one may be the same.
            pause = _RETRY_PAUSE_SECONDS if status is None else _MAX_RETRY_PAUSE_SECONDS
            await sleep(self._timers, pause)


def _retry_pause_seconds(failure: Failure) -> float:
    """Return the pause after which a reward call looks for an endpoint again."""
    pause = failure.retry_after or 0.0
    return min(_MAX_RETRY_PAUSE_SECONDS, max(_RETRY_PAUSE_SECONDS, pause))
