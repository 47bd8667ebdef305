"""Decoders for the records that operators and runners write to the store."""

from __future__ import annotations

import math
import re
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from ..exceptions import InvalidRecordError
from ..models.ids import RunnerName, ServiceName, WorkspaceName, ZoneName
from ..models.routes import (
    CallerLimits,
    EngineSpec,
    FleetConfiguration,
    RequestKind,
    Route,
    Service,
    ServiceShare,
)
from ..models.upstreams import (
    EngineReport,
    Registration,
    RunnerKey,
    SoftwareVersion,
    Stage,
    StartedAt,
)
from ..models.workspaces import (
    Allowance,
    AllowanceUnit,
    KeyDigest,
    Workspace,
    key_digest,
)
from .fields import (
    MS_PER_S,
    as_mapping,
    optional_count,
    optional_field,
    optional_identifier,
    optional_number,
    parse_object,
    required_address,
    required_count,
    required_field,
    required_identifier,
    required_number,
    required_text,
    shown,
)

CONFIGURATION_KEY = "op/config"
OPERATOR_PREFIX = "op/"
RUNNER_PREFIX = "servers/"
# Printable ASCII without spaces.
RUNNER_NAME = re.compile(r"[!-~]+\Z")

KIND_BY_NAME = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}
DRAINING_BY_STATE = {"ready": False, "draining": True}
UNIT_BY_LABEL = {"": AllowanceUnit.REQUESTS, "token_count": AllowanceUnit.TOKENS}


def decode_configuration(value: bytes) -> FleetConfiguration:
    """Decode the operator's configuration record.

    The routes of each host are sorted by descending prefix length, so that the
    first match is the longest.

    Raises
    ------
    InvalidRecordError
        If the record is not a JSON object, or a field is missing or invalid; the
        message names the field.
    """
    record = parse_object(value, "record")
    routes: dict[str, list[Route]] = defaultdict(list)
    for item in required_field(record, "routes", list):
        route = _decode_route(as_mapping(item, "routes"))
        routes[route.host].append(route)
    services = [
        _decode_service(as_mapping(s, "services"))
        for s in required_field(record, "services", list)
    ]
    return FleetConfiguration(
        version=required_identifier(record, "version"),
        routes_by_host={
            host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
            for host, found in routes.items()
        },
        service_by_name={service.name: service for service in services},
        limits=_decode_limits(as_mapping(record.get("limits", {}), "limits")),
        workspace_by_key_digest=_decode_workspaces(record),
    )


def decode_registration(key: str, value: bytes) -> Registration:
    """Decode the registration record of a runner.

    Raises
    ------
    InvalidRecordError
        If the record is not a JSON object, or a field is missing or invalid; the
        message names the field.
    """
    record = parse_object(value, "record")
    state = required_field(record, "state", str)
    if state not in DRAINING_BY_STATE:
        raise InvalidRecordError(f"state: found {shown(state)}")
    return Registration(
        # Only runners that may keep their id across restarts include their
        # start time.
        key=RunnerKey(
            _decode_runner_name(key), StartedAt(optional_identifier(record, "born", 0))
        ),
        service=ServiceName(required_text(record, "service")),
        address=required_address(record, "address"),
        zone=ZoneName(required_text(record, "zone")),
        slots=required_count(record, "slots"),
        draining=DRAINING_BY_STATE[state],
        # The number of writes of this record. In an engine's report the field
        # of this name counts accepted orders.
        sequence=required_identifier(record, "sequence"),
        stage=_decode_stage(record),
        version=SoftwareVersion(required_text(record, "version")),
    )


def _decode_runner_name(key: str) -> RunnerName:
    """Return the runner's name, which is sent to it in a header."""
    name = key.removeprefix(RUNNER_PREFIX)
    if not RUNNER_NAME.match(name):
        raise InvalidRecordError(f"key: found {shown(key)}")
    return RunnerName(name)


def decode_report(body: bytes) -> EngineReport:
    """Decode the load report of an engine.

    Raises
    ------
    InvalidRecordError
        If the record is not a JSON object, or a field is missing or invalid; the
        message names the field.
    """
    record = parse_object(body, "record")
    leaves_ms = optional_field(record, "leaves_ms", -1.0)
    if not math.isfinite(leaves_ms):
        raise InvalidRecordError(f"leaves_ms: found {leaves_ms!r}")
    return EngineReport(
        stage=_decode_stage(record),
        switching=optional_field(record, "busy", False),
        orders_accepted=required_identifier(record, "sequence"),
        waiting=required_count(record, "queued"),
        # The number of running requests, not a flag.
        running=required_count(record, "active"),
        kv_used=required_count(record, "kv_used"),
        kv_held=optional_count(record, "held", 0),
        kv_total=required_count(record, "kv_total"),
        leaves_in_s=leaves_ms / MS_PER_S if leaves_ms >= 0 else None,
    )


def _decode_stage(record: Mapping[str, Any]) -> Stage | None:
    label = record.get("stage")
    if label is None or label == "":
        return None
    try:
        return Stage(label)
    except ValueError as error:
        raise InvalidRecordError(f"stage: found {shown(label)}") from error


