"""Renders the settings of a section as a Markdown table for the documentation."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any, get_args

from pydantic.fields import FieldInfo

from pumicedeck.settings_files import Section
from pumicedeck.topology import Address


@dataclass(frozen=True, slots=True)
class SettingRow:
    """One row of the table: the dotted path of a setting, its kind and its default."""

    path: str
    kind: str
    default: str


def setting_rows(cls: type[Section], prefix: str = "") -> Iterator[SettingRow]:
    """Yield a row for each setting of a section and of the sections nested in it."""
    for name, field_info in cls.model_fields.items():
        path = f"{prefix}{name}"
        if isinstance(field_info.annotation, type) and issubclass(field_info.annotation, Section):
            yield from setting_rows(field_info.annotation, f"{path}.")
        else:
            yield SettingRow(path, _kind(field_info), _default(field_info))


def settings_table(cls: type[Section]) -> str:
    """Return a Markdown table of the settings of a section."""
    lines = ["| setting | kind | default |", "|---|---|---|"]
    lines += [f"| `{row.path}` | {row.kind} | {row.default} |" for row in setting_rows(cls)]
    return "\n".join(lines)


def _kind(field_info: FieldInfo) -> str:
    validators = [getattr(validator, "func", None) for validator in field_info.metadata]
    validator_names = [
        getattr(validator, "__name__", "") for validator in validators if validator is not None
    ]
    if "_duration" in validator_names:
        return "duration with unit"
    if "_size" in validator_names:
        return "size with unit"
    annotation = field_info.annotation
    if annotation is Address:
        return "IP number and port"
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return "one of " + ", ".join(str(member.value) for member in annotation)
    if get_args(annotation):
        return "list of texts"
    return {str: "text", int: "number", float: "number"}.get(annotation, "text")


def _default(field_info: FieldInfo) -> str:
    if field_info.is_required():
        return "required"
    return _format_value(field_info.default, _kind(field_info))


def _format_value(value: Any, kind: str) -> str:
    if kind == "duration with unit":
        return f"{value:g}s"
    if kind == "size with unit":
        return f"{value}B"
    return str(value)
