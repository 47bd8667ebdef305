"""Requests to a host that has just resumed from a pause of about a second."""

from __future__ import annotations

import asyncio

import pytest

from siskinlever_testbed.client import Caller
from siskinlever_testbed.fleet import caller_key
from siskinlever_testbed.plans import ATELIER_ZONES, EnginePlan, FleetPlan, ServicePlan

PLAN = FleetPlan(
    hosts=4,
    zones=ATELIER_ZONES,
    engines=(EnginePlan("critique-models", prefill=1, decode=1, token_time_s=0.005),),
    services=(ServicePlan("stock-list", runners=2, idempotent=True),),
    models=({"name": "lookup", "pool": "critique-models", "first_token_s": 3.0},),
)
# Longer than `pauses.MAX_GAP_S`, too short for the others to mark the host dead.
PAUSE_S = 1.0
REQUESTS = 10


@pytest.mark.system
async def test_host_that_resumes_from_a_pause_answers_requests(start_fleet):
    """They wait until it knows that it is not cut off, and are not refused."""
    async with start_fleet(PLAN) as fleet:
        caller = Caller(fleet.session, caller_key("atelier"))
        place, process = fleet.endpoints_by_host["host-2"], fleet.process_by_name
        await caller.call_service(place.callers, "stock-list", {}, "before")
        process["host-2"].freeze()
        await asyncio.sleep(PAUSE_S)
        process["host-2"].thaw()
        # Lets the host find out that it was paused.
        await asyncio.sleep(0.3)
        calls = [
            caller.call_service(place.callers, "stock-list", {}, f"after-{number}")
            for number in range(REQUESTS)
        ]
        replies = await asyncio.gather(
            *calls, caller.complete(place.callers, "lookup", "Which stock?", 5)
        )
    assert [r for r in replies if r.outcome != "answered"] == []
