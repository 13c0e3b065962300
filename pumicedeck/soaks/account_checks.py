"""The client accounts of a soak, and the check of what callers and endpoints observe of them.

Free of I/O.
"""

from collections import Counter
from random import Random

# The promise of the specification (config-apply-ms): how long a removed key may still be served.
APPLY_SECONDS = 4.0
REVOKED_KEY = "soak-key-a1"
ACCOUNT_KEYS = {"acme": (REVOKED_KEY, "soak-key-a2"), "bolt": ("soak-key-b1", "soak-key-b2")}
_ACCOUNT_BY_KEY = {key: name for name, keys in ACCOUNT_KEYS.items() for key in keys}
_OK, _UNAUTHORIZED, _NOT_FOUND = 200, 401, 404


class AccountChecks:
    """Chooses keys for requests and checks under which account they run; times are in seconds."""

    def __init__(self) -> None:
        """Create checks without observations; `counts` holds totals for the verdict."""
        self._revoked_at: float | None = None
        self._account_by_request: dict[str, str] = {}
        self._open_outages: Counter[int] = Counter()
        self._in_touch_since: dict[int, float] = {}
        self._violations: dict[tuple[str, str], None] = {}
        self.counts: Counter[str] = Counter()

    @property
    def violations(self) -> tuple[tuple[str, str], ...]:
        """Return each broken promise with the observation that shows it."""
        return tuple(self._violations)

    @property
    def configured(self) -> dict[str, tuple[str, ...]]:
        """Return the keys of each account that the newest configuration has."""
        return {
            name: tuple(key for key in keys if self._revoked_at is None or key != REVOKED_KEY)
            for name, keys in ACCOUNT_KEYS.items()
        }

    def choose_key(self, random: Random, account: str) -> str:
        """Return a key of an account that is in force."""
        return random.choice(self.configured[account])

    def revoke(self, now: float) -> None:
        """Remove the key from `configured`; to be called when the configuration was stored."""
        self._revoked_at = now

    def begin_outage(self, gateways: tuple[int, ...]) -> None:
        """Record that gateways lose touch with the store: by a cut, a pause or its own fault."""
        self._open_outages.update(gateways)

    def end_outage(self, gateways: tuple[int, ...], now: float) -> None:
        """Record the end of an outage."""
        self._open_outages.subtract(gateways)
        for gateway in gateways:
            self._in_touch_since[gateway] = now

    def request_sent(self, request_id: str, account: str) -> None:
        """Record the account under which a request, item or reward call has to run."""
        self._account_by_request[request_id] = account

    def request_arrived(self, request_id: str, account: str, has_key: bool) -> None:
        """Record a request at an endpoint, with the account that the endpoint was told."""
        if has_key:
            self._add("keys stay at the gateways", f"an endpoint got the key of {request_id}")
        expected = self._account_by_request.get(request_id)
        if expected is None or expected != account:
            detail = f"{request_id} of {expected!r} ran under {account!r}"
            self._add("requests run under their own account", detail)
        self.counts["accounts seen by endpoints"] += 1

    def answered(self, gateway: int, key: str, status: int, sent_at: float) -> None:
        """Record the answer of a gateway to a request that was sent with a key."""
        if key != REVOKED_KEY:
            if status in (_UNAUTHORIZED, _NOT_FOUND):
                self._add("allowed requests are not refused", f"{key} got {status} at {gateway}")
            return
        if self._revoked_at is None:
            return
        self.counts[f"revoked key status {status}"] += 1
        in_touch_since = self._in_touch_since.get(gateway, 0.0)
        is_due = sent_at >= max(self._revoked_at, in_touch_since) + APPLY_SECONDS
        if not is_due or self._open_outages[gateway] > 0:
            return
        self.counts["revoked key checked"] += 1
        if status == _OK:
            late = sent_at - self._revoked_at
            self._add("removed keys are refused", f"served at {gateway} {late:.2f} s afterwards")

    def account_of(self, key: str) -> str:
        """Return the account that holds, or held, a key."""
        return _ACCOUNT_BY_KEY[key]

    def _add(self, promise: str, detail: str) -> None:
        self._violations[(promise, detail)] = None
