"""Malformed HTTP answers of engines and services raise errors of the client."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from siskinlever._internal.engines.base import EngineCall, PrefillResult
from siskinlever._internal.engines.vllm import VllmEngine
from siskinlever._internal.exceptions import EngineError, ServiceCallError
from siskinlever._internal.network.sessions import http_session
from siskinlever._internal.services.client import ServiceCall, ServiceClient

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ANSWERS = {
    "chunk size that is no number": CHUNKED + b"zz\r\nabc\r\n0\r\n\r\n",
    "long header": HEAD + b"X-Long: " + b"x" * 200_000 + b"\r\n\r\n",
    "no HTTP": b"\x00\x01 this is no answer\r\n\r\n",
    "truncated": HEAD + b"Content-Length: 100\r\n\r\n{}",
}
CALL = EngineCall("r-1", "m", "prompt", 4, 0, {})


LONG_EVENT = HEAD + b"Content-Length: 1000006\r\n\r\n" + b"data: " + b"x" * 1_000_000


@asynccontextmanager
async def server_answering(data: bytes):
    """Run a server that sends the same bytes to each request; yield its address."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"


@pytest.fixture(params=ANSWERS.values(), ids=ANSWERS)
async def address(request):
    """Run a server that sends a malformed answer to each request."""
    async with server_answering(request.param) as address:
        yield address


async def test_engine_calls_raise_engine_errors(address):
    async with http_session(pooled=False) as session:
        engine = VllmEngine(session, address)
        with pytest.raises(EngineError):
            await engine.prefill(CALL, 2.0)
        with pytest.raises(EngineError):
            async for _ in engine.decode(CALL, PrefillResult({}, 1, 0)):
                pass
        with pytest.raises(EngineError):
            await engine.load()


async def test_event_that_is_too_long_breaks_the_stream():
    async with server_answering(LONG_EVENT) as address, http_session(pooled=False) as s:
        with pytest.raises(EngineError):
            async for _ in VllmEngine(s, address).decode(CALL, PrefillResult({}, 1, 0)):
                pass


async def test_service_calls_raise_service_errors(address):
    async with http_session(pooled=False) as session:
        client = ServiceClient(session)
        call = ServiceCall("GET", "x", {}, b"", "r-1")
        with pytest.raises(ServiceCallError):
            await client.call(address, call, 2.0)
