"""Steps of deliveries.feature, which check the records of the portal stand-in."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections import Counter

import pytest
from lib.world import World, running_world
from pytest_bdd import given, parsers, scenarios, then, when

from siskinlever_testbed.fleet import KEY_VALUE
from siskinlever_testbed.plans import ATELIER_ZONES, EnginePlan, FleetPlan, ServicePlan

pytestmark = pytest.mark.system
scenarios("features/deliveries.feature")

PLAN = FleetPlan(
    hosts=4,
    zones=ATELIER_ZONES,
    engines=(EnginePlan("critique-models", prefill=1, decode=1),),
    services=(
        ServicePlan("client-portal", runners=2),
        ServicePlan("stock-list", runners=2, idempotent=True),
    ),
)
PORTALS = ("client-portal-1", "client-portal-2")
MAX_REFUSAL_TIME_S = 2.0
RESUME_WAIT_S = 4.0
# At most the number of retries that a full retry budget allows, as a failing
# runner may fail each call once.
STOCK_CALLS = 10


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    with running_world(PLAN, tmp_path_factory.mktemp("deliveries")) as world:
        yield world


@pytest.fixture
def world(shared: World):
    shared.replies.clear()
    shared.notes = {"id": uuid.uuid4().hex}
    yield shared
    for name in (KEY_VALUE, *PORTALS, "stock-list-1"):
        shared.faults(name)
    for place in shared.fleet.endpoints_by_host.values():
        process = shared.fleet.process_by_name[place.name]
        process.thaw()
        if process.returncode is not None:
            shared.run(shared.fleet.start_host(place).ready())
    shared.until(lambda: all_hosts_serve(shared), within_s=20)


def all_hosts_serve(world: World) -> bool:
    """Whether every host serves requests and has a configuration."""
    hosts = world.fleet.endpoints_by_host
    answers = [world.get(host, "/v1/models")[0] for host in hosts]
    return answers == [200] * len(hosts)


def run_count(world: World) -> int:
    facts = world.fleet.records("client-portal")
    return sum(
        f["fact"] == "ran" and f["request_id"] == world.notes["id"] for f in facts
    )


def deliver(world: World, host: str, body: object = "proof", request_id: str = ""):
    return world.caller().call_service(
        world.address(host), "client-portal", body, request_id or world.notes["id"]
    )


@given("a client portal whose deliveries must not be repeated")
def portal(world):
    assert not world.fleet.declaration()["services"][0]["idempotent"]


@given("a portal whose deliveries take 3 s")
def slow_portal(world):
    for name in PORTALS:
        world.faults(name, run_s=3.0)


@given("host-1 has a lease for its claims")
def open_lease(world):
    # The first delivery opens the lease, which takes a separate call.
    reply = world.run(deliver(world, "host-1", request_id=uuid.uuid4().hex))
    assert reply.outcome == "answered"


@given("host-1 has just started")
def restart_host(world):
    fleet = world.fleet
    fleet.process_by_name["host-1"].kill()
    world.run(fleet.start_host(fleet.endpoints_by_host["host-1"]).ready())
    world.until(lambda: all_hosts_serve(world), within_s=20)


@given("a key-value service that loses its answers")
def store_loses_answers(world):
    world.faults(lose_answers=True)


@given("a key-value service that is unavailable")
def store_unavailable(world):
    world.faults(down=True)


@given("a key-value service that is slow")
def store_slow(world):
    world.faults(delay_s=30)


@given("a portal that closes its connections after the run")
def portal_closes_connections(world):
    for name in PORTALS:
        world.faults(name, lose_answers=True)


@when("a delivery is requested at host-1")
def deliver_first(world):
    world.replies.append(world.run(deliver(world, "host-1")))


@when("it is requested again at host-2")
def deliver_second(world):
    world.replies.append(world.run(deliver(world, "host-2")))


@when("a delivery is requested at host-1 and at host-2 at the same time")
def deliver_at_both(world):
    async def both():
        return await asyncio.gather(deliver(world, "host-1"), deliver(world, "host-2"))

    world.replies += world.run(both())


@when(
    parsers.parse(
        "a delivery is requested at host-1 and host-1 is {failure} while it runs"
    )
)
def fail_while_running(world, failure):
    process = world.fleet.process_by_name["host-1"]
    world.begin(deliver(world, "host-1"))
    world.until(lambda: run_count(world) == 1, within_s=5)
    {"killed": process.kill, "frozen": process.freeze}[failure]()


@when("a delivery is requested at host-1, which freezes after writing its claim")
def freeze_after_claim(world):
    open_lease(world)
    written = len(world.fleet.record(KEY_VALUE))
    world.faults(delay_s=0.4)
    world.begin(deliver(world, "host-1"))
    world.run(asyncio.sleep(0.2))
    world.fleet.process_by_name["host-1"].freeze()
    world.until(
        lambda: any(
            fact["fact"] == "written" and "/claims/" in fact["key"]
            for fact in world.fleet.record(KEY_VALUE)[written:]
        ),
        within_s=5,
    )
    world.faults()


@when("the key-value service recovers")
def store_recovered(world):
    world.faults()


@when("it is requested again after the retry time")
def deliver_after_retry_time(world):
    world.run(asyncio.sleep(world.replies[-1].retry_after_s))
    deliver_first(world)


@when("another delivery is requested with its id")
def deliver_other_body(world):
    world.replies.append(world.run(deliver(world, "host-2", body="another proof")))


@when("200 deliveries are requested at host-1 at the same time")
def deliver_many(world):
    async def many():
        return await asyncio.gather(
            *(deliver(world, "host-1", request_id=name) for name in world.notes["many"])
        )

    deliver_first(world)
    world.notes["many"] = [uuid.uuid4().hex for _ in range(200)]
    world.notes["before"] = store_writes(world)
    world.replies = world.run(many())


@when(parsers.parse("a delivery with an answer of {count:d} characters is requested"))
def deliver_large_answer(world, count):
    path = f"/v1/services/client-portal/deliver?padding={count}"
    world.notes["large"] = world.request("POST", "host-1", path, json="proof")
    world.notes["count"] = count


def store_writes(world: World) -> int:
    return sum(fact["fact"] == "txn" for fact in world.fleet.record(KEY_VALUE))


@then("it ran once")
def ran_once(world):
    assert run_count(world) == 1


@then("each ran once")
def each_ran_once(world):
    facts = world.fleet.records("client-portal")
    counts = Counter(fact["request_id"] for fact in facts if fact["fact"] == "ran")
    assert [counts[name] for name in world.notes["many"]] == [1] * 200
    assert {reply.outcome for reply in world.replies} == {"answered"}


@then("they caused at most 40 writes to the key-value service")
def few_writes(world):
    assert store_writes(world) - world.notes["before"] <= 40


@then("one of the answers is the portal's")
def one_answered(world):
    assert sorted(r.outcome for r in world.replies) == ["answered", "may_have_run"]


@then("the answer is the portal's")
def answered(world):
    assert world.replies[-1].outcome == "answered"
    assert world.replies[-1].body["request_id"] == world.notes["id"]


@then("the answer says that it may have run")
def may_have_run(world):
    assert world.replies[-1].outcome == "may_have_run"


@then("the answer is a conflict")
def conflict(world):
    assert (world.replies[-1].status, world.replies[-1].code) == (409, "duplicate")


@then("the delivery is refused at once as not run, with a retry time")
def refused(world):
    reply = world.replies[-1]
    assert (reply.outcome, reply.status) == ("not_run", 503)
    assert reply.elapsed_s < MAX_REFUSAL_TIME_S and reply.retry_after_s > 0
    assert run_count(world) == 0


@then("the answer is complete")
def large_answer(world):
    status, body, _ = world.notes["large"]
    assert (status, len(body["padding"])) == (200, world.notes["count"])


@then("it ran once, also after host-1 resumes")
def ran_once_after_resume(world):
    world.fleet.process_by_name["host-1"].thaw()
    world.run(asyncio.sleep(RESUME_WAIT_S))
    assert run_count(world) == 1


@then("it does not run after host-1 resumes")
def not_run_after_resume(world):
    time.sleep(RESUME_WAIT_S)  # The host resumes after its dispatch deadline.
    world.fleet.process_by_name["host-1"].thaw()
    world.run(asyncio.sleep(RESUME_WAIT_S))
    assert run_count(world) == 0
    # The claim was released, so the delivery can be repeated.
    assert world.run(deliver(world, "host-3")).outcome == "answered"


@given("a stock list with one runner that closes its connections")
def runner_closes_connections(world):
    world.faults("stock-list-1", down=False, lose_answers=True)


def call_stock_list(world: World, host: str) -> list:
    """Make the calls concurrently, so that both runners get some of them."""
    caller, address = world.caller(), world.address(host)
    names = [f"{world.notes['id']}:{number}" for number in range(STOCK_CALLS)]

    async def calls():
        return await asyncio.gather(
            *(caller.call_service(address, "stock-list", {}, name) for name in names)
        )

    return world.run(calls())


@when("10 calls of the stock list are made at host-1 at the same time")
def call_stock_list_once(world):
    world.replies += call_stock_list(world, "host-1")


@then("all are answered")
def all_answered(world):
    assert [r.outcome for r in world.replies] == ["answered"] * STOCK_CALLS
    facts = world.fleet.record("stock-list-1")
    assert any(fact["fact"] == "ran" for fact in facts), "no runner failed"


@then("none is answered again under its id at host-2")
def answered_once(world):
    again = call_stock_list(world, "host-2")
    assert {(r.status, r.code) for r in again} == {(409, "already_answered")}
