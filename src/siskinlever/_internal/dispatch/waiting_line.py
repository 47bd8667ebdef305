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
class Ticket:
    """One generation that waits.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    arrived_at : float
    on_time_until : float
        If placed later, its first event is late.
    turn : asyncio.Event
        Set while the generation is the first of the line.
    """

    priority: int
    arrived_at: float
    on_time_until: float
    turn: asyncio.Event = field(default_factory=asyncio.Event)

    def rank(self, now: float) -> tuple[bool, int, float]:
        """Order in the line, the smallest first."""
        return (now > self.on_time_until, self.priority, self.arrived_at)


class WaitingLine:
    """The generations of one service that wait for room."""

    def __init__(self) -> None:
        self._tickets: list[Ticket] = []

    def __len__(self) -> int:
        return len(self._tickets)

    @contextmanager
    def joined(self, ticket: Ticket) -> Iterator[None]:
        """Wait in the line for the length of a block."""
        self._tickets.append(ticket)
        self.update()
        try:
            yield
        finally:
            self._tickets.remove(ticket)
            self.update()

    def update(self) -> None:
        """Find the first of the line anew; time may have changed it."""
        now = monotonic()
        first = min(self._tickets, key=lambda t: t.rank(now), default=None)
        for ticket in self._tickets:
            if ticket is first:
                ticket.turn.set()
            else:
                ticket.turn.clear()
