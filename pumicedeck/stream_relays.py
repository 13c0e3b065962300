"""Relays streams of events to callers.

Handles endpoints that crash or fall silent in the middle of a stream, also during a release: a
resumable stream goes on after its last event at another endpoint that runs the same software
version.
"""

from dataclasses import replace
from random import Random

from loguru import logger
from result import Result

from pumicedeck.call_attempts import Attempts, CallAttempts
from pumicedeck.call_limits import Outcome, next_step
from pumicedeck.dialects import AnswerHead, ForwardedCall
from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.endpoint_callers import CompleteAnswer
from pumicedeck.event_streams import EventSplitter
from pumicedeck.http_messages import HttpResponse
from pumicedeck.incoming_calls import IncomingCall
from pumicedeck.request_fingerprints import fingerprint_request
from pumicedeck.results import Failure
from pumicedeck.route_tables import Route, choose_pool

_log = logger.bind(module="stream_relays")

_EVENT_SEPARATOR = b"\n\n"


class StreamRelay:
    """Relays one stream; a resumable one continues at another endpoint after its last event."""

    def __init__(
        self,
        call_attempts: CallAttempts,
        incoming: IncomingCall,
        call: ForwardedCall,
        route: Route,
        random: Random,
    ) -> None:
        """Relay the answer to `call`; `random` chooses the pool of a route that has several."""
        self._call_attempts = call_attempts
        self._random = random
        self._incoming = incoming
        self._call = call
        self._route = route
        self._last_event_number = call.resume_after
        self._event_splitter = EventSplitter()
        self._has_sequence_gap = False
        # The software version of what the caller has received, None while that is nothing.
        self._software: str | None = None

    async def run(self) -> None:
        """Relay until the stream is complete or can no longer be completed."""
        call_attempts, route = self._call_attempts, self._route
        deadline = call_attempts.deadline(self._incoming, self._call, route)
        pool = choose_pool(route, self._random)
        attempts = Attempts(fingerprint_request(self._call))
        while True:
            endpoint = await call_attempts.select_endpoint(
                pool, attempts, deadline - call_attempts.timers.now(), self._may_use
            )
            seconds_left = deadline - call_attempts.timers.now()
            if endpoint is None:
                timed_out = seconds_left <= call_attempts.settings.min_attempt_seconds
                self._fail(attempts, timed_out)
                return
            began_at = call_attempts.timers.now()
            result = await self._attempt(endpoint, seconds_left)
            outcome = call_attempts.record_attempt(attempts, endpoint, self._call, result, began_at)
            if self._incoming.is_head_sent and outcome is Outcome.SERVED and self._is_complete():
                self._incoming.finish()
                return
            if outcome is Outcome.SERVED and not self._incoming.is_head_sent:
                call_attempts.relay(self._incoming, self._call, result.ok_value)
                return
            step = next_step(outcome, len(attempts.tried), route, attempts.may_have_run)
            if not self._may_retry(step.retry, attempts):
                self._fail(attempts, timed_out=deadline <= call_attempts.timers.now())
                return

    def _may_use(self, endpoint: DirectEndpoint) -> bool:
        """Return whether the stream may begin or go on at an endpoint."""
        return self._software in (None, endpoint.software_version)

    def _is_complete(self) -> bool:
        splitter = self._event_splitter
        if splitter.has_overflowed or splitter.has_partial_event:
            return False
        return not self._has_sequence_gap

    def _may_retry(self, retry: bool, attempts: Attempts) -> bool:
        attempts_remain = len(attempts.tried) < self._route.max_attempts
        if self._route.resumable:
            return attempts_remain
        return retry and not self._incoming.is_head_sent

    async def _attempt(
        self, endpoint: DirectEndpoint, seconds_left: float
    ) -> Result[CompleteAnswer, Failure]:
        self._event_splitter = EventSplitter()
        self._has_sequence_gap = False
        call = replace(self._call, resume_after=self._last_event_number)
        if call.resume_after:
            _log.info(
                "stream resumed",
                request=call.request_id,
                stream=call.stream_id,
                endpoint=endpoint.name,
                software=endpoint.software_version,
                after_event=call.resume_after,
            )
        silence_seconds = seconds_left
        if self._route.resumable:
            silence_seconds = min(seconds_left, self._call_attempts.settings.stream_silence_seconds)

        def on_head(response: HttpResponse, answer: AnswerHead) -> None:
            if answer.signature and not answer.not_run:
                # A stream that is resumed at another endpoint keeps the head of the first one.
                self._software = endpoint.software_version
                self._call_attempts.send_stream_head(self._incoming, self._call, response)

        return await self._call_attempts.endpoint_caller.call(
            call, endpoint, seconds_left, silence_seconds, on_head, self._on_bytes
        )

    def _on_bytes(self, data: bytes) -> None:
        for event_bytes in self._event_splitter.feed(data):
            event = self._call_attempts.endpoint_caller.dialect.event(event_bytes)
            if self._has_sequence_gap:
                return
            if event is not None:
                if self._last_event_number is not None and event.number <= self._last_event_number:
                    continue
                if (
                    self._last_event_number is not None
                    and event.number != self._last_event_number + 1
                ):
                    self._has_sequence_gap = True
                    return
                self._last_event_number = event.number
            self._incoming.write(event_bytes + _EVENT_SEPARATOR)

    def _fail(self, attempts: Attempts, timed_out: bool) -> None:
        if self._incoming.is_head_sent:
            _log.info(
                "stream broken",
                request=self._call.request_id,
                last_event=self._last_event_number,
                detail=attempts.last_failure.detail if attempts.last_failure else "",
            )
            self._incoming.abort()
            return
        self._call_attempts.refuse_unserved(self._incoming, self._call, attempts, timed_out)
