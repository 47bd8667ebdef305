"""Stand-in for a runner of a plain service.

Usage:
  service --address=ADDRESS --name=NAME [--record=FILE] [--delay=SECONDS]

Options:
  --delay=SECONDS  Duration of a call [default: 0.02].
"""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web

from .faults import Faults
from .record import Record


class Service:
    """Routes of the service.

    Faults in addition to those common to all stand-ins: `leaving` (reported by
    the health check) and `run_s` (seconds that a call runs).
    """

    def __init__(self, name: str, delay_s: float, record: Record) -> None:
        self._name = name
        self._delay_s = delay_s
        self._record = record
        self.faults = Faults()

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=8 << 20)
        self.faults.add_route(app)
        app.router.add_get("/health", self._health)
        app.router.add_route("*", "/{path:.*}", self._run)
        return app

    async def _health(self, request: web.Request) -> web.Response:
        leaving = bool(self.faults.values.get("leaving", False))
        return web.json_response({"leaving": leaving})

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.read()
        request_id = request.headers.get("X-Request-Id", "")
        self._record.add("ran", runner=self._name, request_id=request_id)
        await asyncio.sleep(float(self.faults.values.get("run_s", self._delay_s)))
        answer = {
            "runner": self._name,
            "request_id": request_id,
            "path": request.path,
            "bytes": len(body),
            "padding": "x" * int(request.query.get("padding", "0")),
        }
        return web.json_response(answer)


async def start(arguments: dict[str, Any]) -> tuple[web.Application, Any]:
    """Return the application; there is no background coroutine."""
    record = Record(arguments["--record"] or "")
    service = Service(arguments["--name"], float(arguments["--delay"]), record)
    return service.app(), None
