"""What an agent needs of whatever keeps the weights of its engine current."""

from typing import Protocol

from pumicedeck.catalogue_entries import Catalogue


class WeightFeed(Protocol):
    """Orders an engine to load new weights and knows the version in force."""

    @property
    def version(self) -> int:
        """Return the version in force of the engine's first model, -1 while unknown."""

    def start(self) -> None:
        """Begin to follow."""

    def close(self) -> None:
        """Stop following."""

    def configure(self, catalogue: Catalogue) -> None:
        """Follow the models that a newly installed catalogue names for this endpoint."""
