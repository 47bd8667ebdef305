"""Streams that are resumed after any order of releases, kills, reads and restorations.

Guards against a stream that goes on at another version than the one that began it, and
against hosts that refuse streams although one version alone has served for long.
"""

from __future__ import annotations

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from lib.version_fleet import CALL_S, Host, Store, registration_entry

from siskinlever._internal.exceptions import PeerError
from siskinlever._internal.fleet.hosts import HostStatus
from siskinlever._internal.fleet.stream_versions import RETENTION_S
from siskinlever._internal.fleet.version_history import RECENT_S
from siskinlever_testbed.model.virtual_time import VirtualTimeLoop

HOSTS = 3
ENGINES = ["e-1", "e-2", "e-3"]
VERSIONS = ["v1", "v2"]
RELEASED = [ENGINES, ENGINES[:1], ENGINES[1:]]
STEP_S = 0.2


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
        for name in ENGINES:
            self.register(name, "v1")
        for number in range(HOSTS):
            self.start(number, is_first_start=True)
        self.loop.advance_time(2.0)
        self.store_is_copied()

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
        entry = registration_entry(name, version, self.born, self.store.revision, state)
        self.store.put(f"servers/{name}", entry)

    def start(self, number: int, is_first_start: bool = False) -> None:
        async def create():
            self.hosts[number] = Host(self, number, is_first_start)
            self.hosts[number].follow()

        self.loop.run_until_complete(create())

    @rule(shift=st.integers(0, len(ENGINES) - 1))
    def begin_one_stream_at_each_host(self, shift):
        for number, host in self.hosts.items():
            engine = ENGINES[(number + shift) % len(ENGINES)]
            for key, version in host.versions_of_usable().items():
                if key.name == engine and self.version_by_engine[engine] == version:
                    stream = f"s-{len(self.version_by_stream)}"
                    self.loop.run_until_complete(host.record(stream, version))
                    self.version_by_stream[stream] = version
                    self.last_use_by_stream[stream] = self.loop.time()

    @rule(engines=st.sampled_from(RELEASED), version=st.sampled_from(VERSIONS))
    def release(self, engines, version):
        for name in engines:
            self.register(name, version)

    @rule(engine=st.sampled_from(ENGINES))
    def drain(self, engine):
        self.register(engine, self.version_by_engine[engine], "draining")

    @rule(
        numbers=st.sampled_from([range(HOSTS), range(1, HOSTS), [0]]),
        release=st.sampled_from([(), *RELEASED]),
        version=st.sampled_from(VERSIONS),
        down_s=st.sampled_from([0.0, 2.0]),
        is_restored=st.sampled_from([False, False, True]),
    )
    def kill_and_start_again(self, numbers, release, version, down_s, is_restored):
        for number in numbers:
            self.loop.run_until_complete(self.hosts.pop(number).tasks.close())
        self.release(release, version)
        self.time_passes(down_s)
        if is_restored:
            self.store.restore()
        for number in numbers:
            self.start(number)

    @rule(number=st.integers(0, HOSTS - 1), kind=st.sampled_from(["refuse", "lose"]))
    def store_fails_for_a_host(self, number, kind):
        client = self.hosts[number].client
        client.is_refused, client.loses_answers = kind == "refuse", kind == "lose"

    @rule(seconds=st.sampled_from([0.6, 2.4]), version=st.sampled_from(VERSIONS))
    def release_while_the_store_refuses_writes(self, seconds, version):
        self.store.refuses_writes = True
        self.release(ENGINES[:1], version)
        self.time_passes(seconds)
        self.begin_one_stream_at_each_host(0)
        self.store.refuses_writes = False

    @rule()
    def store_serves_all(self):
        for host in self.hosts.values():
            host.client.is_refused = host.client.loses_answers = False

    @rule()
    def store_is_copied(self):
        self.store.copy = (self.store.revision, dict(self.store.by_key))

    @rule(seconds=st.sampled_from([0.0, 0.01, 0.6, 1.0, 2.4, 20.0]))
    def time_passes(self, seconds):
        for _ in range(max(1, round(seconds / STEP_S))):
            self.loop.advance_time(min(seconds, STEP_S))

    @rule(number=st.integers(0, HOSTS - 1))
    def resume_all_at_a_host(self, number):
        """Their callers try for `RETENTION_S` after the last event."""
        host, now = self.hosts[number], self.loop.time()
        oldest = now - RETENTION_S + 2.0
        streams = [s for s, at in self.last_use_by_stream.items() if at > oldest]
        finding = asyncio.wait_for(self.find_all(host, streams), 1.0)
        found = self.loop.run_until_complete(finding)
        for stream, version in zip(streams, found, strict=True):
            assert version in (None, self.version_by_stream[stream])

    async def find_all(self, host, streams):
        return await asyncio.gather(*(host.find(stream) for stream in streams))

    @precondition(lambda self: self.loop.time() > 40.0)
    @rule(is_killed=st.booleans())
    def unknown_stream_goes_on_where_one_version_has_served_for_long(self, is_killed):
        """Also right after a kill of all hosts; nothing is called meanwhile."""
        self.store_serves_all()
        self.release(ENGINES, "v1")
        self.time_passes(RECENT_S + 10.0)
        calls = self.store.reads + self.store.writes
        self.time_passes(20.0)
        assert self.store.reads + self.store.writes == calls
        if is_killed:
            self.kill_and_start_again(range(HOSTS), (), "v1", 0.0, False)
            self.time_passes(1.0)
        for host in self.hosts.values():
            assert self.loop.run_until_complete(host.find("unknown")) == "v1"

    def teardown(self) -> None:
        for host in self.hosts.values():
            self.loop.run_until_complete(host.tasks.close())
        self.loop.finish()


TestStreamVersions = StreamVersionsMachine.TestCase
TestStreamVersions.settings = settings(max_examples=200, stateful_step_count=40)
