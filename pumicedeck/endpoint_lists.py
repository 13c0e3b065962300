"""Keeps the directory of endpoints up to date from the rows in which they register.

Answers a store that was away: entries that lapsed meanwhile are believed until endpoints that live
have had time to register again.
"""

from collections.abc import Callable

from loguru import logger

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.partitioned_stores import StoredRow

RETURN_SECONDS = 2.0
OUTAGE_SECONDS = 1.5

_log = logger.bind(module="endpoint_lists")


class EndpointList:
    """Takes rows; a removed row ends an endpoint, at once unless the store was just away."""

    def __init__(
        self,
        timers: TimerQueue,
        directory: EndpointDirectory,
        decode: Callable[[str, bytes], DirectEndpoint | None],
    ) -> None:
        """Fill `directory`."""
        self._timers = timers
        self._directory = directory
        self._decode = decode
        self._heard_at = timers.now()
        self._believe_until = 0.0
        self._suspect: set[str] = set()

    def record_store_contact(self) -> None:
        """Take note that the store answered."""
        now = self._timers.now()
        if now - self._heard_at > OUTAGE_SECONDS:
            self._believe_until = now + RETURN_SECONDS
            self._timers.call_at(self._believe_until, self._drop_suspects)
        self._heard_at = now

    def apply(self, rows: tuple[StoredRow, ...], full: bool) -> None:
        """Take in changed rows, or all rows."""
        named = set()
        for row in rows:
            name = row.row.key
            endpoint = self._decode(name, row.value) if row.value is not None else None
            if endpoint is not None:
                named.add(name)
                self._update(endpoint)
            elif row.value is None:
                self._remove(name)
        if full:
            for endpoint in self._directory.endpoints:
                if endpoint.name not in named:
                    self._remove(endpoint.name)

    def _update(self, endpoint: DirectEndpoint) -> None:
        known = self._directory.state(endpoint.name)
        self._suspect.discard(endpoint.name)
        self._directory.update(endpoint)
        if known is None or known.endpoint.draining != endpoint.draining:
            _log.info(
                "endpoint registration changed",
                endpoint=endpoint.name,
                pool=endpoint.pool,
                domain=endpoint.failure_domain.name,
                draining=endpoint.draining,
                born=endpoint.incarnation,
            )

    def _remove(self, name: str) -> None:
        if self._directory.state(name) is None:
            return
        if self._timers.now() < self._believe_until:
            self._suspect.add(name)
            return
        self._directory.remove(name)
        _log.info("endpoint removed", endpoint=name)

    def _drop_suspects(self) -> None:
        if self._timers.now() < self._believe_until:
            return
        suspects, self._suspect = self._suspect, set()
        for name in suspects:
            self._remove(name)
