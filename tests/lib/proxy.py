"""A TCP proxy that can silence its connections permanently while new ones work."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

READ_BYTES = 65536


class SilentProxy:
    """Forwards connections to a target.

    Parameters
    ----------
    target : str
        ``IP:port``.

    Attributes
    ----------
    address : str
        ``IP:port`` on which the proxy listens.
    accepted : int
        Number of accepted connections.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._silent_through = 0
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.accepted = 0
        self.address = ""

    def silence(self) -> None:
        """Drop all further data of the open connections, in both directions."""
        self._silent_through = self.accepted

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.accepted += 1
        connection_number = self.accepted
        host, _, port = self._target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._writers += [writer, far_writer]
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._forward(connection_number, source, sink))
            self._tasks.add(task)

    async def _forward(
        self,
        connection_number: int,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
    ) -> None:
        with suppress(ConnectionError):
            while data := await source.read(READ_BYTES):
                if connection_number > self._silent_through:
                    sink.write(data)
                    await sink.drain()
        if connection_number > self._silent_through:
            sink.close()

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.close()


@asynccontextmanager
async def silent_proxy(target: str) -> AsyncIterator[SilentProxy]:
    """Run a proxy on the loopback interface while the block runs."""
    proxy = SilentProxy(target)
    server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    proxy.address = f"{host}:{port}"
    try:
        yield proxy
    finally:
        server.close()
        proxy.close()
