"""Reads, defaults and checks every setting of every process."""

import re
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, TypeVar

import yaml
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError, model_validator
from result import Err, Ok, Result

from pumicedeck.platform_interfaces import adapter_names
from pumicedeck.registries import queue_names, router_names
from pumicedeck.results import Failure, ResultCode
from pumicedeck.world import Address, EndpointKind

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|min|h)")
_DURATION_UNITS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_SIZE = re.compile(r"(\d+)(B|KiB|MiB|GiB)")
_SIZE_UNITS = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
_ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})")
MAX_OCTET = 255
MAX_PORT = 65535
MIN_SECRET_CHARACTERS = 16

T = TypeVar("T", bound="ProcessSettings")


def _duration(value: Any) -> float:
    if isinstance(value, float):
        return value
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError("expected a duration with its unit, such as 250ms, 1.5s, 2min or 1h")
    return float(match[1]) * _DURATION_UNITS[match[2]]


def _size(value: Any) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    match = _SIZE.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError("expected a size with its unit, such as 512KiB or 8MiB")
    return int(match[1]) * _SIZE_UNITS[match[2]]


def _address(value: Any) -> Address:
    if isinstance(value, Address):
        return value
    match = _ADDRESS.fullmatch(value) if isinstance(value, str) else None
    valid = match is not None and int(match[2]) <= MAX_PORT
    valid = valid and all(int(octet) <= MAX_OCTET for octet in match[1].split("."))
    if not valid:
        raise ValueError("expected an IP number and a port, such as 127.0.0.1:8080")
    return Address(match[1], int(match[2]))


def _one_of(kind: str, names: Callable[[], tuple[str, ...]]) -> Any:
    def check(value: Any) -> str:
        if value not in names():
            raise ValueError(f"unknown {kind} {value!r}, expected one of: {', '.join(names())}")
        return value

    return Annotated[str, BeforeValidator(check)]


def _adapter(interface: str) -> Any:
    return _one_of("adapter", lambda: adapter_names(interface))


Duration = Annotated[float, BeforeValidator(_duration)]
Size = Annotated[int, BeforeValidator(_size)]
ListenAddress = Annotated[Address, BeforeValidator(_address)]


class Section(BaseModel):
    """A part of a settings file; unknown keys are refused."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, arbitrary_types_allowed=True
    )


class AdapterSettings(Section):
    """An adapter's name and the address it talks to."""

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
    """The weight store and the rate that its operators allow, in bytes per second."""

    adapter: _adapter("WeightStore") = "http"
    rate: Size = 1024**3


class VmListSettings(AdapterSettings):
    """The platform's list of VMs."""

    adapter: _adapter("VmList") = "http"


class PlatformSettings(Section):
    """Where the platform's services are."""

    table_store: TableStoreSettings
    object_store: ObjectStoreSettings
    weight_store: WeightStoreSettings
    vm_list: VmListSettings


class LogSettings(Section):
    """What is logged and how; `format` is json or text."""

    level: str = Field("INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    format: str = Field("json", pattern="^(json|text)$")


class TimeSettings(Section):
    """Times that both roles keep; durations."""

    heartbeat: Duration = 1.0
    session_silence: Duration = 3.5
    drain_grace: Duration = 60.0
    balancer_notice: Duration = 5.0


class BoundSettings(Section):
    """Bounds on what callers and peers may send; sizes and durations."""

    header: Size = 16 * 1024
    body: Size = 8 * 1024**2
    request_time: Duration = 30.0
    kept_answers: Size = 64 * 1024**2
    kept_answer_time: Duration = 120.0


class ProcessSettings(Section):
    """What a process of either role must know of itself."""

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
    """An entry: where callers and operators reach it, and how it routes."""

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
    """An agent: where entries reach it, and its endpoint."""

    sessions: ListenAddress
    operators: ListenAddress
    endpoint: EndpointSettings
    queue: _one_of("queue", queue_names) = "fair"
    swap_rank: int = Field(0, ge=0)


def explain(path: Path, error: ValidationError) -> str:
    """Return a line for each wrong key: the file, the key and what is expected."""
    lines = []
    for each in error.errors():
        key = ".".join(str(part) for part in each["loc"]) or "(top)"
        found = f", found {each['input']!r}" if each["type"] not in ("missing", "extra") else ""
        if each["type"] == "extra_forbidden":
            lines.append(f"{path}: {key}: unknown key")
        elif each["type"] == "missing":
            lines.append(f"{path}: {key}: is missing")
        else:
            lines.append(f"{path}: {key}: {each['msg'].removeprefix('Value error, ')}{found}")
    return "\n".join(lines)


def parse_settings(cls: type[T], path: Path, text: str) -> Result[T, Failure]:
    """Check the text of a settings file; `path` only names it in errors."""
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Err(Failure(ResultCode.BAD_SETTINGS, f"{path}: not YAML: {error}"))
    if not isinstance(document, dict):
        return Err(Failure(ResultCode.BAD_SETTINGS, f"{path}: expected a mapping of settings"))
    try:
        return Ok(cls.model_validate(document))
    except ValidationError as error:
        return Err(Failure(ResultCode.BAD_SETTINGS, explain(path, error)))


def load_settings(cls: type[T], path: Path) -> Result[T, Failure]:
    """Read and check a settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(Failure(ResultCode.BAD_SETTINGS, f"{path}: {error}"))
    return parse_settings(cls, path, text)
