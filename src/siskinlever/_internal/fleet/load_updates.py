"""Tells the other hosts at once what this host has in progress at engines.

Answers bursts of long prompts: hosts that place on what the others had in
progress a second ago choose the same engine, whose memory then runs out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..exceptions import PeerError
from ..models.ids import HostName, Incarnation
from ..models.upstreams import Address
from ..peers import peer_pb2
from ..peers.link import Peers
from ..utils.tasks import TaskSet
from .hosts import HostStatus, HostTable, engine_loads
from .in_progress import InProgress
from .messages import loads_of, to_loads

# Between two tellings to the same host. A generation holds its place for
# seconds and a prompt is read in tenths of one; the model shows no gain below.
PERIOD_S = 0.1
# Tellings of one host to all others; more hosts are told less often each.
MAX_UPDATES_PER_S = 70.0
# With so many hosts that each is told less often than this, none is: the
# regular exchange tells as much.
MAX_PERIOD_S = 0.5
# A telling that takes longer is overtaken by the next.
CALL_TIMEOUT_S = 0.2


def update_period_s(hosts: int) -> float:
    """Return the time between two tellings to one of the other hosts."""
    return max(PERIOD_S, hosts / MAX_UPDATES_PER_S)


class LoadUpdates:
    """Tells and hears changes of the work at engines.

    Parameters
    ----------
    own_status : callable
        Returns this host's status.
    peers : Peers
    hosts : HostTable
    in_progress : InProgress
    tasks : TaskSet
    """

    def __init__(
        self,
        own_status: Callable[[], HostStatus],
        peers: Peers,
        hosts: HostTable,
        in_progress: InProgress,
        tasks: TaskSet,
    ) -> None:
        self._own_status = own_status
        self._peers = peers
        self._hosts = hosts
        self._in_progress = in_progress
        self._tasks = tasks
        self._changed_by_address: dict[Address, asyncio.Event] = {}
        in_progress.subscribe(self._mark_changed)

    @contextmanager
    def publishing_to(self, address: Address) -> Iterator[None]:
        """Tell the host at an address of changes for the length of a block."""
        self._changed_by_address[address] = asyncio.Event()
        publisher = self._tasks.start(self._publish_changes(address), f"news-{address}")
        try:
            yield
        finally:
            publisher.cancel()
            del self._changed_by_address[address]

    async def serve(self, update: peer_pb2.FleetWork) -> peer_pb2.Nothing:
        """Take in what another host has in progress."""
        self._hosts.update_engine_loads(
            HostName(update.host),
            Incarnation(update.incarnation),
            update.engine_changes,
            loads_of(update.loads),
        )
        return peer_pb2.Nothing()

    def _mark_changed(self) -> None:
        for changed in self._changed_by_address.values():
            changed.set()

    async def _publish_changes(self, address: Address) -> None:
        changed = self._changed_by_address[address]
        while True:
            await changed.wait()
            changed.clear()
            period_s = update_period_s(len(self._changed_by_address))
            if period_s <= MAX_PERIOD_S:
                await self._publish_once(address)
            await asyncio.sleep(period_s)

    async def _publish_once(self, address: Address) -> None:
        own = self._own_status()
        message = peer_pb2.FleetWork(
            host=own.host,
            incarnation=own.incarnation,
            engine_changes=self._in_progress.engine_changes,
            loads=to_loads(engine_loads(self._in_progress.load_by_runner)),
        )
        try:
            await self._peers.call_address(
                address, "TellWork", message, CALL_TIMEOUT_S, tries=1
            )
        except PeerError:
            # Counted by the link; the next exchange tells the loads again.
            return
