"""Opens and relays connections to runners for hosts that can't reach them.

The host that asks decides what is sent, and counts it; this host only refuses what it
knows a runner must not get.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any

from grpclib.exceptions import StreamTerminatedError

from ..exceptions import ConnectFailedError
from ..fleet.messages import from_runner
from ..models.upstreams import RunnerKey
from ..network.connection import Connection
from ..peers import peer_pb2
from ..utils.clock import MS_PER_S, monotonic
from .context import GatewayContext
from .runner_connections import open_direct
from .shutdown import Shutdown

# Connections relayed at the same time. Each uses a descriptor, and memory for what its
# reader hasn't read yet.
MAX_RELAYS = 200
# Seconds that a relayed connection outlives the request that it was opened for.
LIFETIME_MARGIN_S = 1.0


class RelayService:
    """Serves the calls of hosts that can't reach a runner.

    Parameters
    ----------
    context : GatewayContext
    shutdown : Shutdown
    """

    def __init__(self, context: GatewayContext, shutdown: Shutdown) -> None:
        self._context = context
        self._shutdown = shutdown
        self._relays = 0

    async def note_pause(self, message: peer_pb2.RunnerPause) -> peer_pb2.Nothing:
        """Record a pause that a runner has asked of this host in a relayed answer."""
        runner = from_runner(message.runner)
        if runner in self._context.runners.by_key:
            self._context.limits.note_pause(runner, message.pause_ms / MS_PER_S)
        return peer_pb2.Nothing()

    async def serve(self, stream: Any) -> None:
        """Relay one connection until either side ends it."""
        frame = await stream.recv_message()
        if frame is None:
            return
        runner = from_runner(frame.open.runner)
        opened = peer_pb2.RelayOpened(reason=self._refusal(runner))
        connection = None
        if not opened.reason:
            registration = self._context.runners.by_key[runner].registration
            try:
                connection = (await open_direct(self._context, registration)).connection
                opened.opened = True
            except ConnectFailedError as error:
                opened.reason = error.message
        self._context.metrics.count("relays_served", opened=str(opened.opened))
        if connection is None:
            await stream.send_message(peer_pb2.RelayFrame(opened=opened))
            return
        lifetime_s = frame.open.lifetime_ms / MS_PER_S + LIFETIME_MARGIN_S
        await self._relay(stream, connection, opened, lifetime_s)

    def _refusal(self, runner: RunnerKey) -> str:
        """Return why this host opens no connection to a runner, or ""."""
        context = self._context
        if self._shutdown.is_stopping:
            return "this host is stopping"
        if self._relays >= MAX_RELAYS:
            return f"this host relays {MAX_RELAYS} connections"
        if not context.runners.is_usable(runner):
            return f"{runner.name} may get no requests"
        if context.limits.are_paused([runner]):
            return f"{runner.name} wants no requests for now"
        return ""

    async def _relay(
        self,
        stream: Any,
        connection: Connection,
        opened: peer_pb2.RelayOpened,
        lifetime_s: float,
    ) -> None:
        began_at = monotonic()
        self._relays += 1
        sending = None
        try:
            with self._shutdown.request(), suppress(TimeoutError):
                async with asyncio.timeout(lifetime_s):
                    await stream.send_message(peer_pb2.RelayFrame(opened=opened))
                    sending = asyncio.ensure_future(_send_on(stream, connection))
                    await _send_back(stream, connection)
        finally:
            self._relays -= 1
            if sending is not None:
                sending.cancel()
            connection.abort()
            self._context.metrics.observe("relay_s", monotonic() - began_at)


async def _send_on(stream: Any, connection: Connection) -> None:
    """Pass what the other host sends on to the runner."""
    with suppress(OSError, StreamTerminatedError):
        while (frame := await stream.recv_message()) is not None:
            connection.write(frame.data)
            await connection.drain()


async def _send_back(stream: Any, connection: Connection) -> None:
    """Pass what the runner sends to the other host, and how it ended."""
    is_lost = False
    try:
        while data := await connection.read():
            await stream.send_message(peer_pb2.RelayFrame(data=data))
    except OSError:
        is_lost = True
    end = peer_pb2.RelayEnd(reset=is_lost or connection.was_reset())
    await stream.send_message(peer_pb2.RelayFrame(end=end))
