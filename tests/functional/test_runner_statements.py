"""Runners that state in their answers that they leave, or want a pause."""

from __future__ import annotations

import asyncio
import time

import pytest
from lib.platform_world import configuration, platform_world, until

from siskinlever._internal.exceptions import InvalidRecordError
from siskinlever._internal.fleet import runners as runner_directory
from siskinlever._internal.fleet.runners import RunnerState
from siskinlever._internal.gateway import engine_calls
from siskinlever._internal.models.upstreams import Stage
from siskinlever_testbed.standins.platform.runner_answers import RunnerFault
from siskinlever_testbed.standins.platform.store import StoreFault

GENERATION = {"Model": "m", "Token-Usage": "100,70", "Length-Hint": "70"}
PAUSE_S = 1.5
# Seconds after an answer with a pause from which requests count.
NOTICE_S = 0.5


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


async def send_plain(world, count: int, host: int = 0) -> list:
    return [
        await world.send("/safe/x", identifier=f"s-{n}", host=host)
        for n in range(count)
    ]


async def generate(world, identifier: str, host: int = 0):
    return await world.send(
        "/stream/x", "POST", identifier, b"p", host, headers=GENERATION
    )


async def send_generations(world, count: int) -> list:
    return [await generate(world, f"g-{number}") for number in range(count)]


def state_of(host, name: str) -> RunnerState:
    runners = host.context.runners.by_key.items()
    return next(known.state for key, known in runners if key.name == name)


@pytest.mark.parametrize("is_store_out", [False, True])
async def test_runner_that_states_that_it_leaves_gets_no_more_requests(
    log_path, is_store_out
):
    async with platform_world(log_path) as world:
        if is_store_out:
            world.store.fault_by_port[world.store_ports[0]] = StoreFault.SILENT
        leaving = world.runner_named("p-1")
        leaving.leaving = True
        while not leaving.received:
            await send_plain(world, 1)
        # Its registration still says that it is ready.
        world.register_all()
        before = len(leaving.received)
        answers = await send_plain(world, 20)
        await asyncio.sleep(1.0)
        answers += await send_plain(world, 20)
        assert {answer.status for answer in answers} == {200}
        assert len(leaving.received) == before


async def test_other_hosts_learn_that_a_runner_states_that_it_leaves(log_path):
    async with platform_world(log_path, hosts=3) as world:
        leaving = world.runner_named("p-1")
        leaving.leaving = True
        while not leaving.received:
            await send_plain(world, 1)
        await until(
            lambda: all(
                state_of(host, "p-1") is RunnerState.DRAINING for host in world.hosts
            ),
            1.0,
        )


@pytest.mark.parametrize("name", ["e-1", "e-2"])
async def test_engine_that_states_that_it_leaves_gets_no_more_requests(log_path, name):
    async with platform_world(log_path) as world:
        leaving = world.runner_named(name)
        leaving.leaving = True
        for number in range(4):
            answer = await generate(world, f"a-{number}")
            assert answer.status == 200 and answer.complete
        await until(lambda: state_of(world.hosts[0], name) is RunnerState.DRAINING)
        before = len(leaving.received)
        for number in range(4):
            await generate(world, f"b-{number}")
        assert len(leaving.received) == before


async def test_runner_that_wants_a_pause_gets_none_until_its_end(log_path):
    async with platform_world(log_path) as world:
        paused = world.runner_named("p-1")
        paused.fault, paused.retry_after = RunnerFault.SHED, str(PAUSE_S)
        while not paused.received:
            await send_plain(world, 1)
        stated_at = paused.received_at[0]
        while time.monotonic() < stated_at + PAUSE_S:
            await send_plain(world, 3)
            await asyncio.sleep(0.02)
        since, end = stated_at + NOTICE_S, stated_at + PAUSE_S
        assert not [at for at in paused.received_at if since <= at < end]
        paused.fault, paused.retry_after = RunnerFault.NONE, None
        before = len(paused.received)
        while len(paused.received) == before:
            assert time.monotonic() < stated_at + PAUSE_S + 3.0
            await send_plain(world, 3)


async def test_request_is_refused_at_once_while_all_runners_want_a_pause(log_path):
    async with platform_world(log_path) as world:
        for name in ("p-1", "p-2"):
            runner = world.runner_named(name)
            runner.fault, runner.retry_after = RunnerFault.SHED, "2.5"
        await send_plain(world, 1)
        started_at = time.monotonic()
        answer = (await send_plain(world, 1))[0]
        assert answer.status == 503 and time.monotonic() - started_at < 0.2
        assert 1.0 < float(answer.headers["retry-after"]) < 4.0
        arrivals = [len(world.runner_named(n).received) for n in ("p-1", "p-2")]
        assert arrivals == [1, 1]


async def test_engines_that_refuse_reservations_with_a_pause_get_no_requests(log_path):
    async with platform_world(log_path) as world:
        for name in ("e-2", "e-3"):
            runner = world.runner_named(name)
            runner.refuses_holds, runner.retry_after = True, "5"
        await generate(world, "g-1")
        started_at = time.monotonic()
        answer = await generate(world, "g-2")
        assert answer.status == 503 and time.monotonic() - started_at < 0.3
        assert 2.0 < float(answer.headers["retry-after"]) < 8.0
        assert not world.runner_named("e-1").received
        assert world.hosts[0].context.metrics.value("holds", status="503") <= 2


