"""Sends the scheduler's orders to engines, commands to load weights, while it holds its lease.

An order counts as carried out only once the engine's own report shows the version.
"""

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger
from result import Err, Ok

from pumicedeck.clocks import TimerQueue
from pumicedeck.dialects import EngineReport, VersionOrder
from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.endpoint_callers import EndpointCaller
from pumicedeck.leases import LeaseHolder
from pumicedeck.request_limiters import RequestLimiter
from pumicedeck.scheduling.weight_plans import LoadVersion
from pumicedeck.tasks import sleep

_log = logger.bind(module="engine_orders")

_ACCEPTED_STATUSES = (200, 202)


@dataclass(frozen=True, slots=True)
class EngineOrderSettings:
    """Timing of orders to engines, in seconds.

    `answer_seconds` is the time-out of one request. The lease row must announce the order within
    `announce_seconds`, which is checked every `announce_poll_seconds`. After an accepted order the
    engine's report is first read after `first_poll_delay_seconds`, then every
    `poll_interval_seconds`. At an engine with a request limit each waits up to `permit_seconds` for
    a permit. The scheduler stops waiting after `load_timeout_seconds`; the next weight plan then
    decides again.
    """

    answer_seconds: float = 0.8
    announce_seconds: float = 1.0
    announce_poll_seconds: float = 0.01
    first_poll_delay_seconds: float = 0.93
    poll_interval_seconds: float = 0.2
    permit_seconds: float = 4.0
    load_timeout_seconds: float = 4.0


class EngineOrders:
    """Sends load orders to engines, one at a time to each engine.

    An order carries the sequence number that the engine reported last. The engine rejects an order
    with another number, so an order that arrives late has no second effect.
    """

    def __init__(
        self,
        timers: TimerQueue,
        caller: EndpointCaller,
        limiter: RequestLimiter,
        lease: LeaseHolder,
        announce: Callable[[str], None],
        holder: str,
        settings: EngineOrderSettings | None = None,
    ) -> None:
        """Send orders in the name of `holder`, only while `lease` is held and announces them.

        `announce` starts to announce orders to an engine in the lease's row. At an engine with a
        request limit each order and each report needs a permit of `limiter`.
        """
        self._timers = timers
        self._caller = caller
        self._limiter = limiter
        self._lease = lease
        self._announce = announce
        self._holder = holder
        self._settings = settings or EngineOrderSettings()
        self._sequences: dict[tuple[str, int], int] = {}

    async def load(
        self, endpoint: DirectEndpoint, load: LoadVersion, fencing: int, retain: bool
    ) -> EngineReport | None:
        """Order a version and return the engine's report once the load has ended.

        The report shows an older version if the load failed or the engine rejected the order. None
        means that the lease is not held, or that the engine did not report in time.
        """
        key = (endpoint.name, endpoint.incarnation)
        if key not in self._sequences:
            report = await self.report(endpoint)
            if report is None:
                return None
            self._sequences[key] = report.order_sequence
        sequence = self._sequences[key]
        order = VersionOrder(load.model, load.version, retain, self._holder, fencing, sequence)
        if not await self._acquire_permit(endpoint):
            return None
        if not await self._may_send(endpoint.name, fencing):
            return None
        deadline = self._timers.now() + self._settings.load_timeout_seconds
        request = self._caller.dialect.order(endpoint, order)
        outcome = await self._caller.send_request(request, endpoint, self._settings.answer_seconds)
        accepted = isinstance(outcome, Ok) and outcome.ok_value.status in _ACCEPTED_STATUSES
        _log.info(
            "weight load ordered",
            engine=endpoint.name,
            model=load.model,
            version=load.version,
            fencing=fencing,
            sequence=sequence,
            outcome=outcome.ok_value.status if isinstance(outcome, Ok) else "no answer",
        )
        if not accepted:
            # An earlier order may have been carried out late and have changed the engine's
            # sequence number; the next report has the current one.
            self._sequences.pop(key, None)
        if accepted:
            await sleep(self._timers, self._settings.first_poll_delay_seconds)
        while self._timers.now() < deadline:
            report = await self.report(endpoint)
            if report is not None:
                self._sequences[key] = report.order_sequence
                reached = report.version_of(load.model) >= load.version
                if reached or not (accepted or report.busy):
                    return report
                if not report.busy and accepted and report.order_sequence > sequence:
                    return report
            elif not accepted:
                return None
            await sleep(self._timers, self._settings.poll_interval_seconds)
        return None

    async def _may_send(self, engine: str, fencing: int) -> bool:
        """Wait until the lease row announces orders to an engine; return False if it does not.

        Also False once the lease was acquired again: an order with the fencing number before must
        not follow one with the new number.
        """
        deadline = self._timers.now() + self._settings.announce_seconds
        while not self._lease.may_order(self._timers.now(), engine):
            if self._timers.now() >= deadline or not self._lease.holds(self._timers.now()):
                return False
            self._announce(engine)
            await sleep(self._timers, self._settings.announce_poll_seconds)
        return self._lease.fencing == fencing

    async def _acquire_permit(self, endpoint: DirectEndpoint) -> bool:
        """Wait for a permit at an engine that names a request limit; return False if none comes."""
        return isinstance(await self._limiter.acquire(endpoint, self._settings.permit_seconds), Ok)

    async def report(self, endpoint: DirectEndpoint) -> EngineReport | None:
        """Return an engine's report of its state, None if it did not answer in time."""
        if not await self._acquire_permit(endpoint):
            return None
        request = self._caller.dialect.report_request(endpoint)
        outcome = await self._caller.send_request(request, endpoint, self._settings.answer_seconds)
        if isinstance(outcome, Err):
            return None
        return self._caller.dialect.report(outcome.ok_value)
