"""A fleet and an event loop shared by the steps of one or more scenarios."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from siskinlever_testbed.client import Caller, Reply
from siskinlever_testbed.fleet import KEY_VALUE, Fleet, caller_key, running_fleet
from siskinlever_testbed.plans import FleetPlan

POLL_S = 0.05


@dataclass
class World:
    """State shared by the steps of one or more scenarios."""

    runner: asyncio.Runner
    fleet: Fleet
    replies: list[Reply] = field(default_factory=list)
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)
    notes: dict[str, Any] = field(default_factory=dict)

    def run(self, work: Awaitable[Any]) -> Any:
        """Await ``work`` while tasks started by earlier steps continue to run."""

        async def wrapped() -> Any:
            return await work

        return self.runner.run(wrapped())

    def begin(self, work: Any) -> None:
        """Start a task that continues to run during later steps."""

        async def start() -> None:
            self.tasks.append(asyncio.create_task(work))
            await asyncio.sleep(0)

        self.runner.run(start())

    def finish(self) -> list[Any]:
        """Wait for all tasks from `begin` and return their results."""

        async def wait() -> list[Any]:
            return await asyncio.gather(*self.tasks)

        results = self.runner.run(wait())
        self.tasks.clear()
        return results

    def until(self, condition: Callable[[], Any], within_s: float) -> Any:
        """Poll until the condition is true and return its value.

        Fails after ``within_s`` seconds, usually the limit that the tested requirement
        sets.
        """
        deadline = time.monotonic() + within_s
        while not (result := condition()):
            assert time.monotonic() < deadline, f"not within {within_s} s"
            self.run(asyncio.sleep(POLL_S))
        return result

    def caller(self, workspace: str = "atelier") -> Caller:
        """Return a client that authenticates as the workspace."""
        return Caller(self.fleet.session, caller_key(workspace))

    def address(self, host: str) -> str:
        """Return the address of a host's caller interface."""
        return self.fleet.endpoints_by_host[host].callers

    def faults(self, name: str = KEY_VALUE, **faults: Any) -> None:
        """Set the faults of a stand-in; without ``faults``, clear them."""
        self.run(self.fleet.set_faults(name, **faults))

    def get(self, host: str, path: str, **kwargs: Any) -> tuple[int, Any]:
        """Send a GET request, by default as ``atelier``; return status and body."""
        return self.request("GET", host, path, **kwargs)[:2]

    def request(
        self,
        method: str,
        host: str,
        path: str,
        workspace: str = "atelier",
        **options: Any,
    ) -> tuple[int, Any, Any]:
        """Send a request to a host; return status, JSON body and headers."""
        headers = {"Authorization": f"Bearer {caller_key(workspace)}"}
        headers |= options.pop("headers", {})

        async def send() -> tuple[int, Any, Any]:
            async with self.fleet.session.request(
                method, f"http://{self.address(host)}{path}", headers=headers, **options
            ) as response:
                return (
                    response.status,
                    await response.json(content_type=None),
                    response.headers,
                )

        return self.run(send())


@contextmanager
def running_world(plan: FleetPlan, directory: Path) -> Iterator[World]:
    """Run a fleet with its declaration applied; cancel open tasks at exit."""
    with asyncio.Runner() as runner:
        stack = AsyncExitStack()

        async def start() -> Fleet:
            fleet = await stack.enter_async_context(running_fleet(plan, directory))
            assert await fleet.apply() == 0
            return fleet

        world = World(runner, runner.run(start()))
        try:
            yield world
        finally:
            for task in world.tasks:
                task.cancel()
            runner.run(stack.aclose())
