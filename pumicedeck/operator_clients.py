"""HTTP client for operators: reads a process's state and edits the catalogue through an entry."""

import json
from typing import Any

import httpx
from result import Err, Ok, Result

from pumicedeck.results import Failure, ResultCode

REQUEST_TIMEOUT_SECONDS = 35.0


def decode_failure(document: Any, status: int) -> Failure:
    """Return the failure of an error document; INTERNAL_ERROR if it has no known result code.

    `status` is the HTTP status of the answer.
    """
    if isinstance(document, dict) and document.get("code") in set(ResultCode):
        return Failure(
            ResultCode(document["code"]), document.get("detail", ""), document.get("retry_after")
        )
    return Failure(ResultCode.INTERNAL_ERROR, f"HTTP status {status}")


class OperatorClient:
    """Sends requests to the operators' address of one process; `close` ends the connection."""

    def __init__(self, url: str, token: str = "") -> None:
        """Use the operators' address `url`; only paths of the catalogue need a token."""
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._http = httpx.Client(base_url=url, headers=headers, timeout=REQUEST_TIMEOUT_SECONDS)

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    def get(self, path: str) -> Result[Any, Failure]:
        """Return the document at `path`; NOT_READY if the process cannot be reached."""
        return self._send("GET", path, None)

    def post(self, path: str, document: Any) -> Result[Any, Failure]:
        """Send a document; EDIT_UNKNOWN if it may have arrived but no answer came."""
        return self._send("POST", path, document)

    def submit(self, change_id: str, document: Any) -> Result[Any, Failure]:
        """Submit an edit; if its outcome is unknown, look its change id up in the change log."""
        outcome = self.post("/v1/catalogue/edits", document)
        if not isinstance(outcome, Err) or outcome.err_value.code is not ResultCode.EDIT_UNKNOWN:
            return outcome
        resolved = self.get(f"/v1/catalogue/changes?id={change_id}")
        # EDIT_CONFLICT from the change log proves that the edit was refused. Any other failure
        # leaves the outcome unknown.
        if isinstance(resolved, Err) and resolved.err_value.code is not ResultCode.EDIT_CONFLICT:
            detail = f"outcome unknown; query it again with change id {change_id}"
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
            return Err(Failure(ResultCode.INTERNAL_ERROR, f"{path}: expected an answer in JSON"))
        if response.is_success:
            return Ok(body)
        return Err(decode_failure(body, response.status_code))
