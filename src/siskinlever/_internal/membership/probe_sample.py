"""Estimates from recent probes whether this host reaches enough other hosts."""

from __future__ import annotations

from collections import deque

from ..utils.clock import monotonic

MAX_PROBES = 16
MIN_PROBES = 3
PROBE_LIFETIME_S = 5.0
# Below one half, so that the loss of a whole zone does not look like a partition.
MIN_REACHED_SHARE = 0.4


class ProbeSample:
    """Results of the latest probes, as evidence in addition to the member table.

    In a large fleet the table alone is slow to show that this host is cut off,
    because each host probes only a few others per second. The sample shows it
    within about 3 s.
    """

    def __init__(self) -> None:
        self._probes: deque[tuple[float, bool]] = deque(maxlen=MAX_PROBES)
        self._needs_probes = False

    @property
    def needs_probes(self) -> bool:
        """Whether too few probes have ended since the latest pause."""
        self.enough_reached()
        return self._needs_probes

    def add_result(self, reached: bool) -> None:
        """Add the result of one probe."""
        self._probes.append((monotonic(), reached))

    def forget(self) -> None:
        """Discard all results after a pause; only later probes count."""
        self._probes.clear()
        self._needs_probes = True

    def enough_reached(self) -> bool:
        """Return whether enough of the recent probes reached their host.

        With fewer than `MIN_PROBES` of them, the result is True, or False after a
        pause.
        """
        oldest = monotonic() - PROBE_LIFETIME_S
        recent = [reached for at, reached in self._probes if at >= oldest]
        if len(recent) < MIN_PROBES:
            return not self._needs_probes
        self._needs_probes = False
        return sum(recent) >= MIN_REACHED_SHARE * len(recent)
