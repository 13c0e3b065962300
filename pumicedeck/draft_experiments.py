"""Measures trainer idle time and staleness of draws in virtual time against two baselines."""

import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from pumicedeck.actions import CallerAnswer, CallerRequest
from pumicedeck.catalogue_entries import CatalogueEntry, Limits, RequestClass, SwapPolicy
from pumicedeck.clocks import VirtualTime
from pumicedeck.drafts import (
    CancelDraft,
    DeliverGroup,
    DrawAction,
    DrawRequest,
    EndDraw,
    GroupRequest,
    SubmitDraft,
)
from pumicedeck.draws import DrawCoordinator, DrawSettings
from pumicedeck.experiment_samplers import FakeSampler, SampleEnd, SamplerSequence, SamplerSpeed
from pumicedeck.messages import DraftId
from pumicedeck.stragglers import StragglerSettings
from pumicedeck.swaps import RunningDraft, SwapSettings, choose_policy
from pumicedeck.trainer_steps import AHEAD_SHARE
from pumicedeck.wakeups import Wakeup

TRAIN_SECONDS = 300.0
MEAN_TOKENS = 400.0
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 10.0
GROUP_SAMPLES = 8
BOOKING_TOKENS = 60.0
SWAP_SPREAD_SECONDS = 20.0
POLL_SECONDS = 4.0
STEPS = 8
SEEDS = 10
UNBOUNDED = 1_000_000
KV_BYTES_PER_TOKEN = 131_072
KV_BYTES_PER_SECOND = 1e9
MOVE_EVERY_SECONDS = 5.0
MOVE_AFTER_SECONDS = 20.0
MOVE_DIFFERENCE = 2


@dataclass(frozen=True, slots=True)
class Workload:
    """One trainer with its samplers; `booking_rate` is in requests per second."""

    entry: CatalogueEntry
    samplers: int
    groups: int
    booking_rate: float


@dataclass(frozen=True, slots=True)
class DraftPolicy:
    """What is compared: window, router, copies, drawing ahead and the choice at a swap.

    The next step is drawn ahead once at most `ahead_share` of the groups are missing. `moves`
    takes long drafts by export and import of their KV cache to emptier samplers.
    """

    name: str
    settings: DrawSettings
    round_robin: bool = False
    ahead_share: float = 0.0
    weighs_swaps: bool = False
    moves: bool = False


@dataclass(frozen=True, slots=True)
class DraftFigures:
    """Figures of one run; shares are of 1, staleness in versions."""

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
    """All figures of one policy on one workload, by name of the figure."""

    workload: str
    policy: str
    figures: dict[str, FigureSummary]


def _entry(name: str, firm: str, idle: float, stale: float) -> CatalogueEntry:
    return CatalogueEntry(
        name,
        firm,
        RequestClass.ROLLOUT,
        (name,),
        limits=Limits(concurrency=UNBOUNDED),
        model=name,
        staleness_bound=1,
        idle_time_weight=idle,
        staleness_weight=stale,
    )


WORKLOADS = (
    Workload(_entry("tuner-gen", "tainan", 3.0, 1.0), 6, 128, 2.0),
    Workload(_entry("redator", "quintela", 1.0, 3.0), 4, 85, 1.3),
)


def _baseline(window: int = UNBOUNDED) -> DrawSettings:
    return DrawSettings(
        stragglers=StragglerSettings(window=window, target_wait=float("inf"), hedge_share=0.0)
    )


POLICIES = (
    DraftPolicy("round robin", _baseline(), round_robin=True),
    DraftPolicy("least outstanding", _baseline()),
    DraftPolicy("least outst. ahead", _baseline(), ahead_share=AHEAD_SHARE),
    DraftPolicy("late binding", DrawSettings(), weighs_swaps=True),
    DraftPolicy("pumicedeck", DrawSettings(), ahead_share=AHEAD_SHARE, weighs_swaps=True),
)
MOVE_POLICIES = (
    DraftPolicy("late binding, moves", DrawSettings(), weighs_swaps=True, moves=True),
    DraftPolicy("pumicedeck, moves", DrawSettings(), False, AHEAD_SHARE, True, True),
)


