"""The administration interface, on a fleet whose hosts' clocks differ by minutes."""

from __future__ import annotations

import asyncio
import json
import os
import time

import pytest
import pytest_asyncio
from lib.kernel_features import forbidden_uses
from prometheus_client.parser import text_string_to_metric_families

from siskinlever_testbed.client import Caller
from siskinlever_testbed.fleet import OPERATOR_KEY, caller_key, running_fleet
from siskinlever_testbed.plans import ATELIER_ZONES, EnginePlan, FleetPlan

pytestmark = [pytest.mark.system, pytest.mark.asyncio(loop_scope="module")]

PLAN = FleetPlan(
    hosts=8,
    zones=ATELIER_ZONES,
    engines=(EnginePlan("critique-models", prefill=1, decode=1),),
    models=({"name": "lookup", "pool": "critique-models"},),
    settings_by_host={
        "host-1": {"clock_offset_s": 180.0},
        "host-2": {"clock_offset_s": -300.0},
    },
)
AUTHORIZED = {"Authorization": f"Bearer {OPERATOR_KEY}"}
DETECTED_WITHIN_S = 3.0


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(tmp_path_factory):
    """Run a fleet whose environment enables io_uring in libuv."""
    os.environ["UV_USE_IO_URING"] = "1"
    try:
        async with running_fleet(PLAN, tmp_path_factory.mktemp("fleet")) as running:
            assert await running.apply() == 0
            yield running
    finally:
        del os.environ["UV_USE_IO_URING"]


async def call(fleet, method, path, headers=AUTHORIZED, **kwargs):
    url = f"http://{fleet.endpoints_by_host['host-4'].operators}{path}"
    async with fleet.session.request(
        method, url, headers=headers, **kwargs
    ) as response:
        return response.status, await response.text()


async def member_states(fleet, hosts):
    """Return, for each of the given hosts, its view of the states of all members.

    Empty for a host that does not answer.
    """
    found = await asyncio.gather(*(fleet.status(host) for host in hosts))
    return [
        {m["host"]: m["state"] for m in (status["members"] if status else ())}
        for status in found
    ]


async def wait_for_state(fleet, observers, hosts, state, timeout_s):
    """Wait until all observers report the hosts in a state; return the seconds."""
    started_at = time.monotonic()
    seen: list[list[str]] = []
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                found = await member_states(fleet, observers)
                seen = [[s.get(host, "unknown") for host in hosts] for s in found]
                if seen == [[state] * len(hosts)] * len(observers):
                    return time.monotonic() - started_at
                await asyncio.sleep(0.05)
    except TimeoutError:
        pytest.fail(f"{hosts} not {state} in {timeout_s} s: {observers} saw {seen}")


async def test_processes_use_no_forbidden_kernel_features(fleet):
    for name in fleet.endpoints_by_host:
        assert forbidden_uses(fleet.process_by_name[name].pid) == []


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "expected_text"),
    [
        ("PUT", "/v1/configuration?base_generation=abc", b"{}", 400, "base_generation"),
        ("PUT", "/v1/configuration?apply_id=a/b", b"{}", 400, "apply_id"),
        ("PUT", "/v1/configuration?bsae=1", b"{}", 400, "bsae: unknown parameter"),
        ("PUT", "/v1/configuration", b"{", 400, "not JSON"),
        ("PUT", "/v1/configuration", b"\xff", 400, "not UTF-8"),
        ("PUT", "/v1/configuration", b" " * (5 << 20), 413, "invalid_request"),
        ("GET", "/v1/timeline?last=-1", None, 400, "last: found '-1'"),
        ("GET", "/v1/confirmations", None, 400, "generation: required"),
        ("GET", "/v1/confirmations?generation=1&wait=5s", None, 400, "seconds"),
        ("GET", "/v1/nothing", None, 404, "invalid_request"),
    ],
)
async def test_error_names_the_fault(fleet, method, path, body, status, expected_text):
    found, text = await call(fleet, method, path, data=body)
    assert (found, expected_text in text) == (status, True), text


async def test_key_is_required(fleet):
    for headers in ({}, {"Authorization": "Bearer another-key"}):
        status, _ = await call(fleet, "GET", "/v1/status", headers=headers)
        assert status == 401


async def test_metrics_use_the_prometheus_format(fleet):
    status, text = await call(fleet, "GET", "/metrics")
    families = {f.name: f for f in text_string_to_metric_families(text)}
    assert status == 200
    assert families["siskinlever_configuration_generation"].type == "gauge"
    calls = families["siskinlever_peer_calls"]
    assert calls.type == "counter"
    assert {sample.labels["rpc"] for sample in calls.samples} >= {"Exchange"}
    assert all(f.documentation and f.type != "unknown" for f in families.values())


