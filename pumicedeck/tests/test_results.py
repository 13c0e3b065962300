"""Tests of the result codes, their properties and their page."""

from pathlib import Path

from pumicedeck.results import Execution, Failure, ResultCode, result_code_table

PAGE = Path(__file__).parents[2] / "docs" / "RESULT-CODES.md"


def test_every_code_has_its_properties_and_a_valid_status() -> None:
    for code in ResultCode:
        assert 200 <= code.info.http_status < 600
        assert code.info.meaning.endswith(".")


def test_no_code_of_the_unknown_range_claims_that_nothing_ran() -> None:
    unknown = [code for code in ResultCode if 300 <= code < 400]
    assert unknown
    assert all(code.info.execution is not Execution.NOT_RUN for code in unknown)


def test_a_proof_overrides_the_code() -> None:
    failure = Failure(ResultCode.DEADLINE_EXCEEDED, proven_not_run=True)
    assert failure.execution is Execution.NOT_RUN


def test_the_page_holds_the_table_of_the_code() -> None:
    assert result_code_table() in PAGE.read_text(encoding="utf-8")
