"""Keeps the configuration of this host up to date.

The follower watches the root record, rereads it periodically, and fetches the
configuration from any peer whose pings report a higher generation. A change
therefore reaches all hosts once a single host has read it, and a host that starts
during an outage of the key-value service gets the configuration from its peers.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from absl import logging

from ..coordination.key_value import Record
from ..exceptions import DeclarationError, PeerError, PlatformError
from ..metrics.registry import Metrics
from ..models.declaration import Declaration
from ..models.events import EventKind
from ..models.ids import ApplyId, Generation, HostName
from ..peers import peer_pb2
from ..peers.link import Peers
from ..timeline.recorder import Recorder
from ..utils.clock import MS_PER_S, monotonic
from ..utils.pauses import PauseDetector
from ..utils.tasks import TaskSet
from ..utils.validation import parse_json
from .current import Configuration, CurrentConfiguration
from .root import parse_root
from .store import ConfigurationStore

READ_IMMEDIATELY = 0
# Together with its jitter, its grace period and one reread, less than the 17 s within
# which a change must be in force, even if the watched connection stops responding.
WATCH_WAIT_S = 8.0
WATCH_JITTER = 0.25
RETRY_PAUSE_S = 0.5
MAX_RETRY_PAUSE_S = 4.0
FETCH_TIMEOUT_S = 2.0
# Time to receive a change from the key-value service before the whole
# declaration is fetched from a peer.
FETCH_GRACE_S = 2.0
MAJORITY_PERIOD_S = 1.0
# Messages received before a pause of the process are handled within this time
# after it.
RESUME_GRACE_S = 1.0
# Average number of hosts per second that read the parts of a changed root record.
READERS_PER_S = 400


class ConfigurationFollower:
    """Follows the configuration for this host.

    Parameters
    ----------
    current : CurrentConfiguration
    store : ConfigurationStore
    peers : Peers
    recorder : Recorder
    metrics : Metrics
    tasks : TaskSet
    pauses : PauseDetector
    host_count : callable
        Returns the number of hosts that follow the configuration.
    """

    def __init__(
        self,
        current: CurrentConfiguration,
        store: ConfigurationStore,
        peers: Peers,
        recorder: Recorder,
        metrics: Metrics,
        tasks: TaskSet,
        pauses: PauseDetector,
        host_count: Callable[[], int],
    ) -> None:
        self._current = current
        self._store = store
        self._peers = peers
        self._recorder = recorder
        self._metrics = metrics
        self._tasks = tasks
        self._pauses = pauses
        self._host_count = host_count
        self._fetching = False
        self._store_reached = True
        self._highest_seen = 0
        self._version = READ_IMMEDIATELY
        self._failures = 0
        current.subscribe(self._on_change)

    async def run(self) -> None:
        """Watch the key-value service until cancelled."""
        while True:
            try:
                await self._watch_once()
                self._failures = 0
                self._set_store_reached(True)
            except (PlatformError, DeclarationError) as error:
                self._failures += 1
                # The next call opens a new connection and reads immediately.
                self._version = READ_IMMEDIATELY
                self._set_store_reached(False, str(error))
                await asyncio.sleep(self._retry_pause_s())

    async def confirm_by_majority(self, has_majority: Callable[[], bool]) -> None:
        """Confirm the configuration while a majority is reachable, until cancelled.

        During an outage of the key-value service no apply is accepted, and an
        earlier apply reaches the majority within seconds. A host that reaches a
        majority with no higher generation therefore has the newest configuration
        and can continue to serve requests.
        """
        while True:
            is_behind = self._highest_seen > self._current.generation
            if has_majority() and not is_behind:
                self._current.confirm()
            self._metrics.gauge(
                "configuration_age_seconds", self._current.current_age_s
            )
            await asyncio.sleep(MAJORITY_PERIOD_S)

    async def _watch_once(self) -> None:
        started_at = monotonic()
        wait_s = WATCH_WAIT_S * random.uniform(1 - WATCH_JITTER, 1 + WATCH_JITTER)
        record = await self._store.watch(self._version, wait_s)
        if self._pauses.paused_since(started_at):
            # The answer may be from before the pause and outdated.
            self._version = READ_IMMEDIATELY
            return
        root = parse_root(record)
        generation = root.in_force.generation if root else 0
        if generation < self._current.generation:
            await self._restore(record)
            return
        if record is None:
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        if root is not None and generation > self._current.generation:
            self._recorder.clock.observe(*root.in_force.stamp)
            await self._load(record)
        self._version = record.version
        self._current.confirm()

    async def _load(self, record: Record) -> None:
        spread_s = self._host_count() / READERS_PER_S
        if self._current.value is not None:
            await asyncio.sleep(random.uniform(0, spread_s))
        self._current.advance(await self._store.load(record))

    async def _restore(self, record: Record | None) -> None:
        """Write the newest configuration back if the key-value service lost it.

        The configuration in force at this host does not change.
        """
        newest = self._current.value
        assert newest is not None
        self._metrics.count("store_restores")
        await asyncio.sleep(random.uniform(0, RETRY_PAUSE_S))
        await self._store.restore(record, newest)
        self._version = READ_IMMEDIATELY

    def _retry_pause_s(self) -> float:
        max_pause_s = min(RETRY_PAUSE_S * 2**self._failures, MAX_RETRY_PAUSE_S)
        return random.uniform(max_pause_s / 2, max_pause_s)

    def observe_ping(self, ping: peer_pb2.Ping) -> None:
        """Fetch a newer configuration from the sender, or confirm an equal one."""
        self._highest_seen = max(self._highest_seen, ping.generation)
        if ping.generation > self._current.generation and not self._fetching:
            self._fetching = True
            self._tasks.start(self._fetch(HostName(ping.host)), "fetch-configuration")
        if ping.generation != self._current.generation:
            return
        if not self._pauses.paused_since(monotonic() - RESUME_GRACE_S):
            self._current.confirm(ping.current_age_ms / MS_PER_S)

    async def serve(
        self, request: peer_pb2.ConfigurationRequest
    ) -> peer_pb2.ConfigurationReply:
        """Reply with the configuration in force if it is newer than the peer's."""
        value = self._current.value
        if value is None or value.generation <= request.above_generation:
            return peer_pb2.ConfigurationReply()
        return peer_pb2.ConfigurationReply(
            generation=value.generation,
            apply_id=value.apply_id,
            declaration=value.content,
            store_version=value.store_version,
        )

    async def _fetch(self, host: HostName) -> None:
        try:
            if self._failures == 0:
                # The key-value service may deliver the change first, and reading
                # only the changed parts is cheaper than fetching the whole
                # declaration.
                await asyncio.sleep(FETCH_GRACE_S)
            request = peer_pb2.ConfigurationRequest(
                above_generation=self._current.generation
            )
            if self._highest_seen <= self._current.generation:
                return
            reply = await self._peers.call(
                host, "FetchConfiguration", request, FETCH_TIMEOUT_S
            )
            self._adopt_reply(reply)
        except PeerError:
            self._metrics.count("configuration_fetch_failures")
        finally:
            self._fetching = False

    def _adopt_reply(self, reply: peer_pb2.ConfigurationReply) -> None:
        if reply.generation == 0:
            return
        declaration, faults = parse_json(Declaration, reply.declaration)
        if declaration is None:
            logging.error("a peer sent a damaged declaration: %s", faults)
            return
        self._current.advance(
            Configuration(
                Generation(reply.generation),
                ApplyId(reply.apply_id),
                declaration,
                reply.declaration,
                reply.store_version,
            )
        )

    def _on_change(self, configuration: Configuration) -> None:
        logging.info(
            "configuration in force generation=%d apply=%s",
            configuration.generation,
            configuration.apply_id,
        )
        self._recorder.record(
            EventKind.CONFIGURATION_IN_FORCE, generation=configuration.generation
        )
        self._metrics.gauge("configuration_generation", configuration.generation)

    def _set_store_reached(self, reached: bool, reason: str = "") -> None:
        if reached == self._store_reached:
            return
        self._store_reached = reached
        logging.info("store reached=%s reason=%r", reached, reason)
        self._recorder.record(EventKind.STORE_STATE, reached=int(reached))
