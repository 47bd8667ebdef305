"""All open channels, between hosts and to the store, fall silent; new ones work."""

from __future__ import annotations

import asyncio
import time

import pytest
from lib.platform_world import configuration, platform_world, until

HOSTS = 3
# Bounds of the platform, in seconds.
CONFIG_APPLY_S, DRAIN_S, LIMIT_S = 2.0, 2.0, 6.0


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


def silence_channels(world) -> None:
    """Let nothing more arrive on the connections that are open."""
    world.store.silence()
    for host in world.hosts:
        for link in host.context.peers._link_by_address.values():
            channel = link._channel
            if channel is not None and channel._protocol is not None:
                channel._protocol.connection._transport.pause_reading()


async def seconds_until(condition) -> float:
    """Wait until a condition holds; return the seconds that it took."""
    began_at = time.monotonic()
    await until(condition, LIMIT_S)
    return time.monotonic() - began_at


@pytest.mark.parametrize("gap_s", [0.05, 0.33, 0.8])
async def test_change_is_in_force_in_time_after_all_open_channels_fell_silent(
    log_path, gap_s
):
    async with platform_world(log_path, hosts=HOSTS) as world:
        # Hosts that rely on each other do so some seconds after their start.
        await asyncio.sleep(5.5)
        versions = lambda: [h.context.configuration.version for h in world.hosts]
        # All hosts begin their next watch at the same moment.
        world.apply(configuration(2))
        await until(lambda: versions() == [2] * HOSTS, CONFIG_APPLY_S)
        await asyncio.sleep(0.03)
        silence_channels(world)
        await asyncio.sleep(gap_s)
        world.apply(configuration(3))
        taken_s = await seconds_until(lambda: versions() == [3] * HOSTS)
        lost = world.lines("store.call_failed")
    assert taken_s <= CONFIG_APPLY_S
    assert {line["call"] for line in lost} >= {"watch-configuration"}


async def test_removed_runner_is_unused_in_time_after_all_open_channels_fell_silent(
    log_path,
):
    async with platform_world(log_path, hosts=HOSTS) as world:
        await asyncio.sleep(5.5)
        silence_channels(world)
        world.deregister(world.runner_named("p-1"))
        plain = lambda host: host.context.runners.usable("plain")
        taken_s = await seconds_until(
            lambda: all(len(plain(host)) == 1 for host in world.hosts)
        )
    assert taken_s <= DRAIN_S
