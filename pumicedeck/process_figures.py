"""Processor time and memory that this process has used."""

import resource
from dataclasses import dataclass
from pathlib import Path

PAGE_BYTES = resource.getpagesize()
STATM = Path("/proc/self/statm")


@dataclass(frozen=True, slots=True)
class ProcessFigures:
    """Processor seconds since the start and resident bytes now."""

    cpu_seconds: float
    resident_bytes: int


def read_process_figures() -> ProcessFigures:
    """Read the figures of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    resident_pages = int(STATM.read_text(encoding="ascii").split()[1])
    return ProcessFigures(usage.ru_utime + usage.ru_stime, resident_pages * PAGE_BYTES)
