"""An engine writes an earlier refusal once more on a connection that was kept."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from siskinlever._internal.engines.base import EngineCall
from siskinlever._internal.engines.vllm import VllmEngine
from siskinlever._internal.exceptions import EngineBusyError, OrderRefusedError
from siskinlever._internal.network.sessions import http_session

REFUSAL = b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"
PREFILLED = b'{"kv_transfer_params": {}, "usage": {"prompt_tokens": 7}, "choices": []}'
ORDERED = b"{}"


@asynccontextmanager
async def refusing_engine(delay_s: float, body: bytes):
    """Refuse the first request twice, the second time after a delay."""
    received = []

    async def serve(reader, writer):
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            length = next(
                int(line.split(b":")[1])
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"content-length:")
            )
            await reader.readexactly(length)
            received.append(head)
            if len(received) == 1:
                writer.write(REFUSAL)
                await asyncio.sleep(delay_s)
                writer.write(REFUSAL)
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
                writer.write(b"Content-Length: %d\r\n\r\n" % len(body) + body)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with http_session(pooled=False) as session:
        yield VllmEngine(session, f"{host}:{port}"), received
    server.close()


def call() -> EngineCall:
    return EngineCall("e-1", "m", "prompt", 10, 0, {})


@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.1])
async def test_refusal_of_an_earlier_prefill_is_not_the_answer_to_the_next(delay_s):
    async with refusing_engine(delay_s, PREFILLED) as (engine, received):
        with pytest.raises(EngineBusyError):
            await engine.prefill(call(), 1.0)
        await asyncio.sleep(0.05)
        result = await engine.prefill(call(), 1.0)
    assert result.prompt_tokens == 7 and len(received) == 2


@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.1])
async def test_refusal_of_an_earlier_order_is_not_the_answer_to_the_next(delay_s):
    async with refusing_engine(delay_s, ORDERED) as (engine, received):
        with pytest.raises((EngineBusyError, OrderRefusedError)):
            await engine.order("load", {}, 1)
        await asyncio.sleep(0.05)
        await engine.order("load", {}, 1)
    assert len(received) == 2
