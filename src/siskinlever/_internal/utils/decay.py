"""Sums that fade with time."""

from __future__ import annotations

import math
from collections.abc import Callable

from .clock import monotonic


class DecayingSum:
    """Amounts of which the old ones count less.

    Parameters
    ----------
    half_life_s : float
        After which an amount counts half as much.
    now : callable, default=monotonic
    """

    def __init__(
        self, half_life_s: float, now: Callable[[], float] = monotonic
    ) -> None:
        self._half_life_s = half_life_s
        self._now = now
        self._sum = 0.0
        self._updated_at = now()

    def add(self, amount: float) -> None:
        """Count an amount now."""
        self._sum = self.value + amount
        self._updated_at = self._now()

    @property
    def value(self) -> float:
        """The sum now."""
        return self._sum * math.exp2(
            (self._updated_at - self._now()) / self._half_life_s
        )
