"""Simulates the samplers of a draft experiment: routing, bookings, version swaps and migration.

Bookings are interactive requests that share the samplers with the drafts.
"""

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
VERSION_POLL_INTERVAL_SECONDS = 4.0
KV_CACHE_BYTES_PER_TOKEN = 131_072
KV_TRANSFER_BYTES_PER_SECOND = 1e9
MIGRATION_INTERVAL_SECONDS = 5.0
MIGRATION_MIN_RUNNING_SECONDS = 20.0
MIGRATION_MIN_LOAD_DIFFERENCE = 2


def sample_tokens(seed: int, draft_id: DraftId) -> float:
    """Return the length of a sample in tokens; it depends on seed, step, group and index only."""
    seed_text = f"{seed}/{draft_id.step}/{draft_id.group}/{draft_id.index}"
    rng = Random(seed_text)
    tokens = MEAN_TOKENS * rng.uniform(0.5, 1.5)
    return tokens * (STRAGGLER_FACTOR if rng.random() < STRAGGLER_SHARE else 1.0)


class SamplerPool:
    """Routes drafts and bookings to samplers, swaps versions and migrates long drafts."""

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
        self._sampler_by_handle: dict[str, FakeSampler] = {}
        self._routed_count = 0
        self.booking_tokens = 0.0
        time.call_later(self._booking_interval(), self._submit_booking)
        if policy.migrates_drafts:
            time.call_later(MIGRATION_INTERVAL_SECONDS, self._migrate_one)

    def submit(self, request: CallerRequest, done: Callable[[SampleEnd], None]) -> None:
        """Run the sample of a draft on the sampler chosen by the policy's router."""
        sampler = self._choose_sampler()
        self._sampler_by_handle[request.handle] = sampler
        tokens = sample_tokens(self._seed, request.draft)

        def on_end(end: SampleEnd) -> None:
            del self._sampler_by_handle[request.handle]
            done(end)

        sampler.submit(SamplerSequence(request.handle, tokens, on_end, self._time.now()))

    def cancel(self, handle: str) -> None:
        """Cancel the sample of a draft."""
        sampler = self._sampler_by_handle.pop(handle, None)
        if sampler is not None:
            sampler.cancel(handle)

    def _migrate_one(self) -> None:
        self._time.call_later(MIGRATION_INTERVAL_SECONDS, self._migrate_one)
        source = max(self.samplers, key=lambda each: each.outstanding)
        target = min(self.samplers, key=lambda each: each.outstanding)
        long_running = [each for each in source.running if self._is_long_running(each)]
        if (
            not long_running
            or source.outstanding - target.outstanding < MIGRATION_MIN_LOAD_DIFFERENCE
        ):
            return
        longest = min(long_running, key=lambda each: each.started_at)
        remaining_tokens = source.remaining_tokens(longest)
        source.cancel(longest.handle)
        migrated = SamplerSequence(
            longest.handle, remaining_tokens, longest.done, longest.arrived_at
        )
        migrated.versions = longest.versions
        done_tokens = (self._time.now() - longest.started_at) * self.speed.token_rate(1)
        transfer_seconds = 2 * done_tokens * KV_CACHE_BYTES_PER_TOKEN / KV_TRANSFER_BYTES_PER_SECOND
        self._sampler_by_handle[migrated.handle] = target
        self._time.call_later(transfer_seconds, lambda: self._import(target, migrated))

    def _import(self, target: FakeSampler, migrated: SamplerSequence) -> None:
        if self._sampler_by_handle.get(migrated.handle) is target:
            target.submit(migrated)

    def _is_long_running(self, sequence: SamplerSequence) -> bool:
        running = self._time.now() - sequence.started_at
        return not sequence.interactive and running > MIGRATION_MIN_RUNNING_SECONDS

    def publish(self, version: int) -> None:
        """Swap each sampler to `version` after a random poll delay and at its own offset."""
        for rank, sampler in enumerate(self.samplers):
            offset_seconds = SWAP_SPREAD_SECONDS * rank / len(self.samplers)
            delay = self._rng.uniform(0.0, VERSION_POLL_INTERVAL_SECONDS) + offset_seconds
            self._time.call_later(delay, lambda each=sampler: self._swap(each, version))

    def _swap(self, sampler: FakeSampler, version: int) -> None:
        restart = False
        if self._policy.chooses_swap_policy:
            drafts = [self._running_draft(sampler, each) for each in sampler.running]
            drafts = [each for each in drafts if each is not None]
            chosen = choose_policy(drafts, version, SwapSettings())
            restart = chosen is SwapPolicy.RESTART
        sampler.swap(version, restart)

    def _running_draft(
        self, sampler: FakeSampler, sequence: SamplerSequence
    ) -> RunningDraft | None:
        if sequence.interactive:
            return None
        elapsed_seconds = self._time.now() - sequence.started_at
        # The agent does not know the length of a sample. It expects the mean length at first, and
        # past that as much time again as has elapsed.
        expected_seconds = MEAN_TOKENS / self.speed.token_rate(self.speed.slots)
        remaining_seconds = (
            expected_seconds - elapsed_seconds
            if elapsed_seconds < expected_seconds
            else elapsed_seconds
        )
        return RunningDraft(
            self._workload.entry, elapsed_seconds, remaining_seconds, min(sequence.versions)
        )

    def _choose_sampler(self) -> FakeSampler:
        if self._policy.round_robin:
            self._routed_count += 1
            return self.samplers[self._routed_count % len(self.samplers)]
        return min(self.samplers, key=lambda each: each.outstanding)

    def _booking_interval(self) -> float:
        surge_factor = 2.0 if int(self._time.now() / 60.0) % 3 == 0 else 0.5
        return self._rng.expovariate(self._workload.booking_rate * surge_factor)

    def _submit_booking(self) -> None:
        self._routed_count += 1
        tokens = BOOKING_TOKENS * self._rng.uniform(0.5, 1.5)
        self.booking_tokens += tokens
        handle = f"booking/{self._routed_count}/{self._time.now()}"
        sequence = SamplerSequence(
            handle, tokens, lambda end: None, self._time.now(), interactive=True
        )
        min(self.samplers, key=lambda each: each.outstanding).submit(sequence)
        self._time.call_later(self._booking_interval(), self._submit_booking)
