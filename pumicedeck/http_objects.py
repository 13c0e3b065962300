"""Adapter for an object store over HTTP."""

from pumicedeck.http_adapters import HttpAdapter
from pumicedeck.http_operations import GET_OBJECT, PUT_OBJECT
from pumicedeck.platform_interfaces import ObjectStore, ResultCallback, adapter


@adapter("ObjectStore", "http")
class HttpObjectStore(HttpAdapter, ObjectStore):
    """An object store at one address."""

    def get(self, name: str, done: ResultCallback[bytes]) -> None:
        """Read an object; NOT_FOUND if there is none."""
        self._call(GET_OBJECT, (name,), done)

    def put(self, name: str, data: bytes, done: ResultCallback[None]) -> None:
        """Write an object."""
        self._call(PUT_OBJECT, (name, data), done)