def sample_tokens(seed: int, draft_id: DraftId) -> float:
    """Return the length of a sample, which depends on its place alone."""
    place = f"{seed}/{draft_id.step}/{draft_id.group}/{draft_id.index}"
    rng = Random(place)
    tokens = MEAN_TOKENS * rng.uniform(0.5, 1.5)
    return tokens * (STRAGGLER_FACTOR if rng.random() < STRAGGLER_SHARE else 1.0)


class _Pool:
    """The samplers with a router, booking load and swaps."""

    def __init__(
        self, time: VirtualTime, workload: Workload, policy: DraftPolicy, rng: Random, seed: int
    ) -> None:
        self._time = time
        self._workload = workload
        self._policy = policy
        self._rng = rng
        self._seed = seed
        self.speed = SamplerSpeed()
        self.samplers = [FakeSampler(time, self.speed) for _ in range(workload.samplers)]
        self._placed: dict[str, FakeSampler] = {}
        self._turn = 0
        self.booking_tokens = 0.0
        time.call_later(self._booking_gap(), self._book)
        if policy.moves:
            time.call_later(MOVE_EVERY_SECONDS, self._move_one)

    def submit(self, request: CallerRequest, done: Callable[[SampleEnd], None]) -> None:
        sampler = self._choose()
        self._placed[request.handle] = sampler
        tokens = sample_tokens(self._seed, request.draft)

        def ended(end: SampleEnd) -> None:
            del self._placed[request.handle]
            done(end)

        sampler.submit(SamplerSequence(request.handle, tokens, ended, self._time.now()))

    def cancel(self, handle: str) -> None:
        sampler = self._placed.pop(handle, None)
        if sampler is not None:
            sampler.cancel(handle)

    def _move_one(self) -> None:
        self._time.call_later(MOVE_EVERY_SECONDS, self._move_one)
        source = max(self.samplers, key=lambda each: each.outstanding)
        target = min(self.samplers, key=lambda each: each.outstanding)
        late = [each for each in source.running if self._is_late(each)]
        if not late or source.outstanding - target.outstanding < MOVE_DIFFERENCE:
            return
        longest = min(late, key=lambda each: each.started)
        left = source.left(longest)
        source.cancel(longest.handle)
        moved = SamplerSequence(longest.handle, left, longest.done, longest.arrived)
        moved.versions = longest.versions
        done_tokens = (self._time.now() - longest.started) * self.speed.token_rate(1)
        cost = 2 * done_tokens * KV_BYTES_PER_TOKEN / KV_BYTES_PER_SECOND
        self._placed[moved.handle] = target
        self._time.call_later(cost, lambda: self._import(target, moved))

    def _import(self, target: FakeSampler, moved: SamplerSequence) -> None:
        if self._placed.get(moved.handle) is target:
            target.submit(moved)

    def _is_late(self, sequence: SamplerSequence) -> bool:
        running = self._time.now() - sequence.started
        return not sequence.interactive and running > MOVE_AFTER_SECONDS

    def publish(self, version: int) -> None:
        """Swap each sampler in its slot after the poll."""
        for rank, sampler in enumerate(self.samplers):
            slot = SWAP_SPREAD_SECONDS * rank / len(self.samplers)
            delay = self._rng.uniform(0.0, POLL_SECONDS) + slot
            self._time.call_later(delay, lambda each=sampler: self._swap(each, version))

    def _swap(self, sampler: FakeSampler, version: int) -> None:
        restart = False
        if self._policy.weighs_swaps:
            drafts = [self._running(sampler, each) for each in sampler.running]
            drafts = [each for each in drafts if each is not None]
            chosen = choose_policy(drafts, version, SwapSettings())
            restart = chosen is SwapPolicy.RESTART
        sampler.swap(version, restart)

    def _running(self, sampler: FakeSampler, sequence: SamplerSequence) -> RunningDraft | None:
        if sequence.interactive:
            return None
        elapsed = self._time.now() - sequence.started
        # The agent does not know the length; it expects the mean and then as long again.
        expected = MEAN_TOKENS / self.speed.token_rate(self.speed.slots)
        remaining = expected - elapsed if elapsed < expected else elapsed
        return RunningDraft(self._workload.entry, elapsed, remaining, min(sequence.versions))

    def _choose(self) -> FakeSampler:
        if self._policy.round_robin:
            self._turn += 1
            return self.samplers[self._turn % len(self.samplers)]
        return min(self.samplers, key=lambda each: each.outstanding)

    def _booking_gap(self) -> float:
        surge = 2.0 if int(self._time.now() / 60.0) % 3 == 0 else 0.5
        return self._rng.expovariate(self._workload.booking_rate * surge)

    def _book(self) -> None:
        self._turn += 1
        tokens = BOOKING_TOKENS * self._rng.uniform(0.5, 1.5)
        self.booking_tokens += tokens
        handle = f"booking/{self._turn}/{self._time.now()}"
        sequence = SamplerSequence(
            handle, tokens, lambda end: None, self._time.now(), interactive=True
        )
        min(self.samplers, key=lambda each: each.outstanding).submit(sequence)
        self._time.call_later(self._booking_gap(), self._book)


