"""Engines of several software versions, and streams that callers begin and resume."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from siskinlever._internal.daemon.gateway import GatewayHost
from siskinlever_testbed.processes import free_addresses
from siskinlever_testbed.standins.platform.runner import RunnerStandIn, running_runner

from .platform_world import HOST, Answer, World, platform_world, until

GENERATION = {"Model": "m", "Token-Usage": "100,70", "Length-Hint": "70"}
OLD, NEW = "v1", "v2"


@asynccontextmanager
async def versions_world(
    log_path: str, version_by_name: dict[str, str], hosts: int
) -> AsyncIterator[World]:
    """Run the default runners at the given versions; e-4 is a second new engine."""
    async with platform_world(log_path, hosts=hosts) as world:
        port = int(free_addresses(1)[0].rpartition(":")[2])
        extra = RunnerStandIn("e-4", "engines", port, stage="decode")
        async with running_runner(extra):
            world.runners.append(extra)
            for name, version in version_by_name.items():
                # Another version is another process of the runner.
                runner = world.runner_named(name)
                runner.version, runner.born = version, 1_800_000_000_000
            world.register_all()
            await until(
                lambda: all(knows(host, version_by_name) for host in world.hosts)
            )
            yield world


def knows(host: GatewayHost, version_by_name: dict[str, str]) -> bool:
    """Return whether a host may send requests to all these engines."""
    usable = host.context.runners.usable("engines")
    version_by_known = {runner.key.name: runner.version for runner in usable}
    return version_by_known.items() >= version_by_name.items()


def versions_in(body: bytes) -> set[str]:
    """Return the versions that wrote the events of an answer."""
    lines = [line for line in body.decode().splitlines() if line.startswith("data:")]
    return {NEW if line.endswith(f"of {NEW}") else OLD for line in lines}


async def begin_stream(world: World, identifier: str, host: int) -> bytes:
    """Read the first events of a stream at a host, then disconnect."""
    address, _, port = world.hosts[host].settings.listeners.callers.rpartition(":")
    reader, writer = await asyncio.open_connection(address, int(port))
    headers = {"Host": HOST, "Attempt-Id": identifier, "Content-Length": "1"}
    lines = [f"{name}: {value}" for name, value in (headers | GENERATION).items()]
    head = "\r\n".join(["POST /resume/x HTTP/1.1", *lines])
    writer.write(f"{head}\r\n\r\np".encode())
    received = b""
    while received.count(b"id: ") < 3:
        part = await reader.read(1000)
        assert part, received
        received += part
    writer.close()
    return received[received.index(b"id: ") : received.rindex(b"id: ")]


async def take_up(world: World, first: str, identifier: str, host: int) -> Answer:
    """Continue a stream after its second event at a host."""
    headers = GENERATION | {"Last-Event-Id": "2", "Resumes": first}
    return await world.send("/resume/x", "POST", identifier, b"p", host, headers)
