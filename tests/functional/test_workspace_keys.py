"""Keys of workspaces: who is served, what runners get, and how keys stop working."""

from __future__ import annotations

import asyncio
import json
import os
import time

import pytest
from lib.platform_world import configuration, platform_world, run_count, until

from siskinlever._internal.cli.main import main
from siskinlever._internal.exceptions import PeerError
from siskinlever._internal.fleet.serving_set import MAX_SMALL_FLEET
from siskinlever._internal.gateway import runner_calls
from siskinlever._internal.gateway.context import GatewayContext
from siskinlever._internal.gateway.engine_calls import CALL_TIMEOUT_S
from siskinlever._internal.gateway.runner_connections import open_connection
from siskinlever._internal.models.workspaces import key_digest
from siskinlever_testbed.platform_fleet import HOST, platform_fleet, send_raw
from siskinlever_testbed.standins.platform.runner_answers import (
    RunnerFault,
    StreamEnd,
)
from siskinlever_testbed.standins.platform.store import StoreFault

GENERATION = {"Model": "m", "Token-Usage": "100,70", "Length-Hint": "70"}
KEY, OTHER_KEY, UNKNOWN_KEY = "key-of-acme", "key-of-bell", "key-of-nobody"
# A short time, so that the tests take little of it.
REVOKE_MS = 2500
REVOKE_S = REVOKE_MS / 1000
BOUNDS = {"revoke_fail_closed": True, "revoke_ms": REVOKE_MS}
FORGED = {"tENANT": "bell", "Connection": "Tenant, Authorization"}


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


def with_workspaces(version: int, acme=(KEY,), bell=(OTHER_KEY,)) -> dict:
    document = configuration(
        version,
        tenants=[
            {"name": "acme", "api_keys": list(acme), "priority": 0},
            {"name": "bell", "api_keys": list(bell)},
        ],
    )
    public = document["routes"][0] | {"name": "open", "prefix": "/open/"}
    document["routes"].append(public | {"public": True})
    return document


async def started(world, version: int = 2) -> None:
    world.apply(with_workspaces(version))
    await until(lambda: versions(world) == {version})
    await until(lambda: all(is_current(host) for host in world.hosts))


def is_current(host) -> bool:
    return host.context.configuration.is_current


def versions(world) -> set[int]:
    return {host.context.configuration.version for host in world.hosts}


def bearer(key: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}"}


async def ask(world, key: str, path="/safe/x", host=0, identifier="r-1", **headers):
    return await world.send(
        path, identifier=identifier, host=host, headers=bearer(key) | headers
    )


def received(world) -> list:
    return [request for runner in world.runners for request in runner.received]


def tenants(world) -> set[str | None]:
    return {request.get("tenant") for request in received(world)}


def holds_key(request) -> bool:
    return any(key in str(request) for key in (KEY, OTHER_KEY, UNKNOWN_KEY))


async def test_runners_get_the_workspace_of_the_key_and_never_the_key(log_path):
    """Prefill, decode, plain requests, and the retries of both."""
    async with platform_world(log_path, **BOUNDS) as world:
        await started(world)
        for name in ("p-1", "e-1", "e-2"):
            world.runner_named(name).next_faults = [RunnerFault.SHED]
        plain = [await ask(world, KEY, **FORGED) for _ in range(6)]
        stream = await world.send(
            "/stream/x", "POST", "g-1", b"p", headers=GENERATION | bearer(KEY) | FORGED
        )
        world.runner_named("e-2").break_after_events = 3
        world.runner_named("e-2").break_end = StreamEnd.RESET
        resumed = await world.send(
            "/resume/x", "POST", "g-2", b"p", headers=GENERATION | bearer(KEY)
        )
        again = await world.send(
            "/resume/x",
            "POST",
            "g-3",
            b"p",
            headers=GENERATION | bearer(KEY) | {"Resumes": "g-2", "Last-Event-Id": "2"},
        )
        answers = [*plain, stream, resumed, again]
        assert [answer.status for answer in answers] == [200] * len(answers)
        assert world.lines("request.resent")
        assert tenants(world) == {"acme"}
        assert not any(map(holds_key, received(world)))
        log = [json.dumps(line) for line in world.lines()]
        ended = world.lines("request.ended")
    assert not any(KEY in line for line in log)
    assert {line["workspace"] for line in ended} == {"acme"}
    assert {line["key"] for line in ended} == {key_digest(KEY.encode())[:6].hex()}


