"""The software version that began a stream, known to hosts that come and go."""

from __future__ import annotations

import asyncio
from unittest.mock import Mock

import pytest
from lib.runners import engine

from siskinlever._internal.dispatch.engine_versions import only_version
from siskinlever._internal.dispatch.stage_plan import StageWork, next_change
from siskinlever._internal.exceptions import PeerError
from siskinlever._internal.fleet import stream_versions
from siskinlever._internal.fleet.hosts import HostStatus
from siskinlever._internal.fleet.stream_versions import (
    StreamVersions,
    VersionMemory,
    stream_id,
)
from siskinlever._internal.models.upstreams import SoftwareVersion, Stage
from siskinlever._internal.utils.tasks import task_set

OLD, NEW = SoftwareVersion("v1"), SoftwareVersion("v1.1")


class Fleet:
    """Hosts that call each other directly unless one is down or frozen."""

    def __init__(self, count: int, tasks) -> None:
        zones = "abc"
        names = [f"host-{number}" for number in range(count)]
        self.status_by_host = {
            name: HostStatus(name, zones[n % 3], 1, f"c-{name}", f"p-{name}", True)
            for n, name in enumerate(names)
        }
        self.down: set[str] = set()
        self.frozen: set[str] = set()
        self.versions_by_host = {
            name: StreamVersions(
                name, lambda own=name: self._others(own), self, Mock(), tasks
            )
            for name in names
        }

    def _others(self, own: str) -> list[HostStatus]:
        return [s for name, s in self.status_by_host.items() if name != own]

    async def call_address(self, address, rpc, message, timeout_s, tries):
        host = address.removeprefix("p-")
        if host in self.frozen:
            await asyncio.sleep(timeout_s)
        if host in self.down | self.frozen:
            raise PeerError(f"{rpc}: {host} does not answer")
        versions = self.versions_by_host[host]
        handler = {"NoteStream": versions.serve_note, "FindStream": versions.serve_find}
        return await handler[rpc](message)

    def __getitem__(self, number: int) -> StreamVersions:
        return self.versions_by_host[f"host-{number}"]


@pytest.mark.parametrize("hosts", [2, 3, 8, 20])
async def test_version_is_found_after_the_host_that_began_the_stream_is_killed(hosts):
    async with task_set() as tasks:
        fleet = Fleet(hosts, tasks)
        for number in range(20):
            await fleet[0].record(f"a-{number}", NEW if number % 2 else OLD)
        fleet.down.add("host-0")
        for number in range(20):
            expected = NEW if number % 2 else OLD
            assert await fleet[hosts - 1].find(f"a-{number}") == expected


async def test_version_is_found_after_a_restart_of_the_host_that_takes_it_up():
    async with task_set() as tasks:
        fleet = Fleet(8, tasks)
        await fleet[0].record("a-1", NEW)
        for host in range(8):
            fleet[host].memory = (
                fleet[host].memory if host % 2 == 0 else VersionMemory()
            )
        assert await fleet[7].find("a-1") == NEW


async def test_unknown_stream_has_no_version():
    async with task_set() as tasks:
        assert await Fleet(8, tasks)[3].find("a-1") is None


async def test_frozen_hosts_delay_the_first_event_only_briefly():
    async with task_set() as tasks:
        fleet = Fleet(3, tasks)
        fleet.frozen |= {"host-1", "host-2"}
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await fleet[0].record("a-1", NEW)
        assert loop.time() - started_at < 2 * stream_versions.RECORD_TIMEOUT_S
        assert await fleet[0].find("a-1") == NEW


async def test_version_of_the_attempt_that_brought_the_first_event_counts():
    """The first engine failed before any event; another version began the stream."""
    async with task_set() as tasks:
        fleet = Fleet(8, tasks)
        await fleet[0].record("a-1", OLD)
        await fleet[0].record("a-1", NEW)
        fleet.down.add("host-0")
        assert await fleet[5].find("a-1") == NEW


def test_memory_is_bounded_in_time_and_number(monkeypatch):
    monkeypatch.setattr(stream_versions, "MAX_STREAMS", 100)
    now = [0.0]
    memory = VersionMemory(lambda: now[0])
    for number in range(200):
        memory.record(f"a-{number}", OLD)
    assert len(memory) == 100 and memory.version_of("a-199") == OLD
    now[0] = stream_versions.RETENTION_S + 1
    memory.record("b", NEW)
    assert len(memory) == 1


def test_streams_of_two_workspaces_with_the_same_attempt_are_told_apart():
    ids = {stream_id("a"), stream_id("a", "one"), stream_id("a", "two")}
    assert len(ids) == 3 and stream_id("a") == "a"


def test_only_version_is_known_if_all_engines_agree():
    runners = [engine("e-1", Stage.DECODE), engine("e-2", Stage.PREFILL)]
    assert only_version(runners) == "v1"
    assert only_version([*runners, engine("e-3", Stage.DECODE, "v2")]) is None
    assert only_version([]) is None


def test_last_decode_engine_of_a_version_is_not_changed():
    engines = [engine("e-1", Stage.PREFILL)]
    engines += [engine(f"d-{n}", Stage.DECODE) for n in range(3)]
    engines.append(engine("z-9", Stage.DECODE, NEW))
    for _ in range(5):
        change = next_change(engines, StageWork(prefill=4.0, decode=1.0))
        if change is None:
            break
        engines = [r for r in engines if r.key != change.runner.key]
        engines.append(
            engine(change.runner.key.name, change.stage, change.runner.version)
        )
    decoding = {r.version for r in engines if r.stage is Stage.DECODE}
    assert decoding == {OLD, NEW}


def test_version_with_prefill_engines_only_gets_a_decode_engine():
    engines = [engine("e-1", Stage.PREFILL), engine("e-2", Stage.DECODE)]
    engines.append(engine("n-1", Stage.PREFILL, NEW))
    change = next_change(engines, StageWork(1.0, 1.0))
    assert change is not None
    assert change.runner.version == NEW and change.stage is Stage.DECODE
