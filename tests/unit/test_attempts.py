"""AttemptTable grants at most one completion despite lost or late messages."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from siskinlever._internal.requests.attempts import (
    AttemptState,
    AttemptTable,
    Decision,
    Entry,
    GenerationHandle,
)

KEY = "atelier/proof-1"
HANDLE = GenerationHandle("runner-1", "127.0.0.1:1", "generation-1")


def entry(nonce, attempt=1, **fields):
    return Entry("host-1", 1, attempt, nonce, "digest", **fields)


def test_second_attempt_takes_over_with_handles():
    table = AttemptTable()
    table.register(KEY, entry("a"))
    table.hold(KEY, entry("a", handles=(HANDLE,)))
    registration = table.register(KEY, entry("b", 0))
    assert registration.decision is Decision.TAKE_OVER
    assert registration.entry.handles == (HANDLE,)
    assert registration.entry.attempt == 2
    assert not table.complete(KEY, "a")
    assert table.complete(KEY, "b")


@pytest.mark.parametrize("ran", [True, False])
def test_retry_reports_whether_earlier_attempt_ran(ran):
    table = AttemptTable()
    table.register(KEY, entry("a"))
    assert not table.abandon(KEY, "a", ran)
    retry = table.register(KEY, entry("b", 2))
    assert (retry.decision, retry.entry.ran) == (Decision.START, ran)


def test_repeated_register_returns_same_attempt():
    table = AttemptTable()
    table.register(KEY, entry("a"))
    first = table.register(KEY, entry("b", 2))
    again = table.register(KEY, entry("b", 9))
    assert again.entry is first.entry
    assert again.entry.previous_host == "host-1"


def test_later_attempt_does_not_replace_answered_entry():
    table = AttemptTable()
    table.register(KEY, entry("b", 7))
    table.merge(KEY, entry("a", 1, state=AttemptState.ANSWERED))
    assert not table.complete(KEY, "b")
    answered = table.register(KEY, entry("c", 9))
    assert answered.decision is Decision.ALREADY_ANSWERED


def test_late_copy_from_home_does_not_remove_handles():
    table = AttemptTable()
    table.hold(KEY, entry("a", handles=(HANDLE,)))
    table.hold(KEY, entry("a"))
    assert table.by_key[KEY].handles == (HANDLE,)


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["register", "complete", "abandon", "lose_home", "late_hold"]),
        st.integers(0, 5),
    ),
    max_size=40,
)


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(OPERATIONS)
def test_at_most_one_completion_is_granted(operations):
    """A backup hands its entries over to a new home after the first home is lost."""
    home, backup = AttemptTable(), AttemptTable()
    granted = set()
    for number, (operation, nonce_number) in enumerate(operations):
        nonce = f"nonce-{nonce_number}"
        if operation == "register":
            known = home.register(KEY, entry(nonce, number)).entry
            backup.hold(KEY, replace(known))
        if operation == "abandon":
            home.abandon(KEY, nonce, ran=True)
        if operation == "late_hold":
            home.hold(KEY, entry(nonce, nonce_number))
        if operation == "lose_home":
            home = AttemptTable()
            for key, kept in backup.by_key.items():
                home.merge(key, replace(kept))
        known = home.by_key.get(KEY)
        if operation == "complete" and known is not None and known.nonce == nonce:
            answered = replace(known, state=AttemptState.ANSWERED)
            if backup.hold(KEY, answered) and home.complete(KEY, nonce):
                granted.add(nonce)
    assert len(granted) <= 1


def test_replica_remembers_that_replaced_attempt_may_have_run():
    """The entry still records that the replaced attempt may have run.

    Two hosts that wrongly mark each other dead register the same request, so
    neither home has the other's attempt.
    """
    table = AttemptTable()
    assert table.hold(KEY, entry("a", 1))
    assert table.hold(KEY, entry("b", 2))
    assert table.by_key[KEY].ran


@pytest.mark.parametrize("ran", [True, False])
def test_replica_reports_run_only_if_ended_attempt_ran(ran):
    table = AttemptTable()
    table.hold(KEY, entry("a", 1))
    table.abandon(KEY, "a", ran)
    table.hold(KEY, entry("b", 2))
    assert table.by_key[KEY].ran is ran
