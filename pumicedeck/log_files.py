"""Reads the log lines of many processes from files, packed files and folders."""

import gzip
import re
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import TextIO

PACKED_SUFFIX = ".gz"
_AT = re.compile(r'"at": (\d+(?:\.\d+)?)')


@dataclass(frozen=True, slots=True)
class TimeWindow:
    """A span of time, both ends included, in seconds as in the field `at` of log lines."""

    since: float = -inf
    until: float = inf

    def admits(self, line: str) -> bool:
        """Return whether a line lies in the window; a line without a time always does."""
        if self == ALL_TIMES:
            return True
        match = _AT.search(line)
        return match is None or self.since <= float(match[1]) <= self.until


ALL_TIMES = TimeWindow()


def find_log_files(paths: list[Path]) -> list[Path]:
    """Return the given files, and in place of each folder all files below it, by name."""
    found: list[Path] = []
    for path in paths:
        if path.is_dir():
            found += sorted(each for each in path.rglob("*") if each.is_file())
        else:
            found.append(path)
    return found


def read_lines(paths: list[Path], window: TimeWindow = ALL_TIMES) -> Iterator[str]:
    """Yield the lines of files and folders that lie in a window.

    Files that end with `.gz` are unpacked. Bytes that are not UTF-8 are replaced.
    """
    for path in find_log_files(paths):
        with _open(path) as file:
            yield from (line for line in file if window.admits(line))


def _open(path: Path) -> TextIO:
    if path.suffix == PACKED_SUFFIX:
        return gzip.open(path, "rt", encoding="utf-8", errors="replace")
    return path.open(encoding="utf-8", errors="replace")
