"""Estimates the network delay and the paid bytes of requests to an agent; free of I/O."""

from collections import defaultdict
from dataclasses import dataclass

from pumicedeck.routers import RouteQuery
from pumicedeck.topology import FailureDomain, Link

# One-way delays to another failure domain of the home region, and to another region by default.
DOMAIN_DELAY_SECONDS = 0.0015
REGION_DELAY_SECONDS = 0.030
REGION_BYTES_PER_SECOND = 25_000_000.0
PAID_SECONDS_PER_BYTE = 1e-6
BYTES_PER_TOKEN = 6
REQUEST_BYTES = 2_000


def payload_bytes(query: RouteQuery) -> int:
    """Return the bytes of a request and its answer, estimated if the query does not give them."""
    return query.payload_bytes or REQUEST_BYTES + BYTES_PER_TOKEN * query.expected_tokens


@dataclass(frozen=True, slots=True)
class NetworkCost:
    """Round-trip delay in seconds and the price of the paid bytes, expressed in seconds."""

    delay_seconds: float
    paid_seconds: float = 0.0


class NetworkCosts:
    """Network costs from one failure domain to all others."""

    def __init__(self, home: FailureDomain, links: tuple[Link, ...] = ()) -> None:
        """Use the `links` that start in the home region.

        For a region without a link, a paid link with default delay and rate is assumed.
        """
        self._home = home
        self._links = {each.target: each for each in links if each.source == home.region}
        self._paid_bytes: defaultdict[str, int] = defaultdict(int)

    @property
    def paid_bytes(self) -> dict[str, int]:
        """Return the bytes sent over paid links, by firm."""
        return dict(self._paid_bytes)

    def is_in_home_region(self, domain: FailureDomain) -> bool:
        """Return whether the domain is in the home region."""
        return domain.region == self._home.region

    def cost(self, domain: FailureDomain, query: RouteQuery) -> NetworkCost:
        """Return the network cost of one request and its answer.

        It is 0 within the home failure domain and a round-trip delay within the home region. To
        other regions it is the delay, transfer time and price of the link.
        """
        if domain == self._home:
            return NetworkCost(0.0)
        if self.is_in_home_region(domain):
            return NetworkCost(2 * DOMAIN_DELAY_SECONDS)
        link = self._link(domain)
        size_bytes = payload_bytes(query)
        paid_seconds = size_bytes * PAID_SECONDS_PER_BYTE if link.paid else 0.0
        return NetworkCost(2 * link.delay + size_bytes / link.rate, paid_seconds)

    def count_paid_bytes(self, domain: FailureDomain, query: RouteQuery) -> None:
        """Add the bytes of a dispatch to its firm's paid bytes if its link is paid."""
        if not self.is_in_home_region(domain) and self._link(domain).paid:
            self._paid_bytes[query.entry.firm] += payload_bytes(query)

    def _link(self, domain: FailureDomain) -> Link:
        found = self._links.get(domain.region)
        return found or Link(
            self._home.region, domain.region, REGION_DELAY_SECONDS, REGION_BYTES_PER_SECOND, True
        )
