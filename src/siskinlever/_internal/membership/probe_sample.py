"""Tells by the latest probes whether this host reaches most others."""

from __future__ import annotations

from collections import deque

from ..utils.clock import monotonic

PROBES_KEPT = 16
PROBES_NEEDED = 3
PROBE_LIFETIME_S = 5.0
# Below a half: the loss of a whole zone must not look like a cut.
MIN_REACHED_SHARE = 0.4


class ProbeSample:
    """A sample of probes, as a second witness beside the member table.

    The table alone is slow at a large fleet, where a host that is cut off
    probes a few others each second: the sample shows it within about 3 s.
    """

    def __init__(self) -> None:
        self._probes: deque[tuple[float, bool]] = deque(maxlen=PROBES_KEPT)
        self._must_probe = False

    def note(self, reached: bool) -> None:
        """Add the result of one probe."""
        self._probes.append((monotonic(), reached))

    def forget(self) -> None:
        """Start anew after a freeze: only probes made since then count."""
        self._probes.clear()
        self._must_probe = True

    def most_reached(self) -> bool:
        """Tell whether most of the latest probes reached their host."""
        oldest = monotonic() - PROBE_LIFETIME_S
        recent = [reached for at, reached in self._probes if at >= oldest]
        if len(recent) < PROBES_NEEDED:
            return not self._must_probe
        self._must_probe = False
        return sum(recent) >= MIN_REACHED_SHARE * len(recent)
