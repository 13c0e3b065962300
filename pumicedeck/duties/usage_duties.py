"""The reports of use of one gateway: counting, saving and, at the holder of the lease, sending."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from result import Ok, Result

from pumicedeck.call_figures import gauge_line
from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import EndpointDirectory
from pumicedeck.duties.request_beginnings import RequestBeginnings
from pumicedeck.duties.usage_clocks import UsageClock
from pumicedeck.duties.usage_counts import UsageCounts
from pumicedeck.duties.usage_dialects import UsageDialect
from pumicedeck.duties.usage_reports import ReportSettings
from pumicedeck.duties.usage_savers import UsageSaver
from pumicedeck.duties.usage_senders import SendUsage, UsageSender
from pumicedeck.gateway_settings import CloudSettings, GatewaySettings
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpResponse
from pumicedeck.leases import LeaseHolder
from pumicedeck.partitioned_stores import PartitionedStore
from pumicedeck.results import Failure
from pumicedeck.store_clocks import StoreClock
from pumicedeck.tasks import Promise, sleep, spawn

# Of the time that a new holder waits for the calls of the one before.
CALL_SHARE_OF_LEASE = 2 / 3
# The process is killed 0.6 s after its drain has ended at the latest.
FINISH_SECONDS = 0.3
FINISH_CHECK_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class UsageParts:
    """What the reports of use share with the rest of the gateway.

    `incarnation` is VM and incarnation with a slash between them, `time_of_day` is in seconds since
    the start of 1970, `members` returns how many gateways are known, and `store_contact_at` when
    the store answered last, on the process's clock.
    """

    timers: TimerQueue
    store: PartitionedStore
    clock: StoreClock
    directory: EndpointDirectory
    lease: LeaseHolder
    random: Random
    incarnation: str
    time_of_day: Callable[[], float]
    members: Callable[[], int]
    store_contact_at: Callable[[], float]


def choose_report_settings(cloud: CloudSettings, lease_seconds: float) -> ReportSettings:
    """Return the times of reports; those until one is sent are shares of the time it is due in."""
    late_seconds = cloud.usage_late_seconds
    calls_per_second = min(cloud.rate_per_second, cloud.duty_per_second)
    return ReportSettings(
        window_seconds=cloud.usage_window_seconds,
        fix_seconds=0.3 * late_seconds,
        patience_seconds=0.5 * late_seconds,
        outage_seconds=0.7 * late_seconds,
        late_seconds=late_seconds,
        quiet_seconds=lease_seconds,
        spacing_seconds=1.0 / calls_per_second,
    )


def http_usage_sender(
    client: HttpClient, dialect: UsageDialect, cloud: CloudSettings, vm: str, lease_seconds: float
) -> SendUsage:
    """Return a function that sends a report; it is given up before a new holder may send."""

    def send(token: int, window: int, counts: dict[str, int]) -> Promise[int | None]:
        promise: Promise[int | None] = Promise()

        def on_outcome(outcome: Result[HttpResponse, Failure]) -> None:
            promise.resolve(outcome.ok_value.status if isinstance(outcome, Ok) else None)

        request = dialect.encode_report(cloud.address, vm, token, window, counts)
        seconds = CALL_SHARE_OF_LEASE * lease_seconds
        client.send(request, on_outcome, silence_seconds=seconds, total_seconds=seconds)
        return promise

    return send


class UsageDuty:
    """Counts callers' requests by client account, and reports them while the lease is held."""

    def __init__(
        self,
        parts: UsageParts,
        settings: ReportSettings,
        send: SendUsage,
        close_client: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a duty that does nothing until `start`; reports are sent with `send`.

        `close` calls `close_client`.
        """
        self._close_client = close_client
        self._timers = parts.timers
        self._clock = UsageClock(
            parts.timers,
            parts.store,
            parts.clock,
            parts.incarnation.partition("/")[0],
            parts.time_of_day,
            settings.window_seconds,
            parts.members,
            decides=lambda: self._sender.token > 0,
        )
        counts = UsageCounts(self._clock.window_at)
        self._beginnings = RequestBeginnings(parts.timers, parts.directory, counts)
        self._saver = UsageSaver(
            parts.timers,
            parts.store,
            self._clock,
            counts,
            self._beginnings,
            parts.incarnation,
            settings.window_seconds,
            parts.members,
            parts.random,
        )
        self._sender = UsageSender(
            parts.timers,
            parts.store,
            self._clock,
            parts.lease,
            send,
            settings,
            parts.store_contact_at,
        )

    @property
    def beginnings(self) -> RequestBeginnings:
        """Return what counts the requests that begin."""
        return self._beginnings

    def start(self) -> None:
        """Begin to save, and to report while the lease is held."""
        self._clock.start()
        self._saver.start()
        self._sender.start()

    def drain(self) -> None:
        """Save all counts at once from now on."""
        self._saver.stop()

    def finish(self, done: Callable[[], None]) -> None:
        """Call `done` once all counts are saved, or after FINISH_SECONDS."""
        self._saver.stop()
        spawn(self._finish(done), "usage end")

    def close(self) -> None:
        """Stop; counts that are not saved are lost."""
        self._clock.close()
        self._saver.close()
        self._sender.close()
        self._close_client()

    def metric_lines(self) -> list[str]:
        """Return the counters in the exposition format."""
        return [
            gauge_line("usage_reports_sent_total", self._sender.sent),
            gauge_line("usage_reports_late_total", self._sender.late),
            gauge_line("usage_reports_repeated_total", self._sender.repeated),
            gauge_line("usage_requests_too_late_total", self._saver.too_late),
        ]

    async def _finish(self, done: Callable[[], None]) -> None:
        until = self._timers.now() + FINISH_SECONDS
        while not self._saver.is_saved and self._timers.now() < until:
            await sleep(self._timers, FINISH_CHECK_SECONDS)
        done()


def build_usage_duty(
    parts: UsageParts, settings: GatewaySettings, dialect: UsageDialect, client: HttpClient
) -> UsageDuty:
    """Return the duty of a gateway whose settings ask for it; it closes `client`."""
    lease_seconds = settings.promises.lease_milliseconds / 1000
    cloud = settings.cloud
    report_settings = choose_report_settings(cloud, lease_seconds)
    send = http_usage_sender(client, dialect, cloud, settings.vm, lease_seconds)
    return UsageDuty(parts, report_settings, send, client.close)
