"""The process of a runner stand-in, which can crash and start again."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

MS_PER_S = 1000


class RunnerProcess:
    """Listens on a port; while it is down, connections are refused.

    Parameters
    ----------
    serve : callable
        Serves one connection.
    port : int
    restart_s : float, default=0.4
        Seconds from a crash to the next start.

    Attributes
    ----------
    born : int or None
        Unix milliseconds of the start after the last crash.
    crashed_at : list of float
        Monotonic times of the crashes.
    """

    def __init__(self, serve: Serve, port: int, restart_s: float = 0.4) -> None:
        self._serve = serve
        self._port = port
        self.restart_s = restart_s
        self.born: int | None = None
        self.crashed_at: list[float] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None

    @property
    def is_up(self) -> bool:
        """Whether the process runs."""
        return self._server is not None

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(
            self._serve_connection, "127.0.0.1", self._port
        )

    def crash(self) -> None:
        """Close all connections and the port; start again after `restart_s`."""
        if self._server is None:
            return
        self.crashed_at.append(time.monotonic())
        self._stop_listening()
        for writer in self._writers:
            writer.close()
        self._restart = asyncio.ensure_future(self._start_later())

    def close(self) -> None:
        """End the process for good."""
        if self._restart is not None:
            self._restart.cancel()
        self._stop_listening()

    def _stop_listening(self) -> None:
        server, self._server = self._server, None
        if server is not None:
            server.close()

    async def _start_later(self) -> None:
        await asyncio.sleep(self.restart_s)
        self.born = int(time.time() * MS_PER_S)
        await self.start()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        finally:
            self._writers.discard(writer)
