"""What is known of an endpoint that is called without an agent: its registration and its state."""

from dataclasses import dataclass
from math import inf

from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.topology import Address, FailureDomain

# After this time one is chosen like the others: its answer tells whether the limit still holds.
LIMIT_RECHECK_SECONDS = 10.0
LOAD_REPORT_MAX_AGE_SECONDS = 1.0


def version_in(models: tuple[LoadedModel, ...], model: str) -> int:
    """Return the weight version of `model` among `models`, 0 if it is not among them."""
    return next((each.version for each in models if each.model == model), 0)


@dataclass(frozen=True, slots=True)
class DirectEndpoint:
    """An endpoint as it registered itself; `incarnation` changes when the endpoint restarts.

    `software_version` names the software that it runs, unlike the versions of the weights in
    `models`. Several may serve one pool at a time; they have no order.
    """

    name: str
    pool: str
    address: Address
    failure_domain: FailureDomain
    slots: int
    draining: bool = False
    incarnation: int = 0
    models: tuple[LoadedModel, ...] = ()
    software_version: str = ""

    def version_of(self, model: str) -> int:
        """Return the weight version of a model, 0 if the endpoint does not hold it."""
        return version_in(self.models, model)


@dataclass(slots=True)
class EndpointState:
    """What is known of an endpoint from calls to it; times in seconds of the injected clock.

    `in_flight` counts the calls of this process, `latency` is the smoothed duration of calls, 0
    before the first, and until `avoid_until` the endpoint is chosen last; its last failure was at
    `failed_at`. An endpoint that has not answered since it lost a connection `needs_trial`; while
    `has_trial`, a trial call is open. It `may_have_restarted` if it has lost a connection since
    its registration or its last report of its incarnation. Connections that were open at
    `confirmed_at` lead to the registered incarnation.

    `request_limit` is how many requests per second the endpoint accepts from all gateways together,
    None if it names none; it was named last at `limit_named_at`.

    `order` numbers the endpoints of a directory in the order in which they were added.
    """

    endpoint: DirectEndpoint
    in_flight: int = 0
    reported_waiting: int = 0
    reported_running: int = 0
    reported_at: float = -1e9
    latency: float = 0.0
    failures: int = 0
    avoid_until: float = 0.0
    failed_at: float = -inf
    needs_trial: bool = False
    has_trial: bool = False
    may_have_restarted: bool = False
    confirmed_at: float = -inf
    request_limit: float | None = None
    limit_named_at: float = -inf
    order: int = 0

    def is_avoided(self, now: float) -> bool:
        """Return whether the endpoint is chosen last."""
        return now < self.avoid_until or (self.needs_trial and self.has_trial)

    def load(self, now: float) -> float:
        """Return the number of calls per slot.

        The calls are those of this process or, while its last report is at most
        `LOAD_REPORT_MAX_AGE_SECONDS` old, those that the endpoint reported, if more.
        """
        calls = float(self.in_flight)
        if now - self.reported_at < LOAD_REPORT_MAX_AGE_SECONDS:
            calls = max(calls, self.reported_running + self.reported_waiting)
        return calls / max(1, self.endpoint.slots)


@dataclass(frozen=True, slots=True)
class SharedLimit:
    """The request limit, per second, of an endpoint's incarnation, as a gateway reported it."""

    incarnation: int
    limit: float