async def test_unknown_key_is_refused_and_public_route_needs_none(log_path):
    async with platform_world(log_path, **BOUNDS) as world:
        await started(world)
        refused = [
            await ask(world, UNKNOWN_KEY),
            await world.send("/safe/x"),
            await ask(world, "", identifier="e"),
            await ask(world, KEY.upper()),
        ]
        assert not received(world)
        public = [
            await ask(world, KEY, "/open/x"),
            await ask(world, UNKNOWN_KEY, "/open/x", Tenant="acme"),
            await world.send("/open/x", headers={"Tenant": "acme"}),
        ]
        seen = [request.get("tenant") for request in received(world)]
        assert not any(map(holds_key, received(world)))
        lines = world.lines("request.key_refused")
    assert [answer.status for answer in refused] == [401] * 4
    assert [answer.status for answer in public] == [200] * 3
    assert sorted(map(str, seen)) == ["None", "None", "acme"]
    assert {line["outcome"] for line in lines} == {"unauthorized"}
    assert {line["configuration"] for line in lines} == {2}
    assert UNKNOWN_KEY not in json.dumps(lines)


async def test_without_workspaces_the_callers_headers_pass_unchanged(log_path):
    async with platform_world(log_path, **BOUNDS) as world:
        answer = await ask(world, UNKNOWN_KEY, Tenant="mine")
        (request,) = received(world)
    assert answer.status == 200
    assert request.get("authorization") == f"Bearer {UNKNOWN_KEY}"
    assert request.get("tenant") == "mine"


@pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.SILENT])
async def test_host_that_is_cut_off_refuses_keys_in_time_and_serves_again(
    log_path, fault
):
    """The key is removed while the only host can't hear of it."""
    async with platform_world(log_path, **BOUNDS) as world:
        await started(world)
        world.store.fault_by_port[world.store_ports[0]] = fault
        world.apply(with_workspaces(3, acme=["new-key"]))
        removed_at = time.monotonic()
        answers = []
        while time.monotonic() < removed_at + REVOKE_S + 0.7:
            sent_at = time.monotonic()
            answer = await ask(world, KEY, identifier=f"k-{len(answers)}")
            answers.append((sent_at - removed_at, answer.status))
            assert (await world.send("/open/x")).status == 200
            await asyncio.sleep(0.03)
        new = await ask(world, "new-key")
        statuses = {status for after_s, status in answers if after_s > REVOKE_S}
        lines = world.lines("request.key_refused")
        world.store.fault_by_port.clear()
        await until(lambda: versions(world) == {3}, 2.5)
        await until(lambda: is_current(world.hosts[0]), 2.5)
        assert (await ask(world, "new-key")).status == 200
        assert (await ask(world, KEY)).status == 401
    assert answers[0][1] == 200 and statuses == {503}
    # The new key isn't known here, which isn't certain.
    assert new.status == 503 and float(new.headers["retry-after"]) > 0
    assert {line["outcome"] for line in lines} == {"proof_too_old", "key_uncertain"}
    old = [line for line in lines if line["outcome"] == "proof_too_old"]
    assert all(line["workspace"] == "acme" for line in old)
    ages = sorted(line["proof_age_s"] for line in old)
    assert ages[0] > REVOKE_S - 0.25, ages


async def test_host_without_store_keeps_its_proof_through_its_peers(log_path):
    """A path to a host that has one is enough, for twice as long as a proof lasts."""
    async with platform_world(log_path, hosts=3, **BOUNDS) as world:
        await started(world)
        world.store.fault_by_port[world.store_ports[1]] = StoreFault.SILENT
        world.store.fault_by_port[world.store_ports[2]] = StoreFault.BUSY
        until_at = time.monotonic() + 2 * REVOKE_S
        ages = []
        while time.monotonic() < until_at:
            assert (await ask(world, KEY, host=1)).status == 200
            assert (await ask(world, KEY, host=2)).status == 200
            ages += [h.context.configuration.proof_age_s for h in world.hosts]
            await asyncio.sleep(0.05)
        world.apply(with_workspaces(3, acme=["new-key"]))
        await until(lambda: versions(world) == {3}, 2.0)
        assert (await ask(world, KEY, host=1)).status in (401, 503)
        assert (await ask(world, "new-key", host=1)).status == 200
    assert max(ages) < REVOKE_S - 0.25


