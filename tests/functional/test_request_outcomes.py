"""Outcomes reported to callers under failures, compared with the engines' records."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import time
from collections import Counter
from dataclasses import replace

import pytest
from lib.outcomes import BRIEF_FIRST_TOKEN_S, PLAN, TOKENS, running_driver
from pytest_bdd import given, parsers, scenarios, then, when

pytestmark = pytest.mark.system
scenarios("features/memory.feature", "features/answered_once.feature")
scenarios("features/whole_answer.feature", "features/not_run.feature")

LONG_PROMPT = "visit " * 40_000
LONG_ANSWER_TOKENS = 1500
SLOTS_TAKEN_TIMEOUT_S = 10.0
RELEASE_TIMEOUT_S = 5.0
FAULTS = {
    "a cut stream": {"cut_stream_at": 7},
    "a stream that ends without a final marker": {"end_stream_at": 7},
    "a silent stream": {"silence_at": 7},
    "duplicated chunks": {"double_at": 7},
    "reordered chunks": {"swap_at": 7},
    "chunks of another request": {"foreign_at": 7},
    "cut streams and reordered chunks": {"cut_stream_at": 9, "swap_at": 7},
    "silent streams and chunks of another request": {"silence_at": 9, "foreign_at": 7},
}
OPTIONS_BY_STAGE = {
    "prefill": {},
    "transfer": {},
    "decode": {"tokens": 250, "model": "brief-review"},
    "long decode": {"tokens": LONG_ANSWER_TOKENS},
}
FACT_BY_STAGE = {
    "prefill": "prefill_started",
    "transfer": "held",
    "decode": "held",
    "long decode": "held",
}
request_ids = (f"request-{number}" for number in itertools.count())


@pytest.fixture(scope="module")
def shared_driver(tmp_path_factory):
    with running_driver(tmp_path_factory.mktemp("outcomes") / "fleet") as driver:
        yield driver


@pytest.fixture
def driver(shared_driver):
    yield shared_driver
    for request_id in list(shared_driver.task_by_id):
        shared_driver.disconnect_caller(request_id)
    shared_driver.task_by_id.clear()
    shared_driver.restore()


class Case:
    """The request under test in a scenario."""

    def __init__(self, driver):
        self.driver = driver
        self.id = next(request_ids)
        self.host = driver.unrelated_host(self.id)
        self.tokens = TOKENS
        self.first_task = self.last_task = None

    def send(self, **options):
        self.tokens = options.get("tokens", TOKENS)
        self.options = options
        self.first_task = self.last_task = self.driver.send(
            self.id, self.host, **options
        )

    def send_again(self, host, **headers):
        """Send the request to another host; the first call continues."""
        self.driver.task_by_id[f"{self.id} first"] = self.first_task
        self.last_task = self.driver.send(
            self.id, host, headers=headers, **self.options
        )

    def process(self, name):
        return self.driver.fleet.process_by_name[name]


@pytest.fixture
def case(driver):
    return Case(driver)


def fill_slots(driver, case):
    """Clear the faults of the decode engines and occupy every free decode slot.

    One slot counts as taken if engines hold resources for the request under test.
    """
    driver.set_role_faults("decode")
    slots = sum(plan.slots * plan.decode for plan in PLAN.engines)
    free = slots - bool(driver.held_resources(case.id))
    case.fillers = [f"{case.id}-filler-{n}" for n in range(free)]
    other = driver.unrelated_host(case.id, avoid=(case.host,))

    def started(filler):
        return driver.count_facts(filler, "decode_started") > 0

    def all_started_or_ended():
        return all(started(f) or driver.task_by_id[f].done() for f in case.fillers)

    # A runner that has refused all calls so far is not selected again at once, so
    # refused fillers are sent again.
    deadline = time.monotonic() + SLOTS_TAKEN_TIMEOUT_S
    not_started = case.fillers
    while not_started:
        assert time.monotonic() < deadline, not_started
        for filler in not_started:
            driver.send(filler, other, tokens=LONG_ANSWER_TOKENS)
        driver.wait_until(
            all_started_or_ended,
            SLOTS_TAKEN_TIMEOUT_S,
            "every filler has started or ended",
        )
        driver.run(asyncio.sleep(0.1))
        not_started = [filler for filler in not_started if not started(filler)]


# Given steps.


@given(parsers.parse("a request in {stage}"))
def _(driver, case, stage):
    if stage == "transfer":
        driver.set_role_faults("prefill", stall_transfer_s=60)
    options = dict(OPTIONS_BY_STAGE[stage])
    if stage == "prefill":
        # A unique prefix, so that no runner has the prompt in its cache.
        options["prompt"] = f"{case.id} {LONG_PROMPT}"
    case.send(**options)

    def in_stage():
        held = {fact for _, fact in driver.held_resources(case.id)}
        pieces = driver.reply_by_id[case.id].text.count(" ")
        return FACT_BY_STAGE[stage] in held and ("decode" not in stage or pieces >= 10)

    driver.wait_until(in_stage, 10.0, f"the request is in {stage}")


@given("a request whose home is frozen")
def _(driver, case):
    home, _ = driver.home_and_backup(case.id)
    case.process(home).freeze()
    case.send()
    driver.run(asyncio.sleep(1.0))


@given("a request that waits for a slot")
def _(driver, case):
    fill_slots(driver, case)
    case.send()


@given("a request that waits for a slot at a host that is then frozen")
def _(driver, case):
    fill_slots(driver, case)
    case.send(model="brief-review")
    driver.run(asyncio.sleep(BRIEF_FIRST_TOKEN_S / 2))
    case.process(case.host).freeze()


@given("a request that was answered")
def _(driver, case):
    case.send()
    assert driver.wait_reply(case.first_task).complete


@given("most hosts are frozen")
def _(driver, case):
    case.host = sorted(driver.zone_by_host())[-1]
    frozen = [name for name in sorted(driver.zone_by_host()) if name != case.host][:5]
    for name in frozen:
        case.process(name).freeze()

    async def marked_dead():
        states = await driver.member_states(case.host)
        return all(states.get(name) == "dead" for name in frozen)

    driver.wait_until(marked_dead, 10.0, "the frozen hosts are marked dead")


@given(parsers.parse("decode engines produce {fault}"))
def _(driver, fault):
    driver.set_role_faults("decode", **FAULTS[fault])


@given("transfers stall")
def _(driver):
    driver.set_role_faults("prefill", stall_transfer_s=60)


@given("decode engines refuse all calls")
def _(driver):
    # Load reports continue. Without them the runners would be excluded before the
    # call is made.
    driver.set_role_faults("decode", refuse_completions=True)


@given("a request that failed after its prefill")
def _(driver, case):
    case.send(model="brief-review")
    assert driver.wait_reply(case.first_task).outcome == "may_have_run"
    released = "the failed attempt's resources are released"
    driver.wait_until(
        lambda: not driver.held_resources(case.id), RELEASE_TIMEOUT_S, released
    )


@given("all slots are taken")
def _(driver, case):
    fill_slots(driver, case)


@given("60 requests, some of which are sent to two hosts")
def _(driver, case):
    case.random = random.Random(4)
    case.ids = [f"{case.id}-{n}" for n in range(60)]
    case.calls_sent = []
    hosts = sorted(driver.zone_by_host())
    for request_id in case.ids:
        model = case.random.choice(["brief-review", "itinerary-draft"])
        options = {"model": model, "stream": case.random.random() < 0.7}
        for host in case.random.sample(hosts, case.random.choice([1, 1, 2])):
            task = driver.send(request_id, host, **options)
            case.calls_sent.append((request_id, task))


# When steps.


def disrupt(driver, case, name, event):
    process = case.process(name)
    if event == "frozen":
        process.freeze()
        return
    process.kill()
    if event == "replaced at once":
        process.start()
        driver.run(process.ready())


@when("no failure occurs")
def _():
    pass


@when(parsers.re("its host is (?P<event>killed|frozen|replaced at once)"))
def _(driver, case, event):
    disrupt(driver, case, case.host, event)


@when(parsers.re("its home is (?P<event>killed|frozen|replaced at once)"))
def _(driver, case, event):
    disrupt(driver, case, driver.home_and_backup(case.id)[0], event)


@when("its host and its home are killed")
def _(driver, case):
    disrupt(driver, case, case.host, "killed")
    disrupt(driver, case, driver.home_and_backup(case.id)[0], "killed")


@when("its host and the admission home are killed")
def _(driver, case):
    disrupt(driver, case, case.host, "killed")
    disrupt(driver, case, driver.admission_home(), "killed")


@when(parsers.re("its decode runner is (?P<event>killed|frozen)"))
def _(driver, case, event):
    disrupt(driver, case, driver.decode_runner_of(case.id), event)


@when("all decode runners are killed")
def _(driver, case):
    for name in driver.runners_with_role("decode"):
        disrupt(driver, case, name, "killed")


@when("its caller leaves")
def _(driver, case):
    driver.disconnect_caller(case.id)


@when("its caller leaves and cancels are lost")
def _(driver, case):
    for role in ("prefill", "decode"):
        driver.set_role_faults(role, lose_aborts=2)
    driver.disconnect_caller(case.id)


@when("the callers of the other requests disconnect")
def _(driver, case):
    for filler in case.fillers:
        driver.disconnect_caller(filler)


@when("the home resumes")
def _(driver, case):
    case.process(driver.home_and_backup(case.id)[0]).thaw()


@when("its host resumes after the first token was due")
def _(driver, case):
    driver.run(asyncio.sleep(BRIEF_FIRST_TOKEN_S))
    case.process(case.host).thaw()


@when("later transfers do not stall")
def _(driver, case):
    driver.wait_until(
        lambda: driver.count_facts(case.id, "held"),
        5.0,
        "a decode engine holds a slot for the request",
    )
    driver.set_role_faults("prefill")


@when(parsers.parse("a caller sends a {kind} request"))
def _(case, kind):
    case.send(stream=kind == "streamed")


@when("a caller sends a request to a host that still runs")
def _(case):
    case.send(stream=False)


@when("a caller sends one request id to three hosts")
def _(driver, case):
    hosts = sorted(driver.zone_by_host())[:3]
    case.tasks = [driver.send(case.id, host) for host in hosts]


@when("its caller requests the rest from another host")
def _(driver, case):
    case.partial = replace(driver.reply_by_id[case.id])
    last = case.partial.last_event_id
    other = driver.unrelated_host(case.id, avoid=(case.host,))
    case.send_again(other, **{"Last-Event-ID": str(last)})
    case.rest = driver.wait_reply(case.last_task)


@when("its caller repeats the request at another host")
def _(driver, case):
    other = driver.unrelated_host(case.id, avoid=(case.host,))
    case.send_again(other)
    driver.wait_reply(case.last_task)


@when(
    "hosts and engines are killed and frozen and callers disconnect while the requests"
    " run"
)
def _(driver, case):
    first, second, third = case.random.sample(sorted(driver.zone_by_host()), 3)
    disruptions = [(first, "killed"), (second, "frozen"), (third, "replaced at once")]
    runners = case.random.sample(driver.runners_with_role("decode"), 2)
    disruptions += zip(runners, ["killed", "frozen"], strict=True)
    for name, event in disruptions:
        driver.run(asyncio.sleep(0.3))
        disrupt(driver, case, name, event)
        driver.disconnect_caller(case.random.choice(case.ids))
    driver.run(asyncio.sleep(4.0))
    case.process(second).thaw()
    case.process(runners[1]).thaw()
    case.replies = [
        (i, driver.wait_reply(t)) for i, t in case.calls_sent if not t.cancelled()
    ]


# Then steps.


@then("engines hold no resources for it after 5 s")
def _(driver, case):
    driver.wait_until(
        lambda: not driver.held_resources(case.id),
        RELEASE_TIMEOUT_S,
        "the resources are released",
    )
    driver.run(asyncio.sleep(0.5))
    assert not driver.held_resources(case.id)


@then("no engine runs it")
def _(driver, case):
    driver.run(asyncio.sleep(3.0))
    ran = [f for f in driver.facts(case.id) if f["fact"] != "aborted"]
    assert not ran


@then("exactly one call gets the complete answer and exactly one run finishes")
def _(driver, case):
    replies = [driver.wait_reply(task) for task in case.tasks]
    assert [r.complete for r in replies].count(True) == 1
    assert next(r for r in replies if r.complete).text == driver.expected_answer(
        case.id
    )
    assert driver.count_facts(case.id, "finished") == 1


@then("the two parts form the complete answer")
def _(driver, case):
    assert case.rest.complete, case.rest
    pieces = case.partial.text + case.rest.text
    assert pieces == driver.expected_answer(case.id, case.tokens)


@then("exactly one prefill started for it")
def _(driver, case):
    assert driver.count_facts(case.id, "prefill_started") == 1


@then("the first call received no final marker")
def _(driver, case):
    for name in [case.host, driver.home_and_backup(case.id)[0]]:
        case.process(name).thaw()
    assert not driver.wait_reply(case.first_task).complete


@then("the reply says that the request was already answered")
def _(driver, case):
    reply = driver.wait_reply(case.last_task)
    assert (reply.status, reply.code) == (409, "already_answered")
    assert reply.outcome == "answered"
    assert not reply.complete


@then("the reply is a 503 with the outcome may_have_run and a retry delay")
def _(driver, case):
    # The caller chose the request id, so a host that is cut off cannot rule out
    # that the request ran elsewhere.
    reply = driver.wait_reply(case.last_task)
    assert (reply.status, reply.outcome) == (503, "may_have_run")
    assert reply.retry_after_s > 0


@then("the reply says that the request may have run")
def _(driver, case):
    reply = driver.wait_reply(case.last_task)
    assert reply.outcome == "may_have_run"
    assert not reply.complete


@then(parsers.parse("its caller gets the complete answer within {seconds:d} s"))
def _(driver, case, seconds):
    reply = driver.wait_reply(case.last_task, seconds)
    assert reply.complete, reply
    assert reply.text == driver.expected_answer(case.id, case.tokens)


@then(
    "its caller gets a prefix of the answer, a may_have_run error and no final marker"
)
def _(driver, case):
    reply = driver.wait_reply(case.last_task)
    assert (reply.outcome, reply.complete) == ("may_have_run", False)
    assert driver.expected_answer(case.id, case.tokens).startswith(reply.text)


@then("no request reported as not run was run")
def _(driver, case):
    # Of two calls with one id, the later one may run after the other was refused.
    calls = Counter(i for i, _ in case.calls_sent)
    for request_id, reply in case.replies:
        if reply.outcome != "not_run":
            continue
        facts = driver.facts(request_id)
        runs = [f["at"] for f in facts if f["fact"] == "prefill_started"]
        replied_at = reply.ended_at if calls[request_id] > 1 else math.inf
        assert not [at for at in runs if at < replied_at], (request_id, reply, facts)


@then("every complete answer is correct and no request has two")
def _(driver, case):
    complete_answers = [(i, reply.text) for i, reply in case.replies if reply.complete]
    assert all(text == driver.expected_answer(i) for i, text in complete_answers)
    assert max(Counter(i for i, _ in complete_answers).values()) == 1


@then("engines hold no resources for any of them after 5 s")
def _(driver, case):
    def held():
        return {i: held for i in case.ids if (held := driver.held_resources(i))}

    def facts_of_held():
        return [fact for i in held() for fact in driver.facts(i)]

    driver.wait_until(
        lambda: not held(),
        RELEASE_TIMEOUT_S,
        "the resources are released",
        facts_of_held,
    )
