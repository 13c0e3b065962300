"""Checks of a whole catalogue: what one row cannot show by itself."""

from collections.abc import Iterator
from dataclasses import dataclass

from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, Pool, RequestClass
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import EndpointKind

MAX_SHARE_RATIO = 100.0
MAX_SHOWN_PROBLEMS = 20


@dataclass(frozen=True, slots=True)
class Problem:
    """A fault at the key `path` and what is expected there."""

    path: str
    expected: str

    def __str__(self) -> str:
        """Return the line that operators see."""
        return f"{self.path or 'document'}: expected {self.expected}"


def problems_failure(problems: list[Problem]) -> Failure:
    """Return the failure that lists the problems, one a line."""
    lines = [str(each) for each in problems[:MAX_SHOWN_PROBLEMS]]
    if len(problems) > MAX_SHOWN_PROBLEMS:
        lines.append(f"and {len(problems) - MAX_SHOWN_PROBLEMS} more")
    return Failure(ResultCode.BAD_CATALOGUE, "\n".join(lines))


def check_catalogue(catalogue: Catalogue) -> list[Problem]:
    """Return every problem between the rows of a catalogue."""
    pools = {pool.name: pool for pool in catalogue.pools}
    entries = {entry.name: entry for entry in catalogue.entries}
    problems = list(_duplicates("entries", [each.name for each in catalogue.entries]))
    problems += _duplicates("pools", [each.name for each in catalogue.pools])
    for pool in catalogue.pools:
        problems += _check_pool(pool)
    for entry in catalogue.entries:
        problems += _check_entry(entry, pools)
        problems += _check_scorer(entry, entries, pools)
    problems += _check_shares(catalogue)
    return problems


def _duplicates(path: str, names: list[str]) -> Iterator[Problem]:
    for name in sorted({each for each in names if names.count(each) > 1}):
        yield Problem(f"{path}.{name}", "a name that is used once")


def _check_pool(pool: Pool) -> Iterator[Problem]:
    path = f"pools.{pool.name}"
    if len(set(pool.models)) != len(pool.models):
        yield Problem(f"{path}.models", "each model once")
    if pool.kind is EndpointKind.SERVICE and pool.models:
        yield Problem(f"{path}.models", "no models in a pool of kind service")
    if pool.kind is EndpointKind.SERVICE and pool.checks_fencing:
        yield Problem(f"{path}.checks_fencing", "false in a pool of kind service")


def _check_entry(entry: CatalogueEntry, pools: dict[str, Pool]) -> Iterator[Problem]:
    path = f"entries.{entry.name}"
    if not entry.pools or len(set(entry.pools)) != len(entry.pools):
        yield Problem(f"{path}.pools", "at least one pool and each pool once")
    for name in entry.pools:
        if name not in pools:
            yield Problem(f"{path}.pools", f"a pool of the catalogue, got {name!r}")
    if entry.limits.queue_seconds > entry.limits.deadline_seconds:
        yield Problem(f"{path}.limits.queue_seconds", "at most deadline_seconds (seconds)")
    if entry.request_class is RequestClass.ROLLOUT and not entry.idempotent:
        yield Problem(f"{path}.idempotent", "true if request_class is rollout")
    known = [pools[name] for name in entry.pools if name in pools]
    yield from _check_kinds(path, entry, known)


def _check_kinds(path: str, entry: CatalogueEntry, pools: list[Pool]) -> Iterator[Problem]:
    kinds = {pool.kind for pool in pools}
    if len(kinds) > 1:
        yield Problem(f"{path}.pools", "pools of one kind")
        return
    if entry.request_class is RequestClass.ROLLOUT and EndpointKind.SERVICE in kinds:
        yield Problem(f"{path}.pools", "pools of kind model if request_class is rollout")
    if EndpointKind.SERVICE in kinds and entry.model:
        yield Problem(f"{path}.model", "no model for pools of kind service")
    if entry.request_class is RequestClass.ROLLOUT and not entry.model:
        yield Problem(f"{path}.model", "the name of a model if request_class is rollout")
    for pool in pools:
        if entry.model and pool.models and entry.model not in pool.models:
            yield Problem(f"{path}.model", f"a model of pool {pool.name!r}, got {entry.model!r}")


def _check_scorer(
    entry: CatalogueEntry, entries: dict[str, CatalogueEntry], pools: dict[str, Pool]
) -> Iterator[Problem]:
    if not entry.scorer:
        return
    path = f"entries.{entry.name}.scorer"
    scorer = entries.get(entry.scorer)
    if scorer is None or scorer.firm != entry.firm:
        yield Problem(path, f"an entry of firm {entry.firm!r}, got {entry.scorer!r}")
    elif scorer.request_class is RequestClass.ROLLOUT:
        yield Problem(path, "an entry whose request_class is not rollout")


def _check_shares(catalogue: Catalogue) -> Iterator[Problem]:
    """Check firms against each other by their greatest share, and entries inside a firm."""
    firms: dict[str, dict[str, float]] = {}
    for entry in catalogue.entries:
        firms.setdefault(entry.firm, {})[f"entry {entry.name!r}"] = entry.share
    greatest = {f"firm {name!r}": max(shares.values()) for name, shares in firms.items()}
    for shares in (greatest, *firms.values()):
        smallest = min(shares, key=lambda name: shares[name], default="")
        if shares and max(shares.values()) > MAX_SHARE_RATIO * shares[smallest]:
            yield Problem(
                "entries", f"{smallest} to hold at least 1/{MAX_SHARE_RATIO:.0f} of any share"
            )
