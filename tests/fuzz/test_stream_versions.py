"""Streams that are resumed after any order of releases, kills, reads and restorations.

Guards against a stream that goes on at another version than the one that began it, and
against hosts that refuse streams although one version alone has served for long.
"""

from __future__ import annotations

import asyncio
import json
import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from lib.platform_world import host_settings

from siskinlever._internal.exceptions import (
    PeerError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from siskinlever._internal.fleet.hosts import HostStatus
from siskinlever._internal.fleet.runners import RunnerDirectory
from siskinlever._internal.fleet.store_follower import StoreFollower, StoreHealth
from siskinlever._internal.fleet.stored_streams import StoredStreams
from siskinlever._internal.fleet.stream_versions import RETENTION_S, StreamVersions
from siskinlever._internal.fleet.version_history import RECENT_S, VersionHistory
from siskinlever._internal.fleet.version_record import StoredVersions
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.platform.store import Item, Listing
from siskinlever._internal.utils.tasks import TaskSet
from siskinlever_testbed.model.virtual_time import VirtualTimeLoop

HOSTS = 3
ENGINES = ["e-1", "e-2", "e-3"]
SERVICE = "engines"
VERSIONS = ["v1", "v2", "v3"]
CALL_S = 0.004
STEP_S = 0.2
# Seconds for which a host that lost contact with the store goes on using an engine that
# has left: its first call fails, and the caller's request with it.
LAPSE_RECOVERY_S = 2.0


class Store:
    """Registrations and the hosts' own records."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.by_key: dict[str, Item] = {}
        self.writes = self.reads = 0
        self.copy = (1, {})

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.by_key[key] = Item(key, value, self.revision, 0)

    def restore(self) -> None:
        """Go back to the copy; the engines have registered again at once."""
        registrations = [
            item for key, item in self.by_key.items() if key.startswith("servers/")
        ]
        self.revision, copied = self.copy
        self.by_key = dict(copied)
        for item in registrations:
            self.put(item.key, item.value)
        self.era += 1


class Client:
    """Client of the store for one host; it may be turned away, or lose answers."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._listeners = []
        self.is_refused = self.loses_answers = False
        self.era = 0

    def on_restoration(self, listener):
        self._listeners.append(listener)

    async def _call(self, operation):
        await asyncio.sleep(CALL_S)
        if self.is_refused:
            raise StoreUnavailableError("the store refused the call")
        before, self.era = self.era, self._store.era
        if before and self.era > before:
            for listener in self._listeners:
                listener()
        return operation()

    async def read(self, key):
        self._store.reads += 1
        return await self._call(lambda: self._store.by_key.get(key))

    async def list_prefix(self, prefix):
        self._store.reads += prefix != "servers/"
        found = lambda: [i for k, i in self._store.by_key.items() if prefix in k]
        return await self._call(lambda: Listing(tuple(found()), self._store.revision))

    async def transact(self, expected, writes):
        def operation():
            for key, revision in expected.items():
                item = self._store.by_key.get(key)
                if (item.revision if item else 0) != revision:
                    raise StoreConflictError("another revision")
            for write in writes:
                self._store.put(write.key, write.value)
            if self.loses_answers:
                raise StoreOutcomeUnknownError("the answer is lost")
            return self._store.revision

        self._store.writes += 1
        return await self._call(operation)


class Host:
    """The parts of a host that know versions; ``fleet`` holds those that live."""

    def __init__(self, fleet, number: int, is_first_start: bool) -> None:
        metrics = Metrics()
        log = LogLines("host", metrics, os.open(os.devnull, os.O_WRONLY))
        self.name = f"h-{number}"
        self.client = Client(fleet.store)
        self.runners = RunnerDirectory(LAPSE_RECOVERY_S, log)
        self.tasks = TaskSet()
        health = StoreHealth(log, metrics)
        shared = (log, self.tasks, lambda: health.is_down)
        self.versions = StoredVersions(
            self.client, self.runners, VersionHistory(is_first_start), *shared
        )
        self.stored = StoredStreams(
            self.name, self.client, self.versions, self.runners, *shared
        )
        self.memory = StreamVersions(
            self.name, lambda: fleet.others(self.name), fleet, log, self.tasks
        )
        follower = StoreFollower(
            host_settings(number, [1, 2, 3, 4, 5], 6, []),
            self.client,
            None,
            self.runners,
            health,
            log,
            add_peer=lambda address: None,
            store_reader_count=lambda: 0,
            versions=self.versions,
        )
        self.tasks.start(follower.follow_runners(), "runners")
        self.tasks.start(self.stored.run(), "streams")

    def versions_of_usable(self) -> dict[tuple, str]:
        return {(r.key): r.version for r in self.runners.usable(SERVICE)}

    async def record(self, stream: str, version: str) -> None:
        self.stored.note(stream, version)
        await self.memory.record(stream, version)

    async def find(self, stream: str):
        version = await self.memory.find(stream)
        return version or await self.stored.find(SERVICE, stream)


class StreamVersionsMachine(RuleBasedStateMachine):
    """No stream is resumed at another version than the one that began it."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.store = Store()
        self.version_by_engine = dict.fromkeys(ENGINES, "v1")
        self.born = 0
        self.version_by_stream: dict[str, str] = {}
        self.last_use_by_stream: dict[str, float] = {}
        self.hosts: dict[int, Host] = {}
        self.settled_from = 0.0
        self.resumed = self.refused = 0
        for name in ENGINES:
            self.register(name, "v1")
        for number in range(HOSTS):
            self.start(number, is_first_start=True)
        self.loop.advance_time(2.0)

    def others(self, own: str) -> list[HostStatus]:
        return [
            HostStatus(host.name, "a", 1, "c", str(number), True)
            for number, host in self.hosts.items()
            if host.name != own
        ]

    async def call_address(self, address, rpc, message, timeout_s, tries):
        await asyncio.sleep(CALL_S)
        host = self.hosts.get(int(address))
        if host is None:
            raise PeerError("no such host")
        memory = host.memory
        handlers = {"NoteStream": memory.serve_note, "FindStream": memory.serve_find}
        return await handlers[rpc](message)

    def register(self, name: str, version: str, state: str = "ready") -> None:
        self.born += state == "ready"
        self.version_by_engine[name] = version
        entry = {
            "service": SERVICE,
            "address": f"10.0.0.{ENGINES.index(name) + 1}:80",
            "zone": "zone-a",
            "version": version,
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self.store.revision,
            "stage": "decode",
            "born": self.born,
        }
        self.store.put(f"servers/{name}", json.dumps(entry).encode())
        self.settled_from = self.loop.time()

    def start(self, number: int, is_first_start: bool = False) -> None:
        async def create():
            self.hosts[number] = Host(self, number, is_first_start)

        self.loop.run_until_complete(create())

    def is_real(self, name: str, version: str) -> bool:
        return self.version_by_engine.get(name) == version

    @rule(number=st.integers(0, HOSTS - 1), engine=st.sampled_from(ENGINES))
    def begin(self, number, engine):
        host = self.hosts.get(number)
        for key, version in host.versions_of_usable().items() if host else ():
            if key.name == engine and self.is_real(engine, version):
                stream = f"s-{len(self.version_by_stream)}"
                self.loop.run_until_complete(host.record(stream, version))
                self.version_by_stream[stream] = version
                self.last_use_by_stream[stream] = self.loop.time()

    @rule(engines=st.sets(st.sampled_from(ENGINES)), version=st.sampled_from(VERSIONS))
    def release(self, engines, version):
        for name in engines:
            self.register(name, version)

    @rule(engine=st.sampled_from(ENGINES))
    def drain(self, engine):
        self.register(engine, self.version_by_engine[engine], "draining")

    @rule(numbers=st.sets(st.integers(0, HOSTS - 1)))
    def kill(self, numbers):
        for number in numbers & self.hosts.keys():
            host = self.hosts.pop(number)
            self.loop.run_until_complete(host.tasks.close())

    @rule()
    def kill_all(self):
        self.kill(set(range(HOSTS)))

    @rule()
    def start_all(self):
        for number in range(HOSTS):
            if number not in self.hosts:
                self.start(number)

    @rule(number=st.integers(0, HOSTS - 1), kind=st.sampled_from(["refuse", "lose"]))
    def store_fails_for_a_host(self, number, kind):
        if number in self.hosts:
            client = self.hosts[number].client
            client.is_refused, client.loses_answers = kind == "refuse", kind == "lose"

    @rule()
    def store_serves_all(self):
        for host in self.hosts.values():
            host.client.is_refused = host.client.loses_answers = False

    @rule()
    def store_is_copied(self):
        self.store.copy = (self.store.revision, dict(self.store.by_key))

    @rule()
    def store_is_restored(self):
        self.store.restore()
        self.settled_from = self.loop.time()

    @rule(seconds=st.sampled_from([0.0, 0.01, 0.6, 1.0, 2.4, 20.0, 50.0]))
    def time_passes(self, seconds):
        for _ in range(max(1, round(seconds / STEP_S))):
            self.loop.advance_time(min(seconds, STEP_S))

    @precondition(lambda self: self.version_by_stream and self.hosts)
    @rule(number=st.integers(0, HOSTS - 1), data=st.data())
    def resume(self, number, data):
        if number not in self.hosts:
            return
        host = self.hosts[number]
        stream = data.draw(st.sampled_from(sorted(self.version_by_stream)))
        if self.loop.time() - self.last_use_by_stream[stream] >= RETENTION_S:
            # The caller has given up.
            return
        began_at = self.loop.time()
        found = self.loop.run_until_complete(host.find(stream))
        assert self.loop.time() - began_at < 1.0
        assert found in (None, self.version_by_stream[stream])
        self.refused += found is None
        self.resumed += found is not None
        usable = host.versions_of_usable().items()
        if any(v == found and self.is_real(k.name, v) for k, v in usable):
            self.loop.run_until_complete(host.record(stream, found))
            self.last_use_by_stream[stream] = self.loop.time()

    @rule(is_killed=st.booleans())
    def unknown_stream_goes_on_where_one_version_has_served_for_long(self, is_killed):
        """Also right after a kill of all hosts; nothing is written meanwhile."""
        self.store_serves_all()
        self.start_all()
        self.release(set(ENGINES), "v1")
        self.time_passes(RECENT_S + 10.0)
        calls = self.store.reads + self.store.writes
        self.time_passes(20.0)
        assert self.store.reads + self.store.writes == calls
        if is_killed:
            self.kill_all()
            self.start_all()
            self.time_passes(1.0)
        for host in self.hosts.values():
            assert self.loop.run_until_complete(host.find("unknown")) == "v1"

    def teardown(self) -> None:
        self.kill_all()
        self.loop.finish()


TestStreamVersions = StreamVersionsMachine.TestCase
TestStreamVersions.settings = settings(max_examples=60, stateful_step_count=40)
