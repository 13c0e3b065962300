"""Results of claiming the id of a non-idempotent request.

A ClaimOutcome is the reply to one claim. It is not the recorded outcome of the request, which is
written into the claim row when the request has ended.
"""

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
