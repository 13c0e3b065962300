"""Reads the processor time and the memory that this process has used."""

import resource
from dataclasses import dataclass
from pathlib import Path

PAGE_BYTES = resource.getpagesize()
STATM_PATH = Path("/proc/self/statm")


@dataclass(frozen=True, slots=True)
class ProcessFigures:
    """Processor seconds since the start of the process, and its current resident memory."""

    cpu_seconds: float
    resident_bytes: int


def read_process_figures() -> ProcessFigures:
    """Read the figures of this process from `getrusage` and /proc/self/statm."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    resident_pages = int(STATM_PATH.read_text(encoding="ascii").split()[1])
    return ProcessFigures(usage.ru_utime + usage.ru_stime, resident_pages * PAGE_BYTES)
