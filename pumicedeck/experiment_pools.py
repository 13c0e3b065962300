"""The samplers of a draft experiment with their router, booking load, swaps and moves."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

from pumicedeck.actions import CallerRequest
from pumicedeck.catalogue_entries import SwapPolicy
from pumicedeck.clocks import VirtualTime
from pumicedeck.draft_policies import DraftPolicy, Workload
from pumicedeck.experiment_samplers import FakeSampler, SampleEnd, SamplerSequence, SamplerSpeed
from pumicedeck.messages import DraftId
from pumicedeck.swaps import RunningDraft, SwapSettings, choose_policy

MEAN_TOKENS = 400.0
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 10.0
BOOKING_TOKENS = 60.0
SWAP_SPREAD_SECONDS = 20.0
POLL_SECONDS = 4.0
KV_BYTES_PER_TOKEN = 131_072
KV_BYTES_PER_SECOND = 1e9
MOVE_EVERY_SECONDS = 5.0
MOVE_AFTER_SECONDS = 20.0
MOVE_DIFFERENCE = 2


def sample_tokens(seed: int, draft_id: DraftId) -> float:
    """Return the length of a sample, which depends on its place alone."""
    place = f"{seed}/{draft_id.step}/{draft_id.group}/{draft_id.index}"
    rng = Random(place)
    tokens = MEAN_TOKENS * rng.uniform(0.5, 1.5)
    return tokens * (STRAGGLER_FACTOR if rng.random() < STRAGGLER_SHARE else 1.0)


class SamplerPool:
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
        slow = replace(self.speed, token_seconds=self.speed.token_seconds * workload.slow_factor)
        self.samplers = [
            FakeSampler(time, self.speed if rank else slow) for rank in range(workload.samplers)
        ]
        self._placed: dict[str, FakeSampler] = {}
        self._turn = 0
        self.booking_tokens = 0.0
        time.call_later(self._booking_gap(), self._book)
        if policy.migrates_drafts:
            time.call_later(MOVE_EVERY_SECONDS, self._move_one)

    def submit(self, request: CallerRequest, done: Callable[[SampleEnd], None]) -> None:
        """Run the sample of a draft on the sampler that the router chooses."""
        sampler = self._choose()
        self._placed[request.handle] = sampler
        tokens = sample_tokens(self._seed, request.draft)

        def ended(end: SampleEnd) -> None:
            del self._placed[request.handle]
            done(end)

        sampler.submit(SamplerSequence(request.handle, tokens, ended, self._time.now()))

    def cancel(self, handle: str) -> None:
        """Stop the sample of a draft."""
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
        longest = min(late, key=lambda each: each.started_at)
        remaining_tokens = source.remaining_tokens(longest)
        source.cancel(longest.handle)
        moved = SamplerSequence(longest.handle, remaining_tokens, longest.done, longest.arrived_at)
        moved.versions = longest.versions
        done_tokens = (self._time.now() - longest.started_at) * self.speed.token_rate(1)
        cost = 2 * done_tokens * KV_BYTES_PER_TOKEN / KV_BYTES_PER_SECOND
        self._placed[moved.handle] = target
        self._time.call_later(cost, lambda: self._import(target, moved))

    def _import(self, target: FakeSampler, moved: SamplerSequence) -> None:
        if self._placed.get(moved.handle) is target:
            target.submit(moved)

    def _is_late(self, sequence: SamplerSequence) -> bool:
        running = self._time.now() - sequence.started_at
        return not sequence.interactive and running > MOVE_AFTER_SECONDS

    def publish(self, version: int) -> None:
        """Swap each sampler in its slot after the poll."""
        for rank, sampler in enumerate(self.samplers):
            slot = SWAP_SPREAD_SECONDS * rank / len(self.samplers)
            delay = self._rng.uniform(0.0, POLL_SECONDS) + slot
            self._time.call_later(delay, lambda each=sampler: self._swap(each, version))

    def _swap(self, sampler: FakeSampler, version: int) -> None:
        restart = False
        if self._policy.chooses_swap_policy:
            drafts = [self._running(sampler, each) for each in sampler.running]
            drafts = [each for each in drafts if each is not None]
            chosen = choose_policy(drafts, version, SwapSettings())
            restart = chosen is SwapPolicy.RESTART
        sampler.swap(version, restart)

    def _running(self, sampler: FakeSampler, sequence: SamplerSequence) -> RunningDraft | None:
        if sequence.interactive:
            return None
        elapsed = self._time.now() - sequence.started_at
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
