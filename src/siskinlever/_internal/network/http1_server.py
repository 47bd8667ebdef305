"""HTTP/1.1 server for callers, which serves each connection's requests in turn."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

import h11

from ..exceptions import CallerGoneError, InvalidRequestError
from ..models.routes import CallerLimits
from .http1_client import Header
from .sockets import enable_transport_keepalive, reset, split_address

READ_BYTES = 65_536
# Bytes of further requests that are buffered while one is being served.
MAX_PIPELINED_BYTES = 262_144
# Seconds that a connection stays open after the answer to a request that was not read
# completely, so that the caller can read the answer.
CLOSE_DELAY_S = 0.1
# Seconds between two looks at what of a broken answer has not been sent.
FLUSH_POLL_S = 0.005
# Connections that the kernel queues until they are accepted.
BACKLOG = 512


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that has been read completely.

    Parameters
    ----------
    method, target : bytes
        As received.
    headers : tuple of (name, value)
        As received, in the same order.
    body : bytes
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def get(self, name: bytes) -> str | None:
        """Return the first value of a header, given its name in lower case."""
        for found, value in self.headers:
            if found.lower() == name:
                return value.decode("latin-1")
        return None


class BodyBuffers:
    """Limits the memory used by callers' request bodies in a process.

    With `siskinleverd --settings`, `ReceiveBudget` has the same purpose.

    Parameters
    ----------
    limit_bytes : int
        Maximum number of bytes reserved at once.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reserve(self, size: int) -> None:
        """Reserve bytes; raises `InvalidRequestError` (503) beyond the limit."""
        if self.reserved_bytes + size > self._limit_bytes:
            raise InvalidRequestError(503, "too many bodies are being received")
        self.reserved_bytes += size

    def release(self, size: int) -> None:
        """Release bytes that were reserved."""
        self.reserved_bytes -= size


