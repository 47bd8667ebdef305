"""gRPC server for the calls of peers."""

from __future__ import annotations

import hmac
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from ..network.sockets import split_address
from . import peer_grpc
from .relayed import FLOW_CONTROL

Handler = Callable[[Any], Awaitable[Any]]
# Methods whose handlers get the stream of the call in place of its message.
STREAMING_RPCS = frozenset({"Relay"})


class PeerService(peer_grpc.PeerBase):
    """Passes each call to the handler registered under the method's name."""

    def __init__(self, handler_by_rpc: dict[str, Handler]) -> None:
        self._handler_by_rpc = handler_by_rpc

    async def _serve(self, rpc: str, stream: Any) -> None:
        handler = self._handler_by_rpc.get(rpc)
        if handler is None:
            raise GRPCError(Status.UNIMPLEMENTED, rpc)
        if rpc in STREAMING_RPCS:
            await handler(stream)
            return
        message = await stream.recv_message()
        if message is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "the message is missing")
        await stream.send_message(await handler(message))


def _method(rpc: str) -> Callable[[PeerService, Any], Awaitable[None]]:
    async def serve(self: PeerService, stream: Any) -> None:
        await self._serve(rpc, stream)

    return serve


for _rpc in sorted(peer_grpc.PeerBase.__abstractmethods__):
    setattr(PeerService, _rpc, _method(_rpc))
PeerService.__abstractmethods__ = frozenset()


@asynccontextmanager
async def peer_server(
    address: str,
    key: str,
    tls: ssl.SSLContext | None,
    handler_by_rpc: dict[str, Handler],
) -> AsyncIterator[None]:
    """Serve calls of peers while the block runs.

    Parameters
    ----------
    address : str
    key : str
        The key that all hosts share; calls without it are refused.
    tls : ssl.SSLContext or None
    handler_by_rpc : dict
        Handlers by method name.
    """
    service: Any = PeerService  # mypy does not see the methods set by setattr.
    server = Server([service(handler_by_rpc)], config=FLOW_CONTROL)
    expected = f"Bearer {key}"

    async def check_key(event: RecvRequest) -> None:
        found = str(event.metadata.get("authorization", ""))
        if not hmac.compare_digest(found.encode(), expected.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, "the peer's key is wrong")

    listen(server, RecvRequest, check_key)
    host, port = split_address(address)
    await server.start(host, port, ssl=tls)
    try:
        yield
    finally:
        server.close()
        await server.wait_closed()
