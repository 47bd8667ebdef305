"""Detection of outages of the store from the results of calls."""

from __future__ import annotations

import os

from siskinlever._internal.exceptions import StoreUnavailableError
from siskinlever._internal.fleet.store_follower import StoreHealth
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.utils.clock import monotonic

ERROR = StoreUnavailableError("no answer")


def new_store_health() -> StoreHealth:
    metrics = Metrics()
    log = LogLines("host", metrics, os.open(os.devnull, os.O_WRONLY))
    return StoreHealth(log, metrics)


def test_failed_call_starts_an_outage_and_successful_call_ends_it():
    store_health = new_store_health()
    store_health.record_failure(ERROR, monotonic(), "list-runners")
    assert store_health.is_down
    before = monotonic()
    store_health.record_success()
    assert not store_health.is_down and store_health.outage_ended_at >= before


def test_late_failure_of_a_call_made_before_the_outage_ended_is_ignored():
    store_health = new_store_health()
    requested_at = monotonic()
    store_health.record_failure(ERROR, requested_at, "list-runners")
    store_health.record_success()
    ended_at = store_health.outage_ended_at
    store_health.record_failure(ERROR, requested_at, "list-runners")
    assert not store_health.is_down
    store_health.record_success()
    assert store_health.outage_ended_at == ended_at
