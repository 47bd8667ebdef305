"""Engines that change their stage and take no requests meanwhile."""

from __future__ import annotations

from ..models.upstreams import RunnerKey
from ..utils.clock import monotonic


class Switching:
    """Engines that change their stage and take no requests meanwhile."""

    def __init__(self) -> None:
        self._until_by_runner: dict[RunnerKey, float] = {}

    def begin(self, runner: RunnerKey, seconds: float) -> None:
        """Note that an engine takes no requests for some time."""
        self._until_by_runner[runner] = monotonic() + seconds

    def end(self, runner: RunnerKey) -> None:
        """Note that an engine takes requests again."""
        self._until_by_runner.pop(runner, None)

    def is_switching(self, runner: RunnerKey) -> bool:
        """Tell whether an engine takes no requests now."""
        return monotonic() < self._until_by_runner.get(runner, float("-inf"))

    def remaining_by_runner(self) -> dict[RunnerKey, float]:
        """Return the seconds that are left, by engine."""
        now = monotonic()
        return {
            runner: until - now
            for runner, until in self._until_by_runner.items()
            if until > now
        }
