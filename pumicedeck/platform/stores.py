"""The client of the platform's store."""

import base64
import json
from collections.abc import Callable
from urllib.parse import urlencode

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.overdue_calls import OverdueCalls
from pumicedeck.partitioned_stores import (
    Change,
    Page,
    PartitionedStore,
    PartList,
    RowKey,
    StoredRow,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.tasks import Promise
from pumicedeck.timeouts import with_timeout
from pumicedeck.world import Address

_JSON_TYPE = (("Content-Type", "application/json"),)
_MILLISECONDS = 1000.0
_NOTHING_DONE = (429, 503)
_PARTS_PER_ANSWER = 1000
_GROWTH = 1.2

_log = logger.bind(module="platform.stores")


class HttpPartitionedStore(PartitionedStore):
    """Speaks HTTP to the store; calls are given up in time to meet its return."""

    def __init__(
        self, client: HttpClient, address: Address, seconds: float, longest: float | None = None
    ) -> None:
        """Give a call up after `seconds`, later while calls go unanswered, up to `longest`."""
        self._client = client
        self._address = address
        self._seconds = seconds
        self._shortest = seconds
        self._longest = longest or seconds
        self._overdue = OverdueCalls()

    def commit(self, change: Change) -> Promise[Result[int, Failure]]:
        """Apply a change."""
        document = {
            "expected": [{**_name(each.row), "ver": each.revision} for each in change.expected],
            "puts": [
                {**_name(each.row), "value": base64.b64encode(each.value).decode()}
                for each in change.puts
                if each.value is not None
            ],
            "remove": [_name(each.row) for each in change.puts if each.value is None],
        }
        body = json.dumps(document).encode()
        request = HttpRequest("POST", self._address, "/rows-tx", _JSON_TYPE, body)
        return self._call(request, self._seconds, _committed, written=True)

    def read(
        self, table: str, part: str, first: str = "", limit: int = 500
    ) -> Promise[Result[Page, Failure]]:
        """Read rows of one part."""
        query = {"table": table, "part": part, "limit": limit}
        if first:
            query["from"] = first
        return self._get("/rows-get", query, self._seconds)

    def parts(self, table: str, after: str = "") -> Promise[Result[PartList, Failure]]:
        """List the parts of a table."""
        query = {"table": table}
        if after:
            query["after"] = after
        request = HttpRequest(
            "GET", self._address, f"/rows-parts?{urlencode(query)}", idempotent=True
        )
        return self._call(request, self._seconds, _part_list, written=False)

    def changes(self, table: str, after: int, wait: float) -> Promise[Result[Page, Failure]]:
        """Read what changed after a revision."""
        query = {"table": table, "after": after, "wait-ms": round(wait * _MILLISECONDS)}
        return self._get("/rows-feed", query, wait + self._seconds)

    def _get(self, path: str, query: dict, seconds: float) -> Promise[Result[Page, Failure]]:
        request = HttpRequest("GET", self._address, f"{path}?{urlencode(query)}", idempotent=True)
        return self._call(request, seconds, _page, written=False)

    def _call(
        self,
        request: HttpRequest,
        seconds: float,
        decode: Callable[[HttpResponse], Result],
        written: bool,
    ) -> Promise[Result]:
        promise: Promise[Result] = Promise()
        code = ResultCode.STORE_OUTCOME_UNKNOWN if written else ResultCode.STORE_UNAVAILABLE
        late = Failure(code, "the store did not answer in time")

        def settle(outcome: Result[HttpResponse, Failure]) -> None:
            self._overdue.end(number)
            self._adapt(outcome, late)
            if not promise.is_done and isinstance(outcome, Err) and outcome.err_value is late:
                exchange.cancel()
                self._client.close_idle_connections(self._address)
            promise.resolve(_settled(outcome, decode, code))
            if not isinstance(outcome, Err):
                for give_up in self._overdue.overdue(number, timers.now()):
                    give_up()

        timers = self._client.timers
        done = with_timeout(timers, seconds, late, settle)
        usual = seconds - self._seconds + self._shortest
        number = self._overdue.begin(timers.now(), usual, lambda: done(Err(late)))
        exchange = self._client.send(request, done, silence_seconds=seconds)
        return promise

    def _adapt(self, outcome: Result[HttpResponse, Failure], late: Failure) -> None:
        if isinstance(outcome, Err) and outcome.err_value is late:
            self._seconds = min(self._longest, self._seconds * _GROWTH)
        elif not isinstance(outcome, Err):
            self._seconds = max(self._shortest, self._seconds / _GROWTH)


def _settled(
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
    if response.status in _NOTHING_DONE:
        return Err(Failure(ResultCode.STORE_UNAVAILABLE, f"status {response.status}"))
    try:
        return decode(response)
    except (ValueError, KeyError, TypeError) as error:
        _log.warning("store answer cannot be decoded", status=response.status, error=str(error))
        return Err(Failure(code, f"status {response.status}"))


def _committed(response: HttpResponse) -> Result[int, Failure]:
    if response.status == 412:
        return Err(Failure(ResultCode.STORE_CONFLICT, "a row is at another revision"))
    if response.status != 200:
        detail = f"status {response.status}: {response.body[:200].decode('utf-8', 'replace')}"
        code = ResultCode.STORE_UNAVAILABLE if response.status < 500 else None
        return Err(Failure(code or ResultCode.STORE_OUTCOME_UNKNOWN, detail))
    return Ok(int(json.loads(response.body)["ver"]))


def _part_list(response: HttpResponse) -> Result[PartList, Failure]:
    if response.status != 200:
        return Err(Failure(ResultCode.STORE_UNAVAILABLE, f"status {response.status}"))
    document = json.loads(response.body)
    parts = tuple(document["parts"])
    return Ok(
        PartList(
            parts,
            int(document["ver"]),
            document["now-ms"] / _MILLISECONDS,
            len(parts) >= _PARTS_PER_ANSWER,
        )
    )


def _page(response: HttpResponse) -> Result[Page, Failure]:
    if response.status == 410:
        return Err(Failure(ResultCode.HISTORY_GONE, "the store dropped this history"))
    if response.status != 200:
        detail = f"status {response.status}: {response.body[:200].decode('utf-8', 'replace')}"
        return Err(Failure(ResultCode.STORE_UNAVAILABLE, detail))
    document = json.loads(response.body)
    rows = tuple(_row(each) for each in document["rows"])
    return Ok(
        Page(
            rows,
            int(document["ver"]),
            document["now-ms"] / _MILLISECONDS,
            bool(document.get("truncated", False)),
        )
    )


def _name(row: RowKey) -> dict[str, str]:
    return {"table": row.table, "part": row.part, "key": row.key}


def _row(document: dict) -> StoredRow:
    row = RowKey(document["table"], document.get("part") or "", document["key"])
    removed = bool(document.get("tombstone"))
    value = None if removed else base64.b64decode(document["value"])
    return StoredRow(row, value, int(document["ver"]))
