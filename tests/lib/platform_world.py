"""Runs gateway hosts and stand-ins for the platform in one event loop."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from siskinlever._internal.daemon.gateway import GatewayHost, running_gateway
from siskinlever._internal.models.host_settings import HostSettings
from siskinlever._internal.platform.settings import decode_settings
from siskinlever_testbed.platform_fleet import (
    ENGINES as ENGINES,
)
from siskinlever_testbed.platform_fleet import (
    HOST as HOST,
)
from siskinlever_testbed.platform_fleet import (
    PLAIN as PLAIN,
)
from siskinlever_testbed.platform_fleet import (
    Answer as Answer,
)
from siskinlever_testbed.platform_fleet import (
    configuration as configuration,
)
from siskinlever_testbed.platform_fleet import (
    default_runners,
)
from siskinlever_testbed.platform_fleet import (
    read_answer as read_answer,
)
from siskinlever_testbed.platform_fleet import (
    send_raw as send_raw,
)
from siskinlever_testbed.processes import free_addresses
from siskinlever_testbed.standins.platform.runner import RunnerStandIn, running_runner
from siskinlever_testbed.standins.platform.store import (
    MetadataStoreStandIn,
    running_store,
)

POLL_PERIOD_S = 0.02


@dataclass
class World:
    """Stand-ins and gateway hosts of one test."""

    store: MetadataStoreStandIn
    hosts: list[GatewayHost]
    store_ports: list[int]
    runners: list[RunnerStandIn] = field(default_factory=list)
    deregistered: set[str] = field(default_factory=set)
    log_path: str = ""
    log_descriptor: int = -1
    _running: list[AsyncExitStack] = field(default_factory=list)

    async def start_host(self, settings: HostSettings) -> None:
        """Start a host, which is appended to the others."""
        running = AsyncExitStack()
        gateway = running_gateway(settings, log_descriptor=self.log_descriptor)
        self.hosts.append(await running.enter_async_context(gateway))
        self._running.append(running)

    async def kill_hosts(self) -> list[HostSettings]:
        """End all hosts at once; return their settings for `start_host`.

        The hosts complete no request and write nothing to the store.
        """
        settings = [host.settings for host in self.hosts]
        running, self._running = self._running, []
        self.hosts.clear()
        await asyncio.gather(*(host.aclose() for host in running))
        return settings

    def apply(self, document: dict[str, Any]) -> None:
        """Write a configuration to the store, as an operator does."""
        self.store.put("op/config", json.dumps(document).encode())

    def register_all(self) -> None:
        """Write the registrations of all runners that are not deregistered."""
        for runner in self.runners:
            if runner.name not in self.deregistered:
                self.store.put(f"servers/{runner.name}", runner.entry())

    def deregister(self, runner: RunnerStandIn) -> None:
        """Remove a runner's registration permanently."""
        self.deregistered.add(runner.name)
        self.store.remove(f"servers/{runner.name}")

    def runner_named(self, name: str) -> RunnerStandIn:
        """Return the runner with the given name."""
        return next(runner for runner in self.runners if runner.name == name)

    async def send(
        self,
        path: str,
        method: str = "GET",
        identifier: str = "r-1",
        body: bytes = b"",
        host: int = 0,
        headers: dict[str, str] | None = None,
        deadline_ms: int | None = None,
    ) -> Answer:
        """Send one request to a host over a new connection."""
        address = self.hosts[host].settings.listeners.callers
        all_headers = {"Host": HOST, "Attempt-Id": identifier, **(headers or {})}
        if deadline_ms is not None:
            all_headers["Deadline-Ms"] = str(deadline_ms)
        if body or method == "POST":
            all_headers["Content-Length"] = str(len(body))
        return await send_raw(address, method, path, all_headers, body)

    def lines(self, event: str = "") -> list[dict[str, Any]]:
        """Return the log lines of all hosts, optionally only those of one event."""
        for host in self.hosts:
            host.log.flush()
        lines = Path(self.log_path).read_text().splitlines()
        found = [json.loads(line) for line in lines]
        return [line for line in found if not event or line["event"] == event]


