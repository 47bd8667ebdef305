"""Forwards a runner's answer to the caller."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

from ..exceptions import AnswerBrokenError
from ..network.answer_end import AnswerEnd, Verdict, judge
from ..network.event_stream import EventStreamScanner
from ..network.http1_client import AnswerHead, Exchange, Header
from ..network.http1_server import CallerConnection
from ..platform import wire
from ..utils.clock import monotonic

# Answers up to this size are read completely before anything is sent to the caller,
# so that another runner can still be tried if the answer breaks off.
MAX_BUFFERED_BYTES = 65_536


class PlainRelay:
    """Forwards an answer that is no stream.

    The first server error is kept while other runners are tried.

    Parameters
    ----------
    connection : CallerConnection
    close : bool
        Whether to close the connection after the answer.
    """

    def __init__(self, connection: CallerConnection, close: bool) -> None:
        self._connection = connection
        self._close = close
        self._kept: _KeptError | None = None

    async def copy(self, runner: str, answer: Exchange) -> bool:
        """Forward a runner's answer; return False if it is an error that was kept.

        Raises
        ------
        AnswerBrokenError
            Raised when the runner's answer is incomplete, or a server error larger
            than `MAX_BUFFERED_BYTES`. If `connection.answer_started` is not set,
            nothing was sent to the caller.
        CallerGoneError
            Raised when the caller closed its connection.
        """
        if answer.head.status >= 500 and self._kept is None:
            body = await answer.read(MAX_BUFFERED_BYTES)
            self._kept = _KeptError(runner, answer.head, body)
            return False
        await self._forward(answer)
        return True

    async def send_kept_error(self) -> str | None:
        """Send the error that was kept, unless an answer has started.

        Returns
        -------
        runner : str or None
            Name of the runner that gave it; None if nothing was sent.

        Raises
        ------
        CallerGoneError
            Raised when the caller closed its connection.
        """
        kept = self._kept
        if kept is None or self._connection.answer_started:
            return None
        await self._send(kept.head, kept.body)
        return kept.runner

    async def _forward(self, answer: Exchange) -> None:
        body = bytearray()
        chunks = answer.chunks()
        async for chunk in chunks:
            body += chunk
            if len(body) > MAX_BUFFERED_BYTES:
                await _relay_large(
                    answer.head, bytes(body), chunks, self._connection, self._close
                )
                return
        await self._send(answer.head, bytes(body))

    async def _send(self, head: AnswerHead, body: bytes) -> None:
        headers = wire.answer_headers(head)
        await self._connection.answer(head.status, headers, body, self._close)


@dataclass(frozen=True, slots=True)
class _KeptError:
    runner: str
    head: AnswerHead
    body: bytes


async def _relay_large(
    head: AnswerHead,
    initial_bytes: bytes,
    remaining_chunks: AsyncIterator[bytes],
    connection: CallerConnection,
    close: bool,
) -> None:
    length = wire.content_length(head)
    headers: list[Header] = wire.answer_headers(head)
    if length is not None:
        headers.append((b"Content-Length", str(length).encode()))
    await connection.start_answer(head.status, headers, close)
    await connection.write(initial_bytes)
    async for chunk in remaining_chunks:
        await connection.write(chunk)
    await connection.end_answer()


class StreamRelay:
    """Forwards the events of a stream, which another runner may continue.

    Parameters
    ----------
    connection : CallerConnection
    only_complete_events : bool
        Whether to buffer an event until it is complete, so that another runner can
        continue after the last complete event.

    Attributes
    ----------
    started : bool
        Whether the head of the answer was sent to the caller.
    """

    def __init__(
        self, connection: CallerConnection, only_complete_events: bool
    ) -> None:
        self._connection = connection
        self._only_complete_events = only_complete_events
        self._scanner = EventStreamScanner()
        self.started = False
        self._media_type = ""
        self.last_event: str | None = None
        self.events_sent = 0
        # Seconds for which the caller's connection took no more bytes.
        self.write_s = 0.0

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes of the current runner end within an event."""
        return self._scanner.is_inside_event

    def is_continued_by(self, head: AnswerHead) -> bool:
        """Return whether the body of another answer may follow what was sent."""
        return head.status == 200 and wire.media_type(head) == self._media_type

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
            Raised when the runner's answer breaks off or ends within an event,
            whatever its framing says.
        CallerGoneError
            Raised when the caller closed its connection.
        """
        self._scanner = EventStreamScanner()
        async for chunk in answer.chunks():
            await self._start(answer, close)
            await self._forward(chunk)
            answer.events = self._scanner.events
        end = answer.end or AnswerEnd.FRAMED
        if judge(answer.framing, end, self.is_inside_event) is not Verdict.WHOLE:
            raise AnswerBrokenError("the stream ended within an event", end=end)
        await self._start(answer, close)
        if self._only_complete_events:
            await self._connection.write(self._scanner.remainder)
        await self._connection.end_answer()

    async def _start(self, answer: Exchange, close: bool) -> None:
        if not self.started:
            self.started = True
            self._media_type = wire.media_type(answer.head)
            headers = wire.answer_headers(answer.head)
            await self._connection.start_answer(answer.head.status, headers, close)

    async def _forward(self, chunk: bytes) -> None:
        events_before = self._scanner.events
        complete = self._scanner.feed(chunk)
        self.events_sent += self._scanner.events - events_before
        self.last_event = self._scanner.last_event or self.last_event
        began_at = monotonic()
        await self._connection.write(complete if self._only_complete_events else chunk)
        self.write_s += monotonic() - began_at
