"""Frozen data classes for VMs, failure domains, links between regions, and endpoints."""

from dataclasses import dataclass
from enum import StrEnum


class EndpointKind(StrEnum):
    """What an endpoint serves: a model engine or a plain service."""

    MODEL = "model"
    SERVICE = "service"


class VmRole(StrEnum):
    """Which process a VM runs."""

    ENTRY = "entry"
    AGENT = "agent"


class VmState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """A set of VMs that fail together."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Link:
    """A network path between two regions.

    `delay` is one way, in seconds, `rate` in bytes per second; traffic on a `paid` link is charged.
    """

    source: str
    target: str
    delay: float
    rate: float
    paid: bool = False


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One back end of one agent; `slots` is how many requests it runs at the same time."""

    name: str
    pool: str
    kind: EndpointKind
    slots: int = 8


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM as the platform lists it; `address` is where it accepts sessions."""

    name: str
    role: VmRole
    failure_domain: FailureDomain
    address: Address
    state: VmState = VmState.LIVE
    endpoint: Endpoint | None = None


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of one process on a VM; `number` is never reused and implies no order."""

    vm: str
    number: str

    def __str__(self) -> str:
        """Return the form used in logs and messages."""
        return f"{self.vm}/{self.number}"
