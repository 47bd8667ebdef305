"""Keeps the versions of streams in progress in the store during a release.

The load that it addresses is a release during which all hosts are killed: the hosts'
memory is lost, and the only version of the service isn't known. Each host writes the
streams that it serves in one value, at most once per `PERIOD_S` and only while a
service has several recent versions. Nothing waits for a write: a stream whose first
event was passed on before it was written is unknown after a kill, and isn't resumed.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..exceptions import InvalidRecordError, PlatformError, StoreConflictError
from ..logs.lines import LogLines
from ..models.ids import HostName, ServiceName
from ..models.upstreams import SoftwareVersion
from ..platform.store import Item, MetadataStore, Write
from ..utils.clock import monotonic
from ..utils.tasks import TaskSet
from .runners import RunnerDirectory
from .shared_read import SharedRead
from .stream_versions import MAX_STREAMS, RETENTION_S
from .version_record import StoredVersions

STREAMS_PREFIX = "siskinlever/streams/"
# A second of unknown streams is a small part of those in progress, which last for
# seconds. 8 hosts write 8 times per second, 400 hosts 400 times; the store allows 400
# and 1,200 writes per second, and each call costs.
PERIOD_S = 1.0
# Seconds between two reads of the record by a host that doesn't follow the store, while
# engines leave. Engines are replaced at the same version more often than released.
DEPARTURES_PERIOD_S = 2.0
# A value then takes about 64 KB.
MAX_STREAMS_PER_HOST = 1_000


@dataclass(slots=True)
class ServedStream:
    """A stream that this host serves or served; ``expires_at`` is monotonic time."""

    version: SoftwareVersion
    expires_at: float


class StoredStreams:
    """Writes the versions of this host's streams, and finds those of all hosts.

    Parameters
    ----------
    own_host : str
    store : MetadataStore
    versions : StoredVersions
    runners : RunnerDirectory
    log : LogLines
    tasks : TaskSet
    is_store_down : callable
        Returns whether this host's calls to the store fail.
    is_reader : callable
        Returns whether this host follows the store.
    """

    def __init__(
        self,
        own_host: HostName,
        store: MetadataStore,
        versions: StoredVersions,
        runners: RunnerDirectory,
        log: LogLines,
        tasks: TaskSet,
        is_store_down: Callable[[], bool],
        is_reader: Callable[[], bool],
    ) -> None:
        self._key = STREAMS_PREFIX + own_host
        self._store = store
        self._versions = versions
        self._runners = runners
        self._log = log
        self._reading = SharedRead(self._read_all, tasks, "read-streams", is_store_down)
        store.on_restoration(self._handle_restoration)
        # Ordered by time of recording.
        self._served_by_attempt: dict[str, ServedStream] = {}
        self._found_by_attempt: dict[str, SoftwareVersion] = {}
        self._written: dict[str, SoftwareVersion] = {}
        # Revision of this host's value; None if it must be read first, because an
        # earlier process of the host may have written it.
        self._revision: int | None = None
        self._failure = ""
        self._is_reader = is_reader
        self._read_from = float("-inf")

    def __len__(self) -> int:
        return len(self._served_by_attempt)

    def note(self, attempt: str, version: SoftwareVersion) -> None:
        """Remember a stream that this host serves; the newest note counts."""
        self._served_by_attempt.pop(attempt, None)
        served = ServedStream(version, monotonic() + RETENTION_S)
        self._served_by_attempt[attempt] = served
        while len(self._served_by_attempt) > MAX_STREAMS_PER_HOST:
            del self._served_by_attempt[next(iter(self._served_by_attempt))]

    def remove(self, attempt: str) -> None:
        """Forget a stream that its caller has received completely."""
        self._served_by_attempt.pop(attempt, None)

    async def find(self, service: ServiceName, attempt: str) -> SoftwareVersion | None:
        """Return the version that began a stream that no host knows, or None.

        That is the only version that a service had lately, or the one that was written.
        None also if the store doesn't answer: another host may have seen a version that
        this one hasn't.
        """
        if not await self._versions.refresh():
            return None
        version = self._versions.only_version(service)
        if version is None and attempt not in self._found_by_attempt:
            await self._reading.done()
        return version or self._found_by_attempt.get(attempt)

    async def run(self) -> None:
        """Write the streams while a service has several recent versions."""
        while True:
            await asyncio.sleep(PERIOD_S)
            try:
                if not self._versions.history.is_mixed:
                    await self._read_record_after_a_departure()
                await self._write_if_changed()
            except (PlatformError, InvalidRecordError) as error:
                # The record of one failure is enough; the next period tries again.
                if not self._failure:
                    self._log.write("streams.unwritten", reason=error.message)
                self._failure = error.message
            else:
                self._failure = ""

    def _handle_restoration(self) -> None:
        self._revision, self._written = None, {}

    async def _read_record_after_a_departure(self) -> None:
        """Read the record if an engine has left recently, which may be a release.

        In a large fleet, few hosts follow the store, and tell the others of engines
        that leave but not of new ones.
        """
        now = monotonic()
        if self._is_reader() or not self._served_by_attempt or now < self._read_from:
            return
        leaving = self._runners.recently_unusable(DEPARTURES_PERIOD_S)
        if any(runner.registration.stage is not None for runner in leaving):
            self._read_from = now + DEPARTURES_PERIOD_S
            await self._versions.refresh()

    async def _write_if_changed(self) -> None:
        is_mixed = self._versions.history.is_mixed
        streams = self._current()
        if not is_mixed:
            streams = {}
        if streams.items() <= self._written.items() and (is_mixed or not self._written):
            # Streams that ended needn't be removed at once.
            return
        if self._revision is None:
            await self._read_own()
            streams = self._current() if is_mixed else {}
        write = Write(self._key, _encode(streams))
        expected = {self._key: self._revision or 0}
        try:
            self._revision = await self._store.transact(expected, [write])
        except StoreConflictError:
            self._revision = None
            raise
        self._written = streams

    def _current(self) -> dict[str, SoftwareVersion]:
        now = monotonic()
        self._served_by_attempt = {
            attempt: served
            for attempt, served in self._served_by_attempt.items()
            if served.expires_at > now
        }
        return {a: served.version for a, served in self._served_by_attempt.items()}

    async def _read_own(self) -> None:
        """Take over what an earlier process of this host has written."""
        item = await self._store.read(self._key)
        self._revision = 0 if item is None else item.revision
        if item is None:
            return
        served, self._served_by_attempt = self._served_by_attempt, {}
        for attempt, version in self._decoded([item]).items():
            self.note(attempt, version)
        self._served_by_attempt |= served

    async def _read_all(self) -> None:
        items = (await self._store.list_prefix(STREAMS_PREFIX)).items
        for attempt, version in self._decoded(items).items():
            self._found_by_attempt.pop(attempt, None)
            self._found_by_attempt[attempt] = version
        while len(self._found_by_attempt) > MAX_STREAMS:
            del self._found_by_attempt[next(iter(self._found_by_attempt))]

    def _decoded(self, items: Iterable[Item]) -> dict[str, SoftwareVersion]:
        versions: dict[str, SoftwareVersion] = {}
        for item in items:
            try:
                versions |= _decode(item.value)
            except InvalidRecordError as error:
                self._log.write("streams.invalid", key=item.key, reason=error.message)
        return versions


def _encode(streams: dict[str, SoftwareVersion]) -> bytes:
    attempts_by_version: dict[str, list[str]] = {}
    for attempt, version in streams.items():
        attempts_by_version.setdefault(version, []).append(attempt)
    return json.dumps(attempts_by_version).encode()


def _decode(value: bytes) -> dict[str, SoftwareVersion]:
    try:
        return {
            str(attempt): SoftwareVersion(version)
            for version, attempts in json.loads(value).items()
            for attempt in attempts
        }
    except (ValueError, AttributeError, TypeError, RecursionError) as error:
        raise InvalidRecordError(f"streams: {error!r}") from error
