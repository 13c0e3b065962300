"""Finds the events of one request, submission or item in the logs of any number of processes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

ACCOUNT_FIELD = "account"
# Events that explain a failure, the most serious first.
CAUSE_EVENTS = (
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
    """One log event; `at` is in seconds, `fields` leaves out time, VM, event, level and module."""

    at: float
    vm: str
    event: str
    fields: dict

    def text(self) -> str:
        """Return the line as the command prints it."""
        shown = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at:.3f} {self.vm} {self.event}: {shown}"


@dataclass(frozen=True, slots=True)
class Explanation:
    """The events of one id in order of time.

    `cause` is the latest of the most serious events, by the order of `CAUSE_EVENTS`, or None;
    `unreadable` counts the lines that could not be parsed. `account` names the client account,
    empty if no line does.
    """

    cause: LogLine | None
    lines: tuple[LogLine, ...]
    unreadable: int
    account: str = ""


def parse_line(text: str) -> LogLine | None:
    """Parse a log line, skipping a prefix added by a log collector; None if it is no event."""
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


def explain(identity: str, log_lines: Iterable[str]) -> Explanation:
    """Return the events that name `identity`; `log_lines` is read once and not stored."""
    matching, unreadable = [], 0
    for text in log_lines:
        if not text.strip():
            continue
        if identity not in text:
            unreadable += "{" in text and parse_line(text) is None
            continue
        line = parse_line(text)
        if line is None:
            unreadable += 1
        elif identity in _text_values(line.fields):
            matching.append(line)
    matching.sort(key=lambda line: line.at)
    names = (line.fields.get(ACCOUNT_FIELD) for line in matching)
    account = next((name for name in names if name), "")
    return Explanation(_cause(matching), tuple(matching), unreadable, account)


def _text_values(fields: dict) -> Iterator[str]:
    """Yield the texts among the fields, also those in lists, such as names of endpoints.

    An account's name is left out: an id that equals it would match each line of the account.
    """
    for name, value in fields.items():
        if name == ACCOUNT_FIELD:
            continue
        if isinstance(value, str):
            yield value
        elif isinstance(value, list):
            yield from (each for each in value if isinstance(each, str))


def _cause(lines: list[LogLine]) -> LogLine | None:
    for event in CAUSE_EVENTS:
        for line in reversed(lines):
            if line.event == event:
                return line
    return None
