"""Hosts that follow a store in memory, on a virtual clock and without peers."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from siskinlever._internal.fleet.configuration import ConfigurationInForce
from siskinlever._internal.fleet.runners import RunnerDirectory
from siskinlever._internal.fleet.store_follower import StoreFollower
from siskinlever._internal.fleet.store_health import StoreHealth
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.models.ids import ServiceName
from siskinlever._internal.platform.records import decode_configuration
from siskinlever._internal.platform.store import MetadataStore
from siskinlever_testbed.model.virtual_time import VirtualTimeLoop
from siskinlever_testbed.platform_fleet import configuration

from .discarded_log import DISCARDED_LOG
from .memory_store import MemoryStore, memory_store
from .platform_world import host_settings

PORTS = [1, 2, 3, 4, 5]
SERVICE = ServiceName("plain")
HEARTBEAT_S = 1.2
# All hosts start within so many seconds of each other.
START_S = 0.3


@dataclass
class FollowingHost:
    """The parts of a host that follow the store."""

    configuration: ConfigurationInForce
    runners: RunnerDirectory
    follower: StoreFollower

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self.configuration.version

    def uses(self, runner: str) -> bool:
        """Return whether requests may go to a runner."""
        return runner in {r.key.name for r in self.runners.usable(SERVICE)}


@dataclass
class FollowingFleet:
    """Several of these, none of which hears of the others."""

    loop: VirtualTimeLoop
    store: MemoryStore
    hosts: list[FollowingHost]

    def apply(self, version: int) -> None:
        """Write a configuration."""
        document = json.dumps(configuration(version)).encode()
        self.store.put("op/config", document)

    def register(self, runner: str, sequence: int) -> None:
        """Write a registration."""
        record = {
            "service": SERVICE,
            "address": "127.0.0.1:9000",
            "zone": "zone-a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "sequence": sequence,
        }
        self.store.put(f"servers/{runner}", json.dumps(record).encode())

    def versions(self) -> list[int]:
        """Return the version in force at each host."""
        return [host.version for host in self.hosts]

    def seconds_until(self, condition, limit_s: float) -> float:
        """Return the seconds until a condition holds, or the limit."""
        began_at = self.loop.time()
        while not condition() and self.loop.time() < began_at + limit_s:
            self.loop.advance_time(0.01)
        return self.loop.time() - began_at


def _following_host(**bounds) -> FollowingHost:
    metrics = Metrics()
    log = LogLines("host", metrics, DISCARDED_LOG)
    settings = host_settings(0, PORTS, 6, [], **bounds)
    in_force = ConfigurationInForce(decode_configuration, log)
    runners = RunnerDirectory(settings.bounds.lapse_recovery_s, log)
    follower = StoreFollower(
        settings,
        MetadataStore(settings.store.address, log),
        in_force,
        runners,
        StoreHealth(log, metrics),
        log,
        add_peer=lambda address: None,
    )
    return FollowingHost(in_force, runners, follower)


async def _run_later(delay_s: float, follower: StoreFollower) -> None:
    await asyncio.sleep(delay_s)
    await asyncio.gather(follower.follow_configuration(), follower.follow_runners())


@contextmanager
def following_fleet(seed: int, count: int, **bounds) -> Iterator[FollowingFleet]:
    """Run hosts that follow a store with one configuration and two runners.

    Parameters
    ----------
    seed : int
        Decides when the hosts start and all that they draw at random.
    count : int
    **bounds
        Bounds in the settings of each host.
    """
    random.seed(seed)
    loop = VirtualTimeLoop()
    try:
        with memory_store() as store:
            hosts = [_following_host(**bounds) for _ in range(count)]
            fleet = FollowingFleet(loop, store, hosts)
            fleet.apply(1)
            for runner in ("r-1", "r-2"):
                fleet.register(runner, 1)
            for host in hosts:
                delay_s = random.uniform(0, START_S)
                loop.create_task(_run_later(delay_s, host.follower))
            yield fleet
    finally:
        loop.finish()
