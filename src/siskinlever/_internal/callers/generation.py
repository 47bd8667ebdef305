"""Serves completions and chat completions."""

from __future__ import annotations

from typing import Any

from sanic import Request
from sanic.response import HTTPResponse, json

from ..models.declaration import Urgency
from ..models.outcome import Answered, Outcome
from ..models.work import ModelRequest
from ..network.sockets import detect_close_of, detect_silence_of
from .bodies import ChatBody, CompletionBody
from .context import host_of
from .drafts import post_draft, wants_draft
from .errors import OUTCOME_HEADER, ending_response
from .requests import (
    REQUEST_ID_HEADER,
    AnyBody,
    find_caller,
    model_request,
    named,
    parse_body,
)
from .sinks import AnswerShape, CallerGoneError, CollectingSink, StreamingSink


async def completions(request: Request) -> HTTPResponse | None:
    """Serve ``/v1/completions``."""
    return await _generate(request, CompletionBody, chat=False)


async def chat_completions(request: Request) -> HTTPResponse | None:
    """Serve ``/v1/chat/completions``."""
    return await _generate(request, ChatBody, chat=True)


async def _generate(
    request: Request, body_type: type[AnyBody], chat: bool
) -> HTTPResponse | None:
    host = host_of(request)
    caller = find_caller(request)
    body = parse_body(request, body_type)
    asked = model_request(request, caller, body)
    detect_silence_of(request.transport)
    detect_close_of(request.transport)
    with host.access.admitted(caller.workspace) as admitted:
        if admitted.is_error():
            return named(ending_response(admitted.error), caller.request_id)
        if asked.model.urgency is Urgency.DEFERRABLE and wants_draft(request):
            return await post_draft(request, asked, chat)
        shape = AnswerShape(caller.request_id, asked.model.name, chat)
        if body.stream:
            return await _stream(request, asked, shape, body.include_usage)
        sink = CollectingSink()
        ending = await host.executor.run(asked, sink)
    if not isinstance(ending, Answered):
        return named(ending_response(ending), caller.request_id)
    headers = {OUTCOME_HEADER: Outcome.ANSWERED.value}
    answer = json(shape.whole(ending, sink.finish_reason), headers=headers)
    return named(answer, caller.request_id)


async def _stream(
    request: Request, asked: ModelRequest, shape: AnswerShape, include_usage: bool
) -> HTTPResponse | None:
    headers: dict[str, str] = {REQUEST_ID_HEADER: asked.request_id}
    resumed = asked.resume_after
    sink = StreamingSink(request, shape, headers, -1 if resumed is None else resumed)
    try:
        ending = await host_of(request).executor.run(asked, sink)
        if isinstance(ending, Answered):
            await sink.finish(ending if include_usage else None)
        elif sink.started:
            await sink.fail(ending)
        else:
            return named(ending_response(ending), asked.request_id)
    except CallerGoneError:
        host_of(request).metrics.count("callers_gone")
        _break_connection(request)
    finally:
        sink.stop_heartbeats()
    return None


def _break_connection(request: Request) -> None:
    transport: Any = request.transport
    if transport is not None:
        transport.abort()
