"""Runners to which a call of this host recently failed."""

from __future__ import annotations

from collections.abc import Callable

from ..models.upstreams import RunnerKey
from ..utils.clock import monotonic

# Seconds for which a runner counts as unreachable after a failed call. A runner that
# crashed is down for seconds.
UNREACHABLE_S = 1.5


class UnreachableRunners:
    """Keeps each runner for `UNREACHABLE_S` after its latest failed call."""

    def __init__(self) -> None:
        self._until_by_runner: dict[RunnerKey, float] = {}
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever a reachable runner becomes unreachable."""
        self._listeners.append(listener)

    def mark_unreachable(self, runner: RunnerKey) -> None:
        """Record that a call to a runner failed or was not answered."""
        is_new = not self.is_unreachable(runner)
        self._until_by_runner[runner] = monotonic() + UNREACHABLE_S
        if is_new:
            for listener in self._listeners:
                listener()

    def is_unreachable(self, runner: RunnerKey) -> bool:
        """Return whether a runner counts as unreachable."""
        return monotonic() < self._until_by_runner.get(runner, float("-inf"))

    def unreachable(self) -> list[RunnerKey]:
        """Return the runners that count as unreachable."""
        now = monotonic()
        self._until_by_runner = {
            runner: until
            for runner, until in self._until_by_runner.items()
            if until > now
        }
        return list(self._until_by_runner)
