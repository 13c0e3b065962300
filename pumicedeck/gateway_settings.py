"""Settings of a gateway."""

from pydantic import BaseModel, ConfigDict, Field

from pumicedeck.settings_files import ListenAddress, LogSettings, Section


class StoreSettings(Section):
    """The platform's store; rates are calls a second of all processes together.

    A call is given up after `call_seconds`, after each such end later, up to
    `longest_call_seconds`, until one is answered.
    """

    address: ListenAddress
    call_seconds: float = 0.8
    longest_call_seconds: float = 2.5
    writes_per_second: float = 800.0
    reads_per_second: float = 2000.0
    row_bytes: int = 65_536


class PromiseSettings(BaseModel):
    """Bounds that the users set; times are in seconds once read."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    drain_milliseconds: int = 3000
    grace_seconds: float = 8.0
    lease_milliseconds: int = 3000
    status_seconds: float = 120.0
    settle_milliseconds: int = 1000


class MachineSettings(Section):
    """What this VM has: cores as a share of one, bytes and descriptors."""

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_megabytes: int = 256
    descriptors: int = 1024


class GatewaySettings(Section):
    """A gateway: where callers and the balancer reach it, and the platform's store.

    `metrics_port` is a port of its own for metrics on the readiness address's host, 0 for none.
    """

    vm: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    region: str = Field(min_length=1)
    regions: dict[str, str] = {}
    callers: ListenAddress
    readiness: ListenAddress
    metrics_port: int = Field(0, ge=0, le=65535)
    store: StoreSettings
    promises: PromiseSettings = PromiseSettings()
    machine: MachineSettings = MachineSettings()
    log: LogSettings = LogSettings()
