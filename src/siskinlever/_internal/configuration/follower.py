"""Keeps this host at the newest configuration.

Watches the root record, reads it again at intervals, and pulls from any peer
whose heartbeat shows a higher generation, so that one host which saw a change
is enough, and a host that starts while the store is out gets it from peers.
"""

from __future__ import annotations

import asyncio

from absl import logging

from ..exceptions import DeclarationError, PeerError, PlatformError
from ..metrics.registry import Metrics
from ..models.declaration import Declaration
from ..models.events import EventKind
from ..models.ids import ApplyId, Generation, HostName
from ..peers import peer_pb2
from ..peers.link import Peers
from ..timeline.recorder import Recorder
from ..utils.clock import MS_PER_S
from ..utils.tasks import TaskSet
from ..utils.validation import parse_json
from .current import Configuration, CurrentConfiguration
from .store import ConfigurationStore

WATCH_WAIT_S = 5.0
RETRY_PAUSE_S = 0.5
FETCH_TIMEOUT_S = 2.0


class ConfigurationFollower:
    """Follows the configuration for this host."""

    def __init__(
        self,
        current: CurrentConfiguration,
        store: ConfigurationStore,
        peers: Peers,
        recorder: Recorder,
        metrics: Metrics,
        tasks: TaskSet,
    ) -> None:
        self._current = current
        self._store = store
        self._peers = peers
        self._recorder = recorder
        self._metrics = metrics
        self._tasks = tasks
        self._fetching = False
        self._store_reached = True
        current.subscribe(self._in_force)

    async def run(self) -> None:
        """Watch the store until cancelled."""
        while True:
            try:
                await self._watch_once()
                self._note_store(True)
            except (PlatformError, DeclarationError) as error:
                self._note_store(False, str(error))
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _watch_once(self) -> None:
        known = self._current.value
        if known is None:
            found = await self._store.read()
            if found is None:
                await asyncio.sleep(RETRY_PAUSE_S)
        else:
            found = await self._store.watch(known.store_version, WATCH_WAIT_S)
        if found is not None:
            self._current.offer(found)
        self._current.confirm()

    def heard(self, ping: peer_pb2.Ping) -> None:
        """Compare a peer's generation with the one in force here."""
        if ping.generation > self._current.generation and not self._fetching:
            self._fetching = True
            self._tasks.start(self._fetch(HostName(ping.host)), "fetch-configuration")
        if ping.generation == self._current.generation:
            self._current.confirm(ping.current_age_ms / MS_PER_S)

    async def serve(
        self, request: peer_pb2.ConfigurationRequest
    ) -> peer_pb2.ConfigurationReply:
        """Give a peer the configuration in force if it is newer than the peer's."""
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
        request = peer_pb2.ConfigurationRequest(
            above_generation=self._current.generation
        )
        try:
            reply = await self._peers.call(
                host, "FetchConfiguration", request, FETCH_TIMEOUT_S
            )
            self._take(reply)
        except PeerError:
            self._metrics.count("configuration_fetch_failures")
        finally:
            self._fetching = False

    def _take(self, reply: peer_pb2.ConfigurationReply) -> None:
        if reply.generation == 0:
            return
        declaration, faults = parse_json(Declaration, reply.declaration)
        if declaration is None:
            logging.error("a peer sent a damaged declaration: %s", faults)
            return
        self._current.offer(
            Configuration(
                Generation(reply.generation),
                ApplyId(reply.apply_id),
                declaration,
                reply.declaration,
                reply.store_version,
            )
        )

    def _in_force(self, configuration: Configuration) -> None:
        logging.info(
            "configuration in force generation=%d apply=%s",
            configuration.generation,
            configuration.apply_id,
        )
        self._recorder.record(
            EventKind.CONFIGURATION_IN_FORCE, generation=configuration.generation
        )
        self._metrics.gauge("configuration_generation", configuration.generation)

    def _note_store(self, reached: bool, why: str = "") -> None:
        if reached == self._store_reached:
            return
        self._store_reached = reached
        logging.info("store reached=%s %s", reached, why)
        self._recorder.record(EventKind.STORE_STATE, reached=int(reached))