async def test_statement_of_another_runner_at_the_address_is_not_applied(log_path):
    """The address of a runner that has left may belong to another one."""
    async with platform_world(log_path) as world:
        other = world.runner_named("p-2")
        other.name, other.leaving = "p-9", True
        await send_plain(world, 6)
        assert state_of(world.hosts[0], "p-2") is RunnerState.GONE
        changes = world.lines("runner.state")
        assert not any(line["after"] == "draining" for line in changes)


async def test_nothing_is_kept_of_runners_that_are_gone(log_path, monkeypatch):
    monkeypatch.setattr(runner_directory, "GONE_RETENTION_S", 0.5)
    async with platform_world(log_path) as world:
        for name in ("p-1", "p-2", "e-2", "e-3"):
            world.runner_named(name).limit = "50"
        await send_plain(world, 30)
        await generate(world, "g-1")
        context = world.hosts[0].context
        for name in ("p-1", "e-2", "e-3"):
            world.deregister(world.runner_named(name))

        def known() -> set[str]:
            engines = context.placement_for("engines").refused.by_engine
            stats = context.plain_placement.stats_by_runner
            stated = context.limits.by_runner
            return {key.name for keys in (engines, stats, stated) for key in keys}

        await until(lambda: known() == {"p-2"}, 15.0)


async def test_generation_is_not_sent_to_an_engine_that_wants_a_pause_since_its_prefill(
    log_path,
):
    """Several generations have reserved room before the first one is rejected."""
    async with platform_world(log_path) as world:
        document = configuration(2)
        for route in document["routes"]:
            route["target_latency_ms"] = 3000
        world.apply(document)
        in_force = world.hosts[0].context.configuration
        await until(lambda: in_force.version == 2)
        world.runner_named("e-1").work_s = 0.8
        for name in ("e-2", "e-3"):
            engine = world.runner_named(name)
            engine.fault, engine.retry_after = RunnerFault.SHED, "4"
        first = [asyncio.create_task(generate(world, f"a-{n}")) for n in range(2)]
        await asyncio.sleep(0.7)
        later = [asyncio.create_task(generate(world, f"b-{n}")) for n in range(6)]
        answers = await asyncio.gather(*first, *later)
        assert {answer.status for answer in answers} == {503}
        for name in ("e-2", "e-3"):
            times = world.runner_named(name).received_at
            counted = [at for at in times if at >= times[0] + NOTICE_S]
            assert len(counted) <= 2


@pytest.mark.parametrize("name", ["p-1", "e-1", "e-2"])
async def test_pause_in_a_rejection_that_names_no_request_is_obeyed(log_path, name):
    async with platform_world(log_path) as world:
        paused = world.runner_named(name)
        paused.fault, paused.retry_after = RunnerFault.SHED, "60"
        paused.rejects_with_id = False
        send = send_plain if name == "p-1" else send_generations
        while not paused.received:
            await send(world, 1)
        (key,) = (k for k in world.hosts[0].context.runners.by_key if k.name == name)
        assert world.hosts[0].context.limits.are_paused([key])


async def test_reservations_at_an_engine_that_wants_a_pause_are_left_to_lapse(log_path):
    """Several generations have reserved room before the first one is rejected."""
    async with platform_world(log_path) as world:
        world.runner_named("e-1").work_s = 0.4
        engines = [world.runner_named(name) for name in ("e-2", "e-3")]
        for engine in engines:
            engine.fault, engine.retry_after = RunnerFault.SHED, "4"
        tasks = []
        for number in range(10):
            tasks.append(asyncio.create_task(generate(world, f"g-{number}")))
            await asyncio.sleep(0.04)
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.2)
        for engine in engines:
            rejected_at = engine.received_at[0]
            later = [a for a in engine.arrivals if a[0] >= rejected_at + 0.02]
            assert len(later) <= 2


async def report(context, runner) -> None:
    with pytest.raises(InvalidRecordError):
        await engine_calls.read_report(context, runner)


async def order(context, runner) -> None:
    assert await engine_calls.order_stage(context, runner, Stage.PREFILL, 1, 0) == 503


async def release_hold(context, runner) -> None:
    engine_calls.release_hold(context, runner, "h-1")


async def free_handle(context, runner) -> None:
    engine_calls.free_handle(context, runner, "k-1")


CALLS = {
    "/report": report,
    "/order": order,
    "/hold-drop": release_hold,
    "/kv-handle": free_handle,
}


@pytest.mark.parametrize("call", CALLS)
async def test_pause_stated_on_any_call_is_obeyed_by_requests(log_path, call):
    async with platform_world(log_path) as world:
        context = world.hosts[0].context
        paused = world.runner_named("e-2")
        paused.refused_calls, paused.retry_after = frozenset({call}), "60"
        known = {r.key.name: r for r in context.runners.usable("engines")}
        await CALLS[call](context, known["e-2"])
        await until(lambda: context.limits.are_paused([known["e-2"].key]), 1.0)
        before = len(paused.arrivals)
        await send_generations(world, 4)
        assert len(paused.arrivals) == before
