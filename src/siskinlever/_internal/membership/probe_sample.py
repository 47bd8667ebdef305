"""Tells by the latest probes whether this host reaches most others."""

from __future__ import annotations

from collections import deque

from ..utils.clock import monotonic

MAX_PROBES = 16
MIN_PROBES = 3
PROBE_LIFETIME_S = 5.0
# Below a half: the loss of a whole zone must not look like a cut.
MIN_REACHED_SHARE = 0.4


class ProbeSample:
    """A sample of probes, as a second witness beside the member table.

    The table alone is slow at a large fleet, where a host that is cut off
    probes a few others each second: the sample shows it within about 3 s.
    """

    def __init__(self) -> None:
        self._probes: deque[tuple[float, bool]] = deque(maxlen=MAX_PROBES)
        self._needs_probes = False

    def add_result(self, reached: bool) -> None:
        """Add the result of one probe."""
        self._probes.append((monotonic(), reached))

    def forget(self) -> None:
        """Start anew after a freeze: only probes made since then count."""
        self._probes.clear()
        self._needs_probes = True

    def most_reached(self) -> bool:
        """Tell whether most of the latest probes reached their host."""
        oldest = monotonic() - PROBE_LIFETIME_S
        recent = [reached for at, reached in self._probes if at >= oldest]
        if len(recent) < MIN_PROBES:
            return not self._needs_probes
        self._needs_probes = False
        return sum(recent) >= MIN_REACHED_SHARE * len(recent)
