"""Tests that read the catalogue and its change log from a table service in virtual time."""

from random import Random
from typing import Any

from pumicedeck.catalogue_documents import parse_catalogue
from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.catalogue_rows import (
    CATALOGUE_TABLE,
    LOG_TABLE,
    CatalogueChange,
    CatalogueRow,
    RowChange,
    apply_changes,
    encode_change,
    encode_head,
    encode_row,
    history_key,
    row_name_of,
    values_by_row_name,
)
from pumicedeck.catalogue_stores import CatalogueStore
from pumicedeck.clocks import VirtualTime
from pumicedeck.experiment_stores import ExperimentTableStore, StoreFaults, StoreService
from pumicedeck.platform_interfaces import Transaction, Write
from pumicedeck.results import ResultCode
from pumicedeck.tests.test_catalogue_documents import VALID_CATALOGUE


def _seed(service: StoreService, revision: int) -> None:
    catalogue = parse_catalogue(VALID_CATALOGUE).unwrap()
    writes = [Write(CATALOGUE_TABLE, "head", encode_head(revision))]
    for name, value in values_by_row_name(catalogue).items():
        row = CatalogueRow(name, value, revision)
        writes.append(Write(CATALOGUE_TABLE, name.key, encode_row(row)))
    changes = tuple(
        RowChange(name, None, value) for name, value in values_by_row_name(catalogue).items()
    )
    change = CatalogueChange(revision, f"c{revision}", "ana", "noon", changes)
    writes.append(Write(LOG_TABLE, history_key(revision), encode_change(change)))
    service.data.commit(Transaction((), tuple(writes)))


def _service() -> StoreService:
    return StoreService(VirtualTime(), Random(1), StoreFaults())


def _run(service: StoreService, call: Any, *arguments: Any) -> Any:
    results: list[Any] = []
    call(*arguments, results.append)
    service.timers.run_until(service.timers.now() + 60.0)
    assert len(results) == 1
    return results[0]


def test_an_empty_table_is_revision_zero() -> None:
    service = _service()
    loaded = _run(service, CatalogueStore(ExperimentTableStore(service)).load).unwrap()
    assert loaded.catalogue == Catalogue()


def test_load_returns_rows_and_revision() -> None:
    service = _service()
    _seed(service, 1)
    loaded = _run(service, CatalogueStore(ExperimentTableStore(service)).load).unwrap()
    assert loaded.catalogue == parse_catalogue(VALID_CATALOGUE, 1).unwrap()
    assert loaded.row(row_name_of(loaded.catalogue.pools[0])).revision == 1


def test_a_change_during_the_load_is_not_mixed_in() -> None:
    service = _service()
    _seed(service, 1)
    service.timers.call_later(0.015, lambda: _seed(service, 2))
    loaded = _run(service, CatalogueStore(ExperimentTableStore(service)).load).unwrap()
    assert loaded.revision == 2
    assert {row.revision for row in loaded.rows} == {2}


def test_changes_lead_from_one_revision_to_the_next_and_a_gap_is_reported() -> None:
    service = _service()
    store = CatalogueStore(ExperimentTableStore(service))
    _seed(service, 1)
    read = _run(service, store.read_changes, 0, 5).unwrap()
    assert read.head_revision == 1
    assert apply_changes(Catalogue(), read.changes) == parse_catalogue(VALID_CATALOGUE, 1)
    _seed(service, 3)
    assert _run(service, store.read_changes, 1, 3).unwrap_err().code is ResultCode.NOT_FOUND
    late = _run(service, store.read_changes, 2, 3).unwrap()
    assert apply_changes(Catalogue(1), late.changes).unwrap_err().code is ResultCode.NOT_FOUND


def test_a_store_that_is_down_is_reported() -> None:
    service = _service()
    service.down = True
    failed = _run(service, CatalogueStore(ExperimentTableStore(service)).load)
    assert failed.unwrap_err().code is ResultCode.STORE_UNAVAILABLE


def test_a_row_that_cannot_be_read_is_bad_catalogue() -> None:
    service = _service()
    service.data.commit(Transaction((), (Write(CATALOGUE_TABLE, "entry/x", b"{}"),)))
    failed = _run(service, CatalogueStore(ExperimentTableStore(service)).load)
    assert failed.unwrap_err().code is ResultCode.BAD_CATALOGUE
