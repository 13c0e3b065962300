"""HTTP API for operators: health, readiness, status, histograms and the catalogue."""

from collections.abc import Callable
from dataclasses import asdict
from datetime import UTC, datetime
from typing import Any, Protocol
from urllib.parse import parse_qs

from result import Err, Result

from pumicedeck.agent_daemons import AgentDaemon
from pumicedeck.catalogue_documents import catalogue_document
from pumicedeck.catalogue_editors import CatalogueEditor
from pumicedeck.claims import Claims
from pumicedeck.clocks import TimerQueue
from pumicedeck.connections import Connections
from pumicedeck.draw_sessions import DrawSessions
from pumicedeck.edit_documents import change_document, parse_edit, stored_document
from pumicedeck.entry_daemons import EntryDaemon
from pumicedeck.histograms import Histograms
from pumicedeck.http_servers import HttpExchange
from pumicedeck.process_figures import read_process_figures
from pumicedeck.results import Failure, ResultCode
from pumicedeck.tokens import Principal, TokenChecker

MAX_HISTORY = 50


class ProcessStatus(Protocol):
    """The state of a process that the operators' API shows."""

    @property
    def is_ready(self) -> bool:
        """Return whether the process accepts new requests."""

    def status(self) -> dict[str, Any]:
        """Return the status document."""

    def histograms(self) -> dict[str, Any]:
        """Return the histograms document."""


class AgentStatus:
    """State of an agent for operators."""

    def __init__(self, incarnation: str, daemon: AgentDaemon, connections: Connections) -> None:
        """Read the state from `daemon` and `connections`."""
        self._incarnation = incarnation
        self._daemon = daemon
        self._connections = connections

    @property
    def is_ready(self) -> bool:
        """Return whether the agent accepts new requests."""
        return self._daemon.is_ready

    def status(self) -> dict[str, Any]:
        """Return the status document."""
        return {
            "role": "agent",
            "incarnation": self._incarnation,
            "ready": self.is_ready,
            "revision": self._daemon.revision,
            "sessions": list(self._daemon.peers.incarnations),
            "rejected_connections": self._connections.rejected,
            "load": asdict(self._daemon.load()),
            "process": asdict(read_process_figures()),
            "requests": asdict(self._daemon.requests.counters),
        }

    def histograms(self) -> dict[str, Any]:
        """Return an empty list, because only entries record durations."""
        return {"series": []}


