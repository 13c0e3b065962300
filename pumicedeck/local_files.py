"""Writes the settings files of a deployment that runs with stand-ins on one machine."""

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

ENTRY_DOMAINS = (TN_A, KS_A)
LOOPBACK_HOST = "127.0.0.1"
SESSION_SECRET = "change-this-secret-of-yours"
PLATFORM_PORT_OFFSET = 0
ENTRY_PORT_OFFSET = 20
ENTRY_OPERATORS_PORT_OFFSET = 40
SESSION_PORT_OFFSET = 100
AGENT_OPERATORS_PORT_OFFSET = 200
ENDPOINT_PORT_OFFSET = 300
TOKENS = {
    "desk-token": {"name": "desk", "firm": TAINAN},
    "portal-token": {"name": "portal", "firm": QUINTELA},
    "operator-token": {"name": "operator", "firm": "*"},
}


@dataclass(frozen=True, slots=True)
class LocalDeployment:
    """The processes and stand-ins of a local deployment; ports are `base_port` plus an offset."""

    base_port: int
    placements: tuple[PoolPlacement, ...]
    entries: tuple[FailureDomain, ...]
    catalogue: Catalogue
    log_level: str = "INFO"
    service_time: str = "20ms"


class LocalFilesWriter:
    """Writes the stand-ins' file, a settings file per agent and entry, and the catalogue."""

    def __init__(self, deployment: LocalDeployment) -> None:
        """Spread the agents of each pool over the failure domains of the pool."""
        self._deployment = deployment
        self._agents = [
            (placement, number, placement.domains[number % len(placement.domains)])
            for placement in deployment.placements
            for number in range(placement.count)
        ]

    def write(self, folder: Path) -> None:
        """Write every file into `folder`."""
        folder.mkdir(parents=True, exist_ok=True)
        _write_yaml(folder / "standins.yaml", self._standin_settings())
        for index in range(len(self._agents)):
            document = self._agent_settings(index)
            _write_yaml(folder / f"agent-{document['vm']}.yaml", document)
        for index in range(len(self._deployment.entries)):
            _write_yaml(folder / f"entry-{index}.yaml", self._entry_settings(index))
        text = render_yaml(catalogue_document(self._deployment.catalogue))
        (folder / "catalogue.yaml").write_text(text, encoding="utf-8")

    def _address(self, offset: int) -> str:
        return f"{LOOPBACK_HOST}:{self._deployment.base_port + offset}"

    def _platform_addresses(self) -> dict[str, Any]:
        names = ("table_store", "object_store", "weight_store", "vm_list")
        return {
            name: {"address": self._address(PLATFORM_PORT_OFFSET + index + 1)}
            for index, name in enumerate(names)
        }

    def _common_settings(self, vm: str, domain: FailureDomain) -> dict[str, Any]:
        return {
            "vm": vm,
            "failure_domain": domain.name,
            "region": domain.region,
            "secrets": [SESSION_SECRET],
            "log": {"level": self._deployment.log_level, "format": "text"},
            "platform": self._platform_addresses(),
        }

    def _agent_settings(self, index: int) -> dict[str, Any]:
        placement, number, domain = self._agents[index]
        name = f"{placement.pool}-{number}"
        return {
            **self._common_settings(name, domain),
            "sessions": self._address(SESSION_PORT_OFFSET + index),
            "operators": self._address(AGENT_OPERATORS_PORT_OFFSET + index),
            "endpoint": {
                "name": name,
                "pool": placement.pool,
                "kind": str(placement.kind),
                "slots": placement.slots,
                "address": self._address(ENDPOINT_PORT_OFFSET + index),
            },
        }

    def _entry_settings(self, index: int) -> dict[str, Any]:
        return {
            **self._common_settings(f"entry-{index}", self._deployment.entries[index]),
            "callers": self._address(ENTRY_PORT_OFFSET + index),
            "operators": self._address(ENTRY_OPERATORS_PORT_OFFSET + index),
        }

    def _standin_settings(self) -> dict[str, Any]:
        addresses = {
            name: section["address"] for name, section in self._platform_addresses().items()
        }
        return {
            "control": self._address(PLATFORM_PORT_OFFSET),
            **addresses,
            "weight_rate": "200MiB",
            "catalogue": "catalogue.yaml",
            "tokens": TOKENS,
            "vms": [self._agent_list_row(index) for index in range(len(self._agents))]
            + [self._entry_list_row(index) for index in range(len(self._deployment.entries))],
            "endpoints": [self._standin_endpoint(index) for index in range(len(self._agents))],
        }

    def _agent_list_row(self, index: int) -> dict[str, Any]:
        placement, number, domain = self._agents[index]
        return {
            "name": f"{placement.pool}-{number}",
            "role": "agent",
            "failure_domain": domain.name,
            "region": domain.region,
            "address": self._address(SESSION_PORT_OFFSET + index),
            "pool": placement.pool,
            "kind": str(placement.kind),
            "slots": placement.slots,
        }

    def _entry_list_row(self, index: int) -> dict[str, Any]:
        domain = self._deployment.entries[index]
        return {
            "name": f"entry-{index}",
            "role": "entry",
            "failure_domain": domain.name,
            "region": domain.region,
            "address": self._address(ENTRY_PORT_OFFSET + index),
        }

    def _standin_endpoint(self, index: int) -> dict[str, Any]:
        placement, number, _ = self._agents[index]
        document: dict[str, Any] = {
            "name": f"{placement.pool}-{number}",
            "address": self._address(ENDPOINT_PORT_OFFSET + index),
            "slots": placement.slots,
        }
        if placement.kind is EndpointKind.SERVICE:
            return {**document, "service_time": self._deployment.service_time}
        pool = self._deployment.catalogue.pool(placement.pool)
        return {**document, "models": list(pool.models), "checks_fencing": pool.checks_fencing}


def _write_yaml(path: Path, document: dict[str, Any]) -> None:
    path.write_text(yaml.safe_dump(document, sort_keys=False), encoding="utf-8")


def write_local_files(
    folder: Path, agents: tuple[str, ...], entries: int, base_port: int, log_level: str
) -> Result[None, Failure]:
    """Write the files of a deployment; each of `agents` is a text `POOL=COUNT`.

    BAD_REQUEST if a pool is not one of the demo's pools or a count is not a number.
    """
    placements_by_pool = {placement.pool: placement for placement in POOL_PLACEMENTS}
    placements = []
    for agent_count in agents:
        pool, _, count = agent_count.partition("=")
        if pool not in placements_by_pool or not count.isdecimal():
            names = ", ".join(placements_by_pool)
            detail = f"{agent_count}: expected POOL=COUNT with one of the pools {names}"
            return Err(Failure(ResultCode.BAD_REQUEST, detail))
        placements.append(replace(placements_by_pool[pool], count=int(count)))
    domains = tuple(ENTRY_DOMAINS[number % len(ENTRY_DOMAINS)] for number in range(entries))
    deployment = LocalDeployment(base_port, tuple(placements), domains, CATALOGUE, log_level)
    LocalFilesWriter(deployment).write(folder)
    return Ok(None)
