"""Versions in service and streams in progress, as hosts keep them in the store."""

from __future__ import annotations

import asyncio
import json

import pytest
from lib.version_fleet import SERVICE, Host, Store, registration_entry

from siskinlever._internal.exceptions import InvalidRecordError, PlatformError
from siskinlever._internal.fleet import stored_streams
from siskinlever._internal.fleet.version_history import (
    RECENT_S,
    REFRESH_S,
    Departure,
    ServiceVersion,
    VersionHistory,
    VersionRecord,
    decode_version_record,
)
from siskinlever._internal.fleet.version_record import RECORD_KEY

OLD, NEW = ServiceVersion(SERVICE, "v1"), ServiceVersion(SERVICE, "v2")


class Fleet:
    """A store with one engine of each name, and hosts that don't reach each other."""

    def __init__(self) -> None:
        self.store = Store()
        self.born = 0

    def others(self, own):
        return []

    def register(self, **version_by_name: str) -> None:
        self.born += 1
        for name, version in version_by_name.items():
            entry = registration_entry(name, version, self.born, 1)
            self.store.put(f"servers/{name}", entry)

    async def started(self, number: int, is_first_start: bool = False) -> Host:
        host = Host(self, number, is_first_start)
        await host.follower._read_runners()
        return host


def usable(host: Host) -> set[str]:
    return {runner.version for runner in host.runners.usable(SERVICE)}


async def test_engine_isn_t_used_before_the_store_names_its_version():
    """A stream that begins earlier is taken for one of the recorded version."""
    fleet = Fleet()
    fleet.register(e1="v1")
    host = await fleet.started(0, is_first_start=True)
    fleet.register(e2="v2")
    fleet.store.refuses_writes = True
    await host.follower._read_runners()
    assert usable(host) == {"v1"} and len(host.follower.registrations.since(0)) == 1
    fleet.store.refuses_writes = False
    await host.follower._read_runners()
    assert usable(host) == {"v1", "v2"}


async def test_host_passes_on_no_part_of_a_listing_while_it_writes_the_versions():
    """A host without the store fetches the runners once and would lack the engines."""
    fleet = Fleet()
    fleet.register(e1="v1")
    host = await fleet.started(0, is_first_start=True)
    fleet.register(e2="v2")
    plain = json.loads(registration_entry("p1", "v1", 1, 1))
    del plain["stage"]
    plain["service"] = "plain"
    fleet.store.put("servers/p1", json.dumps(plain).encode())
    starting = Host(fleet, 1, False)
    reading = asyncio.ensure_future(starting.follower._read_runners())
    seen = set()
    while not reading.done():
        seen.add(len(starting.follower.registrations.since(0)))
        await asyncio.sleep(0.001)
    assert seen <= {0, 3} and len(starting.follower.registrations.since(0)) == 3
    assert usable(host) == {"v1"} and usable(starting) == {"v1", "v2"}


async def test_fleet_serves_at_its_first_start_though_the_store_refuses_writes():
    fleet = Fleet()
    fleet.store.refuses_writes = True
    fleet.register(e1="v1")
    host = await fleet.started(0, is_first_start=True)
    assert usable(host) == {"v1"}
    assert await host.find("unknown") is None


async def test_host_that_has_not_seen_a_release_asks_the_store_before_it_decides():
    fleet = Fleet()
    fleet.register(e1="v1")
    first, second = await fleet.started(0, True), await fleet.started(1, True)
    assert await second.find("unknown") == "v1"
    fleet.register(e2="v2")
    await first.follower._read_runners()
    assert usable(second) == {"v1"}
    assert await second.find("unknown") is None


async def test_host_that_cannot_ask_the_store_refuses():
    fleet = Fleet()
    fleet.register(e1="v1")
    host = await fleet.started(0, True)
    host.client.is_refused = True
    assert await host.find("unknown") is None


async def test_host_that_starts_again_keeps_what_it_had_written():
    fleet = Fleet()
    fleet.register(e1="v1", e2="v2")
    before = await fleet.started(0, True)
    before.stored.note("s-1", "v2")
    await before.stored._write_if_changed()
    after, other = await fleet.started(0), await fleet.started(1)
    after.stored.note("s-2", "v1")
    await after.stored._write_if_changed()
    assert [await other.find(s) for s in ("s-1", "s-2", "s-3")] == ["v2", "v1", None]


async def test_late_write_of_a_process_that_was_killed_has_no_effect():
    fleet = Fleet()
    fleet.register(e1="v1", e2="v2")
    before, after = await fleet.started(0, True), await fleet.started(0)
    for host, stream in ((before, "s-1"), (after, "s-2")):
        host.stored.note(stream, "v2")
        await host.stored._write_if_changed()
    before.stored.note("s-3", "v1")
    with pytest.raises(PlatformError):
        await before.stored._write_if_changed()
    assert await after.find("s-2") == "v2"


async def test_streams_in_the_store_are_bounded_and_complete_ones_removed(monkeypatch):
    monkeypatch.setattr(stored_streams, "MAX_STREAMS_PER_HOST", 10)
    fleet = Fleet()
    fleet.register(e1="v1", e2="v2")
    host = await fleet.started(0, True)
    for number in range(30):
        host.stored.note(f"s-{number}", "v1")
    host.stored.remove("s-29")
    await host.stored._write_if_changed()
    value = json.loads(fleet.store.by_key["siskinlever/streams/h-0"].value)
    assert value == {"v1": [f"s-{number}" for number in range(20, 29)]}


