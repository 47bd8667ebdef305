"""Streams that are resumed after all hosts were killed during a release.

The hosts' memory of what began each stream is lost. A stream that goes on at another
version than the one that began it is joined from two outputs that don't fit together.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest
from lib.platform_world import is_ready, until
from lib.version_world import (
    NEW,
    OLD,
    begin_stream,
    take_up,
    versions_in,
    versions_world,
)

from siskinlever_testbed.standins.platform.store import StoreFault

ALL_OLD = dict.fromkeys(["e-1", "e-2", "e-3", "e-4"], OLD)
MIXED = {"e-1": OLD, "e-2": NEW, "e-3": OLD, "e-4": NEW}
HOSTS = 3
STREAMS = 6
# Seconds within which a refusal counts as immediate.
REFUSAL_S = 1.0


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


def start_engines(world, names, version: str) -> None:
    """Replace engines by new processes of a version under the same names."""
    for name in names:
        runner = world.runner_named(name)
        runner.version, runner.draining = version, False
        runner.born = (runner.born or 0) + 1_000
    world.register_all()


def drain_engines(world, names) -> None:
    for name in names:
        world.runner_named(name).draining = True
    world.register_all()


RELEASES = {
    "old engines present": lambda world: start_engines(world, ["e-2", "e-4"], NEW),
    "old engines draining": lambda world: (
        drain_engines(world, ["e-1", "e-3"]),
        start_engines(world, ["e-2", "e-4"], NEW),
    ),
    "old engines gone": lambda world: start_engines(world, ALL_OLD, NEW),
}


async def start_again(world, settings) -> None:
    for host in settings:
        await world.start_host(replace(host, is_first_start=False))
    await until(lambda: all(is_ready(host, HOSTS) for host in world.hosts))


async def resume_all(world, streams: int = STREAMS) -> list:
    """Resume each stream at another host than the one that began it."""
    started_at = time.monotonic()
    answers = await asyncio.gather(
        *(
            take_up(world, f"g-{n}", f"t-{n}", (n + 1) % len(world.hosts))
            for n in range(streams)
        )
    )
    refused = [answer for answer in answers if answer.status != 200]
    assert not refused or time.monotonic() - started_at < REFUSAL_S
    assert {answer.status for answer in refused} <= {503}
    return answers


def assert_joined_from_one_version(begun, answers) -> None:
    for events, answer in zip(begun, answers, strict=True):
        if answer.status == 200:
            assert versions_in(answer.body) == versions_in(events)


@pytest.mark.parametrize("is_seen", [True, False], ids=["before kill", "after kill"])
@pytest.mark.parametrize("release", RELEASES.values(), ids=list(RELEASES))
async def test_stream_begun_before_a_release_is_not_joined(log_path, release, is_seen):
    """The hosts see the release before they are killed, or after they start again."""
    async with versions_world(log_path, ALL_OLD, HOSTS) as world:
        begun = [await begin_stream(world, f"g-{n}", n % HOSTS) for n in range(STREAMS)]
        if is_seen:
            release(world)
            await asyncio.sleep(1.2)
        settings = await world.kill_hosts()
        release(world)
        await start_again(world, settings)
        assert_joined_from_one_version(begun, await resume_all(world))


async def test_stream_begun_at_a_version_that_was_withdrawn_is_not_joined(log_path):
    async with versions_world(log_path, MIXED, HOSTS) as world:
        begun = [await begin_stream(world, f"g-{n}", n % HOSTS) for n in range(STREAMS)]
        assert {NEW} in [versions_in(events) for events in begun]
        settings = await world.kill_hosts()
        start_engines(world, ALL_OLD, OLD)
        await start_again(world, settings)
        assert_joined_from_one_version(begun, await resume_all(world))


async def test_store_that_is_down_at_the_start_leaves_streams_unknown(log_path):
    async with versions_world(log_path, ALL_OLD, HOSTS) as world:
        begun = [await begin_stream(world, f"g-{n}", n % HOSTS) for n in range(STREAMS)]
        settings = await world.kill_hosts()
        start_engines(world, ALL_OLD, NEW)
        world.store.fault_by_port = dict.fromkeys(world.store_ports, StoreFault.SILENT)
        for host in settings:
            await world.start_host(replace(host, is_first_start=False))
        assert all(answer.status == 503 for answer in await resume_all(world))
        # One host reaches the store; the others have the registrations from it.
        del world.store.fault_by_port[world.store_ports[0]]
        await until(lambda: all(is_ready(host, HOSTS) for host in world.hosts))
        assert_joined_from_one_version(begun, await resume_all(world))
        world.store.fault_by_port.clear()
        await asyncio.sleep(1.5)
        assert_joined_from_one_version(begun, await resume_all(world))
