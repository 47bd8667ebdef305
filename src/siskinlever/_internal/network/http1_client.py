"""HTTP/1.1 client that opens a new connection for each call.

Connections are not reused for two reasons. If a reused connection is reset, it is
unknown whether the server has read the call. Bytes that a server sends after an
answer could also be mistaken for the next answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

import h11

from ..exceptions import AnswerBrokenError, ConnectFailedError
from .answer_end import AnswerEnd, Framing, judge
from .connection import Connection, connect

Header = tuple[bytes, bytes]

# Larger than the limit for callers' headers, since runners add a few headers.
MAX_ANSWER_HEAD_BYTES = 65_536
# Seconds from the first byte of a head to its end.
HEAD_TIMEOUT_S = 2.0
MAX_INFORMATIONAL_ANSWERS = 16
STATUSES_WITHOUT_BODY = frozenset({204, 304})
# Status that the parser suggests for input beyond its limit.
HEADERS_TOO_LARGE = 431


@dataclass(frozen=True, slots=True)
class Call:
    """One request to be sent.

    Parameters
    ----------
    method, target : bytes
        Sent unchanged.
    headers : sequence of (name, value)
        Without those that frame the body, such as Content-Length.
    body : bytes
    """

    method: bytes
    target: bytes
    headers: Sequence[Header]
    body: bytes


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer, as received."""

    status: int
    headers: tuple[Header, ...]

    def get(self, name: bytes) -> str | None:
        """Return the first value of a header, given its name in lower case."""
        for found, value in self.headers:
            if found.lower() == name:
                return value.decode("latin-1")
        return None


class Exchange:
    """An answer whose head has arrived and whose body is being read.

    Attributes
    ----------
    head : AnswerHead
    body_bytes : int
        Bytes of the body that have been read.
    events : int
        Complete events that its reader has found in the body.
    """

    def __init__(self, head: AnswerHead, reader: _AnswerReader) -> None:
        self.head = head
        self.body_bytes = 0
        self.events = 0
        self._reader = reader

    @property
    def framing(self) -> Framing:
        """What marks the end of the body."""
        return self._reader.framing or Framing.CONNECTION

    @property
    def end(self) -> AnswerEnd | None:
        """How the body ended; None while it is being read."""
        return self._reader.end

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives.

        Raises
        ------
        AnswerBrokenError
            The body ended before it was complete.
        """
        while True:
            event = await self._reader.next_event()
            if isinstance(event, h11.Data):
                self.body_bytes += len(event.data)
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return

    async def read(self, limit_bytes: int) -> bytes:
        """Return the whole body; raises `AnswerBrokenError` beyond the limit."""
        parts = bytearray()
        async for chunk in self.chunks():
            parts += chunk
            if len(parts) > limit_bytes:
                raise AnswerBrokenError(
                    f"the body exceeds {limit_bytes} bytes", end=AnswerEnd.OVERSIZED
                )
        return bytes(parts)


class _AnswerReader:
    """Reads one answer and notes how its bytes ended."""

    def __init__(
        self,
        parser: h11.Connection,
        connection: Connection,
        method: bytes,
    ) -> None:
        self._parser = parser
        self._connection = connection
        self._method = method
        self._head_ends_at: float | None = None
        self.framing: Framing | None = None
        self.end: AnswerEnd | None = None

    async def head(self) -> AnswerHead:
        """Read the head; informational answers before it are dropped."""
        for _ in range(MAX_INFORMATIONAL_ANSWERS + 1):
            event = await self.next_event()
            if isinstance(event, h11.Response):
                self.framing = _framing(event, self._method)
                headers = tuple(event.headers.raw_items())
                return AnswerHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                message = "the connection ended before an answer"
                raise self._broken(AnswerEnd.CLOSED, message)
        raise self._broken(
            AnswerEnd.OVERSIZED,
            f"more than {MAX_INFORMATIONAL_ANSWERS} informational answers",
        )

    async def next_event(self) -> object:
        """Return the parser's next event; raises `AnswerBrokenError`."""
        while True:
            event = self._parsed_event()
            if isinstance(event, h11.EndOfMessage):
                is_closed = self.framing is Framing.CONNECTION
                self.end = AnswerEnd.CLOSED if is_closed else AnswerEnd.FRAMED
            if event is not h11.NEED_DATA:
                return event
            data = await self._read()
            if not data and self._connection.was_reset():
                raise self._broken(AnswerEnd.RESET, "connection reset")
            self._parser.receive_data(data)

    def _parsed_event(self) -> object:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            message = f"not a valid answer: {error}"
            raise self._broken(self._end_of(error), message) from error

    def _end_of(self, error: h11.RemoteProtocolError) -> AnswerEnd:
        if error.error_status_hint == HEADERS_TOO_LARGE:
            return AnswerEnd.OVERSIZED
        return AnswerEnd.CLOSED if self._connection.at_eof() else AnswerEnd.MALFORMED

    async def _read(self) -> bytes:
        try:
            async with asyncio.timeout_at(self._head_deadline()):
                return await self._connection.read()
        except TimeoutError as error:
            message = f"the head took longer than {HEAD_TIMEOUT_S:g} s"
            raise self._broken(AnswerEnd.SILENT, message) from error
        except OSError as error:
            message = f"connection lost: {error!r}"
            raise self._broken(AnswerEnd.RESET, message) from error

    def _head_deadline(self) -> float | None:
        """Return the loop's time until which a head that has begun must end.

        Before a head, and within a body, only the request's own deadline holds.
        """
        if self.framing is not None or not self._parser.trailing_data[0]:
            self._head_ends_at = None
        elif self._head_ends_at is None:
            self._head_ends_at = asyncio.get_running_loop().time() + HEAD_TIMEOUT_S
        return self._head_ends_at

    def _broken(self, end: AnswerEnd, message: str) -> AnswerBrokenError:
        self.end = end
        return AnswerBrokenError(message, judge(self.framing, end), end)