async def test_state_that_a_peer_sends_by_itself_is_no_proof(log_path):
    """It may have waited in a socket for as long as this process was suspended."""
    async with platform_world(log_path, hosts=2, **BOUNDS) as world:
        await started(world)
        sync = world.hosts[0].sync
        configuration_in_force = world.hosts[0].context.configuration
        message = world.hosts[1].sync._build_state()
        world.store.fault_by_port[world.store_ports[0]] = StoreFault.BUSY

        async def no_call(*arguments, **options):
            raise PeerError("cut off")

        sync._peers.call_address = no_call
        await until(lambda: configuration_in_force.proof_age_s > REVOKE_S)
        message.configuration_age_ms = 1
        await sync.serve(message)
        assert configuration_in_force.proof_age_s > REVOKE_S
        assert (await ask(world, KEY)).status == 503


async def test_key_that_is_removed_while_a_request_waits_is_not_run(log_path):
    async with platform_world(log_path, **BOUNDS) as world:
        await started(world)
        for name in ("e-2", "e-3"):
            world.runner_named(name).refuses_holds = True
        waiting = asyncio.create_task(
            world.send(
                "/stream/x", "POST", "w-1", b"p", headers=GENERATION | bearer(KEY)
            )
        )
        await asyncio.sleep(0.2)
        world.apply(with_workspaces(3, acme=[]))
        await until(lambda: versions(world) == {3})
        for name in ("e-2", "e-3"):
            world.runner_named(name).refuses_holds = False
        answer = await waiting
        assert not received(world) and run_count(world, "w-1") == 0
    assert answer.status == 401


async def test_key_that_moves_while_a_request_waits_names_its_new_workspace(log_path):
    async with platform_world(log_path, **BOUNDS) as world:
        await started(world)
        for name in ("e-2", "e-3"):
            world.runner_named(name).refuses_holds = True
        waiting = asyncio.create_task(
            world.send(
                "/stream/x", "POST", "w-1", b"p", headers=GENERATION | bearer(KEY)
            )
        )
        await asyncio.sleep(0.2)
        world.apply(with_workspaces(3, acme=[], bell=[KEY, OTHER_KEY]))
        await until(lambda: versions(world) == {3})
        for name in ("e-2", "e-3"):
            world.runner_named(name).refuses_holds = False
        answer = await waiting
        assert tenants(world) == {"bell"}
    assert answer.status == 200


async def test_retry_names_the_workspace_that_the_key_has_by_then(log_path):
    async with platform_world(log_path, **BOUNDS) as world:
        await started(world)
        for name in ("p-1", "p-2"):
            runner = world.runner_named(name)
            runner.next_faults, runner.work_s = [RunnerFault.RESET_AFTER_RUN], 1.3
        waiting = asyncio.create_task(ask(world, KEY, identifier="m-1"))
        await until(lambda: run_count(world, "m-1"))
        first = next(r for r in world.runners if r.ran)
        for runner in world.runners:
            runner.next_faults = [] if runner is not first else runner.next_faults
            runner.work_s = 0.01
        world.apply(with_workspaces(3, acme=[], bell=[KEY, OTHER_KEY]))
        await until(lambda: versions(world) == {3})
        answer = await waiting
        names = [request.get("tenant") for request in received(world)]
    assert answer.status == 200 and sorted(names) == ["acme", "bell"]


@pytest.mark.parametrize("moves", [False, True], ids=["removed", "moved"])
@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
async def test_key_that_changes_while_a_connection_is_opened(
    log_path, monkeypatch, path, moves
):
    """Nothing has been sent then, and the headers name the workspace of before."""
    opened_at = []

    async with platform_world(log_path, **BOUNDS) as world:
        await started(world)

        async def open_late(context, runner, lifetime_s):
            opened = await open_connection(context, runner, lifetime_s)
            # Calls that don't carry the request have less time.
            if not opened_at and lifetime_s > CALL_TIMEOUT_S:
                opened_at.append(time.monotonic())
                bell = [KEY, OTHER_KEY] if moves else [OTHER_KEY]
                document = with_workspaces(3, acme=[], bell=bell)
                found = world.hosts[0].context.configuration
                assert found.advance(json.dumps(document).encode(), "a peer")
            return opened

        monkeypatch.setattr(runner_calls, "open_connection", open_late)
        headers = GENERATION | bearer(KEY)
        answer = await world.send(path, "POST", "c-1", b"p", headers=headers)
        assert opened_at and tenants(world) <= {"bell"}
        assert run_count(world, "c-1") == (1 if answer.status == 200 else 0)
    assert answer.status in ((200, 503) if moves else (401, 503))


