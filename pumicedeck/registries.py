"""Imports every module whose decorators register an adapter, a router or a queue."""

from pumicedeck.fair_queues import FairQueue
from pumicedeck.http_engines import HttpEngine
from pumicedeck.http_objects import HttpObjectStore
from pumicedeck.http_services import HttpService
from pumicedeck.http_tables import HttpTableStore
from pumicedeck.http_vm_lists import HttpVmList
from pumicedeck.http_weights import HttpWeightStore
from pumicedeck.load_routers import ExpectedWaitRouter
from pumicedeck.queues import QUEUES
from pumicedeck.routers import ROUTERS
from pumicedeck.standin_engines import StandinEngine
from pumicedeck.standin_objects import StandinObjectStore
from pumicedeck.standin_services import StandinService
from pumicedeck.standin_tables import StandinTableStore
from pumicedeck.standin_vm_lists import StandinVmList
from pumicedeck.standin_weights import StandinWeightStore

REGISTERED = (
    ExpectedWaitRouter,
    FairQueue,
    HttpEngine,
    HttpObjectStore,
    HttpService,
    HttpTableStore,
    HttpVmList,
    HttpWeightStore,
    StandinEngine,
    StandinObjectStore,
    StandinService,
    StandinTableStore,
    StandinVmList,
    StandinWeightStore,
)


def router_names() -> tuple[str, ...]:
    """Return the names that the setting `router` accepts, sorted."""
    return tuple(sorted(ROUTERS))


def queue_names() -> tuple[str, ...]:
    """Return the names that the setting `queue` accepts, sorted."""
    return tuple(sorted(QUEUES))
