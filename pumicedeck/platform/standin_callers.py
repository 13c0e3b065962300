"""What callers, trainers and operators of the users' platform send, for trials without them."""

import base64
import json
from dataclasses import dataclass

from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.partitioned_stores import Put, RowKey
from pumicedeck.platform.headers import DEADLINE, REQUEST_ID, WAIT
from pumicedeck.platform.registrations import (
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    ROUTES_KEY,
    VERSION_PREFIX,
)
from pumicedeck.world import Address

HOST = "h"
SERVICE_POOL = "services"
ENGINE_POOL = "engines"
_READ_WAIT_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class DraftItem:
    """An item that asks for a number of events; its reward call has an id of its own."""

    item_id: str
    reward_id: str
    events: int
    group: str


def call_request(address: Address, path: str, request_id: str, seconds: float) -> HttpRequest:
    """Return a customer's request."""
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
    """Return a trainer's batch submission."""
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
    """Return a trainer's question for results, which waits for the next one."""
    headers = ((WAIT, str(_READ_WAIT_MILLISECONDS)),)
    path = f"/lots/{submission_id}?after={after}"
    return HttpRequest("GET", address, path, headers, host=HOST)


def end_request(address: Address, submission_id: str) -> HttpRequest:
    """Return the request that ends a submission."""
    return HttpRequest("DELETE", address, f"/lots/{submission_id}", host=HOST)


def decode_results(response: HttpResponse) -> list[dict]:
    """Return the results of a page: item_id, completed, text, versions, score."""
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


def routes_put(version: int) -> Put:
    """Return the configuration of a version: one more route `/v<n>/` with each."""
    routes = [
        _route("safe", "/safe/", "idempotent", SERVICE_POOL),
        _route("once", "/once/", "non_idempotent", SERVICE_POOL),
        _route("score", "/score/", "idempotent", SERVICE_POOL),
        {**_route("drafts", "/drafts/", "rollout", ENGINE_POOL), "due-ms": 5000, "max-wait-s": 60},
        *(
            _route(f"v{number}", f"/v{number}/", "idempotent", SERVICE_POOL)
            for number in range(1, version + 1)
        ),
    ]
    document = {"version": version, "routes": routes, "services": []}
    return Put(RowKey(OPERATOR_TABLE, "", ROUTES_KEY), json.dumps(document).encode())


def version_put(model: str, version: int) -> Put:
    """Return the row by which a trainer names a version."""
    document = {"model": model, "version": version}
    row = RowKey(OPERATOR_TABLE, "", f"{VERSION_PREFIX}{model}")
    return Put(row, json.dumps(document).encode())


def endpoint_put(
    name: str, pool: str, address: Address, domain: str, models: dict[str, int]
) -> Put:
    """Return an endpoint's registration."""
    document = {
        "service": pool,
        "address": f"{address.host}:{address.port}",
        "zone": domain,
        "slots": 8,
        "state": "ready",
        "born": 1,
        "seq": 1,
        "models": [
            {"name": model, "version": version, "adapters": []} for model, version in models.items()
        ],
    }
    return Put(RowKey(ENDPOINT_TABLE, "", name), json.dumps(document).encode())


def _route(name: str, prefix: str, kind: str, pool: str) -> dict:
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
