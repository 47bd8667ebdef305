"""Queue of the generations that wait for capacity on this host.

When more generations arrive than the engines can hold, those that can still be on
time go first, by priority and arrival time. Late generations queue behind them
for as long as their callers can still use the answer.

Streams that may go on only at one software version queue apart, since the engines of
that version may be full while others are free. A generation that all engines have
failed waits for another one without holding up those behind it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from ..models.upstreams import SoftwareVersion
from ..utils.clock import monotonic


@dataclass(slots=True, eq=False)
class Waiter:
    """A queued generation.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    arrived_at : float
        Monotonic time of arrival.
    on_time_until : float
        Monotonic time after which placing the generation makes its first event
        late.
    version : str or None, default=None
        The only software version of engines that it may use; None for any.
    has_engines : bool, default=True
        Whether there are engines that it may use; otherwise others pass it.
    at_head : asyncio.Event
        Set while the generation is the first of its version.
    """

    priority: int
    arrived_at: float
    on_time_until: float
    version: SoftwareVersion | None = None
    has_engines: bool = True
    at_head: asyncio.Event = field(default_factory=asyncio.Event)

    def sort_key(self, now: float) -> tuple[bool, int, float]:
        """Return the sort key; the waiter with the smallest key is at the head."""
        return (now > self.on_time_until, self.priority, self.arrived_at)


class WaitQueue:
    """Generations of one service that wait for capacity."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    @contextmanager
    def enqueued(self, waiter: Waiter) -> Iterator[None]:
        """Keep a waiter in the queue for the duration of the ``with`` block."""
        self._waiters.append(waiter)
        self.reorder()
        try:
            yield
        finally:
            self._waiters.remove(waiter)
            self.reorder()

    def reorder(self) -> None:
        """Recompute the heads; waiters that became late move back."""
        now = monotonic()
        head_by_version: dict[SoftwareVersion | None, Waiter] = {}
        for waiter in sorted(self._waiters, key=lambda w: w.sort_key(now)):
            if not waiter.has_engines:
                waiter.at_head.clear()
            elif head_by_version.setdefault(waiter.version, waiter) is waiter:
                waiter.at_head.set()
            else:
                waiter.at_head.clear()
