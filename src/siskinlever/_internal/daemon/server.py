"""Starts the components of a host in order and runs it."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from absl import logging

from ..callers.access import AccessControl
from ..callers.app import callers_app
from ..callers.context import CallerContext
from ..callers.in_progress import ReceiveBudget
from ..models.events import EventKind
from ..models.ids import Attempt
from ..models.settings import Settings
from ..network.http_server import App, http_server
from ..network.tls import (
    listener_context,
    peer_listener_context,
)
from ..operators.app import OperatorContext, operators_app
from ..peers import peer_pb2
from ..peers.server import Handler, peer_server
from ..utils.duties import Duties, Duty
from ..utils.early_signals import EarlySignals
from ..utils.tasks import task_set
from .assembly import assemble
from .host import Host


@asynccontextmanager
async def running_host(settings: Settings) -> AsyncIterator[Host]:
    """Run a host while the context is open."""
    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(task_set())
        host = await assemble(settings, stack, tasks)
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
        duties = Duties(tasks, host.metrics, _log_failure)
        host.detector.start(duties, tasks)
        duties.start("configuration", host.follower.run)
        duties.start(
            "majority",
            lambda: host.follower.confirm_by_majority(
                lambda: host.members.has_majority
            ),
        )
        duties.start("orders", lambda: host.orders.run(tasks))
        duties.start("request-home", host.request_home.run)
        host.admission_home.start(duties, tasks)
        duties.start("draft-scan", host.draft_recovery.scan)
        duties.start("draft-sweep", host.draft_recovery.sweep)
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


async def serve(settings: Settings, early_signals: EarlySignals) -> None:
    """Run a host until it is stopped, then drain it.

    The host stops on SIGTERM or SIGINT, or when another process has replaced it. On
    SIGHUP it goes on: its settings take effect at the next start.
    """
    shutdown = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shutdown.set)
    async with running_host(settings) as host:
        loop.add_signal_handler(signal.SIGHUP, _log_reload)
        if early_signals.take_reload():
            _log_reload()
        replaced = asyncio.create_task(host.detector.replaced.wait())
        shutdown_requested = asyncio.create_task(shutdown.wait())
        await asyncio.wait(
            [replaced, shutdown_requested], return_when=asyncio.FIRST_COMPLETED
        )
        await host.drain()


def _log_failure(duty: Duty, error: BaseException) -> None:
    logging.error(
        "duty failed name=%s failures=%d", duty.name, duty.failures, exc_info=error
    )


def _log_reload() -> None:
    logging.info("settings that have changed take effect at the next start")


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
            host.service_executor,
            host.drafts,
            AccessControl(host.current),
            host.forwarder,
            host.in_progress,
            ReceiveBudget(),
            host.metrics,
        )
    )
