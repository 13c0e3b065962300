"""Decodes the store rows of operators (routes), trainers (weight versions) and endpoints."""

import json
import re

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.accounts.identities import Account, AccountTable
from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.results import Failure, ResultCode
from pumicedeck.route_tables import CallerLimits, Pool, PoolShare, Route, RouteKind, RouteTable
from pumicedeck.topology import Address, FailureDomain

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

_log = logger.bind(module="platform.registrations")


class _InvalidFieldError(ValueError):
    """A field of the configuration is invalid; the text names the field and no value."""


def decode_routes(value: bytes) -> Result[RouteTable, Failure]:
    """Decode the operators' configuration; fail with BAD_CATALOGUE if it is invalid."""
    try:
        document = json.loads(value)
        pools = {each["name"]: _decode_pool(each) for each in document.get("services", ())}
        routes = tuple(
            _decode_route(each)
            for each in document.get("routes", ())
            if each["route-type"] in _KIND_BY_ROUTE_TYPE
        )
        limits = document.get("limits")
        accounts = document.get("tenants")
        return Ok(
            RouteTable(
                int(document["version"]),
                routes,
                pools,
                _decode_limits(limits) if limits else None,
                _decode_accounts(accounts) if accounts is not None else None,
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(Failure(ResultCode.BAD_CATALOGUE, f"invalid configuration: {_describe(error)}"))


def decode_announced_version(value: bytes) -> tuple[str, int] | None:
    """Decode a model and its announced weight version; return None if the row is invalid."""
    try:
        document = json.loads(value)
        return str(document["model"]), int(document["version"])
    except (ValueError, KeyError, TypeError) as error:
        _log.warning("announced version cannot be decoded", error=repr(error))
        return None


def decode_endpoint(name: str, value: bytes, regions: dict[str, str]) -> DirectEndpoint | None:
    """Decode an endpoint's registration; return None if it is invalid.

    `regions` maps failure domains to regions.
    """
    try:
        document = json.loads(value)
        if not _is_endpoint_registration(document):
            return None
        host, _, port = document["address"].rpartition(":")
        domain = FailureDomain(document["zone"], regions.get(document["zone"], ""))
        return DirectEndpoint(
            name=name,
            pool=document["service"],
            address=Address(host, int(port)),
            failure_domain=domain,
            slots=max(1, document["slots"]),
            draining=document["state"] == "draining",
            incarnation=document["born"],
            models=decode_models(document.get("models") or ()),
            # The version of its software; those of weights are in the models.
            software_version=document["version"],
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


class EndpointDecoder:
    """Decodes registrations; one that differs from the last only in its sequence costs little.

    Each endpoint writes its registration about once a second, and each gateway reads all of them.
    """

    def __init__(self, regions: dict[str, str]) -> None:
        """Create a decoder; `regions` maps failure domains to regions and does not change."""
        self._regions = regions
        self._last: dict[str, tuple[bytes, DirectEndpoint]] = {}

    def decode(self, name: str, value: bytes) -> DirectEndpoint | None:
        """Return the endpoint, the same object as before if nothing else has changed."""
        content = _SEQUENCE.sub(b"", value)
        last = self._last.get(name)
        if last is not None and last[0] == content:
            return last[1]
        endpoint = decode_endpoint(name, value, self._regions)
        if endpoint is None or len(content) == len(value):
            self._last.pop(name, None)
            return endpoint
        if len(self._last) >= _MAX_KEPT_REGISTRATIONS:
            self._last.clear()
        self._last[name] = (content, endpoint)
        return endpoint


def decode_models(documents) -> tuple[LoadedModel, ...]:
    """Decode the models that an engine holds."""
    return tuple(LoadedModel(str(each["name"]), int(each["version"])) for each in documents)


def _is_endpoint_registration(document) -> bool:
    """Return whether a row is an endpoint's registration; other writers use the table too."""
    if not isinstance(document, dict) or document.get("state") not in _ENDPOINT_STATES:
        return False
    text_fields_valid = all(
        isinstance(document.get(key), str) for key in ("service", "address", "zone", "version")
    )
    number_fields_valid = all(type(document.get(key)) is int for key in ("slots", "born", "seq"))
    return text_fields_valid and number_fields_valid


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
        raise _InvalidFieldError("tenants is not a list")
    return AccountTable.build(_decode_account(each) for each in documents)


def _decode_account(document) -> tuple[Account, tuple[str, ...]]:
    if not isinstance(document, dict):
        raise _InvalidFieldError("an account is not an object")
    name, keys, priority = document["name"], document["api-keys"], document.get("priority")
    # The name is sent as a header field, whose value can have no other characters.
    if not isinstance(name, str) or not name or name != name.strip() or not name.isprintable():
        raise _InvalidFieldError("an account's name is not printable text")
    if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
        raise _InvalidFieldError("an account's keys are not a list of texts")
    if priority is not None and type(priority) is not int:
        raise _InvalidFieldError("an account's priority is not an integer")
    # Header fields are read as Latin-1, whatever characters the caller sent.
    return Account(name, priority), tuple(key.encode().decode("latin-1") for key in keys)


def _decode_is_public(document: dict) -> bool:
    """Return whether a route is public; a value that is not a boolean could open it by mistake."""
    is_public = document.get("public")
    if is_public is not None and type(is_public) is not bool:
        raise _InvalidFieldError("public is not a boolean")
    return bool(is_public)


def _describe(error: Exception) -> str:
    """Describe a decoding error without values of the configuration, which has keys of accounts."""
    if isinstance(error, _InvalidFieldError):
        return str(error)
    if isinstance(error, json.JSONDecodeError):
        return f"not JSON at line {error.lineno}, column {error.colno}"
    if isinstance(error, KeyError):
        # The decoders look up fields by constant names only.
        return f"field {error.args[0]!r} is missing"
    return type(error).__name__


def _decode_limits(document: dict) -> CallerLimits:
    return CallerLimits(
        int(document["max-header-bytes"]),
        int(document["max-body-bytes"]),
        _seconds(document, "header-timeout-ms", 3_000),
        _seconds(document, "idle-timeout-ms", 15_000),
    )


def _seconds(document: dict, key: str, default: int) -> float:
    return float(document.get(key, default)) / _MILLISECONDS_PER_SECOND
