"""Where new requests go: to be served here, or on to a peer if this host leaves."""

from __future__ import annotations

import functools
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

from sanic import Request
from sanic.response import HTTPResponse

Handler = Callable[..., Coroutine[Any, Any, HTTPResponse | None]]


class InProgress:
    """Counts the requests that this host serves, to wait for their end."""

    def __init__(self) -> None:
        self.count = 0

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count one request for the length of a block."""
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1


def arrival(handler: Handler) -> Handler:
    """Return a handler that passes requests on while this host is leaving."""

    @functools.wraps(handler)
    async def serve(
        request: Request, *args: object, **kwargs: object
    ) -> HTTPResponse | None:
        host = request.app.ctx.host
        if host.forwarder.is_due(request):
            forwarded, response = await host.forwarder.forward(request)
            if forwarded:
                return response  # type: ignore[no-any-return]
        with host.in_progress.request():
            return await handler(request, *args, **kwargs)

    return serve
