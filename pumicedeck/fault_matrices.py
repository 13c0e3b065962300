"""Runs the fault matrix: every fault at every step of each kind of request, and seeded pairs."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from random import Random

from pumicedeck.matrix_faults import FAULTS, drain_agent
from pumicedeck.oracles import Violation
from pumicedeck.results import Execution
from pumicedeck.simulations import RequestKind, Simulation, StateMachineFactories, Step

PAIR_DELAYS_SECONDS = (0.0, 0.05, 0.5, 4.0)

_STEPS = tuple(Step)
_DRAINS = ("agent drains", "entry drains")


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault that is injected `delay` seconds after the target request reaches `step`."""

    fault: str
    step: Step
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class Cell:
    """One run of the matrix: a kind of request and the faults injected during it."""

    kind: RequestKind
    injected_faults: tuple[InjectedFault, ...]

    def __str__(self) -> str:
        """Return the name of the cell in reports."""
        injected = " + ".join(f"{each.fault} at {each.step}" for each in self.injected_faults)
        return f"{self.kind}: {injected}"


@dataclass(frozen=True, slots=True)
class CellResult:
    """The result of a cell.

    `reached` says that every fault was injected; `target` is what the first caller of the target
    request was told about its execution.
    """

    cell: Cell
    reached: bool
    violations: tuple[Violation, ...]
    target: Execution | None


def single_cells() -> Iterator[Cell]:
    """Generate a cell for every fault at every step of every kind of request."""
    for kind in RequestKind:
        for name in FAULTS:
            for step in Step:
                yield Cell(kind, (InjectedFault(name, step),))


def pair_cells(seed: int, count: int) -> Iterator[Cell]:
    """Generate `count` cells with random pairs of faults; a pair may repeat one fault."""
    random = Random(seed)
    names = tuple(FAULTS)
    for _ in range(count):
        kind = random.choice(tuple(RequestKind))
        first = InjectedFault(random.choice(names), random.choice(_STEPS))
        delay = random.choice(PAIR_DELAYS_SECONDS)
        yield Cell(kind, (first, InjectedFault(random.choice(names), random.choice(_STEPS), delay)))


def run_cell(cell: Cell, factories: StateMachineFactories | None = None) -> CellResult:
    """Run one cell and check its promises."""
    simulation = Simulation(cell.kind, factories)
    if cell.kind is RequestKind.DRAIN:
        first = min(_STEPS.index(cell.injected_faults[0].step), _STEPS.index(Step.EXECUTING))
        simulation.inject(_STEPS[first], drain_agent)
    for injected_fault in cell.injected_faults:
        simulation.inject(injected_fault.step, FAULTS[injected_fault.fault], injected_fault.delay)
    if all(each.fault in _DRAINS for each in cell.injected_faults):
        simulation.expect_success()
    outcome = simulation.run()
    return CellResult(cell, all(outcome.reached), tuple(outcome.violations), outcome.target)


def write_matrix(path: Path, seed: int, pairs: int) -> int:
    """Run all single faults and `pairs` pairs, write the page, return the count of violations."""
    single_results = [run_cell(cell) for cell in single_cells()]
    pair_results = [run_cell(cell) for cell in pair_cells(seed, pairs)]
    path.write_text(_page(single_results, pair_results, seed), encoding="utf-8")
    return sum(len(each.violations) for each in single_results + pair_results)


def _page(single_results: list[CellResult], pair_results: list[CellResult], seed: int) -> str:
    lines = ["# Fault matrix", "", *_INTRODUCTION, ""]
    lines += _totals("Single faults", single_results)
    lines += _totals(f"Pairs of faults, seed {seed}", pair_results)
    for kind in RequestKind:
        lines += _kind_table(kind, [each for each in single_results if each.cell.kind is kind])
    lines += _violation_list(single_results + pair_results)
    return "\n".join(lines) + "\n"


_INTRODUCTION = (
    "Written by `pumicedeck experiment matrix`; not edited by hand. Each cell is one run in",
    "virtual time of two entries, three agents with an endpoint each, the table service and 12",
    "requests, with the real state machines. The fault strikes when the target request reaches",
    "the step. An independent oracle compares what the endpoints executed with what every caller",
    "was told, and checks every promise for every request of the run, not only the target.",
    "",
    "A cell shows what the first caller of the target was told: `ran` (a whole answer), `not run`",
    "(proven), `may` (may have run) or `none` (the caller or its entry was gone). `-` means that",
    "the target never reaches the step. `VIOLATED` means that a promise did not hold.",
)

_EXECUTION_LABELS = {
    Execution.RAN: "ran",
    Execution.NOT_RUN: "not run",
    Execution.MAY_HAVE_RUN: "may",
    None: "none",
}


def _totals(title: str, results: list[CellResult]) -> list[str]:
    reached = [each for each in results if each.reached]
    violated = sum(bool(each.violations) for each in results)
    executions_told = Counter(_EXECUTION_LABELS[each.target] for each in reached)
    words = ", ".join(f"{word} {count}" for word, count in sorted(executions_told.items()))
    return [
        f"## {title}",
        "",
        f"- runs: {len(results)}; in {len(reached)} of them every fault struck",
        f"- runs with a violated promise: {violated}",
        f"- what the first caller of the target was told where every fault struck: {words}",
        "",
    ]


def _kind_table(kind: RequestKind, results: list[CellResult]) -> list[str]:
    results_by_fault_and_step = {
        (each.cell.injected_faults[0].fault, each.cell.injected_faults[0].step): each
        for each in results
    }
    reached = sum(each.reached for each in results)
    lines = [f"## Kind: {kind}", "", f"{reached} cells reached.", ""]
    lines.append("| fault | " + " | ".join(Step) + " | reached | violated |")
    lines.append("|---|" + "---|" * (len(Step) + 2))
    for name in FAULTS:
        row = [results_by_fault_and_step[(name, step)] for step in Step]
        words = [_cell_label(each) for each in row]
        counts = [sum(each.reached for each in row), sum(bool(each.violations) for each in row)]
        lines.append("| " + " | ".join([name, *words, *map(str, counts)]) + " |")
    return lines + [""]


def _cell_label(result: CellResult) -> str:
    if result.violations:
        return "VIOLATED"
    return _EXECUTION_LABELS[result.target] if result.reached else "-"


def _violation_list(results: list[CellResult]) -> list[str]:
    violated = [each for each in results if each.violations]
    lines = ["## Violations", ""]
    if not violated:
        return lines + ["None."]
    for each in violated:
        details = "; ".join(f"{found.promise}: {found.detail}" for found in each.violations)
        lines.append(f"- {each.cell}: {details}")
    return lines
