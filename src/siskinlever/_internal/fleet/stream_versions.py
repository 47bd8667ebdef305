"""Remembers which software version began each resumable stream.

What two versions write doesn't fit together, and runners don't check it. A caller that
takes a stream up names the attempt that began it, at any host. The host that begins a
stream therefore tells two other hosts the version before it passes on the first event;
the host at which the stream is taken up asks all.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass

from ..exceptions import PeerError
from ..logs.lines import LogLines
from ..models.ids import HostName
from ..models.upstreams import SoftwareVersion
from ..peers import peer_pb2
from ..peers.link import Peers
from ..utils.clock import monotonic
from ..utils.rendezvous import primary_and_backup
from ..utils.tasks import TaskSet
from .hosts import HostStatus

# Seconds for which a version is remembered: longer than a stream and the tries of its
# caller last.
RETENTION_S = 60.0
MAX_STREAMS = 50_000
# The first event of a stream waits no longer for another host to know its version.
RECORD_TIMEOUT_S = 0.1
FIND_TIMEOUT_S = 0.25


def stream_id(attempt: str, workspace: str | None = None) -> str:
    """Return what identifies a stream among those of all workspaces.

    Callers choose the ids of attempts, so those of two workspaces may be the same.
    """
    return attempt if workspace is None else f"{workspace}\0{attempt}"


@dataclass(frozen=True, slots=True)
class BegunStream:
    """The version that began a stream, and when this was recorded."""

    version: SoftwareVersion
    recorded_at: float


class VersionMemory:
    """The versions of recent streams, by the attempt that began each.

    Parameters
    ----------
    now : callable, default=monotonic
    """

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        self._now = now
        # Ordered by time of recording.
        self._stream_by_attempt: dict[str, BegunStream] = {}

    def __len__(self) -> int:
        return len(self._stream_by_attempt)

    def record(self, attempt: str, version: SoftwareVersion) -> None:
        """Remember the version that began a stream; the newest record counts."""
        self._stream_by_attempt.pop(attempt, None)
        self._stream_by_attempt[attempt] = BegunStream(version, self._now())
        self._remove_expired()

    def version_of(self, attempt: str) -> SoftwareVersion | None:
        """Return the version that began a stream, or None if it is not known."""
        stream = self._stream_by_attempt.get(attempt)
        return None if stream is None else stream.version

    def _remove_expired(self) -> None:
        since = self._now() - RETENTION_S
        while self._stream_by_attempt:
            oldest = next(iter(self._stream_by_attempt))
            is_kept = self._stream_by_attempt[oldest].recorded_at >= since
            if is_kept and len(self._stream_by_attempt) <= MAX_STREAMS:
                return
            del self._stream_by_attempt[oldest]


class StreamVersions:
    """Records the versions of streams at this host and at others, and finds them.

    Parameters
    ----------
    own_host : str
    others : callable
        Returns the other live hosts that serve callers.
    peers : Peers
    log : LogLines
    tasks : TaskSet
    """

    def __init__(
        self,
        own_host: HostName,
        others: Callable[[], Iterable[HostStatus]],
        peers: Peers,
        log: LogLines,
        tasks: TaskSet,
    ) -> None:
        self._own_host = own_host
        self._others = others
        self._peers = peers
        self._log = log
        self._tasks = tasks
        self.memory = VersionMemory()

    async def record(self, attempt: str, version: SoftwareVersion) -> None:
        """Remember the version that begins a stream, here and at two other hosts.

        Returns when one of these knows it, or after `RECORD_TIMEOUT_S`.
        """
        self.memory.record(attempt, version)
        status_by_host = {status.host: status for status in self._others()}
        homes = primary_and_backup(
            attempt, {host: status.zone for host, status in status_by_host.items()}
        )
        calls = [
            self._tasks.start(
                self._tell(status_by_host[HostName(home)], attempt, version),
                "note-stream",
            )
            for home in homes
            if home is not None
        ]
        is_known = False
        with suppress(TimeoutError):
            for call in asyncio.as_completed(calls, timeout=RECORD_TIMEOUT_S):
                is_known = await call
                if is_known:
                    break
        if calls and not is_known:
            self._log.write("stream.unrecorded", attempt, version=version)

    async def find(self, attempt: str) -> SoftwareVersion | None:
        """Return the version that began a stream, or None if no host knows it."""
        version = self.memory.version_of(attempt)
        source = self._own_host if version else "unknown"
        if version is None:
            calls = [self._ask(status, attempt) for status in self._others()]
            for answer in asyncio.as_completed(calls):
                host, found = await answer
                if found is not None:
                    version, source = found, host
                    break
        self._log.write("stream.version", attempt, version=version, source=source)
        return version

    async def serve_note(self, stream: peer_pb2.FleetStream) -> peer_pb2.Nothing:
        """Remember the version of a stream that another host begins."""
        self.memory.record(stream.attempt, SoftwareVersion(stream.version))
        return peer_pb2.Nothing()

    async def serve_find(
        self, request: peer_pb2.FleetStreamRequest
    ) -> peer_pb2.FleetStream:
        """Return the version of a stream, which is empty if it is not known here."""
        version = self.memory.version_of(request.attempt)
        return peer_pb2.FleetStream(attempt=request.attempt, version=version or "")

    async def _tell(
        self, status: HostStatus, attempt: str, version: SoftwareVersion
    ) -> bool:
        message = peer_pb2.FleetStream(attempt=attempt, version=version)
        try:
            await self._peers.call_address(
                status.peers_address, "NoteStream", message, FIND_TIMEOUT_S, tries=1
            )
        except PeerError:
            # The link counts the failure; `record` logs a stream that no host took.
            return False
        return True

    async def _ask(
        self, status: HostStatus, attempt: str
    ) -> tuple[HostName, SoftwareVersion | None]:
        request = peer_pb2.FleetStreamRequest(attempt=attempt)
        try:
            reply = await self._peers.call_address(
                status.peers_address, "FindStream", request, FIND_TIMEOUT_S, tries=1
            )
        except PeerError:
            # The link counts the failure; `find` logs what all answers came to.
            return status.host, None
        return status.host, SoftwareVersion(reply.version) if reply.version else None
