"""Which hosts callers may use."""

from __future__ import annotations

import random
from typing import Any

from ..membership.members import Member, MemberState, MemberTable


def lookup_body(
    members: MemberTable, zone: str | None, lifetime_s: int
) -> dict[str, Any]:
    """Return hosts that take new work, those of the caller's zone first.

    Hosts of equal distance come in random order, to spread callers.
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
