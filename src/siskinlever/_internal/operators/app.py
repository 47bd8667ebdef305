"""Routes of the administration interface."""

from __future__ import annotations

import uuid
from dataclasses import asdict, dataclass
from typing import Any

from sanic import Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import HTTPResponse, json, text

from ..configuration.current import CurrentConfiguration
from ..configuration.store import ConfigurationStore
from ..exceptions import (
    ConflictError,
    DeclarationError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..membership.members import Member, MemberTable
from ..metrics.registry import Metrics
from ..models.declaration import Declaration
from ..models.ids import ApplyId, Generation
from ..network.http_server import App
from ..requests.execution import Executor
from ..timeline.recorder import Recorder
from ..utils.digests import is_known_key
from ..utils.validation import parse_json

STATUS_BY_ERROR: dict[type[Exception], int] = {
    ConflictError: 409,
    DeclarationError: 400,
    StoreUnavailableError: 503,
    StoreOutcomeUnknownError: 504,
}


@dataclass(frozen=True, slots=True)
class OperatorContext:
    """What the routes need of the host."""

    key_digests: tuple[str, ...]
    current: CurrentConfiguration
    store: ConfigurationStore
    members: MemberTable
    executor: Executor
    recorder: Recorder
    metrics: Metrics


def operators_app(context: OperatorContext) -> App:
    """Return the application of the administration interface."""
    app = Sanic(f"siskinlever_operators_{uuid.uuid4().hex}", configure_logging=False)
    app.ctx.host = context
    app.on_request(check_key)
    app.add_route(show, "/v1/configuration", methods=["GET"])
    app.add_route(apply, "/v1/configuration", methods=["PUT"])
    app.add_route(status, "/v1/status", methods=["GET"])
    app.add_route(timeline, "/v1/timeline", methods=["GET"])
    app.add_route(metrics, "/metrics", methods=["GET"])
    app.exception(Exception)(on_error)
    return app


async def check_key(request: Request) -> HTTPResponse | None:
    """Refuse a call without an operator's key."""
    header = request.headers.get("Authorization", "")
    key = header.removeprefix("Bearer ")
    if is_known_key(key, _host(request).key_digests):
        return None
    return _error(401, "unauthorized", "the operator's key is not known")


async def on_error(request: Request, error: Exception) -> HTTPResponse:
    """Turn an exception into an error of the interface."""
    if isinstance(error, SanicException):
        return _error(error.status_code, "invalid_request", str(error))
    status_code = STATUS_BY_ERROR.get(type(error), 500)
    faults = error.faults if isinstance(error, DeclarationError) else []
    return _error(status_code, type(error).__name__, str(error), faults)


async def show(request: Request) -> HTTPResponse:
    """Show the configuration in force at this host."""
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
    """Make a declaration the one in force."""
    host = _host(request)
    declaration, faults = parse_json(Declaration, request.body)
    if declaration is None:
        raise DeclarationError(faults)
    apply_id = ApplyId(request.args.get("apply_id") or uuid.uuid4().hex)
    base = request.args.get("base_generation")
    generation = await host.store.write(
        declaration.model_dump_json().encode(),
        apply_id,
        Generation(int(base)) if base is not None else None,
    )
    accepted = await host.store.read()
    if accepted is not None:
        host.current.offer(accepted)
    return json({"generation": generation, "apply_id": apply_id})


async def status(request: Request) -> HTTPResponse:
    """Show this host and what it knows of the others."""
    host = _host(request)
    own = host.members.own
    return json(
        {
            "host": own.host,
            "zone": own.zone,
            "incarnation": own.incarnation,
            "leaving": own.leaving,
            "generation": host.current.generation,
            "current_age_s": round(host.current.current_age_s, 3),
            "requests_running": len(host.executor.running_by_key),
            "members": [_member(m) for m in host.members.by_host.values()],
        }
    )


async def timeline(request: Request) -> HTTPResponse:
    """Show the events kept at this host."""
    events = _host(request).recorder.events(request.args.get("request_id"))
    return json(
        {"events": [asdict(event) | {"kind": event.kind.value} for event in events]}
    )


async def metrics(request: Request) -> HTTPResponse:
    """Show counters and latencies in the Prometheus text format."""
    return text(_host(request).metrics.exposition())


def _member(member: Member) -> dict[str, Any]:
    return asdict(member) | {"state": member.state.name.lower()}


def _error(
    status_code: int, code: str, message: str, faults: list[str] | None = None
) -> HTTPResponse:
    body = {"code": code, "message": message, "faults": faults or []}
    return json({"error": body}, status_code)


def _host(request: Request) -> OperatorContext:
    context = request.app.ctx.host
    assert isinstance(context, OperatorContext)
    return context
