"""Makes the parts of one host, from the bottom up."""

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
class Base:
    """What most parts of a host need.

    Parameters
    ----------
    pooled, unpooled : aiohttp.ClientSession
        Sessions that use connections again, and that do not.
    key_value : KeyValueClient
        Over pooled connections.
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

    def fresh_key_value(self) -> KeyValueClient:
        """Return a client whose calls each have a connection of their own."""
        url = self.settings.platform.key_value
        return KeyValueClient(self.unpooled, url, self.metrics)


@dataclass(frozen=True, slots=True)
class FleetParts:
    """The parts that follow the fleet and its declaration."""

    store: ConfigurationStore
    follower: ConfigurationFollower
    detector: Detector


@dataclass(frozen=True, slots=True)
class Serving:
    """The parts that serve requests for models."""

    engines: Engines
    request_home: RequestHome
    admission_home: AdmissionHome
    registrar: Registrar
    executor: Executor


async def assemble(settings: Settings, stack: AsyncExitStack, tasks: TaskSet) -> Host:
    """Make all parts of a host; the stack closes its connections."""
    base = await _base(settings, stack, tasks)
    fleet_parts = _fleet_parts(base)
    serving = _serving(base)
    service_executor = _services(base, serving, fleet_parts.detector)
    draft_store = DraftStore(base.key_value, base.prefix, settings.host)
    drafts = Drafts(
        draft_store,
        base.key_value,
        serving.executor,
        base.current,
        base.recorder,
        base.metrics,
        tasks,
    )
    return Host(
        settings=settings,
        metrics=base.metrics,
        recorder=base.recorder,
        members=base.members,
        current=base.current,
        store=fleet_parts.store,
        follower=fleet_parts.follower,
        detector=fleet_parts.detector,
        executor=serving.executor,
        service_executor=service_executor,
        drafts=drafts,
        draft_recovery=DraftRecovery(drafts, draft_store, base.members, base.metrics),
        request_home=serving.request_home,
        admission_home=serving.admission_home,
        orders=_order_reconciler(base, fleet_parts, serving.engines),
        declared_leaving=DeclaredLeaving(base.members, base.current),
        forwarder=_forwarder(base),
        in_progress=InProgress(),
    )


async def _base(settings: Settings, stack: AsyncExitStack, tasks: TaskSet) -> Base:
    metrics = Metrics()
    pauses = PauseDetector()
    tasks.start(pauses.run(), "pauses")
    pooled = await stack.enter_async_context(http_session(pooled=True))
    unpooled = await stack.enter_async_context(http_session(pooled=False))
    peers = await stack.enter_async_context(
        peer_links(settings.peers.key, peer_client_context(settings.tls), metrics)
    )
    return Base(
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


def _fleet_parts(base: Base) -> FleetParts:
    current = base.current
    store = ConfigurationStore(base.fresh_key_value(), base.prefix)
    follower = ConfigurationFollower(
        current,
        store,
        base.peers,
        base.recorder,
        base.metrics,
        base.tasks,
        base.pauses,
        host_count=lambda: len(base.members.by_host),
    )
    detector = Detector(
        base.members,
        base.peers,
        HostListClient(base.pooled, base.settings.platform.host_list),
        base.recorder,
        base.metrics,
        generation=lambda: current.generation,
        current_age_ms=lambda: current.current_age_ms,
        pauses=base.pauses,
    )
    detector.on_ping(follower.observe_ping)
    return FleetParts(store, follower, detector)


def _serving(base: Base) -> Serving:
    members, recorder, metrics = base.members, base.recorder, base.metrics
    engines = Engines(base.pooled, base.unpooled)
    aborts = AbortQueue(engines, base.tasks, metrics)
    admission = AdmissionHome(base.current, members, engines, aborts, recorder, metrics)
    home = RequestHome(members, base.peers, aborts, recorder, metrics, base.tasks)
    registrar = Registrar(members, base.peers, home, recorder, metrics, base.tasks)
    executor = Executor(
        members,
        engines,
        _placement(base, engines, admission),
        registrar,
        aborts,
        recorder,
        metrics,
        base.tasks,
    )
    return Serving(engines, home, admission, registrar, executor)


def _placement(base: Base, engines: Engines, admission: AdmissionHome) -> Placement:
    parts = PlacementDependencies(
        base.current,
        base.members,
        base.peers,
        engines,
        admission,
        base.recorder,
        base.metrics,
        base.tasks,
    )
    return PLACEMENT_BY_POLICY[base.settings.policy](parts)


def _services(base: Base, serving: Serving, detector: Detector) -> ServiceExecutor:
    services = ServiceClient(base.unpooled, base.pooled)
    runners = LeavingRunners(
        base.current,
        base.members,
        serving.engines,
        services,
        base.recorder,
        base.metrics,
        base.tasks,
    )
    runners.subscribe(serving.admission_home.set_leaving_runners)
    detector.on_ping(runners.observe_ping)
    detector.on_host_list(runners.receive_host_list)
    detector.attach_runner_updates(runners.updates)
    return ServiceExecutor(
        services,
        _claims(base),
        serving.registrar,
        base.recorder,
        base.metrics,
        base.tasks,
        runners.leaving,
    )


def _claims(base: Base) -> Claims:
    host = base.settings.host
    retention = RetentionLease(base.key_value, f"claims of {host}")
    batches = ClaimBatches(base.key_value, retention, base.tasks, base.metrics)
    return Claims(base.key_value, batches, base.prefix, host, base.tasks, base.metrics)


def _order_reconciler(
    base: Base, fleet_parts: FleetParts, engines: Engines
) -> OrderReconciler:
    return OrderReconciler(
        base.current,
        fleet_parts.store,
        base.members,
        engines,
        base.fresh_key_value(),
        base.prefix,
        has_contact_since_pause=lambda: fleet_parts.detector.has_contact_since_pause,
        recorder=base.recorder,
        metrics=base.metrics,
    )


def _forwarder(base: Base) -> Forwarder:
    return Forwarder(
        base.unpooled,
        base.members,
        base.settings.peers.key,
        base.metrics,
        forwarding_context(base.settings.tls),
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
