"""In-process stand-in for a plain service."""

import hashlib
import json
from collections import deque
from dataclasses import dataclass

from result import Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.faults import FaultSwitches, StandIn
from pumicedeck.platform_interfaces import (
    PlainService,
    ResultCallback,
    ServiceCall,
    ServiceReply,
    adapter,
)
from pumicedeck.results import Failure, ResultCode

_REFUSED = Failure(ResultCode.ENDPOINT_UNREACHABLE, "connection refused", proven_not_run=True)
_CALL_LOST = Failure(ResultCode.ENDPOINT_FAILED, "the connection broke after the call was written")
_HEALTH_LOST = Failure(ResultCode.ENDPOINT_FAILED, "the health check was lost")
_MAX_LEDGER_CALLS = 1_000_000


@dataclass(frozen=True, slots=True)
class ExecutedCall:
    """A call that the service executed at second `at`."""

    call: ServiceCall
    at: float


@adapter("PlainService", "standin")
class StandinService(StandIn, PlainService):
    """A service that answers with a digest of the call after `service_seconds`.

    Up to `slots` calls run at once and others wait in order of arrival; 0 means no limit.
    """

    def __init__(
        self,
        timers: TimerQueue,
        faults: FaultSwitches | None = None,
        service_seconds: float = 0.0,
        slots: int = 0,
    ) -> None:
        """Create a service with an empty ledger of executed calls."""
        super().__init__(timers, faults)
        self.service_seconds = service_seconds
        self.leaving = False
        self.ledger: deque[ExecutedCall] = deque(maxlen=_MAX_LEDGER_CALLS)
        self._slot_free_at = [0.0] * slots

    def call(self, call: ServiceCall, done: ResultCallback[ServiceReply]) -> None:
        """Execute one call once a slot is free."""
        work_seconds = self._reserve_slot() + self.service_seconds
        self._serve("call", lambda: self._execute(call), done, _REFUSED, _CALL_LOST, work_seconds)

    def healthy(self, done: ResultCallback[bool]) -> None:
        """Report whether the service accepts calls; False means that it is leaving."""
        self._serve("healthy", lambda: Ok(not self.leaving), done, _REFUSED, _HEALTH_LOST)

    def executions(self, request_id: str) -> int:
        """Return how many times the service executed a request id."""
        return sum(1 for item in self.ledger if item.call.request_id == request_id)

    def _reserve_slot(self) -> float:
        """Reserve the slot that is free first and return the seconds until then."""
        if not self._slot_free_at:
            return 0.0
        now = self._timers.now()
        slot = min(range(len(self._slot_free_at)), key=self._slot_free_at.__getitem__)
        start = max(now, self._slot_free_at[slot])
        self._slot_free_at[slot] = start + self.service_seconds
        return start - now

    def _execute(self, call: ServiceCall) -> Result[ServiceReply, Failure]:
        self.ledger.append(ExecutedCall(call, self._timers.now()))
        return Ok(ServiceReply(200, "application/json", expected_reply(call)))


def expected_reply(call: ServiceCall) -> bytes:
    """Return the reply body, which differs for every distinct call."""
    digest = hashlib.sha256(call.body).hexdigest()
    reply = {"request_id": call.request_id, "path": call.path, "body_sha256": digest}
    return json.dumps(reply, sort_keys=True).encode()
