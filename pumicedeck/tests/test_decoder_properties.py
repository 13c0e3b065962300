"""Feeds the decoders of the platform's messages arbitrary bytes, documents and header values.

Guards against a decoder that raises: an exception that leaves it ends the feed, the call or the
pass of the scheduler that met it. A valid document must be read back as it was written.
"""

import json

import h11
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from pumicedeck.dialects import ForwardedCall
from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.http_messages import HttpResponse
from pumicedeck.incoming_calls import IncomingCall
from pumicedeck.json_documents import MAX_INTEGER
from pumicedeck.platform import headers as header_names
from pumicedeck.platform.caller_calls import PlatformCallerDialect, PlatformSubmissionDialect
from pumicedeck.platform.endpoint_calls import PlatformEndpointDialect
from pumicedeck.platform.registrations import (
    EndpointDecoder,
    decode_announced_version,
    decode_endpoint,
    decode_routes,
)
from pumicedeck.platform.stores import (
    _decode_commit,
    _decode_outcome,
    _decode_page,
    _decode_partition_list,
)
from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.results import ResultCode
from pumicedeck.submissions import (
    ItemResult,
    Progress,
    SubmissionHead,
    decode_head,
    decode_progress,
    decode_results,
    encode_progress,
    encode_results,
)
from pumicedeck.topology import Address, FailureDomain

seeded = settings(derandomize=True, deadline=None, max_examples=150)

FIELDS = (
    *("service", "address", "zone", "version", "slots", "state", "born", "seq", "models", "name"),
    *("model", "routes", "services", "limits", "tenants", "route-type", "host", "path-prefix"),
    *("backends", "weight", "engine", "max-connections", "timeout-ms", "max-attempts", "api-keys"),
    *("priority", "public", "max-header-bytes", "max-body-bytes", "items", "id", "path", "headers"),
    *("body", "scorer", "group", "step", "min-version", "group-target", "busy", "rows", "ver"),
    *("now-ms", "parts", "table", "part", "key", "value", "tombstone", "truncated"),
)
scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from((0, 1, -1, 10**400, -(10**30), 65_536, 1.5, float("inf"), float("nan"))),
    st.text(max_size=8),
    st.sampled_from(("ready", "10.0.0.1:80", "idempotent", "rollout", "aGk=", "x" * 300, "\xb2")),
)
documents = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.one_of(st.sampled_from(FIELDS), st.text(max_size=4)), inner, max_size=6),
    ),
    max_leaves=25,
)
nested = st.sampled_from((b"[" * 20_000, b'{"a":' * 20_000, b'{"models": ' + b"[" * 20_000))
bodies = st.one_of(st.binary(max_size=60), documents.map(lambda d: json.dumps(d).encode()), nested)
numbers = st.sampled_from(("\xb2", "9" * 5000, "1e999", "nan", "-1", "", " 7 ", "1_0", "\xb9\xb3"))
values = st.one_of(numbers, st.text(st.characters(max_codepoint=255), max_size=20))
names = st.sampled_from(
    [value for name, value in vars(header_names).items() if name.isupper() and type(value) is str]
)
header_lists = st.lists(st.tuples(names, values), max_size=8)


def is_result_or_none(value, kind):
    return value is None or isinstance(value, kind)


@seeded
@given(bodies)
def test_rows_of_operators_trainers_and_endpoints_never_raise(value):
    assert decode_routes(value).map_err(lambda failure: failure.code) is not None
    assert is_result_or_none(decode_announced_version(value), tuple)
    decoded = decode_endpoint("e", value, {})
    assert decoded.is_ok() or isinstance(decoded.err_value, str)
    assert EndpointDecoder({}).decode("e", value) == decoded


@seeded
@given(header_lists, bodies, st.integers(100, 599))
def test_answers_of_endpoints_never_raise(headers, body, status):
    dialect = PlatformEndpointDialect()
    response = HttpResponse(status, tuple((n.lower(), v) for n, v in headers), body)
    head = dialect.decode_answer_head(response)
    assert head.version is None or 0 <= head.version <= MAX_INTEGER
    assert head.request_limit is None or 0 <= head.request_limit < float("inf")
    assert is_result_or_none(dialect.report(HttpResponse(200, (), body)), object)
    for block in (body, b"id: " + body, b"x-pumicedeck-weight-versions: " + body + b"\nid: 3"):
        event = dialect.event(block)
        assert event is None or 0 <= event.number <= MAX_INTEGER


@seeded
@given(header_lists, bodies, st.text(st.characters(min_codepoint=33, max_codepoint=126)))
def test_requests_of_callers_and_trainers_never_raise(headers, body, target):
    for path in ("/x", "/lots/s?after=" + target, "/items/s?id=" + target, "/" + target):
        head = h11.Request(method="GET", target=path.encode("latin-1"), headers=[("Host", "h")])
        incoming = IncomingCall(None, head, body, 0.0)
        incoming.headers = (("host", "h"), *headers)
        call = PlatformCallerDialect().decode_request(incoming)
        assert call.budget_seconds is None or 0 <= call.budget_seconds < float("inf")
        PlatformCallerDialect().account_key(call)
        PlatformSubmissionDialect().decode_submission_request(incoming)
    call = ForwardedCall("s", "POST", "/drafts/s", "h", (), body)
    decoded = PlatformSubmissionDialect().decode_submission(call, "drafts", 1.0)
    assert decoded.is_ok() or decoded.err_value.code is ResultCode.BAD_REQUEST


@seeded
@given(bodies, st.sampled_from((200, 404, 410, 412, 429, 500, 503)))
def test_answers_of_the_store_never_raise(body, status):
    for decode in (_decode_commit, _decode_page, _decode_partition_list):
        response = HttpResponse(status, (), body)
        outcome = _decode_outcome(Ok(response), decode, ResultCode.STORE_UNAVAILABLE)
        assert outcome.is_ok() or outcome.err_value.detail


texts = st.text(max_size=12)
counts = st.integers(0, MAX_INTEGER)


@seeded
@given(texts, st.integers(1, 65_535), st.booleans(), counts, st.dictionaries(texts, counts))
def test_a_valid_registration_is_read_back(text, number, draining, born, models):
    endpoint = DirectEndpoint(
        name="e",
        pool=text,
        address=Address("10.1.2.3", number),
        failure_domain=FailureDomain("a", "r"),
        slots=number,
        draining=draining,
        incarnation=born,
        models=tuple(LoadedModel(name, version) for name, version in models.items()),
        software_version=text,
    )
    document = {
        "service": text,
        "address": f"10.1.2.3:{number}",
        "zone": "a",
        "version": text,
        "slots": number,
        "state": "draining" if draining else "ready",
        "born": born,
        "seq": 1,
        "models": [{"name": name, "version": version} for name, version in models.items()],
    }
    assert decode_endpoint("e", json.dumps(document).encode(), {"a": "r"}).ok_value == endpoint


@seeded
@given(texts, st.integers(-MAX_INTEGER, MAX_INTEGER), counts, st.floats(0, 1e9), texts)
def test_rows_of_submissions_are_read_back(text, step, total, accepted, account):
    head = SubmissionHead(
        *(text, text, text, text, step, step, total, total, total, text, accepted, account)
    )
    assert decode_head(head.encode()) == head
    progress = Progress(total, False, [text, text], [total], text)
    assert decode_progress(encode_progress(progress)) == progress
    results = (ItemResult(text, True, text, (total,), text), ItemResult(text, False))
    assert decode_results(list(encode_results(results))) == list(results)
