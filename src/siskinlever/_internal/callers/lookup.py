"""Lookup of the hosts that callers may use."""

from __future__ import annotations

import random
from typing import Any

from ..membership.members import Member, MemberState, MemberTable


def lookup_body(
    members: MemberTable, zone: str | None, lifetime_s: int
) -> dict[str, Any]:
    """Return the hosts that accept new work, those in the caller's zone first.

    Within each group the order is random, to distribute callers over the hosts.

    Parameters
    ----------
    members : MemberTable
    zone : str or None
        The caller's zone; None stands for the zone of this host.
    lifetime_s : int
        Seconds for which the caller may cache the result.
    """
    hosts = [m for m in members.alive() if _accepts_work(m)]
    random.shuffle(hosts)
    hosts.sort(key=lambda m: m.zone != (zone or members.own.zone))
    return {
        "hosts": [
            {"host": m.host, "zone": m.zone, "address": m.callers_address}
            for m in hosts
        ],
        "lifetime_s": lifetime_s,
    }


def _accepts_work(member: Member) -> bool:
    return member.state is MemberState.ALIVE and not member.leaving
