"""Limits how much of an engine's memory a generation may use, by its urgency.

The load in mind is a service with an urgent route and a less urgent one that fills the
engines, for example 7 generations per second whose first event is due after 0.8 s, and
42 per second whose first event is due after 2 s. The queue of a host puts the urgent
ones first, but the other hosts place theirs at the same moment. What they must leave
free is what urgent generations find, on any host.

Generations that are late leave more, since they are worth less, the urgent ones too.
"""

from __future__ import annotations

from collections.abc import Callable

from ..utils.clock import monotonic

# Limits on the expected final KV cache use of an engine's generations, as shares of its
# capacity. An engine that runs out of memory preempts a generation and prefills it
# again, which pauses all streams that run there.
ON_TIME_CAPACITY_SHARE = 1.0
# For on-time generations while more urgent ones arrive: leaves about one generation of
# room on each engine.
LESS_URGENT_CAPACITY_SHARE = 0.85
LATE_CAPACITY_SHARE = 0.8
# Seconds for which the arrival of a more urgent generation counts. Each of a dozen
# hosts gets one of 7 per second every 2 s.
URGENT_SEEN_S = 10.0


class RecentPriorities:
    """The priorities of the generations of a service that arrived here recently.

    Parameters
    ----------
    now : callable, default=monotonic
    """

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        self._now = now
        self._seen_at_by_priority: dict[int, float] = {}

    def note(self, priority: int) -> None:
        """Record the arrival of a generation; 0 is the most urgent."""
        now = self._now()
        self._seen_at_by_priority = {
            seen: at
            for seen, at in self._seen_at_by_priority.items()
            if now - at <= URGENT_SEEN_S
        }
        self._seen_at_by_priority[priority] = now

    def capacity_share(self, priority: int, is_late: bool) -> float:
        """Return the share of an engine's memory up to which it may be used.

        Parameters
        ----------
        priority : int
        is_late : bool
            Whether the first event can no longer be on time.
        """
        if is_late:
            return LATE_CAPACITY_SHARE
        since = self._now() - URGENT_SEEN_S
        has_more_urgent = any(
            seen < priority and at >= since
            for seen, at in self._seen_at_by_priority.items()
        )
        return LESS_URGENT_CAPACITY_SHARE if has_more_urgent else ON_TIME_CAPACITY_SHARE
