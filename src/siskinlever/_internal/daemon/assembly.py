"""Creates the components of a host in the order of their dependencies."""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

from ..callers.forwarding import Forwarder
from ..callers.in_progress import InProgress
from ..configuration.current import CurrentConfiguration
from ..configuration.follower import ConfigurationFollower
from ..configuration.store import ConfigurationStore
from ..coordination.host_list import HostListClient
from ..coordination.key_value import KeyValueClient
from ..coordination.leases import RetentionLease
from ..engines.registry import Engines
from ..membership.detector import Detector, initial_incarnation
from ..membership.leaving import DeclaredLeaving
from ..membership.members import Member, MemberState, MemberTable
from ..metrics.registry import Metrics
from ..models.ids import HostName
from ..models.settings import Settings
from ..network.sessions import http_session
from ..network.tls import (
    forwarding_context,
    peer_client_context,
)
from ..orders.reconciler import OrderReconciler
from ..peers.link import Peers, peer_links
from ..requests.aborts import AbortQueue
from ..requests.claim_batches import ClaimBatches
from ..requests.claims import Claims
from ..requests.draft_recovery import DraftRecovery
from ..requests.draft_store import DraftStore
from ..requests.drafts import Drafts
from ..requests.execution import Executor
from ..requests.home import RequestHome
from ..requests.registration import Registrar
from ..requests.service_executor import ServiceExecutor
from ..routing.home import AdmissionHome
from ..routing.leaving_runners import LeavingRunners
from ..routing.placement import Placement
from ..routing.policies import PLACEMENT_BY_POLICY, PlacementDependencies
from ..services.client import ServiceClient
from ..timeline.recorder import Recorder
from ..utils.clock import MS_PER_S, HybridClock
from ..utils.pauses import PauseDetector
from ..utils.tasks import TaskSet
from .host import Host


@dataclass(frozen=True, slots=True)
class CommonParts:
    """Components that most other components of a host use.

    Parameters
    ----------
    pooled, unpooled : aiohttp.ClientSession
        Sessions that reuse connections and that do not, respectively.
    key_value : KeyValueClient
        Uses pooled connections.
    """

    settings: Settings
    tasks: TaskSet
    metrics: Metrics
    recorder: Recorder
    members: MemberTable
    current: CurrentConfiguration
    pauses: PauseDetector
    pooled: Any
    unpooled: Any
    peers: Peers
    key_value: KeyValueClient

    @property
    def prefix(self) -> str:
        """Prefix of all keys in the key-value service."""
        return self.settings.platform.key_prefix

    def unpooled_key_value(self) -> KeyValueClient:
        """Return a client that opens a new connection for each call."""
        url = self.settings.platform.key_value
        return KeyValueClient(self.unpooled, url, self.metrics)


@dataclass(frozen=True, slots=True)
class FleetParts:
    """Components that follow the state of the fleet and its declaration."""

    store: ConfigurationStore
    follower: ConfigurationFollower
    detector: Detector


@dataclass(frozen=True, slots=True)
class ServingParts:
    """Components that serve model requests."""

    engines: Engines
    request_home: RequestHome
    admission_home: AdmissionHome
    registrar: Registrar
    executor: Executor


async def assemble(settings: Settings, stack: AsyncExitStack, tasks: TaskSet) -> Host:
    """Create the components of a host.

    Parameters
    ----------
    settings : Settings
    stack : AsyncExitStack
        Closes the host's connections on exit.
    tasks : TaskSet
        Runs the host's background tasks.
    """
    common = await _common_parts(settings, stack, tasks)
    fleet_parts = _fleet_parts(common)
    serving = _serving_parts(common)
    service_executor = _service_executor(common, serving, fleet_parts.detector)
    draft_store = DraftStore(common.key_value, common.prefix, settings.host)
    drafts = Drafts(
        draft_store,
        common.key_value,
        serving.executor,
        common.current,
        common.recorder,
        common.metrics,
        tasks,
    )
    return Host(
        settings=settings,
        metrics=common.metrics,
        recorder=common.recorder,
        members=common.members,
        current=common.current,
        store=fleet_parts.store,
        follower=fleet_parts.follower,
        detector=fleet_parts.detector,
        executor=serving.executor,
        service_executor=service_executor,
        drafts=drafts,
        draft_recovery=DraftRecovery(
            drafts, draft_store, common.members, common.metrics
        ),
        request_home=serving.request_home,
        admission_home=serving.admission_home,
        orders=_order_reconciler(common, fleet_parts, serving.engines),
        declared_leaving=DeclaredLeaving(common.members, common.current),
        forwarder=_forwarder(common),
        in_progress=InProgress(),
    )


