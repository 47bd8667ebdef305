"""Faults that a stand-in injects, set by `PUT /faults`."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web


class Faults:
    """Active faults.

    `down`: every call fails with 503. `delay_s`: every call is delayed by this
    number of seconds. `lose_answers`: the connection is aborted after a call
    other than GET has taken effect. `values` holds all faults that were set,
    including those that only one kind of stand-in supports.
    """

    def __init__(self) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = False
        self.values: dict[str, Any] = {}

    def add_route(self, app: web.Application) -> None:
        """Add the route that sets faults and the middleware that injects them."""
        app.router.add_put("/faults", self._set)
        app.middlewares.append(self._middleware)

    async def _set(self, request: web.Request) -> web.Response:
        self.values = await request.json()
        self.down = bool(self.values.get("down", False))
        self.delay_s = float(self.values.get("delay_s", 0.0))
        self.lose_answers = bool(self.values.get("lose_answers", False))
        return web.json_response({})

    @web.middleware
    async def _middleware(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path == "/faults":
            return await handler(request)  # type: ignore[no-any-return]
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.down:
            return web.json_response({"error": "down"}, status=503)
        response: web.StreamResponse = await handler(request)
        if self.lose_answers and request.method != "GET":
            assert request.transport is not None
            request.transport.abort()
        return response