async def test_only_hosts_that_serve_streams_write_and_only_while_versions_differ():
    """400 hosts that wrote each half second would take most of the store's writes."""
    fleet = Fleet()
    fleet.register(e1="v1", e2="v2")
    idle, serving = await fleet.started(0, True), await fleet.started(1, True)
    serving.stored.note("s-1", "v1")
    before = fleet.store.writes
    for _ in range(3):
        await idle.stored._write_if_changed()
        await serving.stored._write_if_changed()
    assert fleet.store.writes == before + 1
    fleet = Fleet()
    fleet.register(e1="v1")
    alone = await fleet.started(0, True)
    before = fleet.store.writes
    alone.stored.note("s-1", "v1")
    await alone.stored._write_if_changed()
    assert fleet.store.writes == before


async def test_host_that_only_learns_from_peers_reads_the_record_when_engines_leave():
    """Otherwise it would write no streams until its next listing, in 30 s."""
    fleet = Fleet()
    fleet.register(e1="v1", e3="v1")
    reader, other = await fleet.started(1, True), await fleet.started(0, True)
    fleet.register(e2="v2")
    await reader.follower._read_runners()
    other.stored.note("s-1", "v1")
    reads = fleet.store.reads
    await other.stored._read_record_after_a_departure()
    assert fleet.store.reads == reads and not other.versions.history.is_mixed
    other.runners.mark_draining("e3", 1, "a peer")
    for _ in range(3):
        await other.stored._read_record_after_a_departure()
    assert fleet.store.reads == reads + 1 and other.versions.history.is_mixed


def history_at(now: list[float], *present: ServiceVersion) -> VersionHistory:
    history = VersionHistory(True, lambda: now[0])
    history.adopt(None, 1)
    history.adopt(history.propose(frozenset(present), 1), 1)
    return history


def test_version_that_left_counts_until_it_is_dropped_whoever_reads_the_record():
    now = [0.0]
    history = history_at(now, OLD)
    assert history.propose(frozenset({OLD}), 1) is None
    history.adopt(history.propose(frozenset({NEW}), 1), 1)
    now[0] = REFRESH_S
    lowered = history.propose(frozenset({NEW}), 1)
    assert lowered.departure_by_version[OLD].remaining_s == RECENT_S - REFRESH_S
    history.adopt(decode_version_record(lowered.encode()), 1)
    # The wall clock and the clock of the writer have no meaning for a reader.
    later = [1e6]
    reader = VersionHistory(False, lambda: later[0])
    reader.adopt(lowered, 1)
    for clock, seen, left_s in (
        (now, history, RECENT_S - REFRESH_S),
        (later, reader, RECENT_S - REFRESH_S),
    ):
        start = clock[0]
        clock[0] = start + left_s - 0.1
        assert seen.recent(SERVICE) == {"v1", "v2"} and seen.is_mixed
        clock[0] = start + left_s + 0.1
        assert seen.recent(SERVICE) == {"v2"} and not seen.is_mixed
        assert seen.propose(frozenset({NEW}), 1).departure_by_version == {NEW: None}


def test_second_departure_counts_from_its_own_time():
    """Another host saw the version return and leave again."""
    now = [0.0]
    history = history_at(now, OLD, NEW)
    history.adopt(history.propose(frozenset({NEW}), 1), 1)
    now[0] = 50.0
    again = VersionRecord(1, 9, {NEW: None, OLD: Departure(9, RECENT_S)})
    history.adopt(again, 1)
    now[0] = RECENT_S + 1.0
    assert history.recent(SERVICE) == {"v1", "v2"}


def test_read_that_was_overtaken_by_a_write_is_ignored():
    history = history_at([0.0], OLD)
    earlier = VersionRecord(1, 1, {OLD: None})
    history.adopt(history.propose(frozenset({OLD, NEW}), 1), 1)
    history.adopt(earlier, 1)
    assert history.recent(SERVICE) == {"v1", "v2"}


@pytest.mark.parametrize("found", [None, VersionRecord(1, 5, {OLD: None})])
def test_record_of_an_older_copy_proves_nothing_to_a_host_that_starts(found):
    now = [0.0]
    history = VersionHistory(False, lambda: now[0])
    history.adopt(found, 2)
    assert history.recent(SERVICE) is None
    history.adopt(history.propose(frozenset({OLD}), 2), 2)
    now[0] = RECENT_S - 1.0
    assert history.recent(SERVICE) is None
    now[0] = RECENT_S + 1.0
    assert history.recent(SERVICE) == {"v1"}


def test_host_that_has_served_writes_its_own_view_over_an_older_copy():
    history = history_at([0.0], OLD, NEW)
    history.adopt(VersionRecord(1, 1, {OLD: None}), 2)
    record = history.propose(frozenset({OLD, NEW}), 2)
    assert record.departure_by_version == {OLD: None, NEW: None}


@pytest.mark.parametrize("value", [b"", b"[]", b'{"era": 1}', b'{"versions": [[1]]}'])
def test_invalid_record_is_rejected(value):
    with pytest.raises(InvalidRecordError):
        decode_version_record(value)


async def test_invalid_record_in_the_store_is_unknown_and_replaced():
    fleet = Fleet()
    fleet.register(e1="v1")
    fleet.store.put(RECORD_KEY, b"{}")
    host = await fleet.started(0, is_first_start=True)
    assert await host.find("unknown") is None
    written = decode_version_record(fleet.store.by_key[RECORD_KEY].value)
    assert written.departure_by_version[OLD] is None
