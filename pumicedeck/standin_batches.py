"""Continuous batching of the stand-in engine: slots, priorities and a token rate."""

import hashlib
import heapq
import json
from base64 import b64decode, b64encode
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field

from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.platform_interfaces import Generation, TokenChunk

_DEFAULT_TOKENS = 16
_PREFIX_CHARACTERS = 64
_CHARACTERS_PER_TOKEN = 4
_DIGEST_CHARACTERS = 8


@dataclass(frozen=True, slots=True)
class Prompt:
    """What the engine reads from a body: lengths in tokens, the prefix and a digest."""

    digest: str
    prefix: str
    prefix_tokens: int
    tokens: int
    output_tokens: int


def parse_prompt(body: bytes) -> Prompt | None:
    """Parse a JSON body.

    `max_tokens` bounds the output, `stop_after` ends it earlier, `prefix` and `prefix_tokens`
    name the shared start of `prompt`.
    """
    try:
        fields = json.loads(body)
        text = str(fields.get("prompt", ""))
        tokens = max(1, len(text) // _CHARACTERS_PER_TOKEN)
        limit = int(fields.get("max_tokens", _DEFAULT_TOKENS))
        length = max(1, min(limit, int(fields.get("stop_after", limit))))
        prefix = str(fields.get("prefix", text[:_PREFIX_CHARACTERS]))
        prefix_tokens = int(fields.get("prefix_tokens", min(tokens, len(prefix))))
    except (ValueError, AttributeError, TypeError):
        return None
    return Prompt(body_digest(body), prefix, prefix_tokens, tokens, length)


def body_digest(body: bytes) -> str:
    """Return the mark that every output token of this body carries."""
    return hashlib.sha256(body).hexdigest()[:_DIGEST_CHARACTERS]


def token_text(digest: str, index: int, version: int) -> bytes:
    """Return an output token, which names its request, place and true weight version."""
    return f"{digest}.{index}.{version} ".encode()


@dataclass(slots=True, eq=False)
class Sequence:
    """A generation at the engine with its output so far."""

    generation: Generation
    prompt: Prompt
    output: bytearray = field(default_factory=bytearray)
    versions: list[int] = field(default_factory=list)
    ends: list[int] = field(default_factory=list)
    started_at: float = -1.0
    finished: bool = False

    @property
    def tokens(self) -> int:
        """Return how many tokens there are."""
        return len(self.versions)

    def append(self, count: int, version: int) -> None:
        """Add up to `count` tokens made by `version`."""
        count = min(count, self.prompt.output_tokens - self.tokens)
        for _ in range(count):
            self.output += token_text(self.prompt.digest, self.tokens, version)
            self.versions.append(version)
            self.ends.append(len(self.output))

    def restart(self) -> None:
        """Drop the output."""
        self.output.clear()
        self.versions.clear()
        self.ends.clear()

    def chunk(self, offset: int, with_versions: bool) -> TokenChunk:
        """Return what follows byte `offset`."""
        first = bisect_right(self.ends, offset)
        versions = tuple(self.versions[first:])
        data = bytes(self.output[offset:])
        return TokenChunk(offset, data, len(versions), versions if with_versions else ())


def encode_kv_cache(sequence: Sequence) -> bytes:
    """Serialize a sequence as its exported KV cache."""
    generation = sequence.generation
    fields = {
        "handle": generation.handle,
        "model": generation.model,
        "path": generation.path,
        "body": b64encode(generation.body).decode(),
        "priority": generation.priority,
        "versions": sequence.versions,
    }
    return json.dumps(fields).encode()


def decode_kv_cache(data: bytes) -> Sequence | None:
    """Parse an exported KV cache."""
    try:
        fields = json.loads(data)
        body = b64decode(fields["body"])
        prompt = parse_prompt(body)
        versions = [int(version) for version in fields["versions"]]
        generation = Generation(
            fields["handle"], fields["model"], fields["path"], body, int(fields["priority"])
        )
    except (ValueError, KeyError, TypeError):
        return None
    if prompt is None:
        return None
    sequence = Sequence(generation, prompt)
    for version in versions:
        sequence.append(1, version)
    return sequence


@dataclass(frozen=True, slots=True)
class BatchSettings:
    """Speed of the engine; times are in seconds.

    A step makes `step_tokens` for each running sequence and takes `token_seconds` for each,
    longer by the factor `slowdown` for every further sequence in the batch.
    """

    slots: int = 8
    token_seconds: float = 0.01
    step_tokens: int = 4
    slowdown: float = 0.0
    prefill_token_seconds: float = 0.0


class Batch:
    """Runs up to `slots` sequences in steps; the rest wait by priority, then arrival."""

    def __init__(
        self,
        timers: TimerQueue,
        settings: BatchSettings,
        admitted: Callable[[Sequence], float],
        stepped: Callable[[Sequence, int], None],
    ) -> None:
        """Call `admitted` for the prefill seconds of a sequence and `stepped` to add tokens."""
        self._timers = timers
        self._settings = settings
        self._admitted = admitted
        self._stepped = stepped
        self._running: list[Sequence] = []
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._count = 0
        self._pauses = 0
        self._timer: Timer | None = None

    @property
    def running(self) -> tuple[Sequence, ...]:
        """Return the sequences in the batch."""
        return tuple(self._running)

    @property
    def queued(self) -> int:
        """Return how many sequences wait."""
        return len(self._waiting)

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        self._count += 1
        order = (-sequence.generation.priority, self._count, sequence)
        heapq.heappush(self._waiting, order)
        self._begin_step()

    def remove(self, sequence: Sequence) -> None:
        """Take a sequence out, running or waiting."""
        if sequence in self._running:
            self._running.remove(sequence)
            return
        self._waiting = [item for item in self._waiting if item[2] is not sequence]
        heapq.heapify(self._waiting)

    def clear(self) -> list[Sequence]:
        """Take everything out and return it."""
        removed = self._running + [item[2] for item in self._waiting]
        self._running = []
        self._waiting = []
        self._pauses = 0
        self._cancel_step()
        return removed

    def pause(self) -> None:
        """Stop producing tokens; pauses may overlap."""
        self._pauses += 1
        self._cancel_step()

    def resume(self) -> None:
        """End one pause and, if it was the last, produce tokens again."""
        self._pauses -= 1
        self._begin_step()

    def _cancel_step(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _begin_step(self) -> None:
        if self._pauses > 0 or self._timer is not None:
            return
        prefill = self._admit()
        if not self._running:
            return
        settings = self._settings
        slowdown = 1.0 + settings.slowdown * (len(self._running) - 1)
        duration = settings.step_tokens * settings.token_seconds * slowdown
        self._timer = self._timers.call_later(prefill + duration, self._end_step)

    def _admit(self) -> float:
        prefill = 0.0
        while self._waiting and len(self._running) < self._settings.slots:
            sequence = heapq.heappop(self._waiting)[2]
            self._running.append(sequence)
            prefill += self._admitted(sequence)
        return prefill

    def _end_step(self) -> None:
        self._timer = None
        for sequence in tuple(self._running):
            if sequence not in self._running:
                continue
            self._stepped(sequence, self._settings.step_tokens)
            if sequence.tokens >= sequence.prompt.output_tokens and sequence in self._running:
                self._running.remove(sequence)
        self._begin_step()
