"""Calls to engines that serve no request by themselves."""

from __future__ import annotations

from ..exceptions import ExchangeError, InvalidRecordError
from ..models.upstreams import Address, EngineReport, Registration
from ..network.http1_client import Call, fetch
from ..platform import records, wire
from .context import GatewayContext

# An engine answers such a call in milliseconds.
CALL_TIMEOUT_S = 0.7


async def acquire_hold(
    context: GatewayContext, runner: Registration, tokens: int, ttl_s: float
) -> str | None:
    """Reserve room at an engine; return the hold, or None if it has none.

    Raises
    ------
    ExchangeError
        The engine was not reached, or gave no answer.
    """
    call = wire.hold_call(runner.address, runner.key.name, tokens, ttl_s)
    head, body = await fetch(runner.address, call, CALL_TIMEOUT_S)
    context.metrics.count("holds", status=str(head.status))
    if wire.is_other_runner(head, runner.key.name):
        context.runners.mark_replaced(runner.key)
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
    """Ask an engine for its load; raises `ExchangeError`, `InvalidRecordError`."""
    _, body = await fetch(address, wire.report_call(address), CALL_TIMEOUT_S)
    return records.decode_report(body)


def release_hold(context: GatewayContext, runner: Registration, hold: str) -> None:
    """Give reserved room back, in the background."""
    call = wire.drop_hold_call(runner.address, hold)
    context.tasks.start(_release(context, runner, call, "hold"), "drop-hold")


def free_handle(context: GatewayContext, runner: Registration, handle: str) -> None:
    """Free a prompt's KV cache, in the background."""
    call = wire.free_handle_call(runner.address, handle)
    context.tasks.start(_release(context, runner, call, "handle"), "free-handle")


async def _release(
    context: GatewayContext, runner: Registration, call: Call, what: str
) -> None:
    try:
        await fetch(runner.address, call, CALL_TIMEOUT_S)
    except ExchangeError as error:
        # It lapses by itself within seconds.
        context.metrics.count("releases_failed", what=what)
        context.log.write(
            "release.failed", what=what, runner=runner.key.name, reason=error.message
        )
