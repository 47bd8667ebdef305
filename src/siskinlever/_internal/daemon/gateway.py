"""Assembles and runs a host on the users' platform."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, fields, replace
from functools import partial

from ..dispatch.crash_causes import CrashCauses
from ..dispatch.plain_placement import PlainPlacement
from ..dispatch.retry_budget import SharedRetryBudget
from ..dispatch.runner_limits import RunnerLimits
from ..dispatch.runner_paths import RunnerPaths
from ..dispatch.runner_speed import RunnerSpeeds
from ..exceptions import SettingsError
from ..fleet.allowance_exchange import AllowanceExchange
from ..fleet.configuration import ConfigurationInForce
from ..fleet.crash_reports import CrashReports
from ..fleet.demand import DemandMeter
from ..fleet.host_sets import (
    budget_hosts,
    other_servers,
    sending_hosts,
    serving_hosts,
)
from ..fleet.hosts import HostStatus, HostTable
from ..fleet.in_progress import InProgress
from ..fleet.load_updates import LoadUpdates
from ..fleet.lookup import LIFETIME_S, addresses_for
from ..fleet.peer_sync import PeerSync
from ..fleet.runners import RunnerDirectory
from ..fleet.serving_set import ServingView
from ..fleet.store_follower import StoreFollower
from ..fleet.store_health import StoreHealth
from ..fleet.stored_streams import StoredStreams
from ..fleet.stream_versions import StreamVersions
from ..fleet.unreachable_runners import UnreachableRunners
from ..fleet.version_history import VersionHistory
from ..fleet.version_record import StoredVersions
from ..gateway.context import GatewayContext
from ..gateway.crash_detection import CrashDetection
from ..gateway.crash_endpoints import CRASHES_PATH, LIFT_PATH, lift, list_crashes
from ..gateway.duty_endpoints import DUTIES_PATH, list_duties, log_failure
from ..gateway.endpoints import JSON_HEADERS, TEXT_HEADERS, Answer, connection_handler
from ..gateway.key_checks import KeyChecks
from ..gateway.relay_service import RelayService
from ..gateway.runner_connections import is_down
from ..gateway.session import Session
from ..gateway.shutdown import Shutdown
from ..gateway.speed_reports import SpeedReports
from ..gateway.workspace_endpoints import WORKSPACES_PATH, list_workspaces
from ..logs.lines import STANDARD_OUTPUT, LogLines, log_lines
from ..metrics.registry import Metrics
from ..models.host_settings import HostSettings
from ..models.ids import Incarnation
from ..models.routes import CallerLimits
from ..network.http1_server import (
    BodyBuffers,
    CallerConnection,
    ReceivedRequest,
    caller_listener,
)
from ..peers.link import peer_links
from ..peers.server import Handler, peer_server
from ..platform import wire
from ..platform.records import decode_configuration
from ..platform.store import MetadataStore
from ..stages.lease import OrderLease
from ..stages.orders import StageOrders
from ..stages.switching import StageSwitches
from ..utils.clock import MS_PER_S
from ..utils.duties import Duties
from ..utils.early_signals import EarlySignals
from ..utils.tasks import TaskSet, task_set

METRICS_PATH = "/metrics"
# Fields that a reload applies. Of `bounds`, only `retry` and `lookup_ttl_max_s` change
# at run time. The rest of it and all other fields take effect at the next start,
# because the addresses and limits of a running process cannot change.
RELOADABLE_FIELDS = frozenset({"seeds", "bounds"})
# The platform provides no key for traffic between hosts, which use a private network.
PEER_KEY = ""
# Shares of the process's memory limit for request bodies, and of its descriptor limit
# for the connections of each listener. Each request also uses a descriptor for its
# connection to a runner.
BODY_MEMORY_SHARE = 0.25
CALLER_DESCRIPTOR_SHARE = 0.4
# Limits assumed if the platform sets none: bytes of memory, and number of descriptors.
DEFAULT_LIMIT_BY_SHARE = {
    BODY_MEMORY_SHARE: 150_000_000,
    CALLER_DESCRIPTOR_SHARE: 4_096,
}


@dataclass(slots=True)
class GatewayHost:
    """Components of a running host on the users' platform."""

    settings: HostSettings
    context: GatewayContext
    duties: Duties
    follower: StoreFollower
    sync: PeerSync
    load_updates: LoadUpdates
    crash_reports: CrashReports
    relay_service: RelayService
    shutdown: Shutdown
    lease: OrderLease
    orders: StageOrders
    view: ServingView
    buffers: BodyBuffers
    log: LogLines