class CallerConnection:
    """One connection of a caller.

    Parameters
    ----------
    reader, writer : asyncio streams
    limits : callable
        Returns the limits in force.
    buffers : BodyBuffers
        Shared by all connections.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: Callable[[], CallerLimits],
        buffers: BodyBuffers,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._buffers = buffers
        self._buffered_bytes = 0
        self._limits = limits
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().max_header_bytes
        )
        self._pipelined_bytes = 0
        self.answer_started = False

    @property
    def is_reusable(self) -> bool:
        """Whether the answer is complete and another request may follow."""
        return self._parser.states == {
            h11.SERVER: h11.DONE,
            h11.CLIENT: h11.DONE,
        }

    async def next_request(self) -> ReceivedRequest | None:
        """Read the next request completely.

        Returns
        -------
        ReceivedRequest or None
            None if the caller closed the connection or sent nothing within the
            idle timeout.

        Raises
        ------
        InvalidRequestError
            The request is malformed, too large or too slow.
        CallerGoneError
            The connection was lost within a request.
        """
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
            self._pipelined_bytes = len(self._parser.trailing_data[0])
        self.answer_started = False
        self._release_body()
        limits = self._limits()
        if not (
            self._parser.trailing_data[0]
            or await self._wait_for_first_byte(limits.idle_timeout_s)
        ):
            return None
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                head = await self._next_event()
        except TimeoutError as error:
            raise InvalidRequestError(408, "the headers took too long") from error
        if not isinstance(head, h11.Request):
            return None
        if _head_bytes(head) > limits.max_header_bytes:
            # The parser checks only the size of incomplete headers, so it does not
            # limit headers that arrive in one piece.
            raise InvalidRequestError(
                431, f"the headers exceed {limits.max_header_bytes} bytes"
            )
        body = await self._body(limits, _content_length(head))
        headers = tuple(head.headers.raw_items())
        return ReceivedRequest(head.method, head.target, headers, body)

    async def _wait_for_first_byte(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                data = await self._reader.read(READ_BYTES)
        except (TimeoutError, OSError):
            return False
        self._parser.receive_data(data)
        return bool(data)

    async def _body(self, limits: CallerLimits, length: int | None) -> bytes:
        """Read a body; if its length is known, memory is reserved before reading."""
        if length is not None:
            self._reserve_body(length, limits)
        if self._parser.they_are_waiting_for_100_continue:
            await self._write(
                self._parser.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        body = bytearray()
        while True:
            try:
                # The timeout limits the time between two reads, not the time for
                # the whole body.
                async with asyncio.timeout(limits.idle_timeout_s):
                    event = await self._next_event()
            except TimeoutError as error:
                raise InvalidRequestError(408, "the body took too long") from error
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if isinstance(event, h11.Data):
                if length is None:
                    self._reserve_body(len(event.data), limits)
                body += event.data

    def _reserve_body(self, size: int, limits: CallerLimits) -> None:
        if self._buffered_bytes + size > limits.max_body_bytes:
            message = f"the body exceeds {limits.max_body_bytes} bytes"
            raise InvalidRequestError(413, message)
        self._buffers.reserve(size)
        self._buffered_bytes += size

    def _release_body(self) -> None:
        self._buffers.release(self._buffered_bytes)
        self._buffered_bytes = 0

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                raise InvalidRequestError(status, str(error)) from error
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.ConnectionClosed):
                    raise CallerGoneError("connection closed within a request")
                return event
            try:
                self._parser.receive_data(await self._reader.read(READ_BYTES))
            except OSError as error:
                raise CallerGoneError(f"connection lost: {error!r}") from error

    async def wait_disconnected(self) -> None:
        """Wait until the caller closes the connection.

        Data that arrives in the meantime is buffered for the next request. Once
        `MAX_PIPELINED_BYTES` are buffered, nothing more is read and a close is no
        longer detected.
        """
        while self._pipelined_bytes < MAX_PIPELINED_BYTES:
            try:
                data = await self._reader.read(READ_BYTES)
            except OSError:
                return
            if not data:
                return
            self._pipelined_bytes += len(data)
            with suppress(h11.RemoteProtocolError):
                self._parser.receive_data(data)
        await asyncio.Event().wait()

    async def answer(
        self, status: int, headers: Sequence[Header], body: bytes, close: bool = False
    ) -> None:
        """Write a complete answer; raises `CallerGoneError`."""
        framed = [*headers, (b"Content-Length", str(len(body)).encode())]
        await self.start_answer(status, framed, close)
        await self.write(body)
        await self.end_answer()

    async def start_answer(
        self, status: int, headers: Sequence[Header], close: bool = False
    ) -> None:
        """Write an answer's status and headers; raises `CallerGoneError`.

        Without a Content-Length header the body is sent in chunks.
        """
        close_header = [(b"Connection", b"close")] if close else []
        response = h11.Response(status_code=status, headers=[*headers, *close_header])
        self.answer_started = True
        await self._write(self._parser.send(response))

    async def write(self, data: bytes) -> None:
        """Write a part of the body; raises `CallerGoneError`."""
        if data:
            await self._write(self._parser.send(h11.Data(data=data)))

    async def end_answer(self) -> None:
        """Write the end of the answer; raises `CallerGoneError`."""
        await self._write(self._parser.send(h11.EndOfMessage()))

    async def reject_request(self, error: InvalidRequestError) -> None:
        """Answer a request that cannot be read, without reading the rest of it.

        Does nothing if the answer has already started.
        """
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        with suppress(CallerGoneError, h11.LocalProtocolError):
            await self.answer(error.status, (), error.message.encode(), close=True)
            await asyncio.sleep(CLOSE_DELAY_S)

    async def _write(self, data: bytes | None) -> None:
        if not data:
            return
        try:
            self._writer.write(data)
            await self._writer.drain()
        except (OSError, RuntimeError) as error:
            raise CallerGoneError(f"connection lost: {error!r}") from error

    async def break_off(self) -> None:
        """End an answer of which a part was sent, so that it doesn't seem complete.

        What was written before is sent first, if the caller reads it.
        """
        transport = self._writer.transport
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_DELAY_S):
                while transport.get_write_buffer_size():
                    await asyncio.sleep(FLUSH_POLL_S)
        if self._parser.their_http_version == b"1.0":
            # The answer has no chunks, so the end of the connection would complete it.
            await asyncio.sleep(CLOSE_DELAY_S)
            reset(transport)
        transport.abort()

    def abort(self) -> None:
        """Close the connection at once; drop what was not sent."""
        self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection once all data has been written."""
        self._release_body()
        self._writer.close()


def _content_length(head: h11.Request) -> int | None:
    """Return a body's length in bytes, or None if it is sent in chunks."""
    lengths = dict(head.headers)
    if b"transfer-encoding" in lengths:
        return None
    return int(lengths.get(b"content-length", b"0"))


def _head_bytes(head: h11.Request) -> int:
    request_line_bytes = (
        len(head.method) + len(head.target) + len(b"  HTTP/1.1\r\n\r\n")
    )
    return request_line_bytes + sum(
        len(name) + len(value) + len(b": \r\n")
        for name, value in head.headers.raw_items()
    )


Handler = Callable[[CallerConnection], Awaitable[None]]


@asynccontextmanager
async def caller_listener(
    address: str,
    limits: Callable[[], CallerLimits],
    handle: Handler,
    buffers: BodyBuffers,
    max_connections: int,
) -> AsyncIterator[asyncio.Server]:
    """Accept connections while the block runs, each in its own task.

    Parameters
    ----------
    address : str
        IP address and port.
    limits : callable
        Returns the limits in force.
    handle : callable
        Serves one connection.
    buffers : BodyBuffers
    max_connections : int
        Further connections are reset before a request is read, so none is run. For
        callers a reset leaves this open; they then try another host.
    """
    open_connections = 0

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal open_connections
        if open_connections >= max_connections:
            writer.transport.abort()
            return
        enable_transport_keepalive(writer.transport)
        connection = CallerConnection(reader, writer, limits, buffers)
        open_connections += 1
        try:
            await handle(connection)
        except CallerGoneError:
            connection.abort()
        finally:
            open_connections -= 1
            connection.close()

    host, port = split_address(address)
    server = await asyncio.start_server(on_connection, host, port, backlog=BACKLOG)
    try:
        yield server
    finally:
        server.close()
