"""Rules for merging updates about members."""

from __future__ import annotations

from dataclasses import replace

import pytest

from siskinlever._internal.coordination.host_list import ListedHost
from siskinlever._internal.membership import members as members_module
from siskinlever._internal.membership.host_list_follower import HostListFollower
from siskinlever._internal.membership.members import Member, MemberState, MemberTable
from siskinlever._internal.membership.messages import from_message, to_message
from siskinlever._internal.membership.probe_sample import ProbeSample
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.utils import pauses as pauses_module

OWN = Member("host-1", "hall-a", 10, MemberState.ALIVE, "10.0.0.1:1", "10.0.0.1:2")


def listed(*names):
    return [ListedHost(n, "hall-a", "10.0.0.9:1", "10.0.0.9:2", False) for n in names]


def test_report_of_own_death_is_refuted():
    table = MemberTable(OWN)
    assert table.merge(replace(OWN, state=MemberState.DEAD))
    assert (table.own.state, table.own.incarnation) == (MemberState.ALIVE, 11)


def test_replacement_of_a_frozen_host_is_detected(monkeypatch):
    table = MemberTable(OWN)
    update = replace(OWN, incarnation=20, peer_address="10.0.0.7:1")
    # Within the grace period it may be about this host's own predecessor.
    assert not table.is_replacement(update)
    now = members_module.monotonic()
    monkeypatch.setattr(members_module, "monotonic", lambda: now + 60)
    assert table.is_replacement(update)
    assert not table.is_replacement(replace(update, state=MemberState.DEAD))


@pytest.mark.parametrize(
    "change",
    [
        {"host": "Not A Name"},
        {"incarnation": 2**63},
        {"incarnation": 0},
        {"state": 7},
        {"peer_address": "host:1"},
        {"zone": "z" * 100},
    ],
)
def test_invalid_member_message_is_rejected(change):
    message = to_message(OWN)
    assert from_message(message) == OWN
    for name, value in change.items():
        setattr(message, name, value)
    assert from_message(message) is None


def test_majority_requires_new_probes_after_a_pause():
    probe_sample = ProbeSample()
    assert probe_sample.enough_reached()
    probe_sample.forget()
    assert not probe_sample.enough_reached()
    for reached in (True, False, True):
        probe_sample.add_result(reached)
    assert probe_sample.enough_reached()
    for _ in range(4):
        probe_sample.add_result(False)
    assert not probe_sample.enough_reached()


def test_pause_is_detected_before_the_next_check(monkeypatch):
    now = 100.0
    monkeypatch.setattr(pauses_module, "monotonic", lambda: now)
    pauses = pauses_module.PauseDetector()
    before = now
    now += 5
    assert pauses.paused_since(before)
    pauses.check()
    assert pauses.paused_since(before)
    assert not pauses.paused_since(now + 0.01)


async def test_host_removed_from_the_list_is_leaving_but_an_empty_list_is_ignored():
    table = MemberTable(OWN)
    for name in ("host-2", "host-3", "host-4"):
        table.merge(replace(OWN, host=name))
    lists = [listed("host-1", "host-2", "host-3", "host-4")]

    class Client:
        async def read(self):
            return lists[-1]

    follower = HostListFollower(table, Client(), Metrics(), contact=None)
    await follower._read()
    lists.append([])
    for _ in range(5):
        await follower._read()
    assert not any(member.leaving for member in table.by_host.values())
    lists.append(listed("host-1", "host-2", "host-3"))
    for _ in range(3):
        await follower._read()
    assert [m.host for m in table.by_host.values() if m.leaving] == ["host-4"]
