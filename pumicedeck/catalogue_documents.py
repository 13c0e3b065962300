"""Parses, validates and renders entries, pools and catalogues as JSON and YAML documents."""

import json
from collections.abc import Hashable
from dataclasses import asdict
from typing import Annotated, Any

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from pumicedeck.catalogue_checks import Problem, check_catalogue, problems_failure
from pumicedeck.catalogue_entries import (
    Catalogue,
    CatalogueEntry,
    Limits,
    Pool,
    RequestClass,
)
from pumicedeck.results import Failure
from pumicedeck.topology import EndpointKind

MAX_DOCUMENT_BYTES = 4_194_304
MAX_SHOWN_INPUT_CHARACTERS = 60
ROLLOUT_KEYS = ("staleness_bound", "idle_time_weight", "staleness_weight", "scorer")

Name = Annotated[
    str,
    Field(
        pattern=r"^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$",
        description="1 to 63 lower-case letters, digits, dots, dashes or underscores",
    ),
]
OptionalName = Annotated[str, Field(pattern=r"^([a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?)?$")]
FirmName = Annotated[
    str,
    Field(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9 &._-]{0,99}$",
        description="1 to 100 letters, digits, spaces, ampersands, dots, dashes or underscores",
    ),
]
Weight = Annotated[float, Field(ge=0, le=100, description="a weight from 0 to 100")]


