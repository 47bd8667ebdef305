"""Which live hosts have a generation in force."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..membership.members import MemberTable
from ..models.ids import Generation, HostName
from ..utils.clock import Deadline

CONCURRENT_CALLS = 32
ROUND_PAUSE_S = 0.2

Ask = Callable[[HostName], Awaitable[Generation | None]]


@dataclass(frozen=True, slots=True)
class Confirmation:
    """What one live host said; no generation if it did not answer."""

    host: HostName
    generation: Generation | None
    in_force: bool


async def confirmations(
    members: MemberTable, ask: Ask, generation: Generation, deadline: Deadline
) -> list[Confirmation]:
    """Ask all live hosts until each has a generation in force, or the deadline.

    Parameters
    ----------
    members : MemberTable
        Names the live hosts; one that dies meanwhile is no longer waited for.
    ask : callable
        Returns the generation in force at a host.
    generation : int
    deadline : Deadline

    Returns
    -------
    confirmations : list of Confirmation
        One for each live host, by name.
    """
    found: dict[HostName, Confirmation] = {}
    limit = asyncio.Semaphore(CONCURRENT_CALLS)

    async def ask_one(host: HostName) -> None:
        async with limit:
            seen = await ask(host)
        found[host] = Confirmation(host, seen, seen is not None and seen >= generation)

    while True:
        live = sorted(member.host for member in members.alive())
        missing = [h for h in live if h not in found or not found[h].in_force]
        await asyncio.gather(*(ask_one(host) for host in missing))
        confirmed = [found[host] for host in live]
        if all(c.in_force for c in confirmed) or deadline.passed:
            return confirmed
        await asyncio.sleep(ROUND_PAUSE_S)
