"""Hosts that follow a store which is restored from older copies between any steps."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from lib.discarded_log import DISCARDED_LOG
from lib.platform_world import configuration, host_settings

from siskinlever._internal.exceptions import (
    HistoryLostError,
    LeaseLapsedError,
    StoreUnavailableError,
)
from siskinlever._internal.fleet.configuration import ConfigurationInForce
from siskinlever._internal.fleet.runners import RunnerDirectory
from siskinlever._internal.fleet.store_follower import (
    HOSTS_PREFIX,
    StoreFollower,
    StoreHealth,
)
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.platform.records import decode_configuration
from siskinlever._internal.platform.store import Changes, Item, Listing
from siskinlever_testbed.model.virtual_time import VirtualTimeLoop

HOSTS = 3
RUNNERS = ["r-0", "r-1", "r-2"]
HEARTBEAT_S = 1.2
# Seconds after a restoration within which the operator writes again.
REWRITE_S = 0.6
CALL_S = 0.01
STEP_S = 0.2
# Seconds in which everything is in order again once the store serves all hosts.
SETTLE_S = 6.0
LAPSE_RECOVERY_S = 2.0


@dataclass
class Entry:
    """A key's value; it is removed when its lease, if any, ends."""

    value: bytes
    revision: int
    lease: int = 0


class Store:
    """State of the store that all hosts share."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self.loop = loop
        self.era = 1
        self.revision = 1
        self.by_key: dict[str, Entry] = {}
        self.history: list[tuple[int, str]] = []
        self.ttl_by_lease: dict[int, float] = {}
        self.ends_by_lease: dict[int, float] = {}
        self.copy = self._copied()

    def _copied(self):
        entries = {key: replace(entry) for key, entry in self.by_key.items()}
        return self.revision, entries, dict(self.ttl_by_lease)

    def take_copy(self) -> None:
        self.copy = self._copied()

    def restore(self) -> None:
        """Go back to the copy, whose leases begin anew."""
        self.revision, entries, ttls = self.copy
        self.by_key = {key: replace(entry) for key, entry in entries.items()}
        self.ttl_by_lease = dict(ttls)
        self.ends_by_lease = {n: self.loop.time() + ttl for n, ttl in ttls.items()}
        self.history = [item for item in self.history if item[0] <= self.revision]
        self.era += 1

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        self.by_key[key] = Entry(value, self.revision, lease)
        self.history.append((self.revision, key))

    def expire(self) -> None:
        ended = [n for n, at in self.ends_by_lease.items() if at <= self.loop.time()]
        for lease in ended:
            del self.ends_by_lease[lease], self.ttl_by_lease[lease]
            for key in [k for k, e in self.by_key.items() if e.lease == lease]:
                del self.by_key[key]


class Client:
    """Client of the store for one host; it may be turned away."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._listeners = []
        self._has_answered = False
        self.is_refused = False
        self.era = 0

    def on_restoration(self, listener):
        self._listeners.append(listener)

    async def _call(self, operation):
        await asyncio.sleep(CALL_S)
        self._store.expire()
        if self.is_refused:
            raise StoreUnavailableError("the store refused the call")
        before, self.era = self.era, self._store.era
        is_first, self._has_answered = not self._has_answered, True
        if self.era > before and not is_first:
            for listener in self._listeners:
                listener()
        return operation()

    async def list_prefix(self, prefix):
        def operation():
            items = [
                Item(key, entry.value, entry.revision, entry.lease)
                for key, entry in self._store.by_key.items()
                if key.startswith(prefix)
            ]
            return Listing(tuple(items), self._store.revision)

        return await self._call(operation)

    async def watch(self, prefix, after, wait_s, answer_s):
        era, ends_at = self.era, self._store.loop.time() + wait_s
        while True:
            changes = await self._call(lambda: self._changes(prefix, after))
            if changes is None or self.era != era:
                raise HistoryLostError("the store was restored")
            if changes.events or self._store.loop.time() >= ends_at:
                return changes
            await asyncio.sleep(STEP_S)

    def _changes(self, prefix, after):
        if after > self._store.revision:
            return None
        keys = {k for at, k in self._store.history if at > after}
        events = [
            Item(key, entry.value, entry.revision, entry.lease)
            for key, entry in self._store.by_key.items()
            if key in keys and key.startswith(prefix)
        ]
        return Changes(tuple(events), self._store.revision)

    async def open_lease(self, ttl_s):
        def operation():
            self._store.revision += 1
            lease = self._store.revision
            self._store.ttl_by_lease[lease] = ttl_s
            self._store.ends_by_lease[lease] = self._store.loop.time() + ttl_s
            return lease

        return await self._call(operation)

    async def renew_lease(self, lease):
        def operation():
            if lease not in self._store.ttl_by_lease:
                raise LeaseLapsedError("the lease has ended")
            ttl_s = self._store.ttl_by_lease[lease]
            self._store.ends_by_lease[lease] = self._store.loop.time() + ttl_s

        await self._call(operation)

    async def transact(self, expected, writes):
        def operation():
            (write,) = writes
            if write.lease not in self._store.ttl_by_lease:
                raise LeaseLapsedError("the lease has ended")
            self._store.put(write.key, write.value, write.lease)
            return self._store.revision

        return await self._call(operation)


