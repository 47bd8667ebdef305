"""End-to-end requests through a fleet of separate processes."""

from __future__ import annotations

import pytest

from siskinlever_testbed.client import Caller
from siskinlever_testbed.fleet import caller_key
from siskinlever_testbed.plans import SMALL_PLAN
from siskinlever_testbed.standins.answers import answer_text

PROMPT = "Review the brief of the ferry poster against the house style."


@pytest.mark.system
async def test_streamed_answer_is_complete(start_fleet):
    async with start_fleet(SMALL_PLAN) as fleet:
        caller = Caller(fleet.session, caller_key("atelier"))
        place = fleet.endpoints_by_host["host-1"]
        hosts = await caller.hosts(place.callers, zone=place.zone)
        address = hosts[0]["address"]
        reply = await caller.complete(address, "brief-review", PROMPT, 30)
    assert len(hosts) == SMALL_PLAN.hosts
    assert reply.outcome == "answered"
    assert reply.text == answer_text(PROMPT, 30)


@pytest.mark.system
async def test_prefill_and_decode_run_on_separate_runners(start_fleet):
    async with start_fleet(SMALL_PLAN) as fleet:
        caller = Caller(fleet.session, caller_key("atelier"))
        address = fleet.endpoints_by_host["host-2"].callers
        await caller.complete(address, "lookup", PROMPT, 5, stream=False)
        facts = fleet.records("critique-models")
    role_by_runner = {
        runner["name"]: runner["role"]
        for runner in fleet.runners_by_pool["critique-models"]
    }
    ran = {(fact["fact"], role_by_runner[fact["runner"]]) for fact in facts}
    assert ("prefilled", "prefill") in ran
    assert ("finished", "decode") in ran
    assert ("finished", "prefill") not in ran
