"""Hosts that know the versions of streams, and their store, without a network."""

from __future__ import annotations

import asyncio
import json

from siskinlever._internal.exceptions import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from siskinlever._internal.fleet.runners import RunnerDirectory
from siskinlever._internal.fleet.store_follower import StoreFollower
from siskinlever._internal.fleet.store_health import StoreHealth
from siskinlever._internal.fleet.stored_streams import StoredStreams
from siskinlever._internal.fleet.stream_versions import StreamVersions
from siskinlever._internal.fleet.version_history import VersionHistory
from siskinlever._internal.fleet.version_record import StoredVersions
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.platform.store import Item, Listing
from siskinlever._internal.utils.tasks import TaskSet

from .discarded_log import DISCARDED_LOG
from .platform_world import host_settings

SERVICE = "engines"
CALL_S = 0.004
# Seconds after an outage of the store for which a missing engine stays usable.
LAPSE_RECOVERY_S = 2.0


class Store:
    """Registrations and the hosts' own records."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.by_key: dict[str, Item] = {}
        self.writes = self.reads = 0
        self.copy = (1, {})
        self.refuses_writes = False

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
        if self._store.refuses_writes:
            raise StoreUnavailableError("the store refuses writes")
        return await self._call(operation)


class Host:
    """The parts of a host that know versions.

    ``fleet`` has the `Store`, returns the `others` that live and calls them.
    """

    def __init__(self, fleet, number: int, is_first_start: bool) -> None:
        metrics = Metrics()
        log = LogLines("host", metrics, DISCARDED_LOG)
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
            self.name,
            self.client,
            self.versions,
            self.runners,
            *shared,
            is_reader=lambda: number > 0,
        )
        self.memory = StreamVersions(
            self.name, lambda: fleet.others(self.name), fleet, log, self.tasks
        )
        self.follower = StoreFollower(
            host_settings(number, [1, 2, 3, 4, 5], 6, []),
            self.client,
            None,
            self.runners,
            health,
            log,
            add_peer=lambda address: None,
            versions=self.versions,
        )

    def follow(self) -> None:
        self.tasks.start(self.follower.follow_runners(), "runners")
        self.tasks.start(self.stored.run(), "streams")

    def versions_of_usable(self) -> dict[tuple, str]:
        return {(r.key): r.version for r in self.runners.usable(SERVICE)}

    async def record(self, stream: str, version: str) -> None:
        self.stored.note(stream, version)
        await self.memory.record(stream, version)

    async def find(self, stream: str):
        version = await self.memory.find(stream)
        return version or await self.stored.find(SERVICE, stream)


def registration_entry(
    name: str, version: str, born: int, sequence: int, state: str = "ready"
) -> bytes:
    """Return an engine's registration as it writes it to the store."""
    entry = {
        "service": SERVICE,
        "address": f"10.0.0.{name[-1]}:80",
        "zone": "zone-a",
        "version": version,
        "slots": 6,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": sequence,
        "stage": "decode",
        "born": born,
    }
    return json.dumps(entry).encode()
