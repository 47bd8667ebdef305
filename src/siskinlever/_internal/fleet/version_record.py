"""Keeps the record of the versions in service in the store.

A host writes a version into the record before it uses engines of that version, so that
no stream begins at a version that the record lacks. Who resumes a stream that no host
knows reads the record again; a read that began before the question doesn't count.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

from ..dispatch.engine_versions import only_version
from ..exceptions import InvalidRecordError, PlatformError, StoreConflictError
from ..logs.lines import LogLines
from ..models.ids import ServiceName
from ..models.upstreams import Registration, SoftwareVersion
from ..platform.store import MetadataStore, Write
from ..utils.tasks import TaskSet
from .runners import RunnerDirectory, RunnerState
from .shared_read import SharedRead
from .version_history import (
    ServiceVersion,
    VersionHistory,
    VersionRecord,
    decode_version_record,
    engine_versions,
)

RECORD_KEY = "siskinlever/versions"
# Several hosts write at once when a release begins; one of them succeeds, and the
# others then mostly find the record right.
WRITE_TRIES = 4
# Seconds for which the next listing of the runners waits at most to record a change.
WRITE_TIMEOUT_S = 1.6


class StoredVersions:
    """Reads and writes the record, and tells the only version of a service.

    Parameters
    ----------
    store : MetadataStore
    runners : RunnerDirectory
    history : VersionHistory
    log : LogLines
    tasks : TaskSet
    is_store_down : callable
        Returns whether this host's calls to the store fail.
    """

    def __init__(
        self,
        store: MetadataStore,
        runners: RunnerDirectory,
        history: VersionHistory,
        log: LogLines,
        tasks: TaskSet,
        is_store_down: Callable[[], bool],
    ) -> None:
        self._store = store
        self._runners = runners
        self.history = history
        self._log = log
        self._reading = SharedRead(self._read, tasks, "read-versions", is_store_down)
        self._failure = ""

    def admitted(self, listed: Sequence[Registration]) -> list[Registration]:
        """Return the runners of a listing whose version is recorded.

        Plain runners need no record. Nor does a service that the record lacks
        altogether, as in a fleet that starts for the first time while the store refuses
        writes: what streams of such a service begin at is unknown.
        """
        history = self.history
        return [
            runner
            for runner in listed
            if runner.stage is None
            or history.is_recorded(ServiceVersion(runner.service, runner.version))
            or history.lacks(runner.service)
        ]

    async def reconcile(self, listed: Iterable[Registration]) -> None:
        """Write the record if it lacks what is listed or known, or is out of date.

        A failure is logged; the next listing tries again.
        """
        known = [
            runner.registration
            for runner in self._runners.by_key.values()
            if runner.state is not RunnerState.GONE
        ]
        present = engine_versions([*listed, *known])
        if self.history.is_read and not self._proposed(present):
            return
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._write(present)
        except PlatformError as error:
            self._note_failure(error.message)
            return
        except TimeoutError:
            self._note_failure("the store doesn't answer")
            return
        self._note_failure("")

    async def refresh(self) -> bool:
        """Read the record; return whether that succeeded in time."""
        return await self._reading.done()

    def only_version(self, service: ServiceName) -> SoftwareVersion | None:
        """Return the version that alone can have begun a stream, as last read.

        None if there were several lately, or if that isn't known.
        """
        version = only_version(self._runners.known(service))
        recent = self.history.recent(service)
        if version is None or recent is None or not recent <= {version}:
            return None
        return version

    def _proposed(self, present: frozenset[ServiceVersion]) -> VersionRecord | None:
        return self.history.propose(present, self._store.era)

    async def _write(self, present: frozenset[ServiceVersion]) -> None:
        for _ in range(WRITE_TRIES):
            revision = await self._read()
            record = self._proposed(present)
            if record is None:
                return
            write = Write(RECORD_KEY, record.encode())
            try:
                await self._store.transact({RECORD_KEY: revision}, [write])
            except StoreConflictError:
                continue
            if record.era == self._store.era:
                self.history.adopt(record, record.era)
                self._log.write("versions.recorded", record=write.value.decode())
                return
        raise StoreConflictError("other hosts changed the versions each time")

    async def _read(self) -> int:
        """Read the record; return its revision, which is 0 if there is none.

        A record that can't be decoded counts as one of an earlier era, so it is
        replaced, and what this host hasn't seen itself is unknown.
        """
        item = await self._store.read(RECORD_KEY)
        if item is None:
            self.history.adopt(None, self._store.era)
            return 0
        try:
            found = decode_version_record(item.value)
        except InvalidRecordError as error:
            self._log.write("versions.invalid", reason=error.message)
            found = VersionRecord(-1, 0, {})
        self.history.adopt(found, self._store.era)
        return item.revision

    def _note_failure(self, reason: str) -> None:
        """Log a failure, but not each repetition of it."""
        if reason and not self._failure:
            self._log.write("versions.unrecorded", reason=reason)
        self._failure = reason
