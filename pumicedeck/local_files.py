"""Writes the settings files of a deployment with stand-ins on one machine."""

from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import yaml
from result import Err, Ok, Result

from pumicedeck.catalogue_documents import catalogue_document, render_yaml
from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.demo_firms import (
    CATALOGUE,
    KS_A,
    POOL_PLACEMENTS,
    QUINTELA,
    TAINAN,
    TN_A,
    PoolPlacement,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import EndpointKind, FailureDomain

DOMAINS = (TN_A, KS_A)
HOST = "127.0.0.1"
SECRET = "change-this-secret-of-yours"
PLATFORM_PORT = 0
ENTRY_PORT = 20
ENTRY_OPERATORS_PORT = 40
SESSION_PORT = 100
AGENT_OPERATORS_PORT = 200
ENDPOINT_PORT = 300
TOKENS = {
    "desk-token": {"name": "desk", "firm": TAINAN},
    "portal-token": {"name": "portal", "firm": QUINTELA},
    "operator-token": {"name": "operator", "firm": "*"},
}


@dataclass(frozen=True, slots=True)
class LocalPlan:
    """What runs on the machine; ports are counted from `base_port`."""

    base_port: int
    sites: tuple[PoolPlacement, ...]
    entries: tuple[FailureDomain, ...]
    catalogue: Catalogue
    log_level: str = "INFO"
    service_time: str = "20ms"


class LocalFiles:
    """Writes a file for the stand-ins, one for each agent and entry, and the catalogue."""

    def __init__(self, plan: LocalPlan) -> None:
        """Lay the ports out."""
        self._plan = plan
        self._agents = [
            (site, number, site.domains[number % len(site.domains)])
            for site in plan.sites
            for number in range(site.count)
        ]

    def write(self, folder: Path) -> None:
        """Write every file into `folder`."""
        folder.mkdir(parents=True, exist_ok=True)
        _dump(folder / "standins.yaml", self._standins())
        for index in range(len(self._agents)):
            document = self._agent(index)
            _dump(folder / f"agent-{document['vm']}.yaml", document)
        for index in range(len(self._plan.entries)):
            _dump(folder / f"entry-{index}.yaml", self._entry(index))
        text = render_yaml(catalogue_document(self._plan.catalogue))
        (folder / "catalogue.yaml").write_text(text, encoding="utf-8")

    def _address(self, offset: int) -> str:
        return f"{HOST}:{self._plan.base_port + offset}"

    def _platform(self) -> dict[str, Any]:
        names = ("table_store", "object_store", "weight_store", "vm_list")
        return {
            name: {"address": self._address(PLATFORM_PORT + index + 1)}
            for index, name in enumerate(names)
        }

    def _common(self, vm: str, domain: FailureDomain) -> dict[str, Any]:
        return {
            "vm": vm,
            "failure_domain": domain.name,
            "region": domain.region,
            "secrets": [SECRET],
            "log": {"level": self._plan.log_level, "format": "text"},
            "platform": self._platform(),
        }

    def _agent(self, index: int) -> dict[str, Any]:
        site, number, domain = self._agents[index]
        name = f"{site.pool}-{number}"
        return {
            **self._common(name, domain),
            "sessions": self._address(SESSION_PORT + index),
            "operators": self._address(AGENT_OPERATORS_PORT + index),
            "endpoint": {
                "name": name,
                "pool": site.pool,
                "kind": str(site.kind),
                "slots": site.slots,
                "address": self._address(ENDPOINT_PORT + index),
            },
        }

    def _entry(self, index: int) -> dict[str, Any]:
        return {
            **self._common(f"entry-{index}", self._plan.entries[index]),
            "callers": self._address(ENTRY_PORT + index),
            "operators": self._address(ENTRY_OPERATORS_PORT + index),
        }

    def _standins(self) -> dict[str, Any]:
        addresses = {name: each["address"] for name, each in self._platform().items()}
        return {
            "control": self._address(PLATFORM_PORT),
            **addresses,
            "weight_rate": "200MiB",
            "catalogue": "catalogue.yaml",
            "tokens": TOKENS,
            "vms": [self._listed_agent(index) for index in range(len(self._agents))]
            + [self._listed_entry(index) for index in range(len(self._plan.entries))],
            "endpoints": [self._endpoint(index) for index in range(len(self._agents))],
        }

    def _listed_agent(self, index: int) -> dict[str, Any]:
        site, number, domain = self._agents[index]
        return {
            "name": f"{site.pool}-{number}",
            "role": "agent",
            "failure_domain": domain.name,
            "region": domain.region,
            "address": self._address(SESSION_PORT + index),
            "pool": site.pool,
            "kind": str(site.kind),
            "slots": site.slots,
        }

    def _listed_entry(self, index: int) -> dict[str, Any]:
        domain = self._plan.entries[index]
        return {
            "name": f"entry-{index}",
            "role": "entry",
            "failure_domain": domain.name,
            "region": domain.region,
            "address": self._address(ENTRY_PORT + index),
        }

    def _endpoint(self, index: int) -> dict[str, Any]:
        site, number, _ = self._agents[index]
        document: dict[str, Any] = {
            "name": f"{site.pool}-{number}",
            "address": self._address(ENDPOINT_PORT + index),
            "slots": site.slots,
        }
        if site.kind is EndpointKind.SERVICE:
            return {**document, "service_time": self._plan.service_time}
        pool = self._plan.catalogue.pool(site.pool)
        return {**document, "models": list(pool.models), "checks_fencing": pool.checks_fencing}


def _dump(path: Path, document: dict[str, Any]) -> None:
    path.write_text(yaml.safe_dump(document, sort_keys=False), encoding="utf-8")


def write_local_files(
    folder: Path, agents: tuple[str, ...], entries: int, base_port: int, log_level: str
) -> Result[None, Failure]:
    """Write the files of a plan in which each of `agents` is `pool=count`."""
    known = {site.pool: site for site in POOL_PLACEMENTS}
    sites = []
    for each in agents:
        pool, _, count = each.partition("=")
        if pool not in known or not count.isdecimal():
            names = ", ".join(known)
            detail = f"{each}: expected POOL=COUNT with one of the pools {names}"
            return Err(Failure(ResultCode.BAD_REQUEST, detail))
        sites.append(replace(known[pool], count=int(count)))
    domains = tuple(DOMAINS[number % len(DOMAINS)] for number in range(entries))
    plan = LocalPlan(base_port, tuple(sites), domains, CATALOGUE, log_level)
    LocalFiles(plan).write(folder)
    return Ok(None)
