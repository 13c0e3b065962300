"""Encodes calls to the API of the deployment platform."""

import json

from pumicedeck.duties.usage_dialects import UsageDialect
from pumicedeck.http_messages import HttpRequest
from pumicedeck.topology import Address

HOLDER = "X-Pumicedeck-Duty-Holder"
FENCE = "X-Pumicedeck-Fence-Token"


class PlatformUsageDialect(UsageDialect):
    """Encodes reports of use."""

    def encode_report(
        self, address: Address, holder: str, token: int, window: int, counts: dict[str, int]
    ) -> HttpRequest:
        """Encode the counts by account of a window, sent by the VM `holder` under `token`."""
        headers = (
            ("Content-Type", "application/json"),
            (HOLDER, holder),
            (FENCE, str(token)),
        )
        body = json.dumps({"window": window, "counts": counts}, sort_keys=True).encode()
        return HttpRequest("POST", address, "/usage", headers, body)
