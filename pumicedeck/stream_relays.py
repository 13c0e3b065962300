"""Relays streams of events to callers.

Handles endpoints that crash or fall silent in the middle of a stream, also during a release: a
resumable stream goes on after its last event at another endpoint that runs the same software
version, within its answer or when its caller resumes it at any gateway.
"""

from collections.abc import Callable
from dataclasses import replace
from random import Random

from loguru import logger
from result import Ok, Result

from pumicedeck.call_attempts import Attempts, CallAttempts
from pumicedeck.call_limits import Outcome, next_step
from pumicedeck.dialects import AnswerHead, ForwardedCall
from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.endpoint_callers import CompleteAnswer
from pumicedeck.event_streams import EventSplitter, has_fields_only, is_comment
from pumicedeck.http_messages import HttpResponse
from pumicedeck.incoming_calls import IncomingCall
from pumicedeck.request_fingerprints import fingerprint_request
from pumicedeck.results import Failure, ResultCode
from pumicedeck.route_tables import Route, choose_pool
from pumicedeck.stream_origins import StreamOrigin
from pumicedeck.stream_records import StreamRecords
from pumicedeck.tasks import sleep

_log = logger.bind(module="stream_relays")

_EVENT_SEPARATOR = b"\n\n"


class StreamRelay:
    """Relays one stream; a resumable one continues at another endpoint after its last event."""

    def __init__(
        self,
        call_attempts: CallAttempts,
        records: StreamRecords,
        incoming: IncomingCall,
        call: ForwardedCall,
        route: Route,
    ) -> None:
        """Relay the answer to `call`; `records` has the software versions that began streams."""
        self._call_attempts = call_attempts
        self._records = records
        self._timers = call_attempts.timers
        self._settings = call_attempts.settings
        self._incoming = incoming
        self._call = call
        self._route = route
        self._is_resumed = bool(call.resume_after) and route.resumable
        stream_id = call.stream_id if self._is_resumed else call.request_id
        self._stream_id = stream_id
        # All gateways must choose the same pool for a resumable stream, whatever they know of it.
        is_available = (lambda pool: True) if route.resumable else call_attempts.has_endpoint
        self._pool = choose_pool(route, Random(stream_id or None), is_available)
        self._origin = StreamOrigin(records, self._timers, stream_id, self._pool)
        self._deadline = call_attempts.deadline(incoming, call, route)
        self._attempts = Attempts(fingerprint_request(call))
        self._runs = 0
        self._waits_until = self._timers.now() + self._settings.resume_wait_seconds
        self._last_event_number = call.resume_after
        self._event_splitter = EventSplitter()
        self._has_sequence_gap = False
        # Whether the caller has events without a number, after which no other endpoint can go on.
        self._has_unnumbered_events = False
        # The software version of what the caller has received, None while that is nothing.
        self._software: str | None = None

    async def run(self) -> None:
        """Relay until the stream is complete or can no longer be completed."""
        if self._is_resumed and not await self._find_software():
            return
        while True:
            endpoint = await self._choose_endpoint()
            seconds_left = self._deadline - self._timers.now()
            if endpoint is None:
                self._fail(timed_out=seconds_left <= self._settings.min_attempt_seconds)
                return
            began_at = self._timers.now()
            result = await self._attempt(endpoint, seconds_left)
            outcome = self._call_attempts.record_attempt(
                self._attempts, endpoint, self._call, result, began_at
            )
            if outcome is Outcome.SERVED and not self._incoming.is_head_sent:
                self._call_attempts.relay(self._incoming, self._call, result.ok_value)
                return
            if outcome is Outcome.SERVED:
                if self._is_end_of_stream(result.ok_value):
                    self._incoming.finish()
                    return
                outcome = self._record_not_continued(endpoint, result.ok_value)
            if not await self._may_retry(outcome):
                self._fail(timed_out=self._deadline <= self._timers.now())
                return

    async def _find_software(self) -> bool:
        """Find the version that began a resumed stream; refuse the stream if nobody knows it."""
        found = await self._records.find(self._stream_id, self._pool)
        if isinstance(found, Ok):
            self._software = found.ok_value
            return True
        failure = found.err_value
        retry_after = failure.retry_after
        if retry_after is None:
            retry_after = self._settings.retry_after_seconds
        self._call_attempts.refuse(self._incoming, self._call, failure, retry_after)
        return False

    async def _choose_endpoint(self) -> DirectEndpoint | None:
        """Return an endpoint at which the stream may begin or go on, None if there is none."""
        if self._software is not None:
            has_several = self._records.has_several(self._pool)
            return await self._select_unchanged(self._runs_software(self._software), has_several)
        if not self._route.resumable:
            return await self._select(lambda endpoint: True)
        endpoint = await self._select_beginning()
        if endpoint is None:
            return None
        recorded = await self._origin.record(endpoint.software_version)
        if isinstance(recorded, Ok):
            return endpoint
        _log.warning(
            "stream version not recorded",
            **self._call.log_fields,
            software=endpoint.software_version,
            detail=recorded.err_value.detail,
        )
        self._attempts.last_failure = replace(recorded.err_value, proven_not_run=True)
        if self._origin.is_uncertain:
            return None
        if self._records.may_omit_record(self._pool):
            return endpoint
        return await self._select_unchanged(
            lambda each: self._records.is_base(self._pool, each.software_version)
        )

    async def _select_unchanged(
        self, may_use: Callable[[DirectEndpoint], bool], asks_all: bool = False
    ) -> DirectEndpoint | None:
        """Return an endpoint that has not restarted since it registered.

        With `asks_all` each endpoint is asked, else those that may have restarted.

        An endpoint may come back under its name with other software, and accept requests before its
        new registration is known here.
        """
        restarted: set[tuple[str, int]] = set()

        def is_unchanged(each: DirectEndpoint) -> bool:
            return may_use(each) and (each.name, each.incarnation) not in restarted

        caller = self._call_attempts.endpoint_caller
        while True:
            endpoint = await self._select(is_unchanged)
            if endpoint is None:
                return None
            is_suspect = asks_all or caller.may_have_restarted(endpoint)
            seconds = self._confirmation_seconds(endpoint)
            if seconds is None or not is_suspect:
                return endpoint
            if not await caller.has_restarted(endpoint, seconds):
                return endpoint
            restarted.add((endpoint.name, endpoint.incarnation))
            _log.info(
                "endpoint has restarted; the stream does not go to it",
                **self._call.log_fields,
                endpoint=endpoint.name,
                software=endpoint.software_version,
            )

    async def _select_beginning(self) -> DirectEndpoint | None:
        """Return an endpoint at which the stream may begin.

        One of the recorded version comes first, since another one needs another record. Versions
        that other gateways may not know of yet come last.
        """

        def may_begin(each: DirectEndpoint) -> bool:
            return self._records.may_begin(self._pool, each.software_version)

        for may_use in (self._runs_software(self._origin.recorded_version), may_begin):
            if self._call_attempts.has_endpoint(self._pool, may_use):
                endpoint = await self._select_unchanged(may_use)
                if endpoint is not None:
                    return endpoint
        return await self._select_unchanged(lambda endpoint: True)

    async def _select(self, may_use: Callable[[DirectEndpoint], bool]) -> DirectEndpoint | None:
        seconds_left = self._deadline - self._timers.now()
        return await self._call_attempts.select_endpoint(
            self._pool, self._attempts, seconds_left, may_use
        )

    def _runs_software(self, version: str) -> Callable[[DirectEndpoint], bool]:
        return lambda endpoint: endpoint.software_version == version

    def _is_end_of_stream(self, complete_answer: CompleteAnswer) -> bool:
        """Return whether an answer is a stream, or the rest of one, up to its end."""
        splitter = self._event_splitter
        if splitter.has_overflowed or splitter.has_partial_event or self._has_sequence_gap:
            return False
        return complete_answer.answer.succeeded

    def _record_not_continued(
        self, endpoint: DirectEndpoint, complete_answer: CompleteAnswer
    ) -> Outcome:
        """Record an answer with which a stream that has begun does not go on."""
        status = complete_answer.answer.status
        detail = f"{endpoint.name} answered {status} without the rest of the stream"
        self._attempts.last_failure = Failure(ResultCode.ENDPOINT_FAILED, detail)
        _log.info(
            "stream not continued",
            **self._call.log_fields,
            endpoint=endpoint.name,
            status=status,
            after_event=self._last_event_number,
        )
        return Outcome.ENDPOINT_ERROR

    async def _may_retry(self, outcome: Outcome) -> bool:
        """Return whether to make another attempt, after a pause if no slot is free."""
        if outcome is not Outcome.NOT_RUN:
            self._runs += 1
            self._waits_until = self._timers.now() + self._settings.resume_wait_seconds
        if not self._route.resumable:
            step = next_step(
                outcome, len(self._attempts.tried), self._route, self._attempts.may_have_run
            )
            return step.retry and not self._incoming.is_head_sent
        if self._has_unnumbered_events:
            return False
        if self._software is None:
            return len(self._attempts.tried) < self._route.max_attempts
        if outcome is not Outcome.NOT_RUN:
            return self._runs < self._route.max_attempts
        return await self._wait_for_slot()

    async def _wait_for_slot(self) -> bool:
        """Return whether to ask the endpoints of the stream's version once more.

        Only they can serve it, so that refusals do not count as attempts.
        """
        if self._runs >= self._route.max_attempts or self._timers.now() >= self._waits_until:
            return False
        if len(self._attempts.tried) != len(set(self._attempts.tried)):
            await sleep(self._timers, self._settings.resume_retry_seconds)
        return True

    async def _attempt(
        self, endpoint: DirectEndpoint, seconds_left: float
    ) -> Result[CompleteAnswer, Failure]:
        self._event_splitter = EventSplitter()
        self._has_sequence_gap = False
        call = replace(self._call, resume_after=self._last_event_number)
        if call.resume_after:
            _log.info(
                "stream resumed",
                **call.log_fields,
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
                if self._route.resumable:
                    self._records.remember(self._stream_id, endpoint.software_version)
                self._call_attempts.send_stream_head(self._incoming, self._call, response)

        return await self._call_attempts.call(
            self._attempts,
            call,
            endpoint,
            seconds_left,
            silence_seconds,
            on_head,
            self._on_bytes,
            confirmation_seconds=self._confirmation_seconds(endpoint),
        )

    def _confirmation_seconds(self, endpoint: DirectEndpoint) -> float | None:
        """Return how long an endpoint may take to confirm its incarnation, None if none counts."""
        if not self._route.resumable or not endpoint.software_version:
            return None
        return self._settings.restart_question_seconds

    def _on_bytes(self, data: bytes) -> None:
        for event_bytes in self._event_splitter.feed(data):
            if self._has_sequence_gap:
                return
            if self._may_relay(event_bytes):
                self._incoming.write(event_bytes + _EVENT_SEPARATOR)

    def _may_relay(self, event_bytes: bytes) -> bool:
        """Return whether a part of a stream follows what the caller has; note a gap if not.

        Events that the caller has already are left out. In a stream that other endpoints may go
        on with, events have numbers, so that a part without one is no event of it.
        """
        event = self._call_attempts.endpoint_caller.dialect.event(event_bytes)
        last_number = self._last_event_number
        if self._route.resumable and not has_fields_only(event_bytes):
            self._has_sequence_gap = True
        elif event is not None:
            if last_number is not None and event.number <= last_number:
                return False
            self._has_sequence_gap = last_number is not None and event.number != last_number + 1
            if not self._has_sequence_gap:
                self._last_event_number = event.number
        elif self._route.resumable and not is_comment(event_bytes):
            if last_number is None:
                self._has_unnumbered_events = True
            else:
                self._has_sequence_gap = True
        return not self._has_sequence_gap

    def _fail(self, timed_out: bool) -> None:
        last_failure = self._attempts.last_failure
        if self._incoming.is_head_sent:
            _log.info(
                "stream broken",
                **self._call.log_fields,
                last_event=self._last_event_number,
                software=self._software,
                detail=last_failure.detail if last_failure else "",
            )
            self._incoming.abort()
            return
        if self._is_version_gone():
            self._attempts.last_failure = Failure(
                ResultCode.STREAM_VERSION_GONE,
                f"no endpoint runs the version {self._software}, which began the stream",
                retry_after=0.0,
                proven_not_run=True,
            )
        self._call_attempts.refuse_unserved(self._incoming, self._call, self._attempts, timed_out)

    def _is_version_gone(self) -> bool:
        """Return whether the stream can never go on."""
        software = self._software
        if software is None or not self._records.knows_endpoints:
            return False
        return not self._call_attempts.has_endpoint(self._pool, self._runs_software(software))
