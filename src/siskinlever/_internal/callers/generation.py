"""Serves completions and chat completions."""

from __future__ import annotations

from typing import Any

from sanic import Request
from sanic.response import HTTPResponse, json

from ..models.declaration import Urgency
from ..models.outcome import Answered, Outcome
from ..models.work import ModelRequest
from ..network.sockets import enable_transport_keepalive, keep_reading
from .bodies import ChatBody, CompletionBody
from .context import host_of
from .drafts import post_draft, prefers_async
from .errors import OUTCOME_HEADER, failure_response
from .requests import (
    REQUEST_ID_HEADER,
    AnyBody,
    find_caller,
    model_request,
    parse_body,
    with_request_id,
)
from .sinks import AnswerFormat, CallerGoneError, CollectingSink, StreamingSink


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
    model_call = model_request(request, caller, body)
    enable_transport_keepalive(request.transport)
    keep_reading(request.transport)
    with host.access.admitted(caller.workspace) as admitted:
        if admitted.is_error():
            return with_request_id(failure_response(admitted.error), caller.request_id)
        if model_call.model.urgency is Urgency.DEFERRABLE and prefers_async(request):
            return await post_draft(request, model_call, chat)
        answer_format = AnswerFormat(caller.request_id, model_call.model.name, chat)
        if body.stream:
            return await _stream(request, model_call, answer_format, body.include_usage)
        sink = CollectingSink()
        request_result = await host.executor.run(model_call, sink)
    if not isinstance(request_result, Answered):
        return with_request_id(failure_response(request_result), caller.request_id)
    headers = {OUTCOME_HEADER: Outcome.ANSWERED.value}
    answer = json(
        answer_format.full_answer(request_result, sink.finish_reason), headers=headers
    )
    return with_request_id(answer, caller.request_id)


async def _stream(
    request: Request,
    model_call: ModelRequest,
    answer_format: AnswerFormat,
    include_usage: bool,
) -> HTTPResponse | None:
    headers: dict[str, str] = {REQUEST_ID_HEADER: model_call.request_id}
    resume_after = model_call.resume_after
    sink = StreamingSink(
        request, answer_format, headers, -1 if resume_after is None else resume_after
    )
    try:
        request_result = await host_of(request).executor.run(model_call, sink)
        if isinstance(request_result, Answered):
            await sink.finish(request_result if include_usage else None)
        elif sink.started:
            await sink.fail(request_result)
        else:
            return with_request_id(
                failure_response(request_result), model_call.request_id
            )
    except CallerGoneError:
        host_of(request).metrics.count("callers_gone")
        _abort_connection(request)
    finally:
        sink.stop_heartbeats()
    return None


def _abort_connection(request: Request) -> None:
    transport: Any = request.transport
    if transport is not None:
        transport.abort()
