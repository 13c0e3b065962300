"""Tests of catalogue documents and of the checks between catalogue rows."""

from pathlib import Path

import pytest

from pumicedeck.catalogue_documents import (
    catalogue_document,
    parse_catalogue,
    parse_fragment,
    render_json,
    render_yaml,
)
from pumicedeck.catalogue_rows import decode_copy, encode_copy
from pumicedeck.results import ResultCode

VALID_CATALOGUE = """
pools:
  tuner-gen: {kind: model, checks_fencing: true, models: [tuner]}
  booking-app: {kind: service}
entries:
  booking:
    firm: Tainan Acoustic Lab Rentals
    request_class: interactive
    pools: [booking-app]
    idempotent: false
    limits: {queue_seconds: 2, deadline_seconds: 10}
  tuner:
    firm: Tainan Acoustic Lab Rentals
    request_class: rollout
    pools: [tuner-gen]
    model: tuner
    staleness_bound: 2
    scorer: booking
"""


def test_a_catalogue_survives_rendering_in_each_form() -> None:
    catalogue = parse_catalogue(VALID_CATALOGUE, 7).unwrap()
    document = catalogue_document(catalogue)
    assert catalogue.revision == 7
    assert catalogue.entry("booking").limits.deadline_seconds == 10.0
    for text in (render_json(document), render_yaml(document)):
        assert parse_catalogue(text, 7).unwrap() == catalogue
    assert decode_copy(encode_copy(catalogue)).unwrap() == catalogue


@pytest.mark.parametrize(
    ("old", "new", "path", "expected"),
    [
        ("queue_seconds: 2", "queue_second: 2", "entries.booking.limits.queue_second", "known key"),
        ("queue_seconds: 2", "queue_seconds: -2", "entries.booking.limits.queue_seconds", "second"),
        ("queue_seconds: 2", "queue_seconds: 11", "entries.booking.limits.queue_seconds", "most"),
        ("queue_seconds: 2", "queue_seconds: .inf", "entries.booking.limits.queue_seconds", "fin"),
        ("queue_seconds: 2", "queue_seconds: '2'", "entries.booking.limits.queue_seconds", "num"),
        ("interactive", "fast", "entries.booking.request_class", "'interactive', 'batch'"),
        ("idempotent: false", "idempotent: 0", "entries.booking.idempotent", "boolean"),
        ("idempotent: false", "staleness_bound: 1", "entries.booking.staleness_bound", "only if"),
        ("idempotent: false", "share: 0", "entries.booking.share", "0.01"),
        ("idempotent: false", "model: tuner", "entries.booking.model", "no model"),
        ("[booking-app]", "[]", "entries.booking.pools", "at least 1 item"),
        ("[booking-app]", "[gone]", "entries.booking.pools", "a pool of the catalogue, got 'gone'"),
        ("[booking-app]", "[booking-app, tuner-gen]", "entries.booking.pools", "of one kind"),
        ("[tuner-gen]", "[booking-app]", "entries.tuner.pools", "of kind model"),
        ("staleness_bound: 2", "idempotent: false", "entries.tuner.idempotent", "true"),
        ("model: tuner\n", "model: other\n", "entries.tuner.model", "a model of pool 'tuner-gen'"),
        ("scorer: booking", "scorer: nobody", "entries.tuner.scorer", "an entry of firm"),
        ("kind: service", "kind: model, models: [a, a]", "pools.booking-app.models", "each model"),
        (
            "{kind: service}",
            "{kind: service, models: [a]}",
            "pools.booking-app.models",
            "no models",
        ),
        ("  tuner:", "  Tuner:", "entries.Tuner", "match pattern"),
        ("  tuner:", "  booking:", "document", "duplicate key 'booking'"),
        ("  tuner:", "  7:", "document", "not a string"),
        ("kind: service", "kind: 2026-01-01", "pools.booking-app.kind", "'model' or 'service'"),
        ("[booking-app]", "&a [*a]", "document", "aliases"),
        ("pools:", "pools: [", "document", "JSON or YAML document"),
    ],
)
def test_a_fault_is_named_by_its_path(old: str, new: str, path: str, expected: str) -> None:
    assert old in VALID_CATALOGUE
    failure = parse_catalogue(VALID_CATALOGUE.replace(old, new, 1)).unwrap_err()
    assert failure.code is ResultCode.BAD_CATALOGUE
    line = next(each for each in failure.detail.splitlines() if each.startswith(f"{path}: "))
    assert expected in line


def test_a_fragment_may_name_pools_that_it_does_not_hold() -> None:
    entries = "entries:" + VALID_CATALOGUE.partition("entries:")[2]
    assert len(parse_fragment(entries).unwrap().entries) == 2
    assert "a pool of the catalogue" in parse_catalogue(entries).unwrap_err().detail
    assert parse_fragment(entries.replace("2", "-2")).is_err()


def test_a_firm_is_weighed_by_its_greatest_share() -> None:
    text = VALID_CATALOGUE.replace("staleness_bound: 2", "share: 50") + (
        "  big: {firm: big, request_class: batch, pools: [booking-app], share: 100}\n"
    )
    assert parse_catalogue(text).is_ok()
    text = VALID_CATALOGUE.replace("idempotent: false", "share: 0.01").replace(
        "staleness_bound", "share"
    )
    assert (
        "entry 'booking' to have at least 1/100 of the largest share"
        in parse_catalogue(text).unwrap_err().detail
    )


def test_the_example_for_operators_is_valid() -> None:
    root = Path(__file__).parents[2]
    example = (root / "examples" / "catalogue.yaml").read_bytes()
    assert len(parse_catalogue(example).unwrap().pools) == 4
    page = (root / "docs" / "CATALOGUE.md").read_text()
    blocks = [block.partition("```")[0] for block in page.split("```yaml")[1:]]
    assert [len(parse_catalogue(block).unwrap().entries) for block in blocks] == [3, 3]


def test_a_firm_with_too_small_a_share_is_refused() -> None:
    entries = VALID_CATALOGUE.replace("idempotent: false", "idempotent: false\n    share: 0.01")
    entries = entries.replace("staleness_bound: 2", "share: 0.01")
    added = "  big: {firm: big, request_class: batch, pools: [booking-app], share: 100}\n"
    assert "1/100" in parse_catalogue(entries + added).unwrap_err().detail


@pytest.mark.parametrize("cut", [0, 1, 20, -1])
def test_a_copy_that_is_cut_short_is_refused(cut: int) -> None:
    data = encode_copy(parse_catalogue(VALID_CATALOGUE).unwrap())
    assert decode_copy(data[:cut]).unwrap_err().code is ResultCode.BAD_CATALOGUE
