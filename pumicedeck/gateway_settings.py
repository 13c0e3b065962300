"""Settings of a gateway process, as read from its settings file."""

from typing import Any

from pydantic import BaseModel, ConfigDict, Field, model_validator

from pumicedeck.settings_files import ListenAddress, LogSettings, Section


class StoreSettings(Section):
    """The platform's store; rates are in calls per second, all processes together.

    A call times out after `call_seconds`. The time-out grows with each call that times out, up to
    `longest_call_seconds`, and shrinks again when calls are answered.
    """

    address: ListenAddress
    call_seconds: float = 0.8
    longest_call_seconds: float = 2.5
    writes_per_second: float = 800.0
    reads_per_second: float = 2000.0
    row_bytes: int = 65_536


class PromiseSettings(BaseModel):
    """Time limits that the users set; the units are in the names."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    drain_milliseconds: int = 3000
    grace_seconds: float = 8.0
    lease_milliseconds: int = 3000
    status_seconds: float = 120.0
    settle_milliseconds: int = 1000


class MachineSettings(Section):
    """Resources of this VM; the process may use `cores` times `cpu_share` CPU cores."""

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_megabytes: int = 256
    descriptors: int = 1024


class AccountSettings(Section):
    """When requests that the known configuration does not allow are refused for good.

    An unknown key or a request without a route is refused for good only if the store has confirmed
    the configuration within `max_configuration_age_seconds`; the store answers the configuration's
    feed each second.
    """

    max_configuration_age_seconds: float = Field(1.5, gt=0)


class MechanismSettings(Section):
    """Mechanisms that can be switched one by one, to measure what each is worth.

    Those that are off by default have not been shown to be worth more than what they replace.
    """

    reuse_of_outputs: bool = True
    loads_in_turns: bool = True
    longest_first: bool = True
    turns_of_short_items: bool = True
    optional_groups: bool = True
    moves: bool = True
    remembered_engine_speeds: bool = True
    placement_by_end: bool = True
    interval_windows: bool = True
    announced_orders: bool = True
    store_relays: bool = True
    weak_machines_later: bool = True
    peer_checks: bool = True
    outlier_avoidance: bool = True
    retries: bool = True
    stalled_engine_ends: bool = True
    request_quarantine: bool = True
    request_permits: bool = True
    software_versions: bool = True
    noise_aware_moves: bool = False
    engines_by_need: bool = False
    learned_lengths: bool = False


METERING_DUTY = "metering"


class CloudSettings(BaseModel):
    """The platform's API and the duties that one of all gateways does for it.

    Rates are in calls per second, all gateways together; `duty_per_second` is for calls of duties.
    A value that the platform leaves empty has its default.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, arbitrary_types_allowed=True)

    address: ListenAddress
    duties: list[str] = []
    rate_per_second: float = Field(100.0, gt=0)
    duty_per_second: float = Field(10.0, gt=0)
    usage_window_seconds: float = Field(5.0, gt=0)
    usage_late_seconds: float = Field(10.0, gt=0)

    @model_validator(mode="before")
    @classmethod
    def _drop_empty(cls, values: Any) -> Any:
        if not isinstance(values, dict):
            return values
        return {key: value for key, value in values.items() if value is not None}

    @property
    def asks_for_usage(self) -> bool:
        """Return whether use is to be reported."""
        return METERING_DUTY in self.duties


class GatewaySettings(Section):
    """A gateway: the addresses for callers and for the balancer, and the platform's store.

    `regions` maps failure domains to regions. `metrics_port` is an additional port for metrics on
    the host of the readiness address, 0 for none. At `relay_port` on that host each gateway passes
    on calls of peers that cannot reach the store; 0 switches this off. All gateways use one port.
    Without `cloud` there are no duties.
    """

    vm: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    region: str = Field(min_length=1)
    regions: dict[str, str] = {}
    callers: ListenAddress
    readiness: ListenAddress
    metrics_port: int = Field(0, ge=0, le=65535)
    relay_port: int = Field(0, ge=0, le=65535)
    store: StoreSettings
    promises: PromiseSettings = PromiseSettings()
    machine: MachineSettings = MachineSettings()
    accounts: AccountSettings = AccountSettings()
    mechanisms: MechanismSettings = MechanismSettings()
    log: LogSettings = LogSettings()
    cloud: CloudSettings | None = None
