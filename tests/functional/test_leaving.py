"""Steps of the leaving feature; the runners' records are the oracle."""

from __future__ import annotations

import asyncio
import itertools
import time
import uuid
from collections.abc import Awaitable, Callable

import pytest
from lib.failure_evidence import clock_time
from lib.world import World, running_world
from pytest_bdd import given, parsers, scenarios, then, when

from siskinlever_testbed.client import Reply
from siskinlever_testbed.plans import ATELIER_ZONES, EnginePlan, FleetPlan, ServicePlan
from siskinlever_testbed.standins.answers import answer_text

pytestmark = pytest.mark.system
scenarios("features/leaving.feature")

PLAN = FleetPlan(
    hosts=4,
    zones=ATELIER_ZONES,
    engines=(EnginePlan("critique-models", prefill=2, decode=3, token_time_s=0.005),),
    services=(
        ServicePlan("client-portal", runners=2),
        ServicePlan("stock-list", runners=2, idempotent=True),
    ),
    models=({"name": "lookup", "pool": "critique-models"},),
)
# Time after which a leaving host or runner must receive no new work.
LEAVING_TARGET_S = 5.0
OBSERVATION_S = 2.5
NEW_WORK_FACTS = {"prefill_started", "queued", "ran"}
REQUEST_INTERVAL_S = 0.05
CALLERS = 6
# No other prompt has this length: it identifies the request in the records.
INTERRUPTED_PROMPT_TOKENS = 61


@pytest.fixture(scope="module")
def shared_world(tmp_path_factory):
    with running_world(PLAN, tmp_path_factory.mktemp("leaving")) as world:
        yield world


@pytest.fixture
def world(shared_world: World):
    shared_world.notes = {"stop": False, "at": 0.0}
    yield shared_world
    shared_world.notes["stop"] = True
    shared_world.finish()
    for name in ("critique-models-5", "stock-list-1"):
        shared_world.faults(name)
    for place in shared_world.fleet.endpoints_by_host.values():
        if shared_world.fleet.process_by_name[place.name].returncode is not None:
            shared_world.run(shared_world.fleet.start_host(place).ready())
    shared_world.run(shared_world.fleet.publish_host_list())
    assert shared_world.run(shared_world.fleet.apply()) == 0


async def send_load(world: World, caller_number: int, replies: list) -> None:
    """Send requests to all hosts in turn, as a caller that never repeats the lookup."""
    caller = world.caller()
    for number, host in enumerate(itertools.cycle(world.fleet.endpoints_by_host)):
        if world.notes["stop"]:
            return
        address = world.address(host)
        prompt = f"Which stock suits flyer {number}?"
        reply = await caller.complete(address, "lookup", prompt, 40)
        is_whole = reply.text == answer_text(prompt, 40) and reply.complete
        replies.append((host, reply, is_whole))
        for service in ("client-portal", "stock-list"):
            request_id = f"{service}:{world.notes['start']}:{caller_number}:{number}"
            answer = await caller.call_service(address, service, "proof", request_id)
            replies.append((host, answer, answer.outcome == "answered"))
        await asyncio.sleep(REQUEST_INTERVAL_S)


def describe(reply: Reply, host: str) -> str:
    """Return what a failed assertion needs to find the request in the logs."""
    return (
        f"{host} {reply.request_id}: status {reply.status}, "
        f"{reply.error or reply.code}, {reply.outcome or 'no outcome'}, "
        f"{len(reply.token_times)} chunks, {reply.elapsed_s:.2f} s to "
        f"{clock_time(reply.ended_at)}"
    )


@given("callers that send requests to every host continuously")
def callers(world):
    world.notes["replies"] = []
    world.notes["start"] = time.time()
    for caller_number in range(CALLERS):
        world.begin(send_load(world, caller_number, world.notes["replies"]))
    world.until(lambda: len(world.notes["replies"]) > 100, within_s=10)


@when(parsers.parse("the host list marks {name} as leaving"))
def mark_in_host_list(world, name):
    world.notes["at"] = time.time()
    world.run(world.fleet.publish_host_list({name}))


@when(parsers.parse("the declaration marks {name} as leaving"))
def mark_in_declaration(world, name):
    declaration = world.fleet.declaration()
    if name in world.fleet.endpoints_by_host:
        declaration["leaving_hosts"] = [{"name": name}]
    runners = [r for p in declaration["engine_pools"] for r in p["runners"]]
    declaration["engine_pools"][0]["runners"] = [
        runner | ({"leaving": True} if runner["name"] == name else {})
        for runner in runners
    ]
    assert world.run(world.fleet.apply(declaration)) == 0
    world.notes["at"] = time.time()


@when(parsers.parse("the runner itself marks {name} as leaving"))
def mark_on_runner(world, name):
    world.notes["at"] = time.time()
    world.faults(name, leaving=True)


@when("the declaration no longer marks it as leaving")
def restore_declaration(world):
    assert world.run(world.fleet.apply()) == 0


