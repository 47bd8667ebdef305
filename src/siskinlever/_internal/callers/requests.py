"""Validates callers' requests and converts them to internal requests."""

from __future__ import annotations

import re
import uuid
from dataclasses import dataclass

from sanic import Request
from sanic.response import HTTPResponse

from ..configuration.current import STALE_RETRY_S
from ..models.declaration import Declaration, Model, Urgency, Workspace
from ..models.ids import RequestId, WorkspaceName
from ..models.outcome import Reason, Refused
from ..models.work import ModelRequest
from ..utils.clock import Deadline
from ..utils.digests import content_digest
from ..utils.prompts import estimated_tokens
from ..utils.validation import parse_json
from .bodies import DEFAULT_MAX_TOKENS, ChatBody, CompletionBody
from .context import host_of
from .errors import error_response, failure_response

REQUEST_ID_HEADER = "X-Request-Id"
REQUEST_ID_PATTERN = re.compile(r"^[A-Za-z0-9._:-]{1,128}\Z")
NO_CONFIGURATION_RETRY_S = 1.0

AnyBody = CompletionBody | ChatBody


class InvalidRequestError(Exception):
    """Raised for a request that is refused before it runs.

    Parameters
    ----------
    response : HTTPResponse
        The error to be sent to the caller.
    """

    def __init__(self, response: HTTPResponse) -> None:
        super().__init__()
        self.response = response


@dataclass(frozen=True, slots=True)
class Caller:
    """The workspace and id of a request, and the declaration in force.

    Parameters
    ----------
    workspace : Workspace
    request_id : str
    declaration : Declaration
    chose_id : bool
        Whether the caller chose the request's id.
    """

    workspace: Workspace
    request_id: RequestId
    declaration: Declaration
    chose_id: bool


def find_caller(request: Request) -> Caller:
    """Authenticate the caller of a request.

    Raises
    ------
    InvalidRequestError
        The key or the request's id is not valid, or this host has no current
        configuration.
    """
    host = host_of(request)
    declaration = host.current.declaration
    if declaration is None:
        refused = Refused(
            Reason.NO_CONFIGURATION,
            NO_CONFIGURATION_RETRY_S,
            "no configuration in force",
        )
        raise InvalidRequestError(failure_response(refused))
    if host.current.is_stale:
        refused = Refused(
            Reason.STALE_CONFIGURATION,
            STALE_RETRY_S,
            "this host is cut off: a newer configuration may be in force",
        )
        raise InvalidRequestError(failure_response(refused))
    header = request.headers.get("Authorization", "")
    workspace = host.access.workspace(declaration, header)
    if workspace is None:
        raise InvalidRequestError(
            error_response("the key is not known", 401, "invalid_api_key")
        )
    request_id = _request_id(request)
    generated = RequestId(uuid.uuid4().hex)
    return Caller(
        workspace, request_id or generated, declaration, request_id is not None
    )


def parse_body(request: Request, body_type: type[AnyBody]) -> AnyBody:
    """Parse and validate a request's body; raises `InvalidRequestError`."""
    body, faults = parse_json(body_type, request.body)
    if body is None:
        param = faults[0].partition(":")[0].removeprefix("$.")
        raise InvalidRequestError(
            error_response("; ".join(faults), 400, "invalid_body", param)
        )
    return body


def model_request(request: Request, caller: Caller, body: AnyBody) -> ModelRequest:
    """Return the internal request for a call of a model.

    Raises
    ------
    InvalidRequestError
        The model does not exist or the workspace may not use it, the prompt is too
        long, or the Last-Event-ID header is not a number.
    """
    model = _model(caller, body.model)
    _check_size(body.text, model)
    return ModelRequest(
        workspace=WorkspaceName(caller.workspace.name),
        request_id=caller.request_id,
        model=model,
        prompt=body.text,
        max_tokens=min(body.requested_tokens or DEFAULT_MAX_TOKENS, model.max_tokens),
        sampling=body.sampling,
        body_digest=content_digest(request.path.encode() + request.body),
        first_token_due=Deadline(_first_token_within_s(model)),
        resume_after=_resume_after(request),
        generated_id=not caller.chose_id,
    )


def may_use(allowed: tuple[str, ...] | None, name: str) -> bool:
    """Return whether a name is allowed; None allows all names."""
    return allowed is None or name in allowed


def with_request_id(response: HTTPResponse, request_id: RequestId) -> HTTPResponse:
    """Set the request's id as a header of a response and return the response."""
    response.headers[REQUEST_ID_HEADER] = request_id
    return response


def _model(caller: Caller, name: str) -> Model:
    models = caller.declaration.model_by_name
    allowed = sorted(m for m in models if may_use(caller.workspace.models, m))
    if name not in allowed:
        message = f"model: found {name!r}, allowed: {allowed}"
        raise InvalidRequestError(
            error_response(message, 404, "model_not_found", "model")
        )
    return models[name]


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
    if not (value.isascii() and value.isdigit()):
        raise InvalidRequestError(
            error_response(
                f"Last-Event-ID: found {value[:40]!r}, allowed: a number",
                400,
                "invalid_header",
                "Last-Event-ID",
            )
        )
    return int(value)


def _request_id(request: Request) -> RequestId | None:
    value = request.headers.get(REQUEST_ID_HEADER)
    value = value or request.headers.get("Idempotency-Key")
    if value is None:
        return None
    if not REQUEST_ID_PATTERN.match(value):
        message = (
            f"{REQUEST_ID_HEADER}: found {value[:40]!r}, allowed: 1 to 128 letters, "
            "digits or ._:-"
        )
        raise InvalidRequestError(
            error_response(message, 400, "invalid_header", REQUEST_ID_HEADER)
        )
    return RequestId(value)
