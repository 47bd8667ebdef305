"""Errors in the format of the OpenAI interface, with the outcome as a field."""

from __future__ import annotations

import math
from typing import Any

from sanic.response import HTTPResponse, json

from ..models.outcome import Failed, Outcome, Reason, Refused
from ..utils.clock import MS_PER_S

OUTCOME_HEADER = "X-Siskinlever-Outcome"

STATUS_BY_REASON = {
    Reason.OVERLOADED: 503,
    Reason.TOO_LATE: 503,
    Reason.TOO_LARGE: 413,
    Reason.NO_RUNNER: 503,
    Reason.NO_CONFIGURATION: 503,
    Reason.STALE_CONFIGURATION: 503,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.RATE_LIMITED: 429,
    Reason.HOST_LEAVING: 503,
    Reason.DUPLICATE: 409,
    Reason.TAKEN_OVER: 409,
    Reason.ALREADY_ANSWERED: 409,
    Reason.NOT_RESUMABLE: 409,
    Reason.CLAIM_EXISTS: 409,
    Reason.ENGINE_FAILED: 502,
    Reason.SERVICE_FAILED: 502,
    Reason.CALLER_GONE: 499,
    Reason.INTERNAL: 500,
}
TYPE_BY_STATUS = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    408: "timeout_error",
    409: "conflict_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
}


def error_body(
    message: str,
    status: int,
    code: str,
    outcome: Outcome,
    param: str | None = None,
) -> dict[str, Any]:
    """Return the body of an error."""
    return {
        "error": {
            "message": message,
            "type": TYPE_BY_STATUS.get(status, "server_error"),
            "param": param,
            "code": code,
            "outcome": outcome.value,
        }
    }


def error_response(
    message: str,
    status: int,
    code: str,
    param: str | None = None,
) -> HTTPResponse:
    """Return the error for a request that is not valid and was therefore not run."""
    body = error_body(message, status, code, Outcome.NOT_RUN, param)
    return json(body, status, headers={OUTCOME_HEADER: Outcome.NOT_RUN.value})


def failure_body(failure: Refused | Failed) -> dict[str, Any]:
    """Return the error body of a failure.

    It contains the outcome and the retry delay in seconds, since an error within a
    stream has no headers.
    """
    status = STATUS_BY_REASON[failure.reason]
    body = error_body(failure.message, status, failure.reason.value, failure.outcome)
    body["error"]["retry_after_s"] = failure.retry_after_s
    return body


def failure_response(failure: Refused | Failed) -> HTTPResponse:
    """Return the error for a request that ended without an answer."""
    headers = {
        OUTCOME_HEADER: failure.outcome.value,
        "Retry-After": str(math.ceil(failure.retry_after_s)),
        "Retry-After-Ms": str(int(failure.retry_after_s * MS_PER_S)),
    }
    status = STATUS_BY_REASON[failure.reason]
    return json(failure_body(failure), status, headers=headers)
