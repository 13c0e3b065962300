"""Serves the stand-in partitioned store with the HTTP API of the platform's store.

The API calls a partition a `part`.
"""

import base64
import json
from urllib.parse import parse_qs

from result import Err

from pumicedeck.http_listeners import HttpListener
from pumicedeck.incoming_calls import IncomingCall
from pumicedeck.partitioned_stores import Change, Expectation, Page, Put, RowKey, StoredRow
from pumicedeck.results import ResultCode
from pumicedeck.standin_partitioned_stores import StandinPartitionedStore
from pumicedeck.topology import Address

JSON_TYPE = (("Content-Type", "application/json"),)
STATUS_BY_CODE = {
    ResultCode.STORE_CONFLICT: 412,
    ResultCode.STORE_UNAVAILABLE: 503,
    ResultCode.HISTORY_GONE: 410,
}


class PlatformStoreServer:
    """Translates HTTP requests to calls of the in-process stand-in store."""

    def __init__(self, root, timers, store: StandinPartitionedStore):
        self.store = store
        self._known_connections = set()
        self._silent_connections = set()
        self._new_connections_silent = False
        self.listener = HttpListener(Address("127.0.0.1", 0), timers, self._handle).register(root)
        self.listener.start()

    @property
    def address(self) -> Address:
        """Return the address on which the server listens."""
        return self.listener.address

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()

    def silence_connections(self, include_new=False):
        """Stop answering on all open connections, with `include_new` on new ones too."""
        self._silent_connections |= self._known_connections
        self._new_connections_silent = include_new

    def answer_new_connections(self):
        """Answer on connections opened from now on; those open now stay silent."""
        self._silent_connections |= self._known_connections
        self._new_connections_silent = False

    def _handle(self, call: IncomingCall):
        self._known_connections.add(call.connection)
        if self._new_connections_silent or call.connection in self._silent_connections:
            return
        path, _, query = call.target.partition("?")
        arguments = {name: values[0] for name, values in parse_qs(query).items()}
        if path == "/rows-tx":
            promise = self.store.commit(_decode_change(json.loads(call.body)))
            promise.then(lambda outcome: _answer(call, outcome, lambda ver: {"ver": ver}))
        elif path == "/rows-get":
            promise = self.store.read(
                arguments["table"],
                arguments.get("part", ""),
                arguments.get("from", ""),
                int(arguments["limit"]),
            )
            promise.then(lambda outcome: _answer(call, outcome, _encode_page))
        elif path == "/rows-parts":
            promise = self.store.partitions(arguments["table"], arguments.get("after", ""))
            promise.then(lambda outcome: _answer(call, outcome, _encode_partition_list))
        else:
            wait = int(arguments["wait-ms"]) / 1000
            promise = self.store.read_changes(arguments["table"], int(arguments["after"]), wait)
            promise.then(lambda outcome: _answer(call, outcome, _encode_page))


def _answer(call, outcome, document):
    if isinstance(outcome, Err):
        if outcome.err_value.code is ResultCode.STORE_OUTCOME_UNKNOWN:
            call.abort()
            return
        call.answer(STATUS_BY_CODE[outcome.err_value.code], JSON_TYPE, b'{"rows": []}')
        return
    call.answer(200, JSON_TYPE, json.dumps(document(outcome.ok_value)).encode())


def _encode_page(page: Page):
    return {
        "rows": [_encode_row(row) for row in page.rows],
        "truncated": page.truncated,
        "ver": page.revision,
        "now-ms": page.store_seconds * 1000,
    }


def _encode_partition_list(listed):
    now = listed.store_seconds * 1000
    return {"parts": list(listed.partitions), "ver": listed.revision, "now-ms": now}


def _encode_row(row: StoredRow):
    document = {"table": row.row.table, "part": row.row.partition_key, "key": row.row.key}
    if row.value is None:
        return {**document, "tombstone": True, "ver": row.revision}
    return {**document, "value": base64.b64encode(row.value).decode(), "ver": row.revision}


def _decode_key(document) -> RowKey:
    return RowKey(document["table"], document["part"], document["key"])


def _decode_change(document) -> Change:
    expected = tuple(Expectation(_decode_key(each), each["ver"]) for each in document["expected"])
    puts = [Put(_decode_key(each), base64.b64decode(each["value"])) for each in document["puts"]]
    puts += [Put(_decode_key(each), None) for each in document["remove"]]
    return Change(expected, tuple(puts))
