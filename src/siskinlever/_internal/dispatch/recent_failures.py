"""Counts recent request failures by runner.

Health checks can pass on a runner on which only some requests fail, so each
failure is counted separately. The counts decay with time because an avoided
runner yields no new outcomes.
"""

from __future__ import annotations

from collections.abc import Callable

from ..models.upstreams import RunnerKey
from ..utils.clock import monotonic
from ..utils.decay import DecayingSum

# Counts below this have a negligible effect on placement. They are removed
# because the runner may no longer exist.
NEGLIGIBLE_COUNT = 0.01


class RecentFailures:
    """Exponentially decaying failure counts by runner.

    Parameters
    ----------
    half_life_s : float
        Seconds after which a failure counts half as much.
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
        self._remove_negligible()
        count = self._count_by_runner.get(runner)
        if count is None:
            count = DecayingSum(self._half_life_s, self._now)
            self._count_by_runner[runner] = count
        count.add(1.0)

    def count_of(self, runner: RunnerKey) -> float:
        """Return the decayed number of failures of a runner."""
        count = self._count_by_runner.get(runner)
        return 0.0 if count is None else count.value

    def _remove_negligible(self) -> None:
        self._count_by_runner = {
            runner: count
            for runner, count in self._count_by_runner.items()
            if count.value >= NEGLIGIBLE_COUNT
        }