class EntryStatus:
    """State of an entry for operators, with the catalogue revisions of its agents."""

    def __init__(
        self,
        incarnation: str,
        daemon: EntryDaemon,
        histograms: Histograms,
        draws: DrawSessions,
        claims: Claims,
    ) -> None:
        """Read the state from the components of one entry."""
        self._incarnation = incarnation
        self._daemon = daemon
        self._histograms = histograms
        self._draws = draws
        self._claims = claims

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this entry."""
        return self._daemon.is_ready

    def status(self) -> dict[str, Any]:
        """Return the status document; `behind` lists agents with an older catalogue revision."""
        revision = self._daemon.catalogue.revision
        agents = self._daemon.agent_revisions
        return {
            "role": "entry",
            "incarnation": self._incarnation,
            "ready": self.is_ready,
            "revision": revision,
            "agents": agents,
            "behind": sorted(
                name for name, agent_revision in agents.items() if agent_revision < revision
            ),
            "pending": self._daemon.requests.pending,
            "requests": asdict(self._daemon.requests.counters),
            "claims": asdict(self._claims.counters),
            "draws": {
                "open": self._draws.coordinator.open_draws,
                **asdict(self._draws.coordinator.counts),
            },
            "paid_bytes": self._daemon.paid_bytes,
            "process": asdict(read_process_figures()),
        }

    def histograms(self) -> dict[str, Any]:
        """Return a summary of every series with its histogram in the HdrHistogram encoding."""
        encoded_histograms = self._histograms.encoded_histograms()
        series = []
        for summary in self._histograms.summaries():
            document = asdict(summary)
            document.update(document.pop("series"))
            series_key = (
                f"{summary.series.firm}/{summary.series.request_class}/{summary.series.measure}"
            )
            series.append({**document, "hdr": encoded_histograms[series_key]})
        return {"series": series}


class OperatorApi:
    """Handles the requests at the operators' address of a process.

    Only an entry has an editor and a token checker; an agent answers catalogue paths NOT_FOUND.
    """

    def __init__(
        self,
        status: ProcessStatus,
        editor: CatalogueEditor | None,
        token_checker: TokenChecker | None,
        timers: TimerQueue,
    ) -> None:
        """Show `status`; read and edit the catalogue through `editor`."""
        self._status = status
        self._editor = editor
        self._token_checker = token_checker
        self._timers = timers
        self._routes: dict[tuple[str, str], Callable[[HttpExchange, Principal], None]] = {
            ("GET", "/v1/catalogue"): self._get_catalogue,
            ("GET", "/v1/catalogue/history"): self._get_history,
            ("POST", "/v1/catalogue/edits"): self._post_edit,
            ("GET", "/v1/catalogue/changes"): self._get_change,
        }

    def handle(self, exchange: HttpExchange) -> None:
        """Answer a request; only paths of the catalogue need an operator's token."""
        match exchange.method, exchange.path:
            case "GET", "/health":
                exchange.answer_json(200, {"healthy": True})
            case "GET", "/ready":
                ready = self._status.is_ready
                exchange.answer_json(200 if ready else 503, {"ready": ready})
            case "GET", "/v1/status":
                exchange.answer_json(200, self._status.status())
            case "GET", "/v1/histograms":
                exchange.answer_json(200, self._status.histograms())
            case key:
                self._handle_authorized(exchange, self._routes.get(key))

    def _handle_authorized(
        self,
        exchange: HttpExchange,
        route: Callable[[HttpExchange, Principal], None] | None,
    ) -> None:
        if route is None or self._editor is None:
            exchange.fail(Failure(ResultCode.NOT_FOUND, exchange.path))
            return

        def on_checked(principal: Result[Principal, Failure]) -> None:
            if isinstance(principal, Err):
                exchange.fail(principal.err_value)
            elif not principal.ok_value.is_operator:
                exchange.fail(Failure(ResultCode.FORBIDDEN, "expected an operator's token"))
            else:
                route(exchange, principal.ok_value)

        self._token_checker.check(exchange.header("Authorization"), on_checked)

    def _get_catalogue(self, exchange: HttpExchange, principal: Principal) -> None:
        self._editor.read(_reply_with(exchange, stored_document))

    def _get_history(self, exchange: HttpExchange, principal: Principal) -> None:
        self._editor.history(
            MAX_HISTORY,
            _reply_with(
                exchange,
                lambda history: {
                    "revision": history.head_revision,
                    "changes": [change_document(change) for change in history.changes],
                },
            ),
        )

    def _get_change(self, exchange: HttpExchange, principal: Principal) -> None:
        change_id = (parse_qs(exchange.query).get("id") or [""])[0]
        self._editor.resolve(change_id, _reply_with(exchange, asdict))

    def _post_edit(self, exchange: HttpExchange, principal: Principal) -> None:
        now = datetime.now(UTC).isoformat(timespec="seconds")
        edit = parse_edit(exchange.body, principal.name, now)
        if isinstance(edit, Err):
            exchange.fail(edit.err_value)
        elif exchange.query == "dry_run=true":
            self._editor.dry_run(
                edit.ok_value,
                _reply_with(
                    exchange,
                    lambda plan: {
                        "change": change_document(plan.change),
                        "catalogue": catalogue_document(plan.catalogue),
                    },
                ),
            )
        else:
            self._editor.submit(edit.ok_value, _reply_with(exchange, asdict))


def _reply_with(
    exchange: HttpExchange, build_document: Callable[[Any], dict[str, Any]]
) -> Callable[[Result[Any, Failure]], None]:
    def reply(outcome: Result[Any, Failure]) -> None:
        if isinstance(outcome, Err):
            exchange.fail(outcome.err_value)
        else:
            exchange.answer_json(200, build_document(outcome.ok_value))

    return reply
