"""Decodes the store rows of operators (routes), trainers (weight versions) and endpoints."""

import re

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.accounts.identities import Account, AccountTable
from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.json_documents import (
    InvalidFieldError,
    decode_document,
    parse_address,
    read_integer,
    read_text,
)
from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.results import Failure, ResultCode
from pumicedeck.route_tables import CallerLimits, Pool, PoolShare, Route, RouteKind, RouteTable
from pumicedeck.topology import FailureDomain

OPERATOR_TABLE = "op"
ENDPOINT_TABLE = "servers"
ROUTES_KEY = "config"
VERSION_PREFIX = "version/"

_MILLISECONDS_PER_SECOND = 1000.0
_KIND_BY_ROUTE_TYPE = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
    "rollout": RouteKind.SUBMISSION,
}
_ENDPOINT_STATES = ("ready", "draining")

# Within a text of a JSON document a quotation mark follows a backslash, so no text matches.
_SEQUENCE = re.compile(rb'"seq": ?[0-9]+(?=[,}])')
# More than any deployment has; names of replaced endpoints are not kept for ever.
_MAX_KEPT_REGISTRATIONS = 10_000
# One request a connection, and one address has no more ports.
_MAX_SLOTS = 65_535

_log = logger.bind(module="platform.registrations")


def decode_operator_row(
    key: str, value: bytes
) -> Result[RouteTable | tuple[str, int] | None, Failure]:
    """Decode routes, or a model and its announced version; None for other rows or if invalid."""
    if key == ROUTES_KEY:
        return decode_routes(value)
    return Ok(decode_announced_version(value) if key.startswith(VERSION_PREFIX) else None)


def decode_routes(value: bytes) -> Result[RouteTable, Failure]:
    """Decode the operators' configuration; fail with BAD_CATALOGUE if it is invalid."""
    return decode_document(value, _build_routes).map_err(
        lambda reason: Failure(ResultCode.BAD_CATALOGUE, f"invalid configuration: {reason}")
    )


def decode_announced_version(value: bytes) -> tuple[str, int] | None:
    """Decode a model and its announced weight version; return None if the row is invalid."""
    decoded = decode_document(
        value, lambda document: (str(document["model"]), read_integer(document, "version"))
    )
    if isinstance(decoded, Err):
        _log.warning("announced version cannot be decoded", reason=decoded.err_value)
        return None
    return decoded.ok_value


def decode_endpoint(
    name: str, value: bytes, regions: dict[str, str]
) -> Result[DirectEndpoint, str]:
    """Decode an endpoint's registration; fail with the reason if it is invalid.

    `regions` maps failure domains to regions.
    """
    return decode_document(value, lambda document: _build_endpoint(name, document, regions))


class EndpointDecoder:
    """Decodes registrations; one that differs from the last only in its sequence costs little.

    Each endpoint writes its registration about once a second, and each gateway reads all of them.
    """

    def __init__(self, regions: dict[str, str]) -> None:
        """Create a decoder; `regions` maps failure domains to regions and does not change."""
        self._regions = regions
        self._last: dict[str, tuple[bytes, Result[DirectEndpoint, str]]] = {}

    def decode(self, name: str, value: bytes) -> Result[DirectEndpoint, str]:
        """Return the endpoint, the same object as before if nothing else has changed."""
        content = _SEQUENCE.sub(b"", value)
        last = self._last.get(name)
        if last is not None and last[0] == content:
            return last[1]
        endpoint = decode_endpoint(name, value, self._regions)
        if isinstance(endpoint, Err) or len(content) == len(value):
            self._last.pop(name, None)
            return endpoint
        if len(self._last) >= _MAX_KEPT_REGISTRATIONS:
            self._last.clear()
        self._last[name] = (content, endpoint)
        return endpoint


def decode_models(documents) -> tuple[LoadedModel, ...]:
    """Decode the models that an engine holds."""
    return tuple(
        LoadedModel(str(each["name"]), read_integer(each, "version")) for each in documents
    )


