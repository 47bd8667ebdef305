"""Estimates what other hosts could lend of the allowances of workspaces.

The load that it addresses: a host with most of a workspace's callers, which needs what
all others hold. It asks only those that probably have something, and refuses a request
at once if all together probably haven't enough. What a host said in its last reply
grows at the rate that it stated. A host that wasn't asked recently is taken to be idle.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..models.ids import HostName, WorkspaceName
from ..utils.clock import monotonic

# Seconds after which a host that had nothing to lend is asked again.
PROBE_S = 1.0
# Seconds for which a host that didn't reply is not asked.
FAILURE_S = 1.0
# Seconds after which a reply is forgotten.
MAX_AGE_S = 10.0


@dataclass(slots=True)
class _Known:
    units: float
    spare_per_s: float
    at: float
    # When the host replied last.
    replied_at: float


@dataclass(frozen=True, slots=True)
class LenderShare:
    """What each host that serves has on its own.

    Parameters
    ----------
    rate_per_s : float
        Units per second by which its bucket fills.
    capacity : float
        Units that its bucket holds.
    """

    rate_per_s: float
    capacity: float


class AllowanceLenders:
    """What the other hosts could lend, as far as this host knows.

    Parameters
    ----------
    hosts : callable
        Returns the other hosts that serve.
    now : callable, default=monotonic
    """

    def __init__(
        self,
        hosts: Callable[[], Iterable[HostName]],
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._hosts = hosts
        self._now = now
        self._known: dict[tuple[HostName, WorkspaceName], _Known] = {}
        self._failed_until: dict[HostName, float] = {}

    def note_reply(
        self, host: HostName, workspace: WorkspaceName, left: float, spare_per_s: float
    ) -> None:
        """Record what a host has left after it lent, and how fast that grows."""
        now = self._now()
        self._failed_until.pop(host, None)
        self._known[host, workspace] = _Known(left, spare_per_s, now, now)

    def note_failure(self, host: HostName) -> None:
        """Record that a host didn't reply."""
        self._failed_until[host] = self._now() + FAILURE_S

    def note_asked(
        self, host: HostName, workspace: WorkspaceName, units: float, share: LenderShare
    ) -> None:
        """Record units that a host is asked for, so that they aren't counted again."""
        now = self._now()
        left = max(0.0, self.units_of(host, workspace, share) - units)
        known = self._known.get((host, workspace))
        if known is None:
            known = _Known(left, share.rate_per_s, now, now)
            self._known[host, workspace] = known
        known.units, known.at = left, now

    def units_of(
        self, host: HostName, workspace: WorkspaceName, share: LenderShare
    ) -> float:
        """Return the units that a host could probably lend."""
        now = self._now()
        if self._failed_until.get(host, now) > now:
            return 0.0
        known = self._known.get((host, workspace))
        if known is None:
            return share.capacity
        grown = known.spare_per_s * (now - known.at)
        idle_s = now - known.replied_at - PROBE_S
        if idle_s > 0:
            grown = max(grown, share.rate_per_s * idle_s)
        return min(max(share.capacity, known.units), known.units + grown)

    def total(self, workspace: WorkspaceName, share: LenderShare) -> float:
        """Return the units that all hosts together could probably lend."""
        return sum(self.units_of(host, workspace, share) for host in self._hosts())

    def spare_per_s(self, workspace: WorkspaceName, share: LenderShare) -> float:
        """Return how fast that sum probably grows, in units per second."""
        known = (self._known.get((host, workspace)) for host in self._hosts())
        return sum(k.spare_per_s if k else share.rate_per_s for k in known)

    def plan(
        self,
        workspace: WorkspaceName,
        least: float,
        units: float,
        share: LenderShare,
    ) -> list[tuple[HostName, float]]:
        """Choose whom to ask for units, and count them as asked.

        Parameters
        ----------
        workspace : str
        least : float
            Fewer units would be in vain.
        units : float
        share : LenderShare

        Returns
        -------
        asked : list of (HostName, float)
            Empty if all together probably have fewer than `least`.
        """
        by_units = sorted(
            ((self.units_of(host, workspace, share), host) for host in self._hosts()),
            reverse=True,
        )
        if sum(available for available, _ in by_units) < least:
            return []
        asked: list[tuple[HostName, float]] = []
        for available, host in by_units:
            part = min(available, units)
            if part <= 0:
                break
            asked.append((host, part))
            units -= part
        for host, part in asked:
            self.note_asked(host, workspace, part, share)
        return asked

    def prune(self) -> None:
        """Forget what is too old to be of use."""
        now = self._now()
        self._known = {
            key: known
            for key, known in self._known.items()
            if now - known.replied_at <= MAX_AGE_S
        }
        self._failed_until = {
            host: until for host, until in self._failed_until.items() if until > now
        }
