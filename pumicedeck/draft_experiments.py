"""Simulates a trainer and its samplers in virtual time to compare policies for drawing samples.

The experiment measures trainer idle time and staleness of the samples, also for two baselines:
round robin and least outstanding routing.
"""

import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from pumicedeck.actions import CallerAnswer, CallerRequest
from pumicedeck.clocks import VirtualTime
from pumicedeck.draft_policies import POLICIES, WORKLOADS, DraftPolicy, Workload
from pumicedeck.drafts import (
    CancelDraft,
    DeliverGroup,
    DrawAction,
    DrawRequest,
    EndDraw,
    GroupRequest,
    SubmitDraft,
)
from pumicedeck.draws import DrawCoordinator
from pumicedeck.experiment_pools import VERSION_POLL_INTERVAL_SECONDS, SamplerPool, sample_tokens
from pumicedeck.experiment_samplers import SampleEnd
from pumicedeck.wakeups import Wakeup

TRAINING_SECONDS_PER_STEP = 300.0
GROUP_SAMPLES = 8
STEPS = 8
SEEDS = 10


@dataclass(frozen=True, slots=True)
class DraftFigures:
    """Figures of one run; shares lie between 0 and 1, staleness is in model versions.

    `unavoidable_share` is the least possible idle share, with samplers at full capacity and no draw
    shorter than its longest draft. `stale_share` is the share of drafts rejected as stale,
    `hedged_share` the number of extra copies per delivered draft.
    """

    idle_share: float
    unavoidable_share: float
    staleness_mean: float
    staleness_p99: float
    stale_share: float
    hedged_share: float
    step_seconds: float


@dataclass(frozen=True, slots=True)
class FigureSummary:
    """Mean and standard deviation of one figure over the seeds."""

    mean: float
    deviation: float


@dataclass(frozen=True, slots=True)
class PolicyResult:
    """Summaries of one policy on one workload, keyed by the name of the figure."""

    workload: str
    policy: str
    figures: dict[str, FigureSummary]


@dataclass(slots=True)
class _Observed:
    """Observations of one run; the dictionaries are keyed by training step, times in seconds."""

    version_lags: list[int] = field(default_factory=list)
    idle_seconds: float = 0.0
    unavoidable_seconds: float = 0.0
    ready_at: dict[int, float] = field(default_factory=dict)
    drawn_at: dict[int, float] = field(default_factory=dict)
    tokens: dict[int, list[float]] = field(default_factory=dict)


