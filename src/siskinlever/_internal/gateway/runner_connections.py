"""Opens connections to runners, directly or through another host.

A connection through another host is one hop: the other host opens only direct ones.
Nothing of a call is sent before it has its connection, so that trying several ways
doesn't send it twice.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass

from ..dispatch.runner_paths import Helper
from ..exceptions import ConnectFailedError, PeerError
from ..fleet.messages import to_runner
from ..models.upstreams import Registration, RunnerKey
from ..network.connection import Connection, connect, refuses_connections
from ..peers import peer_pb2
from ..utils.clock import MS_PER_S
from .context import GatewayContext

# Seconds after which another host is asked while a direct connection is being opened.
# Hosts are 1 ms apart.
RELAY_DELAY_S = 0.1


@dataclass(frozen=True, slots=True)
class HelperTimeouts:
    """Seconds that helpers may take to open a connection.

    Each waits for `connection.CONNECT_TIMEOUT_S` itself.

    Parameters
    ----------
    each_s : float
    all_s : float
        For the helpers that are asked one after the other.
    """

    each_s: float
    all_s: float


# While it isn't known whether the runner is down, in which case others may serve.
SHORT_TIMEOUTS = HelperTimeouts(each_s=0.25, all_s=0.35)
# For a runner that is lost, so that direct connections have little chance.
LONG_TIMEOUTS = HelperTimeouts(each_s=0.5, all_s=1.0)


@dataclass(frozen=True, slots=True)
class RunnerConnection:
    """A connection to a runner, and the host that relays it; None if it is direct."""

    connection: Connection
    helper: Helper | None = None


async def open_direct(
    context: GatewayContext, runner: Registration
) -> RunnerConnection:
    """Open a connection of this host's own; raises `ConnectFailedError`."""
    try:
        connection = await connect(runner.address)
    except ConnectFailedError as error:
        _note_direct(context, runner.key, error.message)
        raise
    _note_direct(context, runner.key, "")
    return RunnerConnection(connection)


async def open_connection(
    context: GatewayContext, runner: Registration, lifetime_s: float
) -> RunnerConnection:
    """Open a connection to a runner, directly if possible.

    Parameters
    ----------
    context : GatewayContext
    runner : Registration
    lifetime_s : float
        Seconds after which another host closes the connection in any case.

    Raises
    ------
    ConnectFailedError
        The runner was reached neither directly nor through another host.
    """
    if not context.runner_paths.is_lost(runner.key):
        return await _open_either(context, runner, lifetime_s)
    if context.runner_paths.claim_trial(runner.key):
        context.tasks.start(_try_direct(context, runner), "try-runner")
    try:
        return await _open_relayed(context, runner, lifetime_s, LONG_TIMEOUTS)
    except ConnectFailedError:
        return await open_direct(context, runner)


async def is_down(context: GatewayContext, runner: Registration) -> bool:
    """Return whether no process listens at a runner's address.

    If other hosts reach it, the fault is on this host's side.
    """
    if not await refuses_connections(runner.address):
        return False
    try:
        opened = await _open_relayed(
            context, runner, SHORT_TIMEOUTS.all_s, SHORT_TIMEOUTS
        )
    except ConnectFailedError:
        return True
    opened.connection.abort()
    _note_direct(context, runner.key, "connections are refused here only")
    return False


async def _open_either(
    context: GatewayContext, runner: Registration, lifetime_s: float
) -> RunnerConnection:
    """Open a direct connection, or a relayed one if that is slow or fails."""
    direct = asyncio.ensure_future(open_direct(context, runner))
    tasks = [direct]
    winner = direct
    try:
        await asyncio.wait({direct}, timeout=RELAY_DELAY_S)
        if not _has_succeeded(direct):
            relayed = asyncio.ensure_future(
                _open_relayed(context, runner, lifetime_s, SHORT_TIMEOUTS)
            )
            tasks.append(relayed)
            await _wait_for_success(tasks)
            if _has_succeeded(relayed) and not _has_succeeded(direct):
                winner = relayed
        if winner is not direct and not direct.done():
            _note_direct(context, runner.key, f"none within {RELAY_DELAY_S:g} s")
        opened = winner.result()
        tasks.remove(winner)
        return opened
    finally:
        for task in tasks:
            task.cancel()
            task.add_done_callback(_close_unused)


def _has_succeeded(task: asyncio.Future[RunnerConnection]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


async def _wait_for_success(tasks: list[asyncio.Task[RunnerConnection]]) -> None:
    """Wait until one of the tasks has succeeded or all have failed."""
    pending = {task for task in tasks if not task.done()}
    while pending and not any(map(_has_succeeded, tasks)):
        _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)


def _close_unused(task: asyncio.Future[RunnerConnection]) -> None:
    if _has_succeeded(task):
        task.result().connection.abort()


async def _open_relayed(
    context: GatewayContext,
    runner: Registration,
    lifetime_s: float,
    timeouts: HelperTimeouts,
) -> RunnerConnection:
    request = peer_pb2.RelayOpen(
        runner=to_runner(runner.key), lifetime_ms=max(1, int(lifetime_s * MS_PER_S))
    )
    reasons = []
    with suppress(TimeoutError):
        async with asyncio.timeout(timeouts.all_s):
            for helper in context.helpers_for(runner.key):
                try:
                    connection = await context.peers.open_relay(
                        helper.peers_address, request, timeouts.each_s
                    )
                except PeerError as error:
                    context.runner_paths.note_helper_failed(helper.host, runner.key)
                    reasons.append(f"{helper.host}: {error.message}")
                    continue
                context.metrics.count("relays", outcome="opened")
                return RunnerConnection(connection, helper)
    context.metrics.count("relays", outcome="failed")
    message = "; ".join(reasons) or "no other host reaches it in time"
    raise ConnectFailedError(f"no connection to {runner.address}: {message}")


async def _try_direct(context: GatewayContext, runner: Registration) -> None:
    """Find out whether this host reaches a lost runner again."""
    with suppress(ConnectFailedError):
        opened = await open_direct(context, runner)
        opened.connection.close()


def _note_direct(context: GatewayContext, runner: RunnerKey, reason: str) -> None:
    """Record a direct connection, which has failed if there is a reason."""
    if context.runner_paths.note_direct(runner, reached=not reason):
        context.metrics.count("runner_path_changes")
        context.log.write(
            "runner.path",
            runner=runner.name,
            started_at=runner.started_at,
            path="other hosts" if reason else "direct",
            reason=reason or "connected",
        )
