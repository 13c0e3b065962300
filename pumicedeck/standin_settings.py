"""Settings file of a process that hosts stand-ins, and initial rows of its table service."""

from pathlib import Path
from typing import Annotated

import yaml
from pydantic import Field, ValidationError
from result import Err, Ok, Result

from pumicedeck.catalogue_documents import parse_catalogue
from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.catalogue_rows import (
    CATALOGUE_TABLE,
    HEAD_KEY,
    CatalogueRow,
    encode_head,
    encode_row,
    row_name_of,
)
from pumicedeck.platform_interfaces import LoadedModel, Transaction, Write
from pumicedeck.results import Failure, ResultCode
from pumicedeck.settings_files import (
    Duration,
    ListenAddress,
    Section,
    Size,
    describe_validation_errors,
)
from pumicedeck.standin_batches import BatchSettings
from pumicedeck.standin_hosts import (
    ModelSettings,
    ObjectSettings,
    ServiceSettings,
    StandinHostSettings,
    StandinSettings,
    TableSettings,
    VmListSettings,
    WeightSettings,
)
from pumicedeck.standin_ledgers import EngineSettings
from pumicedeck.tokens import Principal, token_write
from pumicedeck.topology import Endpoint, EndpointKind, FailureDomain, Vm, VmRole

FIRST_REVISION = 1
TABLE_STORE_NAME = "table_store"
WEIGHT_STORE_NAME = "weight_store"


class PrincipalSettings(Section):
    """The owner of a token; the firm `*` means operators."""

    name: str
    firm: str


class VmSettings(Section):
    """A VM of the list; for an agent, `pool`, `kind` and `slots` describe its endpoint."""

    name: str
    role: Annotated[VmRole, Field(strict=False)]
    failure_domain: str
    region: str
    address: ListenAddress
    pool: str = ""
    kind: Annotated[EndpointKind, Field(strict=False)] = EndpointKind.SERVICE
    slots: int = Field(8, ge=1)

    def to_vm(self) -> Vm:
        """Return the VM as it appears in the VM list."""
        endpoint = None
        if self.role is VmRole.AGENT:
            endpoint = Endpoint(self.name, self.pool, self.kind, self.slots)
        domain = FailureDomain(self.failure_domain, self.region)
        return Vm(self.name, self.role, domain, self.address, endpoint=endpoint)


class EndpointStandinSettings(Section):
    """A stand-in endpoint: a model engine if `models` is not empty, else a plain service."""

    name: str
    address: ListenAddress
    slots: int = Field(8, ge=1)
    models: list[str] = []
    checks_fencing: bool = True
    token_time: Duration = 0.002
    service_time: Duration = 0.02

    def standin_settings(self) -> StandinSettings:
        """Return the settings of the stand-in."""
        if not self.models:
            return ServiceSettings(self.name, self.address, self.service_time, self.slots)
        engine = EngineSettings(
            models=tuple(LoadedModel(model, 0) for model in self.models),
            batch=BatchSettings(slots=self.slots, token_seconds=self.token_time),
            checks_fencing=self.checks_fencing,
        )
        return ModelSettings(self.name, self.address, engine, WEIGHT_STORE_NAME)


class StandinFileSettings(Section):
    """A settings file of stand-ins; `catalogue` is a path relative to that file."""

    control: ListenAddress
    table_store: ListenAddress
    object_store: ListenAddress
    weight_store: ListenAddress
    vm_list: ListenAddress
    weight_rate: Size = 1024**3
    list_lag: Duration = 1.0
    catalogue: str = ""
    tokens: dict[str, PrincipalSettings] = {}
    vms: list[VmSettings] = []
    endpoints: list[EndpointStandinSettings] = []
    seed: int = 0

    def host_settings(self) -> StandinHostSettings:
        """Return the settings of the process that hosts the stand-ins."""
        platform_standins: list[StandinSettings] = [
            TableSettings(TABLE_STORE_NAME, self.table_store),
            ObjectSettings("object_store", self.object_store),
            WeightSettings(WEIGHT_STORE_NAME, self.weight_store, float(self.weight_rate)),
            VmListSettings(
                "vm_list", self.vm_list, tuple(vm.to_vm() for vm in self.vms), self.list_lag
            ),
        ]
        endpoints = [endpoint.standin_settings() for endpoint in self.endpoints]
        return StandinHostSettings((*platform_standins, *endpoints), self.control, self.seed)


def initial_transaction(catalogue: Catalogue | None, tokens: dict[str, Principal]) -> Transaction:
    """Return the transaction that writes the initial catalogue, if any, and the tokens."""
    writes = [token_write(token, principal) for token, principal in tokens.items()]
    if catalogue is not None:
        writes.append(Write(CATALOGUE_TABLE, HEAD_KEY, encode_head(FIRST_REVISION)))
        for value in catalogue.entries + catalogue.pools:
            row = CatalogueRow(row_name_of(value), value, FIRST_REVISION)
            writes.append(Write(CATALOGUE_TABLE, row.name.key, encode_row(row)))
    return Transaction((), tuple(writes))


def load_standin_settings(path: Path) -> Result[StandinFileSettings, Failure]:
    """Read and validate a settings file of stand-ins; BAD_SETTINGS if that fails."""
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
        return Ok(StandinFileSettings.model_validate(document))
    except ValidationError as error:
        return Err(Failure(ResultCode.BAD_SETTINGS, describe_validation_errors(path, error)))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        return Err(Failure(ResultCode.BAD_SETTINGS, f"{path}: {error}"))


def load_initial_transaction(
    path: Path, settings: StandinFileSettings
) -> Result[Transaction, Failure]:
    """Read the catalogue that a settings file names and return the initial rows to write."""
    catalogue = None
    if settings.catalogue:
        source = path.parent / settings.catalogue
        try:
            parsed = parse_catalogue(source.read_text(encoding="utf-8"), FIRST_REVISION)
        except (OSError, UnicodeDecodeError) as error:
            return Err(Failure(ResultCode.BAD_SETTINGS, f"{source}: {error}"))
        if isinstance(parsed, Err):
            return parsed
        catalogue = parsed.ok_value
    tokens = {
        token: Principal(principal.name, principal.firm)
        for token, principal in settings.tokens.items()
    }
    return Ok(initial_transaction(catalogue, tokens))