@asynccontextmanager
async def running_gateway(
    settings: HostSettings, log_descriptor: int = STANDARD_OUTPUT
) -> AsyncIterator[GatewayHost]:
    """Run a host while the context is open.

    Parameters
    ----------
    settings : HostSettings
    log_descriptor : int
        File descriptor that log lines are written to.
    """
    metrics = Metrics()
    async with AsyncExitStack() as stack:
        log = await stack.enter_async_context(
            log_lines(settings.host, metrics, log_descriptor)
        )
        tasks = await stack.enter_async_context(task_set())
        host = await _assemble(settings, metrics, log, tasks, stack)
        listeners = settings.listeners
        handlers: dict[str, Handler] = {
            "Sync": host.sync.serve,
            "FetchFleetDocuments": host.sync.serve_documents,
            "TellWork": host.load_updates.serve,
            "NoteStream": host.context.stream_versions.serve_note,
            "FindStream": host.context.stream_versions.serve_find,
            "ExchangeCrashes": host.crash_reports.serve,
            "Relay": host.relay_service.serve,
            "NotePause": host.relay_service.note_pause,
            "BorrowAllowance": host.context.allowances.serve,
        }
        await stack.enter_async_context(
            peer_server(listeners.peers, PEER_KEY, None, handlers)
        )
        for seed in settings.seeds:
            host.sync.add_peer(seed)
        start = host.duties.start
        follower = host.follower
        start("configuration", follower.follow_configuration, is_essential=True)
        start("runners", follower.follow_runners, is_essential=True)
        start("register", follower.register_host)
        start("hosts", follower.follow_hosts)
        start("announcements", host.sync.announce_updates)
        start("crash-reports", host.crash_reports.run)
        start("write-streams", host.context.stored_streams.run)
        start("allowances", host.context.allowances.run)
        start("order-lease", host.lease.run)
        start("stage-orders", host.orders.run)
        await _listen(host, metrics, stack)
        log.write("process.started", zone=settings.zone, peers=listeners.peers)
        yield host
        log.write("process.stopped")


