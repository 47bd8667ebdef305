"""Tells whether this host reaches a majority of the hosts."""

from __future__ import annotations

from collections import deque

from ..utils.clock import monotonic
from .members import MemberState, MemberTable

PROBES_KEPT = 16
PROBES_NEEDED = 3
PROBE_LIFETIME_S = 5.0


class Reach:
    """Two witnesses that must agree: the member table and the latest probes.

    The table alone is slow at a large fleet, where a host that is cut off
    probes a few others each second: the sample shows it within about 3 s.

    Parameters
    ----------
    table : MemberTable
    """

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._probes: deque[tuple[float, bool]] = deque(maxlen=PROBES_KEPT)
        self.listed: frozenset[str] = frozenset()

    def note(self, reached: bool) -> None:
        """Add the result of one probe."""
        self._probes.append((monotonic(), reached))

    def forget_probes(self) -> None:
        """Start anew, after the process was frozen."""
        self._probes.clear()

    def has_majority(self) -> bool:
        """Tell whether more than half of the listed hosts are reached."""
        hosts = self.listed or frozenset(self._table.by_host)
        others = hosts - {self._table.own_host}
        if not others:
            return True
        alive = sum(self._is_alive(host) for host in others) + 1
        if 2 * alive <= len(others) + 1:
            return False
        return self._sample_agrees(len(others))

    def _is_alive(self, host: str) -> bool:
        member = self._table.by_host.get(host)  # type: ignore[call-overload]
        return member is not None and member.state is MemberState.ALIVE

    def _sample_agrees(self, others: int) -> bool:
        oldest = monotonic() - PROBE_LIFETIME_S
        recent = [reached for at, reached in self._probes if at >= oldest]
        if len(recent) < min(PROBES_NEEDED, others):
            return False
        return 2 * sum(recent) > len(recent)
