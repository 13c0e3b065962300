"""Estimates the load of one agent between its load reports; free of I/O."""

from dataclasses import dataclass, field

from pumicedeck.catalogue_entries import RequestClass
from pumicedeck.messages import LoadReport
from pumicedeck.routers import Candidate, RouteQuery

DEFAULT_SLOT_TOKENS_PER_SECOND = 50.0
OUTSTANDING_WORK_WEIGHT = 0.1


@dataclass(slots=True)
class OutstandingWork:
    """Outstanding requests and their expected tokens."""

    requests: int = 0
    tokens: int = 0
    interactive_tokens: int = 0

    def add(self, query: RouteQuery, sign: int) -> None:
        """Add one request if `sign` is 1, or subtract it if `sign` is -1."""
        self.requests += sign
        self.tokens += sign * query.expected_tokens
        if query.entry.request_class is RequestClass.INTERACTIVE:
            self.interactive_tokens += sign * query.expected_tokens

    def tokens_ahead(self, interactive: bool) -> int:
        """Return the tokens that can run before a request of the given kind.

        Interactive requests compete with interactive work only, all others with all work.
        """
        return self.interactive_tokens if interactive else self.tokens


@dataclass(slots=True)
class FirmWork:
    """Share of one firm and its outstanding work that this process dispatched to the agent."""

    share: float
    work: OutstandingWork = field(default_factory=OutstandingWork)


@dataclass(slots=True)
class AgentLoad:
    """Last load report of an agent, corrected by the requests of this process since then.

    `own_work` counts the requests of this process, `peer_work` those of other entry VMs, and
    `firms` divides `own_work` by firm.
    """

    candidate: Candidate
    report: LoadReport = field(default_factory=LoadReport)
    own_work: OutstandingWork = field(default_factory=OutstandingWork)
    peer_work: OutstandingWork = field(default_factory=OutstandingWork)
    firms: dict[str, FirmWork] = field(default_factory=dict)

    def add(self, query: RouteQuery, sign: int) -> None:
        """Add one request of this process if `sign` is 1, or subtract it if `sign` is -1."""
        self.own_work.add(query, sign)
        entry = query.entry
        firm = self.firms.setdefault(entry.firm, FirmWork(entry.share))
        firm.share = entry.share
        firm.work.add(query, sign)
        if firm.work.requests <= 0:
            del self.firms[entry.firm]

    def apply_report(self, report: LoadReport) -> None:
        """Store a report; reported work beyond `own_work` is attributed to other entry VMs."""
        self.report = report
        requests = report.queued + report.running - self.own_work.requests
        tokens = report.queued_tokens + report.running_tokens - self.own_work.tokens
        interactive = report.interactive_tokens - self.own_work.interactive_tokens
        self.peer_work = OutstandingWork(max(0, requests), max(0, tokens), max(0, interactive))

    @property
    def slots(self) -> int:
        """Return the reported number of slots, or else the configured one; at least 1."""
        return max(1, self.report.slots or self.candidate.endpoint.slots)

    @property
    def rate(self) -> float:
        """Return the tokens per second that the endpoint serves with all slots busy."""
        return self.report.service_rate or self.slots * DEFAULT_SLOT_TOKENS_PER_SECOND

    @property
    def requests(self) -> int:
        """Return the estimated number of outstanding requests."""
        return self.own_work.requests + self.peer_work.requests

    @property
    def tokens(self) -> int:
        """Return the estimated number of outstanding tokens."""
        return self.own_work.tokens + self.peer_work.tokens

    def expected_wait(self, query: RouteQuery) -> float:
        """Return the seconds that the request would wait for a slot.

        The estimate follows fair queueing: tokens of another firm run first only until that firm
        has received as many tokens per share as the request and its own firm's work ahead of it.
        """
        interactive = query.entry.request_class is RequestClass.INTERACTIVE
        tokens = self.own_work.tokens_ahead(interactive) + self.peer_work.tokens_ahead(interactive)
        requests = tokens / query.expected_tokens if interactive else self.requests
        if requests < self.slots:
            return 0.0
        seconds_to_next_slot = 0.0 if interactive else tokens / requests / self.rate
        waiting_fraction = 1 - self.slots / requests
        return (
            seconds_to_next_slot
            + waiting_fraction * self._competing_tokens(query, interactive) / self.rate
        )

    def _competing_tokens(self, query: RouteQuery, interactive: bool) -> float:
        """Return the tokens expected to run before the request.

        Reports do not divide work by firm, so the peers' work is assumed to have the same mix of
        firms as `own_work`.
        """
        total_to_own = self.tokens / self.own_work.tokens if self.own_work.tokens > 0 else 1.0
        firm = self.firms.get(query.entry.firm)
        own_firm = firm.work.tokens_ahead(interactive) * total_to_own if firm else 0.0
        tokens_per_share = (own_firm + query.expected_tokens) / query.entry.share
        competing = own_firm
        for name, other in self.firms.items():
            if name != query.entry.firm:
                competing += min(
                    other.work.tokens_ahead(interactive) * total_to_own,
                    tokens_per_share * other.share,
                )
        if not self.own_work.tokens:
            competing += self.peer_work.tokens_ahead(interactive)
        return competing

    def expected_time(self, query: RouteQuery) -> float:
        """Return wait plus service time in seconds, and a small penalty for outstanding work.

        The penalty makes an idle agent preferable to a loaded one with the same expected wait.
        """
        service_seconds = query.expected_tokens * self.slots / self.rate
        interactive = query.entry.request_class is RequestClass.INTERACTIVE
        outstanding = self.own_work.tokens_ahead(interactive) + self.peer_work.tokens_ahead(
            interactive
        )
        penalty_seconds = OUTSTANDING_WORK_WEIGHT * outstanding / self.rate
        return self.expected_wait(query) + service_seconds + penalty_seconds
