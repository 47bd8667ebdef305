"""Chooses the replicas of a request: its home, and a backup in another zone."""

from __future__ import annotations

from typing import NamedTuple

from ..membership.members import Member, MemberTable
from ..models.ids import HostName
from ..utils.clock import monotonic
from ..utils.rendezvous import primary_and_backup, score

# Seconds for which `Homes.previous` takes a change of the hosts into account.
RECENT_CHANGE_S = 10.0
# Seconds after a change within which hosts hand their entries over.
HANDOVER_TIME_S = 2.0
# Hosts that this host discovers within this time, in seconds, after its start were
# there before it and do not count as newly joined.
DISCOVERY_WINDOW_S = 5.0


class ReplicaPair(NamedTuple):
    """The home of a request and its backup."""

    home: HostName | None
    backup: HostName | None


class Homes:
    """Finds current homes and backups, and those before recent membership changes.

    Parameters
    ----------
    members : MemberTable
    """

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        self._started_at = monotonic()
        self._zone_by_host = members.zone_by_host()
        self._joined_at = {members.own_host: self._started_at}
        self._left_at: dict[HostName, tuple[str, float]] = {}
        members.subscribe(self._on_member_changed)

    @property
    def is_stable(self) -> bool:
        """Whether hosts have had time to hand entries over since the last change."""
        change_times = [
            *self._joined_at.values(),
            *(at for _, at in self._left_at.values()),
        ]
        return monotonic() - max(change_times, default=0.0) > HANDOVER_TIME_S

    def replicas_of(self, key: str) -> ReplicaPair:
        """Return the home and the backup of a request."""
        return _pair(key, self._zone_by_host)

    def is_own(self, key: str) -> bool:
        """Whether this host is the home of a request."""
        return self.replicas_of(key).home == self._members.own_host

    def previous(self, key: str) -> tuple[ReplicaPair, ...]:
        """Return the replicas that a request may have had before recent changes.

        A host that joined and became a replica before another host left is
        found only if recently joined hosts are included. An older replica is
        found only if they are excluded.
        """
        self._expire()
        left = {host: zone for host, (zone, _) in self._left_at.items()}
        with_joined = self._zone_by_host | left
        without_joined = {
            h: z for h, z in with_joined.items() if h not in self._joined_at
        }
        return (_pair(key, without_joined), _pair(key, with_joined))

    def pair_after(self, key: str, pair: ReplicaPair, changed: HostName) -> ReplicaPair:
        """Return a request's pair after a change of one host.

        Most requests keep their pair. The score of the changed host is enough
        to detect this, without ranking all hosts.
        """
        if changed in pair:
            return self.replicas_of(key)
        if changed not in self._zone_by_host:
            return pair
        name = f"request/{key}"
        changed_score = score(name, changed)
        if all(host and score(name, host) > changed_score for host in pair):
            return pair
        return self.replicas_of(key)

    def _on_member_changed(self, before: Member | None, after: Member) -> None:
        zones = self._members.zone_by_host()
        now = monotonic()
        for host in zones.keys() - self._zone_by_host.keys():
            self._left_at.pop(host, None)
            if now - self._started_at > DISCOVERY_WINDOW_S:
                self._joined_at[host] = now
        for host in self._zone_by_host.keys() - zones.keys():
            self._joined_at.pop(host, None)
            self._left_at[host] = (self._zone_by_host[host], now)
        if before is not None and self._missed_decisions(before, after):
            self._joined_at[after.host] = now
        self._zone_by_host = zones

    def _missed_decisions(self, before: Member, after: Member) -> bool:
        """Whether other hosts may have decided on a host's requests in its absence.

        A higher incarnation of this host means that it refuted a report of its
        own death. It was paused or partitioned and lacks decisions that other
        hosts made.
        """
        if after.host == self._members.own_host:
            return after.incarnation > before.incarnation
        return after.started > before.started

    def _expire(self) -> None:
        oldest = monotonic() - RECENT_CHANGE_S
        self._joined_at = {h: at for h, at in self._joined_at.items() if at > oldest}
        self._left_at = {h: v for h, v in self._left_at.items() if v[1] > oldest}


def _pair(key: str, zone_by_host: dict[HostName, str]) -> ReplicaPair:
    zones = {str(host): zone for host, zone in zone_by_host.items()}
    home, backup = primary_and_backup(f"request/{key}", zones)
    return ReplicaPair(
        HostName(home) if home else None,
        HostName(backup) if backup else None,
    )