def _build_endpoint(name: str, document, regions: dict[str, str]) -> DirectEndpoint:
    """Build an endpoint; other writers use the table too, so that each field is checked."""
    if document["state"] not in _ENDPOINT_STATES:
        raise InvalidFieldError("state is unknown")
    zone = read_text(document, "zone")
    read_integer(document, "seq")
    return DirectEndpoint(
        name=name,
        pool=read_text(document, "service"),
        address=parse_address(read_text(document, "address")),
        failure_domain=FailureDomain(zone, regions.get(zone, "")),
        slots=max(1, read_integer(document, "slots", highest=_MAX_SLOTS)),
        draining=document["state"] == "draining",
        incarnation=read_integer(document, "born"),
        models=decode_models(document.get("models") or ()),
        # The version of its software; those of weights are in the models.
        software_version=read_text(document, "version"),
    )


def _build_routes(document) -> RouteTable:
    pools = {each["name"]: _decode_pool(each) for each in document.get("services", ())}
    routes = tuple(
        _decode_route(each)
        for each in document.get("routes", ())
        if each["route-type"] in _KIND_BY_ROUTE_TYPE
    )
    limits = document.get("limits")
    accounts = document.get("tenants")
    return RouteTable(
        int(document["version"]),
        routes,
        pools,
        _decode_limits(limits) if limits else None,
        _decode_accounts(accounts) if accounts is not None else None,
    )


def _decode_pool(document: dict) -> Pool:
    engine = document.get("engine") or {}
    return Pool(
        document["name"],
        int(document.get("max-connections", 0)),
        int(engine.get("slots", 0)),
        tuple(str(each["name"]) for each in engine.get("models", ())),
    )


def _decode_route(document: dict) -> Route:
    # A route with several pools lists them under "backends"; any other names one "service".
    shares = tuple(
        PoolShare(each["service"], float(each["weight"])) for each in document.get("backends") or ()
    )
    if not shares:
        shares = (PoolShare(document["service"]),)
    return Route(
        name=document["name"],
        host=document["host"],
        path_prefix=document["path-prefix"],
        kind=_KIND_BY_ROUTE_TYPE[document["route-type"]],
        pools=shares,
        longest_wait=_seconds(document, "timeout-ms", 30_000),
        latency_objective=_seconds(document, "target-latency-ms", 1_000),
        priority=int(document.get("priority", 0)),
        max_attempts=max(1, int(document.get("max-attempts", 1))),
        resumable=bool(document.get("resumable", False)),
        results_due_seconds=_seconds(document, "due-ms", 0),
        give_up_seconds=float(document.get("max-wait-s", 0)),
        single_version=bool(document.get("single-version", False)),
        is_public=_decode_is_public(document),
    )


def _decode_accounts(documents) -> AccountTable:
    """Decode the client accounts; a list without accounts admits public routes only."""
    if not isinstance(documents, list):
        raise InvalidFieldError("tenants is not a list")
    return AccountTable.build(_decode_account(each) for each in documents)


def _decode_account(document) -> tuple[Account, tuple[str, ...]]:
    if not isinstance(document, dict):
        raise InvalidFieldError("an account is not an object")
    name, keys, priority = document["name"], document["api-keys"], document.get("priority")
    # The name is sent as a header field, whose value can have no other characters.
    if not isinstance(name, str) or not name or name != name.strip() or not name.isprintable():
        raise InvalidFieldError("an account's name is not printable text")
    if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
        raise InvalidFieldError("an account's keys are not a list of texts")
    if priority is not None and type(priority) is not int:
        raise InvalidFieldError("an account's priority is not an integer")
    # Header fields are read as Latin-1, whatever characters the caller sent.
    return Account(name, priority), tuple(key.encode().decode("latin-1") for key in keys)


def _decode_is_public(document: dict) -> bool:
    """Return whether a route is public; a value that is not a boolean could open it by mistake."""
    is_public = document.get("public")
    if is_public is not None and type(is_public) is not bool:
        raise InvalidFieldError("public is not a boolean")
    return bool(is_public)


def _decode_limits(document: dict) -> CallerLimits:
    return CallerLimits(
        int(document["max-header-bytes"]),
        int(document["max-body-bytes"]),
        _seconds(document, "header-timeout-ms", 3_000),
        _seconds(document, "idle-timeout-ms", 15_000),
    )


def _seconds(document: dict, key: str, default: int) -> float:
    return float(document.get(key, default)) / _MILLISECONDS_PER_SECOND