class DraftRun:
    """Simulates a trainer that trains on one step while the samples of the next one are drawn."""

    def __init__(self, workload: Workload, policy: DraftPolicy, seed: int, steps: int) -> None:
        """Set up the samplers and the draw coordinator; `run` starts the simulation."""
        self._time = VirtualTime()
        self._workload = workload
        self._policy = policy
        self._seed = seed
        self._steps = steps
        rng = Random(f"{workload.entry.name}/{seed}")
        self._pool = SamplerPool(self._time, workload, policy, rng, seed)
        self._coordinator = DrawCoordinator(policy.settings)
        self._wakeup = Wakeup(
            self._time,
            self._coordinator.next_wakeup,
            lambda now: self._perform(self._coordinator.on_timer(now)),
        )
        self._version = 0
        self._held_groups: dict[int, set[int]] = {}
        self._draws: dict[str, int] = {}
        self._last_trained_step = -1
        self._is_training = False
        self._training_ended_at = 0.0
        self._observed = _Observed()

    def run(self) -> DraftFigures:
        """Simulate until all steps are trained and return the figures."""
        self._poll_version()
        self._draw_step(0)
        while self._last_trained_step < self._steps:
            self._time.run_until(self._time.now() + 10.0)
        return self._build_figures()

    def tokens(self, step: int) -> tuple[float, ...]:
        """Return the lengths in tokens of the drafts delivered for a step."""
        return tuple(self._observed.tokens.get(step, ()))

    def _poll_version(self) -> None:
        now = self._time.now()
        name = self._workload.entry.model
        self._perform(self._coordinator.newest_version_confirmed(now, name, self._version))
        self._time.call_later(VERSION_POLL_INTERVAL_SECONDS, self._poll_version)

    def _draw_step(self, step: int) -> None:
        handle = f"draw/{step}/{len(self._draws)}"
        self._draws[handle] = step
        self._observed.drawn_at.setdefault(step, self._time.now())
        held = tuple(self._held_groups.setdefault(step, set()))
        groups = tuple(
            GroupRequest(number, "/v1/completions", b"{}", GROUP_SAMPLES)
            for number in range(self._workload.groups)
        )
        request = DrawRequest(
            handle, self._workload.entry, "trainer", step, groups, held, self._version, 3600.0
        )
        self._perform(self._coordinator.start(self._time.now(), request))

    def _perform(self, actions: list[DrawAction]) -> None:
        for action in actions:
            match action:
                case SubmitDraft(request):
                    self._pool.submit(request, self._make_finish_callback(request))
                case CancelDraft(handle):
                    self._pool.cancel(handle)
                case DeliverGroup():
                    self._receive_group(action)
                case EndDraw(handle, failure):
                    step = self._draws[handle]
                    if failure is not None and step not in self._observed.ready_at:
                        self._time.call_later(
                            0.1, lambda failed_step=step: self._draw_step(failed_step)
                        )
        self._wakeup.refresh()

    def _make_finish_callback(self, request: CallerRequest) -> Callable[[SampleEnd], None]:
        def on_sample_end(end: SampleEnd) -> None:
            tokens = int(sample_tokens(self._seed, request.draft))
            answer = CallerAnswer(
                200, "text/plain", b"", 0, "", tokens, end.versions, queue_wait=end.queue_wait
            )
            now = self._time.now()
            self._perform(self._coordinator.draft_finished(now, request.handle, answer))

        return on_sample_end

    def _receive_group(self, group: DeliverGroup) -> None:
        step = self._draws[group.handle]
        self._held_groups[step].add(group.group)
        for draft in group.drafts:
            self._observed.version_lags.append(self._version - draft.oldest_version)
            self._observed.tokens.setdefault(step, []).append(float(draft.answer.tokens))
        missing = self._workload.groups - len(self._held_groups[step])
        if missing <= self._policy.ahead_share * self._workload.groups:
            self._draw_ahead(step + 1)
        if missing == 0:
            self._observed.ready_at[step] = self._time.now()
            self._start_next_training()

    def _draw_ahead(self, step: int) -> None:
        # Draw at most one step ahead of training: drafts drawn earlier would be too stale.
        if step not in self._held_groups and step <= self._last_trained_step + 2 + int(
            self._is_training
        ):
            if self._policy.ahead_share > 0:
                self._draw_step(step)

    def _start_next_training(self) -> None:
        step = self._last_trained_step + 1
        if self._is_training or step not in self._observed.ready_at:
            return
        now = self._time.now()
        self._is_training = True
        if step > 0:
            self._observed.idle_seconds += now - self._training_ended_at
            self._observed.unavoidable_seconds += self._unavoidable_idle_seconds(step)
        if step + 1 not in self._held_groups:
            self._draw_step(step + 1)
        self._time.call_later(TRAINING_SECONDS_PER_STEP, self._finish_training)

    def _finish_training(self) -> None:
        self._last_trained_step += 1
        self._is_training = False
        self._training_ended_at = self._time.now()
        self._version += 1
        self._pool.publish(self._version)
        self._start_next_training()

    def _unavoidable_idle_seconds(self, step: int) -> float:
        tokens = self._observed.tokens[step]
        speed = self._pool.speed
        booking_token_rate = self._pool.booking_tokens / self._time.now()
        capacity = speed.capacity * self._workload.samplers - booking_token_rate
        min_draw_seconds = max(sum(tokens) / capacity, max(tokens) / speed.token_rate(1))
        return max(0.0, min_draw_seconds - TRAINING_SECONDS_PER_STEP)

    def _build_figures(self) -> DraftFigures:
        observed, counts = self._observed, self._coordinator.counts
        training_seconds = self._steps * TRAINING_SECONDS_PER_STEP
        lags = sorted(observed.version_lags)
        steps = range(1, self._steps)
        durations = [observed.ready_at[step] - observed.drawn_at[step] for step in steps]
        return DraftFigures(
            idle_share=observed.idle_seconds / (observed.idle_seconds + training_seconds),
            unavoidable_share=observed.unavoidable_seconds
            / (observed.unavoidable_seconds + training_seconds),
            staleness_mean=statistics.fmean(lags),
            staleness_p99=float(lags[int(0.99 * (len(lags) - 1))]),
            stale_share=counts.stale / (counts.stale + counts.delivered),
            hedged_share=counts.hedged / counts.delivered,
            step_seconds=statistics.fmean(durations),
        )


def summarize(workload: str, policy: str, runs: list[DraftFigures]) -> PolicyResult:
    """Return the mean and the standard deviation of each figure over the runs."""
    figures = {}
    for name in DraftFigures.__dataclass_fields__:
        values = [getattr(each, name) for each in runs]
        standard_deviation = statistics.stdev(values) if len(values) > 1 else 0.0
        figures[name] = FigureSummary(statistics.fmean(values), standard_deviation)
    return PolicyResult(workload, policy, figures)


def measure_drafts(
    seeds: int = SEEDS,
    steps: int = STEPS,
    workloads: tuple[Workload, ...] = WORKLOADS,
    policies: tuple[DraftPolicy, ...] = POLICIES,
) -> list[PolicyResult]:
    """Run every policy on every workload with the seeds 0 to `seeds` - 1."""
    results = []
    for workload in workloads:
        for policy in policies:
            runs = [DraftRun(workload, policy, seed, steps).run() for seed in range(seeds)]
            results.append(summarize(workload.entry.name, policy.name, runs))
    return results


def draft_table(results: list[PolicyResult]) -> str:
    """Return the results as a text table, each figure as mean and standard deviation."""
    names = list(DraftFigures.__dataclass_fields__)
    lines = ["  ".join(["workload".ljust(10), "policy".ljust(18), *(n.rjust(17) for n in names)])]
    for each in results:
        cells = [
            f"{each.figures[n].mean:.4f} ± {each.figures[n].deviation:.4f}".rjust(17) for n in names
        ]
        lines.append("  ".join([each.workload.ljust(10), each.policy.ljust(18), *cells]))
    return "\n".join(lines)