async def until(condition: Callable[[], Any], timeout_s: float = 6.0) -> None:
    """Wait until a condition holds; fail after the timeout."""
    ends_at = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < ends_at, (
            "the condition did not hold within the timeout"
        )
        await asyncio.sleep(POLL_PERIOD_S)


def host_settings(
    number: int,
    ports: list[int],
    store_port: int,
    seeds: list[str],
    first_start: bool = True,
    **bounds: Any,
) -> HostSettings:
    """Return the settings of one host, decoded from the platform's format."""
    listen = {
        "frontend": f"127.0.0.1:{ports[0]}",
        "readiness": f"127.0.0.1:{ports[1]}",
        "registry": f"127.0.0.1:{ports[2]}",
        "control_plane": f"127.0.0.1:{ports[3]}",
    }
    settings = decode_settings(
        {
            "node_name": f"edge-{number}",
            "bootstrap": first_start,
            "ip": "127.0.0.1",
            "zone": "zone-a",
            "region": "region",
            "seed_nodes": seeds,
            "listen": listen,
            "zones": {"zone-a": "region"},
            "limits": {"memory_mb": 150, "max_fds": 4100},
            "bounds": {"grace_period_s": 8, "lease_ms": 1000} | bounds,
            "platform": {"address": f"127.0.0.1:{store_port}", "form": "kv"},
        }
    )
    metrics = f"127.0.0.1:{ports[4]}"
    object.__setattr__(settings.listeners, "metrics", metrics)
    return settings


@asynccontextmanager
async def platform_world(
    log_path: str, hosts: int = 1, wait_ready: bool = True, **options: Any
) -> AsyncIterator[World]:
    """Run a store, five runners and the given number of hosts for the block.

    Parameters
    ----------
    log_path : str
        File to which all hosts append their log.
    hosts : int, default=1
    wait_ready : bool, default=True
        Whether to wait until all hosts are ready.
    **options
        Passed to `host_settings`: `first_start`, and overrides for the bounds in the
        settings of each host.
    """
    addresses = free_addresses(hosts * 6 + 5)
    ports = [int(address.rpartition(":")[2]) for address in addresses]
    store_ports, ports = ports[:hosts], ports[hosts:]
    runner_ports, ports = ports[:5], ports[5:]
    descriptor = os.open(log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    async with AsyncExitStack() as stack:
        stack.callback(os.close, descriptor)
        store = await stack.enter_async_context(running_store(store_ports))
        world = World(
            store, [], store_ports, log_path=log_path, log_descriptor=descriptor
        )
        for runner in default_runners(runner_ports):
            world.runners.append(
                await stack.enter_async_context(running_runner(runner))
            )
        world.apply(configuration())
        world.register_all()
        stack.push_async_callback(world.kill_hosts)
        seeds = [f"127.0.0.1:{ports[3]}"]
        for number in range(hosts):
            host_ports = ports[number * 5 : number * 5 + 5]
            settings = host_settings(
                number, host_ports, store_ports[number], seeds, **options
            )
            await world.start_host(settings)
        if wait_ready:
            await until(lambda: all(is_ready(host, hosts) for host in world.hosts))
        yield world


def is_ready(host: GatewayHost, hosts: int) -> bool:
    """Return whether a host has the configuration, the runners and its peers."""
    context = host.context
    return (
        context.configuration.current is not None
        and len(context.runners.by_key) >= 5
        and len(context.hosts.alive()) == hosts - 1
    )


def run_count(world: World, identifier: str) -> int:
    """Return how many times the runners started to run a request."""
    return sum(runner.ran.count(identifier) for runner in world.runners)


def event_text(number: int) -> str:
    """Return an event as the stand-ins of engines write it."""
    return f"id: {number}\ndata: token-{number}\n\n"
