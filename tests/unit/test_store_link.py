"""Detection of outages of the store from the results of calls."""

from __future__ import annotations

import os

from siskinlever._internal.exceptions import StoreUnavailableError
from siskinlever._internal.fleet.store_follower import StoreLink
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.utils.clock import monotonic

ERROR = StoreUnavailableError("no answer")


def new_link() -> StoreLink:
    metrics = Metrics()
    log = LogLines("host", metrics, os.open(os.devnull, os.O_WRONLY))
    return StoreLink(log, metrics)


def test_failed_call_starts_an_outage_and_successful_call_ends_it():
    link = new_link()
    link.record_failure(ERROR, requested_at=monotonic())
    assert link.is_down
    before = monotonic()
    link.record_success()
    assert not link.is_down and link.outage_ended_at >= before


def test_late_failure_of_a_call_made_before_the_outage_ended_is_ignored():
    link = new_link()
    requested_at = monotonic()
    link.record_failure(ERROR, requested_at=requested_at)
    link.record_success()
    ended_at = link.outage_ended_at
    link.record_failure(ERROR, requested_at=requested_at)
    assert not link.is_down
    link.record_success()
    assert link.outage_ended_at == ended_at