async def test_retry_after_a_key_was_removed_may_have_run(log_path):
    """The first send was allowed, so neither 401 nor 503 would be true."""
    async with platform_world(log_path, **BOUNDS) as world:
        await started(world)
        for name in ("p-1", "p-2"):
            runner = world.runner_named(name)
            runner.fault, runner.work_s = RunnerFault.RESET_AFTER_RUN, 1.5
        waiting = asyncio.create_task(ask(world, KEY, identifier="m-1"))
        await until(lambda: run_count(world, "m-1"))
        world.apply(with_workspaces(3, acme=[]))
        await until(lambda: versions(world) == {3})
        answer = await waiting
        assert run_count(world, "m-1") == 1
    assert answer.status == 502


@pytest.mark.system
async def test_key_that_is_removed_while_the_process_is_suspended_runs_nowhere(
    tmp_path,
):
    """Requests wait in the sockets of the suspended process."""
    bounds = f"revoke_fail_closed = true\nrevoke_ms = {REVOKE_MS}"
    async with platform_fleet(tmp_path, 2, bounds, network=10) as fleet:
        fleet.store.put("op/config", json.dumps(with_workspaces(2)).encode())

        async def ask_fleet(identifier: str, path="/once/x", key=KEY):
            headers = {"Host": HOST, "Attempt-Id": identifier} | bearer(key)
            headers["Content-Length"] = "0"
            return await send_raw(fleet.address(0), "POST", path, headers, b"")

        async with asyncio.timeout(10):
            while not (await fleet.is_ready(0) and await fleet.is_ready(1)):
                await asyncio.sleep(0.05)
            while (await ask_fleet("unknown", key=UNKNOWN_KEY)).status != 401:
                await asyncio.sleep(0.05)
        assert (await ask_fleet("before")).status == 200
        fleet.hosts[0].freeze()
        try:
            document = with_workspaces(3, acme=["new-key"])
            fleet.store.put("op/config", json.dumps(document).encode())
            await asyncio.sleep(REVOKE_S + 0.1)
            waiting = [
                asyncio.create_task(ask_fleet(f"late-{number}")) for number in range(20)
            ]
            public = asyncio.create_task(ask_fleet("public", "/open/x"))
            await asyncio.sleep(0.2)
        finally:
            fleet.hosts[0].thaw()
        answers = await asyncio.gather(*waiting)
        assert (await public).status == 200
        ran = {identifier for runner in fleet.runners for identifier in runner.ran}
    assert ran == {"before", "public"}
    assert {answer.status for answer in answers} <= {401, 503}


async def test_hosts_of_a_large_fleet_keep_their_proofs(log_path):
    """Most hosts of a large fleet learn from others; one reaches no other host."""
    bounds = {"revoke_fail_closed": True, "revoke_ms": 5000}
    hosts = MAX_SMALL_FLEET + 2
    options = {"hosts": hosts, "wait_ready": False} | bounds
    async with platform_world(log_path, **options) as world:
        world.apply(with_workspaces(2))
        settled = lambda: all(
            host.view.is_large and host.context.configuration.needs_proof
            for host in world.hosts
        )
        await until(settled, 12.0)
        await until(lambda: all(map(is_current, world.hosts)), 5.0)
        alone = next(h for h in world.hosts if not h.view.is_serving)

        async def no_call(*arguments, **options):
            raise PeerError("cut off")

        alone.sync._peers.call_address = no_call
        ages = []
        until_at = time.monotonic() + 10
        while time.monotonic() < until_at:
            ages += [h.context.configuration.proof_age_s for h in world.hosts]
            await asyncio.sleep(0.05)
        number = world.hosts.index(alone)
        assert (await ask(world, KEY, host=number)).status == 200
    assert max(ages) < 4.75


