"""Steps of the shutdown feature."""

from __future__ import annotations

import asyncio

import pytest
from lib.world import running_world
from pytest_bdd import given, scenarios, then, when

from siskinlever_testbed.plans import ATELIER_ZONES, EnginePlan, FleetPlan, ServicePlan
from siskinlever_testbed.standins.answers import answer_text

pytestmark = pytest.mark.system
scenarios("features/shutdown.feature")

# Longer than 15 s, Sanic's default GRACEFUL_SHUTDOWN_TIMEOUT.
REQUEST_DURATION_S = 27.0
TOKEN_INTERVAL_S = 0.05
TOKENS = int(REQUEST_DURATION_S / TOKEN_INTERVAL_S)
PLAN = FleetPlan(
    hosts=4,
    zones=ATELIER_ZONES,
    engines=(EnginePlan("critique-models", 1, 2, token_time_s=TOKEN_INTERVAL_S),),
    services=(ServicePlan("client-portal", runners=1, delay_s=REQUEST_DURATION_S),),
    models=(
        {"name": "brief-review", "pool": "critique-models"},
        {"name": "draft", "pool": "critique-models", "urgency": "deferrable"},
    ),
)
EXIT_TIMEOUT_S = 10.0


@pytest.fixture
def world(tmp_path):
    with running_world(PLAN, tmp_path) as world:
        yield world


@given(
    "a streamed request, a non-streamed request and a delivery of 27 s each at host-1"
)
def long_requests(world):
    caller, address = world.caller(), world.address("host-1")
    for stream in (True, False):
        prompt = f"Streamed: {stream}"
        work = caller.complete(address, "brief-review", prompt, TOKENS, stream=stream)
        world.begin(work)
    world.begin(caller.call_service(address, "client-portal", "proof", "long"))


@given("a draft of 27 s that host-1 accepted")
def draft(world):
    body = {"model": "draft", "prompt": "Draft.", "max_tokens": TOKENS}
    headers = {"Prefer": "respond-async", "X-Request-Id": "draft"}
    status, _, _ = world.request(
        "POST", "host-1", "/v1/completions", json=body, headers=headers
    )
    assert status == 202


@when("host-1 receives SIGTERM after 1 s and lookups omit it within 5 s")
def stop(world):
    world.run(asyncio.sleep(1))
    world.fleet.process_by_name["host-1"].leave()
    hosts_in_lookup = lambda: [
        h["host"] for h in world.get("host-2", "/v1/hosts")[1]["hosts"]
    ]
    world.until(lambda: "host-1" not in hosts_in_lookup(), within_s=5)


@when("a caller with an outdated lookup sends a request to host-1 during the shutdown")
def send_late_request(world):
    caller, address = world.caller(), world.address("host-1")
    world.notes["late"] = world.run(caller.complete(address, "brief-review", "L.", 40))


@then("that request is answered completely")
def late_answered(world):
    assert world.notes["late"].text == answer_text("L.", 40)
    assert world.notes["late"].complete


@then("the three requests of 27 s are answered completely")
def all_complete(world):
    streamed, non_streamed, delivered = world.finish()
    assert streamed.complete and streamed.text == answer_text("Streamed: True", TOKENS)
    assert non_streamed.text == answer_text("Streamed: False", TOKENS)
    assert delivered.outcome == "answered"
    assert (
        min(r.elapsed_s for r in (streamed, non_streamed, delivered))
        >= REQUEST_DURATION_S
    )


@then("host-1 then exits with code 0")
def exits(world):
    assert world.run(world.fleet.process_by_name["host-1"].ended(EXIT_TIMEOUT_S)) == 0


@then("the draft is answered and exactly one run of it finishes")
def draft_answered(world):
    path = "/v1/drafts/draft"
    world.until(lambda: world.get("host-2", path)[0] == 200, within_s=30)
    text = world.get("host-3", path)[1]["choices"][0]["text"]
    assert text == answer_text("Draft.", TOKENS)
    finished = [
        fact
        for fact in world.fleet.records("critique-models")
        if fact["fact"] == "finished" and fact["tokens"] == TOKENS
    ]
    # The streamed request, the non-streamed request and one run of the draft.
    assert len(finished) == 3
