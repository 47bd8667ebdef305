"""Authenticates callers, receives request bodies, and forwards while leaving."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

from sanic import Request
from sanic.exceptions import RequestTimeout
from sanic.response import HTTPResponse

from ..models.outcome import Reason, Refused
from ..network.http_server import MAX_BODY_BYTES, RECEIVE_TIMEOUT_S
from .errors import failure_response
from .requests import find_caller

RECEIVE_RETRY_S = 1.0

Handler = Callable[..., Coroutine[Any, Any, HTTPResponse | None]]


def request_handler(handler: Handler) -> Handler:
    """Return a handler that receives a request and then serves or forwards it.

    The request is forwarded to a peer while this host is leaving. A body is
    received only from callers with a known key, and within `RECEIVE_TIMEOUT_S`.
    """

    @functools.wraps(handler)
    async def serve(
        request: Request, *args: object, **kwargs: object
    ) -> HTTPResponse | None:
        host = request.app.ctx.host
        find_caller(request)
        with host.receive_budget.reserved(_max_body_size(request)) as reserved:
            if not reserved:
                return failure_response(_too_many_bodies())
            await _receive(request)
        if host.forwarder.must_forward(request):
            forwarded, response = await host.forwarder.forward(request)
            if forwarded:
                return response  # type: ignore[no-any-return]
        with host.in_progress.request():
            return await handler(request, *args, **kwargs)

    # Otherwise Sanic receives the body before it calls the handler, with no limit
    # on the time.
    serve.is_stream = True  # type: ignore[attr-defined]
    return serve


async def _receive(request: Any) -> None:
    stream = request.stream
    stream.request_max_size = MAX_BODY_BYTES
    try:
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            await request.receive_body()
    except TimeoutError as error:
        # Stop reading from a caller that is too slow.
        stream.keep_alive = False
        stream.request_body = None
        raise RequestTimeout("the request's body did not arrive in time") from error


def _max_body_size(request: Request) -> int:
    """Return an upper bound on the size of a request's body, in bytes."""
    stream: Any = request.stream
    if not stream.request_body:
        return 0
    length = request.headers.get("Content-Length", "")
    is_known = length.isascii() and length.isdigit()
    return min(int(length), MAX_BODY_BYTES) if is_known else MAX_BODY_BYTES


def _too_many_bodies() -> Refused:
    message = "too many bodies are being received"
    return Refused(Reason.OVERLOADED, RECEIVE_RETRY_S, message)
