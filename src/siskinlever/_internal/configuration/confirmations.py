"""Collection of confirmations that live hosts have a generation in force."""

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
    """The reply of one live host.

    Parameters
    ----------
    host : str
    generation : int or None
        The generation in force at the host; None if the host did not answer.
    in_force : bool
        Whether ``generation`` is at least the generation to be confirmed.
    """

    host: HostName
    generation: Generation | None
    in_force: bool


async def confirmations(
    members: MemberTable, fetch: Fetch, generation: Generation, deadline: Deadline
) -> list[HostReply]:
    """Poll live hosts until each has the generation in force or the deadline passes.

    Parameters
    ----------
    members : MemberTable
        Lists the live hosts; hosts that die are no longer polled.
    fetch : callable
        Returns the generation in force at a host, or None if it does not answer.
    generation : int
    deadline : Deadline

    Returns
    -------
    replies : list of HostReply
        The last reply of each live host, sorted by host name.
    """
    reply_by_host: dict[HostName, HostReply] = {}
    semaphore = asyncio.Semaphore(CONCURRENT_CALLS)

    async def fetch_one(host: HostName) -> None:
        async with semaphore:
            reported = await fetch(host)
        reply_by_host[host] = HostReply(
            host, reported, reported is not None and reported >= generation
        )

    while True:
        live = sorted(member.host for member in members.alive())
        pending = [
            h for h in live if h not in reply_by_host or not reply_by_host[h].in_force
        ]
        await asyncio.gather(*(fetch_one(host) for host in pending))
        replies = [reply_by_host[host] for host in live]
        if all(reply.in_force for reply in replies) or deadline.passed:
            return replies
        await asyncio.sleep(ROUND_PAUSE_S)
