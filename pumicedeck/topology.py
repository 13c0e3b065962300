"""Frozen data classes for VMs, failure domains, regions, links, endpoints and firms."""

from dataclasses import dataclass
from enum import StrEnum


class EndpointKind(StrEnum):
    """What stands behind an endpoint."""

    MODEL = "model"
    SERVICE = "service"


class VmRole(StrEnum):
    """The process of the system that a VM runs."""

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
    """An IP number and a TCP port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Link:
    """A network path between two regions; delay in seconds one way, rate in bytes per second."""

    source: str
    target: str
    delay: float
    rate: float
    paid: bool = False


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One back end beside one agent; `slots` is how many requests it runs at once."""

    name: str
    pool: str
    kind: EndpointKind
    slots: int = 8


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM as the platform lists it; `address` is where its session port listens."""

    name: str
    role: VmRole
    failure_domain: FailureDomain
    address: Address
    state: VmState = VmState.LIVE
    endpoint: Endpoint | None = None


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of one process on a VM; never reused, ordered by nothing."""

    vm: str
    number: str

    def __str__(self) -> str:
        """Return the form that logs and messages use."""
        return f"{self.vm}/{self.number}"
