"""Stand-in for the host list, in the Prometheus HTTP discovery format.

Usage:
  host-list --address=ADDRESS [--lag=SECONDS]

Options:
  --lag=SECONDS  Seconds until readers see a change [default: 0].
"""

from __future__ import annotations

import time
from collections import deque
from typing import Any

from aiohttp import web

from .faults import Faults


class HostList:
    """State and routes of the list; `PUT /hosts` replaces the list."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._versions: deque[tuple[float, list[Any]]] = deque([(0.0, [])])
        self.faults = Faults()

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application()
        self.faults.add_route(app)
        app.router.add_get("/hosts", self._get)
        app.router.add_put("/hosts", self._put)
        return app

    async def _get(self, request: web.Request) -> web.Response:
        visible_until = time.monotonic() - self._lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= visible_until:
            self._versions.popleft()
        return web.json_response(self._versions[0][1])

    async def _put(self, request: web.Request) -> web.Response:
        self._versions.append((time.monotonic(), await request.json()))
        return web.json_response({})


async def start(arguments: dict[str, Any]) -> tuple[web.Application, Any]:
    """Return the application; there is no background coroutine."""
    return HostList(float(arguments["--lag"])).app(), None
