"""What a claim of a non-idempotent request came to."""

from dataclasses import dataclass

from result import Result

from pumicedeck.actions import CallerAnswer
from pumicedeck.results import Failure


@dataclass(frozen=True, slots=True)
class Claimed:
    """The row is held by this entry incarnation: the request may be dispatched once."""


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The request ran before; this is its kept answer."""

    answer: CallerAnswer


ClaimOutcome = Result[Claimed | RecordedAnswer, Failure]
