"""The load of one agent as a router estimates it between reports; free of I/O."""

from dataclasses import dataclass, field

from pumicedeck.catalogue_entries import RequestClass
from pumicedeck.messages import LoadReport
from pumicedeck.routers import Candidate, RouteQuery

DEFAULT_SLOT_RATE = 50.0
PRESSURE_WEIGHT = 0.1


@dataclass(slots=True)
class Work:
    """Outstanding requests and their expected tokens."""

    requests: int = 0
    tokens: int = 0
    interactive: int = 0

    def add(self, query: RouteQuery, sign: int) -> None:
        """Add or, with a negative sign, take off one request."""
        self.requests += sign
        self.tokens += sign * query.expected_tokens
        if query.entry.request_class is RequestClass.INTERACTIVE:
            self.interactive += sign * query.expected_tokens

    def copy(self) -> "Work":
        """Return an independent copy."""
        return Work(self.requests, self.tokens, self.interactive)


@dataclass(slots=True)
class AgentLoad:
    """Last report of an agent, corrected by what this process has dispatched and finished."""

    candidate: Candidate
    report: LoadReport = field(default_factory=LoadReport)
    own: Work = field(default_factory=Work)
    others: Work = field(default_factory=Work)

    def take(self, report: LoadReport) -> None:
        """Take in a report; what it shows beyond the own work is the work of other entry VMs."""
        self.report = report
        requests = report.queued + report.running - self.own.requests
        tokens = report.queued_tokens + report.running_tokens - self.own.tokens
        interactive = report.interactive_tokens - self.own.interactive
        self.others = Work(max(0, requests), max(0, tokens), max(0, interactive))

    @property
    def slots(self) -> int:
        """Return the number of slots of the endpoint."""
        return max(1, self.report.slots or self.candidate.endpoint.slots)

    @property
    def rate(self) -> float:
        """Return tokens a second with all slots busy."""
        return self.report.service_rate or self.slots * DEFAULT_SLOT_RATE

    @property
    def requests(self) -> int:
        """Return the estimated number of outstanding requests."""
        return self.own.requests + self.others.requests

    @property
    def tokens(self) -> int:
        """Return the estimated outstanding tokens."""
        return self.own.tokens + self.others.tokens

    def work_ahead(self, query: RouteQuery) -> int:
        """Return the outstanding tokens that compete with a request of this class."""
        if query.entry.request_class is RequestClass.INTERACTIVE:
            return self.own.interactive + self.others.interactive
        return self.tokens

    def expected_wait(self, query: RouteQuery) -> float:
        """Return the seconds that the request would wait for a slot."""
        tokens = self.work_ahead(query)
        mean = self.tokens / max(1, self.requests)
        if query.entry.request_class is RequestClass.INTERACTIVE:
            mean = query.expected_tokens
        return max(0.0, tokens - (self.slots - 1) * mean) / self.rate

    def expected_time(self, query: RouteQuery) -> float:
        """Return wait and service in seconds; a loaded agent is slightly worse than an idle one."""
        service = query.expected_tokens * self.slots / self.rate
        pressure = PRESSURE_WEIGHT * self.work_ahead(query) / self.rate
        return self.expected_wait(query) + service + pressure
