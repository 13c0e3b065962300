"""Header names of the deployment platform, and the removal of hop-by-hop headers."""

from pumicedeck.incoming_calls import Headers

REQUEST_ID = "X-Pumicedeck-Request-Id"
DEADLINE = "X-Pumicedeck-Deadline-Ms"
EXPECT_INSTANCE = "X-Pumicedeck-Expect-Instance"
NOT_RUN = "X-Pumicedeck-Not-Run"
SIGNATURE = "X-Pumicedeck-Response-Signature"
LOAD = "X-Pumicedeck-Server-Load"
# An endpoint that leaves sends it with every answer, whatever its status.
LEAVING = "Server-Leaving"
# Requests per second from all gateways together; valid while the answers of the endpoint carry it.
LIMIT = "Server-Limit"
VERSIONS = "X-Pumicedeck-Weight-Versions"
LENGTH_HINT = "X-Pumicedeck-Length-Hint"
WAIT = "X-Pumicedeck-Wait-Ms"
LAST_EVENT = "Last-Event-Id"
# The request id of the attempt that received the first event of the stream that is resumed.
RESUMES = "Resumes"
# Carries the key of a client account; never sent to an endpoint if accounts are configured.
AUTHORIZATION = "Authorization"
# The name of the client account, for endpoints; what callers send in it means nothing.
ACCOUNT = "X-Pumicedeck-Tenant"

_IDENTITY_HEADERS = frozenset((AUTHORIZATION.lower(), ACCOUNT.lower()))

_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    )
)


def without_hop_by_hop_headers(headers: Headers) -> Headers:
    """Remove hop-by-hop headers and the Host header, which each request sets itself."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    dropped = _HOP_BY_HOP_HEADERS | named
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)


def without_identity_headers(headers: Headers) -> Headers:
    """Remove the headers with the key and the name of a client account."""
    return tuple(pair for pair in headers if pair[0].lower() not in _IDENTITY_HEADERS)
