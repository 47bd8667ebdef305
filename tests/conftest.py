"""Fixtures of all tests."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from pathlib import Path

import pytest

from siskinlever_testbed.fleet import Fleet, running_fleet
from siskinlever_testbed.plans import FleetPlan

FleetStarter = Callable[[FleetPlan], AbstractAsyncContextManager[Fleet]]


@pytest.fixture
def start_fleet(tmp_path: Path) -> FleetStarter:
    """Return a function that runs a fleet with its declaration in force."""

    @asynccontextmanager
    async def start(plan: FleetPlan) -> AsyncIterator[Fleet]:
        async with running_fleet(plan, tmp_path / "fleet") as fleet:
            await fleet.apply()
            yield fleet

    return start
