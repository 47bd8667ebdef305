"""Detects pauses of the process from gaps in its event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .clock import monotonic

CHECK_PERIOD_S = 0.25
# A longer gap between two checks counts as a pause.
MAX_GAP_S = 0.8


class PauseDetector:
    """Detects whether the process was paused after a given point in time.

    Right after a pause, callbacks with outdated data may run before the next
    periodic check. `paused_since` therefore also compares the time of the last
    check with the clock.
    """

    def __init__(self) -> None:
        self._checked_at = monotonic()
        self._resumed_at = float("-inf")
        self._listeners: list[Callable[[float], None]] = []

    def subscribe(self, listener: Callable[[float], None]) -> None:
        """Call ``listener`` with the length in seconds of each later pause."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Check for pauses periodically until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_PERIOD_S)

    def check(self) -> None:
        """Compare the clock with the last check and notify listeners of a pause."""
        now = monotonic()
        gap_s = now - self._checked_at
        self._checked_at = now
        if gap_s > MAX_GAP_S:
            self._resumed_at = now
            for listener in self._listeners:
                listener(gap_s)

    def paused_since(self, moment: float) -> bool:
        """Return whether the process was paused after a monotonic time in seconds."""
        now = monotonic()
        return (
            self._resumed_at >= moment
            or now - max(self._checked_at, moment) > MAX_GAP_S
        )
