"""Builders of draws and a fake entry VM in virtual time, for tests of draws."""

import random
from dataclasses import dataclass, field

from pumicedeck.actions import CallerAnswer, CallerRequest
from pumicedeck.catalogue_entries import CatalogueEntry, Limits, RequestClass
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
from pumicedeck.draws import DrawCoordinator
from pumicedeck.results import Failure, ResultCode

ENTRY = CatalogueEntry(
    "tuner-gen",
    "tainan",
    RequestClass.ROLLOUT,
    ("tuner-gen",),
    limits=Limits(concurrency=64),
    model="tuner",
    staleness_bound=1,
)


def groups(count: int, samples: int = 4) -> tuple[GroupRequest, ...]:
    return tuple(
        GroupRequest(number, "/v1/completions", b'{"prompt": "p"}', samples)
        for number in range(count)
    )


def answer(versions: tuple[int, ...], tokens: int = 10) -> CallerAnswer:
    return CallerAnswer(200, "text/plain", b"x" * tokens, tokens, "", tokens, versions)


def submitted(actions: list[DrawAction]) -> list[CallerRequest]:
    return [action.request for action in actions if isinstance(action, SubmitDraft)]


def delivered(actions: list[DrawAction]) -> list[DeliverGroup]:
    return [action for action in actions if isinstance(action, DeliverGroup)]


def ended(actions: list[DrawAction]) -> list[EndDraw]:
    return [action for action in actions if isinstance(action, EndDraw)]


def cancelled(actions: list[DrawAction]) -> list[str]:
    return [action.handle for action in actions if isinstance(action, CancelDraft)]


def draw(handle: str = "d1", count: int = 2, **changes: object) -> DrawRequest:
    values: dict[str, object] = {"newest_version": 5, "groups": groups(count)}
    values.update(changes)
    return DrawRequest(handle, ENTRY, "trainer-1", 7, **values)


@dataclass
class FakeEntry:
    """A fake entry VM: a coordinator whose drafts end after seeded random times and with faults.

    `failure_share` of the drafts fail, `repeat_share` are answered twice. `newest` holds the newest
    published version.
    """

    time: VirtualTime
    rng: random.Random
    newest: list[int]
    coordinator: DrawCoordinator = field(default_factory=DrawCoordinator)
    failure_share: float = 0.0
    repeat_share: float = 0.0
    alive: bool = True
    store_up: bool = True
    received: list[DrawAction] = field(default_factory=list)
    wakeup: float = -1.0

    def apply(self, actions: list[DrawAction]) -> None:
        for action in actions:
            if isinstance(action, SubmitDraft):
                self._run(action.request)
            elif isinstance(action, DeliverGroup | EndDraw):
                self.received.append(action)
        self._schedule_wakeup()

    def poll(self) -> None:
        if self.alive and self.store_up:
            self.apply(
                self.coordinator.newest_version_confirmed(self.time.now(), "tuner", self.newest[0])
            )

    def _run(self, request: CallerRequest) -> None:
        version = self.newest[0]
        seconds = self.rng.expovariate(1 / 10.0)
        self.time.call_later(seconds, lambda: self._finish(request, version))

    def _finish(self, request: CallerRequest, version: int) -> None:
        if not self.alive:
            return
        now = self.time.now()
        chance = self.rng.random()
        if chance < self.failure_share:
            failure = Failure(ResultCode.OUTCOME_UNKNOWN)
            self.apply(self.coordinator.draft_failed(now, request.handle, failure))
            return
        versions = tuple(range(version, self.newest[0] + 1))
        done = answer(versions)
        self.apply(self.coordinator.draft_finished(now, request.handle, done))
        if chance > 1 - self.repeat_share:
            self.apply(self.coordinator.draft_finished(now, request.handle, done))

    def _schedule_wakeup(self) -> None:
        wakeup_at = self.coordinator.next_wakeup()
        if wakeup_at is not None and wakeup_at != self.wakeup:
            self.wakeup = wakeup_at
            self.time.call_at(wakeup_at, self._on_timer)

    def _on_timer(self) -> None:
        wakeup_at = self.coordinator.next_wakeup()
        if self.alive and wakeup_at is not None and wakeup_at <= self.time.now():
            self.apply(self.coordinator.on_timer(self.time.now()))
