"""Running estimates of durations and offered load."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..utils.clock import monotonic

SAMPLE_WEIGHT = 0.1
# Bounds of a sample, as ratios to the current estimate.
MIN_SAMPLE_RATIO = 0.6
MAX_SAMPLE_RATIO = 1.6
LOAD_WINDOW_S = 2.0


@dataclass(slots=True)
class Estimate:
    """An exponential moving average with bounded samples.

    Samples are clamped to a range around the current value, because a cancelled
    request ends early and must not count as a short answer.

    Parameters
    ----------
    value : float
        The current estimate; initially the one passed.
    """

    value: float

    def observe(self, sample: float) -> None:
        """Add a sample, clamped to a range around the current value."""
        low = MIN_SAMPLE_RATIO * self.value
        high = MAX_SAMPLE_RATIO * self.value
        self.value += SAMPLE_WEIGHT * (min(max(sample, low), high) - self.value)


class OfferedLoad:
    """The work that arrives, relative to the capacity of a resource.

    Arrivals are weighted by an exponential decay with the time constant
    `LOAD_WINDOW_S`.

    Parameters
    ----------
    since : float, optional
        Start in seconds of the monotonic clock, by default the current time.
    """

    def __init__(self, since: float | None = None) -> None:
        self._work_s = 0.0
        self._updated_at = monotonic() if since is None else since

    def add(self, work_s: float, now: float) -> None:
        """Add arriving work, in seconds of use of the resource."""
        self._decay(now)
        self._work_s += work_s

    def utilization(self, capacity: float, now: float) -> float:
        """Return the offered load, where 1.0 is the full capacity.

        Parameters
        ----------
        capacity : float
            Seconds of work that the resource does per second.
        """
        self._decay(now)
        return self._work_s / LOAD_WINDOW_S / max(capacity, 1e-9)

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._work_s *= math.exp(-elapsed_s / LOAD_WINDOW_S)
        self._updated_at = max(self._updated_at, now)
