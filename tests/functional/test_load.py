"""Load above the capacity of the pool for a few seconds."""

from __future__ import annotations

import pytest
from lib.failure_evidence import clock_time

from siskinlever_testbed.bench.accounting import Window, lost_requests, slots_exceeded
from siskinlever_testbed.bench.experiment import Experiment, run_load
from siskinlever_testbed.bench.scenarios import SCENARIO_BY_NAME
from siskinlever_testbed.bench.workloads import BROSUR


@pytest.mark.system
async def test_overload_loses_no_request_and_stays_within_slots(start_fleet):
    experiment = Experiment(
        SCENARIO_BY_NAME["load-1.5"], BROSUR, "siskinlever", 11, Window(0.0, 3.0)
    )
    async with start_fleet(BROSUR.plan("siskinlever")) as fleet:
        row, details, results = await run_load(experiment, fleet)
        facts = fleet.records(BROSUR.engines.pool)
    assert lost_requests(results) == []
    assert row.doubled == 0
    failed = [
        f"{r.arrival.request_id}: {r.reply.status}, {r.reply.error}, "
        f"{r.reply.elapsed_s:.2f} s to {clock_time(r.reply.ended_at)}"
        for r in results
        if r.reply.outcome == "may_have_run"
    ]
    assert details.failed == 0, "\n".join(failed)
    assert row.answered > 0
    assert slots_exceeded(facts, BROSUR.engines.slots) == 0