def _framing(head: h11.Response, method: bytes) -> Framing:
    names = {name for name, _ in head.headers}
    if method == b"HEAD" or head.status_code in STATUSES_WITHOUT_BODY:
        return Framing.EMPTY
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    return Framing.LENGTH if b"content-length" in names else Framing.CONNECTION


@asynccontextmanager
async def exchange(connection: Connection, call: Call) -> AsyncIterator[Exchange]:
    """Send a call on a new connection.

    When the block ends, the connection is closed, or reset if the call is still
    being written.

    Raises
    ------
    ConnectFailedError
        The connection was lost before anything of the call was sent.
    AnswerBrokenError
        The call was sent, at least in part, and has no complete answer.
    """
    drain_task = None
    try:
        parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES
        )
        try:
            connection.write(_serialize(parser, call))
        except RuntimeError as error:
            # uvloop refuses to write to a connection that the server has just reset.
            message = f"the connection was lost before the call was sent: {error}"
            raise ConnectFailedError(message) from error
        # The server may answer before it has read the whole body.
        drain_task = asyncio.ensure_future(_drain(connection))
        answer = _AnswerReader(parser, connection, call.method)
        yield Exchange(await answer.head(), answer)
    finally:
        if drain_task is not None:
            drain_task.cancel()
        connection.abort() if _is_unfinished(drain_task) else connection.close()


async def fetch(
    address: str, call: Call, timeout_s: float, limit_bytes: int = 16_777_216
) -> tuple[AnswerHead, bytes]:
    """Make a call and return the answer's head and whole body.

    Parameters
    ----------
    address : str
        IP address and port.
    call : Call
    timeout_s : float
        Seconds until the whole answer must have arrived.
    limit_bytes : int
        Maximum size of the answer's body.

    Raises
    ------
    ConnectFailedError
        The connection could not be opened, so nothing was sent.
    AnswerBrokenError
        There is no complete answer within the time and the size limit.
    """
    try:
        async with asyncio.timeout(timeout_s):
            async with exchange(await connect(address), call) as answer:
                return answer.head, await answer.read(limit_bytes)
    except TimeoutError as error:
        message = f"no answer within {timeout_s:g} s"
        raise AnswerBrokenError(message, end=AnswerEnd.SILENT) from error


def _serialize(parser: h11.Connection, call: Call) -> bytes:
    headers = list(call.headers)
    if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"Content-Length", str(len(call.body)).encode()))
    request = h11.Request(method=call.method, target=call.target, headers=headers)
    parts = [parser.send(request)]
    if call.body:
        parts.append(parser.send(h11.Data(data=call.body)))
    parts.append(parser.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)


async def _drain(connection: Connection) -> None:
    with suppress(OSError):
        await connection.drain()


def _is_unfinished(drain_task: asyncio.Future[None] | None) -> bool:
    return drain_task is not None and not drain_task.done()
