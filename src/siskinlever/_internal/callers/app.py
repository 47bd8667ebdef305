"""Routes of the callers' interface."""

from __future__ import annotations

import re
import uuid
from dataclasses import dataclass
from typing import Any

from sanic import Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import HTTPResponse, json, raw

from ..configuration.current import STALE_RETRY_S, CurrentConfiguration
from ..membership.members import MemberTable
from ..metrics.registry import Metrics
from ..models.declaration import Declaration, Model, Urgency, Workspace
from ..models.ids import RequestId, WorkspaceName
from ..models.outcome import Answered, Failed, Outcome, Reason, Refused
from ..models.work import ModelRequest
from ..network.http_server import App
from ..network.sockets import detect_silence_of
from ..requests.deliveries import Deliveries, ServiceRequest
from ..requests.execution import Executor
from ..services.client import ServiceCall
from ..utils.clock import Deadline
from ..utils.digests import content_digest
from ..utils.prompts import estimated_tokens
from ..utils.validation import parse_json
from .access import Access
from .bodies import DEFAULT_MAX_TOKENS, ChatBody, CompletionBody
from .errors import OUTCOME_HEADER, ending_response, error_response
from .lookup import lookup_body
from .sinks import AnswerShape, CallerGoneError, CollectingSink, StreamingSink

REQUEST_ID_HEADER = "X-Request-Id"
REQUEST_ID_PATTERN = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
LOOKUP_LIFETIME_S = 5
SERVER_ERROR = 500
METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


class InvalidRequestError(Exception):
    """A request that cannot be served as it stands."""

    def __init__(self, response: HTTPResponse) -> None:
        super().__init__()
        self.response = response


@dataclass(frozen=True, slots=True)
class CallerContext:
    """What the routes need of the host."""

    current: CurrentConfiguration
    members: MemberTable
    executor: Executor
    deliveries: Deliveries
    access: Access
    metrics: Metrics


@dataclass(frozen=True, slots=True)
class Caller:
    """Who makes a request, under which id, and what is declared."""

    workspace: Workspace
    request_id: RequestId
    declaration: Declaration


def callers_app(context: CallerContext) -> App:
    """Return the application of the callers' interface."""
    app = Sanic(f"siskinlever_callers_{uuid.uuid4().hex}", configure_logging=False)
    app.ctx.host = context
    app.add_route(completions, "/v1/completions", methods=["POST"])
    app.add_route(chat_completions, "/v1/chat/completions", methods=["POST"])
    app.add_route(models, "/v1/models", methods=["GET"])
    app.add_route(lookup, "/v1/hosts", methods=["GET"])
    app.add_route(service, "/v1/services/<name:str>", methods=METHODS, name="service")
    app.add_route(
        service, "/v1/services/<name:str>/<path:path>", methods=METHODS, name="path"
    )
    app.exception(Exception)(on_error)
    return app


async def on_error(request: Request, error: Exception) -> HTTPResponse:
    """Turn an exception into an error of the interface."""
    if isinstance(error, InvalidRequestError):
        return error.response
    if isinstance(error, SanicException) and error.status_code < SERVER_ERROR:
        return error_response(str(error), error.status_code, "invalid_request")
    _host(request).metrics.count("internal_errors")
    return ending_response(Failed(Reason.INTERNAL, f"internal error: {error!r}"))


async def models(request: Request) -> HTTPResponse:
    """List the models that the caller's workspace may use."""
    caller = _caller(request)
    data = [
        {"id": model.name, "object": "model", "created": 0, "owned_by": "siskinlever"}
        for model in caller.declaration.models
        if _may_use(caller.workspace.models, model.name)
    ]
    return json({"object": "list", "data": data})


async def lookup(request: Request) -> HTTPResponse:
    """List the hosts that callers may use, those of the nearest zone first."""
    body = lookup_body(
        _host(request).members, request.args.get("zone"), LOOKUP_LIFETIME_S
    )
    return json(body, headers={"Cache-Control": f"max-age={LOOKUP_LIFETIME_S}"})


async def completions(request: Request) -> HTTPResponse | None:
    """Serve ``/v1/completions``."""
    return await _generate(request, CompletionBody, chat=False)


async def chat_completions(request: Request) -> HTTPResponse | None:
    """Serve ``/v1/chat/completions``."""
    return await _generate(request, ChatBody, chat=True)


async def service(request: Request, name: str, path: str = "") -> HTTPResponse:
    """Pass a call to a plain service."""
    host = _host(request)
    caller = _caller(request)
    declared = caller.declaration.service_by_name.get(name)
    if declared is None or not _may_use(caller.workspace.services, name):
        raise InvalidRequestError(
            error_response(f"no service {name!r}", 404, "unknown_service", "name")
        )
    call = ServiceCall(
        request.method, path, dict(request.headers), request.body, caller.request_id
    )
    with host.access.admitted(caller.workspace) as admitted:
        if admitted.is_error():
            return ending_response(admitted.error)
        result = await host.deliveries.run(
            ServiceRequest(
                WorkspaceName(caller.workspace.name), caller.request_id, declared, call
            )
        )
    if result.is_error():
        return _named(ending_response(result.error), caller.request_id)
    answer = result.ok
    response = raw(answer.body, answer.status, headers=answer.headers)
    response.headers[OUTCOME_HEADER] = Outcome.ANSWERED.value
    return _named(response, caller.request_id)


