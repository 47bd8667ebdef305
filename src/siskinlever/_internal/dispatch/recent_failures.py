"""Runners that lately lost or rejected requests though their health is good.

Answers runners of which some requests fail while others succeed: each failure
counts by itself and is forgotten with time, since a runner that is avoided
gives no new outcomes.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ..models.upstreams import RunnerKey
from ..utils.clock import monotonic

# Less than this is as good as none; the runner is dropped from the memory.
NEGLIGIBLE = 0.01


class RecentFailures:
    """Counts failures of runners, the old ones less.

    Parameters
    ----------
    half_life_s : float
        After which a failure counts half as much.
    now : callable, default=monotonic
    """

    def __init__(
        self, half_life_s: float, now: Callable[[], float] = monotonic
    ) -> None:
        self._half_life_s = half_life_s
        self._now = now
        self._count_by_runner: dict[RunnerKey, tuple[float, float]] = {}

    def note(self, runner: RunnerKey) -> None:
        """Count one failure."""
        self._count_by_runner[runner] = (self.of(runner) + 1.0, self._now())

    def of(self, runner: RunnerKey) -> float:
        """Return the number of recent failures of a runner."""
        count, at = self._count_by_runner.get(runner, (0.0, 0.0))
        if not count:
            return 0.0
        left = count * math.exp2((at - self._now()) / self._half_life_s)
        if left < NEGLIGIBLE:
            del self._count_by_runner[runner]
            return 0.0
        return left
