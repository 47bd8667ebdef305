"""Calls to peers over HTTP/2 connections, replaced when they are unresponsive."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ..exceptions import PeerError
from ..metrics.registry import Metrics
from ..models.ids import HostName
from ..network.sockets import split_address
from ..utils.clock import monotonic
from ..utils.running_timeout import running_timeout
from . import peer_grpc, peer_pb2
from .relayed import RelayChannel, RelayedConnection

CALL_TIMEOUT_S = 0.5
MAX_TRIES = 2


class PeerLink:
    """The connection to one peer.

    A connection can stop transmitting permanently while new ones work. A call that
    times out is therefore tried again, on a new connection unless the old one
    answered other calls in the meantime. This is safe because every call between
    peers is idempotent.

    Parameters
    ----------
    address : str
        IP address and port of the peer.
    key : str
        The key that all hosts share.
    tls : ssl.SSLContext or None
    metrics : Metrics
    """

    def __init__(
        self, address: str, key: str, tls: ssl.SSLContext | None, metrics: Metrics
    ) -> None:
        self.address = address
        self._key = key
        self._tls = tls
        self._metrics = metrics
        self._channel: Channel | None = None
        self._relays = RelayChannel(address, key, tls)
        self._last_answered_at = 0.0

    async def call(
        self,
        rpc: str,
        message: Any,
        timeout_s: float = CALL_TIMEOUT_S,
        tries: int = MAX_TRIES,
    ) -> Any:
        """Make a call.

        Parameters
        ----------
        rpc : str
            Name of the method.
        message : protobuf message
        timeout_s : float
            Seconds for each try, without pauses of this process.
        tries : int
            Maximum number of tries; only calls that timed out or whose connection
            was closed are tried again.

        Raises
        ------
        PeerError
            The peer could not be reached, answered with an error, or did not answer
            any try in time.
        """
        cause: Exception | None = None
        for _ in range(tries):
            channel = self._get_channel()
            started_at = monotonic()
            try:
                reply = await self._call_once(channel, rpc, message, timeout_s)
                self._last_answered_at = monotonic()
                return reply
            except TimeoutError as error:
                # A peer that is only slow has answered other calls since this one
                # started, so its connection is kept.
                if self._last_answered_at < started_at:
                    self._discard(channel)
                cause = error
            except StreamTerminatedError as error:
                self._discard(channel)
                cause = error
            except (OSError, GRPCError) as error:
                cause = error
                break
        self._metrics.count("peer_calls_failed", rpc=rpc)
        raise PeerError(f"{rpc} at {self.address}: {cause!r}") from cause

    async def open_relay(
        self, request: peer_pb2.RelayOpen, timeout_s: float
    ) -> RelayedConnection:
        """Let the peer open a connection to a runner; raises `PeerError`."""
        self._metrics.count("peer_calls", rpc="Relay")
        try:
            return await self._relays.open(request, timeout_s)
        except PeerError as error:
            self._metrics.count("peer_calls_failed", rpc="Relay")
            error.message = f"{self.address}: {error.message}"
            raise

    async def _call_once(
        self, channel: Channel, rpc: str, message: Any, timeout_s: float
    ) -> Any:
        self._metrics.count("peer_calls", rpc=rpc)
        stub = peer_grpc.PeerStub(channel)
        metadata = {"authorization": f"Bearer {self._key}"}
        # In a separate task: grpclib cancels the task of a call when its connection
        # is closed, and this must not cancel the caller's task.
        call = asyncio.ensure_future(getattr(stub, rpc)(message, metadata=metadata))
        call.add_done_callback(_consume_exception)
        try:
            with suppress(TimeoutError):
                async with running_timeout(timeout_s):
                    await asyncio.wait({call})
        finally:
            if not call.done():
                call.cancel()
        reply = _result(call)
        size = message.ByteSize() + reply.ByteSize()
        self._metrics.count("peer_message_bytes", size, rpc=rpc)
        return reply

    def _get_channel(self) -> Channel:
        if self._channel is None:
            host, port = split_address(self.address)
            self._channel = Channel(host, port, ssl=self._tls)
        return self._channel

    def _discard(self, channel: Channel) -> None:
        already_replaced = self._channel is not channel
        if already_replaced:
            return
        self._metrics.count("peer_connections_replaced")
        channel.close()
        self._channel = None

    def close(self) -> None:
        """Close the connections."""
        self._relays.close()
        channel, self._channel = self._channel, None
        if channel is not None:
            channel.close()


def _consume_exception(call: asyncio.Future[Any]) -> None:
    """Retrieve the exception of a call that is no longer awaited.

    Otherwise asyncio logs that the exception was never retrieved.
    """
    if not call.cancelled():
        call.exception()


def _result(call: asyncio.Future[Any]) -> Any:
    """Return a call's reply or raise its error; a call that is not done timed out."""
    if not call.done():
        raise TimeoutError
    if call.cancelled():
        raise StreamTerminatedError("the connection was closed")
    try:
        return call.result()
    except RuntimeError as error:
        # uvloop raises RuntimeError for a write to a transport that was just closed.
        raise StreamTerminatedError(str(error)) from error


class Peers:
    """The links to all peers, opened when first used."""

    def __init__(self, key: str, tls: ssl.SSLContext | None, metrics: Metrics) -> None:
        self._key = key
        self._tls = tls
        self._metrics = metrics
        self._link_by_address: dict[str, PeerLink] = {}
        self.address_by_host: dict[HostName, str] = {}

    async def call(
        self,
        host: HostName,
        rpc: str,
        message: Any,
        timeout_s: float = CALL_TIMEOUT_S,
        tries: int = MAX_TRIES,
    ) -> Any:
        """Call a peer by the name of its host; raises `PeerError`."""
        address = self.address_by_host.get(host)
        if address is None:
            raise PeerError(f"{rpc}: the address of host {host} is not known")
        return await self.call_address(address, rpc, message, timeout_s, tries)

    async def call_address(
        self,
        address: str,
        rpc: str,
        message: Any,
        timeout_s: float = CALL_TIMEOUT_S,
        tries: int = MAX_TRIES,
    ) -> Any:
        """Call a peer by its address; raises `PeerError`."""
        return await self._link(address).call(rpc, message, timeout_s, tries)

    async def open_relay(
        self, address: str, request: peer_pb2.RelayOpen, timeout_s: float
    ) -> RelayedConnection:
        """Let the peer at an address open a connection; raises `PeerError`."""
        return await self._link(address).open_relay(request, timeout_s)

    def _link(self, address: str) -> PeerLink:
        link = self._link_by_address.get(address)
        if link is None:
            link = PeerLink(address, self._key, self._tls, self._metrics)
            self._link_by_address[address] = link
        return link

    def forget(self, host: HostName) -> None:
        """Close the link to a host that is dead or whose address has changed."""
        address = self.address_by_host.get(host)
        link = self._link_by_address.pop(address, None) if address else None
        if link is not None:
            link.close()

    def close(self) -> None:
        """Close all links."""
        for link in self._link_by_address.values():
            link.close()
        self._link_by_address.clear()


@asynccontextmanager
async def peer_links(
    key: str, tls: ssl.SSLContext | None, metrics: Metrics
) -> AsyncIterator[Peers]:
    """Provide the links to peers while the block runs and close them after it."""
    peers = Peers(key, tls, metrics)
    try:
        yield peers
    finally:
        peers.close()
