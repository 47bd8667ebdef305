"""Accepts deferred drafts and serves their results."""

from __future__ import annotations

import time
import uuid
from typing import Any

from sanic import Request
from sanic.response import HTTPResponse, json

from ..exceptions import StoreUnavailableError
from ..models.ids import RequestId, WorkspaceName
from ..models.outcome import Answered, Failed, Outcome, Reason, Refused
from ..models.work import ModelRequest
from ..requests.draft_store import DraftBody, DraftResult
from ..utils.clock import MS_PER_S
from .context import host_of
from .errors import OUTCOME_HEADER, error_response, failure_response
from .requests import InvalidRequestError, find_caller, with_request_id
from .sinks import AnswerFormat

POLL_AFTER_S = 1
STORE_RETRY_S = 5.0
STATUS_BY_RUNNING = {True: "running", False: "waiting"}


def prefers_async(request: Request) -> bool:
    """Return whether the caller requests a deferred answer (RFC 7240)."""
    preferences = request.headers.get("Prefer", "").split(",")
    return any(p.strip().lower() == "respond-async" for p in preferences)


async def post_draft(
    request: Request, model_call: ModelRequest, chat: bool
) -> HTTPResponse:
    """Accept a draft; the response is sent only after the draft is stored."""
    due_in_s = model_call.model.answer_within_s
    body = DraftBody(
        workspace=model_call.workspace,
        request_id=model_call.request_id,
        model=model_call.model.name,
        prompt=model_call.prompt,
        max_tokens=model_call.max_tokens,
        sampling=model_call.sampling,
        chat=chat,
        body_digest=model_call.body_digest,
        due_at_ms=int((time.time() + due_in_s) * MS_PER_S),
        nonce=uuid.uuid4().hex,
    )
    accepted = await host_of(request).drafts.accept(body)
    if accepted.is_error():
        return with_request_id(failure_response(accepted.error), model_call.request_id)
    headers = {
        "Location": f"/v1/drafts/{model_call.request_id}",
        "Preference-Applied": "respond-async",
    }
    return _pending(model_call.request_id, "accepted", headers)


async def fetch_draft(request: Request, request_id: str) -> HTTPResponse:
    """Return a draft's result, or its status while there is none."""
    caller = find_caller(request)
    workspace = WorkspaceName(caller.workspace.name)
    draft_id = RequestId(request_id)
    try:
        found = await host_of(request).drafts.fetch(workspace, draft_id)
    except StoreUnavailableError as error:
        failed = Failed(Reason.STORE_UNAVAILABLE, error.message, STORE_RETRY_S)
        return with_request_id(failure_response(failed), draft_id)
    if found is None:
        message = f"no draft {request_id[:128]!r}"
        raise InvalidRequestError(error_response(message, 404, "unknown_draft", "id"))
    if isinstance(found, DraftResult):
        return with_request_id(_result(found), draft_id)
    return _pending(draft_id, STATUS_BY_RUNNING[found])


def _pending(
    request_id: RequestId, status: str, headers: dict[str, str] | None = None
) -> HTTPResponse:
    body = {"id": request_id, "object": "draft", "status": status}
    all_headers = {"Retry-After": str(POLL_AFTER_S), **(headers or {})}
    return with_request_id(json(body, status=202, headers=all_headers), request_id)


def _result(result: DraftResult) -> HTTPResponse:
    if result.outcome is not Outcome.ANSWERED:
        reason = result.reason or Reason.INTERNAL
        failure: Refused | Failed = Failed(reason, result.message)
        return failure_response(failure)
    answer_format = AnswerFormat(
        RequestId(result.request_id), result.model, result.chat
    )
    answered = Answered(result.text, result.prompt_tokens, result.completion_tokens)
    body: dict[str, Any] = answer_format.full_answer(answered, result.finish_reason)
    return json(body, headers={OUTCOME_HEADER: Outcome.ANSWERED.value})
