"""What runners state about themselves, also in values that make no sense."""

from __future__ import annotations

import time
from email.utils import formatdate

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinlever._internal.network.http1_client import AnswerHead
from siskinlever._internal.platform.statements import MAX_PAUSE_S, runner_statement


def answer(status: int = 200, **values: str) -> AnswerHead:
    """Return the head of an answer; underscores in names stand for hyphens."""
    headers = tuple(
        (name.replace("_", "-").encode(), value.encode("latin-1"))
        for name, value in values.items()
    )
    return AnswerHead(status, headers)


@pytest.mark.parametrize(
    ("text", "limit"), [("3.2", 3.2), ("0", 0.0), ("12", 12.0), ("1e9", 1e9)]
)
def test_limit_is_decoded(text, limit):
    statement = runner_statement(answer(Server_Limit=text))
    assert statement.limit_per_s == limit
    assert statement.is_limit_valid and not statement.invalid


@pytest.mark.parametrize("text", ["", "many", "-1", "nan", "inf", "1,5", "3 2"])
def test_limit_that_makes_no_sense_changes_nothing(text):
    statement = runner_statement(answer(Server_Limit=text))
    assert not statement.is_limit_valid
    assert "Server-Limit" in statement.invalid[0]


def test_answer_without_statements_states_that_there_is_no_limit():
    statement = runner_statement(answer())
    assert statement.limit_per_s is None and statement.is_limit_valid
    assert not statement.is_leaving and statement.pause_s is None


@pytest.mark.parametrize(
    ("text", "is_leaving", "is_valid"),
    [("1", True, True), ("0", False, True), ("yes", False, False)],
)
def test_leaving_is_decoded(text, is_leaving, is_valid):
    statement = runner_statement(answer(Server_Leaving=text))
    assert statement.is_leaving == is_leaving
    assert bool(statement.invalid) != is_valid


@pytest.mark.parametrize(
    ("text", "pause_s"),
    [("2", 2.0), ("0.25", 0.25), ("0", 0.0), ("1e12", MAX_PAUSE_S)],
)
def test_pause_is_decoded(text, pause_s):
    assert runner_statement(answer(503, Retry_After=text)).pause_s == pause_s


def test_pause_until_a_date_is_decoded():
    later = formatdate(time.time() + 30, usegmt=True)
    pause_s = runner_statement(answer(503, Retry_After=later)).pause_s
    assert pause_s == pytest.approx(30, abs=2)
    earlier = formatdate(time.time() - 30, usegmt=True)
    assert runner_statement(answer(503, Retry_After=earlier)).pause_s == 0.0


@pytest.mark.parametrize("text", ["soon", "-3", "nan", "inf", ""])
def test_pause_that_makes_no_sense_is_ignored(text):
    statement = runner_statement(answer(503, Retry_After=text))
    assert statement.pause_s is None
    assert "Retry-After" in statement.invalid[0]


def test_pause_counts_only_in_rejections():
    assert runner_statement(answer(200, Retry_After="5")).pause_s is None


@given(st.text(st.characters(max_codepoint=255)))
def test_any_value_is_decoded_or_reported(text):
    values = dict.fromkeys(("Server_Limit", "Server_Leaving", "Retry_After"), text)
    statement = runner_statement(answer(503, **values))
    assert statement.limit_per_s is None or statement.limit_per_s >= 0
    assert statement.pause_s is None or 0 <= statement.pause_s <= MAX_PAUSE_S
