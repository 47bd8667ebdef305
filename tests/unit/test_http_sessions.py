"""A session without pooling sends each call only once."""

from __future__ import annotations

import aiohttp
import pytest
from aiohttp import web

from siskinlever._internal.network.sessions import http_session

RUNS = web.AppKey("runs", list)


async def _record_and_reset(request):
    request.app[RUNS].append(request.method)
    request.transport.abort()
    return web.Response()


@pytest.fixture
async def resetting_service():
    """Run a service that records each request and resets the connection."""
    app = web.Application()
    app[RUNS] = []
    app.router.add_route("*", "/proof", _record_and_reset)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0]
    yield f"http://{host}:{port}/proof", app[RUNS]
    await runner.cleanup()


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET", "POST"])
async def test_client_does_not_resend(resetting_service, method):
    url, runs = resetting_service
    async with http_session(pooled=False) as session:
        with pytest.raises(aiohttp.ClientError):
            await session.request(method, url, data=b"proof 17")
    assert runs == [method]
