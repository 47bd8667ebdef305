"""Routes of the administration interface."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from sanic import Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import HTTPResponse, json

from ..configuration.confirmations import confirmations
from ..configuration.current import Configuration, CurrentConfiguration
from ..configuration.root import check_apply_id
from ..configuration.store import ConfigurationStore
from ..exceptions import (
    ConflictError,
    DeclarationError,
    ParameterError,
    SiskinleverError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..membership.detector import Detector
from ..membership.members import Member, MemberTable
from ..metrics.registry import Metrics
from ..models.declaration import Declaration
from ..models.events import EventKind
from ..models.ids import Generation
from ..network.http_server import App
from ..requests.execution import Executor
from ..timeline.recorder import Recorder
from ..utils.clock import Deadline
from ..utils.digests import is_known_key
from ..utils.validation import parse_document
from .parameters import check_parameter_names, integer_parameter, seconds_parameter

MAX_WAIT_S = 60.0
EXPOSITION_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

STATUS_BY_ERROR: dict[type[Exception], int] = {
    ConflictError: 409,
    DeclarationError: 400,
    ParameterError: 400,
    StoreUnavailableError: 503,
    StoreOutcomeUnknownError: 504,
}


@dataclass(frozen=True, slots=True)
class OperatorContext:
    """The components of the host that the routes use."""

    key_digests: tuple[str, ...]
    current: CurrentConfiguration
    store: ConfigurationStore
    members: MemberTable
    detector: Detector
    executor: Executor
    recorder: Recorder
    metrics: Metrics
    pools_held: Callable[[], list[str]]


def operators_app(context: OperatorContext) -> App:
    """Return the application of the administration interface."""
    app = Sanic(f"siskinlever_operators_{uuid.uuid4().hex}", configure_logging=False)
    app.ctx.host = context
    app.on_request(check_key)
    app.add_route(show, "/v1/configuration", methods=["GET"])
    app.add_route(apply, "/v1/configuration", methods=["PUT"])
    app.add_route(confirm, "/v1/confirmations", methods=["GET"])
    app.add_route(status, "/v1/status", methods=["GET"])
    app.add_route(timeline, "/v1/timeline", methods=["GET"])
    app.add_route(metrics, "/metrics", methods=["GET"])
    app.exception(Exception)(on_error)
    return app


async def check_key(request: Request) -> HTTPResponse | None:
    """Refuse a request without a known operator key."""
    header = request.headers.get("Authorization", "")
    key = header.removeprefix("Bearer ")
    if is_known_key(key, _host(request).key_digests):
        return None
    return _error(401, "unauthorized", "the operator's key is not known")


async def on_error(request: Request, error: Exception) -> HTTPResponse:
    """Convert an exception to an error response."""
    if isinstance(error, SanicException):
        return _error(error.status_code, "invalid_request", str(error))
    status_code = STATUS_BY_ERROR.get(type(error), 500)
    if status_code == 500:
        _host(request).metrics.count("internal_errors")
    faults = error.faults if isinstance(error, DeclarationError) else []
    hint = error.hint if isinstance(error, SiskinleverError) else ""
    return _error(status_code, type(error).__name__, str(error), faults, hint)


async def show(request: Request) -> HTTPResponse:
    """Return the configuration in force at this host."""
    check_parameter_names(request)
    value = _host(request).current.value
    if value is None:
        return json({"generation": 0, "apply_id": "", "declaration": None})
    declaration = value.declaration.model_dump(mode="json")
    return json(
        {
            "generation": value.generation,
            "apply_id": value.apply_id,
            "declaration": declaration,
        }
    )


async def apply(request: Request) -> HTTPResponse:
    """Store a declaration and put it in force."""
    check_parameter_names(request, "apply_id", "base_generation")
    host = _host(request)
    apply_id = check_apply_id(request.args.get("apply_id") or uuid.uuid4().hex)
    base = integer_parameter(request, "base_generation")
    declaration, faults = parse_document(Declaration, request.body)
    if declaration is None:
        raise DeclarationError(faults)
    content = declaration.model_dump_json().encode()
    stamp = host.recorder.record(EventKind.APPLY_STARTED, apply_id=apply_id)
    generation = await host.store.write(
        content,
        apply_id,
        Generation(base) if base is not None else None,
        host.current.value,
        stamp,
    )
    host.recorder.record(
        EventKind.APPLY_ACCEPTED, apply_id=apply_id, generation=generation
    )
    host.current.advance(Configuration(generation, apply_id, declaration, content, 0))
    return json({"generation": generation, "apply_id": apply_id})


async def confirm(request: Request) -> HTTPResponse:
    """Wait up to ``wait`` seconds until every live host has a generation in force."""
    check_parameter_names(request, "generation", "wait")
    host = _host(request)
    generation = integer_parameter(request, "generation")
    if generation is None:
        raise ParameterError("generation: required parameter is missing")
    wait_s = seconds_parameter(request, "wait", 0.0, MAX_WAIT_S)
    replies = await confirmations(
        host.members,
        host.detector.generation_at,
        Generation(generation),
        Deadline(wait_s),
    )
    return json({"generation": generation, "hosts": [asdict(c) for c in replies]})


async def status(request: Request) -> HTTPResponse:
    """Return the state of this host and its local view of the other members."""
    check_parameter_names(request)
    host = _host(request)
    own = host.members.own
    value = host.current.value
    return json(
        {
            "host": own.host,
            "zone": own.zone,
            "incarnation": own.incarnation,
            "leaving": own.leaving,
            "generation": host.current.generation,
            "apply_id": value.apply_id if value else "",
            "current_age_s": round(host.current.current_age_s, 3),
            "stale": host.current.is_stale,
            "has_majority": host.members.has_majority,
            "orders_pools": host.pools_held(),
            "requests_running": len(host.executor.running_by_key),
            "members": [_member(m) for m in host.members.by_host.values()],
        }
    )


async def timeline(request: Request) -> HTTPResponse:
    """Return the latest timeline events in this host's buffer."""
    check_parameter_names(request, "request_id", "last")
    last = integer_parameter(request, "last")
    events = list(_host(request).recorder.events(request.args.get("request_id")))
    selected = events[-last:] if last else events
    return json(
        {"events": [asdict(event) | {"kind": event.kind.value} for event in selected]}
    )


async def metrics(request: Request) -> HTTPResponse:
    """Return the metrics in the Prometheus text format."""
    check_parameter_names(request)
    return HTTPResponse(
        _host(request).metrics.exposition(), content_type=EXPOSITION_CONTENT_TYPE
    )


def _member(member: Member) -> dict[str, Any]:
    return asdict(member) | {"state": member.state.name.lower()}


def _error(
    status_code: int,
    code: str,
    message: str,
    faults: list[str] | None = None,
    hint: str = "",
) -> HTTPResponse:
    error = {"code": code, "message": message, "faults": faults or [], "hint": hint}
    return json({"error": error}, status_code)


def _host(request: Request) -> OperatorContext:
    context = request.app.ctx.host
    assert isinstance(context, OperatorContext)
    return context
