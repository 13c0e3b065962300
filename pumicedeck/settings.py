"""The settings of entries and agents, with their defaults and checks."""

from collections.abc import Callable
from typing import Annotated, Any

from pydantic import BeforeValidator, Field, model_validator

from pumicedeck.platform_interfaces import adapter_names
from pumicedeck.registries import queue_names, router_names
from pumicedeck.settings_files import Duration, ListenAddress, LogSettings, Section, Size
from pumicedeck.topology import EndpointKind

MIN_SECRET_CHARACTERS = 16


def _one_of(kind: str, registered_names: Callable[[], tuple[str, ...]]) -> Any:
    def check_registered(value: Any) -> str:
        if value not in registered_names():
            raise ValueError(
                f"unknown {kind} {value!r}, expected one of: {', '.join(registered_names())}"
            )
        return value

    return Annotated[str, BeforeValidator(check_registered)]


def _adapter(interface: str) -> Any:
    return _one_of("adapter", lambda: adapter_names(interface))


class AdapterSettings(Section):
    """The name of an adapter, the address it connects to and the timeout of a request."""

    adapter: str
    address: ListenAddress
    timeout: Duration = 2.0


class TableStoreSettings(AdapterSettings):
    """The table service."""

    adapter: _adapter("TableStore") = "http"


class ObjectStoreSettings(AdapterSettings):
    """The object store."""

    adapter: _adapter("ObjectStore") = "http"


class WeightStoreSettings(AdapterSettings):
    """The weight store; `rate` is what its operators allow, in bytes per second."""

    adapter: _adapter("WeightStore") = "http"
    rate: Size = 1024**3


class VmListSettings(AdapterSettings):
    """The platform's list of VMs."""

    adapter: _adapter("VmList") = "http"


class PlatformSettings(Section):
    """Adapters and addresses of the platform's services."""

    table_store: TableStoreSettings
    object_store: ObjectStoreSettings
    weight_store: WeightStoreSettings
    vm_list: VmListSettings


class TimeSettings(Section):
    """Durations that entries and agents share; `session_silence` ends a session."""

    heartbeat: Duration = 1.0
    session_silence: Duration = 3.5
    drain_grace: Duration = 60.0
    balancer_notice: Duration = 5.0


class BoundSettings(Section):
    """Limits on HTTP requests, and on the answers that an agent retains for retries.

    `client_memory` is what the bodies of all requests may take while they are received and served;
    each counts three times, for its copies.
    """

    header: Size = 16 * 1024
    body: Size = 8 * 1024**2
    request_time: Duration = 30.0
    client_memory: Size = 64 * 1024**2
    kept_answers: Size = 64 * 1024**2
    kept_answer_time: Duration = 120.0


class ProcessSettings(Section):
    """Settings that entries and agents share."""

    vm: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    region: str = Field(min_length=1)
    secrets: tuple[Annotated[str, Field(min_length=MIN_SECRET_CHARACTERS)], ...] = Field(
        min_length=1, strict=False
    )
    platform: PlatformSettings
    log: LogSettings = LogSettings()
    times: TimeSettings = TimeSettings()
    bounds: BoundSettings = BoundSettings()
    seed: int = 0


class EntrySettings(ProcessSettings):
    """An entry: the addresses for callers and operators, and its router."""

    callers: ListenAddress
    operators: ListenAddress
    router: _one_of("router", router_names) = "expected_wait"
    max_sessions: int = Field(45, ge=1)


class EndpointSettings(Section):
    """The endpoint beside an agent."""

    name: str = Field(min_length=1)
    pool: str = Field(min_length=1)
    kind: Annotated[EndpointKind, Field(strict=False)]
    slots: int = Field(8, ge=1)
    address: ListenAddress
    adapter: str = "http"
    timeout: Duration = 120.0

    @model_validator(mode="after")
    def _check_adapter(self) -> "EndpointSettings":
        interface = "ModelEngine" if self.kind is EndpointKind.MODEL else "PlainService"
        if self.adapter not in adapter_names(interface):
            known = ", ".join(adapter_names(interface))
            raise ValueError(f"unknown adapter {self.adapter!r}, expected one of: {known}")
        return self


class AgentSettings(ProcessSettings):
    """An agent: the addresses for entries and operators, its endpoint and its queue."""

    sessions: ListenAddress
    operators: ListenAddress
    endpoint: EndpointSettings
    queue: _one_of("queue", queue_names) = "fair"
    swap_rank: int = Field(0, ge=0)
