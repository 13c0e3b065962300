"""Ejects agents that fail or are much slower than others, then readmits them gradually; no I/O."""

from dataclasses import dataclass
from statistics import median

from pumicedeck.backoffs import doubled_seconds
from pumicedeck.results import ResultCode

FAILURES_TO_EJECT = 3
SLOW_FACTOR = 3.0
FIRST_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
RAMP_SECONDS = 10.0
MIN_WEIGHT = 0.05
MAX_EJECTED_FRACTION = 0.5
ENDPOINT_FAILURES = frozenset(
    {
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.STREAM_BROKEN,
        ResultCode.DEADLINE_EXCEEDED,
        ResultCode.ENDPOINT_FAILED,
        ResultCode.ENDPOINT_UNREACHABLE,
        ResultCode.SESSION_LOST,
    }
)


@dataclass(slots=True)
class _Health:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    ramping_up: bool = False
    slot_rate: float = 0.0


class OutlierDetector:
    """Tracks the health of the agents of one router."""

    def __init__(self) -> None:
        """Create a detector without agents."""
        self._agents: dict[str, _Health] = {}

    def add(self, agent: str) -> None:
        """Start tracking an agent as healthy."""
        self._agents.setdefault(agent, _Health())

    def remove(self, agent: str) -> None:
        """Stop tracking an agent."""
        self._agents.pop(agent, None)

    def attempt_ended(self, now: float, agent: str, code: ResultCode) -> None:
        """Record the result of an attempt; repeated failures eject the agent."""
        health = self._agents.get(agent)
        if health is None:
            return
        if code in ENDPOINT_FAILURES:
            health.failures += 1
            if health.failures >= FAILURES_TO_EJECT or health.ramping_up:
                self._eject(now, health)
        elif code is ResultCode.OK:
            health.failures = 0

    def rate_reported(self, now: float, agent: str, slot_rate: float) -> None:
        """Record the reported tokens per second of one slot.

        The agent is ejected if the median of all agents exceeds the rate by SLOW_FACTOR.
        """
        health = self._agents.get(agent)
        if health is None or slot_rate <= 0:
            return
        health.slot_rate = slot_rate
        if slot_rate * SLOW_FACTOR < self._median_slot_rate():
            self._eject(now, health)

    def weight(self, now: float, agent: str) -> float:
        """Return the probability with which a request may go to the agent.

        It is 0 while the agent is ejected, then grows to 1 over RAMP_SECONDS.
        """
        health = self._agents.get(agent)
        if health is None or not health.ejections:
            return 1.0
        if now < health.ejected_until:
            return 0.0
        since_ejection = now - health.ejected_until
        if since_ejection >= RAMP_SECONDS:
            self._restore(health)
            return 1.0
        return max(MIN_WEIGHT, since_ejection / RAMP_SECONDS)

    def _restore(self, health: _Health) -> None:
        health.ramping_up = False
        health.failures = 0
        health.ejections = max(0, health.ejections - 1)

    def _median_slot_rate(self) -> float:
        rates = [each.slot_rate for each in self._agents.values() if each.slot_rate]
        return median(rates)

    def _eject(self, now: float, health: _Health) -> None:
        if now < health.ejected_until:
            return
        ejected = sum(now < each.ejected_until for each in self._agents.values())
        if ejected + 1 > MAX_EJECTED_FRACTION * len(self._agents):
            return
        seconds = doubled_seconds(FIRST_EJECTION_SECONDS, health.ejections, MAX_EJECTION_SECONDS)
        health.ejected_until = now + seconds
        health.ejections += 1
        health.failures = 0
        health.ramping_up = True
