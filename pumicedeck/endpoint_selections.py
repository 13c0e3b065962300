"""Selects the endpoint for a call; acquires a permit if that endpoint names a request limit."""

from collections.abc import Callable
from math import inf

from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory, EndpointState
from pumicedeck.request_limiters import RequestLimiter
from pumicedeck.results import Failure, ResultCode

_NO_ENDPOINT = Failure(ResultCode.NO_ENDPOINT, "no endpoint available or no time left")


class EndpointSelector:
    """Selects endpoints for the calls of one gateway."""

    def __init__(
        self, timers: TimerQueue, directory: EndpointDirectory, limiter: RequestLimiter
    ) -> None:
        """Select from `directory`; `limiter` issues permits for endpoints with a request limit."""
        self._timers = timers
        self._directory = directory
        self._limiter = limiter

    async def select(
        self,
        pool: str,
        tried: tuple[str, ...],
        longest_wait: float,
        may_use: Callable[[DirectEndpoint], bool] = lambda endpoint: True,
    ) -> Result[DirectEndpoint, Failure]:
        """Return the best endpoint of a pool at which a request may start now.

        Only endpoints that `may_use` allows are selected, those in `tried` only if there are no
        others. While an endpoint without a
        request limit is left, no time is spent on waiting for a permit; otherwise up to
        `longest_wait` seconds. Fails with NO_ENDPOINT or, if all permits are later, with OVERLOADED
        and the seconds until the first.
        """
        denied: tuple[str, ...] = ()
        retry_after = inf
        until = self._timers.now() + longest_wait
        while True:
            state = self._choose(pool, tried, denied, may_use)
            if state is None:
                return Err(_refusal(retry_after))
            endpoint = state.endpoint
            may_wait = not self._has_unlimited(pool, tried + denied, may_use)
            wait = max(0.0, until - self._timers.now()) if may_wait else 0.0
            acquired = await self._limiter.acquire(endpoint, wait)
            if isinstance(acquired, Ok) and self._accepts(endpoint):
                return Ok(endpoint)
            if isinstance(acquired, Err):
                retry_after = min(retry_after, acquired.err_value.retry_after)
            denied += (endpoint.name,)

    def has_endpoint(
        self, pool: str, may_use: Callable[[DirectEndpoint], bool] = lambda endpoint: True
    ) -> bool:
        """Return whether `may_use` allows an endpoint of a pool that does not drain."""
        return self._directory.has_accepting(pool, lambda state: may_use(state.endpoint))

    def _choose(
        self,
        pool: str,
        tried: tuple[str, ...],
        denied: tuple[str, ...],
        may_use: Callable[[DirectEndpoint], bool],
    ) -> EndpointState | None:
        now = self._timers.now()
        wait = self._limiter.expected_wait
        untried = self._directory.choose(pool, tried + denied, now, wait, may_use)
        return untried or self._directory.choose(pool, denied, now, wait, may_use)

    def _has_unlimited(
        self, pool: str, excluded: tuple[str, ...], may_use: Callable[[DirectEndpoint], bool]
    ) -> bool:
        return self._directory.has_accepting(
            pool,
            lambda state: state.request_limit is None
            and state.endpoint.name not in excluded
            and may_use(state.endpoint),
        )

    def _accepts(self, endpoint: DirectEndpoint) -> bool:
        """Return whether an endpoint neither left nor restarted during the wait for a permit."""
        state = self._directory.state(endpoint.name)
        return (
            state is not None
            and not state.endpoint.draining
            and state.endpoint.incarnation == endpoint.incarnation
        )


def _refusal(retry_after: float) -> Failure:
    if retry_after == inf:
        return _NO_ENDPOINT
    return Failure(
        ResultCode.OVERLOADED,
        "every endpoint of the pool is at the request limit that it named",
        retry_after,
        proven_not_run=True,
    )
