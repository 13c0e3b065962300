"""Builds the requests and store rows of simulated callers, trainers and operators for trials."""

import base64
import json
from dataclasses import dataclass, replace

from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.partitioned_stores import Put, RowKey
from pumicedeck.platform.headers import AUTHORIZATION, DEADLINE, REQUEST_ID, WAIT
from pumicedeck.platform.registrations import (
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    ROUTES_KEY,
    VERSION_PREFIX,
)
from pumicedeck.topology import Address

HOST = "h"
SERVICE_POOL = "services"
ENGINE_POOL = "engines"
_READ_WAIT_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class DraftItem:
    """An item that requests a number of events; `reward_id` is the id of its reward call."""

    item_id: str
    reward_id: str
    events: int
    group: str


def call_request(address: Address, path: str, request_id: str, seconds: float) -> HttpRequest:
    """Return a caller's request with a deadline of `seconds`."""
    headers = ((REQUEST_ID, request_id), (DEADLINE, str(int(seconds * 1000))))
    return HttpRequest("POST", address, path, headers, b"please", host=HOST)


def submission_request(
    address: Address,
    submission_id: str,
    model: str,
    step: int,
    min_version: int,
    items: tuple[DraftItem, ...],
) -> HttpRequest:
    """Return a trainer's request that submits items."""
    document = {
        "step": step,
        "model": model,
        "min-version": min_version,
        "group-target": len({item.group for item in items}),
        "items": [
            {
                "id": item.item_id,
                "path": f"/drafts/{item.item_id}",
                "headers": {},
                "body": base64.b64encode(str(item.events).encode()).decode(),
                "tokens": item.events,
                "group": item.group,
                "scorer": {
                    "id": item.reward_id,
                    "host": HOST,
                    "path": f"/score/{item.item_id}",
                    "body": "",
                },
            }
            for item in items
        ],
    }
    body = json.dumps(document).encode()
    headers = ((REQUEST_ID, submission_id), ("Content-Type", "application/json"))
    return HttpRequest("POST", address, "/drafts/", headers, body, host=HOST)


def results_request(address: Address, submission_id: str, after: int) -> HttpRequest:
    """Return a trainer's request for results from position `after` on, waiting for the next."""
    headers = ((WAIT, str(_READ_WAIT_MILLISECONDS)),)
    path = f"/lots/{submission_id}?after={after}"
    return HttpRequest("GET", address, path, headers, host=HOST)


def end_request(address: Address, submission_id: str) -> HttpRequest:
    """Return the request that ends a submission."""
    return HttpRequest("DELETE", address, f"/lots/{submission_id}", host=HOST)


def decode_results(response: HttpResponse) -> list[dict]:
    """Return the results of a page, each with item_id, completed, text, versions and score."""
    return [
        {
            "item_id": each["id"],
            "completed": each["state"] == "completed",
            "text": each["text"],
            "versions": tuple(each["versions"]),
            "score": each["score"],
        }
        for each in json.loads(response.body)["results"]
    ]


def with_key(request: HttpRequest, key: str) -> HttpRequest:
    """Return a request that carries the key of a client account."""
    return replace(request, headers=(*request.headers, (AUTHORIZATION, f"Bearer {key}")))


def routes_put(version: int, keys_by_account: dict[str, tuple[str, ...]]) -> Put:
    """Return the write that stores the routes and client accounts of configuration `version`.

    The routes are `/safe/` (idempotent), `/once/` (not idempotent), `/score/` for reward calls,
    `/drafts/` for submissions, and one route `/v<number>/` for each version up to `version`.
    """
    routes = [
        _route_document("safe", "/safe/", "idempotent", SERVICE_POOL),
        _route_document("once", "/once/", "non_idempotent", SERVICE_POOL),
        _route_document("score", "/score/", "idempotent", SERVICE_POOL),
        {
            **_route_document("drafts", "/drafts/", "rollout", ENGINE_POOL),
            "due-ms": 5000,
            "max-wait-s": 60,
        },
        *(
            _route_document(f"v{number}", f"/v{number}/", "idempotent", SERVICE_POOL)
            for number in range(1, version + 1)
        ),
    ]
    tenants = [{"name": name, "api-keys": list(keys)} for name, keys in keys_by_account.items()]
    document = {"version": version, "routes": routes, "services": [], "tenants": tenants}
    return Put(RowKey(OPERATOR_TABLE, "", ROUTES_KEY), json.dumps(document).encode())


def version_put(model: str, version: int) -> Put:
    """Return the write with which a trainer announces a weight version."""
    document = {"model": model, "version": version}
    row = RowKey(OPERATOR_TABLE, "", f"{VERSION_PREFIX}{model}")
    return Put(row, json.dumps(document).encode())


def endpoint_put(
    name: str, pool: str, address: Address, domain: str, models: dict[str, int]
) -> Put:
    """Return the write with which an endpoint registers."""
    document = {
        "service": pool,
        "address": f"{address.host}:{address.port}",
        "zone": domain,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "born": 1,
        "seq": 1,
        "models": [
            {"name": model, "version": version, "adapters": []} for model, version in models.items()
        ],
    }
    return Put(RowKey(ENDPOINT_TABLE, "", name), json.dumps(document).encode())


def _route_document(name: str, prefix: str, kind: str, pool: str) -> dict:
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "route-type": kind,
        "timeout-ms": 2000,
        "target-latency-ms": 300,
        "max-attempts": 3,
        "service": pool,
    }
