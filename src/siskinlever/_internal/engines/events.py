"""Reads the chunks of one generation from a stream of server-sent events."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from ..exceptions import StreamBrokenError
from ..utils.clock import Deadline
from .base import Chunk

DONE = "[DONE]"
MAX_OUT_OF_ORDER_CHUNKS = 256


class StreamEvent(NamedTuple):
    """One server-sent event; the id is -1 if the event has none."""

    event_id: int
    data: str


async def chunks(
    stream: asyncio.StreamReader | Any,
    engine_request_id: str,
    after: int,
    first_index: int,
    first_timeout_s: float,
    silence_timeout_s: float,
) -> AsyncIterator[Chunk]:
    """Yield the chunks of a generation in order, without gaps or duplicates.

    Duplicate chunks and chunks of other generations are dropped. Chunks that
    arrive out of order are held back until their predecessors have arrived.

    Parameters
    ----------
    stream : aiohttp.StreamReader
    engine_request_id : str
        Must be part of each chunk's id.
    after : int
        Index in the whole answer of the last chunk received, or -1.
    first_index : int
        Index of the generation's first chunk in the whole answer.
    first_timeout_s, silence_timeout_s : float
        Seconds to wait for the first chunk and for each later one. Dropped chunks
        do not extend the time.

    Raises
    ------
    StreamBrokenError
        The stream skipped a chunk, contained a malformed chunk or ended without
        the final marker.
    ValueError
        The id of an event is not a number, or a line is not UTF-8.
    TimeoutError
        No chunk arrived within the time.
    """
    expected = after + 1
    out_of_order: dict[int, Chunk] = {}
    deadline = Deadline(first_timeout_s)
    while True:
        async with asyncio.timeout(deadline.remaining_s):
            event = await _read_event(stream)
        if event.data == DONE:
            if out_of_order:
                raise StreamBrokenError(f"chunk {expected} is missing")
            yield Chunk(expected, "", last=True)
            return
        chunk = _parse_chunk(event, engine_request_id, first_index)
        if chunk is None or chunk.index < expected:
            continue
        out_of_order[chunk.index] = chunk
        if len(out_of_order) > MAX_OUT_OF_ORDER_CHUNKS:
            raise StreamBrokenError(f"chunk {expected} is missing")
        while expected in out_of_order:
            yield out_of_order.pop(expected)
            expected += 1
            deadline = Deadline(silence_timeout_s)


async def _read_event(stream: asyncio.StreamReader | Any) -> StreamEvent:
    """Read one event; comments and fields other than id and data are skipped."""
    event_id = -1
    while True:
        line = await stream.readline()
        if not line:
            raise StreamBrokenError("the stream ended with no final marker")
        name, _, value = line.decode().rstrip("\r\n").partition(":")
        if name == "id":
            event_id = int(value)
        if name == "data":
            return StreamEvent(event_id, value.strip())


def _parse_chunk(
    event: StreamEvent, engine_request_id: str, first_index: int
) -> Chunk | None:
    """Return the chunk of an event, or None if it belongs to another generation."""
    try:
        body = json.loads(event.data)
        if engine_request_id not in body["id"]:
            return None
        choice = body["choices"][0]
        text = str(choice["text"])
        finish_reason = str(choice.get("finish_reason") or "")
    except (ValueError, KeyError, IndexError, TypeError, AttributeError) as error:
        raise StreamBrokenError(f"a chunk is damaged: {error!r}") from error
    return Chunk(event.event_id + first_index, text, False, finish_reason)
