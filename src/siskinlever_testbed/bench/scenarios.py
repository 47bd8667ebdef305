"""The loads and faults that the policies face."""

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
    """One load, with a disturbance after the warm-up.

    Parameters
    ----------
    load : float
        Offered load over the pool's capacity.
    cancelling : float
        Share of callers that go away.
    """

    name: str
    load: float
    disturbance: Disturbance | None = None
    cancel_share: float = 0.0


async def reclaim_runner(fleet: Fleet) -> None:
    """A decode runner says that it is leaving, and ends a little later."""
    runner = fleet.runners_by_pool[fleet.plan.engines[0].pool][-1]["name"]
    await fleet.set_faults(runner, leaving=True)
    await asyncio.sleep(RECLAIM_NOTICE_S)
    fleet.process_by_name[runner].kill()


async def kill_host(fleet: Fleet) -> None:
    """The pool's admission home ends without a word."""
    pool = fleet.plan.engines[0].pool
    home = ranked(f"pool/{pool}", fleet.place_by_host)[0]
    fleet.process_by_name[home].kill()


async def fail_key_value(fleet: Fleet) -> None:
    """The key-value service refuses every call."""
    await fleet.set_faults(KEY_VALUE, down=True)


async def stall_transfers(fleet: Fleet) -> None:
    """Every transfer out of one prefill runner stalls for some time."""
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
