"""Simulates the network between fake entries and agents in virtual time."""

from typing import Protocol

from pumicedeck.clocks import VirtualTime
from pumicedeck.messages import Message
from pumicedeck.network_costs import DOMAIN_DELAY_SECONDS, REGION_DELAY_SECONDS
from pumicedeck.topology import FailureDomain

SAME_DOMAIN_DELAY_SECONDS = 0.0002


class Peer(Protocol):
    """A fake process; `name` is its incarnation."""

    name: str
    domain: FailureDomain
    alive: bool

    def receive(self, source: str, message: Message) -> None:
        """Handle a message from the incarnation `source`."""


class FakeNetwork:
    """Delivers messages after the delay between two failure domains, except to dead processes."""

    def __init__(self, time: VirtualTime) -> None:
        """Create a network without peers."""
        self._time = time
        self._peers: dict[str, Peer] = {}

    def add_peer(self, peer: Peer) -> None:
        """Add a process, so that messages can be sent to it."""
        self._peers[peer.name] = peer

    def send(self, source: Peer, target: str, message: Message, lag: float = 0.0) -> None:
        """Deliver a message after the network delay plus `lag` s, unless the sender is dead."""
        peer = self._peers[target]
        delay = one_way_delay(source.domain, peer.domain) + lag

        def deliver() -> None:
            if peer.alive:
                peer.receive(source.name, message)

        if source.alive:
            self._time.call_later(delay, deliver)


def one_way_delay(source: FailureDomain, target: FailureDomain) -> float:
    """Return the one-way delay in seconds between two failure domains."""
    if source == target:
        return SAME_DOMAIN_DELAY_SECONDS
    if source.region == target.region:
        return DOMAIN_DELAY_SECONDS
    return REGION_DELAY_SECONDS
