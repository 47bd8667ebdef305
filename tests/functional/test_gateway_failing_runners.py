"""Runners that fail some of their requests, and the retries that this may cost."""

from __future__ import annotations

import pytest
from lib.platform_world import platform_world, until

from siskinlever._internal.gateway import engine_calls
from siskinlever_testbed.processes import free_addresses
from siskinlever_testbed.standins.platform.runner_answers import RunnerFault

GENERATION = {"Model": "m", "Token-Usage": "100,70", "Length-Hint": "70"}


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


async def generate(world, identifier: str, path: str = "/stream/x"):
    return await world.send(path, "POST", identifier, b"p", headers=GENERATION)


def recent_failures(world, name: str) -> float:
    runner = world.runner_named(name)
    context = world.hosts[0].context
    key = next(key for key in context.runners.by_key if key.name == name)
    return context.placement_for(runner.service).failures.count_of(key)


async def test_plain_runner_that_loses_answers_is_avoided(log_path):
    """A lost answer is a failed request, because the request may not be repeated."""
    async with platform_world(log_path) as world:
        world.runner_named("p-1").fault = RunnerFault.RESET_AFTER_RUN
        answers = [
            await world.send("/once/x", "POST", f"b-{n}", b"body") for n in range(12)
        ]
    assert len(world.runner_named("p-1").ran) <= 1
    assert sum(answer.status == 200 for answer in answers) >= 11


@pytest.mark.parametrize("fault", [RunnerFault.SHED, RunnerFault.ERROR])
async def test_failure_of_a_decode_engine_is_recorded(log_path, fault):
    async with platform_world(log_path) as world:
        for name in ("e-2", "e-3"):
            world.runner_named(name).fault = fault
        await generate(world, "g-1")
        assert recent_failures(world, "e-2") + recent_failures(world, "e-3") > 0.5


async def test_broken_stream_is_recorded_as_a_failure_of_the_decode_engine(log_path):
    async with platform_world(log_path) as world:
        for name in ("e-2", "e-3"):
            world.runner_named(name).break_after_events = 2
        await generate(world, "g-1")
        assert recent_failures(world, "e-2") + recent_failures(world, "e-3") > 0.5


async def test_rejected_prefill_is_recorded_as_a_failure_of_the_engine(log_path):
    async with platform_world(log_path) as world:
        world.runner_named("e-1").fault = RunnerFault.SHED
        answer = await generate(world, "g-1")
        assert answer.status == 200 and answer.complete
        assert recent_failures(world, "e-1") > 0.5


async def test_unreachable_prefill_engine_costs_no_retry(log_path):
    """The retry budget of a restarted host with a single request is empty."""
    async with platform_world(log_path, first_start=False) as world:
        unused_address = free_addresses(1)[0]
        world.runner_named("e-1").port = int(unused_address.rpartition(":")[2])
        world.register_all()
        context = world.hosts[0].context
        await wait_address_known(context, unused_address)
        answer = await generate(world, "g-1")
    assert answer.status == 200 and answer.complete


async def wait_address_known(context, address: str) -> None:
    """Wait until the host has received a runner's new address."""
    usable = lambda: {runner.address for runner in context.runners.usable("engines")}
    await until(lambda: address in usable())


async def test_rejected_prefill_without_a_retry_fails_the_request(log_path):
    async with platform_world(log_path, first_start=False) as world:
        world.runner_named("e-1").fault = RunnerFault.SHED
        answer = await generate(world, "g-1")
        assert not any(world.runner_named(name).received for name in ("e-2", "e-3"))
        assert world.lines("request.ended")[-1]["outcome"] == "no_retry_left"
    assert answer.status == 503 and float(answer.headers["retry-after"]) > 0


@pytest.mark.parametrize(("first_start", "arrivals"), [(True, 2), (False, 1)])
async def test_restarted_host_has_no_share_of_the_fixed_extra_retries(
    log_path, first_start, arrivals
):
    async with platform_world(log_path, first_start=first_start) as world:
        runners = [world.runner_named("p-1"), world.runner_named("p-2")]
        for runner in runners:
            runner.fault = RunnerFault.SHED
        await world.send("/once/x", "POST", "s-1", b"body")
        assert sum(len(runner.received) for runner in runners) == arrivals


async def test_generation_prefills_only_once(log_path):
    """A prefill after the first send would be charged like any other send."""
    async with platform_world(log_path) as world:
        for name in ("e-2", "e-3"):
            world.runner_named(name).fault = RunnerFault.SHED
        await generate(world, "g-1")
        assert len(world.runner_named("e-1").received) == 1
        decoded = [world.runner_named(name).received for name in ("e-2", "e-3")]
        assert sum(len(received) for received in decoded) > 1


async def test_stream_that_breaks_before_its_head_costs_a_retry(log_path):
    """The retry budget is empty, so nothing may be sent to the second engine."""
    async with platform_world(log_path, first_start=False) as world:
        for name in ("e-2", "e-3"):
            world.runner_named(name).fault = RunnerFault.RESET_AFTER_RUN
        answer = await generate(world, "g-1", "/resume/x")
        ran = [world.runner_named(name).ran for name in ("e-2", "e-3")]
    assert sorted(map(len, ran)) == [0, 1]
    assert answer.status == 502


async def test_unreachable_decode_engine_causes_no_second_prefill(
    log_path, monkeypatch
):
    """The retry budget is empty, so only the second engine's decode may be sent."""

    async def grant(*_) -> str:
        return "hold"

    monkeypatch.setattr(engine_calls, "acquire_hold", grant)
    async with platform_world(log_path, first_start=False) as world:
        unused_address = free_addresses(1)[0]
        context = world.hosts[0].context
        placement = context.placement_for(world.runner_named("e-2").service)
        world.runner_named("e-2").port = int(unused_address.rpartition(":")[2])
        world.register_all()
        await wait_address_known(context, unused_address)
        third = next(key for key in context.runners.by_key if key.name == "e-3")
        placement.failures.note(third)
        answer = await generate(world, "g-1")
        assert len(world.runner_named("e-1").received) == 1
    assert answer.status == 200 and answer.complete
