"""HTTP client sessions."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from aiohappyeyeballs import AddrInfoType

from .sockets import enable_keepalive

CONNECT_TIMEOUT_S = 1.0


def _keepalive_socket(address: AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


async def _prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Turn errors after which aiohttp sends a PUT, DELETE or GET once more."""
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(f"answer lost: {error!r}") from error


@asynccontextmanager
async def http_session(pooled: bool, limit: int = 0) -> AsyncIterator[Any]:
    """Open an HTTP client session.

    Parameters
    ----------
    pooled : bool
        Whether connections are used again. A call that may not be repeated
        needs a fresh one: a reset on a used connection does not tell whether
        the far end read the call, a failed connect does. A call on a fresh
        connection is never sent twice.
    limit : int
        Connections open at once; 0 for no limit.
    """
    connector = aiohttp.TCPConnector(
        limit=limit, force_close=not pooled, socket_factory=_keepalive_socket
    )
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
    async with aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=True,
        middlewares=() if pooled else (_prevent_resend,),
    ) as session:
        yield session
