"""Chooses the hosts that lookups return in a large fleet.

A large fleet has many more hosts than its load needs. If callers used all of them, each
host would see a small part of the load, and could not tell all others in time what it
places on the runners. Callers are therefore sent to a few hosts of each zone, which
exchange their loads immediately. All hosts rank the hosts of a zone in the same order
and choose the same ones; when one of them stops or is lost, the next one takes its
place in the following lookups.

The hosts outside the serving set serve whatever still reaches them. They learn from two
hosts of the set, exchange state with the others rarely, and hardly read the store.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import lru_cache

from ..models.ids import HostName, ZoneName
from ..models.upstreams import Address
from ..utils.clock import monotonic
from ..utils.rendezvous import score
from .hosts import HostStatus, HostTable

# In a fleet of up to so many hosts, all serve callers.
MAX_SMALL_FLEET = 12
# Hosts of each zone of a larger fleet that serve callers: at least so many, and so many
# that they have this capacity.
MIN_SERVING_HOSTS = 3
MIN_SERVING_CORES = 2.0
# Hosts of the serving set of a large fleet that follow the store.
MAX_READERS = 6
MAX_CACHED_SCORES = 2_048
# Hosts of the serving set from which a host outside it learns about the fleet.
HUBS = 2
# Key by which the hosts that follow the store are ranked.
READERS_KEY = ZoneName("store")
# Seconds for which a host relies on the serving set that a hub has reported.
REPORT_TTL_S = 3.0


def serving_set(statuses: Iterable[HostStatus]) -> list[HostStatus]:
    """Return the hosts that lookups return, out of the live ones that can serve.

    The hosts with the most processor capacity come first, because fewer of them are
    needed.
    """
    living = list(statuses)
    if len(living) <= MAX_SMALL_FLEET:
        return living
    by_zone: dict[ZoneName, list[HostStatus]] = defaultdict(list)
    for status in living:
        by_zone[status.zone].append(status)
    return [status for hosts in by_zone.values() for status in _first_hosts(hosts)]


class ServingView:
    """The serving set as this host knows it, and this host's place in it.

    Parameters
    ----------
    own_host : str
    own_status : callable
        Returns this host's status.
    hosts : HostTable
    now : callable, default=monotonic

    Attributes
    ----------
    is_large : bool
        Whether the fleet is large; all hosts of a small one serve.
    serving : tuple of HostStatus
        The serving set, with this host if it belongs to it.
    """

    def __init__(
        self,
        own_host: HostName,
        own_status: Callable[[], HostStatus],
        hosts: HostTable,
        now: Callable[[], float] = monotonic,
    ) -> None:
        self.own_host = own_host
        self._own_status = own_status
        self._hosts = hosts
        self._now = now
        # The latest report of each hub and when it was received, oldest first.
        self._report_by_hub: dict[HostName, tuple[float, tuple[HostStatus, ...]]] = {}
        self.is_large = False
        self.is_serving = True
        self.serving: tuple[HostStatus, ...] = ()
        self.addresses: frozenset[Address] = frozenset()

    def refresh(self) -> None:
        """Compute the serving set from what is known now."""
        own = self._own_status()
        living = [known.status for known in self._hosts.alive()]
        # Hysteresis keeps a fleet at the limit from changing on every lost host.
        limit = MAX_SMALL_FLEET // 2 if self.is_large else MAX_SMALL_FLEET
        self.is_large = len(living) + 1 > limit
        usable = [status for status in [*living, own] if status.serving]
        self.serving = tuple(serving_set(usable) if self.is_large else usable)
        if self.is_large and own not in self.serving:
            # The hubs detect lost hosts sooner.
            self.serving = self._latest_report(self.serving) or self.serving
        self.is_serving = own.host in {status.host for status in self.serving}
        self.addresses = frozenset(status.peers_address for status in self.serving)

    def note_report(self, hub: HostName, serving: Iterable[HostStatus]) -> None:
        """Record the serving set that a host has reported."""
        self._report_by_hub.pop(hub, None)
        self._report_by_hub[hub] = (self._now(), tuple(serving))

    def _latest_report(self, chosen: Iterable[HostStatus]) -> tuple[HostStatus, ...]:
        """Return what a host of those that this host would choose reported last.

        Hosts that have just left the set, or never were in it, may still report an
        earlier one. The result is empty if no report is recent.
        """
        oldest = self._now() - REPORT_TTL_S
        self._report_by_hub = {
            hub: report
            for hub, report in self._report_by_hub.items()
            if report[0] >= oldest
        }
        hubs = {status.host for status in chosen}
        reports = (r for hub, (_, r) in self._report_by_hub.items() if hub in hubs)
        return next(reversed(list(reports)), ())

    @property
    def is_reader(self) -> bool:
        """Whether this host follows the store; the others learn from those that do.

        In a large fleet, a few hosts of the serving set do. If the store turns one of
        them away, the next one follows it instead.
        """
        if not self.is_large or not self.serving:
            return True
        own_score = _score(READERS_KEY, self.own_host)
        readers_before = [
            status
            for status in self.serving
            if status.reads_store and _score(READERS_KEY, status.host) > own_score
        ]
        return self.is_serving and len(readers_before) < MAX_READERS

    def partners(self) -> frozenset[Address]:
        """Return the peers with which to exchange state often in a large fleet."""
        if self.is_serving:
            return self.addresses
        own = self._own_status()
        ranked = sorted(
            self.serving,
            key=lambda host: (host.zone != own.zone, -_score(own.host, host.host)),
        )
        return frozenset(host.peers_address for host in ranked[:HUBS])


def _first_hosts(hosts: list[HostStatus]) -> list[HostStatus]:
    chosen: list[HostStatus] = []
    for status in sorted(hosts, key=_rank):
        cores = sum(host.cores for host in chosen)
        if len(chosen) >= MIN_SERVING_HOSTS and cores >= MIN_SERVING_CORES:
            break
        chosen.append(status)
    return chosen


def _rank(status: HostStatus) -> tuple[float, int]:
    return (-status.cores, -_score(status.zone, status.host))


@lru_cache(maxsize=MAX_CACHED_SCORES)
def _score(key: ZoneName | HostName, host: HostName) -> int:
    return score(key, host)
