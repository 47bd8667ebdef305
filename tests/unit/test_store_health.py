"""Detection of outages of the store from the results of calls."""

from __future__ import annotations

import pytest
from lib.discarded_log import DISCARDED_LOG

from siskinlever._internal.exceptions import StoreUnavailableError
from siskinlever._internal.fleet.store_health import StoreHealth
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.utils.clock import monotonic

ERROR = StoreUnavailableError("no answer")


@pytest.fixture
def store_health() -> StoreHealth:
    metrics = Metrics()
    log = LogLines("host", metrics, DISCARDED_LOG)
    return StoreHealth(log, metrics)


def fail(store_health: StoreHealth, requested_at: float) -> None:
    store_health.record_failure(ERROR, requested_at, "list-runners")


def test_two_calls_that_fail_in_turn_start_an_outage_and_a_success_ends_it(
    store_health,
):
    fail(store_health, monotonic())
    fail(store_health, monotonic())
    assert store_health.is_down
    before = monotonic()
    store_health.record_success()
    assert not store_health.is_down and store_health.outage_ended_at >= before


def test_one_call_that_fails_is_no_outage(store_health):
    ended_at = store_health.outage_ended_at
    for _ in range(3):
        fail(store_health, monotonic())
        store_health.record_success()
    assert not store_health.is_down and store_health.outage_ended_at == ended_at


def test_calls_whose_connections_are_lost_at_the_same_moment_are_no_outage(
    store_health,
):
    requested_at = monotonic()
    for _ in range(3):
        fail(store_health, requested_at)
    assert not store_health.is_down


def test_watches_that_fail_are_no_outage(store_health):
    for _ in range(5):
        store_health.record_lost_watch(ERROR, monotonic())
    assert not store_health.is_down
    fail(store_health, monotonic())
    store_health.record_lost_watch(ERROR, monotonic())
    assert not store_health.is_down


def test_late_failure_of_a_call_made_before_the_outage_ended_is_ignored(store_health):
    requested_at = monotonic()
    fail(store_health, requested_at)
    fail(store_health, monotonic())
    store_health.record_success()
    ended_at = store_health.outage_ended_at
    fail(store_health, requested_at)
    fail(store_health, requested_at)
    assert not store_health.is_down
    store_health.record_success()
    assert store_health.outage_ended_at == ended_at
