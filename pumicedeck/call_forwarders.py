"""Forwards callers' requests to endpoints: chooses an endpoint, retries and relays the answer.

Handles endpoints that crash, hang, lose answers or refuse requests while callers wait: an
idempotent request is retried at another endpoint within its latency objective; any other request is
retried only when it is proven that it did not run.
"""

from dataclasses import replace
from random import Random

from pumicedeck.call_attempts import Attempts, CallAttempts
from pumicedeck.call_limits import next_step
from pumicedeck.clocks import TimerQueue
from pumicedeck.dialects import ForwardedCall
from pumicedeck.incoming_calls import IncomingCall
from pumicedeck.request_fingerprints import fingerprint_request
from pumicedeck.results import Failure
from pumicedeck.route_tables import Route, RouteKind, choose_pool
from pumicedeck.stream_records import StreamRecords
from pumicedeck.stream_relays import StreamRelay
from pumicedeck.tasks import spawn


class CallForwarder:
    """Forwards callers' requests to endpoints; refuses a request that no endpoint served."""

    def __init__(
        self,
        timers: TimerQueue,
        call_attempts: CallAttempts,
        records: StreamRecords,
        random: Random,
    ) -> None:
        """Forward calls by `call_attempts`; `random` chooses among the pools of a route.

        `records` has the software versions that began streams.
        """
        self._timers = timers
        self._call_attempts = call_attempts
        self._records = records
        self._settings = call_attempts.settings
        self._random = random

    def handle(self, incoming: IncomingCall, call: ForwardedCall, route: Route) -> None:
        """Forward a request; the work is cancelled when its caller disconnects."""
        if not self._settings.retries:
            route = replace(route, max_attempts=1)
        if route.kind is RouteKind.STREAM:
            relay = StreamRelay(self._call_attempts, self._records, incoming, call, route)
            coroutine = relay.run()
        else:
            coroutine = self._serve(incoming, call, route)
        task = spawn(
            coroutine, f"call {call.request_id}", lambda: self._call_attempts.fail(incoming, call)
        )
        incoming.on_caller_disconnected = task.cancel
        if incoming.is_ended:
            task.cancel()

    def fail(self, incoming: IncomingCall, call: ForwardedCall) -> None:
        """End a call whose task raised an exception."""
        self._call_attempts.fail(incoming, call)

    def deadline(self, incoming: IncomingCall, call: ForwardedCall, route: Route) -> float:
        """Return until when a call may take, in seconds of the clock."""
        return self._call_attempts.deadline(incoming, call, route)

    def refuse(
        self,
        incoming: IncomingCall,
        call: ForwardedCall,
        failure: Failure,
        retry_after: float | None,
    ) -> None:
        """Answer with a failure of the gateway; `retry_after` is in seconds."""
        self._call_attempts.refuse(incoming, call, failure, retry_after)

    async def _serve(self, incoming: IncomingCall, call: ForwardedCall, route: Route) -> None:
        call_attempts = self._call_attempts
        deadline = call_attempts.deadline(incoming, call, route)
        pool = choose_pool(route, self._random, call_attempts.has_endpoint)
        attempts = Attempts(fingerprint_request(call))
        while True:
            if not call_attempts.has_endpoint(pool):
                pool = choose_pool(route, self._random, call_attempts.has_endpoint)
            endpoint = await call_attempts.select_endpoint(
                pool, attempts, deadline - self._timers.now()
            )
            seconds_left = deadline - self._timers.now()
            if endpoint is None:
                timed_out = seconds_left <= self._settings.min_attempt_seconds
                call_attempts.refuse_unserved(incoming, call, attempts, timed_out)
                return
            attempts_left = len(attempts.tried) + 1 < route.max_attempts
            silence_seconds = self._settings.silence_limit(route, seconds_left, attempts_left)
            began_at = self._timers.now()
            result = await call_attempts.call(
                attempts, call, endpoint, seconds_left, silence_seconds
            )
            outcome = call_attempts.record_attempt(attempts, endpoint, call, result, began_at)
            step = next_step(outcome, len(attempts.tried), route, attempts.may_have_run)
            if step.relay:
                call_attempts.relay(incoming, call, result.ok_value)
                return
            if not step.retry:
                call_attempts.refuse_unserved(
                    incoming, call, attempts, timed_out=deadline <= self._timers.now()
                )
                return