@then(parsers.parse("{name} receives no new work after 5 s"))
def no_new_work(world, name):
    target_end = observe_past_target(world)
    facts = [f for f in world.fleet.record(name) if f["fact"] in NEW_WORK_FACTS]
    assert any(world.notes["start"] < f["at"] <= target_end for f in facts), (
        "no load before the target had passed"
    )
    assert [f for f in facts if f["at"] > target_end] == []


@then(parsers.parse("{host} starts no generation after 5 s"))
def no_generation_started(world, host):
    target_end = observe_past_target(world)
    served = [
        fact["at"]
        for fact in world.fleet.records("critique-models")
        if fact["fact"] == "prefill_started"
        and fact["request_id"].startswith(f"{host}~")
    ]
    assert any(world.notes["start"] < at <= target_end for at in served), (
        "no load before the target had passed"
    )
    assert [at for at in served if at > target_end] == []


def observe_past_target(world: World) -> float:
    """Wait until the target has passed by ``OBSERVATION_S`` seconds.

    The load continues. Returns the wall-clock time at which the target passed.
    """
    target_end = float(world.notes["at"]) + LEAVING_TARGET_S
    world.run(asyncio.sleep(target_end + OBSERVATION_S - time.time()))
    return target_end


@then("every reply so far is a complete answer")
def all_answered(world):
    replies = world.notes["replies"]
    wrong = [
        describe(reply, host) for host, reply, is_answered in replies if not is_answered
    ]
    assert len(replies) > 50
    assert not wrong, f"{len(wrong)} of {len(replies)}:\n" + "\n".join(wrong)


@then(parsers.parse("within {timeout_s:d} s no lookup returns {host}"))
def not_returned(world, timeout_s, host):
    remaining_s = world.notes["at"] + timeout_s - time.time()
    world.until(
        lambda: not any(host in names for names in looked_up_hosts(world)), remaining_s
    )


@then(parsers.parse("within {timeout_s:d} s every lookup returns {host}"))
def returned(world, timeout_s, host):
    world.until(
        lambda: all(host in names for names in looked_up_hosts(world)), timeout_s
    )


def looked_up_hosts(world: World) -> list[list[str]]:
    bodies = [world.get(host, "/v1/hosts")[1] for host in world.fleet.endpoints_by_host]
    return [[entry["host"] for entry in body["hosts"]] for body in bodies]


@then(
    parsers.parse(
        "requests sent to {host} still get complete answers or the correct error"
    )
)
def still_served(world, host):
    caller, address = world.caller(), world.address(host)

    def send(call: Callable[..., Awaitable[Reply]], *arguments, **options) -> Reply:
        return world.run(call(address, *arguments, **options))

    streamed = send(caller.complete, "lookup", "Long stream?", 200)
    non_streamed = send(caller.complete, "lookup", "Whole?", 50, stream=False)
    delivery = send(caller.call_service, "client-portal", "p", uuid.uuid4().hex)
    assert streamed.complete, describe(streamed, host)
    assert streamed.text == answer_text("Long stream?", 200)
    assert non_streamed.text == answer_text("Whole?", 50), describe(non_streamed, host)
    assert delivery.outcome == "answered", describe(delivery, host)
    refused = world.run(caller.complete(address, "no-such-model", "x", 5))
    assert refused.code == "model_not_found"


@when(parsers.parse("a caller streams through host-4 until {event}"))
def interrupted_stream(world, event):
    world.until(
        lambda: not any("host-4" in n for n in looked_up_hosts(world)), LEAVING_TARGET_S
    )
    prompt = " ".join(["word"] * INTERRUPTED_PROMPT_TOKENS)

    async def disconnect_or_kill(reply):
        if len(reply.token_times) != 20:
            return
        if event == "the caller disconnects":
            raise ConnectionError(event)
        serving_host = interrupted_requests(world)[0]["request_id"].partition("~")[0]
        world.fleet.process_by_name[serving_host].kill()

    work = world.caller().complete(
        world.address("host-4"), "lookup", prompt, 900, on_chunk=disconnect_or_kill
    )
    world.notes["broken"] = world.run(work)


def interrupted_requests(world: World) -> list[dict]:
    return [
        fact
        for fact in world.fleet.records("critique-models")
        if fact["fact"] == "prefill_started"
        and fact["tokens"] == INTERRUPTED_PROMPT_TOKENS
        and fact["at"] > world.notes["at"]
    ]


@then("its answer is not marked as complete")
def not_complete(world):
    reply = world.notes["broken"]
    assert len(reply.token_times) >= 20 and not reply.complete


@then("the runners abort the generation and release its slot within 5 s")
def aborted_and_released(world):
    (request,) = interrupted_requests(world)
    world.until(
        lambda: any(
            fact["fact"] == "released" and fact["request_id"] == request["request_id"]
            for fact in world.fleet.records("critique-models")
        ),
        LEAVING_TARGET_S,
    )
    finished = [
        fact
        for fact in world.fleet.records("critique-models")
        if fact["fact"] == "finished" and fact["request_id"] == request["request_id"]
    ]
    assert finished == []
