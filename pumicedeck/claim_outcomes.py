"""Outcomes of claiming the id of a non-idempotent request."""

from dataclasses import dataclass

from result import Result

from pumicedeck.actions import CallerAnswer
from pumicedeck.results import Failure


@dataclass(frozen=True, slots=True)
class Claimed:
    """This entry incarnation holds the claim row: it may dispatch the request once."""


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The request ran before; `answer` was recorded in its claim row."""

    answer: CallerAnswer


ClaimOutcome = Result[Claimed | RecordedAnswer, Failure]
