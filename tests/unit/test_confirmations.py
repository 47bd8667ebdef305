"""Confirmations that an apply waits for."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from siskinlever._internal.commands.apply import _wait_confirmed
from siskinlever._internal.configuration.confirmations import confirmations
from siskinlever._internal.membership.members import Member, MemberState, MemberTable
from siskinlever._internal.utils.clock import Deadline

OWN = Member("host-1", "hall-a", 10, MemberState.ALIVE, "10.0.0.1:1", "10.0.0.1:2")


async def confirm_all(generation_by_host, timeout_s):
    table = MemberTable(OWN)
    for host in ("host-2", "host-3", "host-4"):
        table.merge(replace(OWN, host=host))
    table.set_state("host-4", MemberState.DEAD)

    async def fetch(host):
        fetched.append(host)
        return generation_by_host[host]

    fetched = []
    found = await confirmations(table, fetch, 7, Deadline(timeout_s))
    return {c.host: c.in_force for c in found}, fetched


async def test_each_live_host_is_polled_until_it_confirms():
    generations = {"host-1": 7, "host-2": 6, "host-3": 8}
    confirming = asyncio.create_task(confirm_all(generations, 5))
    await asyncio.sleep(0.3)
    assert not confirming.done()
    generations["host-2"] = 7
    confirmed, fetched = await confirming
    assert confirmed == {"host-1": True, "host-2": True, "host-3": True}
    assert (fetched.count("host-1"), fetched.count("host-4")) == (1, 0)


async def test_outdated_or_unresponsive_host_is_reported():
    generations = {"host-1": 7, "host-2": 6, "host-3": None}
    confirmed, _ = await confirm_all(generations, 0)
    assert confirmed == {"host-1": True, "host-2": False, "host-3": False}


async def test_command_reports_hosts_that_did_not_confirm():
    class StubClient:
        async def call_any(self, method, path, timeout_s, params):
            return {"hosts": [{"host": "host-2", "in_force": False}]}

    assert await _wait_confirmed(StubClient(), 7, Deadline(0)) == {"host-2": False}
