"""Connections to servers, which may be relayed by another host."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ..exceptions import ConnectFailedError
from ..utils.running_timeout import running_timeout
from .sockets import enable_transport_keepalive, split_address, was_reset

READ_BYTES = 65_536
# Hosts are 1 ms apart. The kernel retransmits a lost SYN only after 1 s, so opening
# another connection is faster. The kernel of the other side completes a connection
# before its process accepts it, so a process that accepts slowly isn't taken for a lost
# one; a full backlog, whose SYNs are dropped, is. Pauses of this process don't count.
CONNECT_TIMEOUT_S = 0.2


class Connection(Protocol):
    """A connection to a server, as the HTTP client uses it."""

    async def read(self) -> bytes:
        """Return the next bytes, or none at the end; raises OSError if it is lost."""

    def at_eof(self) -> bool:
        """Return whether the server has ended it and all its bytes were read."""

    def was_reset(self) -> bool:
        """Return whether it ended by a reset rather than an orderly close."""

    def write(self, data: bytes) -> None:
        """Send bytes, without waiting."""

    async def drain(self) -> None:
        """Wait until the bytes written so far have been passed on."""

    def close(self) -> None:
        """Close it in order."""

    def abort(self) -> None:
        """Reset it; bytes that weren't passed on are dropped."""


class TcpConnection:
    """A TCP connection to a server.

    Parameters
    ----------
    reader, writer : asyncio streams
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def read(self) -> bytes:
        """Return the next bytes, or none at the end; raises OSError if it is lost."""
        return await self._reader.read(READ_BYTES)

    def at_eof(self) -> bool:
        """Return whether the server has ended it and all its bytes were read."""
        return self._reader.at_eof()

    def was_reset(self) -> bool:
        """Return whether it ended by a reset rather than an orderly close."""
        return was_reset(self._writer.transport)

    def write(self, data: bytes) -> None:
        """Send bytes, without waiting."""
        self._writer.write(data)

    async def drain(self) -> None:
        """Wait until the bytes written so far have been passed on."""
        await self._writer.drain()

    def close(self) -> None:
        """Close it in order."""
        self._writer.close()

    def abort(self) -> None:
        """Reset it; bytes that weren't passed on are dropped."""
        self._writer.transport.abort()


async def connect(address: str) -> TcpConnection:
    """Open a connection to an address; raises `ConnectFailedError`."""
    host, port = split_address(address)
    try:
        async with running_timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError) as error:
        raise ConnectFailedError(f"no connection to {address}: {error!r}") from error
    enable_transport_keepalive(writer.transport)
    return TcpConnection(reader, writer)


async def refuses_connections(address: str) -> bool:
    """Return whether no process listens at an address that can be reached."""
    try:
        connection = await connect(address)
    except ConnectFailedError as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    connection.close()
    return False