async def _generate(
    request: Request, body_type: type[CompletionBody] | type[ChatBody], chat: bool
) -> HTTPResponse | None:
    host = _host(request)
    caller = _caller(request)
    body = _body(request, body_type)
    model_request = _model_request(request, caller, body)
    detect_silence_of(request.transport)
    shape = AnswerShape(caller.request_id, model_request.model.name, chat)
    with host.access.admitted(caller.workspace) as admitted:
        if admitted.is_error():
            return _named(ending_response(admitted.error), caller.request_id)
        if body.stream:
            return await _stream(request, model_request, shape)
        ending = await host.executor.run(model_request, CollectingSink())
    if isinstance(ending, Answered):
        return _named(_answered(shape.whole(ending)), caller.request_id)
    return _named(ending_response(ending), caller.request_id)


async def _stream(
    request: Request, model_request: ModelRequest, shape: AnswerShape
) -> HTTPResponse | None:
    headers: dict[str, str] = {REQUEST_ID_HEADER: model_request.request_id}
    resumed = model_request.resume_after
    sink = StreamingSink(request, shape, headers, -1 if resumed is None else resumed)
    try:
        ending = await _host(request).executor.run(model_request, sink)
        if isinstance(ending, Answered):
            await sink.finish()
        elif sink.started:
            await sink.fail(ending)
        else:
            return _named(ending_response(ending), model_request.request_id)
    except CallerGoneError:
        _host(request).metrics.count("callers_gone")
        _break_connection(request)
    finally:
        sink.stop_heartbeats()
    return None


def _model_request(
    request: Request, caller: Caller, body: CompletionBody | ChatBody
) -> ModelRequest:
    model = caller.declaration.model_by_name.get(body.model)
    if model is None or not _may_use(caller.workspace.models, body.model):
        allowed = sorted(
            name
            for name in caller.declaration.model_by_name
            if _may_use(caller.workspace.models, name)
        )
        message = f"model: found {body.model!r}, allowed: {allowed}"
        raise InvalidRequestError(
            error_response(message, 404, "model_not_found", "model")
        )
    _check_size(body.text, model)
    wanted = body.max_tokens or getattr(body, "max_completion_tokens", None)
    return ModelRequest(
        workspace=WorkspaceName(caller.workspace.name),
        request_id=caller.request_id,
        model=model,
        prompt=body.text,
        max_tokens=min(wanted or DEFAULT_MAX_TOKENS, model.max_tokens),
        sampling=body.sampling,
        body_digest=content_digest(request.path.encode() + request.body),
        first_token_due=Deadline(_first_token_within_s(model)),
        resume_after=_resume_after(request),
        generated_id=_named_id(request) is None,
    )


def _first_token_within_s(model: Model) -> float:
    if model.urgency is Urgency.DEFERRABLE:
        return model.answer_within_s
    return model.first_token_s


def _check_size(text: str, model: Model) -> None:
    tokens = estimated_tokens(text)
    if tokens > model.max_prompt_tokens:
        message = f"prompt: about {tokens} tokens, allowed: {model.max_prompt_tokens}"
        raise InvalidRequestError(
            error_response(message, 400, "context_length_exceeded", "prompt")
        )


def _resume_after(request: Request) -> int | None:
    value = request.headers.get("Last-Event-ID")
    if value is None:
        return None
    if not value.isdigit():
        raise InvalidRequestError(
            error_response(
                f"Last-Event-ID: found {value!r}, allowed: a number",
                400,
                "invalid_header",
                "Last-Event-ID",
            )
        )
    return int(value)


def _body(
    request: Request, body_type: type[CompletionBody] | type[ChatBody]
) -> CompletionBody | ChatBody:
    body, faults = parse_json(body_type, request.body)
    if body is None:
        param = faults[0].partition(":")[0].removeprefix("$.")
        raise InvalidRequestError(
            error_response("; ".join(faults), 400, "invalid_body", param)
        )
    return body


def _caller(request: Request) -> Caller:
    host = _host(request)
    declaration = host.current.declaration
    if declaration is None:
        refused = Refused(Reason.NO_CONFIGURATION, 1.0, "no configuration in force")
        raise InvalidRequestError(ending_response(refused))
    if host.current.is_stale:
        refused = Refused(
            Reason.STALE_CONFIGURATION,
            STALE_RETRY_S,
            "this host is cut off: a newer configuration may be in force",
        )
        raise InvalidRequestError(ending_response(refused))
    header = request.headers.get("Authorization", "")
    workspace = host.access.workspace(declaration, header)
    if workspace is None:
        raise InvalidRequestError(
            error_response("the key is not known", 401, "invalid_api_key")
        )
    return Caller(workspace, _request_id(request), declaration)


def _request_id(request: Request) -> RequestId:
    value = _named_id(request)
    if value is None:
        return RequestId(uuid.uuid4().hex)
    if not REQUEST_ID_PATTERN.match(value):
        message = (
            f"{REQUEST_ID_HEADER}: found {value[:40]!r}, allowed: 1 to 128 letters, "
            "digits or ._:-"
        )
        raise InvalidRequestError(
            error_response(message, 400, "invalid_header", REQUEST_ID_HEADER)
        )
    return RequestId(value)


def _named_id(request: Request) -> str | None:
    value = request.headers.get(REQUEST_ID_HEADER)
    return value or request.headers.get("Idempotency-Key")


def _may_use(allowed: tuple[str, ...] | None, name: str) -> bool:
    return allowed is None or name in allowed


def _answered(body: dict[str, Any]) -> HTTPResponse:
    return json(body, headers={OUTCOME_HEADER: Outcome.ANSWERED.value})


def _named(response: HTTPResponse, request_id: RequestId) -> HTTPResponse:
    response.headers[REQUEST_ID_HEADER] = request_id
    return response


def _break_connection(request: Request) -> None:
    transport: Any = request.transport
    if transport is not None:
        transport.abort()


def _host(request: Request) -> CallerContext:
    context = request.app.ctx.host
    assert isinstance(context, CallerContext)
    return context
