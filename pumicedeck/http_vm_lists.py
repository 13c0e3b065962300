"""Adapter for the platform's VM list over HTTP."""

from pumicedeck.http_adapters import HttpAdapter
from pumicedeck.http_operations import LIST_VMS
from pumicedeck.platform_interfaces import ResultCallback, VmList, adapter
from pumicedeck.topology import Vm


@adapter("VmList", "http")
class HttpVmList(HttpAdapter, VmList):
    """The platform's list of VMs, served at one address."""

    def list(self, done: ResultCallback[tuple[Vm, ...]]) -> None:
        """Read the current list."""
        self._call(LIST_VMS, (), done)
