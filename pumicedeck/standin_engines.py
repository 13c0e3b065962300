"""In-process stand-in for a model engine."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.faults import Fault, FaultDecision, FaultSwitches, StandIn
from pumicedeck.platform_interfaces import (
    CacheEvent,
    EngineOrder,
    EngineState,
    Generation,
    GenerationEnd,
    LoadedModel,
    ModelEngine,
    ResultCallback,
    TokenChunk,
    adapter,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.standin_batches import (
    Batch,
    Prompt,
    Sequence,
    decode_kv_cache,
    encode_kv_cache,
    parse_prompt,
)
from pumicedeck.standin_caches import PrefixCache
from pumicedeck.standin_ledgers import (
    EngineSettings,
    ExecutedGeneration,
    ExecutedOrder,
    LaggedLoad,
)
from pumicedeck.standin_orders import (
    ORDER_REPLY_LOST,
    UNKNOWN_VERSION,
    OrderExecutor,
    OrderHooks,
    WeightSource,
)

_REFUSED = Failure(ResultCode.ENDPOINT_UNREACHABLE, "connection refused", proven_not_run=True)
_CONNECTION_LOST = Failure(ResultCode.ENDPOINT_FAILED, "the connection to the engine broke")
_CANCELLED = Failure(ResultCode.CANCELLED, "the generation was stopped")
_LEAVING = Failure(ResultCode.ENDPOINT_LEAVING, "the engine is leaving", proven_not_run=True)
_MAX_LEDGER_ITEMS = 1_000_000


@dataclass(slots=True, eq=False)
class _OpenCall:
    """An open call of `generate`; output before byte `offset` was already delivered."""

    decision: FaultDecision
    offset: int
    streamed: bool
    chunk: Callable[[TokenChunk], None]
    done: ResultCallback[GenerationEnd]


@adapter("ModelEngine", "standin")
class StandinEngine(StandIn, ModelEngine):
    """A model engine with continuous batching and records of everything it executed.

    A chunk whose offset lies within the output sent before replaces that output from the offset
    on; this happens when a swap of the weight version restarts a generation.
    """

    def __init__(
        self,
        timers: TimerQueue,
        faults: FaultSwitches | None = None,
        settings: EngineSettings | None = None,
        weights: WeightSource | None = None,
        name: str = "engine",
        random: Random | None = None,
    ) -> None:
        """Create an engine; `weights` fetches a version, by default in `settings.fetch_seconds`.

        `ledger` records executed generations, `orders` records the orders that took effect.
        """
        super().__init__(timers, faults)
        self._settings = settings or EngineSettings()
        self._weight_source = weights
        self._name = name
        self._random = random or Random(name)
        self.ledger: deque[ExecutedGeneration] = deque(maxlen=_MAX_LEDGER_ITEMS)
        self.orders: deque[ExecutedOrder] = deque(maxlen=_MAX_LEDGER_ITEMS)
        self.leaving = False
        self._reset_state()

    def _reset_state(self) -> None:
        settings = self._settings
        self._batch = Batch(self._timers, settings.batch, self._on_admitted, self._on_stepped)
        hooks = OrderHooks(self._batch.pause, self._batch.resume, self._on_swapped, self.crash)
        self._order_executor = OrderExecutor(
            self._timers, settings, self._weight_source, hooks, self.orders
        )
        self.cache = PrefixCache(settings.cache, self._random)
        self._active_sequences: dict[str, Sequence] = {}
        self._finished_sequences: OrderedDict[str, Sequence] = OrderedDict()
        self._imported_sequences: dict[str, Sequence] = {}
        self._open_calls: dict[str, _OpenCall] = {}
        self._reported_load = LaggedLoad(settings.report_lag)

    @property
    def incarnation(self) -> str:
        """Return the incarnation of the engine, which changes with every crash."""
        return f"{self._name}#{self._crash_count}"

    def executions(self, body: bytes) -> int:
        """Return how many generations of this body have started, in all incarnations."""
        running = [s for s in self._batch.running if s.generation.body == body]
        return len(running) + sum(1 for item in self.ledger if item.body == body)

    def is_answering(self, handle: str) -> bool:
        """Return whether an open call waits for this generation and is not silenced by a fault."""
        open_call = self._open_calls.get(handle)
        return open_call is not None and not self.faults.is_silenced(open_call.decision)

    # Generations

    def generate(
        self,
        generation: Generation,
        chunk: Callable[[TokenChunk], None],
        done: ResultCallback[GenerationEnd],
    ) -> None:
        """Start a generation or attach to the one with the same handle."""
        decision = self.faults.decide("generate")
        crash_count_at_call = self._crash_count

        def begin() -> None:
            if decision.fault is Fault.LOSE_REQUEST or crash_count_at_call != self._crash_count:
                self._reply(decision, done, Err(_CONNECTION_LOST))
                return
            open_call = _OpenCall(
                decision, generation.resume_offset, generation.streamed, chunk, done
            )
            self._attach_call(generation, open_call)

        if decision.fault is Fault.DOWN:
            self._timers.call_later(decision.delay, lambda: done(Err(_REFUSED)))
            return
        self._timers.call_later(decision.delay, begin)

    def cancel(self, handle: str) -> None:
        """Stop a generation; its `done` reports CANCELLED."""
        if self.faults.decide("cancel").fault is None:
            self._timers.call_later(
                self.faults.delay, lambda: self._stop_generation(handle, "cancelled")
            )

    def _attach_call(self, generation: Generation, open_call: _OpenCall) -> None:
        """Attach a call to its generation, started if unknown; an earlier call loses its reply."""
        sequence = self._find_sequence(generation.handle)
        if sequence is None:
            outcome = self._admit_generation(generation)
            if outcome.is_err():
                self._reply(open_call.decision, open_call.done, outcome)
                return
            sequence = outcome.unwrap()
        handle = generation.handle
        replaced_call = self._open_calls.pop(handle, None)
        if replaced_call is not None:
            self._reply(replaced_call.decision, replaced_call.done, Err(_CONNECTION_LOST))
        self._open_calls[handle] = open_call
        if open_call.streamed and len(sequence.output) > open_call.offset:
            self._deliver_output(sequence)
        if sequence.finished:
            self._complete_call(sequence)

    def _find_sequence(self, handle: str) -> Sequence | None:
        return self._active_sequences.get(handle) or self._finished_sequences.get(handle)

    def _admit_generation(self, generation: Generation) -> Result[Sequence, Failure]:
        if self.leaving:
            return Err(_LEAVING)
        sequence = self._imported_sequences.pop(generation.handle, None)
        if sequence is None:
            if generation.resume_offset > 0:
                return Err(Failure(ResultCode.ENDPOINT_FAILED, "handle to resume is unknown"))
            validated = self._validate(generation)
            if validated.is_err():
                return validated
            sequence = Sequence(generation, validated.unwrap())
        sequence.generation = generation
        self._active_sequences[generation.handle] = sequence
        self._batch.submit(sequence)
        self._record_load()
        return Ok(sequence)

    def _validate(self, generation: Generation) -> Result[Prompt, Failure]:
        prompt = parse_prompt(generation.body)
        if prompt is None:
            return Err(Failure(ResultCode.BAD_REQUEST, "invalid prompt", proven_not_run=True))
        if generation.model and generation.model not in self._order_executor.versions:
            return Err(Failure(ResultCode.NOT_FOUND, generation.model, proven_not_run=True))
        return Ok(prompt)

    def _weight_version(self, sequence: Sequence) -> int:
        versions = self._order_executor.versions
        model = sequence.generation.model or next(iter(versions), "")
        return versions.get(model, UNKNOWN_VERSION)

    def _on_admitted(self, sequence: Sequence) -> float:
        """Return the prefill seconds of a sequence; a cached prefix is not computed again."""
        now = self._timers.now()
        if sequence.started_at < 0:
            sequence.started_at = now
        prompt = sequence.prompt
        cached = self.cache.use(now, prompt.prefix, prompt.prefix_tokens)
        tokens = prompt.tokens - (min(prompt.prefix_tokens, prompt.tokens) if cached else 0)
        return tokens * self._settings.batch.prefill_token_seconds

    def _on_stepped(self, sequence: Sequence, count: int) -> None:
        """Append tokens, deliver them to a streamed call and finish the generation at its end."""
        sequence.append(count, self._weight_version(sequence))
        open_call = self._open_calls.get(sequence.generation.handle)
        if open_call is not None and open_call.decision.fault is Fault.CRASH:
            self.crash()
            return
        finished = sequence.tokens >= sequence.prompt.output_tokens
        if open_call is not None and open_call.streamed:
            self._deliver_output(sequence)
        if finished:
            self._finish_generation(sequence)
        self._record_load()

    def _deliver_output(self, sequence: Sequence) -> None:
        """Send the output that the open call of a generation has not received yet."""
        open_call = self._open_calls.get(sequence.generation.handle)
        if open_call is None or self.faults.is_silenced(open_call.decision):
            return
        chunk = sequence.output_from(open_call.offset, self._settings.reports_versions)
        open_call.offset += len(chunk.data)
        # Each callback has its own timer, so that one that raises does not stop the batch.
        self._timers.call_later(0.0, lambda: open_call.chunk(chunk))
        if open_call.decision.fault is Fault.LOSE_REPLY:
            self._end_call(sequence.generation.handle, Err(_CONNECTION_LOST))

    def _finish_generation(self, sequence: Sequence) -> None:
        handle = sequence.generation.handle
        sequence.finished = True
        self._active_sequences.pop(handle, None)
        self._finished_sequences[handle] = sequence
        while len(self._finished_sequences) > self._settings.max_retained_outputs:
            self._finished_sequences.popitem(last=False)
        self._record_generation(sequence, "finished")
        self._complete_call(sequence)

    def _complete_call(self, sequence: Sequence) -> None:
        """End the open call of a finished generation."""
        handle = sequence.generation.handle
        open_call = self._open_calls.get(handle)
        if open_call is None:
            return
        if open_call.decision.fault is Fault.LOSE_REPLY:
            self._end_call(handle, Err(_CONNECTION_LOST))
            return
        if not open_call.streamed:
            self._deliver_output(sequence)
        length = len(sequence.output)
        end = GenerationEnd(200, "text/plain; charset=utf-8", length, sequence.tokens)
        self._end_call(handle, Ok(end))

    def _end_call(self, handle: str, outcome: Result[GenerationEnd, Failure]) -> None:
        open_call = self._open_calls.pop(handle, None)
        if open_call is not None:
            self._timers.call_later(
                0.0, lambda: self._reply(open_call.decision, open_call.done, outcome)
            )

    def _stop_generation(self, handle: str, outcome: str) -> Sequence | None:
        """Remove a running or waiting generation and end its call with CANCELLED."""
        sequence = self._active_sequences.pop(handle, None)
        if sequence is None:
            return None
        self._batch.remove(sequence)
        if sequence.started_at >= 0:
            self._record_generation(sequence, outcome)
        self._record_load()
        self._end_call(handle, Err(_CANCELLED))
        return sequence

    def _record_generation(self, sequence: Sequence, outcome: str) -> None:
        executed = ExecutedGeneration(
            handle=sequence.generation.handle,
            body=sequence.generation.body,
            incarnation=self.incarnation,
            started_at=sequence.started_at,
            ended_at=self._timers.now(),
            versions=tuple(sequence.versions),
            outcome=outcome,
        )
        self.ledger.append(executed)

    # Orders

    def order(self, order: EngineOrder, done: ResultCallback[EngineState]) -> None:
        """Execute an order; an order whose id was executed before has no further effect."""
        decision = self.faults.decide("order")
        crash_count_at_call = self._crash_count

        def reply(outcome: Result[None, Failure]) -> None:
            reported = outcome.map(lambda _: self._read_state())
            if decision.fault in (Fault.LOSE_REPLY, Fault.LOSE_REQUEST):
                reported = Err(ORDER_REPLY_LOST)
            self._reply(decision, done, reported)

        def begin() -> None:
            if crash_count_at_call != self._crash_count or decision.fault is Fault.LOSE_REQUEST:
                reply(Err(ORDER_REPLY_LOST))
            else:
                self._order_executor.execute(order, decision, reply)

        if decision.fault is Fault.DOWN:
            self._timers.call_later(decision.delay, lambda: done(Err(_REFUSED)))
            return
        self._timers.call_later(decision.delay, begin)

    def _on_swapped(self, order: EngineOrder) -> None:
        self.cache.clear(self._timers.now())
        if order.restart_running:
            self._restart_running(order.model)

    def _restart_running(self, model: str) -> None:
        """Discard the output of the running generations of a model, so that they start anew."""
        for sequence in self._active_sequences.values():
            if sequence.generation.model not in ("", model):
                continue
            sequence.restart()
            open_call = self._open_calls.get(sequence.generation.handle)
            if open_call is not None:
                open_call.offset = 0

    # State

    def state(self, done: ResultCallback[EngineState]) -> None:
        """Read the state of the engine; its load is reported with a lag."""
        self._serve("state", lambda: Ok(self._read_state()), done, _REFUSED, _CONNECTION_LOST)

    def _read_state(self) -> EngineState:
        running, queued = self._reported_load.report(self._timers.now())
        orders = self._order_executor
        models = tuple(LoadedModel(model, number) for model, number in orders.versions.items())
        checks = self._settings.checks_fencing
        return EngineState(
            models=models,
            role=orders.role,
            running=running,
            queued=queued,
            highest_fencing=orders.highest_fencing if checks else 0,
            last_order=orders.last_order,
            leaving=self.leaving,
            incarnation=self.incarnation,
        )

    def _record_load(self) -> None:
        running = len(self._batch.running)
        self._reported_load.record(
            self._timers.now(), running, len(self._active_sequences) - running
        )

    def cache_events(self, since: int, done: ResultCallback[tuple[CacheEvent, ...]]) -> None:
        """Read the cache events with a sequence number above `since`."""

        def work() -> Result[tuple[CacheEvent, ...], Failure]:
            return Ok(self.cache.events(self._timers.now(), since))

        self._serve("cache_events", work, done, _REFUSED, _CONNECTION_LOST)

    # KV cache

    def export_kv(self, handle: str, done: ResultCallback[bytes]) -> None:
        """Export the KV cache of a running generation and stop it; NOT_FOUND if it is unknown."""
        sequence = self._active_sequences.get(handle)
        work_seconds = self._kv_transfer_seconds(sequence.tokens) if sequence else 0.0
        self._serve(
            "export_kv",
            lambda: self._export_sequence(handle),
            done,
            _REFUSED,
            _CONNECTION_LOST,
            work_seconds,
        )

    def import_kv(self, handle: str, data: bytes, done: ResultCallback[None]) -> None:
        """Import a KV cache, with which `generate` can resume the generation of this handle."""
        sequence = decode_kv_cache(data)
        work_seconds = self._kv_transfer_seconds(sequence.tokens) if sequence else 0.0

        def work() -> Result[None, Failure]:
            if sequence is None:
                return Err(Failure(ResultCode.BAD_REQUEST, "not an exported KV cache"))
            self._imported_sequences[handle] = sequence
            return Ok(None)

        self._serve("import_kv", work, done, _REFUSED, _CONNECTION_LOST, work_seconds)

    def _export_sequence(self, handle: str) -> Result[bytes, Failure]:
        sequence = self._stop_generation(handle, "exported")
        if sequence is None:
            return Err(Failure(ResultCode.NOT_FOUND, handle))
        return Ok(encode_kv_cache(sequence))

    def _kv_transfer_seconds(self, tokens: int) -> float:
        settings = self._settings
        return tokens * settings.kv_bytes_per_token / settings.kv_bytes_per_second

    # Leaving, crash and restart

    def begin_leaving(self) -> None:
        """Refuse new generations and finish those that run."""
        self.leaving = True

    def crash(self) -> None:
        """Discard all state except the ledgers and refuse connections until `restart`."""
        for sequence in self._batch.clear():
            if sequence.started_at >= 0:
                self._record_generation(sequence, "crashed")
        super().crash()
        self._order_executor.close()
        for handle in tuple(self._open_calls):
            self._end_call(handle, Err(_CONNECTION_LOST))

    def restart(self) -> None:
        """Accept connections again, under a new incarnation and with the initial weights."""
        super().restart()
        self.leaving = False
        self._reset_state()
