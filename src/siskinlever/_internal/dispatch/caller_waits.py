"""How long callers have waited already when a request of theirs arrives.

Answers callers that come back after a refusal: their first event is late
whatever is done, so they must not take the room of those that can be on time.
"""

from __future__ import annotations

from collections.abc import Callable

from ..utils.clock import monotonic

# The longest wait told on a route counts for this long; a caller that comes
# back does so within some seconds.
LONGEST_WAIT_TTL_S = 20.0


class CallerWaitTracker:
    """Compares what callers of a route say of their patience.

    A caller that comes back has less time left than one that comes for the
    first time.

    Parameters
    ----------
    now : callable, default=monotonic
    """

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        self._now = now
        self._longest_by_route: dict[str, tuple[float, float]] = {}

    def prior_wait_s(
        self, route: str, timeout_s: float, caller_timeout_s: float | None
    ) -> float:
        """Return the seconds since a caller's first request, as far as known.

        Parameters
        ----------
        route : str
        timeout_s : float
            Of the route; a caller may be willing to wait longer.
        caller_timeout_s : float or None
            How long the caller says that it waits from now.
        """
        if caller_timeout_s is None:
            return 0.0
        caller_timeout_s = min(caller_timeout_s, timeout_s)
        longest_s, seen_at = self._longest_by_route.get(route, (0.0, float("-inf")))
        is_expired = self._now() - seen_at > LONGEST_WAIT_TTL_S
        if is_expired or caller_timeout_s >= longest_s or longest_s > timeout_s:
            self._longest_by_route[route] = (caller_timeout_s, self._now())
            return 0.0
        return longest_s - caller_timeout_s
