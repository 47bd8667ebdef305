"""Auxiliary calls to engines: reservations, load reports and KV cache release."""

from __future__ import annotations

from ..exceptions import ExchangeError, InvalidRecordError
from ..models.upstreams import EngineReport, Registration, Stage
from ..network.http1_client import Call
from ..platform import engine_wire, records, wire
from .context import GatewayContext
from .runner_calls import fetch_from_runner

# Engines answer these calls within milliseconds.
CALL_TIMEOUT_S = 0.7
ORDER_TIMEOUT_S = 1.0


async def acquire_hold(
    context: GatewayContext, runner: Registration, tokens: int, ttl_s: float
) -> str | None:
    """Reserve capacity at an engine.

    Parameters
    ----------
    context : GatewayContext
    runner : Registration
    tokens : int
        KV cache to reserve, in tokens.
    ttl_s : float
        Seconds after which the engine drops an unused reservation.

    Returns
    -------
    hold : str or None
        Id of the reservation; None if the engine granted none or its answer could
        not be decoded.

    Raises
    ------
    ExchangeError
        Raised when the engine wants a pause, was not reached or did not answer
        completely within `CALL_TIMEOUT_S`.
    """
    call = engine_wire.hold_call(runner.address, runner.key.name, tokens, ttl_s)
    head, body = await fetch_from_runner(context, runner, call, CALL_TIMEOUT_S)
    context.metrics.count("holds", status=str(head.status))
    if wire.is_other_runner(head, runner.key.name):
        context.runners.mark_replaced(runner.key)
    if head.status != 200:
        return None
    try:
        return engine_wire.hold_id(body)
    except InvalidRecordError as error:
        context.log.write(
            "hold.unreadable", runner=runner.key.name, reason=error.message
        )
        return None


async def read_report(context: GatewayContext, runner: Registration) -> EngineReport:
    """Fetch the load report of an engine.

    Raises
    ------
    ExchangeError
        Raised when the engine wants a pause, was not reached or did not answer
        completely within `CALL_TIMEOUT_S`.
    InvalidRecordError
        Raised when the report cannot be decoded.
    """
    call = engine_wire.report_call(runner.address)
    _, body = await fetch_from_runner(context, runner, call, CALL_TIMEOUT_S)
    return records.decode_report(body)


async def order_stage(
    context: GatewayContext,
    runner: Registration,
    stage: Stage,
    fencing_token: int,
    orders_accepted: int,
) -> int:
    """Order an engine to change its stage; return the status of its answer.

    Parameters
    ----------
    context : GatewayContext
    runner : Registration
    stage : Stage
    fencing_token : int
    orders_accepted : int
        The engine accepts the order only if it has accepted exactly this many before.

    Raises
    ------
    ExchangeError
        Raised when the engine wants a pause, was not reached or did not answer
        completely within `ORDER_TIMEOUT_S`.
    """
    host = context.settings.host
    call = engine_wire.stage_order_call(
        runner.address, runner.key.name, stage, host, fencing_token, orders_accepted
    )
    # An engine tells the holders of orders apart by the hosts that send them.
    head, _ = await fetch_from_runner(
        context, runner, call, ORDER_TIMEOUT_S, may_relay=False
    )
    return head.status


def release_hold(context: GatewayContext, runner: Registration, hold: str) -> None:
    """Release a reservation in a background task.

    Failures are logged and counted, not raised.
    """
    call = engine_wire.release_hold_call(runner.address, hold)
    context.tasks.start(_release(context, runner, call, "hold"), "drop-hold")


def free_handle(context: GatewayContext, runner: Registration, handle: str) -> None:
    """Free a prompt's KV cache in a background task.

    Failures are logged and counted, not raised.
    """
    call = engine_wire.free_handle_call(runner.address, handle)
    context.tasks.start(_release(context, runner, call, "handle"), "free-handle")


async def _release(
    context: GatewayContext, runner: Registration, call: Call, what: str
) -> None:
    try:
        await fetch_from_runner(context, runner, call, CALL_TIMEOUT_S)
    except ExchangeError as error:
        # No retry is needed: the reservation or KV cache expires at the engine within
        # seconds.
        context.metrics.count("releases_failed", what=what)
        context.log.write(
            "release.failed", what=what, runner=runner.key.name, reason=error.message
        )
