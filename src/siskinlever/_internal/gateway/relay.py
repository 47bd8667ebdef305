"""Forwards a runner's answer to the caller."""

from __future__ import annotations

from dataclasses import dataclass

from ..exceptions import AnswerBrokenError
from ..network.event_stream import EventStreamScanner
from ..network.http1_client import AnswerHead, Exchange, Header
from ..network.http1_server import CallerConnection
from ..platform import wire

# Answers up to this size are read completely before anything is sent to the caller,
# so that another runner can still be tried if the answer breaks off.
MAX_BUFFERED_BYTES = 65_536
EVENT_END = b"\n\n"
ID_FIELD = b"id:"


async def relay_plain(
    answer: Exchange, connection: CallerConnection, close: bool
) -> int:
    """Forward an answer to the caller; return the size of its body in bytes.

    Raises
    ------
    AnswerBrokenError
        Raised when the runner's answer is incomplete. If
        `connection.answer_started` is not set, nothing was sent to the caller.
    CallerGoneError
        Raised when the caller closed its connection.
    """
    body = bytearray()
    chunks = answer.chunks()
    async for chunk in chunks:
        body += chunk
        if len(body) > MAX_BUFFERED_BYTES:
            return await _relay_large(
                answer.head, bytes(body), chunks, connection, close
            )
    headers = wire.answer_headers(answer.head)
    await connection.answer(answer.head.status, headers, bytes(body), close)
    return len(body)


@dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """A complete answer that is kept while another runner is tried.

    Parameters
    ----------
    runner : str
        Name of the runner that answered.
    head : AnswerHead
    body : bytes
    """

    runner: str
    head: AnswerHead
    body: bytes

    @classmethod
    async def read(cls, runner: str, answer: Exchange) -> BufferedAnswer:
        """Read an answer completely.

        Raises
        ------
        AnswerBrokenError
            Raised when the runner's answer is incomplete or larger than
            `MAX_BUFFERED_BYTES`.
        """
        return cls(runner, answer.head, await answer.read(MAX_BUFFERED_BYTES))

    async def write_to(self, connection: CallerConnection, close: bool) -> None:
        """Send the answer to the caller.

        Raises
        ------
        CallerGoneError
            Raised when the caller closed its connection.
        """
        headers = wire.answer_headers(self.head)
        await connection.answer(self.head.status, headers, self.body, close)


async def _relay_large(
    head: AnswerHead,
    initial_bytes: bytes,
    remaining_chunks: object,
    connection: CallerConnection,
    close: bool,
) -> int:
    length = wire.content_length(head)
    headers: list[Header] = wire.answer_headers(head)
    if length is not None:
        headers.append((b"Content-Length", str(length).encode()))
    await connection.start_answer(head.status, headers, close)
    await connection.write(initial_bytes)
    size = len(initial_bytes)
    async for chunk in remaining_chunks:  # type: ignore[attr-defined]
        await connection.write(chunk)
        size += len(chunk)
    await connection.end_answer()
    return size


class StreamRelay:
    """Forwards the events of a stream, which another runner may continue.

    Parameters
    ----------
    connection : CallerConnection
    only_complete_events : bool
        Whether to buffer an event until it is complete, so that another runner can
        continue after the last complete event.
    """

    def __init__(
        self, connection: CallerConnection, only_complete_events: bool
    ) -> None:
        self._connection = connection
        self._only_complete_events = only_complete_events
        self._partial = b""
        self._scanner = EventStreamScanner()
        self.last_event: str | None = None
        self.bytes_sent = 0
        self.events_sent = 0

    @property
    def started(self) -> bool:
        """Whether the head of the answer was sent to the caller."""
        return self._connection.answer_started

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes of the current runner end within an event."""
        return self._scanner.is_inside_event

    async def copy(self, answer: Exchange, close: bool) -> None:
        """Forward one runner's answer until the stream ends.

        Parameters
        ----------
        answer : Exchange
        close : bool
            Whether to close the connection after the answer.

        Raises
        ------
        AnswerBrokenError
            Raised when the runner's answer breaks off or ends within an event.
        CallerGoneError
            Raised when the caller closed its connection.
        """
        self._partial = b""
        self._scanner = EventStreamScanner()
        async for chunk in answer.chunks():
            self._scanner.feed(chunk)
            if not self.started:
                headers = wire.answer_headers(answer.head)
                await self._connection.start_answer(answer.head.status, headers, close)
            await self._forward(chunk)
        if self._partial:
            raise AnswerBrokenError("the stream ended within an event")
        if not self.started:
            headers = wire.answer_headers(answer.head)
            await self._connection.start_answer(answer.head.status, headers, close)
        await self._connection.end_answer()

    async def _forward(self, chunk: bytes) -> None:
        if self._only_complete_events:
            complete, separator, self._partial = (self._partial + chunk).rpartition(
                EVENT_END
            )
            chunk = complete + separator
            self._note_last_event(chunk)
        self.bytes_sent += len(chunk)
        self.events_sent += chunk.count(EVENT_END)
        await self._connection.write(chunk)

    def _note_last_event(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(ID_FIELD):
                self.last_event = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
