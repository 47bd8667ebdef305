"""Exponentially decaying sums."""

from __future__ import annotations

import math
from collections.abc import Callable

from .clock import monotonic


class DecayingSum:
    """A sum of amounts whose weights decay exponentially with age.

    Parameters
    ----------
    half_life_s : float
        Seconds after which an amount counts half as much.
    now : callable, default=monotonic
        Returns a monotonic time in seconds.
    """

    def __init__(
        self, half_life_s: float, now: Callable[[], float] = monotonic
    ) -> None:
        self._half_life_s = half_life_s
        self._now = now
        self._sum = 0.0
        self._updated_at = now()

    def add(self, amount: float) -> None:
        """Add an amount at the current time."""
        self._sum = self.value + amount
        self._updated_at = self._now()

    @property
    def value(self) -> float:
        """The sum, decayed to the current time."""
        return self._sum * math.exp2(
            (self._updated_at - self._now()) / self._half_life_s
        )
