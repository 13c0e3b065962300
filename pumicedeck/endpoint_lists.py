"""Keeps the endpoint directory up to date from the rows in which endpoints register.

Handles an outage of the store: rows that expired during the outage count as valid until live
endpoints have had time to register again.
"""

from collections.abc import Callable

from loguru import logger

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.partitioned_stores import StoredRow

RE_REGISTRATION_SECONDS = 2.0
MIN_OUTAGE_SECONDS = 1.5

_log = logger.bind(module="endpoint_lists")


class EndpointList:
    """Applies registration rows to the directory.

    A removed row removes its endpoint at once, except after an outage of the store: then it does so
    only if the endpoint has not registered again within `RE_REGISTRATION_SECONDS`.
    """

    def __init__(
        self,
        timers: TimerQueue,
        directory: EndpointDirectory,
        decode: Callable[[str, bytes], DirectEndpoint | None],
    ) -> None:
        """Update `directory`; `decode` turns a row's key and value into an endpoint or None."""
        self._timers = timers
        self._directory = directory
        self._decode = decode
        self._last_contact_at = timers.now()
        self._retain_until = 0.0
        self._pending_removals: set[str] = set()

    def record_store_contact(self) -> None:
        """Record an answer of the store; after an outage, postpone removals."""
        now = self._timers.now()
        if now - self._last_contact_at > MIN_OUTAGE_SECONDS:
            self._retain_until = now + RE_REGISTRATION_SECONDS
            self._timers.call_at(self._retain_until, self._remove_pending)
        self._last_contact_at = now

    def apply(self, rows: tuple[StoredRow, ...], is_snapshot: bool) -> None:
        """Apply changed rows; with `is_snapshot`, `rows` are all rows of the table."""
        listed = set()
        for stored_row in rows:
            name = stored_row.row.key
            endpoint = (
                self._decode(name, stored_row.value) if stored_row.value is not None else None
            )
            if endpoint is not None:
                listed.add(name)
                self._update(endpoint)
            elif stored_row.value is None:
                self._remove(name)
        if is_snapshot:
            for endpoint in self._directory.endpoints:
                if endpoint.name not in listed:
                    self._remove(endpoint.name)

    def _update(self, endpoint: DirectEndpoint) -> None:
        known = self._directory.state(endpoint.name)
        self._pending_removals.discard(endpoint.name)
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
        if self._timers.now() < self._retain_until:
            self._pending_removals.add(name)
            return
        self._directory.remove(name)
        _log.info("endpoint removed", endpoint=name)

    def _remove_pending(self) -> None:
        if self._timers.now() < self._retain_until:
            return
        pending, self._pending_removals = self._pending_removals, set()
        for name in pending:
            self._remove(name)
