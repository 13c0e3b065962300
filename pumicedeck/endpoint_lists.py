"""Keeps the endpoint directory up to date from the rows in which endpoints register.

Handles an outage of the store: rows that expired during the outage count as valid until live
endpoints have had time to register again.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger
from result import Err, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.partitioned_stores import StoredRow

RE_REGISTRATION_SECONDS = 2.0
MIN_OUTAGE_SECONDS = 1.5
MAX_LOGGED_NAMES = 20

_log = logger.bind(module="endpoint_lists")


@dataclass(slots=True)
class EndpointChanges:
    """The names of endpoints that were added or restarted, began to drain, or were removed.

    `added_software` has the software versions of the added ones, in the same order.
    """

    added: list[str] = field(default_factory=list)
    added_software: list[str] = field(default_factory=list)
    draining: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)

    def log(self) -> None:
        """Write one line with the number of each kind and their first names, if there are any."""
        fields = {}
        for kind in ("added", "draining", "removed"):
            names = getattr(self, kind)
            if names:
                fields[kind] = len(names)
                fields[f"{kind}_names"] = names[:MAX_LOGGED_NAMES]
        if self.added:
            fields["added_software"] = self.added_software[:MAX_LOGGED_NAMES]
        if fields:
            _log.info("endpoint registrations changed", **fields)


class EndpointList:
    """Applies registration rows to the directory.

    A removed row removes its endpoint at once, except after an outage of the store: then it does so
    only if the endpoint has not registered again within `RE_REGISTRATION_SECONDS`.
    """

    def __init__(
        self,
        timers: TimerQueue,
        directory: EndpointDirectory,
        decode: Callable[[str, bytes], Result[DirectEndpoint, str]],
    ) -> None:
        """Update `directory`; `decode` makes an endpoint of a row's key and value, or says why not.

        Other writers use the table too; a row without a valid registration names no endpoint.
        """
        self._timers = timers
        self._directory = directory
        self._decode = decode
        self._last_contact_at = timers.now()
        self._retain_until = 0.0
        self._pending_removals: set[str] = set()
        self._ignored: dict[str, str] = {}

    @property
    def ignored(self) -> int:
        """Return how many rows of the table have no valid registration."""
        return len(self._ignored)

    def record_store_contact(self) -> None:
        """Record an answer of the store; after an outage, postpone removals."""
        now = self._timers.now()
        if now - self._last_contact_at > MIN_OUTAGE_SECONDS:
            self._retain_until = now + RE_REGISTRATION_SECONDS
            self._timers.call_at(self._retain_until, self._remove_pending)
        self._last_contact_at = now

    def apply(self, rows: tuple[StoredRow, ...], is_snapshot: bool) -> None:
        """Apply changed rows; with `is_snapshot`, `rows` are all rows of the table.

        One log line tells of all changes: hundreds of gateways each learn of hundreds of endpoints.
        """
        changes = EndpointChanges()
        listed = set()
        ignored: dict[str, str] = {}
        for stored_row in rows:
            name = stored_row.row.key
            if stored_row.value is None:
                self._ignored.pop(name, None)
                self._remove(name, changes)
                continue
            decoded = self._decode(name, stored_row.value)
            if isinstance(decoded, Err):
                self._log_ignored(name, decoded.err_value)
                ignored[name] = decoded.err_value
                continue
            self._ignored.pop(name, None)
            listed.add(name)
            self._update(decoded.ok_value, changes)
        self._ignored = ignored if is_snapshot else self._ignored | ignored
        if is_snapshot:
            for endpoint in self._directory.endpoints:
                if endpoint.name not in listed:
                    self._remove(endpoint.name, changes)
        changes.log()

    def _log_ignored(self, name: str, reason: str) -> None:
        """Log why a row is ignored, once until that changes: it may be written every second."""
        if self._ignored.get(name) != reason:
            _log.warning("endpoint registration ignored", endpoint=name, reason=reason)

    def _update(self, endpoint: DirectEndpoint, changes: EndpointChanges) -> None:
        known = self._directory.state(endpoint.name)
        self._pending_removals.discard(endpoint.name)
        if known is not None and known.endpoint is endpoint:
            return
        self._directory.update(endpoint)
        if endpoint.draining and (known is None or not known.endpoint.draining):
            changes.draining.append(endpoint.name)
        elif known is None or known.endpoint.incarnation != endpoint.incarnation:
            changes.added.append(endpoint.name)
            changes.added_software.append(endpoint.software_version)

    def _remove(self, name: str, changes: EndpointChanges) -> None:
        if self._directory.state(name) is None:
            return
        if self._timers.now() < self._retain_until:
            self._pending_removals.add(name)
            return
        self._directory.remove(name)
        changes.removed.append(name)

    def _remove_pending(self) -> None:
        if self._timers.now() < self._retain_until:
            return
        pending, self._pending_removals = self._pending_removals, set()
        changes = EndpointChanges()
        for name in sorted(pending):
            self._remove(name, changes)
        changes.log()
