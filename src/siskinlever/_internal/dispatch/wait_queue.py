"""The order in which generations wait for room on this host.

Answers more arrivals than the engines hold: those that can still be on time
go first, in the order of their priority and arrival; the others wait behind
them for as long as is worth their caller's while.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from ..utils.clock import monotonic


@dataclass(slots=True, eq=False)
class Waiter:
    """One generation that waits.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    arrived_at : float
    on_time_until : float
        If placed later, its first event is late.
    at_head : asyncio.Event
        Set while the generation is the first of the line.
    """

    priority: int
    arrived_at: float
    on_time_until: float
    at_head: asyncio.Event = field(default_factory=asyncio.Event)

    def sort_key(self, now: float) -> tuple[bool, int, float]:
        """Order in the line, the smallest first."""
        return (now > self.on_time_until, self.priority, self.arrived_at)


class WaitQueue:
    """The generations of one service that wait for room."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    @contextmanager
    def enqueued(self, waiter: Waiter) -> Iterator[None]:
        """Wait in the line for the length of a block."""
        self._waiters.append(waiter)
        self.reorder()
        try:
            yield
        finally:
            self._waiters.remove(waiter)
            self.reorder()

    def reorder(self) -> None:
        """Find the first of the line anew; time may have changed it."""
        now = monotonic()
        head = min(self._waiters, key=lambda w: w.sort_key(now), default=None)
        for waiter in self._waiters:
            if waiter is head:
                waiter.at_head.set()
            else:
                waiter.at_head.clear()
