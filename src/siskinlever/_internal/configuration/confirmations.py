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

Fetch = Callable[[HostName], Awaitable[Generation | None]]


@dataclass(frozen=True, slots=True)
class HostReply:
    """What one live host said; no generation if it did not answer."""

    host: HostName
    generation: Generation | None
    in_force: bool


async def confirmations(
    members: MemberTable, fetch: Fetch, generation: Generation, deadline: Deadline
) -> list[HostReply]:
    """Ask all live hosts until each has a generation in force, or the deadline.

    Parameters
    ----------
    members : MemberTable
        Names the live hosts; one that dies meanwhile is no longer waited for.
    fetch : callable
        Returns the generation in force at a host.
    generation : int
    deadline : Deadline

    Returns
    -------
    confirmations : list of HostReply
        One for each live host, by name.
    """
    found: dict[HostName, HostReply] = {}
    limit = asyncio.Semaphore(CONCURRENT_CALLS)

    async def fetch_one(host: HostName) -> None:
        async with limit:
            seen = await fetch(host)
        found[host] = HostReply(host, seen, seen is not None and seen >= generation)

    while True:
        live = sorted(member.host for member in members.alive())
        missing = [h for h in live if h not in found or not found[h].in_force]
        await asyncio.gather(*(fetch_one(host) for host in missing))
        confirmed = [found[host] for host in live]
        if all(c.in_force for c in confirmed) or deadline.passed:
            return confirmed
        await asyncio.sleep(ROUND_PAUSE_S)