@dataclass(slots=True)
class _Observed:
    lags: list[int] = field(default_factory=list)
    idle: float = 0.0
    unavoidable: float = 0.0
    ready: dict[int, float] = field(default_factory=dict)
    drawn: dict[int, float] = field(default_factory=dict)
    tokens: dict[int, list[float]] = field(default_factory=dict)


class DraftRun:
    """One trainer that trains on a step while the next one is drawn."""

    def __init__(self, workload: Workload, policy: DraftPolicy, seed: int, steps: int) -> None:
        """Prepare a run; nothing happens before `run`."""
        self._time = VirtualTime()
        self._workload = workload
        self._policy = policy
        self._seed = seed
        self._steps = steps
        rng = Random(f"{workload.entry.name}/{seed}")
        self._pool = _Pool(self._time, workload, policy, rng, seed)
        self._coordinator = DrawCoordinator(policy.settings)
        self._wakeup = Wakeup(
            self._time,
            self._coordinator.next_wakeup,
            lambda now: self._carry_out(self._coordinator.on_time(now)),
        )
        self._version = 0
        self._held: dict[int, set[int]] = {}
        self._draws: dict[str, int] = {}
        self._trained = -1
        self._training = False
        self._train_ended = 0.0
        self._seen = _Observed()

    def run(self) -> DraftFigures:
        """Run all steps and return the figures."""
        self._poll()
        self._draw(0)
        while self._trained < self._steps:
            self._time.run_until(self._time.now() + 10.0)
        return self._figures()

    def tokens(self, step: int) -> tuple[float, ...]:
        """Return the lengths of the drafts that were delivered for a step."""
        return tuple(self._seen.tokens.get(step, ()))

    def _poll(self) -> None:
        now = self._time.now()
        name = self._workload.entry.model
        self._carry_out(self._coordinator.newest_known(now, name, self._version))
        self._time.call_later(POLL_SECONDS, self._poll)

    def _draw(self, step: int) -> None:
        handle = f"draw/{step}/{len(self._draws)}"
        self._draws[handle] = step
        self._seen.drawn.setdefault(step, self._time.now())
        held = tuple(self._held.setdefault(step, set()))
        groups = tuple(
            GroupRequest(number, "/v1/completions", b"{}", GROUP_SAMPLES)
            for number in range(self._workload.groups)
        )
        request = DrawRequest(
            handle, self._workload.entry, "trainer", step, groups, held, self._version, 3600.0
        )
        self._carry_out(self._coordinator.start(self._time.now(), request))

    def _carry_out(self, actions: list[DrawAction]) -> None:
        for action in actions:
            match action:
                case SubmitDraft(request):
                    self._pool.submit(request, self._finisher(request))
                case CancelDraft(handle):
                    self._pool.cancel(handle)
                case DeliverGroup():
                    self._receive(action)
                case EndDraw(handle, failure):
                    step = self._draws[handle]
                    if failure is not None and step not in self._seen.ready:
                        self._time.call_later(0.1, lambda again=step: self._draw(again))
        self._wakeup.refresh()

    def _finisher(self, request: CallerRequest) -> Callable[[SampleEnd], None]:
        def finished(end: SampleEnd) -> None:
            tokens = int(sample_tokens(self._seed, request.draft))
            answer = CallerAnswer(
                200, "text/plain", b"", 0, "", tokens, end.versions, queue_wait=end.queue_wait
            )
            now = self._time.now()
            self._carry_out(self._coordinator.draft_finished(now, request.handle, answer))

        return finished

    def _receive(self, group: DeliverGroup) -> None:
        step = self._draws[group.handle]
        self._held[step].add(group.group)
        for draft in group.drafts:
            self._seen.lags.append(self._version - draft.oldest_version)
            self._seen.tokens.setdefault(step, []).append(float(draft.answer.tokens))
        missing = self._workload.groups - len(self._held[step])
        if missing <= self._policy.ahead_share * self._workload.groups:
            self._draw_ahead(step + 1)
        if missing == 0:
            self._seen.ready[step] = self._time.now()
            self._train_next()

    def _draw_ahead(self, step: int) -> None:
        # One step ahead of the training at most, else its drafts would be too old.
        if step not in self._held and step <= self._trained + 2 + int(self._training):
            if self._policy.ahead_share > 0:
                self._draw(step)

    def _train_next(self) -> None:
        step = self._trained + 1
        if self._training or step not in self._seen.ready:
            return
        now = self._time.now()
        self._training = True
        if step > 0:
            self._seen.idle += now - self._train_ended
            self._seen.unavoidable += self._unavoidable(step)
        if step + 1 not in self._held:
            self._draw(step + 1)
        self._time.call_later(TRAIN_SECONDS, self._trained_step)

    def _trained_step(self) -> None:
        self._trained += 1
        self._training = False
        self._train_ended = self._time.now()
        self._version += 1
        self._pool.publish(self._version)
        self._train_next()

    def _unavoidable(self, step: int) -> float:
        tokens = self._seen.tokens[step]
        speed = self._pool.speed
        booking = self._pool.booking_tokens / self._time.now()
        capacity = speed.capacity * self._workload.samplers - booking
        shortest = max(sum(tokens) / capacity, max(tokens) / speed.token_rate(1))
        return max(0.0, shortest - TRAIN_SECONDS)

    def _figures(self) -> DraftFigures:
        seen, counts = self._seen, self._coordinator.counts
        trained = self._steps * TRAIN_SECONDS
        lags = sorted(seen.lags)
        steps = range(1, self._steps)
        durations = [seen.ready[step] - seen.drawn[step] for step in steps]
        return DraftFigures(
            idle_share=seen.idle / (seen.idle + trained),
            unavoidable_share=seen.unavoidable / (seen.unavoidable + trained),
            staleness_mean=statistics.fmean(lags),
            staleness_p99=float(lags[int(0.99 * (len(lags) - 1))]),
            stale_share=counts.stale / (counts.stale + counts.delivered),
            hedged_share=counts.hedged / counts.delivered,
            step_seconds=statistics.fmean(durations),
        )


def summarize(workload: str, policy: str, runs: list[DraftFigures]) -> PolicyResult:
    """Return the mean and spread of each figure."""
    figures = {}
    for name in DraftFigures.__dataclass_fields__:
        values = [getattr(each, name) for each in runs]
        spread = statistics.stdev(values) if len(values) > 1 else 0.0
        figures[name] = FigureSummary(statistics.fmean(values), spread)
    return PolicyResult(workload, policy, figures)


def measure_drafts(
    seeds: int = SEEDS,
    steps: int = STEPS,
    workloads: tuple[Workload, ...] = WORKLOADS,
    policies: tuple[DraftPolicy, ...] = POLICIES,
) -> list[PolicyResult]:
    """Run every policy on every workload with the same seeds."""
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


__all__ = ["DraftFigures", "DraftRun", "draft_table", "measure_drafts"]
