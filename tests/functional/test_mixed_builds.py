"""Hosts of two builds serve side by side while one replaces the other."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from siskinlever_testbed.builds import HistoryMissingError, extract_sources
from siskinlever_testbed.platform_fleet import (
    HOST,
    configuration,
    platform_fleet,
    send_raw,
)
from siskinlever_testbed.standins.platform.store import StoreFault

pytestmark = pytest.mark.system

HOSTS = 4
NETWORK = 9
BOUNDS = "config_apply_ms = 2000\ndrain_ms = 2000\ncontact_ms = 3000"
CONFIG_APPLY_S = 2.0
LIMIT_S = 6.0
STOP_S = 10.0
# Builds of earlier landings; None is this one.
LANDING_7, LANDING_10 = "c821ae8", "da7eeb4"


@pytest.fixture
def source_of(tmp_path):
    """Return a function that returns the sources of a build."""

    def source(commit: str | None):
        if commit is None:
            return None
        directory = tmp_path / commit
        directory.mkdir(exist_ok=True)
        try:
            return extract_sources(commit, directory)
        except HistoryMissingError as error:
            pytest.skip(f"needs the history of the repository: {error}")

    return source


class Operator:
    """Adds one route after the other and measures when hosts serve it."""

    def __init__(self, fleet) -> None:
        self._fleet = fleet
        self._document = configuration()
        self._requests = 0

    async def slowest_host_s(self) -> float:
        """Add a route; return the seconds until all hosts serve it."""
        self._document["version"] += 1
        name = f"n{self._document['version']}"
        route = self._document["routes"][0] | {"name": name, "prefix": f"/{name}/"}
        self._document["routes"].append(route)
        document = json.dumps(self._document).encode()
        self._fleet.store.put("op/config", document)
        began_at = time.monotonic()
        await asyncio.gather(
            *(self._served(host, f"/{name}/x", began_at) for host in range(HOSTS))
        )
        return time.monotonic() - began_at

    async def _served(self, host: int, path: str, began_at: float) -> None:
        while time.monotonic() < began_at + LIMIT_S:
            if await self.status(host, path) == 200:
                return
            await asyncio.sleep(0.03)

    async def status(self, host: int, path: str) -> int:
        """Send a request to a host; return the status of its answer."""
        self._requests += 1
        headers = {"Host": HOST, "Attempt-Id": f"m-{self._requests}"}
        address = self._fleet.address(host)
        return (await send_raw(address, "GET", path, headers, b"")).status


@pytest.mark.parametrize(
    ("before", "after"),
    [(LANDING_10, None), (None, LANDING_10), (LANDING_7, None)],
    ids=["upgrade", "downgrade", "upgrade from an older build"],
)
async def test_configuration_is_in_force_in_time_while_builds_are_mixed(
    tmp_path, source_of, before, after
):
    sources = source_of(before), source_of(after)
    fleet_running = platform_fleet(tmp_path, HOSTS, BOUNDS, NETWORK, sources[0])
    async with fleet_running as fleet:
        operator = Operator(fleet)
        taken_s = [await operator.slowest_host_s()]
        for number in range(HOSTS):
            fleet.hosts[number].leave()
            assert await fleet.hosts[number].ended(STOP_S) == 0
            fleet.hosts[number] = fleet.host_process(number, sources[1])
            fleet.hosts[number].start()
            await fleet.hosts[number].ready()
            await asyncio.sleep(1.0)
            # A host of each build is turned away and learns from the others.
            for turned_away in (0, HOSTS - 1):
                port = fleet.store_ports[turned_away]
                fleet.store.fault_by_port[port] = StoreFault.BUSY
                await asyncio.sleep(0.5)
                taken_s.append(await operator.slowest_host_s())
                fleet.store.fault_by_port.clear()
            statuses = [await operator.status(host, "/safe/x") for host in range(HOSTS)]
            assert statuses == [200] * HOSTS
        logs = fleet.logs()
    assert max(taken_s) <= CONFIG_APPLY_S
    assert "Traceback" not in logs
