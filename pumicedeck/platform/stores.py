"""Client of the platform's store over HTTP, whose API calls a partition a `part`."""

import base64
import json
from collections.abc import Callable
from urllib.parse import urlencode

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.json_documents import guard_decoding
from pumicedeck.overdue_calls import OverdueCalls
from pumicedeck.partitioned_stores import (
    Change,
    Page,
    PartitionedStore,
    PartitionList,
    RowKey,
    StoredRow,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.tasks import Promise
from pumicedeck.timeouts import with_timeout
from pumicedeck.topology import Address

_JSON_TYPE = (("Content-Type", "application/json"),)
_MILLISECONDS_PER_SECOND = 1000.0
# Statuses with which the store states that it has not applied a change.
_NOT_APPLIED_STATUSES = (429, 503)
_PARTITIONS_PER_RESPONSE = 1000
_TIMEOUT_GROWTH_FACTOR = 1.2

_log = logger.bind(module="platform.stores")


class HttpPartitionedStore(PartitionedStore):
    """Calls the store over HTTP.

    Calls time out early enough for the next one to reach a store that has come back from an outage.
    A commit without a clear answer fails with STORE_OUTCOME_UNKNOWN, a read with STORE_UNAVAILABLE.
    """

    def __init__(
        self, client: HttpClient, address: Address, seconds: float, longest: float | None = None
    ) -> None:
        """Use a time-out of `seconds`, which grows up to `longest` while calls go unanswered."""
        self._client = client
        self._address = address
        self._timeout_seconds = seconds
        self._min_timeout_seconds = seconds
        self._max_timeout_seconds = longest or seconds
        self._overdue = OverdueCalls()

    def commit(self, change: Change) -> Promise[Result[int, Failure]]:
        """Commit a change and return its revision; STORE_CONFLICT if an expectation fails."""
        document = {
            "expected": [
                {**_encode_key(each.row), "ver": each.revision} for each in change.expected
            ],
            "puts": [
                {**_encode_key(each.row), "value": base64.b64encode(each.value).decode()}
                for each in change.puts
                if each.value is not None
            ],
            "remove": [_encode_key(each.row) for each in change.puts if each.value is None],
        }
        body = json.dumps(document).encode()
        request = HttpRequest("POST", self._address, "/rows-tx", _JSON_TYPE, body)
        return self._call(request, self._timeout_seconds, _decode_commit, is_write=True)

    def read(
        self, table: str, partition_key: str, first: str = "", limit: int = 500
    ) -> Promise[Result[Page, Failure]]:
        """Read up to `limit` rows of one partition, from key `first` on."""
        query = {"table": table, "part": partition_key, "limit": limit}
        if first:
            query["from"] = first
        return self._get("/rows-get", query, self._timeout_seconds)

    def partitions(self, table: str, after: str = "") -> Promise[Result[PartitionList, Failure]]:
        """List the partitions of a table that come after partition `after`."""
        query = {"table": table}
        if after:
            query["after"] = after
        request = HttpRequest(
            "GET", self._address, f"/rows-parts?{urlencode(query)}", idempotent=True
        )
        return self._call(request, self._timeout_seconds, _decode_partition_list, is_write=False)

    def read_changes(self, table: str, after: int, wait: float) -> Promise[Result[Page, Failure]]:
        """Read the changes after revision `after`; wait up to `wait` seconds for one."""
        query = {"table": table, "after": after, "wait-ms": round(wait * _MILLISECONDS_PER_SECOND)}
        return self._get("/rows-feed", query, wait + self._timeout_seconds)

    def _get(self, path: str, query: dict, seconds: float) -> Promise[Result[Page, Failure]]:
        request = HttpRequest("GET", self._address, f"{path}?{urlencode(query)}", idempotent=True)
        return self._call(request, seconds, _decode_page, is_write=False)

    def _call(
        self,
        request: HttpRequest,
        seconds: float,
        decode: Callable[[HttpResponse], Result],
        is_write: bool,
    ) -> Promise[Result]:
        promise: Promise[Result] = Promise()
        code = ResultCode.STORE_OUTCOME_UNKNOWN if is_write else ResultCode.STORE_UNAVAILABLE
        timed_out = Failure(code, "the store did not answer before the time-out")

        def on_outcome(outcome: Result[HttpResponse, Failure]) -> None:
            self._overdue.end(number)
            self._adapt_timeout(outcome, timed_out)
            if not promise.is_done and isinstance(outcome, Err) and outcome.err_value is timed_out:
                exchange.cancel()
                self._client.close_idle_connections(self._address)
            promise.resolve(_decode_outcome(outcome, decode, code))
            if not isinstance(outcome, Err):
                for give_up in self._overdue.overdue(number, timers.now()):
                    give_up()

        timers = self._client.timers
        finish_call = with_timeout(timers, seconds, timed_out, on_outcome)
        # The time-out that this call would have had if no earlier call had timed out.
        usual_seconds = seconds - self._timeout_seconds + self._min_timeout_seconds
        number = self._overdue.begin(
            timers.now(), usual_seconds, lambda: finish_call(Err(timed_out))
        )
        exchange = self._client.send(request, finish_call, silence_seconds=seconds)
        return promise

    def _adapt_timeout(self, outcome: Result[HttpResponse, Failure], timed_out: Failure) -> None:
        if isinstance(outcome, Err) and outcome.err_value is timed_out:
            self._timeout_seconds = min(
                self._max_timeout_seconds, self._timeout_seconds * _TIMEOUT_GROWTH_FACTOR
            )
        elif not isinstance(outcome, Err):
            self._timeout_seconds = max(
                self._min_timeout_seconds, self._timeout_seconds / _TIMEOUT_GROWTH_FACTOR
            )


def _decode_outcome(
    outcome: Result[HttpResponse, Failure],
    decode: Callable[[HttpResponse], Result],
    code: ResultCode,
) -> Result:
    if isinstance(outcome, Err):
        failure = outcome.err_value
        if failure.code is ResultCode.ENDPOINT_UNREACHABLE:
            code = ResultCode.STORE_UNAVAILABLE
        return Err(Failure(code, failure.detail))
    response = outcome.ok_value
    if response.status in _NOT_APPLIED_STATUSES:
        return Err(
            Failure(
                ResultCode.STORE_UNAVAILABLE, f"the store answered with status {response.status}"
            )
        )
    decoded = guard_decoding(lambda: decode(response))
    if isinstance(decoded, Ok):
        return decoded.ok_value
    _log.warning("store answer cannot be decoded", status=response.status, error=decoded.err_value)
    return Err(
        Failure(
            code,
            f"the store sent an answer that cannot be decoded, with status {response.status}",
        )
    )


def _decode_commit(response: HttpResponse) -> Result[int, Failure]:
    if response.status == 412:
        return Err(Failure(ResultCode.STORE_CONFLICT, "a row is not at its expected revision"))
    if response.status != 200:
        detail = (
            f"expected status 200 from the store, got {response.status}: "
            f"{response.body[:200].decode('utf-8', 'replace')}"
        )
        code = ResultCode.STORE_UNAVAILABLE if response.status < 500 else None
        return Err(Failure(code or ResultCode.STORE_OUTCOME_UNKNOWN, detail))
    return Ok(int(json.loads(response.body)["ver"]))


def _decode_partition_list(response: HttpResponse) -> Result[PartitionList, Failure]:
    if response.status != 200:
        return Err(
            Failure(
                ResultCode.STORE_UNAVAILABLE,
                f"expected status 200 from the store, got {response.status}",
            )
        )
    document = json.loads(response.body)
    partitions = tuple(document["parts"])
    return Ok(
        PartitionList(
            partitions,
            int(document["ver"]),
            document["now-ms"] / _MILLISECONDS_PER_SECOND,
            len(partitions) >= _PARTITIONS_PER_RESPONSE,
        )
    )


def _decode_page(response: HttpResponse) -> Result[Page, Failure]:
    if response.status == 410:
        return Err(
            Failure(
                ResultCode.HISTORY_GONE, "the store no longer has the changes after this revision"
            )
        )
    if response.status != 200:
        detail = (
            f"expected status 200 from the store, got {response.status}: "
            f"{response.body[:200].decode('utf-8', 'replace')}"
        )
        return Err(Failure(ResultCode.STORE_UNAVAILABLE, detail))
    document = json.loads(response.body)
    rows = tuple(_decode_row(each) for each in document["rows"])
    return Ok(
        Page(
            rows,
            int(document["ver"]),
            document["now-ms"] / _MILLISECONDS_PER_SECOND,
            bool(document.get("truncated", False)),
        )
    )


def _encode_key(row: RowKey) -> dict[str, str]:
    return {"table": row.table, "part": row.partition_key, "key": row.key}


def _decode_row(document: dict) -> StoredRow:
    row = RowKey(document["table"], document.get("part") or "", document["key"])
    removed = bool(document.get("tombstone"))
    value = None if removed else base64.b64decode(document["value"])
    return StoredRow(row, value, int(document["ver"]))
