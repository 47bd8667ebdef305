"""Load above the capacity of the pool for a few seconds."""

from __future__ import annotations

import pytest

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
    failed = [r for r in results if r.reply.outcome == "may_have_run"]
    # Without the prompts, which fill the report.
    assert details.failed == 0, [(r.arrival.request_id, r.reply) for r in failed]
    assert row.answered > 0
    assert slots_exceeded(facts, BROSUR.engines.slots) == 0
