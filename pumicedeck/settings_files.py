"""Reads settings files and parses durations, sizes and addresses in them.

Imports no module that fills a registry, because that would delay the start of a gateway.
"""

import re
from pathlib import Path
from typing import Annotated, Any, TypeVar

import yaml
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import Address

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|min|h)")
_DURATION_UNITS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_SIZE = re.compile(r"(\d+)(B|KiB|MiB|GiB)")
_SIZE_UNITS = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
_ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})")
MAX_OCTET = 255
MAX_PORT = 65535

T = TypeVar("T", bound="Section")


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
    is_valid = match is not None and int(match[2]) <= MAX_PORT
    is_valid = is_valid and all(int(octet) <= MAX_OCTET for octet in match[1].split("."))
    if not is_valid:
        raise ValueError("expected an IP number and a port, such as 127.0.0.1:8080")
    return Address(match[1], int(match[2]))


Duration = Annotated[float, BeforeValidator(_duration)]
Size = Annotated[int, BeforeValidator(_size)]
ListenAddress = Annotated[Address, BeforeValidator(_address)]


class Section(BaseModel):
    """Base of the sections of a settings file; an unknown key is an error."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, arbitrary_types_allowed=True
    )


class LogSettings(Section):
    """The lowest level that is logged, and the format of log lines: json or text."""

    level: str = Field("INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    format: str = Field("json", pattern="^(json|text)$")


def describe_validation_errors(path: Path, error: ValidationError) -> str:
    """Return a line per invalid key with the file, the key, what was expected and found."""
    lines = []
    for problem in error.errors():
        key = ".".join(str(part) for part in problem["loc"]) or "(top)"
        found_text = (
            f", found {problem['input']!r}" if problem["type"] not in ("missing", "extra") else ""
        )
        if problem["type"] == "extra_forbidden":
            lines.append(f"{path}: {key}: unknown key")
        elif problem["type"] == "missing":
            lines.append(f"{path}: {key}: is missing")
        else:
            lines.append(
                f"{path}: {key}: {problem['msg'].removeprefix('Value error, ')}{found_text}"
            )
    return "\n".join(lines)


def parse_settings(cls: type[T], path: Path, text: str) -> Result[T, Failure]:
    """Parse and check the text of a settings file; BAD_SETTINGS names `path` and the key."""
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Err(Failure(ResultCode.BAD_SETTINGS, f"{path}: not YAML: {error}"))
    if not isinstance(document, dict):
        return Err(Failure(ResultCode.BAD_SETTINGS, f"{path}: expected a mapping of settings"))
    try:
        return Ok(cls.model_validate(document))
    except ValidationError as error:
        return Err(Failure(ResultCode.BAD_SETTINGS, describe_validation_errors(path, error)))


def load_settings(cls: type[T], path: Path) -> Result[T, Failure]:
    """Read, parse and check a settings file; the failure is BAD_SETTINGS."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(Failure(ResultCode.BAD_SETTINGS, f"{path}: {error}"))
    return parse_settings(cls, path, text)