async def serve_gateway(
    settings: HostSettings,
    loader: Callable[[], HostSettings],
    early_signals: EarlySignals,
) -> None:
    """Run a host until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    settings : HostSettings
    loader : callable
        Reads the settings again on SIGHUP.
    early_signals : EarlySignals
        Tells of a SIGHUP before the host ran.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with running_gateway(settings) as host:
        loop.add_signal_handler(signal.SIGHUP, reload_settings, host, loader)
        if early_signals.take_reload():
            reload_settings(host, loader)
        await stop.wait()
        host.log.write("process.stopping", requests=host.shutdown.requests)
        host.sync.announce()
        await host.shutdown.drain()


def reload_settings(host: GatewayHost, loader: Callable[[], HostSettings]) -> None:
    """Reload the settings and apply the fields that may change at run time.

    If the new settings are not valid, the old ones are kept. The outcome is logged.
    """
    try:
        loaded = loader()
    except SettingsError as error:
        host.log.write("process.reload", outcome="kept", reason=error.message)
        return
    changed = [f.name for f in fields(loaded) if differs(f.name, loaded, host.settings)]
    applied = [name for name in changed if name in RELOADABLE_FIELDS]
    host.log.write(
        "process.reload",
        outcome="applied",
        applied=",".join(applied),
        at_next_start=",".join(name for name in changed if name not in applied),
    )
    host.settings = replace(host.settings, seeds=loaded.seeds, bounds=loaded.bounds)
    host.context.retry_budget.bounds = loaded.bounds.retry
    for seed in loaded.seeds:
        host.sync.add_peer(seed)


def differs(name: str, one: HostSettings, other: HostSettings) -> bool:
    """Return whether two settings differ in a field."""
    return bool(getattr(one, name) != getattr(other, name))


async def _assemble(
    settings: HostSettings,
    metrics: Metrics,
    log: LogLines,
    tasks: TaskSet,
    stack: AsyncExitStack,
) -> GatewayHost:
    shutdown = Shutdown(settings.bounds.shutdown_grace_s)
    duties = Duties(tasks, metrics, partial(log_failure, log))
    configuration = ConfigurationInForce(
        decode_configuration, log, settings.bounds.keys
    )
    runners = RunnerDirectory(settings.bounds.lapse_recovery_s, log)
    hosts = HostTable(settings.host, log)
    in_progress, demand = InProgress(), DemandMeter()
    switching, unreachable_runners = StageSwitches(), UnreachableRunners()
    runner_paths = RunnerPaths(settings.zone)
    store = MetadataStore(settings.store.address, log)
    store_health = StoreHealth(log, metrics)
    incarnation = Incarnation(int(time.time() * MS_PER_S))

    def own_status() -> HostStatus:
        return HostStatus(
            host=settings.host,
            zone=settings.zone,
            incarnation=incarnation,
            callers_address=settings.listeners.callers,
            peers_address=settings.listeners.peers,
            serving=configuration.current is not None
            and not shutdown.is_stopping
            and not duties.has_lost_essential,
            reads_store=view.is_reader and not store_health.is_down,
            holds_orders=lease.is_held,
            cores=settings.cores,
        )

    view = ServingView(settings.host, own_status, hosts)
    links = await stack.enter_async_context(peer_links(PEER_KEY, None, metrics))
    stored_versions = StoredVersions(
        store,
        runners,
        VersionHistory(settings.is_first_start),
        log,
        tasks,
        is_store_down=lambda: store_health.is_down,
    )
    follower = StoreFollower(
        settings,
        store,
        configuration,
        runners,
        store_health,
        log,
        add_peer=lambda address: sync.add_peer(address),
        is_reader=lambda: view.is_reader,
        versions=stored_versions,
    )
    limits = RunnerLimits(
        settings.host,
        lambda: sending_hosts(view, hosts, follower.registered_hosts),
        log,
        metrics,
    )
    load_updates = LoadUpdates(
        own_status,
        links,
        hosts,
        in_progress,
        duties,
        is_receiver=lambda address: (
            not view.is_large or (view.is_serving and address in view.addresses)
        ),
    )
    crash_reports = CrashReports(
        CrashCauses(),
        lambda: other_servers(view, hosts),
        links,
        log,
        metrics,
        tasks,
    )
    sync = PeerSync(
        own_status,
        links,
        configuration,
        runners,
        hosts,
        in_progress,
        load_updates,
        demand,
        switching,
        unreachable_runners,
        runner_paths,
        limits,
        crash_reports,
        follower,
        view,
        log,
        tasks,
        duties,
    )
    speeds = RunnerSpeeds()
    budget = SharedRetryBudget(
        settings.bounds.retry,
        lambda: budget_hosts(view, hosts),
        settings.is_first_start,
    )
    context = GatewayContext(
        settings=settings,
        configuration=configuration,
        runners=runners,
        hosts=hosts,
        in_progress=in_progress,
        demand=demand,
        switching=switching,
        unreachable_runners=unreachable_runners,
        runner_paths=runner_paths,
        peers=links,
        other_servers=lambda: other_servers(view, hosts),
        retry_budget=budget,
        limits=limits,
        allowances=AllowanceExchange(
            settings.host,
            settings.bounds.allowance,
            lambda: serving_hosts(view, hosts, own_status()),
            lambda: sending_hosts(view, hosts, follower.registered_hosts),
            lambda: other_servers(view, hosts),
            configuration,
            links,
            log,
            metrics,
            tasks,
        ),
        crash_causes=crash_reports.causes,
        crash_detection=CrashDetection(
            crash_reports,
            runners,
            unreachable_runners,
            lambda runner: is_down(context, runner),
            tasks,
        ),
        stream_versions=StreamVersions(
            settings.host, lambda: other_servers(view, hosts), links, log, tasks
        ),
        stored_streams=StoredStreams(
            settings.host,
            store,
            stored_versions,
            runners,
            log,
            tasks,
            is_store_down=lambda: store_health.is_down,
            is_reader=lambda: view.is_reader,
        ),
        runner_speeds=speeds,
        speed_reports=SpeedReports(speeds, log, metrics),
        plain_placement=PlainPlacement(
            settings.zone,
            requests_of=lambda key: context.load_of(key).requests,
            reachability_of=lambda key: context.reachability_of(key),
            speeds=speeds,
        ),
        keys=KeyChecks(configuration, settings.bounds.keys, metrics),
        log=log,
        metrics=metrics,
        tasks=tasks,
    )
    runners.on_removal(context.forget_runner)
    unreachable_runners.subscribe(sync.announce)
    runner_paths.subscribe(sync.announce)
    limits.subscribe(sync.announce)
    lease = OrderLease(
        store,
        settings.host,
        settings.bounds.order_lease_s,
        log,
        is_held_elsewhere=lambda: not view.is_reader or hosts.is_order_lease_held(),
        is_first_start=settings.is_first_start,
    )
    orders = StageOrders(context, lease, sync.announce)
    buffers = BodyBuffers(_share(settings.memory_limit_bytes, BODY_MEMORY_SHARE))
    return GatewayHost(
        settings,
        context,
        duties,
        follower,
        sync,
        load_updates,
        crash_reports,
        RelayService(context, shutdown),
        shutdown,
        lease,
        orders,
        view,
        buffers,
        log,
    )


async def _listen(host: GatewayHost, metrics: Metrics, stack: AsyncExitStack) -> None:
    context, listeners = host.context, host.settings.listeners
    settings = context.settings

    async def serve_caller(connection: CallerConnection) -> None:
        await Session(context, host.shutdown, connection).run()

    def readiness(request: ReceivedRequest) -> Answer:
        return (200 if host.sync.own_status().serving else 503), [], b""

    def lookup(request: ReceivedRequest) -> Answer:
        zone = wire.lookup_zone(request)
        host.view.refresh()
        addresses = addresses_for(host.view, host.sync.own_status(), zone)
        lifetime_s = min(LIFETIME_S, host.settings.bounds.lookup_ttl_max_s)
        return 200, JSON_HEADERS, wire.lookup_answer(addresses, lifetime_s)

    def exposition(request: ReceivedRequest) -> Answer:
        context.speed_reports.export()
        host.duties.export()
        return 200, TEXT_HEADERS, metrics.exposition().encode()

    def limits() -> CallerLimits:
        return context.configuration.limits

    handler_by_address = {
        listeners.callers: serve_caller,
        listeners.readiness: connection_handler({wire.READINESS_PATH: readiness}),
        listeners.lookup: connection_handler({wire.LOOKUP_PATH: lookup}),
        listeners.metrics: connection_handler(
            {
                METRICS_PATH: exposition,
                DUTIES_PATH: lambda request: list_duties(host.duties),
                CRASHES_PATH: lambda request: list_crashes(host.crash_reports),
                LIFT_PATH: lambda request: lift(host.crash_reports, request),
                WORKSPACES_PATH: lambda request: list_workspaces(
                    context.configuration,
                    settings.bounds.keys,
                    context.refusals,
                    context.allowances.ledger,
                ),
            }
        ),
    }
    max_connections = _share(host.settings.descriptor_limit, CALLER_DESCRIPTOR_SHARE)
    for address, handler in handler_by_address.items():
        await stack.enter_async_context(
            caller_listener(address, limits, handler, host.buffers, max_connections)
        )


def _share(limit: int, share: float) -> int:
    """Return a share of a process limit, or of its default if the limit is 0."""
    return int((limit or DEFAULT_LIMIT_BY_SHARE[share]) * share)
