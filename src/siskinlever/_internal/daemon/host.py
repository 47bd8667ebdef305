"""One host of the system: all parts, in the order in which they start."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from absl import logging

from ..callers.access import Access
from ..callers.app import LOOKUP_LIFETIME_S, callers_app
from ..callers.context import CallerContext
from ..callers.forwarding import Forwarder
from ..callers.in_progress import InProgress, Receiving
from ..configuration.current import CurrentConfiguration
from ..configuration.follower import ConfigurationFollower
from ..configuration.store import ConfigurationStore
from ..engines.registry import Engines
from ..membership.detector import Detector, initial_incarnation
from ..membership.leaving import DeclaredLeaving
from ..membership.members import Member, MemberState, MemberTable
from ..metrics.registry import Metrics
from ..models.events import EventKind
from ..models.ids import Attempt, HostName
from ..models.settings import Settings
from ..network.http_server import App, http_server
from ..network.sessions import http_session
from ..network.tls import (
    forwarding_context,
    listener_context,
    peer_client_context,
    peer_listener_context,
)
from ..operators.app import OperatorContext, operators_app
from ..orders.orderer import Orderer
from ..peers import peer_pb2
from ..peers.link import peer_links
from ..peers.server import Handler, peer_server
from ..platform.host_list import HostListClient
from ..platform.key_value import KeyValueClient
from ..platform.leases import RetentionLease
from ..requests.aborts import AbortQueue
from ..requests.claim_batches import ClaimBatches
from ..requests.claims import Claims
from ..requests.deliveries import Deliveries
from ..requests.draft_recovery import DraftRecovery
from ..requests.draft_store import DraftStore
from ..requests.drafts import Drafts
from ..requests.execution import Executor
from ..requests.home import RequestHome
from ..requests.registration import Registrar
from ..routing.home import AdmissionHome
from ..routing.policies import PLACEMENT_BY_POLICY, PlacementParts
from ..routing.runners import RunnerFollower
from ..services.client import ServiceClient
from ..timeline.recorder import Recorder
from ..utils.clock import MS_PER_S, Deadline, HybridClock
from ..utils.pauses import PauseDetector
from ..utils.tasks import TaskSet, task_set

DRAIN_POLL_S = 0.05
# Callers that looked up just before use their answer for its lifetime.
LINGER_S = LOOKUP_LIFETIME_S + 1.0


@dataclass(slots=True)
class Host:
    """The parts of a running host."""

    settings: Settings
    metrics: Metrics
    recorder: Recorder
    members: MemberTable
    current: CurrentConfiguration
    store: ConfigurationStore
    follower: ConfigurationFollower
    detector: Detector
    executor: Executor
    deliveries: Deliveries
    drafts: Drafts
    draft_recovery: DraftRecovery
    request_home: RequestHome
    admission_home: AdmissionHome
    orders: Orderer
    declared_leaving: DeclaredLeaving
    forwarder: Forwarder
    in_progress: InProgress

    async def drain(self) -> None:
        """Pass new work on and wait for all requests in progress.

        The callers' interface stays open meanwhile; when it closes it waits
        for the answers that are still being written.
        """
        self.declared_leaving.stopping = True
        self.members.set_leaving(self.members.own_host)
        self.recorder.record(EventKind.HOST_LEAVING)
        logging.info("host leaving requests=%d", self.in_progress.count)
        linger = Deadline(LINGER_S if self._has_peers() else 0.0)
        await self.detector.announce()
        await self.drafts.hand_back()
        while self._is_busy() or not linger.passed:
            await asyncio.sleep(DRAIN_POLL_S)

    def _is_busy(self) -> bool:
        return bool(
            self.in_progress.count
            or self.executor.running_by_key
            or self.deliveries.running
        )

    def _has_peers(self) -> bool:
        return any(
            host != self.members.own_host for host in self.members.zone_by_host()
        )


@asynccontextmanager
async def running_host(settings: Settings) -> AsyncIterator[Host]:
    """Run a host for the length of a block."""
    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(task_set())
        host = await _assemble(settings, stack, tasks)
        tls = listener_context(settings.tls)
        await stack.enter_async_context(
            peer_server(
                settings.peers.address,
                settings.peers.key,
                peer_listener_context(settings.tls),
                _handlers(host),
            )
        )
        await host.detector.join()
        tasks.start(host.detector.run(tasks), "membership")
        tasks.start(host.follower.run(), "configuration")
        tasks.start(
            host.follower.confirm_by_majority(lambda: host.members.has_majority),
            "majority",
        )
        tasks.start(host.orders.run(tasks), "orders")
        tasks.start(host.request_home.run(), "request-home")
        tasks.start(host.admission_home.run(tasks), "admission-home")
        tasks.start(host.draft_recovery.scan(), "draft-scan")
        tasks.start(host.draft_recovery.sweep(), "draft-sweep")
        await stack.enter_async_context(
            http_server(_operators(host), settings.operators.address, tls)
        )
        await stack.enter_async_context(
            http_server(_callers(host), settings.callers.address, tls)
        )
        host.recorder.record(EventKind.HOST_STARTED)
        logging.info("host started host=%s zone=%s", settings.host, settings.zone)
        yield host
        host.recorder.record(EventKind.HOST_STOPPED)
        logging.info("host stopped host=%s", settings.host)


async def serve(settings: Settings) -> None:
    """Run a host until a signal asks it to leave, then drain it."""
    leave = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leave.set)
    async with running_host(settings) as host:
        replaced = asyncio.create_task(host.detector.replaced.wait())
        left = asyncio.create_task(leave.wait())
        await asyncio.wait([replaced, left], return_when=asyncio.FIRST_COMPLETED)
        await host.drain()


async def _assemble(settings: Settings, stack: AsyncExitStack, tasks: TaskSet) -> Host:
    metrics = Metrics()
    recorder = Recorder(settings.host, HybridClock(_wall_clock(settings)))
    members = MemberTable(_own_member(settings))
    current = CurrentConfiguration()
    pooled = await stack.enter_async_context(http_session(pooled=True))
    fresh = await stack.enter_async_context(http_session(pooled=False))
    peers = await stack.enter_async_context(
        peer_links(settings.peers.key, peer_client_context(settings.tls), metrics)
    )
    pauses = PauseDetector()
    tasks.start(pauses.run(), "pauses")
    key_value = KeyValueClient(pooled, settings.platform.key_value, metrics)
    store = ConfigurationStore(
        KeyValueClient(fresh, settings.platform.key_value, metrics),
        settings.platform.key_prefix,
    )
    follower = ConfigurationFollower(
        current,
        store,
        peers,
        recorder,
        metrics,
        tasks,
        pauses,
        host_count=lambda: len(members.by_host),
    )
    detector = Detector(
        members,
        peers,
        HostListClient(pooled, settings.platform.host_list),
        recorder,
        metrics,
        generation=lambda: current.generation,
        current_age_ms=lambda: current.current_age_ms,
        pauses=pauses,
    )
    detector.on_ping(follower.heard)
    engines = Engines(pooled, fresh)
    aborts = AbortQueue(engines, tasks, metrics)
    admission = AdmissionHome(current, members, engines, aborts, recorder, metrics)
    request_home = RequestHome(members, peers, aborts, recorder, metrics, tasks)
    parts = PlacementParts(
        current, members, peers, engines, admission, recorder, metrics, tasks
    )
    placement = PLACEMENT_BY_POLICY[settings.policy](parts)
    registrar = Registrar(members, peers, request_home, recorder, metrics, tasks)
    executor = Executor(
        members, engines, placement, registrar, aborts, recorder, metrics, tasks
    )
    services = ServiceClient(fresh, pooled)
    runners = RunnerFollower(
        current, members, engines, services, recorder, metrics, tasks
    )
    runners.subscribe(admission.set_leaving_runners)
    detector.on_ping(runners.heard)
    detector.on_host_list(runners.listed)
    detector.carry_runner_news(runners.news)
    prefix = settings.platform.key_prefix
    retention = RetentionLease(key_value, f"claims of {settings.host}")
    batches = ClaimBatches(key_value, retention, tasks, metrics)
    claims = Claims(key_value, batches, prefix, settings.host, tasks, metrics)
    deliveries = Deliveries(
        services, claims, registrar, recorder, metrics, tasks, runners.leaving
    )
    draft_store = DraftStore(key_value, prefix, settings.host)
    drafts = Drafts(draft_store, key_value, executor, current, recorder, metrics, tasks)
    orders = Orderer(
        current,
        store,
        members,
        engines,
        KeyValueClient(fresh, settings.platform.key_value, metrics),
        settings.platform.key_prefix,
        is_awake=lambda: detector.awake,
        recorder=recorder,
        metrics=metrics,
    )
    return Host(
        settings,
        metrics,
        recorder,
        members,
        current,
        store,
        follower,
        detector,
        executor,
        deliveries,
        drafts,
        DraftRecovery(drafts, draft_store, members, metrics),
        request_home,
        admission,
        orders,
        DeclaredLeaving(members, current),
        Forwarder(
            fresh,
            members,
            settings.peers.key,
            metrics,
            forwarding_context(settings.tls),
        ),
        InProgress(),
    )


def _handlers(host: Host) -> dict[str, Handler]:
    async def stop_attempt(
        request: peer_pb2.StopAttemptRequest,
    ) -> peer_pb2.StopAttemptReply:
        stopped = host.executor.stop(
            request.workspace, request.request_id, Attempt(request.attempt)
        )
        return peer_pb2.StopAttemptReply(stopped=stopped)

    return {
        "Exchange": host.detector.exchange,
        "PingIndirectly": host.detector.ping_indirectly,
        "FetchConfiguration": host.follower.serve,
        "Register": host.request_home.register,
        "Hold": host.request_home.hold,
        "Complete": host.request_home.complete,
        "Abandon": host.request_home.abandon,
        "FetchEntry": host.request_home.fetch_entry,
        "HandOver": host.request_home.hand_over,
        "StopAttempt": stop_attempt,
        "Reserve": host.admission_home.reserve,
        "Progress": host.admission_home.progress,
        "Announce": host.admission_home.announce,
    }


def _operators(host: Host) -> App:
    return operators_app(
        OperatorContext(
            host.settings.operators.key_digests,
            host.current,
            host.store,
            host.members,
            host.detector,
            host.executor,
            host.recorder,
            host.metrics,
            host.orders.pools_held,
        )
    )


def _callers(host: Host) -> App:
    return callers_app(
        CallerContext(
            host.current,
            host.members,
            host.executor,
            host.deliveries,
            host.drafts,
            Access(host.current),
            host.forwarder,
            host.in_progress,
            Receiving(),
            host.metrics,
        )
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
