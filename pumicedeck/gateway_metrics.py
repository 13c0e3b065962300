"""A gateway's state and counters as text for the metrics address."""

from collections.abc import Callable

from pumicedeck.call_figures import CallMetrics, gauge_line, gauge_lines
from pumicedeck.clocks import TimerQueue
from pumicedeck.leases import LeaseHolder
from pumicedeck.process_figures import read_process_figures
from pumicedeck.route_tables import RouteTable
from pumicedeck.scheduling.schedulers import Scheduler
from pumicedeck.store_feeds import StoreFeed


class GatewayMetrics:
    """Reads all gauges and counters when the metrics are requested."""

    def __init__(
        self,
        timers: TimerQueue,
        calls: CallMetrics,
        scheduler: Scheduler,
        lease: LeaseHolder,
        feeds: tuple[StoreFeed, ...],
        routes: Callable[[], RouteTable | None],
        extra_lines: Callable[[], list[str]] = lambda: [],
    ) -> None:
        """Read from the given parts; `routes` returns the installed routes or None.

        `extra_lines` returns the lines of parts that are not passed here.
        """
        self._timers = timers
        self._calls = calls
        self._scheduler = scheduler
        self._lease = lease
        self._feeds = feeds
        self._routes = routes
        self._extra_lines = extra_lines

    def text(self, ready: bool, open_calls: int) -> str:
        """Return gauges, counts and durations in the exposition format."""
        now = self._timers.now()
        routes = self._routes()
        usage = read_process_figures()
        contact_ages = {feed.table: round(now - feed.last_contact_at, 3) for feed in self._feeds}
        skipped = {feed.table: feed.skipped for feed in self._feeds}
        lines = [
            gauge_line("ready", int(ready)),
            gauge_line("routes_version", routes.version if routes else 0),
            *gauge_lines("store_heard_seconds_ago", "table", contact_ages),
            *gauge_lines("rows_skipped", "table", skipped),
            gauge_line("lease_held", int(self._lease.holds(now))),
            gauge_line("lease_fencing", self._lease.fencing),
            gauge_line("scheduler_active", int(self._scheduler.is_active)),
            gauge_line("open_submissions", self._scheduler.open_submissions),
            gauge_line("running_items", self._scheduler.running_items),
            *gauge_lines("waiting_items", "model", self._scheduler.waiting_by_model()),
            *gauge_lines("endpoint_running_items", "endpoint", self._scheduler.running_by_engine()),
            *(
                line
                for name, counts in self._scheduler.changes_by_reason.items()
                for line in gauge_lines(name, "reason", counts)
            ),
            gauge_line("open_calls", open_calls),
            *self._calls.lines(),
            *self._extra_lines(),
            gauge_line("cpu_seconds", round(usage.cpu_seconds, 3)),
            gauge_line("resident_bytes", usage.resident_bytes),
        ]
        return "\n".join(lines) + "\n"
