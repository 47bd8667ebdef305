"""A store that comes back from an older copy: what hosts keep, drop and write again."""

from __future__ import annotations

import asyncio
import json

import pytest
from lib.platform_world import configuration, platform_world, until

from siskinlever._internal.fleet.runners import USABLE_STATES
from siskinlever_testbed.standins.platform.store import StoreFault

HOSTS_PREFIX = "siskinlever/hosts/"
ORDERS_KEY = "siskinlever/orders"
# Seconds within which hosts are in touch again after the end of an outage.
CONTACT_S = 3.0


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


def versions(world) -> list[int]:
    return [host.context.configuration.version for host in world.hosts]


def usable_names(host) -> set[str]:
    known = host.context.runners.by_key.values()
    return {r.registration.key.name for r in known if r.state in USABLE_STATES}


def holders(world) -> list:
    return [host.lease for host in world.hosts if host.lease.is_held]


def renamed_prefix(version: int, prefix: str) -> dict:
    """Return a configuration whose first route has another prefix."""
    document = configuration(version)
    document["routes"][0]["prefix"] = prefix
    return document


async def test_configuration_in_force_does_not_go_back(log_path):
    async with platform_world(log_path, hosts=3) as world:
        world.store.era = 1
        copy = world.store.snapshot()
        world.apply(renamed_prefix(9, "/new/"))
        await until(lambda: versions(world) == [9] * 3)
        world.store.restore(copy)
        await asyncio.sleep(2.0)
        assert versions(world) == [9] * 3
        assert (await world.send("/new/x")).status == 200


async def test_change_at_a_revision_that_was_given_out_before_is_seen(log_path):
    """Revisions pass the ones that hosts watch from before they watch again."""
    async with platform_world(log_path, hosts=2) as world:
        world.store.era = 1
        await asyncio.sleep(1.5)
        copy = world.store.snapshot()
        for _ in range(5):
            world.store.put("op/other", b"{}")
        await asyncio.sleep(1.5)
        world.store.restore(copy)
        world.apply(configuration(7))
        for _ in range(20):
            world.store.put("op/other", b"{}")
        await until(lambda: versions(world) == [7, 7], 2.0)


async def test_hosts_register_again_in_time(log_path):
    async with platform_world(log_path, hosts=3) as world:
        world.store.era = 1
        copy = world.store.snapshot()
        copy.by_key.clear()
        copy.lease_by_id.clear()
        registered = lambda: [k for k in world.store.by_key if HOSTS_PREFIX in k]
        await until(lambda: len(registered()) == 3)
        world.store.restore(copy)
        assert not registered()
        world.apply(configuration(1))
        world.register_all()
        await until(lambda: len(registered()) == 3, CONTACT_S)


async def test_reissued_lease_does_not_keep_a_host_from_registering(log_path):
    """Another writer gets the lease's id in the restored store."""
    async with platform_world(log_path, hosts=1) as world:
        world.store.era = 1
        registered = lambda: [k for k in world.store.by_key if HOSTS_PREFIX in k]
        await until(registered)
        copy = world.store.snapshot()
        for key in registered():
            del copy.by_key[key]
        world.store.restore(copy)
        await until(registered, CONTACT_S)


async def test_runner_missing_from_the_copy_is_not_gone_at_once(log_path):
    async with platform_world(log_path, hosts=2) as world:
        world.store.era = 1
        await asyncio.sleep(4.0)
        copy = world.store.snapshot()
        del copy.by_key["servers/p-2"]
        world.store.restore(copy)
        for _ in range(12):
            assert all("p-2" in usable_names(host) for host in world.hosts)
            await asyncio.sleep(0.1)
        world.register_all()
        await asyncio.sleep(3.0)
        assert all("p-2" in usable_names(host) for host in world.hosts)


async def test_runner_that_had_left_stays_out_though_the_copy_names_it(log_path):
    async with platform_world(log_path, hosts=2) as world:
        world.store.era = 1
        copy = world.store.snapshot()
        world.deregister(world.runner_named("p-2"))
        await until(lambda: all("p-2" not in usable_names(h) for h in world.hosts))
        world.store.restore(copy)
        await asyncio.sleep(2.0)
        assert all("p-2" not in usable_names(host) for host in world.hosts)


async def test_fence_rises_although_revisions_go_back(log_path):
    async with platform_world(log_path, hosts=3) as world:
        world.store.era = 1
        copy = world.store.snapshot()
        copy.by_key.pop(ORDERS_KEY, None)
        await until(lambda: len(holders(world)) == 1, 8.0)
        tokens = [holders(world)[0].fencing_token]
        for _ in range(2):
            world.store.restore(copy)
            others = lambda: [
                lease for lease in holders(world) if lease.fencing_token != tokens[-1]
            ]
            await until(others, 8.0)
            tokens.append(others()[0].fencing_token)
        assert tokens == sorted(set(tokens))


async def test_holder_stops_when_the_store_comes_back_older(log_path):
    async with platform_world(log_path, hosts=2) as world:
        world.store.era = 1
        await until(lambda: any(h.lease.may_order for h in world.hosts), 8.0)
        holder = next(host.lease for host in world.hosts if host.lease.may_order)
        # The copy still has the holder's record, and its lease.
        world.store.restore(world.store.snapshot())
        await until(lambda: not holder.may_order, 1.0)


async def test_restoration_seen_by_a_single_host_only(log_path):
    async with platform_world(log_path, hosts=2) as world:
        world.store.era = 1
        await until(lambda: any(h.lease.may_order for h in world.hosts), 8.0)
        held = [host.lease.may_order for host in world.hosts].index(True)
        world.store.fault_by_port[world.store_ports[held]] = StoreFault.SILENT
        copy = world.store.snapshot()
        copy.by_key.pop(ORDERS_KEY, None)
        world.store.restore(copy)
        for _ in range(60):
            assert sum(host.lease.may_order for host in world.hosts) <= 1
            await asyncio.sleep(0.1)


async def test_two_restorations_in_a_row_during_an_outage(log_path):
    async with platform_world(log_path, hosts=2) as world:
        world.store.era = 1
        copy = world.store.snapshot()
        world.apply(configuration(5))
        await until(lambda: versions(world) == [5, 5])
        for port in world.store_ports:
            world.store.fault_by_port[port] = StoreFault.BUSY
        await asyncio.sleep(1.0)
        world.store.restore(copy)
        world.store.restore(copy)
        world.store.fault_by_port.clear()
        world.apply(configuration(8))
        world.register_all()
        await until(lambda: versions(world) == [8, 8], CONTACT_S)
        await until(
            lambda: sum(HOSTS_PREFIX in key for key in world.store.by_key) == 2,
            CONTACT_S,
        )
        restored = [json.dumps(line) for line in world.lines("store.restored")]
        assert len(restored) >= 2
