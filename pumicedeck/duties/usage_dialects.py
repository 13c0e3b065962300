"""Interface that translates a report of use to the wire format of a platform's API."""

from abc import ABC, abstractmethod

from pumicedeck.http_messages import HttpRequest
from pumicedeck.topology import Address


class UsageDialect(ABC):
    """Encodes reports of use; only the platform's adapter knows paths, headers and fields."""

    @abstractmethod
    def encode_report(
        self, address: Address, holder: str, token: int, window: int, counts: dict[str, int]
    ) -> HttpRequest:
        """Encode the counts by account of a window, sent by the VM `holder` under `token`."""
