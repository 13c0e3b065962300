"""Carries out orders to engines under the scheduler's lease; reads back, never assumes."""

from dataclasses import dataclass

from loguru import logger
from result import Err, Ok

from pumicedeck.clocks import TimerQueue
from pumicedeck.dialects import EngineReport, VersionOrder
from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.endpoint_callers import EndpointCaller
from pumicedeck.leases import LeaseHolder
from pumicedeck.tasks import sleep
from pumicedeck.weight_plans import LoadVersion

_log = logger.bind(module="engine_orders")

_TAKEN_STATUSES = (200, 202)


@dataclass(frozen=True, slots=True)
class OrderSettings:
    """Times in seconds.

    A load is first asked after at `first_look_seconds`, then every `look_seconds`, and given up
    after `give_up_seconds`; the plan then decides again.
    """

    answer_seconds: float = 0.8
    first_look_seconds: float = 0.93
    look_seconds: float = 0.2
    give_up_seconds: float = 4.0


class EngineOrders:
    """Gives one order at a time to an engine."""

    def __init__(
        self,
        timers: TimerQueue,
        caller: EndpointCaller,
        lease: LeaseHolder,
        holder: str,
        settings: OrderSettings | None = None,
    ) -> None:
        """Order as `holder`, only while `lease` is held."""
        self._timers = timers
        self._caller = caller
        self._lease = lease
        self._holder = holder
        self._settings = settings or OrderSettings()
        self._sequences: dict[tuple[str, int], int] = {}

    async def load(
        self, endpoint: DirectEndpoint, load: LoadVersion, fencing: int, retain: bool
    ) -> EngineReport | None:
        """Order a version and wait until the engine reports it; None if it never did."""
        key = (endpoint.name, endpoint.incarnation)
        if key not in self._sequences:
            report = await self.report(endpoint)
            if report is None:
                return None
            self._sequences[key] = report.order_sequence
        sequence = self._sequences[key]
        order = VersionOrder(load.model, load.version, retain, self._holder, fencing, sequence)
        deadline = self._timers.now() + self._settings.give_up_seconds
        if not self._lease.holds(self._timers.now()):
            return None
        request = self._caller.dialect.order(endpoint, order)
        outcome = await self._caller.send_request(request, self._settings.answer_seconds)
        taken = isinstance(outcome, Ok) and outcome.ok_value.status in _TAKEN_STATUSES
        _log.info(
            "weight load ordered",
            engine=endpoint.name,
            model=load.model,
            version=load.version,
            fencing=fencing,
            sequence=sequence,
            outcome=outcome.ok_value.status if isinstance(outcome, Ok) else "no answer",
        )
        if not taken:
            # Another order may have been carried out late; the next report tells.
            self._sequences.pop(key, None)
        if taken:
            await sleep(self._timers, self._settings.first_look_seconds)
        while self._timers.now() < deadline:
            report = await self.report(endpoint)
            if report is not None:
                self._sequences[key] = report.order_sequence
                reached = report.version_of(load.model) >= load.version
                if reached or not (taken or report.busy):
                    return report
                if not report.busy and taken and report.order_sequence > sequence:
                    return report
            elif not taken:
                return None
            await sleep(self._timers, self._settings.look_seconds)
        return None

    async def report(self, endpoint: DirectEndpoint) -> EngineReport | None:
        """Ask an engine for its state."""
        request = self._caller.dialect.report_request(endpoint)
        outcome = await self._caller.send_request(request, self._settings.answer_seconds)
        if isinstance(outcome, Err):
            return None
        return self._caller.dialect.report(outcome.ok_value)
