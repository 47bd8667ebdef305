"""Notices that the process was frozen, by gaps in its event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .clock import monotonic

CHECK_PERIOD_S = 0.25
MAX_GAP_S = 0.8


class PauseDetector:
    """Tells whether the process stood still since some moment.

    Right after a freeze, callbacks with old data may run before the beat does,
    so each question compares the latest beat with the clock as well.
    """

    def __init__(self) -> None:
        self._checked_at = monotonic()
        self._resumed_at = float("-inf")
        self._listeners: list[Callable[[float], None]] = []

    def subscribe(self, listener: Callable[[float], None]) -> None:
        """Call ``listener`` with the length in seconds of each pause."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Beat until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_PERIOD_S)

    def check(self) -> None:
        """Compare the clock with the latest beat."""
        now = monotonic()
        gap_s = now - self._checked_at
        self._checked_at = now
        if gap_s > MAX_GAP_S:
            self._resumed_at = now
            for listener in self._listeners:
                listener(gap_s)

    def paused_since(self, moment: float) -> bool:
        """Tell whether the process was frozen after a monotonic moment."""
        now = monotonic()
        return (
            self._resumed_at >= moment
            or now - max(self._checked_at, moment) > MAX_GAP_S
        )