async def test_commands_exit_and_print_as_documented(fleet, tmp_path):
    good = str(fleet.write_declaration())
    bad = tmp_path / "bad.json"
    bad.write_text('{"version": 1, "models": [{"name": "m", "pool": "p"}]}')
    before = (await fleet.status("host-4"))["generation"]
    for arguments, code, expected_text in (
        (["validate", good, "--json"], 0, '"valid": true'),
        (["validate", str(tmp_path)], 2, "Is a directory"),
        (["apply", str(bad)], 3, "$.models[0].pool: found 'p'"),
        (["apply", good, "--base=0"], 4, "hint: look at what changed"),
        (["apply", good, "--base=x"], 2, "--base: found 'x'"),
        (["apply", good, "--wait=17s"], 2, "number of seconds"),
        (["apply", good, "--key=wrong"], 1, "hint: give an operator's key"),
        (["aply", good], 2, "unknown command 'aply', allowed: ['apply'"),
        (["plan", good], 0, "no change"),
        (["show"], 0, '"engine_pools"'),
        (["status", "--json"], 0, '"orders_pools"'),
        (["version", "--json"], 0, '"version"'),
    ):
        found, output = await fleet.command(*arguments)
        assert (found, expected_text in output) == (code, True), (arguments, output)
    found, output = await fleet.command("status", hosts=["127.0.0.1:9"])
    assert (found, "unreachable" in output) == (5, True)
    for command in ("validate", "plan", "apply", "show", "status", "timeline"):
        found, output = await fleet.command(command, "--help")
        assert (found, "Exit codes:" in output) == (0, True), output
    assert (await fleet.status("host-4"))["generation"] == before


async def test_timeline_is_in_causal_order_despite_clock_differences(fleet, tmp_path):
    caller = Caller(fleet.session, caller_key("atelier"))
    address = fleet.endpoints_by_host["host-2"].callers
    reply = await caller.complete(address, "lookup", "Which stock?", 3)
    assert reply.outcome == "answered"
    apply = ["apply", str(fleet.write_declaration()), "--apply-id=cause"]
    assert (await fleet.command(*apply, hosts=[fleet.operators[0]]))[0] == 0
    code, output = await fleet.command("timeline", "--last=5000", "--json")
    events = json.loads(output)
    started = next(
        i for i, e in enumerate(events) if e["fields"].get("apply_id") == "cause"
    )
    generation = (await fleet.status("host-4"))["generation"]
    in_force = [
        (i, e["host"])
        for i, e in enumerate(events)
        if e["kind"] == "configuration_in_force"
        and e["fields"]["generation"] == generation
    ]
    assert (code, events[started]["host"]) == (0, "host-1")
    assert {host for _, host in in_force} == set(fleet.endpoints_by_host)
    assert all(position > started for position, _ in in_force)
    trace = tmp_path / "trace.json"
    await fleet.command(
        "timeline", f"--request={reply.request_id}", f"--chrome={trace}"
    )
    kinds = [e["name"] for e in json.loads(trace.read_text())["traceEvents"]]
    assert kinds.index("request_accepted") < kinds.index("request_ended")


async def test_frozen_host_is_detected_and_refutes_its_death_after_resuming(fleet):
    others = [host for host in fleet.endpoints_by_host if host != "host-5"]
    process = fleet.process_by_name["host-5"]
    incarnation = (await fleet.status("host-5"))["incarnation"]
    process.freeze()
    try:
        await wait_for_state(fleet, others, ["host-5"], "dead", DETECTED_WITHIN_S)
    finally:
        process.thaw()
    await wait_for_state(fleet, others, ["host-5"], "alive", 5)
    assert (await fleet.status("host-5"))["incarnation"] > incarnation


async def test_zone_loss_is_detected_and_host_rejoins_at_another_address(fleet):
    lost = [
        h for h, place in fleet.endpoints_by_host.items() if place.zone == "goodlands"
    ]
    others = [host for host in fleet.endpoints_by_host if host not in lost]
    for host in lost:
        fleet.process_by_name[host].kill()
    await wait_for_state(fleet, others, lost, "dead", DETECTED_WITHIN_S)
    for states in await member_states(fleet, others):
        assert {states.get(host) for host in others} == {"alive"}
    place = fleet.endpoints_by_host[lost[0]]
    moved = fleet.add_host()
    del fleet.endpoints_by_host[moved.name]
    moved.name, moved.zone = place.name, place.zone
    fleet.endpoints_by_host[place.name] = moved
    await fleet.publish_host_list()
    await fleet.start_host(moved).ready()
    await wait_for_state(fleet, others, [place.name], "alive", 5)
    status = await fleet.status("host-1")
    (member,) = [m for m in status["members"] if m["host"] == place.name]
    assert member["peer_address"] == moved.peers