async def test_unknown_keys_leave_the_log_to_other_requests(log_path):
    async with platform_world(log_path, **BOUNDS) as world:
        await started(world)
        context = world.hosts[0].context
        for number in range(40):
            await asyncio.gather(
                *(ask(world, f"{UNKNOWN_KEY}-{number}-{n}") for n in range(20))
            )
        assert (await ask(world, KEY, identifier="mine")).status == 200
        ended = [line["request"] for line in world.lines("request.ended")]
        refused = len(world.lines("request.key_refused"))
        assert context.metrics.value("keys_refused", cause="unauthorized") == 800
        assert "key-of" not in context.metrics.exposition()
        size = os.path.getsize(log_path)
    assert ended == ["mine"]
    assert refused < 800 and size < 400_000


async def test_operators_see_workspaces_and_refusals_without_keys(log_path, capsys):
    async with platform_world(log_path, **BOUNDS) as world:
        await started(world)
        assert (await ask(world, UNKNOWN_KEY)).status == 401
        assert (await ask(world, KEY)).status == 200
        world.store.fault_by_port[world.store_ports[0]] = StoreFault.BUSY
        await asyncio.sleep(REVOKE_S)
        assert (await ask(world, KEY)).status == 503
        addresses = f"{world.hosts[0].settings.listeners.metrics},127.0.0.1:1"
        run = lambda *arguments: asyncio.to_thread(
            main, ["workspaces", *arguments, "--hosts", addresses]
        )
        assert await run("acme") == 5
        printed = capsys.readouterr().out
        assert await run("--json") == 5
        document = json.loads(capsys.readouterr().out)
    digest = key_digest(KEY.encode())[:6].hex()
    assert f"acme  priority 0  keys {digest}  refused proof_too_old=1" in printed
    assert "unauthorized=1" in printed and "(old)" in printed
    assert "bell" not in printed and "unreachable" in printed
    host = next(found for found in document.values() if "workspaces" in found)
    assert [w["name"] for w in host["workspaces"]] == ["acme", "bell"]
    assert not any(key in printed + str(document) for key in (KEY, UNKNOWN_KEY))


async def test_stream_of_another_workspace_is_not_found(log_path):
    async with platform_world(log_path, **BOUNDS) as world:
        await started(world)
        resume = {"Resumes": "begun", "Last-Event-Id": "2"}
        for key, extra in ((KEY, {}), (OTHER_KEY, resume), (KEY, resume)):
            headers = GENERATION | bearer(key) | extra
            identifier = f"v-{key}" if extra else "begun"
            await world.send("/resume/x", "POST", identifier, b"p", headers=headers)
        found = [line["version"] for line in world.lines("stream.version")]
    assert found == [None, "v1"]


async def test_streams_are_not_shared_between_workspaces(log_path):
    """The same attempt id in two workspaces names two streams."""
    async with platform_world(log_path, **BOUNDS) as world:
        await started(world)
        for key in (KEY, OTHER_KEY):
            headers = GENERATION | bearer(key)
            await world.send("/resume/x", "POST", "same", b"p", headers=headers)
        memory = world.hosts[0].context.stream_versions.memory
        assert len(memory) == 2 and memory.version_of("same") is None


async def test_part_of_a_prompt_is_the_same_in_all_workspaces(log_path, monkeypatch):
    """A part that crashes engines does so whichever workspace sends it.

    Evidence kept apart by workspace would let each workspace crash engines anew.
    """
    found: dict[str, tuple[str, ...]] = {}
    original = GatewayContext.check_bars

    def record(self, job):
        found[job.workspace.name] = job.part_traits
        return original(self, job)

    monkeypatch.setattr(GatewayContext, "check_bars", record)
    async with platform_world(log_path, **BOUNDS) as world:
        await started(world)
        for key in (KEY, OTHER_KEY):
            headers = GENERATION | {"Prompt-Prefix": "shared:50,own:50"} | bearer(key)
            await world.send("/stream/x", "POST", f"of-{key}", b"p", headers=headers)
    assert set(found) == {"acme", "bell"}
    assert found["acme"] and found["acme"] == found["bell"]
