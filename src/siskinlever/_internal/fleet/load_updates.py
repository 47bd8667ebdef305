"""Publishes changes of this host's loads at engines to the other hosts.

The regular exchange of state is too slow for bursts of long prompts: hosts that
choose engines by loads that are a second old choose the same engine, which then
runs out of memory.
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
from ..utils.duties import Duties
from .hosts import HostStatus, HostTable, engine_loads
from .in_progress import InProgress
from .messages import from_loads, to_loads

# Minimum seconds between two updates to the same host. A generation occupies its
# engine for seconds and a prefill takes tenths of a second; simulations show no
# gain from a shorter period.
PERIOD_S = 0.1
# Maximum updates per second that one host sends to all others together. With more
# hosts, each of them gets updates less often.
MAX_UPDATES_PER_S = 70.0
# With so many hosts that the period would exceed this, no updates are sent, because
# the regular exchange of state is then sufficient.
MAX_PERIOD_S = 0.5
# An update that takes longer is superseded by the next one.
CALL_TIMEOUT_S = 0.2


def update_period_s(hosts: int) -> float:
    """Return the seconds between two updates to the same host."""
    return max(PERIOD_S, hosts / MAX_UPDATES_PER_S)


class LoadUpdates:
    """Sends and receives changes of the loads at engines.

    Parameters
    ----------
    own_status : callable
        Returns this host's status.
    peers : Peers
    hosts : HostTable
    in_progress : InProgress
    duties : Duties
    is_receiver : callable, default=all
        Returns whether the host at an address serves callers, so that it needs to know
        the loads.
    """

    def __init__(
        self,
        own_status: Callable[[], HostStatus],
        peers: Peers,
        hosts: HostTable,
        in_progress: InProgress,
        duties: Duties,
        is_receiver: Callable[[Address], bool] = lambda address: True,
    ) -> None:
        self._own_status = own_status
        self._peers = peers
        self._hosts = hosts
        self._in_progress = in_progress
        self._duties = duties
        self._is_receiver = is_receiver
        self._changed_by_address: dict[Address, asyncio.Event] = {}
        in_progress.subscribe(self._mark_changed)

    @contextmanager
    def publishing_to(self, address: Address) -> Iterator[None]:
        """Publish changes to the host at an address while the block runs."""
        self._changed_by_address[address] = asyncio.Event()
        publisher = self._duties.start(
            "publish-loads", lambda: self._publish_changes(address), address
        )
        try:
            yield
        finally:
            publisher.cancel()
            del self._changed_by_address[address]

    async def serve(self, update: peer_pb2.FleetWork) -> peer_pb2.Nothing:
        """Apply an update from another host."""
        self._hosts.update_engine_loads(
            HostName(update.host),
            Incarnation(update.incarnation),
            update.engine_changes,
            from_loads(update.loads),
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
            receivers = sum(map(self._is_receiver, self._changed_by_address))
            period_s = update_period_s(receivers)
            if period_s <= MAX_PERIOD_S and self._is_receiver(address):
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
            # The link counts the failure; the next exchange includes the loads.
            return
