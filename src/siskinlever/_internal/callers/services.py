"""Forwards calls to plain services."""

from __future__ import annotations

from sanic import Request
from sanic.response import HTTPResponse, raw

from ..models.ids import WorkspaceName
from ..models.outcome import Outcome
from ..requests.service_executor import ServiceRequest
from ..services.client import ServiceCall
from .context import host_of
from .errors import OUTCOME_HEADER, error_response, failure_response
from .requests import InvalidRequestError, find_caller, may_use, with_request_id


async def service(request: Request, name: str, path: str = "") -> HTTPResponse:
    """Forward a call to a plain service and return the service's answer."""
    host = host_of(request)
    caller = find_caller(request)
    declared = caller.declaration.service_by_name.get(name)
    if declared is None or not may_use(caller.workspace.services, name):
        raise InvalidRequestError(
            error_response(f"no service {name!r}", 404, "unknown_service", "name")
        )
    query = f"?{request.query_string}" if request.query_string else ""
    call = ServiceCall(
        request.method, path + query, request.headers, request.body, caller.request_id
    )
    with host.access.admitted(caller.workspace) as admitted:
        if admitted.is_error():
            return with_request_id(failure_response(admitted.error), caller.request_id)
        result = await host.service_executor.run(
            ServiceRequest(
                WorkspaceName(caller.workspace.name),
                caller.request_id,
                declared,
                call,
                caller.chose_id,
            )
        )
    if result.is_error():
        return with_request_id(failure_response(result.error), caller.request_id)
    answer = result.ok
    # The service's headers already include the content type.
    response = raw(answer.body, answer.status, answer.headers, content_type=None)  # type: ignore[arg-type]
    response.headers[OUTCOME_HEADER] = Outcome.ANSWERED.value
    return with_request_id(response, caller.request_id)
