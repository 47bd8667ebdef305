"""Which runners this host lately did not reach."""

from __future__ import annotations

from collections.abc import Callable

from ..models.upstreams import RunnerKey
from ..utils.clock import monotonic

# After a failed connection; a runner that crashed is down for seconds.
UNREACHABLE_S = 1.5


class UnreachableRunners:
    """Runners that took no connection, for a while after it."""

    def __init__(self) -> None:
        self._until_by_runner: dict[RunnerKey, float] = {}
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when a runner was reached before and is not now."""
        self._listeners.append(listener)

    def mark_unreachable(self, runner: RunnerKey) -> None:
        """Note that a runner took no connection or gave no answer."""
        is_new = not self.is_unreachable(runner)
        self._until_by_runner[runner] = monotonic() + UNREACHABLE_S
        if is_new:
            for listener in self._listeners:
                listener()

    def is_unreachable(self, runner: RunnerKey) -> bool:
        """Tell whether a runner lately took no connection."""
        return monotonic() < self._until_by_runner.get(runner, float("-inf"))

    def unreachable(self) -> list[RunnerKey]:
        """Return the runners that lately took no connection."""
        now = monotonic()
        self._until_by_runner = {
            runner: until
            for runner, until in self._until_by_runner.items()
            if until > now
        }
        return list(self._until_by_runner)
