"""Routes of the callers' interface."""

from __future__ import annotations

import asyncio
import uuid

from sanic import Request, Sanic
from sanic.exceptions import RequestCancelled, SanicException
from sanic.response import HTTPResponse, json

from ..models.outcome import Failed, Reason
from ..network.http_server import App
from .context import CallerContext, host_of
from .drafts import fetch_draft
from .errors import error_response, failure_response
from .generation import chat_completions, completions
from .lookup import lookup_body
from .request_handling import request_handler
from .requests import InvalidRequestError, find_caller, may_use
from .services import service

LOOKUP_LIFETIME_S = 5
SERVER_ERROR = 500
METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


def callers_app(context: CallerContext) -> App:
    """Return the application of the callers' interface."""
    app = Sanic(f"siskinlever_callers_{uuid.uuid4().hex}", configure_logging=False)
    app.ctx.host = context
    app.add_route(request_handler(completions), "/v1/completions", methods=["POST"])
    app.add_route(
        request_handler(chat_completions), "/v1/chat/completions", methods=["POST"]
    )
    app.add_route(fetch_draft, "/v1/drafts/<request_id:str>", methods=["GET"])
    app.add_route(models, "/v1/models", methods=["GET"])
    app.add_route(lookup, "/v1/hosts", methods=["GET"])
    service_handler = request_handler(service)
    app.add_route(
        service_handler, "/v1/services/<name:str>", methods=METHODS, name="service"
    )
    app.add_route(
        service_handler,
        "/v1/services/<name:str>/<path:path>",
        methods=METHODS,
        name="path",
    )
    app.error_handler.add(asyncio.CancelledError, on_cancel)  # type: ignore[arg-type]
    app.exception(Exception)(on_error)
    return app


async def on_error(request: Request, error: BaseException) -> HTTPResponse:
    """Convert an exception to an error response."""
    if isinstance(error, InvalidRequestError):
        return error.response
    if isinstance(error, SanicException) and error.status_code < SERVER_ERROR:
        return error_response(str(error), error.status_code, "invalid_request")
    host_of(request).metrics.count("internal_errors")
    return failure_response(Failed(Reason.INTERNAL, f"internal error: {error!r}"))


async def on_cancel(request: Request, error: asyncio.CancelledError) -> HTTPResponse:
    """Answer a request whose handler was cancelled.

    Sanic cancels the handler when the caller disconnects; any other cancellation
    is an internal error.
    """
    if isinstance(error, RequestCancelled):
        return failure_response(Failed(Reason.CALLER_GONE, "the caller is gone"))
    return await on_error(request, error)


async def models(request: Request) -> HTTPResponse:
    """List the models that the caller's workspace may use."""
    caller = find_caller(request)
    data = [
        {"id": model.name, "object": "model", "created": 0, "owned_by": "siskinlever"}
        for model in caller.declaration.models
        if may_use(caller.workspace.models, model.name)
    ]
    return json({"object": "list", "data": data})


async def lookup(request: Request) -> HTTPResponse:
    """List the hosts that callers may use, those in the caller's zone first."""
    body = lookup_body(
        host_of(request).members, request.args.get("zone"), LOOKUP_LIFETIME_S
    )
    return json(body, headers={"Cache-Control": f"max-age={LOOKUP_LIFETIME_S}"})