async def _common_parts(
    settings: Settings, stack: AsyncExitStack, tasks: TaskSet
) -> CommonParts:
    metrics = Metrics()
    pauses = PauseDetector()
    tasks.start(pauses.run(), "pauses")
    pooled = await stack.enter_async_context(http_session(pooled=True))
    unpooled = await stack.enter_async_context(http_session(pooled=False))
    peers = await stack.enter_async_context(
        peer_links(settings.peers.key, peer_client_context(settings.tls), metrics)
    )
    return CommonParts(
        settings=settings,
        tasks=tasks,
        metrics=metrics,
        recorder=Recorder(settings.host, HybridClock(_wall_clock(settings))),
        members=MemberTable(_own_member(settings)),
        current=CurrentConfiguration(),
        pauses=pauses,
        pooled=pooled,
        unpooled=unpooled,
        peers=peers,
        key_value=KeyValueClient(pooled, settings.platform.key_value, metrics),
    )


def _fleet_parts(common: CommonParts) -> FleetParts:
    current = common.current
    store = ConfigurationStore(common.unpooled_key_value(), common.prefix)
    follower = ConfigurationFollower(
        current,
        store,
        common.peers,
        common.recorder,
        common.metrics,
        common.tasks,
        common.pauses,
        host_count=lambda: len(common.members.by_host),
    )
    detector = Detector(
        common.members,
        common.peers,
        HostListClient(common.pooled, common.settings.platform.host_list),
        common.recorder,
        common.metrics,
        generation=lambda: current.generation,
        current_age_ms=lambda: current.current_age_ms,
        pauses=common.pauses,
    )
    detector.subscribe_pings(follower.observe_ping)
    return FleetParts(store, follower, detector)


def _serving_parts(common: CommonParts) -> ServingParts:
    members, recorder, metrics = common.members, common.recorder, common.metrics
    engines = Engines(common.unpooled)
    aborts = AbortQueue(engines, common.tasks, metrics)
    admission = AdmissionHome(
        common.current, members, engines, aborts, recorder, metrics
    )
    home = RequestHome(members, common.peers, aborts, recorder, metrics, common.tasks)
    registrar = Registrar(members, common.peers, home, recorder, metrics, common.tasks)
    executor = Executor(
        members,
        engines,
        _placement(common, engines, admission),
        registrar,
        aborts,
        recorder,
        metrics,
        common.tasks,
    )
    return ServingParts(engines, home, admission, registrar, executor)


def _placement(
    common: CommonParts, engines: Engines, admission: AdmissionHome
) -> Placement:
    dependencies = PlacementDependencies(
        common.current,
        common.members,
        common.peers,
        engines,
        admission,
        common.recorder,
        common.metrics,
        common.tasks,
    )
    return PLACEMENT_BY_POLICY[common.settings.policy](dependencies)


def _service_executor(
    common: CommonParts, serving: ServingParts, detector: Detector
) -> ServiceExecutor:
    services = ServiceClient(common.unpooled)
    runners = LeavingRunners(
        common.current,
        common.members,
        serving.engines,
        services,
        common.recorder,
        common.metrics,
        common.tasks,
    )
    runners.subscribe(serving.admission_home.set_leaving_runners)
    detector.subscribe_pings(runners.observe_ping)
    detector.subscribe_host_list(runners.receive_host_list)
    detector.attach_runner_updates(runners.updates)
    return ServiceExecutor(
        services,
        _claims(common),
        serving.registrar,
        common.recorder,
        common.metrics,
        common.tasks,
        runners.leaving,
    )


def _claims(common: CommonParts) -> Claims:
    host = common.settings.host
    retention = RetentionLease(common.key_value, f"claims of {host}")
    batches = ClaimBatches(common.key_value, retention, common.tasks, common.metrics)
    return Claims(
        common.key_value, batches, common.prefix, host, common.tasks, common.metrics
    )


def _order_reconciler(
    common: CommonParts, fleet_parts: FleetParts, engines: Engines
) -> OrderReconciler:
    return OrderReconciler(
        common.current,
        fleet_parts.store,
        common.members,
        engines,
        common.unpooled_key_value(),
        common.prefix,
        has_contact_since_pause=lambda: fleet_parts.detector.has_contact_since_pause,
        recorder=common.recorder,
        metrics=common.metrics,
    )


def _forwarder(common: CommonParts) -> Forwarder:
    return Forwarder(
        common.unpooled,
        common.members,
        common.settings.peers.key,
        common.metrics,
        forwarding_context(common.settings.tls),
    )


def _own_member(settings: Settings) -> Member:
    started = initial_incarnation(int(time.time() * MS_PER_S))
    return Member(
        host=HostName(settings.host),
        zone=settings.zone,
        incarnation=started,
        state=MemberState.ALIVE,
        peer_address=settings.peers.address,
        callers_address=settings.callers.address,
        started=started,
    )


def _wall_clock(settings: Settings) -> Callable[[], int]:
    offset_ms = int(settings.clock_offset_s * MS_PER_S)
    return lambda: int(time.time() * MS_PER_S) + offset_ms
