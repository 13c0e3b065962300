"""How many log lines of one event may be written; free of I/O.

Answers storms in which each request writes the same line: a burst passes whole, a storm is thinned
to a steady rate, and what was left out is told by event.
"""

from dataclasses import dataclass, field

LINES_PER_SECOND = 150.0
BURST_LINES = 600.0
REPORT_SECONDS = 1.0


@dataclass(slots=True)
class LogBudget:
    """Lines that may still be written, by event."""

    lines_per_second: float = LINES_PER_SECOND
    burst_lines: float = BURST_LINES
    _left: dict[str, tuple[float, float]] = field(default_factory=dict)
    _left_out: dict[str, int] = field(default_factory=dict)
    _reported_at: float = 0.0

    def admit(self, event: str, now: float) -> bool:
        """Return whether a line may be written at second `now`; one that may not is counted."""
        left, since = self._left.get(event, (self.burst_lines, now))
        left = min(self.burst_lines, left + max(0.0, now - since) * self.lines_per_second)
        admitted = left >= 1.0
        self._left[event] = (left - admitted, now)
        if not admitted:
            self._left_out[event] = self._left_out.get(event, 0) + 1
        return admitted

    def report(self, now: float) -> dict[str, int]:
        """Return what was left out since the last report, at most once a second."""
        if not self._left_out or now - self._reported_at < REPORT_SECONDS:
            return {}
        self._reported_at = now
        left_out, self._left_out = self._left_out, {}
        return left_out
