"""The operators' HTTP client: reads state and edits the catalogue through any entry."""

import json
from typing import Any

import httpx
from result import Err, Ok, Result

from pumicedeck.results import Failure, ResultCode

TIMEOUT_SECONDS = 35.0


def decode_failure(document: Any, status: int) -> Failure:
    """Return the failure that an error document names."""
    if isinstance(document, dict) and document.get("code") in set(ResultCode):
        return Failure(
            ResultCode(document["code"]), document.get("detail", ""), document.get("retry_after")
        )
    return Failure(ResultCode.INTERNAL_ERROR, f"HTTP status {status}")


class OperatorClient:
    """Talks to one process; `close` releases the connection."""

    def __init__(self, url: str, token: str = "") -> None:
        """Use the operators' address `url` and, for the catalogue, a token."""
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._http = httpx.Client(base_url=url, headers=headers, timeout=TIMEOUT_SECONDS)

    def close(self) -> None:
        """Release the connection."""
        self._http.close()

    def get(self, path: str) -> Result[Any, Failure]:
        """Read a document."""
        return self._send("GET", path, None)

    def post(self, path: str, document: Any) -> Result[Any, Failure]:
        """Send a document."""
        return self._send("POST", path, document)

    def submit(self, change_id: str, document: Any) -> Result[Any, Failure]:
        """Submit an edit; if the reply is lost, ask what became of its change id."""
        outcome = self.post("/v1/catalogue/edits", document)
        if not isinstance(outcome, Err) or outcome.err_value.code is not ResultCode.EDIT_UNKNOWN:
            return outcome
        resolved = self.get(f"/v1/catalogue/changes?id={change_id}")
        # Only the change log can say "refused"; any other failure leaves the outcome unknown.
        if isinstance(resolved, Err) and resolved.err_value.code is not ResultCode.EDIT_CONFLICT:
            detail = f"unknown; ask again with change id {change_id}"
            return Err(Failure(ResultCode.EDIT_UNKNOWN, detail))
        return resolved

    def _send(self, method: str, path: str, document: Any) -> Result[Any, Failure]:
        try:
            response = self._http.request(
                method, path, content=None if document is None else json.dumps(document)
            )
        except httpx.ConnectError as error:
            return Err(Failure(ResultCode.NOT_READY, f"{path}: {error}"))
        except httpx.HTTPError as error:
            code = ResultCode.EDIT_UNKNOWN if method == "POST" else ResultCode.NOT_READY
            return Err(Failure(code, f"{path}: {error or type(error).__name__}"))
        try:
            body = response.json()
        except ValueError:
            return Err(Failure(ResultCode.INTERNAL_ERROR, f"{path}: not JSON"))
        if response.is_success:
            return Ok(body)
        return Err(decode_failure(body, response.status_code))
