"""Steps of drafts.feature, which check the records of the stand-ins."""

from __future__ import annotations

from collections import Counter

import pytest
from lib.world import World, running_world
from pytest_bdd import given, parsers, scenarios, then, when

from siskinlever_testbed.fleet import KEY_VALUE
from siskinlever_testbed.plans import ATELIER_ZONES, EnginePlan, FleetPlan
from siskinlever_testbed.standins.answers import answer_text

pytestmark = pytest.mark.system
scenarios("features/drafts.feature")

PLAN = FleetPlan(
    hosts=6,
    zones=ATELIER_ZONES,
    engines=(EnginePlan("copy-llm", prefill=1, decode=2),),
    models=({"name": "draft", "pool": "copy-llm", "urgency": "deferrable"},),
)


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    with running_world(PLAN, tmp_path_factory.mktemp("drafts")) as world:
        yield world


@pytest.fixture
def world(shared: World):
    shared.notes = {"writes": draft_writes(shared), "tokens": {}}
    yield shared
    shared.faults()


def draft_writes(world: World) -> int:
    return sum(fact["fact"] == "txn" for fact in world.fleet.record(KEY_VALUE))


@given("a key-value service that loses its answers")
def store_loses_answers(world):
    world.faults(lose_answers=True)


@given("a key-value service that is unavailable")
def unavailable(world):
    world.faults(down=True)


@when(parsers.parse('draft "{name}" of {tokens:d} tokens is posted at {host}'))
def post(world, name, tokens, host):
    body = {"model": "draft", "prompt": f"Draft {name}.", "max_tokens": tokens}
    headers = {"Prefer": "respond-async", "X-Request-Id": name}
    world.notes["tokens"].setdefault(name, tokens)
    world.notes["posted"] = (
        name,
        *world.request("POST", host, "/v1/completions", json=body, headers=headers),
    )


@when("host-1 is killed and host-2 is frozen")
def kill_and_freeze(world):
    world.fleet.process_by_name["host-1"].kill()
    world.fleet.process_by_name["host-2"].freeze()


@when("host-1 is started and host-2 resumes")
def restore(world):
    world.fleet.process_by_name["host-2"].thaw()
    world.run(world.fleet.start_host(world.fleet.endpoints_by_host["host-1"]).ready())


@when("all hosts are killed and started again")
def kill_all(world):
    for host in world.fleet.endpoints_by_host:
        world.fleet.process_by_name[host].kill()
    for place in world.fleet.endpoints_by_host.values():
        world.run(world.fleet.start_host(place).ready())


@then("it is accepted and its location is returned")
def accepted(world):
    name, status, body, headers = world.notes["posted"]
    assert (status, headers["Location"]) == (202, f"/v1/drafts/{name}")
    assert body == {"id": name, "object": "draft", "status": "accepted"}


@then(parsers.parse('{host} answers "{name}" in full within {bound:d} s'))
def answers(world, host, name, bound):
    path = f"/v1/drafts/{name}"
    found = world.until(
        lambda: (answer := world.get(host, path))[0] == 200 and answer, bound
    )
    tokens = world.notes["tokens"][name]
    choice = found[1]["choices"][0]
    assert choice["text"] == answer_text(f"Draft {name}.", tokens)
    assert found[1]["usage"]["completion_tokens"] == tokens


@then(parsers.parse('another workspace cannot see "{name}"'))
def not_visible(world, name):
    status, body, _ = world.request(
        "GET", "host-1", f"/v1/drafts/{name}", workspace="brosur"
    )
    assert (status, body["error"]["code"]) == (404, "unknown_draft")


@then(parsers.parse("it caused {count:d} writes to the key-value service"))
def writes(world, count):
    assert draft_writes(world) - world.notes["writes"] == count


@then(parsers.parse('"{name}" ran once'))
def ran_once(world, name):
    tokens = world.notes["tokens"][name]
    facts = world.fleet.records("copy-llm")
    ran = [f for f in facts if f["fact"] == "finished" and f["tokens"] == tokens]
    assert len(ran) == 1


@then("it is refused as a conflict")
def conflict(world):
    _, status, body, _ = world.notes["posted"]
    assert (status, body["error"]["code"]) == (409, "duplicate")


@then("it is refused as not run, with a retry time")
def refused(world):
    _, status, body, headers = world.notes["posted"]
    assert (status, body["error"]["outcome"]) == (503, "not_run")
    assert int(headers["Retry-After"]) > 0


@then("the key-value service holds one result of each draft")
def one_result(world):
    facts = world.fleet.record(KEY_VALUE)
    written = Counter(
        f["key"] for f in facts if f["fact"] == "written" and "/results/" in f["key"]
    )
    assert set(written.values()) == {1}
