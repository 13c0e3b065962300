"""Decodes the store rows of operators (routes), trainers (weight versions) and endpoints."""

import json

from loguru import logger
from result import Err, Ok, Result

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

_log = logger.bind(module="platform.registrations")


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
        return Ok(
            RouteTable(
                int(document["version"]), routes, pools, _decode_limits(limits) if limits else None
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(Failure(ResultCode.BAD_CATALOGUE, f"invalid configuration: {error!r}"))


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
    )


def _decode_limits(document: dict) -> CallerLimits:
    return CallerLimits(
        int(document["max-header-bytes"]),
        int(document["max-body-bytes"]),
        _seconds(document, "header-timeout-ms", 3_000),
        _seconds(document, "idle-timeout-ms", 15_000),
    )


def _seconds(document: dict, key: str, default: int) -> float:
    return float(document.get(key, default)) / _MILLISECONDS_PER_SECOND
