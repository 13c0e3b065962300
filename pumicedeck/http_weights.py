"""Adapter for a weight store over HTTP."""

from pumicedeck.http_adapters import HttpAdapter
from pumicedeck.http_operations import NEWEST_WEIGHTS, PUBLISH_WEIGHTS
from pumicedeck.platform_interfaces import ResultCallback, WeightStore, WeightVersion, adapter


@adapter("WeightStore", "http")
class HttpWeightStore(HttpAdapter, WeightStore):
    """A weight store at one address."""

    def publish(self, weights: WeightVersion, done: ResultCallback[None]) -> None:
        """Publish a weight version."""
        self._call(PUBLISH_WEIGHTS, (weights,), done)

    def newest(self, model: str, done: ResultCallback[WeightVersion]) -> None:
        """Read the newest published version of a model; NOT_FOUND if there is none."""
        self._call(NEWEST_WEIGHTS, (model,), done)
