"""One run of an item at an engine: appends the streamed events to the item's output."""

from loguru import logger
from result import Err, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.dialects import AnswerHead, ForwardedCall
from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.endpoint_callers import CompleteAnswer, EndpointCaller
from pumicedeck.event_streams import EventSplitter
from pumicedeck.http_messages import HttpResponse
from pumicedeck.results import Failure
from pumicedeck.scheduling.event_intervals import (
    DEFAULT_INTERVAL_SETTINGS,
    IntervalSettings,
    RunEventInterval,
)
from pumicedeck.scheduling.run_ends import RunContact, RunEnd
from pumicedeck.scheduling.submission_works import ItemWork
from pumicedeck.submissions import Progress, SubmissionHead

_log = logger.bind(module="item_runs")

UNPROCESSABLE_STATUS = 422
# The only failure of an engine or scorer that counts as an attempt at an item.
FAILED_STATUS = 500


class ItemRun:
    """Calls an engine for an item and appends each event to the item's progress.

    `started` and `last_contact_at` are in seconds on the process's clock; `last_contact_at` is when
    the engine last sent something. `events` counts the events of this run.
    """

    def __init__(
        self,
        timers: TimerQueue,
        caller: EndpointCaller,
        head: SubmissionHead,
        item_work: ItemWork,
        endpoint: DirectEndpoint,
        single_version: bool,
        intervals: IntervalSettings = DEFAULT_INTERVAL_SETTINGS,
    ) -> None:
        """Prepare a run; with `single_version` the output must come from one weight version."""
        self._timers = timers
        self._caller = caller
        self._head = head
        self._item_work = item_work
        self._single_version = single_version
        self._splitter = EventSplitter()
        self._version = 0
        self._initial_event = item_work.progress.last_event
        self._initial_versions = tuple(item_work.progress.versions)
        if not self._initial_event:
            item_work.progress.software = endpoint.software_version
        self._out_of_sequence = False
        self.endpoint = endpoint
        self.started = timers.now()
        self.last_contact_at = self.started
        self.events = 0
        self.event_interval = RunEventInterval(intervals)

    @property
    def item_work(self) -> ItemWork:
        """Return the item that runs, with the state of the work on it."""
        return self._item_work

    @property
    def head(self) -> SubmissionHead:
        """Return the head of the item's submission."""
        return self._head

    @property
    def observed_version(self) -> int:
        """Return the weight version that the engine reported last, 0 if none."""
        return self._version

    @property
    def wrong_version(self) -> bool:
        """Return whether the engine's weight version may not be used for this item's output."""
        return self._version > 0 and not self._is_allowed(self._version)

    async def run(self, seconds: float, silence: float) -> tuple[RunEnd, str]:
        """Run the item to its end; return how it ended, with a detail for the log.

        The call is given up after `seconds`, or after `silence` seconds without data.
        """
        item = self._item_work.item
        last = self._item_work.progress.last_event
        call = ForwardedCall(
            item.item_id,
            "POST",
            item.path,
            self._head.host,
            item.headers,
            item.body,
            None,
            last or None,
            account=self._head.account,
        )
        outcome = await self._caller.call(
            call, self.endpoint, seconds, silence, self._on_head, self._on_bytes
        )
        return self._classify(outcome)

    def _classify(self, outcome: Result[CompleteAnswer, Failure]) -> tuple[RunEnd, str]:
        """Return how the run ended and a detail, from the outcome of the call."""
        if self.wrong_version:
            return RunEnd.WRONG_VERSION, f"version {self._version}"
        if isinstance(outcome, Err):
            failure = outcome.err_value
            return RunEnd.NOT_TAKEN if failure.proven_not_run else RunEnd.BROKEN, failure.detail
        status = outcome.ok_value.answer.status
        if status == UNPROCESSABLE_STATUS:
            return RunEnd.IMPOSSIBLE, f"status {status}"
        if not outcome.ok_value.answer.succeeded:
            is_error = status == FAILED_STATUS
            end = RunEnd.ENGINE_ERROR if is_error else RunEnd.UNEXPECTED_STATUS
            return end, f"status {status}"
        if (
            self.is_unreadable
            or self._splitter.has_partial_event
            or not self._item_work.progress.last_event
        ):
            return RunEnd.BROKEN, "the event stream was incomplete or out of sequence"
        self._item_work.progress.whole = True
        return RunEnd.WHOLE, ""

    def contact(self, key: tuple[str, str], has_other_software: bool = False) -> RunContact:
        """Return what this run, which the scheduler keeps under `key`, has received."""
        return RunContact(
            key,
            self.endpoint.name,
            self.last_contact_at,
            self.is_unreadable,
            self.wrong_version,
            has_other_software,
        )

    def has_other_software(self, registered: DirectEndpoint) -> bool:
        """Return whether the engine, as it is registered now, has restarted with other software.

        Such an engine may have accepted the run before its registration was known.
        """
        if registered.incarnation == self.endpoint.incarnation:
            return False
        return registered.software_version != self.endpoint.software_version

    def discard_events(self) -> None:
        """Remove the events of this run from the item's output."""
        progress = self._item_work.progress
        del progress.parts[self._initial_event :]
        progress.last_event = self._initial_event
        progress.versions[:] = self._initial_versions
        progress.whole = False
        self._item_work.replace_saved_output()

    @property
    def is_unreadable(self) -> bool:
        """Return whether the stream cannot be continued, whatever the engine still sends."""
        return self._out_of_sequence or self._splitter.has_overflowed

    def _is_allowed(self, version: int) -> bool:
        """Return whether a weight version may be used for the item's output."""
        if version < self._head.min_version:
            return False
        versions = self._item_work.progress.versions
        return not (self._single_version and versions and versions != [version])

    def _on_head(self, response: HttpResponse, answer: AnswerHead) -> None:
        """Handle the head of the engine's answer, which reports the weight version."""
        self.last_contact_at = self._timers.now()
        self._version = answer.version or 0

    def _on_bytes(self, data: bytes) -> None:
        """Handle a part of the event stream."""
        for block in self._splitter.feed(data):
            self._apply_event(block)

    def _apply_event(self, block: bytes) -> None:
        """Append an event to the item's progress, unless it is out of sequence or not allowed."""
        event = self._caller.dialect.event(block)
        if event is None or self._out_of_sequence or self.wrong_version:
            return
        # Bytes that are no event show nothing: an engine in trouble may send such without end.
        self.last_contact_at = self._timers.now()
        progress: Progress = self._item_work.progress
        if event.version is not None:
            self._version = event.version
            if self.wrong_version:
                return
        if not self._version or event.number != progress.last_event + 1:
            self._out_of_sequence = True
            _log.warning(
                "engine event out of sequence or without weight version",
                item=self._item_work.item.item_id,
                version=self._version,
                event=event.number,
                after=progress.last_event,
            )
            return
        progress.last_event = event.number
        progress.parts.append(event.data)
        if self._version not in progress.versions:
            progress.versions.append(self._version)
        self.events += 1
