"""Converts submitters' estimates of the length of items to events; free of I/O.

The load is items whose submitters estimate their length in tokens, while engines send dozens of
tokens in one event. How many, is learned from the items that were completed. Estimates that were
taken for events made every item look dozens of times as long as it was: each small difference in
speed seemed worth a move, and neither distance nor a prompt that is kept weighed anything.
"""

from dataclasses import dataclass, field

# Single estimates are often far off; the sums of a few items are not.
MIN_ITEMS = 4
# Weight of the earlier items when another one is completed: about the last 50 of them count.
DECAY = 0.98


@dataclass(slots=True)
class _Totals:
    """Sums over completed items, the latest with the highest weight."""

    items: int = 0
    estimated: float = 0.0
    events: float = 0.0

    def add(self, estimated: float, events: int) -> None:
        self.items += 1
        self.estimated = DECAY * self.estimated + estimated
        self.events = DECAY * self.events + events


@dataclass(slots=True)
class LengthEstimates:
    """How many events the completed items of each model had, beside what was estimated.

    Without `learns` estimates count as events.
    """

    learns: bool = True
    _by_model: dict[str, _Totals] = field(default_factory=dict)
    _all: _Totals = field(default_factory=_Totals)

    def record(self, model: str, estimated: float, events: int) -> None:
        """Learn from a completed item; one whose length was not estimated tells nothing."""
        if estimated > 0 and events > 0:
            self._by_model.setdefault(model, _Totals()).add(estimated, events)
            self._all.add(estimated, events)

    def events(self, model: str, estimated: float) -> float:
        """Return the events to expect of an item of `model`, 0 if its length was not estimated.

        Until enough items of any model were completed, the estimate counts as events.
        """
        if not self.learns or estimated <= 0:
            return max(0.0, estimated)
        totals = self._by_model.get(model)
        if totals is None or totals.items < MIN_ITEMS:
            totals = self._all
        if totals.items < MIN_ITEMS:
            return estimated
        return estimated * totals.events / totals.estimated
