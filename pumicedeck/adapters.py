"""Imports every adapter module, so that their decorators fill the registry."""

from pumicedeck.standin_engines import StandinEngine
from pumicedeck.standin_objects import StandinObjectStore
from pumicedeck.standin_services import StandinService
from pumicedeck.standin_tables import StandinTableStore
from pumicedeck.standin_vm_lists import StandinVmList
from pumicedeck.standin_weights import StandinWeightStore

STANDINS = (
    StandinEngine,
    StandinObjectStore,
    StandinService,
    StandinTableStore,
    StandinVmList,
    StandinWeightStore,
)
