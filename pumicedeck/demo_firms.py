"""Catalogue, endpoint pools and process settings of the demo's two firms."""

from dataclasses import dataclass

from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, Limits, Pool, RequestClass
from pumicedeck.settings import (
    AgentSettings,
    EndpointSettings,
    EntrySettings,
    ObjectStoreSettings,
    PlatformSettings,
    TableStoreSettings,
    TimeSettings,
    VmListSettings,
    WeightStoreSettings,
)
from pumicedeck.topology import Address, EndpointKind, FailureDomain

TAINAN = "tainan-acoustic-lab"
QUINTELA = "faturas-quintela"
SECRET = "demo-secret-of-one-process"
ANY_PORT = Address("127.0.0.1", 0)
DRAIN_GRACE_SECONDS = 20.0

TN_A = FailureDomain("tn-a", "tw-south")
KS_A = FailureDomain("ks-a", "tw-south")
TP_A = FailureDomain("tp-a", "tw-north")
LISBOA_A = FailureDomain("lisboa-a", "lisboa")
LISBOA_B = FailureDomain("lisboa-b", "lisboa")
PORTO_A = FailureDomain("porto-a", "porto")


@dataclass(frozen=True, slots=True)
class PoolPlacement:
    """The endpoints of a pool, spread round-robin over the failure domains in `domains`."""

    pool: str
    kind: EndpointKind
    count: int
    slots: int
    domains: tuple[FailureDomain, ...]


POOL_PLACEMENTS = (
    PoolPlacement("tuner-gen", EndpointKind.MODEL, 6, 16, (TN_A, KS_A, TP_A)),
    PoolPlacement("booking-app", EndpointKind.SERVICE, 8, 16, (TN_A, KS_A, TP_A)),
    PoolPlacement("redator", EndpointKind.MODEL, 4, 16, (LISBOA_A, LISBOA_B, PORTO_A)),
    PoolPlacement("balcao", EndpointKind.SERVICE, 3, 16, (LISBOA_A, LISBOA_B, PORTO_A)),
)

CATALOGUE = Catalogue(
    revision=1,
    entries=(
        CatalogueEntry(
            "bookings", TAINAN, RequestClass.INTERACTIVE, ("booking-app",), idempotent=False
        ),
        CatalogueEntry(
            "stock-checks",
            TAINAN,
            RequestClass.BATCH,
            ("booking-app",),
            Limits(queue_seconds=60.0),
        ),
        CatalogueEntry(
            "rig-presets",
            TAINAN,
            RequestClass.ROLLOUT,
            ("tuner-gen",),
            model="tuner",
            staleness_bound=1,
            idle_time_weight=3.0,
        ),
        CatalogueEntry("previews", QUINTELA, RequestClass.INTERACTIVE, ("balcao",)),
        CatalogueEntry("tax-checks", QUINTELA, RequestClass.BATCH, ("balcao",)),
        CatalogueEntry(
            "line-drafts",
            QUINTELA,
            RequestClass.ROLLOUT,
            ("redator",),
            model="redator",
            staleness_bound=1,
            staleness_weight=3.0,
        ),
    ),
    pools=(
        Pool("tuner-gen", EndpointKind.MODEL, checks_fencing=True, models=("tuner",)),
        Pool("booking-app", EndpointKind.SERVICE),
        Pool("redator", EndpointKind.MODEL, checks_fencing=False, models=("redator",)),
        Pool("balcao", EndpointKind.SERVICE),
    ),
)


def _platform_settings() -> PlatformSettings:
    return PlatformSettings(
        table_store=TableStoreSettings(adapter="standin", address=ANY_PORT),
        object_store=ObjectStoreSettings(adapter="standin", address=ANY_PORT),
        weight_store=WeightStoreSettings(adapter="standin", address=ANY_PORT),
        vm_list=VmListSettings(adapter="standin", address=ANY_PORT),
    )


def entry_settings(number: int, domain: FailureDomain) -> EntrySettings:
    """Return the settings of one entry process of the demo."""
    return EntrySettings(
        vm=f"entry-{domain.name}-{number}",
        failure_domain=domain.name,
        region=domain.region,
        secrets=(SECRET,),
        platform=_platform_settings(),
        callers=ANY_PORT,
        operators=ANY_PORT,
    )


def agent_settings(placement: PoolPlacement, number: int) -> AgentSettings:
    """Return the settings of the agent process that serves one endpoint of a pool."""
    domain = placement.domains[number % len(placement.domains)]
    return AgentSettings(
        vm=f"{placement.pool}-{number}",
        failure_domain=domain.name,
        region=domain.region,
        secrets=(SECRET,),
        platform=_platform_settings(),
        times=TimeSettings(drain_grace=DRAIN_GRACE_SECONDS),
        sessions=ANY_PORT,
        operators=ANY_PORT,
        endpoint=EndpointSettings(
            name=f"{placement.pool}-{number}",
            pool=placement.pool,
            kind=placement.kind,
            slots=placement.slots,
            address=ANY_PORT,
            adapter="standin",
        ),
        swap_rank=number,
    )
