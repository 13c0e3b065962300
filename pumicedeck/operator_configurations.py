"""Applies the rows of the operators' table: routes, and the newest weight version of each model.

Handles rows that come again or cannot be decoded: neither replaces what is known. Free of I/O.
"""

from collections.abc import Callable

from loguru import logger
from result import Err, Result

from pumicedeck.partitioned_stores import StoredRow
from pumicedeck.results import Failure
from pumicedeck.route_tables import RouteTable

AnnouncedVersion = tuple[str, int]

_log = logger.bind(module="operator_configurations")


class OperatorConfiguration:
    """Passes routes on and keeps the announced weight version by model."""

    def __init__(
        self,
        decode: Callable[[str, bytes], Result[RouteTable | AnnouncedVersion | None, Failure]],
        install_routes: Callable[[RouteTable], None],
        on_change: Callable[[], None],
        is_scheduling: Callable[[], bool],
    ) -> None:
        """Call `on_change` after routes were passed to `install_routes` or a version is newer.

        `decode` returns what a row's key and value stand for, None for any other row. New versions
        are logged while `is_scheduling`.
        """
        self._decode = decode
        self._install_routes = install_routes
        self._on_change = on_change
        self._is_scheduling = is_scheduling
        self._announced_versions: dict[str, int] = {}

    @property
    def announced_versions(self) -> dict[str, int]:
        """Return the newest announced weight version by model; later changes show in it."""
        return self._announced_versions

    def apply(self, rows: tuple[StoredRow, ...], is_whole_table: bool) -> None:
        """Apply changed rows; a removed row changes nothing."""
        for stored_row in rows:
            if stored_row.value is None:
                continue
            decoded = self._decode(stored_row.row.key, stored_row.value)
            if isinstance(decoded, Err):
                _log.error("routes not installed", detail=decoded.err_value.detail)
            elif isinstance(decoded.ok_value, RouteTable):
                self._install_routes(decoded.ok_value)
                self._on_change()
            elif decoded.ok_value is not None:
                self._announce(*decoded.ok_value)

    def _announce(self, model: str, version: int) -> None:
        if version <= self._announced_versions.get(model, 0):
            return
        self._announced_versions[model] = version
        if self._is_scheduling():
            _log.info("model version announced", model=model, version=version)
        self._on_change()
