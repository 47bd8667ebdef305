"""Limits how often all hosts together send requests to a second runner.

The limit bounds the load on a service whose runners all fail or refuse requests.
Each host may use its share of the fleet's budget, so that a retry needs no
message between hosts and no set of hosts exceeds the bound.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable

from ..models.host_settings import RetryBounds
from ..models.ids import ServiceName
from ..utils.clock import monotonic

# Fraction of the budget that hosts use. The rest is a margin, because hosts count
# requests and sends at slightly different times.
SAFETY_FACTOR = 0.8


class SharedRetryBudget:
    """This host's share of the fleet's retry budget of each service.

    Parameters
    ----------
    bounds : RetryBounds
    host_count : callable
        Returns the largest number of hosts that may be using the budget; infinite if
        this host has no share of the extra retries.
    is_first_start : bool
        Whether no host has used any budget yet. If False, this host uses none of
        the extra retries for one window, because the number that its previous
        process, or the host that it replaces, has used is unknown.
    now : callable, default=monotonic
    """

    def __init__(
        self,
        bounds: RetryBounds,
        host_count: Callable[[], float],
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
        """Charge a send other than a request's first.

        Return False, without a charge, if the budget is exhausted.
        """
        requests = self._prune(self._request_times[service])
        spent = self._prune(self._retry_times[service])
        allowed = SAFETY_FACTOR * (
            self.bounds.share * len(requests) + self._extra_per_host()
        )
        if len(spent) + 1 > allowed:
            return False
        spent.append(self._now())
        return True

    def _extra_per_host(self) -> float:
        if self._now() < self._extra_allowed_from:
            return 0.0
        return self.bounds.extra / max(1, self._host_count())

    def _prune(self, times: deque[float]) -> deque[float]:
        since = self._now() - self.bounds.window_s
        while times and times[0] < since:
            times.popleft()
        return times
