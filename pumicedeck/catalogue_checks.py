"""Checks that a complete catalogue satisfies the rules for each row and between rows."""

from collections.abc import Iterator
from dataclasses import dataclass

from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, Pool, RequestClass
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import EndpointKind

MAX_SHARE_RATIO = 100.0
MAX_SHOWN_PROBLEMS = 20


@dataclass(frozen=True, slots=True)
class Problem:
    """One invalid key of a catalogue document: its dotted path and the value expected there."""

    path: str
    expected: str

    def __str__(self) -> str:
        """Return the line that is shown to operators."""
        return f"{self.path or 'document'}: expected {self.expected}"


def problems_failure(problems: list[Problem]) -> Failure:
    """Return a BAD_CATALOGUE failure that lists the problems, one per line, at most 20 of them."""
    lines = [str(each) for each in problems[:MAX_SHOWN_PROBLEMS]]
    if len(problems) > MAX_SHOWN_PROBLEMS:
        lines.append(f"and {len(problems) - MAX_SHOWN_PROBLEMS} more")
    return Failure(ResultCode.BAD_CATALOGUE, "\n".join(lines))


def check_catalogue(catalogue: Catalogue) -> list[Problem]:
    """Return every problem found in the rows of a catalogue, an empty list if it is valid."""
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
        yield Problem(f"{path}.{name}", "a unique name")


def _check_pool(pool: Pool) -> Iterator[Problem]:
    path = f"pools.{pool.name}"
    if len(set(pool.models)) != len(pool.models):
        yield Problem(f"{path}.models", "each model listed once")
    if pool.kind is EndpointKind.SERVICE and pool.models:
        yield Problem(f"{path}.models", "no models in a pool of kind service")
    if pool.kind is EndpointKind.SERVICE and pool.checks_fencing:
        yield Problem(f"{path}.checks_fencing", "false in a pool of kind service")


def _check_entry(entry: CatalogueEntry, pools: dict[str, Pool]) -> Iterator[Problem]:
    path = f"entries.{entry.name}"
    if not entry.pools or len(set(entry.pools)) != len(entry.pools):
        yield Problem(f"{path}.pools", "at least one pool, each listed once")
    for name in entry.pools:
        if name not in pools:
            yield Problem(f"{path}.pools", f"a pool of the catalogue, got {name!r}")
    if entry.limits.queue_seconds > entry.limits.deadline_seconds:
        yield Problem(f"{path}.limits.queue_seconds", "at most the value of deadline_seconds")
    if entry.request_class is RequestClass.ROLLOUT and not entry.idempotent:
        yield Problem(f"{path}.idempotent", "true if request_class is rollout")
    known_pools = [pools[name] for name in entry.pools if name in pools]
    yield from _check_kinds(path, entry, known_pools)


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
    """Check the ratio of the largest to the smallest share, between firms and within each firm.

    A firm counts with the largest share of its entries. Ratios above MAX_SHARE_RATIO are refused.
    """
    shares_by_firm: dict[str, dict[str, float]] = {}
    for entry in catalogue.entries:
        shares_by_firm.setdefault(entry.firm, {})[f"entry {entry.name!r}"] = entry.share
    greatest_shares = {
        f"firm {name!r}": max(shares.values()) for name, shares in shares_by_firm.items()
    }
    for shares in (greatest_shares, *shares_by_firm.values()):
        smallest_name = min(shares, key=lambda name: shares[name], default="")
        if shares and max(shares.values()) > MAX_SHARE_RATIO * shares[smallest_name]:
            yield Problem(
                "entries",
                f"{smallest_name} to have at least 1/{MAX_SHARE_RATIO:.0f} of the largest share",
            )
