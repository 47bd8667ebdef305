"""Load levels and disturbances under which the policies are measured."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from siskinlever._internal.utils.rendezvous import ranked

from ..fleet import KEY_VALUE, Fleet

RECLAIM_NOTICE_S = 2.0
TRANSFER_STALL_S = 1.5
STALL_DURATION_S = 4.0

Disturbance = Callable[[Fleet], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load level with an optional disturbance after the warm-up.

    Parameters
    ----------
    load : float
        Offered load divided by the capacity of the pool.
    disturbance : callable or None
        Called with the fleet at the end of the warm-up.
    cancel_share : float
        Share of callers that cancel their request.
    """

    name: str
    load: float
    disturbance: Disturbance | None = None
    cancel_share: float = 0.0


async def reclaim_runner(fleet: Fleet) -> None:
    """Report a decode runner as leaving, and kill it after the notice period."""
    runner = fleet.runners_by_pool[fleet.plan.engines[0].pool][-1]["name"]
    await fleet.set_faults(runner, leaving=True)
    await asyncio.sleep(RECLAIM_NOTICE_S)
    fleet.process_by_name[runner].kill()


async def kill_host(fleet: Fleet) -> None:
    """Kill the admission home of the pool without notice."""
    pool = fleet.plan.engines[0].pool
    home = ranked(f"pool/{pool}", fleet.endpoints_by_host)[0]
    fleet.process_by_name[home].kill()


async def fail_key_value(fleet: Fleet) -> None:
    """Make the key-value service refuse every call."""
    await fleet.set_faults(KEY_VALUE, down=True)


async def stall_transfers(fleet: Fleet) -> None:
    """Stall every KV transfer from one prefill runner for a limited time."""
    runner = fleet.runners_by_pool[fleet.plan.engines[0].pool][0]["name"]
    await fleet.set_faults(runner, stall_transfer_s=TRANSFER_STALL_S)
    await asyncio.sleep(STALL_DURATION_S)
    await fleet.set_faults(runner)


SCENARIO_BY_NAME = {
    scenario.name: scenario
    for scenario in (
        Scenario("load-0.7", 0.7),
        Scenario("load-1.0", 1.0),
        Scenario("load-1.5", 1.5),
        Scenario("runner-taken-back", 1.0, reclaim_runner),
        Scenario("host-killed", 1.0, kill_host),
        Scenario("key-value-out", 1.0, fail_key_value),
        Scenario("transfers-stalled", 1.0, stall_transfers),
        Scenario("callers-cancel", 1.0, None, 0.1),
    )
}
QUICK_SCENARIOS = ("load-1.0", "load-1.5")
