"""Decides which part of a fleet-wide quantity this host may use on its own.

The load that it addresses: callers of one workspace that use any of the hosts that
serve, while hosts are lost, replaced or cut off from each other. No host appoints the
others. Each computes its part from the hosts that it knows, so the parts of hosts that
know different ones may add up to more than the whole. Hosts that were lost are
therefore counted for some time, since they may be cut off and still serve.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from ..models.ids import HostName
from ..utils.clock import monotonic

# A small fleet counts as so many hosts, so that one that hasn't yet met the others
# doesn't use their parts.
MIN_HOSTS = 8
# Seconds for which a host that is no longer known to serve is counted; as long as
# `fleet.hosts.HOST_RETENTION_S`.
RETENTION_S = 30.0
# Seconds from a host's start until it has a part. In a large fleet, a host takes itself
# for a member of the serving set until it has met the others.
START_DELAY_S = 2.0


class FleetShares:
    """The hosts that serve, as this host knows them, and its part.

    Parameters
    ----------
    own_host : str
    serving : callable
        Returns the hosts that serve now, as far as this host knows, with itself if it
        is one of them.
    possible : callable
        Returns the hosts that may serve, also those that were lost recently.
    now : callable, default=monotonic

    Attributes
    ----------
    has_share : bool
        Whether this host has a part; one outside the serving set has none.
    since : float
        Monotonic time from which it has had one without interruption.
    """

    def __init__(
        self,
        own_host: HostName,
        serving: Callable[[], Collection[HostName]],
        possible: Callable[[], Collection[HostName]],
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._own_host = own_host
        self._serving = serving
        self._possible = possible
        self._now = now
        self._started_at = now()
        self._seen_at_by_host: dict[HostName, float] = {}
        self.has_share = False
        self.since = now()
        # Hosts that serve now, and that have served recently.
        self.hosts = MIN_HOSTS
        self.recent_hosts = MIN_HOSTS

    def refresh(self) -> bool:
        """Take over what is known now; return whether this changes the part."""
        now = self._now()
        serving = frozenset(self._serving())
        for host in (*serving, *self._possible()):
            self._seen_at_by_host[host] = now
        self._seen_at_by_host = {
            host: at
            for host, at in self._seen_at_by_host.items()
            if now - at <= RETENTION_S
        }
        before = (self.has_share, self.hosts, self.recent_hosts)
        has_started = now - self._started_at >= START_DELAY_S
        self.has_share = has_started and self._own_host in serving
        self.hosts = max(MIN_HOSTS, len(serving))
        self.recent_hosts = max(MIN_HOSTS, len(self._seen_at_by_host))
        if self.has_share and not before[0]:
            self.since = now
        return before != (self.has_share, self.hosts, self.recent_hosts)

    def part(self, headroom: float) -> float:
        """Return the part of a host that serves.

        Parameters
        ----------
        headroom : float
            How many times the whole may be used at most. Half of what it exceeds 1 by
            is used for the parts of hosts that were lost; the other half remains for
            hosts that know different ones.

        Returns
        -------
        part : float
            As a fraction of the whole.
        """
        total_of_recent = 1 + (headroom - 1) / 2 if headroom > 1 else headroom
        return min(min(1.0, headroom) / self.hosts, total_of_recent / self.recent_hosts)
