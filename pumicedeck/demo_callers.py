"""Simulated callers and trainers of the demo, which call the entries over HTTP."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from result import Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.results import Failure
from pumicedeck.topology import Address


@dataclass(slots=True)
class CallCounts:
    """Calls of one demo caller by outcome; `other` had neither an answer nor proof of not run."""

    sent: int = 0
    answered: int = 0
    refused_not_run: int = 0
    other: int = 0


@dataclass(frozen=True, slots=True)
class CallPlan:
    """Calls to one catalogue entry, at a mean `rate` per second."""

    entry_name: str
    token: str
    path: str
    rate: float


class DemoCaller:
    """Sends calls at random intervals and checks that each answer names the request it answers."""

    def __init__(
        self,
        plan: CallPlan,
        client: HttpClient,
        get_entry_address: Callable[[], Address],
        timers: TimerQueue,
        rng: Random,
    ) -> None:
        """Create a caller; `get_entry_address` returns the address to which each call is sent."""
        self._plan = plan
        self._client = client
        self._get_entry_address = get_entry_address
        self._timers = timers
        self._rng = rng
        self._stopped = False
        self.counts = CallCounts()
        self.mismatched_answers = 0
        self.reported_not_run: set[str] = set()
        self.request_ids: list[str] = []

    @property
    def name(self) -> str:
        """Return the name of the catalogue entry that is called."""
        return self._plan.entry_name

    @property
    def open_calls(self) -> int:
        """Return how many calls have no answer yet."""
        counts = self.counts
        return counts.sent - counts.answered - counts.refused_not_run - counts.other

    def start(self) -> None:
        """Schedule the next call."""
        self._timers.call_later(self._rng.expovariate(self._plan.rate), self._send_call)

    def stop(self) -> None:
        """Stop sending calls."""
        self._stopped = True

    def _send_call(self) -> None:
        if self._stopped:
            return
        self.start()
        self.counts.sent += 1
        request_id = f"{self._plan.entry_name}-{self.counts.sent}"
        self.request_ids.append(request_id)
        request = HttpRequest(
            "POST",
            self._get_entry_address(),
            f"/v1/entries/{self._plan.entry_name}/call{self._plan.path}",
            (("Authorization", f"Bearer {self._plan.token}"), ("X-Request-Id", request_id)),
            json.dumps({"number": self.counts.sent}).encode(),
        )
        self._client.send(request, lambda outcome: self._on_answer(request_id, outcome))

    def _on_answer(self, request_id: str, outcome: Result[HttpResponse, Failure]) -> None:
        if not isinstance(outcome, Ok):
            self.counts.other += 1
            return
        document = json.loads(outcome.ok_value.body)
        if outcome.ok_value.status == 200:
            self.counts.answered += 1
            self.mismatched_answers += document.get("request_id") != request_id
        elif document.get("execution") == "not_run":
            self.counts.refused_not_run += 1
            self.reported_not_run.add(request_id)
        else:
            self.counts.other += 1


@dataclass(frozen=True, slots=True)
class TrainerPlan:
    """A trainer that draws steps of `groups` groups of `samples` samples and trains on each."""

    entry_name: str
    token: str
    trainer: str
    groups: int
    samples: int
    max_tokens: int
    train_seconds: float


@dataclass(slots=True)
class TrainerCounts:
    """What a trainer received; `idle_seconds` is the time for which it waited for steps.

    A draft key is the step, the group and the index of a received draft.
    """

    steps: int = 0
    drafts: int = 0
    duplicates: int = 0
    over_staleness_bound: int = 0
    failed_draws: int = 0
    idle_seconds: float = 0.0
    draft_keys: set[tuple[int, int, int]] = field(default_factory=set)


class DemoTrainer:
    """Draws steps in sequence and repeats a draw that ended before all of its groups arrived."""

    def __init__(
        self,
        plan: TrainerPlan,
        client: HttpClient,
        get_entry_address: Callable[[], Address],
        timers: TimerQueue,
        get_newest_model_version: Callable[[], int],
        staleness_bound: int,
    ) -> None:
        """Create a trainer; staleness is the number of versions behind the newest at a draw."""
        self._plan = plan
        self._client = client
        self._get_entry_address = get_entry_address
        self._timers = timers
        self._get_newest_model_version = get_newest_model_version
        self._staleness_bound = staleness_bound
        self._received_groups: set[int] = set()
        self._newest_model_version_at_draw = 0
        self._step_started_at = 0.0
        self._partial_line = b""
        self._stopped = False
        self.counts = TrainerCounts()

    @property
    def name(self) -> str:
        """Return the trainer's name."""
        return self._plan.trainer

    def start(self) -> None:
        """Draw the next step."""
        self._step_started_at = self._timers.now()
        self._send_draw()

    def stop(self) -> None:
        """Stop drawing steps."""
        self._stopped = True

    def _send_draw(self) -> None:
        plan = self._plan
        self._partial_line = b""
        self._newest_model_version_at_draw = self._get_newest_model_version()
        missing_groups = [
            number for number in range(plan.groups) if number not in self._received_groups
        ]
        groups = [
            {
                "group": number,
                "body": {"prompt": f"{plan.trainer} {number}", "max_tokens": plan.max_tokens},
                "samples": plan.samples,
                "expected_tokens": plan.max_tokens,
            }
            for number in missing_groups
        ]
        draw = {
            "trainer": plan.trainer,
            "step": self.counts.steps,
            "held": sorted(self._received_groups),
            "groups": groups,
            "newest_version": self._newest_model_version_at_draw,
        }
        request = HttpRequest(
            "POST",
            self._get_entry_address(),
            f"/v1/entries/{plan.entry_name}/draws",
            (("Authorization", f"Bearer {plan.token}"),),
            json.dumps(draw).encode(),
        )
        self._client.send(request, self._on_draw_ended, self._on_data, plan.train_seconds + 60.0)

    def _on_data(self, data: bytes) -> None:
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            document = json.loads(line)
            if "group" in document:
                self._record_group(document)

    def _record_group(self, document: dict) -> None:
        counts = self.counts
        self._received_groups.add(document["group"])
        for draft in document["drafts"]:
            draft_key = (counts.steps, document["group"], draft["index"])
            counts.duplicates += draft_key in counts.draft_keys
            counts.draft_keys.add(draft_key)
            counts.drafts += 1
            oldest_allowed = self._newest_model_version_at_draw - self._staleness_bound
            counts.over_staleness_bound += min(draft["versions"]) < oldest_allowed

    def _on_draw_ended(self, outcome: Result[HttpResponse, Failure]) -> None:
        if self._stopped:
            return
        if len(self._received_groups) < self._plan.groups:
            self.counts.failed_draws += 1
            self._timers.call_later(0.2, self._send_draw)
            return
        self.counts.idle_seconds += self._timers.now() - self._step_started_at
        self.counts.steps += 1
        self._received_groups.clear()
        self._timers.call_later(self._plan.train_seconds, self.start)
