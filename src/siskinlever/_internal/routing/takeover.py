"""Slots that a new home presumes held until hosts announce their reservations."""

from __future__ import annotations

import math

from ..models.ids import HostName
from .scheduler import PoolScheduler

TAKEOVER_TIMEOUT_S = 0.5
ANNOUNCEMENT_VALID_S = 2.0


class HomeTakeover:
    """Presumes slots held by hosts that have not announced their reservations yet.

    Each such host is presumed to hold an equal share of all slots, for at most
    half a second, because requests queue while slots are wrongly presumed held.

    Parameters
    ----------
    scheduler : PoolScheduler
    """

    def __init__(self, scheduler: PoolScheduler) -> None:
        self._scheduler = scheduler
        self._announced_at: dict[HostName, float] = {}
        self._pending_hosts: set[HostName] = set()
        self._host_count = 1
        self._presumed_until = 0.0

    @property
    def is_pending(self) -> bool:
        """Whether announcements of hosts are still missing."""
        return bool(self._pending_hosts)

    def begin(self, hosts: list[HostName], now: float) -> None:
        """Start a takeover.

        Parameters
        ----------
        hosts : list of HostName
            Live hosts, whose announcements are expected unless they were
            received in the last `ANNOUNCEMENT_VALID_S` seconds.
        now : float
            Seconds of the monotonic clock.
        """
        self._host_count = max(len(hosts), 1)
        self._pending_hosts = {
            host
            for host in hosts
            if self._announced_at.get(host, -math.inf) < now - ANNOUNCEMENT_VALID_S
        }
        self._presumed_until = now + TAKEOVER_TIMEOUT_S
        self._update_presumed()

    def announced(self, host: HostName, now: float) -> None:
        """Record that a host has announced all its reservations."""
        self._announced_at[host] = now
        if host in self._pending_hosts:
            self._pending_hosts.discard(host)
            self._update_presumed()

    def expire(self, now: float) -> None:
        """Stop waiting for announcements after `TAKEOVER_TIMEOUT_S`."""
        if self._pending_hosts and now >= self._presumed_until:
            self._pending_hosts.clear()
            self._update_presumed()

    def _update_presumed(self) -> None:
        fraction = len(self._pending_hosts) / self._host_count
        for tracker in self._scheduler.decode_by_runner.values():
            tracker.presumed_held = math.ceil(tracker.runner.slots * fraction)
            tracker.presumed_until = self._presumed_until