class Host:
    """The parts of a host that follow the store."""

    def __init__(self, store: Store, number: int) -> None:
        metrics = Metrics()
        log = LogLines("host", metrics, DISCARDED_LOG)
        self.client = Client(store)
        self.settings = host_settings(number, [1, 2, 3, 4, 5], 6, [])
        self.configuration = ConfigurationInForce(decode_configuration, log)
        self.runners = RunnerDirectory(LAPSE_RECOVERY_S, log)
        follower = StoreFollower(
            self.settings,
            self.client,
            self.configuration,
            self.runners,
            StoreHealth(log, metrics),
            log,
            add_peer=lambda address: None,
        )
        for task in (
            follower.follow_configuration(),
            follower.follow_runners(),
            follower.register_host(),
        ):
            store.loop.create_task(task)
        self.highest_version = 0
        self.seen: set[str] = set()

    def usable(self) -> set[str]:
        return {runner.key.name for runner in self.runners.usable("plain")}


class RestoredStoreMachine(RuleBasedStateMachine):
    """The configuration never goes back, and no runner that lives is taken for gone.

    Once the store serves all hosts for a while, they have the newest configuration and
    are registered, and runners that have left are not used.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.store = Store(self.loop)
        self.version = 1
        self.sequence_by_runner = dict.fromkeys(RUNNERS, 0)
        self._write_configuration()
        for name in RUNNERS:
            self._register(name)
        self.loop.create_task(self._send_heartbeats())
        self.hosts = [Host(self.store, number) for number in range(HOSTS)]
        self.advance(2.0)

    def _write_configuration(self) -> None:
        document = json.dumps(configuration(self.version)).encode()
        self.store.put("op/config", document)

    def _register(self, name: str) -> None:
        self.sequence_by_runner[name] += 1
        entry = {
            "service": "plain",
            "address": f"10.0.0.{RUNNERS.index(name) + 1}:80",
            "zone": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence_by_runner[name],
        }
        self.store.put(f"servers/{name}", json.dumps(entry).encode())

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name in self.sequence_by_runner:
                self._register(name)

    def advance(self, seconds: float) -> None:
        for _ in range(max(1, round(seconds / STEP_S))):
            self.loop.advance_time(STEP_S)
            self.check()

    @rule()
    def operator_writes(self):
        self.version += 1
        self._write_configuration()

    @rule(name=st.sampled_from(RUNNERS[1:]))
    def runner_leaves(self, name):
        self.sequence_by_runner.pop(name, None)
        self.store.by_key.pop(f"servers/{name}", None)

    @rule()
    def store_is_copied(self):
        self.store.take_copy()

    @rule()
    def store_is_restored(self):
        self.store.restore()
        for key in list(self.store.by_key):
            name = key.removeprefix("servers/")
            if name in RUNNERS and name not in self.sequence_by_runner:
                # Its entry ends by itself once its heartbeats are missing.
                self.loop.call_later(3 * HEARTBEAT_S, self.store.by_key.pop, key, None)
        if self._stored_version() < self.version:
            self.loop.call_later(REWRITE_S, self._write_again)

    @rule(number=st.integers(0, HOSTS - 1))
    def revisions_are_given_out_again_while_a_host_is_turned_away(self, number):
        client = self.hosts[number].client
        client.is_refused = True
        self.advance(1.0)
        revision = self.store.revision
        self.store_is_restored()
        self.operator_writes()
        while self.store.revision <= revision:
            self.store.put("op/other", b"{}")
        client.is_refused = False

    @rule(number=st.integers(0, HOSTS - 1), is_refused=st.booleans())
    def store_turns_a_host_away(self, number, is_refused):
        self.hosts[number].client.is_refused = is_refused

    def _stored_version(self) -> int:
        entry = self.store.by_key.get("op/config")
        return json.loads(entry.value)["version"] if entry else 0

    def _write_again(self) -> None:
        if self._stored_version() < self.version:
            self._write_configuration()

    @rule(seconds=st.sampled_from([0.2, 0.6, 1.0, 2.4, 5.0]))
    def time_passes(self, seconds):
        self.advance(seconds)

    @rule()
    def all_is_in_order_once_the_store_serves_all(self):
        for host in self.hosts:
            host.client.is_refused = False
        self.advance(SETTLE_S)
        for host in self.hosts:
            assert host.configuration.version == self.version
            assert HOSTS_PREFIX + host.settings.host in self.store.by_key
            assert host.usable() == set(self.sequence_by_runner)

    @invariant()
    def check(self):
        for host in getattr(self, "hosts", []):
            assert host.configuration.version >= host.highest_version
            host.highest_version = host.configuration.version
            usable = host.usable()
            assert host.seen & self.sequence_by_runner.keys() <= usable
            host.seen |= usable

    def teardown(self):
        self.loop.finish()


TestRestoredStoreMachine = RestoredStoreMachine.TestCase
# Each step runs three hosts for seconds of their time.
TestRestoredStoreMachine.settings = settings(
    max_examples=settings.default.max_examples // 3
)
