"""Reads and validates experiment files: policies, endpoints, loads, faults and seeds."""

from enum import StrEnum
from pathlib import Path

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from result import Err, Ok, Result

from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, Limits, Pool, RequestClass
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import EndpointKind, FailureDomain, Link


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Policy(_Model):
    """One router and queue to measure; `express` and `reserved` are slots per endpoint."""

    name: str
    router: str = "expected_wait"
    queue: str = "fair"
    express: int = Field(default=0, ge=0)
    reserved: int = Field(default=0, ge=0)
    engine_priorities: bool = True


class DomainSpec(_Model):
    """A failure domain and its number of entry VMs."""

    name: str
    region: str
    entries: int = Field(default=0, ge=0)


class PoolSpec(_Model):
    """A pool of equal endpoints; `agents` by failure domain, rates in tokens per second."""

    name: str
    agents: dict[str, int]
    slots: int = Field(default=8, gt=0)
    slot_rate: float = Field(default=50.0, gt=0)
    prefill_rate: float = Field(default=4000.0, gt=0)
    cache_tokens: int = Field(default=20_000, ge=0)


class Surge(_Model):
    """Multiplies the rate of a load by `factor` from second `start` to second `end`."""

    start: float
    end: float
    factor: float = Field(gt=0)


class LoadSpec(_Model):
    """Open-loop load of one catalogue entry; `rate` in requests per second.

    `copies` repeats the load for that many firms, each with the full rate. `sigma` is the standard
    deviation of the logarithm of the tokens of an answer. `caller_retries` limits how often a
    caller retries a refused or failed request, each time after the retry time in the failure.
    `prefix_skew` is the exponent of the Zipf distribution of the prefixes. `home` is the region
    whose entries get the requests; if it has none, all entries do.
    """

    entry: str
    firm: str
    request_class: RequestClass
    pools: tuple[str, ...]
    rate: float = Field(gt=0)
    tokens: int = Field(gt=0)
    sigma: float = Field(default=0.3, ge=0)
    share: float = Field(default=1.0, gt=0)
    prompt_tokens: int = Field(default=0, ge=0)
    prefixes: int = Field(default=0, ge=0)
    prefix_tokens: int = Field(default=0, ge=0)
    prefix_skew: float = Field(default=1.0, ge=0)
    queue_seconds: float = 30.0
    deadline_seconds: float = 120.0
    requests_per_second: float = 1e9
    tokens_per_second: float = 1e9
    concurrency: int = 1_000_000
    caller_retries: int = Field(default=0, ge=0)
    home: str = ""
    copies: int = Field(default=1, gt=0)
    surges: tuple[Surge, ...] = ()

    def expanded(self) -> list["LoadSpec"]:
        """Return one load for each copy, each with its own firm and entry."""
        if self.copies == 1:
            return [self]
        names = [
            {"entry": f"{self.entry}-{number}", "firm": f"{self.firm}-{number}", "copies": 1}
            for number in range(self.copies)
        ]
        return [self.model_copy(update=each) for each in names]

    def catalogue_entry(self) -> CatalogueEntry:
        """Return the catalogue entry that the load calls."""
        limits = Limits(
            self.concurrency,
            self.requests_per_second,
            self.tokens_per_second,
            self.queue_seconds,
            self.deadline_seconds,
        )
        return CatalogueEntry(
            self.entry, self.firm, self.request_class, self.pools, limits, self.share
        )


class FaultKind(StrEnum):
    """Kinds of faults that an experiment injects."""

    DOMAIN_LOSS = "domain_loss"
    SLOW_ENDPOINT = "slow_endpoint"
    LATE_REPORTS = "late_reports"


class FaultSpec(_Model):
    """A fault from second `start` to second `end`.

    `target` names a failure domain or the VM of an agent. `factor` slows an endpoint down, `delay`
    is the delay of late load reports in seconds. The agents of a lost domain never return.
    """

    kind: FaultKind
    target: str = ""
    start: float = 0.0
    end: float = float("inf")
    factor: float = Field(default=10.0, gt=0)
    delay: float = Field(default=5.0, ge=0)


class Experiment(_Model):
    """The contents of an experiment file; durations in seconds."""

    name: str
    seconds: float = Field(default=120.0, gt=0)
    warmup: float = Field(default=20.0, ge=0)
    seeds: tuple[int, ...] = (1,)
    report_seconds: float = Field(default=1.0, gt=0)
    failure_detection_seconds: float = Field(default=2.0, gt=0)
    domains: tuple[DomainSpec, ...]
    pools: tuple[PoolSpec, ...]
    policies: tuple[Policy, ...]
    loads: tuple[LoadSpec, ...]
    faults: tuple[FaultSpec, ...] = ()
    recovery_from: float | None = None

    @model_validator(mode="after")
    def _check_references(self) -> "Experiment":
        domains = {each.name for each in self.domains}
        pools = {each.name for each in self.pools}
        for each in self.pools:
            if not set(each.agents) <= domains:
                raise ValueError(f"pool {each.name} names an unknown failure domain")
        for each in self.loads:
            if not set(each.pools) <= pools:
                raise ValueError(f"load {each.entry} names an unknown pool")
        if not any(each.entries for each in self.domains):
            raise ValueError("no failure domain holds an entry VM")
        return self

    def domain(self, name: str) -> FailureDomain:
        """Return the failure domain with this name."""
        found = next(each for each in self.domains if each.name == name)
        return FailureDomain(found.name, found.region)

    def catalogue(self) -> Catalogue:
        """Return the catalogue with the entries of all loads."""
        pools = tuple(Pool(each.name, EndpointKind.MODEL) for each in self.pools)
        return Catalogue(1, tuple(each.catalogue_entry() for each in self.loads), pools)

    def links(self) -> tuple[Link, ...]:
        """Return links between all pairs of regions, whose traffic is charged."""
        regions = sorted({each.region for each in self.domains})
        return tuple(
            Link(source, target, 0.030, 25_000_000.0, True)
            for source in regions
            for target in regions
            if source != target
        )


def parse_experiment(document: object) -> Result[Experiment, Failure]:
    """Validate the parsed YAML of an experiment and expand the copies of its loads."""
    try:
        experiment = Experiment.model_validate(document)
    except ValidationError as error:
        return Err(Failure(ResultCode.BAD_SETTINGS, str(error)))
    loads = tuple(load for each in experiment.loads for load in each.expanded())
    return Ok(experiment.model_copy(update={"loads": loads}))


def read_experiment(path: Path) -> Result[Experiment, Failure]:
    """Read and validate an experiment file."""
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        return Err(Failure(ResultCode.BAD_SETTINGS, str(error)))
    return parse_experiment(document)
