"""Exchanges state with the other hosts, with one task per host."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ..dispatch.runner_limits import RunnerLimits
from ..dispatch.runner_paths import RunnerPaths
from ..exceptions import InvalidRecordError, PeerError
from ..logs.lines import LogLines
from ..models.ids import HostName
from ..models.upstreams import Address, RunnerKey
from ..peers import peer_pb2
from ..peers.link import Peers
from ..stages.switching import StageSwitches
from ..utils.clock import MS_PER_S, monotonic
from ..utils.duties import Duties
from ..utils.tasks import TaskSet
from .configuration import ConfigurationInForce
from .crash_reports import CrashReports
from .demand import DemandMeter
from .document_compression import DocumentCompression, decompressed
from .hosts import HOST_RETENTION_S, LOST_AFTER_S, HostStatus, HostTable, HostWork
from .in_progress import InProgress
from .load_updates import LoadUpdates
from .messages import (
    from_host,
    from_runner,
    from_state,
    to_demands,
    to_host,
    to_leaving,
    to_limits,
    to_loads,
    to_runner,
    to_switches,
)
from .proof_renewal import ProofRenewal
from .registrations import FetchedChanges
from .runners import RunnerDirectory
from .serving_set import ServingView
from .store_follower import StoreFollower
from .unreachable_runners import UnreachableRunners

PERIOD_S = 0.9
# Minimum seconds between two exchanges with the same peer, for urgent updates; also
# the period of the checks for such updates.
MIN_PERIOD_S = 0.05
# Hosts answer in milliseconds; a second attempt is made on a new connection.
CALL_TIMEOUT_S = 0.4
# Seconds between two computations of the serving set.
VIEW_REFRESH_S = 0.3
# Upper bound on the exchanges of one host with its partners in a large fleet.
MAX_PARTNER_EXCHANGES_PER_S = 12.0
# Seconds between two exchanges with another peer in a large fleet, and without contact
# after which it counts as lost.
OTHER_PERIOD_S = 10.0
OTHER_LOST_AFTER_S = 28.0
# Exchanges include the runners that changed to DRAINING or GONE within this time;
# after that, other hosts read the change from the store.
REPEAT_S = 15.0
# Upper bound on the exchanges of one host. With more peers, each pair exchanges
# state less often, so that a host's traffic does not grow with the fleet.
MAX_EXCHANGES_PER_S = 40.0
# Exchange periods without contact after which a host counts as lost, so that one
# failed exchange is tolerated.
ALIVE_PERIODS = 3.0
# Minimum seconds between two announcements of changed registrations, which come in
# series when a fleet starts or a release goes on.
MIN_ANNOUNCE_PERIOD_S = 0.3


def exchange_period_s(peers: int) -> float:
    """Return the seconds between two exchanges of a pair of hosts."""
    return max(PERIOD_S, peers / MAX_EXCHANGES_PER_S)


class PeerSync:
    """Sends the local state to the other hosts and merges theirs.

    Parameters
    ----------
    own_status : callable
        Returns this host's status.
    peers : Peers
    configuration : ConfigurationInForce
    runners : RunnerDirectory
    hosts : HostTable
    in_progress : InProgress
    load_updates : LoadUpdates
        Publishes changes of the loads at engines to each peer added here.
    demand : DemandMeter
    switching : StageSwitches
        Stage changes that this host has ordered.
    unreachable_runners : UnreachableRunners
    runner_paths : RunnerPaths
    limits : RunnerLimits
    crash_reports : CrashReports
    follower : StoreFollower
        Provides the latest listing of the runners for hosts that are starting.
    view : ServingView
        Tells with which peers to exchange state often in a large fleet.
    log : LogLines
    tasks : TaskSet
    duties : Duties
    """

    def __init__(
        self,
        own_status: Callable[[], HostStatus],
        peers: Peers,
        configuration: ConfigurationInForce,
        runners: RunnerDirectory,
        hosts: HostTable,
        in_progress: InProgress,
        load_updates: LoadUpdates,
        demand: DemandMeter,
        switching: StageSwitches,
        unreachable_runners: UnreachableRunners,
        runner_paths: RunnerPaths,
        limits: RunnerLimits,
        crash_reports: CrashReports,
        follower: StoreFollower,
        view: ServingView,
        log: LogLines,
        tasks: TaskSet,
        duties: Duties,
    ) -> None:
        self.own_status = own_status
        self._peers = peers
        self._configuration = configuration
        self._runners = runners
        self._hosts = hosts
        self._in_progress = in_progress
        self._load_updates = load_updates
        self._demand = demand
        self._switching = switching
        self._unreachable_runners = unreachable_runners
        self._runner_paths = runner_paths
        self._limits = limits
        self._crash_reports = crash_reports
        self._follower = follower
        self._view = view
        self._log = log
        self._tasks = tasks
        self._duties = duties
        self._urgent_by_address: dict[Address, asyncio.Event] = {}
        self._called_at_by_address: dict[Address, float] = {}
        # Peers with which state is exchanged often; empty in a small fleet.
        self._partners: frozenset[Address] = frozenset()
        self._view_refresh_at = float("-inf")
        self._proofs = ProofRenewal(configuration, hosts)
        self._announced_version = 0
        self._announced_leaving: set[RunnerKey] = set()
        self._announced_change = 0
        self._registrations_announced_at = float("-inf")
        self._fetched = FetchedChanges()
        self._compression = DocumentCompression()
        # A fetch of documents is in progress until then, at the latest.
        self._fetching_until = float("-inf")
        # The newest version that was announced during it, and by whom.
        self._announced_by = (0, Address(""))

    def add_peer(self, address: Address) -> None:
        """Start exchanging state with the host at an address.

        This host's own address and those of existing peers are ignored.
        """
        own = self.own_status().peers_address
        if address == own or address in self._urgent_by_address:
            return
        self._urgent_by_address[address] = asyncio.Event()
        self._duties.start("peer", lambda: self._sync_with(address), address)

    def announce(self) -> None:
        """Exchange state with peers without waiting for their periods to end."""
        for address, urgent in self._urgent_by_address.items():
            if self._is_told(address):
                urgent.set()

    async def announce_updates(self) -> None:
        """Announce new configurations and leaving runners until cancelled.

        Also adapts the time after which hosts count as lost to the number of
        peers, and logs changes of their liveness.
        """
        while True:
            await asyncio.sleep(MIN_PERIOD_S)
            leaving = {
                r.registration.key for r in self._runners.recently_unusable(REPEAT_S)
            }
            version = self._configuration.version
            if leaving - self._announced_leaving or version > self._announced_version:
                self.announce()
            self._announce_registrations()
            self._announced_leaving = leaving
            self._announced_version = version
            peers = len(self._partners or self._urgent_by_address)
            self._hosts.lost_after_s = max(
                LOST_AFTER_S, ALIVE_PERIODS * exchange_period_s(peers)
            )
            self._hosts.refresh_liveness()
            self._limits.keep_only(self._runners.by_key)
            self._refresh_view()
            self._renew_proof()

    def _announce_registrations(self) -> None:
        """Announce changes of the registrations that this host has read itself.

        Those that it fetched were announced by the host that read them.
        """
        change = self._follower.registrations.change
        is_due = monotonic() >= self._registrations_announced_at + MIN_ANNOUNCE_PERIOD_S
        is_reader = self._view.is_large and self.own_status().reads_store
        if change > self._announced_change and is_due and is_reader:
            self._announced_change = change
            self._registrations_announced_at = monotonic()
            self.announce()

    def _renew_proof(self) -> None:
        """Exchange state with a host that has a newer proof, if one is needed."""
        source = self._proofs.next_source(self._partners)
        if source in self._urgent_by_address:
            self._urgent_by_address[source].set()

    def _refresh_view(self) -> None:
        if monotonic() < self._view_refresh_at:
            return
        self._view_refresh_at = monotonic() + VIEW_REFRESH_S
        self._view.refresh()
        before, self._partners = self._partners, frozenset()
        if self._view.is_large:
            self._partners = self._view.partners()
            self._hosts.extend_lost_after(OTHER_LOST_AFTER_S, self._partners)
        for address in self._partners - before:
            self.add_peer(address)
            if address in self._urgent_by_address:
                self._urgent_by_address[address].set()

    def _period_s(self, address: Address) -> float:
        """Return the seconds between two exchanges with a peer."""
        if not self._partners:
            return exchange_period_s(len(self._urgent_by_address))
        if address in self._partners:
            return max(PERIOD_S, len(self._partners) / MAX_PARTNER_EXCHANGES_PER_S)
        return OTHER_PERIOD_S

    def _is_told(self, address: Address) -> bool:
        """Return whether to tell a peer of changes without waiting for the period.

        In a large fleet, these are the partners and the hosts that learn from this one.
        """
        if not self._partners or address in self._partners:
            return True
        called_at = self._called_at_by_address.get(address, float("-inf"))
        return monotonic() - called_at <= LOST_AFTER_S

    async def _sync_with(self, address: Address) -> None:
        with self._load_updates.publishing_to(address):
            await self._exchange_with(address)

    async def _exchange_with(self, address: Address) -> None:
        urgent = self._urgent_by_address[address]
        # The list of peers is requested until the first reply. After that, new hosts
        # are found in the store or call this host themselves.
        asks_peers = True
        last_seen_at = monotonic()
        while monotonic() - last_seen_at < HOST_RETENTION_S:
            called_at = self._configuration.now()
            try:
                reply = await self._peers.call_address(
                    address,
                    "Sync",
                    self._build_state(asks_peers=asks_peers),
                    CALL_TIMEOUT_S,
                )
                asks_peers = False
                last_seen_at = monotonic()
                await self._handle_reply(address, reply, called_at)
            except PeerError:
                # The link counts the failure; the host table logs a lost host.
                self._hosts.mark_suspect(address)
            await asyncio.sleep(MIN_PERIOD_S)
            while not await self._wait_until_due(address, urgent):
                last_seen_at = monotonic()
        del self._urgent_by_address[address]
        self._called_at_by_address.pop(address, None)

    async def _wait_until_due(self, address: Address, urgent: asyncio.Event) -> bool:
        """Wait a period or until an announcement; return whether to call the peer.

        An exchange updates both hosts, so no call is due if the peer has called
        within the period.
        """
        period_s = self._period_s(address) * random.uniform(0.85, 1.15)
        try:
            async with asyncio.timeout(period_s):
                await urgent.wait()
        except TimeoutError:
            called_at = self._called_at_by_address.get(address, float("-inf"))
            return monotonic() - called_at > period_s
        urgent.clear()
        return True

    async def serve(self, state: peer_pb2.FleetState) -> peer_pb2.FleetState:
        """Merge another host's state and return this host's state."""
        address = Address(state.host.peers_address)
        self._called_at_by_address[address] = monotonic()
        self._merge_state(state)
        self._proofs.note(state, None)
        if self._lacks_documents_of(state):
            self._tasks.start(
                self._fetch_documents(address, state.configuration_version),
                "fetch-configuration",
            )
        self.add_peer(address)
        reply = self._build_state(includes_peers=state.asks_peers)
        # A host outside the set would pass on an earlier one that a hub reported to it.
        is_hub = self._view.is_large and self._view.is_serving
        if is_hub and address not in self._view.addresses:
            reply.serving.extend(to_host(status) for status in self._view.serving)
        return reply

    async def serve_documents(
        self, request: peer_pb2.FleetDocumentsRequest
    ) -> peer_pb2.FleetDocuments:
        """Return the configuration, if newer, and the registrations of runners."""
        is_newer = self._configuration.version > request.above_version
        document = self._configuration.document if is_newer else b""
        if request.accepts_zlib:
            configuration = {
                "configuration_zlib": self._compression.compressed(document)
            }
        else:
            configuration = {"configuration": document}
        known, own = self._follower.registrations, self.own_status()
        is_same = request.incarnation == own.incarnation
        above = request.above_registrations_change if is_same else 0
        return peer_pb2.FleetDocuments(
            **configuration,
            registrations=[
                peer_pb2.FleetRegistration(key=item.key, value=item.value)
                for item in known.since(above)
            ],
            registrations_change=known.change,
            incarnation=own.incarnation,
        )

    async def _handle_reply(
        self, address: Address, state: peer_pb2.FleetState, called_at: float
    ) -> None:
        self._merge_state(state)
        self._proofs.note(state, called_at)
        self._crash_reports.note_digest(address, state.crashes_digest)
        if state.serving:
            self._view.note_report(
                HostName(state.host.host), map(from_host, state.serving)
            )
        for peer in state.peers:
            self.add_peer(Address(peer))
        if self._lacks_documents_of(state) or not self._runners.by_key:
            await self._fetch_documents(address, state.configuration_version)
            self._proofs.note(state, called_at)

    def _lacks_documents_of(self, state: peer_pb2.FleetState) -> bool:
        """Return whether another host has documents that this one should fetch."""
        if state.configuration_version > self._configuration.version:
            return True
        host = from_host(state.host)
        fetched = self._fetched.latest(host.host, host.incarnation)
        return state.registrations_change > fetched and self._learns_from(host)

    def _learns_from(self, host: HostStatus) -> bool:
        """Return whether to fetch registrations from another host.

        A host of a large fleet that doesn't read the store fetches them from partners
        that do, or from any partner if none does.
        """
        own = self.own_status()
        is_partner = host.peers_address in self._partners
        if not is_partner or own.reads_store:
            return False
        return host.reads_store or not any(
            known.status.reads_store
            for known in self._hosts.alive()
            if known.status.peers_address in self._partners
        )

    async def _fetch_documents(self, address: Address, version: int) -> None:
        """Fetch a host's documents, unless a fetch from another one is in progress.

        A newer version that is announced meanwhile is fetched afterwards.
        """
        if monotonic() < self._fetching_until:
            self._announced_by = max(self._announced_by, (version, address))
            return
        self._fetching_until = monotonic() + CALL_TIMEOUT_S
        try:
            await self._fetch_from(address)
        finally:
            self._fetching_until = float("-inf")
        (version, address), self._announced_by = self._announced_by, (0, Address(""))
        if version > self._configuration.version:
            await self._fetch_documents(address, version)

    async def _fetch_from(self, address: Address) -> None:
        host, incarnation = self._hosts.at_address(address)
        request = peer_pb2.FleetDocumentsRequest(
            above_version=self._configuration.version,
            accepts_zlib=True,
            above_registrations_change=self._fetched.latest(host, incarnation),
            incarnation=incarnation,
        )
        try:
            documents = await self._peers.call_address(
                address, "FetchFleetDocuments", request
            )
        except PeerError:
            # The next exchange detects the difference again.
            return
        document = documents.configuration
        if documents.configuration_zlib:
            try:
                document = decompressed(documents.configuration_zlib)
            except InvalidRecordError as error:
                self._log.write(
                    "peer.document_invalid", peer=address, reason=error.message
                )
        if document:
            self._configuration.advance(document, f"peer {address}")
            if self._view.is_large:
                self._announced_version = self._configuration.version
        self._follower.add_known([(i.key, i.value) for i in documents.registrations])
        if host:
            self._fetched.note(
                host, documents.incarnation, documents.registrations_change
            )

    def _merge_state(self, state: peer_pb2.FleetState) -> None:
        self._merge_host(state)
        for leaving in state.leaving:
            self._merge_leaving(leaving, f"host {state.host.host}")
            if self._view.is_large:
                # Exchanges spread it quickly; only hosts that read it announce it.
                self._announced_leaving.add(from_runner(leaving.runner))
        for limit in state.limits:
            key = from_runner(limit.runner)
            if key in self._runners.by_key:
                self._limits.note_report(
                    key,
                    limit.per_s if limit.HasField("per_s") else None,
                    limit.age_ms / MS_PER_S,
                    f"host {state.host.host}",
                )

    def _merge_host(self, state: peer_pb2.FleetState) -> None:
        status = from_host(state.host)
        if not self._partners or status.peers_address in self._partners:
            self._hosts.update_host(status, from_state(state))
            return
        # Work of hosts outside the serving set would be out of date most of the time.
        self._hosts.update_host(status, HostWork(), OTHER_LOST_AFTER_S)

    def _merge_leaving(self, leaving: peer_pb2.FleetLeaving, source: str) -> None:
        key = from_runner(leaving.runner)
        if leaving.drained:
            self._runners.mark_draining(key.name, key.started_at, source)
        else:
            self._runners.mark_gone(key.name, key.started_at, leaving.sequence, source)

    def _known_peers(self) -> list[str]:
        return [known.status.peers_address for known in self._hosts.alive()]

    def _build_state(
        self, includes_peers: bool = False, asks_peers: bool = False
    ) -> peer_pb2.FleetState:
        work = HostWork(
            self._in_progress.load_by_runner,
            self._demand.by_service(),
            self._switching.by_runner(),
            frozenset(
                (*self._unreachable_runners.unreachable(), *self._runner_paths.lost())
            ),
            self._in_progress.engine_changes,
        )
        return peer_pb2.FleetState(
            host=to_host(self.own_status()),
            configuration_version=self._configuration.version,
            configuration_age_ms=self._proofs.age_ms(),
            leaving=[
                to_leaving(runner)
                for runner in self._runners.recently_unusable(REPEAT_S)
            ],
            loads=to_loads(work.load_by_runner),
            engine_changes=work.engine_changes,
            demands=to_demands(work),
            switches=to_switches(work),
            unreachable=[to_runner(key) for key in work.unreachable],
            limits=to_limits(self._limits.recent(), monotonic()),
            crashes_digest=self._crash_reports.causes.digest,
            registrations_change=self._follower.registrations.change,
            peers=self._known_peers() if includes_peers else (),
            asks_peers=asks_peers,
        )
