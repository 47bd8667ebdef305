"""HTTP client sessions."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from aiohappyeyeballs import AddrInfoType
from aiohttp.http import HttpProcessingError

from .sockets import enable_keepalive

CONNECT_TIMEOUT_S = 1.0
# What a call of a session may raise. A malformed body raises `HttpProcessingError`,
# which is not a `ClientError`.
CALL_ERRORS = (aiohttp.ClientError, HttpProcessingError, TimeoutError, OSError)


def _keepalive_socket(address: AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


async def _prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Convert the errors after which aiohttp resends a PUT, DELETE or GET.

    aiohttp does not resend after a plain `aiohttp.ClientConnectionError`.
    """
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
        Whether connections are reused. A call that may not be repeated needs a
        new connection: a failed connect proves that the server did not read the
        call, while a reset of a reused connection leaves this unknown. Without
        pooling a call is never sent twice.
    limit : int
        Maximum number of open connections; 0 for no limit.
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
