"""Connects trainers' HTTP exchanges, the draw coordinator and the entry daemon."""

from collections.abc import Callable
from dataclasses import dataclass

from pumicedeck.actions import CallerAnswer
from pumicedeck.clocks import TimerQueue
from pumicedeck.drafts import (
    CancelDraft,
    DeliverGroup,
    Draft,
    DrawAction,
    DrawRequest,
    EndDraw,
    SubmitDraft,
)
from pumicedeck.draw_documents import draft_document
from pumicedeck.draws import DrawCoordinator
from pumicedeck.entry_daemons import EntryDaemon
from pumicedeck.histograms import Histograms, Measure, Series
from pumicedeck.http_servers import HttpExchange
from pumicedeck.results import Failure
from pumicedeck.wakeups import Wakeup


@dataclass(frozen=True, slots=True)
class _OpenDraw:
    request: DrawRequest
    exchange: HttpExchange
    started: float


class _DraftSink:
    """Reports the outcome of one draft to the coordinator."""

    def __init__(self, draws: "DrawSessions", handle: str) -> None:
        self._draws = draws
        self._handle = handle

    def chunk(self, data: bytes) -> None:
        """Ignore partial output, since drafts are not streamed."""

    def answer(self, answer: CallerAnswer) -> None:
        """Report a complete draft."""
        self._draws.draft_finished(self._handle, answer)

    def failure(self, failure: Failure) -> None:
        """Report a failed draft."""
        self._draws.draft_failed(self._handle, failure)


class DrawSessions:
    """The open draws of one entry VM: performs the coordinator's actions and writes the results."""

    def __init__(
        self,
        coordinator: DrawCoordinator,
        daemon: EntryDaemon,
        timers: TimerQueue,
        histograms: Histograms,
        poll_newest_versions: Callable[[], None],
    ) -> None:
        """Submit requests for drafts to `daemon`.

        `poll_newest_versions` reads the newest versions from the weight store now.
        """
        self._coordinator = coordinator
        self._daemon = daemon
        self._timers = timers
        self._histograms = histograms
        self._poll_newest_versions = poll_newest_versions
        self._open_draws: dict[str, _OpenDraw] = {}
        self._wakeup = Wakeup(timers, coordinator.next_wakeup, self._on_time)

    @property
    def coordinator(self) -> DrawCoordinator:
        """Return the coordinator, the state machine of the draws."""
        return self._coordinator

    @property
    def models(self) -> tuple[str, ...]:
        """Return the models whose weights the open draws use."""
        return tuple({draw.request.entry.model for draw in self._open_draws.values()})

    def close(self) -> None:
        """Stop the wakeup timer."""
        self._wakeup.close()

    def start(self, request: DrawRequest, exchange: HttpExchange) -> None:
        """Start a draw and stream its groups to `exchange`."""
        self._open_draws[request.handle] = _OpenDraw(request, exchange, self._timers.now())
        exchange.begin_stream()
        self._perform(self._coordinator.start(self._timers.now(), request))
        self._poll_newest_versions()

    def caller_disconnected(self, handle: str) -> None:
        """Drop a draw whose trainer disconnected."""
        self._open_draws.pop(handle, None)
        self._perform(self._coordinator.caller_disconnected(self._timers.now(), handle))

    def newest_version_confirmed(self, model: str, version: int) -> None:
        """Handle the newest published version of a model."""
        now = self._timers.now()
        self._perform(self._coordinator.newest_version_confirmed(now, model, version))

    def draft_finished(self, handle: str, answer: CallerAnswer) -> None:
        """Handle the answer to a draft or scoring request."""
        now = self._timers.now()
        self._perform(self._coordinator.draft_finished(now, handle, answer))

    def draft_failed(self, handle: str, failure: Failure) -> None:
        """Handle the failure of a draft or scoring request."""
        now = self._timers.now()
        self._perform(self._coordinator.draft_failed(now, handle, failure))

    def _on_time(self, now: float) -> None:
        self._perform(self._coordinator.on_timer(now))

    def _perform(self, actions: list[DrawAction]) -> None:
        for action in actions:
            match action:
                case SubmitDraft(request):
                    self._daemon.submit(request, _DraftSink(self, request.handle))
                case CancelDraft(handle):
                    self._daemon.caller_disconnected(handle)
                case DeliverGroup(handle, group_number, drafts, newest_version):
                    self._deliver(handle, group_number, drafts, newest_version)
                case EndDraw(handle, failure):
                    self._end(handle, failure)
        self._wakeup.refresh()

    def _deliver(
        self, handle: str, group_number: int, drafts: tuple[Draft, ...], newest_version: int
    ) -> None:
        draw = self._open_draws.get(handle)
        if draw is None:
            return
        entry = draw.request.entry
        series = Series(entry.firm, entry.request_class, Measure.STALENESS)
        for draft in drafts:
            self._histograms.record(series, max(0, newest_version - draft.oldest_version))
        documents = [draft_document(draft) for draft in drafts]
        draw.exchange.write_line(
            {"group": group_number, "newest": newest_version, "drafts": documents}
        )

    def _end(self, handle: str, failure: Failure | None) -> None:
        draw = self._open_draws.pop(handle, None)
        if draw is None:
            return
        if failure is not None:
            draw.exchange.fail(failure)
            return
        entry = draw.request.entry
        series = Series(entry.firm, entry.request_class, Measure.TRAINER_IDLE)
        self._histograms.record(series, self._timers.now() - draw.started)
        draw.exchange.write_line({"end": {}})
        draw.exchange.end_stream()