def _decode_route(item: Mapping[str, Any]) -> Route:
    label = required_field(item, "type", str)
    if label not in KIND_BY_NAME:
        raise InvalidRecordError(f"type: found {shown(label)}")
    return Route(
        name=required_field(item, "name", str),
        host=required_field(item, "host", str).lower(),
        prefix=required_field(item, "prefix", str),
        kind=KIND_BY_NAME[label],
        timeout_s=optional_number(item, "timeout_ms", 30_000.0) / MS_PER_S,
        target_latency_s=optional_number(item, "target_latency_ms", 1_000.0) / MS_PER_S,
        target_gap_s=optional_number(item, "target_gap_ms", 0.0) / MS_PER_S,
        priority=optional_count(item, "priority", 5),
        shares=_decode_shares(item),
        max_attempts=max(1, optional_count(item, "max_attempts", 1)),
        resumable=optional_field(item, "resumable", False),
        public=optional_field(item, "public", False),
    )


def _decode_shares(item: Mapping[str, Any]) -> tuple[ServiceShare, ...]:
    weighted = item.get("weighted_services")
    if weighted is not None and not isinstance(weighted, list):
        raise InvalidRecordError(f"weighted_services: found {shown(weighted)}")
    if not weighted:
        return (ServiceShare(ServiceName(required_field(item, "service", str)), 1.0),)
    entries = [as_mapping(entry, "weighted_services") for entry in weighted]
    shares = tuple(
        ServiceShare(
            ServiceName(required_text(entry, "service")),
            required_number(entry, "weight"),
        )
        for entry in entries
    )
    if not any(share.weight for share in shares):
        raise InvalidRecordError("weight: all are 0")
    return shares


def _decode_service(item: Mapping[str, Any]) -> Service:
    engine = item.get("engine")
    return Service(
        name=ServiceName(required_field(item, "name", str)),
        max_connections=optional_count(item, "max_connections", 100),
        engine=_decode_engine(as_mapping(engine, "engine")) if engine else None,
    )


def _decode_workspaces(
    record: Mapping[str, Any],
) -> Mapping[KeyDigest, Workspace] | None:
    """Return the workspace of each key; None if the record names no workspaces.

    An empty list of workspaces is not the same as none: no key is then known.
    """
    if record.get("tenants") is None:
        return None
    items = record["tenants"]
    # Errors are logged, so they must not show what contains keys.
    if not isinstance(items, list) or not all(isinstance(i, Mapping) for i in items):
        raise InvalidRecordError("tenants: expected a list of tables")
    by_key_digest: dict[KeyDigest, Workspace] = {}
    for workspace in map(_decode_workspace, items):
        for digest in workspace.key_digests:
            other = by_key_digest.setdefault(digest, workspace)
            if other is not workspace:
                raise InvalidRecordError(
                    f"api_keys: {other.name} and {workspace.name} have the same key"
                )
    return by_key_digest


def _decode_workspace(item: Mapping[str, Any]) -> Workspace:
    name = required_field(item, "name", str)
    if not name or not name.isprintable() or name != name.strip():
        message = f"name: found {shown(name)}, expected text for a header"
        raise InvalidRecordError(message)
    has_priority = item.get("priority") is not None
    return Workspace(
        name=WorkspaceName(name),
        key_digests=_decode_keys(item.get("api_keys")),
        priority=required_count(item, "priority") if has_priority else None,
        allowance=_decode_allowance(item),
    )


def _decode_keys(keys: object) -> frozenset[KeyDigest]:
    if not isinstance(keys, list) or not all(isinstance(k, str) and k for k in keys):
        raise InvalidRecordError("api_keys: expected a list of non-empty strings")
    try:
        return frozenset(key_digest(key.encode()) for key in keys)
    except UnicodeEncodeError as error:
        raise InvalidRecordError("api_keys: a key is not valid Unicode") from error


def _decode_allowance(item: Mapping[str, Any]) -> Allowance | None:
    label = optional_field(item, "unit", "")
    if label not in UNIT_BY_LABEL:
        raise InvalidRecordError(f"unit: found {shown(label)}")
    rate_per_s = optional_number(item, "rate_per_s", 0.0)
    if not rate_per_s:
        return None
    return Allowance(
        unit=UNIT_BY_LABEL[label],
        rate_per_s=rate_per_s,
        burst=optional_number(item, "burst", 0.0),
        default_cost=optional_number(item, "uncached_tokens", 0.0),
    )


def _decode_engine(item: Mapping[str, Any]) -> EngineSpec:
    return EngineSpec(
        slots=required_count(item, "slots"),
        kv_capacity=required_count(item, "kv_capacity"),
        handle_lifetime_s=optional_number(item, "kv_ttl_s", 0.5),
        stage_switch_s=optional_number(item, "stage_switch_s", 6.0),
        # ``hold_ms`` is the maximum lifetime of a reservation.
        max_hold_s=optional_number(item, "hold_ms", 0.0) / MS_PER_S,
    )


def _decode_limits(item: Mapping[str, Any]) -> CallerLimits:
    default = CallerLimits()
    header_ms = optional_number(
        item, "header_timeout_ms", default.header_timeout_s * MS_PER_S
    )
    idle_ms = optional_number(
        item, "idle_timeout_ms", default.idle_timeout_s * MS_PER_S
    )
    return CallerLimits(
        max_header_bytes=optional_count(
            item, "max_header_bytes", default.max_header_bytes
        ),
        max_body_bytes=optional_count(item, "max_body_bytes", default.max_body_bytes),
        header_timeout_s=header_ms / MS_PER_S,
        idle_timeout_s=idle_ms / MS_PER_S,
    )
