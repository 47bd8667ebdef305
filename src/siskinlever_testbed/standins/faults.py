"""Faults that a stand-in is told to show, set by ``PUT /faults``."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web


class Faults:
    """The faults now shown.

    ``down``: every call fails with 503. ``delay_s``: every call is late.
    ``lose_answers``: the connection is cut after the effect.
    """

    def __init__(self) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = False
        self.values: dict[str, Any] = {}

    def add_route(self, app: web.Application) -> None:
        """Add the route that sets faults."""
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
