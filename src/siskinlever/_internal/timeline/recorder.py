"""Keeps the latest events of this host in memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from ..models.events import Event, EventKind, Stamp
from ..utils.clock import HybridClock

MAX_EVENTS = 20_000


class Recorder:
    """Records events with stamps that respect cause and effect.

    Parameters
    ----------
    host : str
    clock : HybridClock
    """

    def __init__(self, host: str, clock: HybridClock) -> None:
        self.host = host
        self.clock = clock
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)

    def record(
        self, kind: EventKind, request_id: str = "", **fields: str | int | float
    ) -> Stamp:
        """Add one event; return its stamp, for what it causes elsewhere."""
        stamp = self.clock.tick()
        self._events.append(Event(stamp, self.host, kind, request_id, fields))
        return stamp

    def events(self, request_id: str | None = None) -> Iterator[Event]:
        """Iterate over the events kept, oldest first."""
        return (
            event
            for event in self._events
            if request_id is None or event.request_id == request_id
        )
