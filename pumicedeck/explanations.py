"""Finds the life of one request, submission or item in the logs of any number of processes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

CAUSES = (
    "refused",
    "item given up",
    "submission not accepted",
    "stream broken",
    "reward call failed",
    "run ended early",
    "submission dropped",
    "attempt failed",
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event; `fields` holds what is neither time, process nor event."""

    at: float
    vm: str
    event: str
    fields: dict

    def text(self) -> str:
        """Return the line as it is shown."""
        shown = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at:.3f} {self.vm} {self.event}: {shown}"


@dataclass(frozen=True, slots=True)
class Explanation:
    """The events of one id in order; `cause` is the gravest, `unread` counts lines left out."""

    cause: LogLine | None
    lines: tuple[LogLine, ...]
    unreadable: int


def read_line(text: str) -> LogLine | None:
    """Read a line, which may have a prefix of whoever collected it; None if it is no event."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
        fields = dict(document)
        at, vm, event = fields.pop("at"), fields.pop("vm"), fields.pop("event")
        fields.pop("level", None)
        fields.pop("module", None)
        return LogLine(float(at), str(vm), str(event), fields)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def explain(identity: str, texts: Iterable[str]) -> Explanation:
    """Return what happened to an id; the input is read once and not kept."""
    found, unreadable = [], 0
    for text in texts:
        if not text.strip():
            continue
        if identity not in text:
            unreadable += "{" in text and read_line(text) is None
            continue
        line = read_line(text)
        if line is None:
            unreadable += 1
        elif identity in _identities(line.fields):
            found.append(line)
    found.sort(key=lambda line: line.at)
    return Explanation(_cause(found), tuple(found), unreadable)


def _identities(fields: dict) -> Iterator[str]:
    return (value for value in fields.values() if isinstance(value, str))


def _cause(lines: list[LogLine]) -> LogLine | None:
    for event in CAUSES:
        for line in reversed(lines):
            if line.event == event:
                return line
    return None
