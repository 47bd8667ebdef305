"""Fixtures and hooks shared by all tests."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings
from lib.known_red import known_red_ids

from siskinlever._internal.utils import clock
from siskinlever_testbed.fleet import Fleet, running_fleet
from siskinlever_testbed.plans import FleetPlan

FleetStarter = Callable[[FleetPlan], AbstractAsyncContextManager[Fleet]]

# The first draw of text builds tables of Unicode for seconds, which Hypothesis would
# report as slow generation of input.
settings.register_profile("unit", suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("unit")


@pytest.fixture(autouse=True)
def real_clock() -> Iterator[None]:
    """Fail a test that leaves its virtual clock to the tests after it."""
    yield
    left, clock.time = clock.time, time
    assert left is time, "the test has left a virtual clock in place"


@pytest.fixture
def start_fleet(tmp_path: Path) -> FleetStarter:
    """Return a function that runs a fleet with its declaration applied."""

    @asynccontextmanager
    async def start(plan: FleetPlan) -> AsyncIterator[Fleet]:
        async with running_fleet(plan, tmp_path / "fleet") as fleet:
            await fleet.apply()
            yield fleet

    return start


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests listed in KNOWN-RED.txt, and only these, as expected failures."""
    known = known_red_ids()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests listed in KNOWN-RED.txt."""
    for node_id in sorted(known_red_ids()):
        terminalreporter.write_line(f"known red: {node_id}")
