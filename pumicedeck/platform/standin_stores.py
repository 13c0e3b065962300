"""Serves the stand-in of the partitioned store in the platform's HTTP dialect."""

import base64
import json
from urllib.parse import parse_qs

from result import Err

from pumicedeck.http_listeners import HttpListener, IncomingCall
from pumicedeck.partitioned_stores import Change, Expectation, Page, Put, RowKey, StoredRow
from pumicedeck.results import ResultCode
from pumicedeck.standin_partitioned_stores import StandinPartitionedStore
from pumicedeck.world import Address

JSON = (("Content-Type", "application/json"),)
STATUSES = {
    ResultCode.STORE_CONFLICT: 412,
    ResultCode.STORE_UNAVAILABLE: 503,
    ResultCode.HISTORY_GONE: 410,
}


class PlatformStoreServer:
    """Translates HTTP calls to the in-process stand-in."""

    def __init__(self, root, timers, store: StandinPartitionedStore):
        self.store = store
        self._seen = set()
        self._silenced = set()
        self._silent = False
        self.listener = HttpListener(Address("127.0.0.1", 0), timers, self._handle).register(root)
        self.listener.start()

    @property
    def address(self) -> Address:
        """Return where it listens."""
        return self.listener.address

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()

    def silence_connections(self, include_new=False):
        """Answer nothing more on the connections that are open now."""
        self._silenced |= self._seen
        self._silent = include_new

    def answer_new_connections(self):
        """End the silence for connections that are opened from now on."""
        self._silenced |= self._seen
        self._silent = False

    def _handle(self, call: IncomingCall):
        self._seen.add(call.connection)
        if self._silent or call.connection in self._silenced:
            return
        path, _, query = call.target.partition("?")
        arguments = {name: values[0] for name, values in parse_qs(query).items()}
        if path == "/rows-tx":
            promise = self.store.commit(_change(json.loads(call.body)))
            promise.then(lambda outcome: _answer(call, outcome, lambda ver: {"ver": ver}))
        elif path == "/rows-get":
            promise = self.store.read(
                arguments["table"],
                arguments.get("part", ""),
                arguments.get("from", ""),
                int(arguments["limit"]),
            )
            promise.then(lambda outcome: _answer(call, outcome, _page))
        elif path == "/rows-parts":
            promise = self.store.parts(arguments["table"], arguments.get("after", ""))
            promise.then(lambda outcome: _answer(call, outcome, _parts))
        else:
            wait = int(arguments["wait-ms"]) / 1000
            promise = self.store.changes(arguments["table"], int(arguments["after"]), wait)
            promise.then(lambda outcome: _answer(call, outcome, _page))


def _answer(call, outcome, document):
    if isinstance(outcome, Err):
        if outcome.err_value.code is ResultCode.STORE_OUTCOME_UNKNOWN:
            call.abort()
            return
        call.answer(STATUSES[outcome.err_value.code], JSON, b'{"rows": []}')
        return
    call.answer(200, JSON, json.dumps(document(outcome.ok_value)).encode())


def _page(page: Page):
    return {
        "rows": [_row(row) for row in page.rows],
        "truncated": page.truncated,
        "ver": page.revision,
        "now-ms": page.store_seconds * 1000,
    }


def _parts(listed):
    now = listed.store_seconds * 1000
    return {"parts": list(listed.parts), "ver": listed.revision, "now-ms": now}


def _row(row: StoredRow):
    document = {"table": row.row.table, "part": row.row.part, "key": row.row.key}
    if row.value is None:
        return {**document, "tombstone": True, "ver": row.revision}
    return {**document, "value": base64.b64encode(row.value).decode(), "ver": row.revision}


def _key(document) -> RowKey:
    return RowKey(document["table"], document["part"], document["key"])


def _change(document) -> Change:
    expected = tuple(Expectation(_key(each), each["ver"]) for each in document["expected"])
    puts = [Put(_key(each), base64.b64decode(each["value"])) for each in document["puts"]]
    puts += [Put(_key(each), None) for each in document["remove"]]
    return Change(expected, tuple(puts))
