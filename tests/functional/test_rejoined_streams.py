"""Streams that are resumed after all hosts were killed during a release.

The hosts' memory of what began each stream is lost. A stream that goes on at another
version than the one that began it is joined from two outputs that don't fit together.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from contextlib import contextmanager
from dataclasses import replace
from unittest import mock

import pytest
from lib.platform_world import is_ready, until
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

from siskinlever._internal.fleet import stored_streams as stored_streams_module
from siskinlever._internal.fleet import version_history
from siskinlever._internal.platform.store import MetadataStore
from siskinlever_testbed.standins.platform.store import StoreFault

ALL_OLD = dict.fromkeys(["e-1", "e-2", "e-3", "e-4"], OLD)
MIXED = {"e-1": OLD, "e-2": NEW, "e-3": OLD, "e-4": NEW}
HOSTS = 3
STREAMS = 6
# Seconds within which a refusal counts as immediate.
REFUSAL_S = 1.0
OWN_KEYS = ("siskinlever/versions", "siskinlever/streams/")


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


@contextmanager
def counted_calls():
    """Count the calls to the store that concern versions and streams, by kind."""
    counts: Counter[str] = Counter()

    def counting(name, keys_of):
        method = getattr(MetadataStore, name)

        async def call(store, *args, **options):
            counts[name] += any(key.startswith(OWN_KEYS) for key in keys_of(*args))
            return await method(store, *args, **options)

        return mock.patch.object(MetadataStore, name, call)

    with (
        counting("read", lambda key: [key]),
        counting("list_prefix", lambda prefix: [prefix]),
        counting("transact", lambda expected, *_: expected),
    ):
        yield counts


def stored_streams(world) -> set[str]:
    items = [i for k, i in world.store.by_key.items() if k.startswith(OWN_KEYS[1])]
    return {s for item in items for v in json.loads(item.value).values() for s in v}


@pytest.mark.parametrize("release", ["before the streams", "while they are served"])
async def test_streams_go_on_after_a_kill_of_all_hosts_during_a_release(
    log_path, release
):
    """Each was begun half a second or longer before the kill, at either version."""
    is_before = release == "before the streams"
    async with versions_world(
        log_path, MIXED if is_before else ALL_OLD, HOSTS
    ) as world:
        begun = [await begin_stream(world, f"g-{n}", n % HOSTS) for n in range(9)]
        if not is_before:
            start_engines(world, ["e-2", "e-4"], NEW)
        await until(lambda: len(stored_streams(world)) == 9)
        settings = await world.kill_hosts()
        await start_again(world, settings)
        answers = await resume_all(world, 9)
        assert_joined_from_one_version(begun, answers)
        # All new streams begin; half as often is the bound.
        assert sum(answer.status == 200 for answer in answers) >= len(answers) / 2
        # A second resumption in a row, at yet another host.
        await asyncio.sleep(0.1)
        answers = [
            await take_up(world, f"g-{n}", f"u-{n}", (n + 2) % HOSTS) for n in range(9)
        ]
        assert_joined_from_one_version(begun, answers)


async def test_unknown_stream_goes_on_once_one_version_has_served_for_long(
    log_path, monkeypatch
):
    monkeypatch.setattr(version_history, "RECENT_S", 2.0)
    async with versions_world(log_path, ALL_OLD, HOSTS) as world:
        await begin_stream(world, "g-0", 0)
        start_engines(world, ALL_OLD, NEW)
        await asyncio.sleep(1.2)
        settings = await world.kill_hosts()
        await start_again(world, settings)
        assert (await take_up(world, "unknown", "t-1", 1)).status == 503
        await asyncio.sleep(5.0)
        assert (await take_up(world, "unknown", "t-2", 1)).status == 200
        settings = await world.kill_hosts()
        await start_again(world, settings)
        assert (await take_up(world, "unknown", "t-3", 2)).status == 200


async def test_store_restored_from_before_the_release_proves_nothing(log_path):
    """The copy names the old version only, and all hosts are killed meanwhile."""
    async with versions_world(log_path, ALL_OLD, HOSTS) as world:
        world.store.era = 1
        copy = world.store.snapshot()
        start_engines(world, ALL_OLD, NEW)
        renewed = dict.fromkeys(ALL_OLD, NEW)
        await until(lambda: all(knows(host, renewed) for host in world.hosts))
        begun = [await begin_stream(world, f"g-{n}", n % HOSTS) for n in range(3)]
        settings = await world.kill_hosts()
        world.store.restore(copy)
        start_engines(world, ALL_OLD, OLD)
        await start_again(world, settings)
        assert_joined_from_one_version(begun, await resume_all(world, 3))


async def test_calm_day_costs_no_calls_and_a_release_a_bounded_number(log_path):
    """One read for each host's start, one write for the fleet's; each half second a
    write of each serving host during a release."""
    with counted_calls() as counts:
        async with versions_world(log_path, ALL_OLD, HOSTS) as world:
            for number in range(20):
                await begin_stream(world, f"c-{number}", number % HOSTS)
            await take_up(world, "c-0", "t-0", 1)
            await asyncio.sleep(1.5)
            assert counts["transact"] <= HOSTS and counts["read"] <= 2 * HOSTS
            calm = counts.copy()
            await asyncio.sleep(4.0)
            assert counts == calm
            start_engines(world, ["e-2", "e-4"], NEW)
            began_at = time.monotonic()
            for number in range(100):
                await begin_stream(world, f"r-{number}", number % HOSTS)
                await asyncio.sleep(0.02)
            periods = (time.monotonic() - began_at) / stored_streams_module.PERIOD_S
            used = counts - calm
    print(f"calm {dict(calm)} release {dict(used)} in {periods:.1f} periods")
    assert used["transact"] <= HOSTS * (periods + 3)
    assert used["read"] + used["list_prefix"] <= 4 * HOSTS


async def test_request_is_not_repeated_at_another_version_before_its_first_event(
    log_path,
):
    """Hosts could keep the record of the first try while the second begins."""
    async with versions_world(log_path, MIXED, 1) as world:
        world.deregister(world.runner_named("e-4"))
        usable = world.hosts[0].context.runners.usable
        await until(lambda: len(usable("engines")) == 3)
        engines = [world.runner_named("e-2"), world.runner_named("e-3")]
        for engine in engines:
            engine.crashes_on = lambda request: True
        call = ("g-0", b"p", 0, GENERATION)
        await world.send("/resume/x", "POST", *call)
        assert sum(engine.ran.count("g-0") for engine in engines) == 1
