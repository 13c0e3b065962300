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
_LOST = Failure(ResultCode.ENDPOINT_FAILED, "the connection broke after the call was written")
_HEALTH_LOST = Failure(ResultCode.ENDPOINT_FAILED, "the health check was lost")
_LEDGER_CALLS = 1_000_000


@dataclass(frozen=True, slots=True)
class ExecutedCall:
    """A call that the service truly executed, at second `at`."""

    call: ServiceCall
    at: float


@adapter("PlainService", "standin")
class StandinService(StandIn, PlainService):
    """A service that answers with a digest of the call after `service_seconds`.

    `slots` calls run at once and the rest wait in order; 0 means no bound.
    """

    def __init__(
        self,
        timers: TimerQueue,
        faults: FaultSwitches | None = None,
        service_seconds: float = 0.0,
        slots: int = 0,
    ) -> None:
        """Execute calls and keep a ledger of them."""
        super().__init__(timers, faults)
        self.service_seconds = service_seconds
        self.leaving = False
        self.ledger: deque[ExecutedCall] = deque(maxlen=_LEDGER_CALLS)
        self._free_at = [0.0] * slots

    def call(self, call: ServiceCall, done: ResultCallback[ServiceReply]) -> None:
        """Make one call."""
        cost = self._wait() + self.service_seconds
        self._serve("call", lambda: self._execute(call), done, _REFUSED, _LOST, cost)

    def healthy(self, done: ResultCallback[bool]) -> None:
        """Ask whether the service takes calls; False means it is leaving."""
        self._serve("healthy", lambda: Ok(not self.leaving), done, _REFUSED, _HEALTH_LOST)

    def executions(self, request_id: str) -> int:
        """Return how often the service executed a request id."""
        return sum(1 for item in self.ledger if item.call.request_id == request_id)

    def _wait(self) -> float:
        if not self._free_at:
            return 0.0
        now = self._timers.now()
        slot = min(range(len(self._free_at)), key=self._free_at.__getitem__)
        start = max(now, self._free_at[slot])
        self._free_at[slot] = start + self.service_seconds
        return start - now

    def _execute(self, call: ServiceCall) -> Result[ServiceReply, Failure]:
        self.ledger.append(ExecutedCall(call, self._timers.now()))
        return Ok(ServiceReply(200, "application/json", expected_reply(call)))


def expected_reply(call: ServiceCall) -> bytes:
    """Return the body that answers this call and no other."""
    digest = hashlib.sha256(call.body).hexdigest()
    reply = {"request_id": call.request_id, "path": call.path, "body_sha256": digest}
    return json.dumps(reply, sort_keys=True).encode()
