"""Runners that lately lost or rejected requests though their health is good.

Answers runners of which some requests fail while others succeed: each failure
counts by itself and is forgotten with time, since a runner that is avoided
gives no new outcomes.
"""

from __future__ import annotations

from collections.abc import Callable

from ..models.upstreams import RunnerKey
from ..utils.clock import monotonic
from ..utils.decay import DecayingSum

# Less than this weighs nothing; the runner, which may be gone, is forgotten.
NEGLIGIBLE_COUNT = 0.01


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
        self._count_by_runner: dict[RunnerKey, DecayingSum] = {}

    def note(self, runner: RunnerKey) -> None:
        """Count one failure."""
        self._forget_old()
        count = self._count_by_runner.get(runner)
        if count is None:
            count = DecayingSum(self._half_life_s, self._now)
            self._count_by_runner[runner] = count
        count.add(1.0)

    def count_of(self, runner: RunnerKey) -> float:
        """Return the number of recent failures of a runner."""
        count = self._count_by_runner.get(runner)
        return 0.0 if count is None else count.value

    def _forget_old(self) -> None:
        self._count_by_runner = {
            runner: count
            for runner, count in self._count_by_runner.items()
            if count.value >= NEGLIGIBLE_COUNT
        }
