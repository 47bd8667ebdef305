"""Tests of the goodput limit of a pool and of the accounting of a run."""

from __future__ import annotations

import pytest

from siskinlever._internal.utils.digests import content_digest
from siskinlever_testbed.bench.accounting import prefill_shares, slots_exceeded
from siskinlever_testbed.bench.generator import Result
from siskinlever_testbed.bench.limit import Demand, best_worth, capacity, limit
from siskinlever_testbed.bench.workloads import ATELIER, BROSUR, Arrival, arrivals


def test_best_worth_is_that_of_the_best_mix():
    # Both resources are scarce: x + y = 10 and 2 x + y = 14.
    demands = [Demand(9.0, 3.0, 1.0, 2.0), Demand(9.0, 2.0, 1.0, 1.0)]
    assert best_worth(demands, 10.0, 14.0) == pytest.approx(4 * 3 + 6 * 2)
    # Only prefill is scarce: the kind with the most worth per second of prefill wins.
    assert best_worth(demands, 6.0, 99.0) == pytest.approx(18.0)
    # Neither is scarce: all offered requests are served.
    assert best_worth(demands, 99.0, 99.0) == pytest.approx(45.0)


@pytest.mark.parametrize("workload", [ATELIER, BROSUR])
def test_limit_is_the_offered_worth_up_to_the_capacity(workload):
    rate = capacity(workload)
    offered = sum(kind.share * kind.worth for kind in workload.kinds)
    assert limit(workload, 0.7 * rate) == pytest.approx(0.7 * rate * offered)
    assert limit(workload, rate) == pytest.approx(rate * offered)
    assert limit(workload, 1.5 * rate) < 1.5 * rate * offered


def test_arrivals_are_reproducible_by_seed():
    first, again, other = (
        list(arrivals(BROSUR, 30.0, 2.0, seed)) for seed in (7, 7, 8)
    )
    assert first == again
    assert first != other


def test_prefill_without_answer_is_wasted_and_with_late_answer_is_late():
    kind = ATELIER.kinds[0]
    results = [Result(Arrival(f"q{n}", 0.0, kind, "p")) for n in range(3)]
    results[0].correct, results[0].first_token_at_s = True, 0.5
    results[1].correct, results[1].first_token_at_s = True, 0.9
    entries = []
    for result in results:
        key = f"atelier/{result.arrival.request_id}".encode()
        name = f"host-1~1~{content_digest(key)[:16]}~1~0"
        entries.append({"fact": "prefilled", "request_id": name, "tokens": 100})
        entries.append({"fact": "finished", "request_id": name})
    entries.append(entries[0] | {"request_id": entries[0]["request_id"] + "again"})
    assert prefill_shares(results, entries, ATELIER) == (0.5, 0.25)


def test_slots_exceeded_is_the_maximum_over_time():
    entries = [
        {"fact": fact, "runner": "d0", "at": float(at)}
        for at, fact in enumerate(["held", "held", "held", "released", "held"])
    ]
    assert slots_exceeded(entries, 2) == 1
    assert slots_exceeded(entries, 3) == 0
