"""Estimates corrected by observation."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..utils.clock import monotonic

SAMPLE_WEIGHT = 0.1
MIN_SAMPLE_RATIO = 0.6
MAX_SAMPLE_RATIO = 1.6
LOAD_WINDOW_S = 2.0


@dataclass(slots=True)
class Estimate:
    """A moving average; one sample moves it only so far.

    A request given up on ends early, which must not count as a short answer.

    Parameters
    ----------
    value : float
    """

    value: float

    def observe(self, sample: float) -> None:
        """Take in a sample."""
        low = MIN_SAMPLE_RATIO * self.value
        high = MAX_SAMPLE_RATIO * self.value
        self.value += SAMPLE_WEIGHT * (min(max(sample, low), high) - self.value)


class OfferedLoad:
    """How much work arrives, over what a resource can do.

    Parameters
    ----------
    since : float
        Moment of the monotonic clock.
    """

    def __init__(self, since: float | None = None) -> None:
        self._work_s = 0.0
        self._updated_at = monotonic() if since is None else since

    def add(self, work_s: float, now: float) -> None:
        """Count work that arrives now."""
        self._decay(now)
        self._work_s += work_s

    def utilization(self, capacity: float, now: float) -> float:
        """Return the load, 1.0 being all that the resource can do.

        Parameters
        ----------
        capacity : float
            Seconds of work done in one second.
        """
        self._decay(now)
        return self._work_s / LOAD_WINDOW_S / max(capacity, 1e-9)

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._work_s *= math.exp(-elapsed_s / LOAD_WINDOW_S)
        self._updated_at = max(self._updated_at, now)
