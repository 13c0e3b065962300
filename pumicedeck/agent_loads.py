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

    def ahead(self, interactive: bool) -> int:
        """Return the tokens that compete with interactive work, or with any other."""
        return self.interactive if interactive else self.tokens


@dataclass(slots=True)
class FirmWork:
    """Own outstanding work of one firm and its share."""

    share: float
    work: Work = field(default_factory=Work)


@dataclass(slots=True)
class AgentLoad:
    """Last report of an agent, corrected by what this process has dispatched and finished."""

    candidate: Candidate
    report: LoadReport = field(default_factory=LoadReport)
    own_work: Work = field(default_factory=Work)
    peer_work: Work = field(default_factory=Work)
    firms: dict[str, FirmWork] = field(default_factory=dict)

    def add(self, query: RouteQuery, sign: int) -> None:
        """Add or, with a negative sign, take off one own request."""
        self.own_work.add(query, sign)
        entry = query.entry
        firm = self.firms.setdefault(entry.firm, FirmWork(entry.share))
        firm.share = entry.share
        firm.work.add(query, sign)
        if firm.work.requests <= 0:
            del self.firms[entry.firm]

    def apply_report(self, report: LoadReport) -> None:
        """Take in a report; what it shows beyond the own work is the work of other entry VMs."""
        self.report = report
        requests = report.queued + report.running - self.own_work.requests
        tokens = report.queued_tokens + report.running_tokens - self.own_work.tokens
        interactive = report.interactive_tokens - self.own_work.interactive
        self.peer_work = Work(max(0, requests), max(0, tokens), max(0, interactive))

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
        return self.own_work.requests + self.peer_work.requests

    @property
    def tokens(self) -> int:
        """Return the estimated outstanding tokens."""
        return self.own_work.tokens + self.peer_work.tokens

    def expected_wait(self, query: RouteQuery) -> float:
        """Return the seconds that the request would wait for a slot.

        Under fair queueing only that part of another firm's work goes first which is as large, for
        its share, as the request and the work of its own firm that is ahead of it.
        """
        interactive = query.entry.request_class is RequestClass.INTERACTIVE
        tokens = self.own_work.ahead(interactive) + self.peer_work.ahead(interactive)
        requests = tokens / query.expected_tokens if interactive else self.requests
        if requests < self.slots:
            return 0.0
        next_slot = 0.0 if interactive else tokens / requests / self.rate
        queued = 1 - self.slots / requests
        return next_slot + queued * self._competing_tokens(query, interactive) / self.rate

    def _competing_tokens(self, query: RouteQuery, interactive: bool) -> float:
        seen = self.tokens / self.own_work.tokens if self.own_work.tokens > 0 else 1.0
        firm = self.firms.get(query.entry.firm)
        ahead = firm.work.ahead(interactive) * seen if firm else 0.0
        turn = (ahead + query.expected_tokens) / query.entry.share
        competing = ahead
        for name, other in self.firms.items():
            if name != query.entry.firm:
                competing += min(other.work.ahead(interactive) * seen, turn * other.share)
        if not self.own_work.tokens:
            competing += self.peer_work.ahead(interactive)
        return competing

    def expected_time(self, query: RouteQuery) -> float:
        """Return wait and service in seconds; a loaded agent is slightly worse than an idle one."""
        service = query.expected_tokens * self.slots / self.rate
        interactive = query.entry.request_class is RequestClass.INTERACTIVE
        ahead = self.own_work.ahead(interactive) + self.peer_work.ahead(interactive)
        pressure = PRESSURE_WEIGHT * ahead / self.rate
        return self.expected_wait(query) + service + pressure
