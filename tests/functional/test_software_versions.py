"""Engines of several software versions that serve side by side."""

from __future__ import annotations

import asyncio

import pytest
from lib.platform_world import configuration, until
from lib.version_world import (
    GENERATION,
    NEW,
    OLD,
    begin_stream,
    knows,
    take_up,
    versions_in,
    versions_world,
)


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


async def test_both_stages_of_a_generation_run_at_one_version(log_path):
    versions = {"e-1": OLD, "e-2": NEW, "e-3": OLD, "e-4": NEW}
    async with versions_world(log_path, versions, hosts=1) as world:
        for number in range(8):
            call = (f"g-{number}", b"p", 0, GENERATION)
            answer = await world.send("/stream/x", "POST", *call)
            assert answer.status == 200 and len(versions_in(answer.body)) == 1
        for name in ("e-2", "e-3", "e-4"):
            assert not world.runner_named(name).foreign_prompts


async def test_broken_stream_continues_at_the_version_that_began_it(log_path):
    versions = {"e-1": OLD, "e-2": NEW, "e-3": OLD, "e-4": NEW}
    async with versions_world(log_path, versions, hosts=1) as world:
        for name in ("e-2", "e-3", "e-4"):
            world.runner_named(name).break_after_events = 3
        for number in range(6):
            call = (f"g-{number}", b"p", 0, GENERATION)
            answer = await world.send("/resume/x", "POST", *call)
            assert len(versions_in(answer.body)) == 1


async def test_stream_that_a_caller_takes_up_continues_at_its_version(log_path):
    """The caller takes each stream up at another host than the one that began it."""
    versions = {"e-1": OLD, "e-2": NEW, "e-3": OLD, "e-4": NEW}
    async with versions_world(log_path, versions, hosts=3) as world:
        for number in range(8):
            begun = await begin_stream(world, f"g-{number}", number % 3)
            answer = await take_up(
                world, f"g-{number}", f"t-{number}", (number + 1) % 3
            )
            assert answer.status == 200 and answer.complete
            assert versions_in(answer.body) == versions_in(begun)


async def test_stream_whose_version_is_gone_is_refused_before_a_prefill(log_path):
    versions = {"e-1": OLD, "e-2": OLD, "e-3": OLD, "e-4": OLD}
    async with versions_world(log_path, versions, hosts=2) as world:
        await begin_stream(world, "g-1", 0)
        for name in versions:
            runner = world.runner_named(name)
            runner.version, runner.born = NEW, 1_800_000_001_000
        world.register_all()
        renewed = dict.fromkeys(versions, NEW)
        await until(lambda: all(knows(host, renewed) for host in world.hosts))
        prefills = len(world.runner_named("e-1").received)
        answer = await take_up(world, "g-1", "t-1", 1)
        assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
        assert len(world.runner_named("e-1").received) == prefills
        assert world.lines("request.ended")[-1]["taken_s"] < 0.5


@pytest.mark.parametrize(("other", "status"), [(OLD, 200), (NEW, 503)])
async def test_stream_that_no_host_knows_goes_on_only_if_one_version_serves(
    log_path, other, status
):
    versions = {"e-1": OLD, "e-2": other, "e-3": OLD, "e-4": other}
    async with versions_world(log_path, versions, hosts=2) as world:
        answer = await take_up(world, "unknown", "t-1", 1)
        assert answer.status == status


async def test_unknown_stream_is_refused_while_engines_of_another_version_leave(
    log_path,
):
    """It may have begun at the version that is leaving."""
    versions = {"e-1": NEW, "e-2": OLD, "e-3": NEW, "e-4": NEW}
    async with versions_world(log_path, versions, hosts=1) as world:
        leaving = world.runner_named("e-2")
        leaving.draining = True
        world.register_all()
        usable = world.hosts[0].context.runners.usable
        await until(lambda: {r.version for r in usable("engines")} == {NEW})
        answer = await take_up(world, "unknown", "t-1", 0)
        assert answer.status == 503


async def test_streams_taken_up_go_on_as_often_as_new_ones_begin_under_load(log_path):
    """New streams want more than all engines; those taken up need one version."""
    versions = {"e-1": OLD, "e-2": NEW, "e-3": OLD, "e-4": NEW}
    async with versions_world(log_path, versions, hosts=2) as world:
        document = configuration(2)
        document["services"][1]["engine"]["slots"] = 4
        world.apply(document)
        for name in ("e-2", "e-3", "e-4"):
            world.runner_named(name).step_s = 0.02
        await asyncio.sleep(1.0)
        begun = [await begin_stream(world, f"g-{n}", n % 2) for n in range(6)]
        new, taken_up = [], []
        for number in range(90):
            call = (f"n-{number}", b"p", number % 2, GENERATION)
            new.append(asyncio.create_task(world.send("/resume/x", "POST", *call)))
            if number % 15 == 14:
                first = number // 15
                resumed = take_up(world, f"g-{first}", f"t-{first}", (first + 1) % 2)
                taken_up.append(asyncio.create_task(resumed))
            await asyncio.sleep(0.04)
        answers = await asyncio.gather(*new)
        continued = await asyncio.gather(*taken_up)
    begin_share = sum(answer.status == 200 for answer in answers) / len(answers)
    go_on_share = sum(answer.status == 200 for answer in continued) / len(continued)
    assert begin_share < 1.0
    assert go_on_share >= begin_share / 2
    for events, answer in zip(begun, continued, strict=True):
        assert answer.status != 200 or versions_in(answer.body) == versions_in(events)
