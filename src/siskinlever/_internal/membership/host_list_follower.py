"""Follows the platform's host list, which may be out of date."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable

from ..coordination.host_list import HostListClient, ListedHost
from ..exceptions import HostListError
from ..metrics.registry import Metrics
from ..models.ids import HostName
from .members import MemberState, MemberTable

# Seconds between two reads of the list in a small fleet, and between two rounds of
# `HostListFollower.contact_unknown`.
MIN_PERIOD_S = 1.0
# Reads of the list per second by all hosts together.
READS_PER_S = 10
CONTACTS_PER_ROUND = 3
JOIN_CONTACTS = 8
REMOVED_AFTER_READS = 3
MAX_DAMAGED_READS = 30


class HostListFollower:
    """Contacts hosts of the list and marks hosts as leaving.

    A host is marked if the list says that it is leaving or no longer contains it.

    Parameters
    ----------
    table : MemberTable
    client : HostListClient
    metrics : Metrics
    contact : callable
        Pings a host at an address.
    """

    def __init__(
        self,
        table: MemberTable,
        client: HostListClient,
        metrics: Metrics,
        contact: Callable[[HostName, str], Awaitable[object]],
    ) -> None:
        self._table = table
        self._client = client
        self._metrics = metrics
        self._contact = contact
        self._address_by_host: dict[HostName, str] = {}
        self._missing_reads: Counter[HostName] = Counter()
        self._damaged_reads = 0
        self._listeners: list[Callable[[list[ListedHost]], None]] = []

    def subscribe(self, listener: Callable[[list[ListedHost]], None]) -> None:
        """Call ``listener`` with all entries, runners included, after each read."""
        self._listeners.append(listener)

    async def join(self) -> None:
        """Read the list and contact some of its hosts."""
        await self._read()
        await self._contact_some(JOIN_CONTACTS)

    async def run(self) -> None:
        """Read the list periodically until cancelled."""
        while True:
            await asyncio.sleep(self._period_s() * random.uniform(0.75, 1.25))
            await self._read()

    async def contact_unknown(self) -> None:
        """Until cancelled, contact hosts that are unknown to the table or dead.

        This lets the two sides of a network partition find each other again,
        also while the host list is unavailable.
        """
        while True:
            await asyncio.sleep(MIN_PERIOD_S)
            await self._contact_some(CONTACTS_PER_ROUND)

    def _period_s(self) -> float:
        return max(MIN_PERIOD_S, len(self._table.by_host) / READS_PER_S)

    async def _read(self) -> None:
        try:
            listed = await self._client.read()
        except HostListError:
            self._metrics.count("host_list_failures")
            return
        for listener in self._listeners:
            listener(listed)
        hosts = [item for item in listed if item.peer_address]
        if self._is_damaged(hosts):
            self._metrics.count("host_list_damaged")
            return
        for item in hosts:
            if item.leaving:
                self._table.set_leaving(HostName(item.name))
        self._mark_removed_as_leaving(hosts)
        self._address_by_host = {HostName(h.name): h.peer_address for h in hosts}
        self._table.listed = frozenset(
            HostName(item.name) for item in hosts if not item.leaving
        )

    def _is_damaged(self, hosts: list[ListedHost]) -> bool:
        """Return whether the list lost at least half of its hosts at once.

        Such a list is accepted after `MAX_DAMAGED_READS` consecutive reads,
        because the platform may remove many hosts on purpose.
        """
        lost = self._address_by_host.keys() - {HostName(h.name) for h in hosts}
        if 2 * len(lost) < len(self._address_by_host) or not lost:
            self._damaged_reads = 0
            return False
        self._damaged_reads += 1
        return self._damaged_reads <= MAX_DAMAGED_READS

    def _mark_removed_as_leaving(self, hosts: list[ListedHost]) -> None:
        """Mark hosts that were removed from the list as leaving.

        A host counts as removed if it is missing from `REMOVED_AFTER_READS`
        consecutive reads. Failed reads and damaged lists are not counted.
        """
        listed_names = {HostName(item.name) for item in hosts}
        missing = self._address_by_host.keys() | self._missing_reads.keys()
        for host in listed_names:
            self._missing_reads.pop(host, None)
        for host in missing - listed_names:
            self._missing_reads[host] += 1
            if self._missing_reads[host] >= REMOVED_AFTER_READS:
                self._table.set_leaving(host)
                del self._missing_reads[host]

    async def _contact_some(self, count: int) -> None:
        unknown = [host for host in self._candidates() if not self._is_known(host)]
        chosen = random.sample(unknown, min(count, len(unknown)))
        by_host = self._candidates()
        await asyncio.gather(*(self._contact(host, by_host[host]) for host in chosen))

    def _candidates(self) -> dict[HostName, str]:
        known = {m.host: m.peer_address for m in self._table.by_host.values()}
        return known | self._address_by_host

    def _is_known(self, host: HostName) -> bool:
        if host == self._table.own_host:
            return True
        member = self._table.by_host.get(host)
        return member is not None and member.state is not MemberState.DEAD
