"""Answers trainers' requests: new submissions, and requests about submissions.

What must survive a restart is in the store; `submission_intakes` reads and writes it.
"""

from collections.abc import Callable

from loguru import logger
from result import Err, Ok, Result

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
from pumicedeck.route_tables import Route, RouteTable
from pumicedeck.store_clocks import StoreClock
from pumicedeck.submission_intakes import NO_SUBMISSION, SubmissionIntake
from pumicedeck.submissions import Submission

_log = logger.bind(module="submission_answers")

JSON_TYPE = (("Content-Type", "application/json"),)
_BYTES_TYPE = (("Content-Type", "application/octet-stream"),)
NOT_READY = Failure(
    ResultCode.NOT_READY, "no configuration or no store time received yet", proven_not_run=True
)
NO_ROUTE = Failure(ResultCode.NO_ROUTE, "no route matches host and path", proven_not_run=True)
ROUTES_OUTDATED = Failure(
    ResultCode.NOT_READY,
    "no route matches host and path, and newer routes cannot be read",
    proven_not_run=True,
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
        check_decoding: Callable[[bytes], Failure | None] = lambda body: None,
    ) -> None:
        """Answer requests that `dialect` decodes; `refuse` answers with a failure.

        `check_decoding` returns why the body of a submission is not decoded, if there is a reason.
        """
        self._timers = timers
        self._clock = clock
        self._intake = intake
        self._dialect = dialect
        self._refuse = refuse
        self._check_decoding = check_decoding

    async def accept(
        self, incoming: IncomingCall, call: ForwardedCall, route: Route, routes: RouteTable
    ) -> None:
        """Store a new submission that came by a route of `routes`, and answer once it is kept."""
        if not self._clock.is_set:
            self._refuse(incoming, call, NOT_READY)
            return
        has_accounts = routes.accounts is not None
        accepted = self._clock.now()
        decoded = self._decode(call, route.name, accepted, has_accounts)
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
            routes_version=routes.version,
            seconds=round(self._timers.now() - incoming.arrived_at, 3),
        )
        incoming.answer(202, JSON_TYPE, b"{}")

    def _decode(
        self, call: ForwardedCall, route: str, accepted: float, has_accounts: bool
    ) -> Result[Submission, Failure]:
        failure = self._check_decoding(call.body)
        if failure is not None:
            return Err(failure)
        return self._dialect.decode_submission(call, route, accepted, has_accounts)

    def knows(self, submission_id: str, host: str) -> bool:
        """Return whether a submission is known here that was submitted at a host."""
        head = self._intake.known_head(submission_id)
        return head is not None and head.host_name == host

    def answer_repeated(
        self, incoming: IncomingCall, call: ForwardedCall, reader: SubmissionReader
    ) -> bool:
        """Answer a submission that arrives again after its route was removed.

        Returns False for any other request: only the submission with the same id and content that
        was accepted at this host is meant.
        """
        if incoming.method != "POST" or not self.knows(call.request_id, incoming.host):
            return False
        head = self._intake.known_head(call.request_id)
        decoded = self._decode(call, head.route, head.accepted, reader.account is not None)
        if isinstance(decoded, Err) or decoded.ok_value.head.digest != head.digest:
            return False
        if not head.admits(reader.account):
            return False
        incoming.answer(202, JSON_TYPE, b"{}")
        return True

    async def serve(
        self,
        incoming: IncomingCall,
        call: ForwardedCall,
        submission_request: SubmissionRequest,
        reader: SubmissionReader,
        only_host: str | None = None,
    ) -> None:
        """Answer a request of `reader` about a submission.

        With `only_host` those that were submitted at other hosts do not exist.
        """
        if reader.failure is not None and not reader.searches_store:
            if not self._intake.is_known_to_be_open(submission_request.submission_id):
                self._refuse(incoming, call, reader.failure)
                return
        if only_host is not None:
            found = await self._intake.find_head(submission_request.submission_id)
            failure = found.err_value if isinstance(found, Err) else None
            if failure is NO_SUBMISSION or (
                failure is None and found.ok_value.host_name != only_host
            ):
                failure = NO_ROUTE
            if failure is not None:
                self._refuse(incoming, call, failure)
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