class _Document(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


class LimitsDocument(_Document):
    """Validated document of `Limits`."""

    concurrency: int = Field(256, ge=1, le=1_000_000, description="requests running at once")
    requests_per_second: float = Field(
        1000.0, gt=0, le=1_000_000, description="requests per second"
    )
    tokens_per_second: float = Field(
        1_000_000.0, gt=0, le=1_000_000_000, description="tokens per second"
    )
    queue_seconds: float = Field(30.0, gt=0, le=3600, description="seconds")
    deadline_seconds: float = Field(120.0, gt=0, le=86_400, description="seconds")


class EntryDocument(_Document):
    """Validated document of a `CatalogueEntry` without its name."""

    firm: FirmName
    request_class: RequestClass
    pools: tuple[Name, ...] = Field(min_length=1, max_length=64, description="names of pools")
    limits: LimitsDocument = LimitsDocument()
    share: float = Field(1.0, ge=0.01, le=100, description="a weight from 0.01 to 100")
    idempotent: bool = True
    model: OptionalName = Field("", description="a model of each of the pools")
    staleness_bound: int = Field(1, ge=0, le=1000, description="weight versions")
    idle_time_weight: Weight = 1.0
    staleness_weight: Weight = 1.0
    scorer: OptionalName = Field("", description="an entry of the same firm")


class PoolDocument(_Document):
    """Validated document of a `Pool` without its name."""

    kind: EndpointKind
    checks_fencing: bool = False
    models: tuple[Name, ...] = Field((), max_length=64, description="names of models")


class CatalogueDocument(_Document):
    """Validated document of a `Catalogue`, with pools and entries keyed by name."""

    pools: dict[Name, PoolDocument] = Field(default_factory=dict, max_length=1000)
    entries: dict[Name, EntryDocument] = Field(default_factory=dict, max_length=5000)


class _StrictLoader(yaml.SafeLoader):
    """YAML loader that refuses aliases and duplicate keys and loads dates as strings."""

    def compose_node(self, parent: yaml.Node | None, index: int) -> yaml.Node | None:
        if self.check_event(yaml.AliasEvent):
            raise yaml.YAMLError("aliases are not allowed")
        return super().compose_node(parent, index)

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict:
        pairs = [
            (self.construct_object(key, deep=True), self.construct_object(value, deep=True))
            for key, value in node.value
        ]
        return _unique_keys(pairs)


_StrictLoader.yaml_implicit_resolvers = {
    first_character: [(tag, regexp) for tag, regexp in resolvers if not tag.endswith(":timestamp")]
    for first_character, resolvers in yaml.SafeLoader.yaml_implicit_resolvers.items()
}


def parse_catalogue(text: str | bytes, revision: int = 0) -> Result[Catalogue, Failure]:
    """Parse a complete catalogue in JSON or YAML and check its rows against each other."""
    parse_result = parse_fragment(text, revision)
    problems = parse_result.map(check_catalogue).unwrap_or([])
    return Err(problems_failure(problems)) if problems else parse_result


def parse_fragment(text: str | bytes, revision: int = 0) -> Result[Catalogue, Failure]:
    """Parse entries and pools without checks between rows, as an edit may hold only some rows."""
    check_result = _load(text).and_then(lambda data: _validate(CatalogueDocument, data, ""))
    if isinstance(check_result, Err):
        return check_result
    document = check_result.ok_value
    misplaced = [
        problem
        for name, entry in document.entries.items()
        for problem in _misplaced_keys(f"entries.{name}", entry)
    ]
    if misplaced:
        return Err(problems_failure(misplaced))
    entries = tuple(_build_entry(name, each) for name, each in sorted(document.entries.items()))
    pools = tuple(_build_pool(name, each) for name, each in sorted(document.pools.items()))
    return Ok(Catalogue(revision, entries, pools))


def parse_entry(name: str, text: str | bytes) -> Result[CatalogueEntry, Failure]:
    """Parse the JSON or YAML document of the entry called `name`."""
    path = f"entries.{name}"
    named_data = _load(text).and_then(lambda data: _check_name(name, data, path))
    check_result = named_data.and_then(lambda data: _validate(EntryDocument, data, path))
    if isinstance(check_result, Err):
        return check_result
    misplaced = _misplaced_keys(path, check_result.ok_value)
    return (
        Err(problems_failure(misplaced))
        if misplaced
        else Ok(_build_entry(name, check_result.ok_value))
    )


def parse_pool(name: str, text: str | bytes) -> Result[Pool, Failure]:
    """Parse the JSON or YAML document of the pool called `name`."""
    path = f"pools.{name}"
    named_data = _load(text).and_then(lambda data: _check_name(name, data, path))
    check_result = named_data.and_then(lambda data: _validate(PoolDocument, data, path))
    return check_result.map(lambda document: _build_pool(name, document))


def entry_document(entry: CatalogueEntry) -> dict[str, Any]:
    """Return an entry without its name as a JSON-compatible dict."""
    document = asdict(entry)
    del document["name"]
    document["pools"] = list(entry.pools)
    if entry.request_class is not RequestClass.ROLLOUT:
        for key in ROLLOUT_KEYS:
            del document[key]
    return json.loads(json.dumps(document))


def pool_document(pool: Pool) -> dict[str, Any]:
    """Return a pool without its name as a JSON-compatible dict."""
    document = asdict(pool)
    del document["name"]
    return json.loads(json.dumps(document))


def row_document(value: CatalogueEntry | Pool) -> dict[str, Any]:
    """Return an entry or pool without its name as a JSON-compatible dict."""
    if isinstance(value, CatalogueEntry):
        return entry_document(value)
    return pool_document(value)


def catalogue_document(catalogue: Catalogue) -> dict[str, Any]:
    """Return a complete catalogue as a JSON-compatible dict."""
    return {
        "pools": {pool.name: pool_document(pool) for pool in catalogue.pools},
        "entries": {entry.name: entry_document(entry) for entry in catalogue.entries},
    }


def render_json(document: dict[str, Any]) -> str:
    """Render a document as compact JSON with sorted keys."""
    return json.dumps(document, separators=(",", ":"), sort_keys=True)


def render_yaml(document: dict[str, Any]) -> str:
    """Render a document as YAML for operators."""
    return yaml.safe_dump(document, sort_keys=False, allow_unicode=True)


def _load(text: str | bytes) -> Result[Any, Failure]:
    if len(text) > MAX_DOCUMENT_BYTES:
        return _document_error("", f"a document of at most {MAX_DOCUMENT_BYTES} bytes")
    try:
        decoded_text = text.decode() if isinstance(text, bytes) else text
        if decoded_text.lstrip().startswith("{"):
            return Ok(json.loads(decoded_text, object_pairs_hook=_unique_keys))
        return Ok(yaml.load(decoded_text, Loader=_StrictLoader))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return _document_error("", f"a JSON or YAML document: {' '.join(str(error).split())}")


def _unique_keys(pairs: list[tuple[Hashable, Any]]) -> dict:
    mapping: dict = {}
    for key, value in pairs:
        if not isinstance(key, str):
            raise yaml.YAMLError(f"key {key!r} is not a string")
        if key in mapping:
            raise yaml.YAMLError(f"duplicate key {key!r}")
        mapping[key] = value
    return mapping


def _check_name(name: str, data: Any, path: str) -> Result[Any, Failure]:
    document = {"pools": {name: {"kind": "model"}}}
    check_result = _validate(CatalogueDocument, document, "")
    return (
        check_result.map(lambda _: data)
        if check_result.is_ok()
        else _document_error(
            path, "a name of 1 to 63 lower-case letters, digits, dots, dashes or underscores"
        )
    )


def _validate(model: type[_Document], data: Any, path: str) -> Result[Any, Failure]:
    try:
        return Ok(model.model_validate_json(json.dumps(data)))
    except ValidationError as error:
        return Err(problems_failure([_to_problem(path, each) for each in error.errors()]))
    except (TypeError, ValueError):
        return _document_error(path, "only keys and values that JSON allows")


def _to_problem(path: str, error: Any) -> Problem:
    keys = [str(key) for key in error["loc"] if key != "[key]"]
    problem_path = ".".join(([path] if path else []) + keys)
    key_description = next(
        (
            _DESCRIPTIONS_BY_KEY[key]
            for key in reversed(keys[0 if path else 2 :])
            if key in _DESCRIPTIONS_BY_KEY
        ),
        "",
    )
    if error["type"] == "extra_forbidden":
        return Problem(problem_path, "a known key")
    shown_input = repr(error["input"])[:MAX_SHOWN_INPUT_CHARACTERS]
    expectation = error["msg"].removeprefix("Input should be ")
    return Problem(
        problem_path,
        f"{expectation}{f' ({key_description})' if key_description else ''}, got {shown_input}",
    )


_DESCRIPTIONS_BY_KEY = {
    name: info.description
    for model in (LimitsDocument, EntryDocument, PoolDocument)
    for name, info in model.model_fields.items()
    if info.description
}


def _misplaced_keys(path: str, entry: EntryDocument) -> list[Problem]:
    if entry.request_class is RequestClass.ROLLOUT:
        return []
    return [
        Problem(f"{path}.{key}", "this key only if request_class is rollout")
        for key in ROLLOUT_KEYS
        if key in entry.model_fields_set
    ]


def _build_entry(name: str, document: EntryDocument) -> CatalogueEntry:
    values = document.model_dump(exclude={"limits"})
    return CatalogueEntry(name=name, limits=Limits(**document.limits.model_dump()), **values)


def _build_pool(name: str, document: PoolDocument) -> Pool:
    return Pool(name=name, **document.model_dump())


def _document_error(path: str, expected: str) -> Err[Failure]:
    return Err(problems_failure([Problem(path, expected)]))
