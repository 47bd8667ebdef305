"""In-memory buffer of the latest events of this host."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from ..models.events import Event, EventKind, Stamp
from ..utils.clock import HybridClock

MAX_EVENTS = 20_000


class Recorder:
    """Records events with hybrid logical stamps, which preserve causality.

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
        """Add an event and return its stamp.

        Messages sent because of the event must carry the stamp, so that the events
        that they cause at other hosts get later stamps.
        """
        stamp = self.clock.tick()
        self._events.append(Event(stamp, self.host, kind, request_id, fields))
        return stamp

    def events(self, request_id: str | None = None) -> Iterator[Event]:
        """Iterate over the buffered events, oldest first.

        If ``request_id`` is given, only events of that request are included.
        """
        return (
            event
            for event in self._events
            if request_id is None or event.request_id == request_id
        )
