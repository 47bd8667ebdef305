"""Runs a Sanic application in the event loop of this process.

Sanic's process manager is not used, because it starts worker processes and shares
memory with them.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from sanic import Sanic

from .sockets import split_address

App = Sanic[Any, Any]

DAY_S = 86_400
RECEIVE_TIMEOUT_S = 15
IDLE_TIMEOUT_S = 30
MAX_BODY_BYTES = 4 << 20
MAX_HEAD_BYTES = 16 << 10
CLOSE_POLL_S = 0.05


@asynccontextmanager
async def http_server(
    app: App, address: str, tls: ssl.SSLContext | None
) -> AsyncIterator[None]:
    """Serve an application while the block runs.

    An answer may take as long as it needs: the timeouts for responses and for a
    shutdown are a day, since Sanic's defaults would cut off long answers.
    """
    app.config.update(
        {
            "ACCESS_LOG": False,
            "AUTO_EXTEND": False,
            "MOTD": False,
            # Touch-up would recompile the server's methods, which fails for a second
            # application.
            "TOUCHUP": False,
            "GRACEFUL_SHUTDOWN_TIMEOUT": DAY_S,
            "GRACEFUL_TCP_CLOSE_TIMEOUT": DAY_S,
            "RESPONSE_TIMEOUT": DAY_S,
            "REQUEST_TIMEOUT": RECEIVE_TIMEOUT_S,
            "KEEP_ALIVE_TIMEOUT": IDLE_TIMEOUT_S,
            "REQUEST_MAX_SIZE": MAX_BODY_BYTES,
            "REQUEST_MAX_HEADER_SIZE": MAX_HEAD_BYTES,
        }
    )
    host, port = split_address(address)
    server: Any = await app.create_server(
        host=host, port=port, ssl=tls, access_log=False, return_asyncio_server=True
    )
    assert server is not None
    await server.startup()
    await server.before_start()
    await server.after_start()
    try:
        yield
    finally:
        server.close()
        await _drain_connections(server)
        await server.wait_closed()
        Sanic.unregister_app(app)


async def _drain_connections(server: Any) -> None:
    """Close idle connections until all answers in progress have been sent."""
    while server.connections:
        for connection in list(server.connections):
            connection.close_if_idle()
        await asyncio.sleep(CLOSE_POLL_S)
