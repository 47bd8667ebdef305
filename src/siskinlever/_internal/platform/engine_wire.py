"""Calls of a host's own to engines, and what engines answer to them."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any

from ..models.ids import HostName, RunnerName
from ..models.upstreams import Address, Stage
from ..network.http1_client import Call, Header
from .fields import MS_PER_S, parse_object, required_field


def prefill_handle(body: bytes) -> str:
    """Return the handle of a prompt's KV cache; raises `InvalidRecordError`."""
    return required_field(parse_object(body, "answer"), "kv_handle", str)


def kv_source(address: Address, handle: str) -> str:
    """Return the header value that locates a prompt's KV cache."""
    return f"{address}/{handle}"


def hold_call(address: Address, runner: RunnerName, tokens: int, ttl_s: float) -> Call:
    """Return the call that reserves a slot and KV cache memory at an engine.

    Parameters
    ----------
    address : str
    runner : str
    tokens : int
        Size of the reservation.
    ttl_s : float
        Lifetime of the reservation in seconds.
    """
    body = {"tokens": tokens, "ttl_ms": int(ttl_s * MS_PER_S)}
    expected = [(b"Expected-Instance", runner.encode())]
    return _router_call(b"POST", "/hold-take", address, body, expected)


def hold_id(body: bytes) -> str:
    """Return the id of a new reservation; raises `InvalidRecordError`."""
    return required_field(parse_object(body, "answer"), "hold", str)


def release_hold_call(address: Address, hold: str) -> Call:
    """Return the call that releases a reservation."""
    return _router_call(b"DELETE", f"/hold-drop/{hold}", address, None)


def free_handle_call(address: Address, handle: str) -> Call:
    """Return the call that frees a prompt's KV cache."""
    return _router_call(b"DELETE", f"/kv-handle/{handle}", address, None)


def report_call(address: Address) -> Call:
    """Return the call that requests an engine's load report."""
    return _router_call(b"GET", "/report", address, None)


def stage_order_call(
    address: Address,
    runner: RunnerName,
    stage: Stage,
    host: HostName,
    fencing_token: int,
    orders_accepted: int | None,
) -> Call:
    """Return the call that orders an engine to change its stage.

    Parameters
    ----------
    address : str
    runner : str
    stage : Stage
    host : str
        Holder of the order lease.
    fencing_token : int
    orders_accepted : int or None
        The engine accepts the order only if it has accepted exactly this many
        orders before.
    """
    body: dict[str, Any] = {
        "operation": "stage",
        "stage": stage.value,
        "owner": host,
        "fencing_token": fencing_token,
    }
    if orders_accepted is not None:
        # An integer here; in calls of the store, ``precondition`` is a list of keys
        # and revisions.
        body["precondition"] = orders_accepted
    return _router_call(
        b"POST", "/order", address, body, [(b"Expected-Instance", runner.encode())]
    )


def _router_call(
    method: bytes,
    path: str,
    address: Address,
    body: Mapping[str, Any] | None,
    extra: Sequence[Header] = (),
) -> Call:
    headers: list[Header] = [
        (b"Host", address.encode()),
        *extra,
        (b"Connection", b"close"),
    ]
    if body is None:
        return Call(method, path.encode(), headers, b"")
    headers.append((b"Content-Type", b"application/json"))
    return Call(method, path.encode(), headers, json.dumps(body).encode())
