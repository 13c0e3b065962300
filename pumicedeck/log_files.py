"""Reads log files line by line."""

from collections.abc import Iterator
from pathlib import Path


def read_lines(paths: list[Path]) -> Iterator[str]:
    """Yield the lines of several files; bytes that are not UTF-8 are replaced."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield from file
