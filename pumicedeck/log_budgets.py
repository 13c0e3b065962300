"""Limits the rate of log lines per event with token buckets; free of I/O.

Handles overloads in which every request logs the same event: a burst is written in full, after it a
steady rate is, and the number of omitted lines is reported per event.
"""

from dataclasses import dataclass, field

LINES_PER_SECOND = 150.0
BURST_LINES = 600.0
REPORT_INTERVAL_SECONDS = 1.0


@dataclass(slots=True)
class LogBudget:
    """Decides which log lines may be written and counts the omitted ones, by event."""

    lines_per_second: float = LINES_PER_SECOND
    burst_lines: float = BURST_LINES
    _remaining_lines: dict[str, tuple[float, float]] = field(default_factory=dict)
    _omitted_counts: dict[str, int] = field(default_factory=dict)
    _reported_at: float = 0.0

    def admit(self, event: str, now: float) -> bool:
        """Return whether a line may be written at `now`, in seconds; count it if it may not."""
        remaining, updated_at = self._remaining_lines.get(event, (self.burst_lines, now))
        remaining = min(
            self.burst_lines, remaining + max(0.0, now - updated_at) * self.lines_per_second
        )
        admitted = remaining >= 1.0
        self._remaining_lines[event] = (remaining - admitted, now)
        if not admitted:
            self._omitted_counts[event] = self._omitted_counts.get(event, 0) + 1
        return admitted

    def take_omitted_counts(self, now: float) -> dict[str, int]:
        """Return and clear the number of omitted lines by event, at most once a second.

        Empty if no line was omitted or the last counts were taken less than a second ago.
        """
        if not self._omitted_counts or now - self._reported_at < REPORT_INTERVAL_SECONDS:
            return {}
        self._reported_at = now
        omitted_counts, self._omitted_counts = self._omitted_counts, {}
        return omitted_counts
