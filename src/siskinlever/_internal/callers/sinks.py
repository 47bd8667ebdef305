"""Sends answers to callers, whole or as streams of server-sent events."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from sanic import Request

from ..engines.base import Chunk
from ..exceptions import SiskinleverError
from ..models.ids import RequestId
from ..models.outcome import Answered, Failed, Refused
from .errors import failure_body

HEARTBEAT_PERIOD_S = 1.0
SEND_TIMEOUT_S = 3.0


class CallerGoneError(SiskinleverError):
    """Raised when the caller has disconnected or has read nothing for too long."""


class AnswerFormat:
    """The JSON format of one answer.

    Parameters
    ----------
    request_id, model : str
    chat : bool
        Whether the format is that of ``/v1/chat/completions`` instead of
        ``/v1/completions``.
    """

    def __init__(self, request_id: RequestId, model: str, chat: bool) -> None:
        self._common = {
            "id": request_id,
            "created": int(time.time()),
            "model": model,
        }
        self._chat = chat

    def chunk(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        """Return the body of one stream event."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if not self._chat:
            choice |= {"text": text, "logprobs": None}
            return {**self._common, "object": "text_completion", "choices": [choice]}
        choice["delta"] = {"role": "assistant", "content": text} if text else {}
        return {**self._common, "object": "chat.completion.chunk", "choices": [choice]}

    def full_answer(
        self, answered: Answered, finish_reason: str = "stop"
    ) -> dict[str, Any]:
        """Return the body of an answer that is not streamed."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": answered.text}
            kind = "chat.completion"
        else:
            choice |= {"text": answered.text, "logprobs": None}
            kind = "text_completion"
        usage = _usage(answered)
        return {**self._common, "object": kind, "choices": [choice], "usage": usage}

    def usage(self, answered: Answered) -> dict[str, Any]:
        """Return the body of the stream event that contains the token counts."""
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        usage = _usage(answered)
        return {**self._common, "object": kind, "choices": [], "usage": usage}


def _usage(answered: Answered) -> dict[str, int]:
    return {
        "prompt_tokens": answered.prompt_tokens,
        "completion_tokens": answered.completion_tokens,
        "total_tokens": answered.prompt_tokens + answered.completion_tokens,
    }


class CollectingSink:
    """Sink for an answer that is sent whole once it is complete."""

    def __init__(self) -> None:
        self.finish_reason = "stop"

    async def send(self, chunk: Chunk) -> None:
        """Store the finish reason; the executor collects the text."""
        self.finish_reason = chunk.finish_reason or self.finish_reason


class StreamingSink:
    """Sends each chunk of an answer as an event.

    The response's status and headers are sent with the first chunk, so that a
    refusal before it can be sent as a plain HTTP error.

    Parameters
    ----------
    request : Request
    answer_format : AnswerFormat
    headers : dict
        Headers of the response.
    skip_through : int
        Chunks up to this index are not sent, since the caller has them; -1 for
        none.
    """

    def __init__(
        self,
        request: Request,
        answer_format: AnswerFormat,
        headers: dict[str, str],
        skip_through: int = -1,
    ) -> None:
        self._request = request
        self._answer_format = answer_format
        self._headers = headers
        self._skip_through = skip_through
        self._finish_reason = "stop"
        self._response: Any = None
        self._heartbeats: asyncio.Task[None] | None = None

    @property
    def started(self) -> bool:
        return self._response is not None

    async def send(self, chunk: Chunk) -> None:
        """Send one chunk; raises `CallerGoneError`."""
        self._finish_reason = chunk.finish_reason or self._finish_reason
        if chunk.index <= self._skip_through:
            return
        data = json.dumps(self._answer_format.chunk(chunk.text, None))
        await self._write(f"id: {chunk.index}\ndata: {data}\n\n")

    async def finish(self, totals: Answered | None = None) -> None:
        """Send the final marker; without it an answer is not complete.

        Parameters
        ----------
        totals : Answered, default=None
            If given, an event with its token counts precedes the marker.

        Raises
        ------
        CallerGoneError
        """
        events = [self._answer_format.chunk("", self._finish_reason)]
        if totals is not None:
            events.append(self._answer_format.usage(totals))
        data = "".join(f"data: {json.dumps(event)}\n\n" for event in events)
        await self._write(f"{data}data: [DONE]\n\n")
        await self._close()

    async def fail(self, failure: Refused | Failed) -> None:
        """Send an error as the last event, without the final marker."""
        await self._write(
            f"event: error\ndata: {json.dumps(failure_body(failure))}\n\n"
        )
        await self._close()

    async def _open(self) -> Any:
        if self._response is None:
            self._response = await self._request.respond(
                content_type="text/event-stream", headers=self._headers
            )
            self._heartbeats = asyncio.create_task(self._send_heartbeats())
        return self._response

    async def _write(self, text: str) -> None:
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                response = await self._open()
                await response.send(text)
        except (TimeoutError, ConnectionError) as error:
            raise CallerGoneError(f"the caller disconnected: {error!r}") from error

    async def _send_heartbeats(self) -> None:
        """Send comments periodically, so that both ends detect a dead connection."""
        assert self._response is not None
        while True:
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
            await self._response.send(": heartbeat\n\n")

    async def _close(self) -> None:
        self.stop_heartbeats()
        if self._response is not None:
            await self._response.eof()

    def stop_heartbeats(self) -> None:
        if self._heartbeats is not None:
            self._heartbeats.cancel()
