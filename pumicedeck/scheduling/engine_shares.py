"""Decides how many engines, and which, serve each model; free of I/O.

The load is several trainers whose steps differ in the number and length of their items, and that
stop, grow, fall behind or come late. With equal shares the trainer with the largest steps falls
behind and never catches up. Each model therefore gets engines by the expected work of its steps, so
that the slowest step takes as short as it can. A changed share costs loads, during which engines
run nothing, so shares stay as they are while the gain is small, as it is with equal steps.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import inf, log

from pumicedeck.scheduling.engine_groups import EngineGroup, group_engines
from pumicedeck.scheduling.model_shares import ModelWork, Share, StepNeed
from pumicedeck.scheduling.weight_plans import EngineStatus, assign_models

# What an engine that is dealt to another model loses.
LOAD_SECONDS = 0.9
# Engines are swapped if their speeds, and the lengths of the items, differ by these factors.
FASTER_ENGINE = 1.2
LONGER_ITEMS = 1.5


@dataclass(frozen=True, slots=True)
class ShareSettings:
    """When engines are dealt anew, in seconds.

    Shares are reconsidered each `reconsider_seconds`, and `dealt_seconds` after the last change.
    Engines change their model if the slowest step ends sooner by `min_gain_share` of its time, and
    if the time that this saves in `lasting_steps` steps is `load_price` times that of a load. A
    model has stopped if no step came for `stopped_after_steps` times the time between two of them,
    which counts as `default_step_seconds` until two were seen. To let a model catch up, another one
    is slowed only until its steps take `pace_share` of the time that they have.
    """

    by_need: bool = True
    reconsider_seconds: float = 1.0
    dealt_seconds: float = 4.0
    min_gain_share: float = 0.08
    lasting_steps: float = 4.0
    load_price: float = 3.0
    stopped_after_steps: float = 2.0
    default_step_seconds: float = 15.0
    pace_share: float = 0.9


class DealReason(StrEnum):
    """Why engines were dealt anew; the values are written to the log and to the metrics."""

    NEED = "need"
    SPEED = "speed"
    MODELS = "other models"
    ENGINES = "other engines"


@dataclass(frozen=True, slots=True)
class Deal:
    """The model of each engine; `reason` is None if no engine changed its model."""

    assigned: dict[str, str]
    reason: DealReason | None = None
    changed: int = 0


class EngineShares:
    """Deals engines to models by the expected work of their steps.

    Until a step is known, engines keep the model of which they have the latest versions, so that a
    scheduler that takes over continues with the shares of its predecessor; if these do not tell the
    shares, all models get equal ones.
    """

    def __init__(self, settings: ShareSettings | None = None) -> None:
        """Create shares without knowledge of any step."""
        self._settings = settings or ShareSettings()
        self._works: dict[str, ModelWork] = {}
        self._considered_at = -inf
        self._dealt_at = -inf
        self._models: list[str] = []

    def is_due(self, now: float) -> bool:
        """Return whether the steps are to be recorded and the shares to be reconsidered."""
        settings = self._settings
        return (
            settings.by_need
            and now - self._considered_at >= settings.reconsider_seconds
            and now - self._dealt_at >= settings.dealt_seconds
        )

    def record_steps(self, steps: Iterable[StepNeed]) -> None:
        """Record all open steps."""
        steps = sorted(steps, key=lambda each: (each.accepted, each.submission_id))
        for work in self._works.values():
            work.events_left = work.backlog = 0.0
        for step in steps:
            self._works.setdefault(step.model, ModelWork()).add(step)
        for step in steps:
            work = self._works[step.model]
            work.events_left += step.events_left
            if step.submission_id != work.newest:
                work.backlog += step.events_left

    def deal(
        self,
        engines: list[EngineStatus],
        models: list[str],
        announced: Mapping[str, int],
        previous: dict[str, str],
        now: float,
    ) -> Deal:
        """Return the model of each engine; `announced` has the newest version by model.

        An engine is dealt to models that it can serve only; one that serves none gets none.
        """
        models = sorted(models)
        groups = group_engines(engines, models)
        if not self._settings.by_need or not models:
            assigned: dict[str, str] = {}
            for group in groups:
                assigned |= assign_models(group.engines, group.models, previous)
            return Deal(assigned)
        is_due, changed_models = self.is_due(now), set(models).symmetric_difference(self._models)
        if not changed_models and not is_due and _are_all_served(groups, previous):
            return Deal(previous)
        removed_models = changed_models.difference(models)
        self._models = models
        deals = []
        for group in groups:
            has_new_models = bool(removed_models or changed_models.intersection(group.models))
            deals.append(self._deal_group(group, announced, previous, now, is_due, has_new_models))
        return _join(deals)

    def _deal_group(
        self,
        group: EngineGroup,
        announced: Mapping[str, int],
        previous: dict[str, str],
        now: float,
        is_due: bool,
        has_new_models: bool,
    ) -> Deal:
        """Return the model of each engine of a group."""
        engines, models = group.engines, group.models
        by_name = {each.name: each for each in engines}
        known = {
            name: model
            for name, model in previous.items()
            if model in models and (name not in by_name or by_name[name].can_serve(model))
        } or _infer_models(engines, models)
        if not self._works:
            has_all = known and set(known.values()) >= set(models)
            if not has_all or has_new_models and previous:
                return _compare(known, assign_models(engines, models, known), DealReason.MODELS)
        shares = self._open_shares(models, now)
        unassigned = []
        for engine in engines:
            share = shares.get(known.get(engine.name, ""))
            unassigned.append(engine) if share is None else share.add(engine)
        _place(unassigned, shares)
        _serve_each_model(shares)
        reason = DealReason.MODELS if has_new_models else DealReason.ENGINES
        if self._works and (has_new_models or is_due):
            self._considered_at = now
            if self._move_engines(shares, announced, has_new_models) and not has_new_models:
                reason = DealReason.NEED
            elif not has_new_models and _swap_for_speed(shares, announced):
                reason = DealReason.SPEED
        assigned = {name: model for model, share in shares.items() for name in share.engines}
        deal = _compare(known, assigned, reason)
        if deal.changed:
            self._dealt_at = now
        return deal

    def _has_stopped(self, work: ModelWork, now: float) -> bool:
        """Return whether a model has no work left and no further step is expected."""
        seconds = work.step_seconds or self._settings.default_step_seconds
        is_late = now - work.accepted > self._settings.stopped_after_steps * seconds
        return is_late and not work.events_left

    def _open_shares(self, models: list[str], now: float) -> dict[str, Share]:
        """Return a share without engines for each model; one without steps is an average one."""
        known = [work for model, work in self._works.items() if model in models]
        count = max(1, len(known))
        average = ModelWork(
            sum(each.events for each in known) / count or 1.0,
            sum(each.mean_events for each in known) / count,
            sum(each.due_seconds for each in known) / count or 1.0,
        )
        shares = {}
        for model in models:
            work = self._works.get(model, average)
            is_expected = work is average or not self._has_stopped(work, now)
            events = work.events if is_expected else 0.0
            shares[model] = Share(events, work.backlog, work.mean_events, work.due_seconds)
        return shares

    def _move_engines(
        self, shares: dict[str, Share], announced: Mapping[str, int], always: bool
    ) -> bool:
        """Move engines to the models whose steps take longest, if it pays or `always` is set."""
        slowest = max(shares.values(), key=lambda share: share.pace())
        pace_before = slowest.pace()
        donors = _Donors(shares, announced)
        moved = []
        while move := self._choose_move(shares, donors):
            engine, source, target = move
            shares[source].remove(engine)
            shares[target].add(engine)
            moved.append(move)
        gain = pace_before - max(share.pace() for share in shares.values())
        settings = self._settings
        saved_seconds = gain * slowest.due_seconds * settings.lasting_steps
        pays = saved_seconds >= settings.load_price * LOAD_SECONDS
        if always or (pays and gain >= settings.min_gain_share * pace_before):
            return bool(moved)
        for engine, source, target in reversed(moved):
            shares[target].remove(engine)
            shares[source].add(engine)
        return False

    def _choose_move(
        self, shares: dict[str, Share], donors: "_Donors"
    ) -> tuple[EngineStatus, str, str] | None:
        """Return an engine with its model and the one whose step takes longest, None if none."""
        target = max(shares, key=lambda each: shares[each].pace())
        choices = []
        for model, share in shares.items():
            engine = donors.first(model, target) if model != target else None
            if engine is None or len(share.engines) < 2:
                continue
            pace = self._pace_after(engine, share, shares[target])
            if pace is not None:
                choices.append((pace, model, engine))
        if not choices:
            return None
        _, model, engine = min(choices, key=lambda each: each[:2])
        return engine, model, target

    def _pace_after(self, engine: EngineStatus, source: Share, target: Share) -> float | None:
        """Return the pace of `source` without an engine, None if the engine must not move.

        The slower one of the two steps must end sooner. To let a model catch up, another one is
        slowed only as far as its steps still end in time.
        """
        pace, own_pace = target.pace(), target.pace(with_backlog=False)
        source.remove(engine)
        target.add(engine)
        source_pace = source.pace()
        ends_sooner = max(source_pace, target.pace()) < pace
        is_fair = source_pace <= self._settings.pace_share or (
            max(source_pace, target.pace(with_backlog=False)) < own_pace
        )
        target.remove(engine)
        source.add(engine)
        return source_pace if ends_sooner and is_fair else None


class _Donors:
    """The engines of each model in the order in which they are given to other models.

    Those go first that have to load anyway. The model with the longer items gets the faster engine,
    or keeps it. Engines that were given to a model are not passed on.
    """

    def __init__(self, shares: dict[str, Share], announced: Mapping[str, int]) -> None:
        self._shares = shares
        self._announced = announced
        self._ordered: dict[tuple[str, bool], list[EngineStatus]] = {}

    def first(self, model: str, target: str) -> EngineStatus | None:
        """Return the engine that `model` gives to `target` next, None if it has none."""
        share = self._shares[model]
        gives_fast = self._shares[target].mean_events > share.mean_events
        key = (model, gives_fast)
        if key not in self._ordered:
            newest, sign = self._announced.get(model, 0), 1.0 if gives_fast else -1.0
            self._ordered[key] = sorted(
                share.engines.values(),
                key=lambda each: (
                    each.versions.get(model, 0) >= newest,
                    # Differences below a tenth are not worth a load.
                    sign * round(log(each.event_seconds), 1),
                    each.running,
                    each.name,
                ),
                reverse=True,
            )
        ordered = self._ordered[key]
        while ordered and ordered[-1].name not in share.engines:
            ordered.pop()
        return next(
            (
                each
                for each in reversed(ordered)
                if each.name in share.engines and each.can_serve(target)
            ),
            None,
        )


def _infer_models(engines: list[EngineStatus], models: list[str]) -> dict[str, str]:
    """Return the model of which each engine has the latest version, compared with other engines.

    Empty if that is a single model at half of the engines or fewer.
    """
    newest = {
        model: max((each.versions.get(model, 0) for each in engines), default=0) for model in models
    }
    inferred = {}
    for engine in engines:
        lags = sorted(
            (newest[model] - engine.versions.get(model, 0), model)
            for model in models
            if engine.can_serve(model)
        )
        if len(lags) == 1 or lags[0][0] < lags[1][0]:
            inferred[engine.name] = lags[0][1]
    return inferred if 2 * len(inferred) > len(engines) else {}


def _place(engines: list[EngineStatus], shares: dict[str, Share]) -> None:
    """Give as many engines to each model as its step needs, the fastest ones to the longest items.

    How many each model needs is tried with the engines in their order; those that can serve the
    fewest models come first.
    """
    by_models: dict[frozenset[str], list[EngineStatus]] = {}
    for engine in engines:
        servable = frozenset(model for model in shares if engine.can_serve(model))
        by_models.setdefault(servable, []).append(engine)
    for servable in sorted(by_models, key=lambda each: (len(each), sorted(each))):
        _place_alike(by_models[servable], [shares[each] for each in shares if each in servable])


def _place_alike(engines: list[EngineStatus], shares: list[Share]) -> None:
    """Place engines that can all serve the models of all `shares`."""
    tried: list[tuple[Share, EngineStatus]] = []
    for engine in engines:
        share = max(shares, key=lambda each: each.pace())
        share.add(engine)
        tried.append((share, engine))
    for share, engine in tried:
        share.remove(engine)
    fastest = sorted(engines, key=lambda each: (each.event_seconds, each.name))
    longest = sorted((share for share, _ in tried), key=lambda each: -each.mean_events)
    for share, engine in zip(longest, fastest, strict=True):
        share.add(engine)


def _serve_each_model(shares: dict[str, Share]) -> None:
    """Give each model without engines one of the model whose step takes shortest."""
    for model, share in shares.items():
        donors = [
            each
            for each in shares.values()
            if len(each.engines) > 1 and any(e.can_serve(model) for e in each.engines.values())
        ]
        if share.engines or not donors:
            continue
        donor = min(donors, key=lambda each: each.pace())
        able = [each for each in donor.engines.values() if each.can_serve(model)]
        engine = min(able, key=lambda each: (each.running, each.name))
        donor.remove(engine)
        share.add(engine)


def _swap_for_speed(shares: dict[str, Share], announced: Mapping[str, int]) -> bool:
    """Swap a slow engine of the model with the longest items and a fast one of another model.

    Both must have to load a version anyway, so that the swap costs no load. Return whether engines
    were swapped.
    """

    def have_to_load(model: str, other: str) -> list[EngineStatus]:
        """Return the engines of a model that must load, and can serve the other model too."""
        newest = announced.get(model, 0)
        engines = shares[model].engines.values()
        stale = [each for each in engines if each.versions.get(model, 0) < newest]
        return [each for each in stale if each.can_serve(other)]

    longest = max(shares, key=lambda each: shares[each].mean_events)
    for model, share in shares.items():
        if share.mean_events * LONGER_ITEMS > shares[longest].mean_events:
            continue
        slow = max(have_to_load(longest, model), key=lambda each: each.event_seconds, default=None)
        if slow is None:
            continue
        fast = min(have_to_load(model, longest), key=lambda each: each.event_seconds, default=None)
        if fast is not None and slow.event_seconds >= FASTER_ENGINE * fast.event_seconds:
            shares[longest].remove(slow)
            share.remove(fast)
            shares[longest].add(fast)
            share.add(slow)
            return True
    return False


def _are_all_served(groups: list[EngineGroup], assigned: dict[str, str]) -> bool:
    """Return whether just the engines of `groups` are assigned, to models that they can serve."""
    if len(assigned) != sum(len(group.engines) for group in groups):
        return False
    for group in groups:
        for engine in group.engines:
            model = assigned.get(engine.name)
            if model is None or not engine.can_serve(model):
                return False
    return True


def _join(deals: list[Deal]) -> Deal:
    """Return one deal of all groups, with the first reason for which engines changed theirs."""
    assigned: dict[str, str] = {}
    for each in deals:
        assigned |= each.assigned
    reason = next((each.reason for each in deals if each.reason is not None), None)
    return Deal(assigned, reason, sum(each.changed for each in deals))


def _compare(previous: dict[str, str], assigned: dict[str, str], reason: DealReason) -> Deal:
    """Return a deal with the number of engines that had another model before."""
    changed = sum(previous.get(name, model) != model for name, model in assigned.items())
    return Deal(assigned, reason if changed else None, changed)
