"""What a daemon needs of whatever keeps its catalogue current."""

from typing import Protocol

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.messages import Message


class CatalogueFeed(Protocol):
    """Installs ever newer catalogues and reports each through a callback given at its making."""

    @property
    def catalogue(self) -> Catalogue:
        """Return the installed catalogue."""

    def start(self) -> None:
        """Begin to follow."""

    def close(self) -> None:
        """Stop following."""

    def session_up(self, peer: str) -> None:
        """Take note of a peer that may be asked."""

    def session_lost(self, peer: str) -> None:
        """Take note that a peer cannot be asked."""

    def message(self, peer: str, message: Message) -> None:
        """Take a heartbeat, a catalogue request or a catalogue copy."""
