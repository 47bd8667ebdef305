"""Load updates: to which hosts they are sent, and how often."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack

import pytest

from siskinlever._internal.exceptions import PeerError
from siskinlever._internal.fleet.hosts import HostStatus
from siskinlever._internal.fleet.in_progress import InProgress
from siskinlever._internal.fleet.load_updates import LoadUpdates
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.models.upstreams import RunnerKey
from siskinlever._internal.utils.duties import Duties
from siskinlever._internal.utils.tasks import task_set

ENGINE = RunnerKey("e-1", 0)
OWN = HostStatus("host-a", "zone", 1, "10.0.0.1:1", "10.0.0.1:2", True)


class Peers:
    """Records the updates that are sent; the first ``failures`` calls fail."""

    def __init__(self, failures: int = 0) -> None:
        self.sent: list[tuple[str, int]] = []
        self.failures = failures

    async def call_address(self, address, rpc, message, timeout_s, tries):
        if self.failures:
            self.failures -= 1
            raise PeerError(rpc)
        self.sent.append((address, message.engine_changes))


async def publish_changes(peers: Peers, hosts: int, changes: int) -> None:
    """Publish changes of ``changes`` generations, 5 ms each, to ``hosts`` hosts.

    Each generation changes the load twice. One more starts and ends after
    publishing has stopped.
    """
    in_progress = InProgress()
    async with task_set() as tasks:
        duties = Duties(tasks, Metrics(), lambda duty, error: None)
        load_updates = LoadUpdates(lambda: OWN, peers, None, in_progress, duties)
        with ExitStack() as stack:
            for number in range(hosts):
                stack.enter_context(load_updates.publishing_to(f"10.0.0.{number}:2"))
            await asyncio.sleep(0)
            for _ in range(changes):
                with in_progress.decode(ENGINE, 3_000):
                    await asyncio.sleep(0.005)
            await asyncio.sleep(0.25)
        with in_progress.decode(ENGINE, 3_000):
            await asyncio.sleep(0.05)
        left = [task.get_name() for task in asyncio.all_tasks()]
        assert not [name for name in left if name.startswith("publish-loads")]


async def test_each_host_receives_the_latest_change_in_few_updates():
    peers = Peers()
    await publish_changes(peers, hosts=7, changes=10)
    for number in range(7):
        counts = [changes for to, changes in peers.sent if to == f"10.0.0.{number}:2"]
        assert counts[-1] == 20, "the last change was not sent"
        assert len(counts) <= 5, "changes were not combined into one update"


async def test_no_updates_are_sent_if_there_are_too_many_hosts():
    peers = Peers()
    await publish_changes(peers, hosts=36, changes=2)
    assert peers.sent == []


async def test_updates_continue_after_a_failed_call():
    peers = Peers(failures=1)
    await publish_changes(peers, hosts=1, changes=4)
    assert peers.sent[-1][1] == 8


async def test_no_updates_are_sent_after_publishing_has_stopped():
    peers = Peers()
    await publish_changes(peers, hosts=1, changes=1)
    assert max(changes for _, changes in peers.sent) == 2


@pytest.mark.parametrize("hosts", [0, 1])
async def test_host_without_work_sends_no_updates(hosts):
    peers = Peers()
    await publish_changes(peers, hosts, changes=0)
    assert peers.sent == []
