"""Replicas from which a request's entry is fetched after membership changes."""

from __future__ import annotations

from siskinlever._internal.membership.members import Member, MemberState, MemberTable
from siskinlever._internal.requests import homes
from siskinlever._internal.requests.homes import Homes

HOSTS = {f"host-{n}": f"hall-{'abc'[n % 3]}" for n in range(6)}


def member(name, incarnation=1, state=MemberState.ALIVE):
    return Member(name, HOSTS[name], incarnation, state, "", "")


def test_previous_replicas_include_recently_joined_host(monkeypatch):
    """host-5 joins and becomes a replica just before host-1 dies.

    The pair that includes host-5 must still be queried.
    """
    monkeypatch.setattr(homes, "DISCOVERY_WINDOW_S", -1.0)
    table = MemberTable(member("host-0"))
    homes_of_host = Homes(table)
    for name in sorted(HOSTS)[1:-1]:
        table.merge(member(name))
    homes_of_host._joined_at.clear()
    table.merge(member("host-5"))
    keys = [f"atelier/{number}" for number in range(200)]
    pair_by_key = {key: homes_of_host.replicas_of(key) for key in keys}
    table.merge(member("host-1", state=MemberState.DEAD))
    for key, pair in pair_by_key.items():
        if "host-1" in pair:
            assert set(pair) <= {
                host for old in homes_of_host.previous(key) for host in old
            }
