"""Updates about members that are still to be sent."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..models.ids import HostName

# Updates per message; this many take about 2 KB.
MAX_UPDATES = 24
SPREAD_FACTOR = 3


@dataclass(slots=True)
class _PendingUpdate:
    host: HostName
    sends_left: int


class UpdateQueue:
    """Hosts whose latest state is sent with the next pings.

    An update is sent ``SPREAD_FACTOR * log2(hosts)`` times, which reaches all
    hosts with high probability.
    """

    def __init__(self) -> None:
        self._pending_by_host: dict[HostName, _PendingUpdate] = {}

    def add(self, host: HostName, host_count: int) -> None:
        """Queue a host's state for the full number of sends, even if already queued."""
        sends = SPREAD_FACTOR * math.ceil(math.log2(host_count + 1))
        self._pending_by_host[host] = _PendingUpdate(host, sends)

    def next_batch(self) -> list[HostName]:
        """Return the hosts for one message, those with the most sends left first.

        Each returned host counts as sent once.
        """
        items = sorted(
            self._pending_by_host.values(), key=lambda i: i.sends_left, reverse=True
        )
        chosen = items[:MAX_UPDATES]
        for item in chosen:
            item.sends_left -= 1
            if item.sends_left <= 0:
                del self._pending_by_host[item.host]
        return [item.host for item in chosen]
