"""Monotonic deadlines and the hybrid logical clock."""

from __future__ import annotations

import time
from collections.abc import Callable

from ..models.events import Stamp

MS_PER_S = 1000


def monotonic() -> float:
    """Return the monotonic clock in seconds."""
    return time.monotonic()


def boot_time() -> float:
    """Return a monotonic clock in seconds that includes time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Deadline:
    """A point in time on the monotonic clock.

    Parameters
    ----------
    timeout_s : float
        Seconds from now.

    Attributes
    ----------
    at : float
        The deadline on the monotonic clock, in seconds.
    """

    __slots__ = ("at",)

    def __init__(self, timeout_s: float) -> None:
        self.at = monotonic() + timeout_s

    @property
    def remaining_s(self) -> float:
        return self.at - monotonic()

    @property
    def passed(self) -> bool:
        return self.remaining_s <= 0


class HybridClock:
    """A logical clock that stays close to the wall clock and preserves causality.

    Parameters
    ----------
    wall_ms : callable, default=None
        Returns the wall clock as Unix time in milliseconds; `time.time` is used
        if None.
    """

    def __init__(self, wall_ms: Callable[[], int] | None = None) -> None:
        self._wall_ms = wall_ms or (lambda: int(time.time() * MS_PER_S))
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return a stamp later than all stamps returned or observed so far."""
        wall = self._wall_ms()
        if wall > self._last.wall_ms:
            self._last = Stamp(wall, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, wall_ms: int, counter: int) -> None:
        """Advance the clock to the stamp of a received message if that is later."""
        observed = (wall_ms, counter)
        if observed > (self._last.wall_ms, self._last.counter):
            self._last = Stamp(wall_ms, counter)
