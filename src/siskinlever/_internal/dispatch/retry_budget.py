"""How often requests may be sent to a second runner, over all hosts together.

Answers the load of a service whose runners all fail or refuse: each host may
use its part of what the fleet is allowed, so that no message is needed before
a retry and no set of hosts exceeds the bound.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable

from ..models.host_settings import RetryBounds
from ..models.ids import ServiceName
from ..utils.clock import monotonic

# Hosts count requests and sends at slightly different moments.
SAFETY_FACTOR = 0.8


class SharedRetryBudget:
    """This host's part of the fleet's budget, for each service.

    Parameters
    ----------
    bounds : RetryBounds
    host_count : callable
        Returns the largest number of hosts that may be spending.
    is_first_start : bool
        No host has spent anything yet. A host that starts later does not know
        what it, or the host that it replaces, spent before.
    now : callable, default=monotonic
    """

    def __init__(
        self,
        bounds: RetryBounds,
        host_count: Callable[[], int],
        is_first_start: bool,
        now: Callable[[], float] = monotonic,
    ) -> None:
        self.bounds = bounds
        self._host_count = host_count
        self._now = now
        self._extra_allowed_from = now() + (0.0 if is_first_start else bounds.window_s)
        self._request_times: dict[ServiceName, deque[float]] = defaultdict(deque)
        self._retry_times: dict[ServiceName, deque[float]] = defaultdict(deque)

    def note_request(self, service: ServiceName) -> None:
        """Count a caller's request."""
        self._prune(self._request_times[service]).append(self._now())

    def spend(self, service: ServiceName) -> bool:
        """Take one send beyond a request's first; False if none is left."""
        requests = self._prune(self._request_times[service])
        spent = self._prune(self._retry_times[service])
        allowed = SAFETY_FACTOR * (
            self.bounds.share * len(requests) + self._extra_share()
        )
        if len(spent) + 1 > allowed:
            return False
        spent.append(self._now())
        return True

    def _extra_share(self) -> float:
        if self._now() < self._extra_allowed_from:
            return 0.0
        return self.bounds.extra / max(1, self._host_count())

    def _prune(self, times: deque[float]) -> deque[float]:
        since = self._now() - self.bounds.window_s
        while times and times[0] < since:
            times.popleft()
        return times
