"""Answers trainers' requests: new submissions, and requests about submissions.

What must survive a restart is in the store; `submission_intakes` reads and writes it.
"""

from collections.abc import Callable

from loguru import logger
from result import Err, Ok

from pumicedeck.accounts.call_identifiers import SubmissionReader
from pumicedeck.clocks import TimerQueue
from pumicedeck.dialects import (
    EndSubmission,
    ForwardedCall,
    ReadItem,
    ReadResults,
    SubmissionDialect,
    SubmissionRequest,
)
from pumicedeck.incoming_calls import IncomingCall
from pumicedeck.results import Failure, ResultCode
from pumicedeck.route_tables import Route
from pumicedeck.store_clocks import StoreClock
from pumicedeck.submission_intakes import NO_SUBMISSION, SubmissionIntake

_log = logger.bind(module="submission_answers")

JSON_TYPE = (("Content-Type", "application/json"),)
_BYTES_TYPE = (("Content-Type", "application/octet-stream"),)
NOT_READY = Failure(
    ResultCode.NOT_READY, "no configuration or no store time received yet", proven_not_run=True
)


class SubmissionAnswers:
    """Serves submissions through the intake and refuses what the intake cannot serve."""

    def __init__(
        self,
        timers: TimerQueue,
        clock: StoreClock,
        intake: SubmissionIntake,
        dialect: SubmissionDialect,
        refuse: Callable[[IncomingCall, ForwardedCall, Failure], None],
    ) -> None:
        """Answer requests that `dialect` decodes; `refuse` answers with a failure."""
        self._timers = timers
        self._clock = clock
        self._intake = intake
        self._dialect = dialect
        self._refuse = refuse

    async def accept(
        self, incoming: IncomingCall, call: ForwardedCall, route: Route, has_accounts: bool
    ) -> None:
        """Store a new submission and answer once it is kept.

        `has_accounts` says whether client accounts are configured.
        """
        if not self._clock.is_set:
            self._refuse(incoming, call, NOT_READY)
            return
        accepted = self._clock.now()
        decoded = self._dialect.decode_submission(call, route.name, accepted, has_accounts)
        if isinstance(decoded, Err):
            self._refuse(incoming, call, decoded.err_value)
            return
        account = call.account if has_accounts else None
        outcome = await self._intake.accept(decoded.ok_value, account)
        if isinstance(outcome, Err):
            self._refuse(incoming, call, outcome.err_value)
            return
        head = decoded.ok_value.head
        _log.info(
            "submission accepted",
            **head.log_fields,
            step=head.step,
            items=head.total,
            seconds=round(self._timers.now() - incoming.arrived_at, 3),
        )
        incoming.answer(202, JSON_TYPE, b"{}")

    async def serve(
        self,
        incoming: IncomingCall,
        call: ForwardedCall,
        submission_request: SubmissionRequest,
        reader: SubmissionReader,
    ) -> None:
        """Answer a request of `reader` about a submission."""
        if reader.failure is not None and not reader.searches_store:
            if not self._intake.is_known_to_be_open(submission_request.submission_id):
                self._refuse(incoming, call, reader.failure)
                return
        account = reader.account
        match submission_request:
            case ReadResults(submission_id, after, wait):
                outcome = await self._intake.results(submission_id, after, wait, account)
                if isinstance(outcome, Ok):
                    total, results = outcome.ok_value
                    documents = [result.document() for result in results]
                    body = self._dialect.results(total, after, documents)
                    incoming.answer(200, JSON_TYPE, body)
            case ReadItem(submission_id, item_id):
                outcome = await self._intake.item_body(submission_id, item_id, account)
                if isinstance(outcome, Ok):
                    incoming.answer(200, _BYTES_TYPE, outcome.ok_value)
            case EndSubmission(submission_id):
                outcome = await self._intake.end(submission_id, account)
                if isinstance(outcome, Ok):
                    incoming.answer(200, JSON_TYPE, b"{}")
        if isinstance(outcome, Err):
            failure = outcome.err_value
            if failure is NO_SUBMISSION and reader.failure is not None:
                failure = reader.failure
            self._refuse(incoming, call, failure)
