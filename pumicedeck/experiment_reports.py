"""Renders the results of an experiment as a text table and as an SVG plot."""

from dataclasses import dataclass
from html import escape
from statistics import mean

from pumicedeck.experiment_figures import WINDOW_SECONDS, RunFigures

PLOT_WIDTH = 720
PLOT_HEIGHT = 280
PLOT_MARGIN = 48
COLOURS = ("#1b6ca8", "#c1440e", "#3c8d2f", "#7b3fa0", "#8a6d00", "#444444")
_HEADER = (
    "policy",
    "firm",
    "class",
    "entry",
    "offered",
    "whole",
    "refused",
    "failed",
    "p50 s",
    "p90 s",
    "p99 s",
    "tokens/s",
)
_TOTALS_HEADER = ("policy", "utilization", "prefix hits", "attempts", "paid MB", "recovery s")


@dataclass(frozen=True, slots=True)
class ExperimentReport:
    """The results of all runs of an experiment."""

    name: str
    runs: tuple[RunFigures, ...]

    def of_policy(self, policy: str) -> tuple[RunFigures, ...]:
        """Return the runs of one policy, in the order of the seeds."""
        return tuple(each for each in self.runs if each.policy == policy)

    @property
    def policies(self) -> tuple[str, ...]:
        """Return the names of the policies in the order of the experiment file."""
        return tuple(dict.fromkeys(each.policy for each in self.runs))

    def text(self) -> str:
        """Return the report as plain text; the figures are means over the seeds."""
        seeds = ", ".join(dict.fromkeys(str(each.seed) for each in self.runs))
        loads = [row for policy in self.policies for row in _load_rows(self.of_policy(policy))]
        totals = [_totals_row(self.of_policy(policy)) for policy in self.policies]
        title = f"{self.name}; means over seeds {seeds}"
        return "\n".join([title, "", _table(_HEADER, loads), "", _table(_TOTALS_HEADER, totals)])

    def svg(self) -> str:
        """Return an SVG plot of the capacity and of each policy's goodput, with the first seed."""
        first = [self.of_policy(policy)[0] for policy in self.policies]
        max_value = max(max(each.capacity + each.goodput) for each in first)
        parts = [_axes(first[0], max_value), _line(first[0].capacity, max_value, "#bbbbbb")]
        for number, each in enumerate(first):
            colour = COLOURS[number % len(COLOURS)]
            parts.append(_line(each.goodput, max_value, colour))
            parts.append(_label(number, each.policy, colour))
        size = f'width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}"'
        body = "\n".join(parts)
        return f'<svg xmlns="http://www.w3.org/2000/svg" {size}>\n{body}\n</svg>\n'


def _load_rows(runs: tuple[RunFigures, ...]) -> list[tuple[str, ...]]:
    rows = []
    for index, load in enumerate(runs[0].loads):
        results_of_load = [each.loads[index] for each in runs]
        counts = [
            f"{mean(getattr(each, name) for each in results_of_load):.0f}"
            for name in ("offered", "whole", "refused", "failed")
        ]
        times = [
            f"{mean(getattr(each, name) for each in results_of_load):.3f}"
            for name in ("p50", "p90", "p99")
        ]
        rate = f"{mean(each.tokens_per_second for each in results_of_load):.0f}"
        names = (runs[0].policy, load.firm, load.request_class, load.entry)
        rows.append((*names, *counts, *times, rate))
    return rows


def _totals_row(runs: tuple[RunFigures, ...]) -> tuple[str, ...]:
    recoveries = [each.recovery_seconds for each in runs if each.recovery_seconds is not None]
    return (
        runs[0].policy,
        f"{mean(each.utilization for each in runs):.3f}",
        f"{mean(each.prefix_hit_rate for each in runs):.3f}",
        f"{mean(each.attempts_per_request for each in runs):.3f}",
        f"{mean(each.paid_bytes for each in runs) / 1e6:.2f}",
        f"{max(recoveries):.0f}" if recoveries else "-",
    )


def _table(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    widths = [max(len(row[column]) for row in (header, *rows)) for column in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in (header, *rows)
    ]
    lines.insert(1, "  ".join("-" * width for width in widths))
    return "\n".join(lines)


def _line(values: tuple[float, ...], max_value: float, colour: str) -> str:
    step = (PLOT_WIDTH - 2 * PLOT_MARGIN) / max(1, len(values) - 1)
    height = PLOT_HEIGHT - 2 * PLOT_MARGIN
    points = " ".join(
        f"{PLOT_MARGIN + index * step:.1f},"
        f"{PLOT_HEIGHT - PLOT_MARGIN - value / max_value * height:.1f}"
        for index, value in enumerate(values)
    )
    return f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="1.5"/>'


def _axes(run: RunFigures, max_value: float) -> str:
    bottom = PLOT_HEIGHT - PLOT_MARGIN
    seconds = len(run.goodput) * WINDOW_SECONDS
    path = f"M{PLOT_MARGIN},{PLOT_MARGIN} V{bottom} H{PLOT_WIDTH - PLOT_MARGIN}"
    return (
        f'<path d="{path}" fill="none" stroke="#444444"/>'
        f'<text x="4" y="{PLOT_MARGIN}" font-size="10">{max_value:.0f}</text>'
        f'<text x="4" y="{bottom}" font-size="10">tokens/s</text>'
        f'<text x="{PLOT_WIDTH - PLOT_MARGIN}" y="{bottom + 14}" font-size="10">{seconds:.0f} s'
        "</text>"
    )


def _label(number: int, name: str, colour: str) -> str:
    x = PLOT_MARGIN + 120 * number
    return f'<text x="{x}" y="20" font-size="11" fill="{colour}">{escape(name)}</text>'
