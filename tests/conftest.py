"""Fixtures and hooks shared by all tests."""

from __future__ import annotations

import gc
import os
import time
from collections.abc import AsyncIterator, Callable, Generator, Iterator
from contextlib import (
    AbstractAsyncContextManager,
    asynccontextmanager,
    contextmanager,
    suppress,
)
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings
from lib.failure_evidence import FailureEvidence
from lib.known_red import known_red_ids
from lib.process_waits import ProcessWaits, measured_waits

from siskinlever._internal.utils import clock
from siskinlever_testbed.fleet import Fleet, running_fleet
from siskinlever_testbed.plans import FleetPlan

FleetStarter = Callable[[FleetPlan], AbstractAsyncContextManager[Fleet]]

# Descriptors that a test may leave open, for example in caches of libraries.
MAX_LEFT_DESCRIPTORS = 16

EVIDENCE = pytest.StashKey[FailureEvidence]()

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


def open_descriptors(with_sockets: bool = True) -> int:
    """Return the number of descriptors that this process has open."""
    found = 0
    for name in os.listdir("/proc/self/fd"):
        with suppress(FileNotFoundError):
            target = os.readlink(f"/proc/self/fd/{name}")
            found += with_sockets or not target.startswith("socket:")
    return found


@contextmanager
def closing_descriptors(owner: str, with_sockets: bool) -> Iterator[None]:
    """Fail if many descriptors are left open after the block."""
    before = open_descriptors(with_sockets)
    yield
    if open_descriptors(with_sockets) - before > MAX_LEFT_DESCRIPTORS:
        gc.collect()
        left = open_descriptors(with_sockets) - before
        assert left <= MAX_LEFT_DESCRIPTORS, f"{owner} has left {left} descriptors"


@pytest.fixture(scope="module", autouse=True)
def descriptors_closed_by_module(process_waits: ProcessWaits) -> Iterator[None]:
    """Fail the last test of a module that leaves many descriptors open."""
    with closing_descriptors("the module", with_sockets=True):
        yield


@pytest.fixture(autouse=True)
def descriptors_closed_by_test(process_waits: ProcessWaits) -> Iterator[None]:
    """Fail a test that leaves many descriptors open.

    Sockets count for the module: its tests may share a fleet and its connections.
    """
    with closing_descriptors("the test", with_sockets=False):
        yield


@pytest.fixture
def start_fleet(tmp_path: Path) -> FleetStarter:
    """Return a function that runs a fleet with its declaration applied."""

    @asynccontextmanager
    async def start(plan: FleetPlan) -> AsyncIterator[Fleet]:
        async with running_fleet(plan, tmp_path / "fleet") as fleet:
            await fleet.apply()
            yield fleet

    return start


@pytest.fixture(scope="session")
def process_waits() -> Iterator[ProcessWaits]:
    """Measure how long the processes of the tests wait for a processor."""
    with measured_waits() as waits:
        yield waits


@pytest.fixture(autouse=True)
def failure_evidence(
    request: pytest.FixtureRequest,
    process_waits: ProcessWaits,
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    """Add waits and log lines to the report if the test fails."""
    evidence = FailureEvidence(process_waits, tmp_path_factory.getbasetemp())
    evidence.start()
    request.node.stash[EVIDENCE] = evidence


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Add the evidence to the reports of failed tests, also of those listed as red."""
    report = yield
    if call.excinfo is not None and EVIDENCE in item.stash:
        report.sections += item.stash[EVIDENCE].sections()
    return report


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
