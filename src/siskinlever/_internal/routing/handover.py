"""What a new admission home presumes until the other hosts have told it."""

from __future__ import annotations

import math

from ..models.ids import HostName
from .book import PoolBook

HANDOVER_S = 0.5
ANNOUNCEMENT_VALID_S = 2.0


class Handover:
    """Presumes slots held by hosts that did not announce yet.

    Each host that did not announce is presumed to hold an equal share of all
    slots, for at most half a second: a wrong presumption costs a queue.

    Parameters
    ----------
    book : PoolBook
    """

    def __init__(self, book: PoolBook) -> None:
        self._book = book
        self._announced_at: dict[HostName, float] = {}
        self._missing: set[HostName] = set()
        self._hosts = 1
        self._until = 0.0

    @property
    def is_pending(self) -> bool:
        """Whether hosts are still waited for."""
        return bool(self._missing)

    def begin(self, hosts: list[HostName], now: float) -> None:
        """Become home among some live hosts."""
        self._hosts = max(len(hosts), 1)
        self._missing = {
            host
            for host in hosts
            if self._announced_at.get(host, -math.inf) < now - ANNOUNCEMENT_VALID_S
        }
        self._until = now + HANDOVER_S
        self._presume()

    def announced(self, host: HostName, now: float) -> None:
        """Note that a host told all that it holds."""
        self._announced_at[host] = now
        if host in self._missing:
            self._missing.discard(host)
            self._presume()

    def expire(self, now: float) -> None:
        """Stop waiting for hosts that stay silent."""
        if self._missing and now >= self._until:
            self._missing.clear()
            self._presume()

    def _presume(self) -> None:
        part = len(self._missing) / self._hosts
        for lane in self._book.decode_by_runner.values():
            lane.unannounced = math.ceil(lane.runner.slots * part)
            lane.unannounced_until = self._until
