"""Auxiliary calls to engines: reservations, load reports and KV cache release."""

from __future__ import annotations

from ..exceptions import ExchangeError, InvalidRecordError
from ..models.upstreams import Address, EngineReport, Registration
from ..network.http1_client import Call, fetch
from ..platform import records, wire
from .context import GatewayContext

# Engines answer these calls within milliseconds.
CALL_TIMEOUT_S = 0.7


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
        Raised when the engine was not reached or did not answer completely within
        `CALL_TIMEOUT_S`.
    """
    call = wire.hold_call(runner.address, runner.key.name, tokens, ttl_s)
    head, body = await fetch(runner.address, call, CALL_TIMEOUT_S)
    context.metrics.count("holds", status=str(head.status))
    if wire.is_other_runner(head, runner.key.name):
        context.runners.mark_replaced(runner.key)
    context.note_statements(runner.key, head, ends_limit=False)
    if head.status != 200:
        return None
    try:
        return wire.hold_id(body)
    except InvalidRecordError as error:
        context.log.write(
            "hold.unreadable", runner=runner.key.name, reason=error.message
        )
        return None


async def read_report(address: Address) -> EngineReport:
    """Fetch the load report of an engine.

    Raises
    ------
    ExchangeError
        Raised when the engine was not reached or did not answer completely within
        `CALL_TIMEOUT_S`.
    InvalidRecordError
        Raised when the report cannot be decoded.
    """
    _, body = await fetch(address, wire.report_call(address), CALL_TIMEOUT_S)
    return records.decode_report(body)


def release_hold(context: GatewayContext, runner: Registration, hold: str) -> None:
    """Release a reservation in a background task.

    Failures are logged and counted, not raised.
    """
    call = wire.release_hold_call(runner.address, hold)
    context.tasks.start(_release(context, runner, call, "hold"), "drop-hold")


def free_handle(context: GatewayContext, runner: Registration, handle: str) -> None:
    """Free a prompt's KV cache in a background task.

    Failures are logged and counted, not raised.
    """
    call = wire.free_handle_call(runner.address, handle)
    context.tasks.start(_release(context, runner, call, "handle"), "free-handle")


async def _release(
    context: GatewayContext, runner: Registration, call: Call, what: str
) -> None:
    try:
        await fetch(runner.address, call, CALL_TIMEOUT_S)
    except ExchangeError as error:
        # No retry is needed: the reservation or KV cache expires at the engine within
        # seconds.
        context.metrics.count("releases_failed", what=what)
        context.log.write(
            "release.failed", what=what, runner=runner.key.name, reason=error.message
        )
